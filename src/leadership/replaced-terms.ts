/**
 * The record in the store of which terms may have been replaced.
 *
 * Before a promotion does anything else, the holder of the duty records the term that it is about to replace.
 * The write is conditional on the holder's record of the duty, so a former holder cannot make it. A leader of
 * a later term than the recorded one is therefore the present one. An absent record, or one of an earlier era
 * of the store, shows nothing: it may have been lost with the changes since a backup.
 *
 * @packageDocumentation
 */
import * as z from 'zod/mini';
import { delay } from '../common/signal.js';
import {
  type CoordinationStore,
  type StoredItem,
  StoreError,
  type StoreTransaction,
} from '../coordination/coordination-store.js';
import { COORDINATION_PREFIX, valueOrReport } from '../coordination/daemon-register.js';
import type { EntryFaults } from '../coordination/entry-faults.js';
import { NO_REVISION, type Revision } from '../coordination/revision.js';
import {
  nonEmptyStringSchema,
  nonNegativeIntSchema,
  readJson,
  type ReadResult,
} from '../coordination/stored-json.js';

/** Keys of the records, followed by the name of the group. */
const REPLACED_PREFIX = `${COORDINATION_PREFIX}replaced/`;

/** Time limit of a read, in milliseconds: evidence that is due must be had from the members in time. */
const READ_TIMEOUT_MS = 300;
/** Time after a read without an answer in which the store is not asked again, in milliseconds. */
const READ_PAUSE_MS = 1000;
/** Time limit of each call for a write, in milliseconds; an answer may be lost. */
const WRITE_TIMEOUT_MS = 400;
/** Number of attempts to write a record, whose revision may be known too late. */
const MAX_WRITE_ATTEMPTS = 3;

const recordSchema = z.object({
  /** Highest term whose leader may have been replaced. */
  term: nonNegativeIntSchema,
  /** Era of the store in which the record was written. */
  era: nonNegativeIntSchema,
  /** Identifies the write, for a writer that has not received the answer. */
  writeId: nonEmptyStringSchema,
});

type ReplacedTermRecord = Readonly<z.infer<typeof recordSchema>>;

function readRecord(value: Buffer): ReadResult<ReplacedTermRecord> {
  return readJson(value, recordSchema);
}

/** The records of all groups, as the store had them at `askedAtMs` or later. */
export interface ReplacedTermsReading {
  /** When the request was sent, in monotonic milliseconds. */
  readonly askedAtMs: number;
  /** Highest term that may have been replaced, by group; without groups that have no valid record. */
  readonly terms: ReadonlyMap<string, number>;
}

/** A condition under which the store accepts a write. */
type StoreCondition = StoreTransaction['conditions'][number];

/** Dependencies of {@link ReplacedTerms}. */
export interface ReplacedTermsPorts {
  readonly store: Pick<CoordinationStore, 'era' | 'list' | 'read' | 'transact'>;
  /** This daemon's copy of an item; it may be out of date. */
  localItem(key: string): StoredItem | undefined;
  /** True in the store while this daemon holds the duty; `null` if it does not by its own clock. */
  dutyCondition(): StoreCondition | null;
  /** Identifier of this daemon's process. */
  readonly life: string;
  readonly faults: EntryFaults;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** Reads and writes the records of all groups. */
export class ReplacedTerms {
  #reading: Promise<ReplacedTermsReading | null> | null = null;
  #pausedUntilMs = Number.NEGATIVE_INFINITY;
  #writeCount = 0;
  /** The last write for each group, which the next one follows: it may lower what another has just raised. */
  readonly #lastWrites = new Map<string, Promise<boolean>>();

  constructor(private readonly ports: ReplacedTermsPorts) {}

  /**
   * The records, from a linearizable read that is shared by the groups that ask while it is under way; `null` if
   * the store does not answer in time or has not answered lately.
   */
  read(): Promise<ReplacedTermsReading | null> {
    if (this.#reading === null && this.ports.now() < this.#pausedUntilMs) return Promise.resolve(null);
    this.#reading ??= this.#read().finally(() => (this.#reading = null));
    return this.#reading;
  }

  /**
   * Records that leaders of terms up to `term` may be replaced, and those of later terms not. Writes for one group
   * are made one after the other.
   *
   * @param isCurrent - whether that still holds when the write is due
   * @returns true once the store has accepted it; otherwise it may have, or may still do so
   */
  write(groupName: string, term: number, isCurrent: () => boolean = () => true): Promise<boolean> {
    const previous = this.#lastWrites.get(groupName) ?? Promise.resolve(true);
    const writing = previous.then(() => isCurrent() && this.#write(groupName, term));
    this.#lastWrites.set(groupName, writing);
    return writing;
  }

  async #read(): Promise<ReplacedTermsReading | null> {
    const { now } = this.ports;
    const askedAtMs = now();
    const reading = this.#list(askedAtMs).catch((error: unknown) => {
      if (!(error instanceof StoreError)) throw error;
      return null;
    });
    const result = await Promise.race([reading, delay(READ_TIMEOUT_MS).then(() => null)]);
    if (result === null) this.#pausedUntilMs = now() + READ_PAUSE_MS;
    return result;
  }

  async #list(askedAtMs: number): Promise<ReplacedTermsReading> {
    const { store, faults } = this.ports;
    const era = store.era.current;
    const { items } = await store.list(REPLACED_PREFIX);
    const terms = new Map<string, number>();
    for (const item of items) {
      const record = valueOrReport('replaced_term', item, readRecord(item.value), faults);
      if (record?.era === era) terms.set(item.key.slice(REPLACED_PREFIX.length), record.term);
    }
    return { askedAtMs, terms };
  }

  /**
   * Always writes, even if the store has the same term already: a call that was not answered may still lower it,
   * and is refused once the revision has changed.
   */
  async #write(groupName: string, term: number): Promise<boolean> {
    const { store, localItem, life, log } = this.ports;
    const key = REPLACED_PREFIX + groupName;
    this.#writeCount += 1;
    const record = { term, era: store.era.current, writeId: `${life}.${this.#writeCount}` };
    let known = localItem(key) ?? null;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      if (await this.#writeOver(key, known?.revision ?? NO_REVISION, record)) return true;
      const item = await store.read(key, WRITE_TIMEOUT_MS).catch(ignoreStoreError);
      if (item === false) continue;
      if (item !== null && isSameWrite(item, record)) return true;
      known = item;
    }
    log('replaced_term_not_recorded', { group: groupName, term });
    return false;
  }

  /** Writes the record over a revision; false if the store has refused it or has not answered in time. */
  async #writeOver(key: string, revision: Revision, record: ReplacedTermRecord): Promise<boolean> {
    const duty = this.ports.dutyCondition();
    if (duty === null) return false;
    const writing = this.ports.store
      .transact({
        conditions: [{ key, revision }, duty],
        puts: [{ key, value: Buffer.from(JSON.stringify(record)), leaseId: 0 }],
        removes: [],
      })
      .then(({ kind }) => kind === 'done', ignoreStoreError);
    return Promise.race([writing, delay(WRITE_TIMEOUT_MS).then(() => false)]);
  }
}

function isSameWrite(item: StoredItem, { writeId }: ReplacedTermRecord): boolean {
  const reading = readRecord(item.value);
  return reading.kind === 'read' && reading.value.writeId === writeId;
}

/** A call that the store has not answered counts as not done until a read shows that it was. */
function ignoreStoreError(error: unknown): false {
  if (!(error instanceof StoreError)) throw error;
  return false;
}
