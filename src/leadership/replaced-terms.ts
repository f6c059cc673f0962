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

/** Time limit of a read, in milliseconds: leaves time to ask the members before the evidence expires. */
const READ_TIMEOUT_MS = 300;
/** Time after a read without an answer in which the store is not asked again, in milliseconds. */
const READ_PAUSE_MS = 1000;
/** Time limit of each call for a write, in milliseconds; an answer may be lost. */
const WRITE_TIMEOUT_MS = 400;
/** Number of attempts to write a record: this daemon's copy of the revision may be out of date. */
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

/** A record that was written. */
export interface RaisedTerm {
  /** The recorded term. */
  readonly term: number;
  /** The term that was recorded before; `null` if there was no valid record. */
  readonly found: number | null;
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
  readonly #lastWrites = new Map<string, Promise<RaisedTerm | null>>();

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
   * Records that the leader of `term` may be replaced. If that term has been recorded before, its leader may have
   * been replaced by one of the next term, which is recorded too.
   *
   * @returns the record, once the store has accepted it; `null` if it may not have
   */
  raise(groupName: string, term: number): Promise<RaisedTerm | null> {
    return this.#enqueue(groupName, (found) => (found !== null && found >= term ? found + 1 : term));
  }

  /**
   * Records that leaders of terms up to `term` may be replaced, and those of later terms not.
   *
   * @param isCurrent - whether that still holds when the write is due
   * @returns true once the store has accepted it; otherwise it may have, or may still do so
   */
  async set(groupName: string, term: number, isCurrent: () => boolean = () => true): Promise<boolean> {
    return (await this.#enqueue(groupName, () => (isCurrent() ? term : null))) !== null;
  }

  /** Makes the writes for one group one after the other. */
  #enqueue(groupName: string, choose: (found: number | null) => number | null): Promise<RaisedTerm | null> {
    const previous = this.#lastWrites.get(groupName) ?? Promise.resolve(null);
    const writing = previous.then(() => this.#write(groupName, choose));
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
    const { items, revision } = await store.list(REPLACED_PREFIX);
    const terms = new Map<string, number>();
    for (const item of items) {
      const record = valueOrReport('replaced_term', item, readRecord(item.value), faults);
      if (record?.era === revision.era) terms.set(item.key.slice(REPLACED_PREFIX.length), record.term);
    }
    return { askedAtMs, terms };
  }

  /**
   * Always writes, even if the store has the same term already: a call that was not answered may still change it,
   * and is refused once the revision has changed.
   */
  async #write(
    groupName: string,
    choose: (found: number | null) => number | null,
  ): Promise<RaisedTerm | null> {
    const { store, localItem, life, log } = this.ports;
    const key = REPLACED_PREFIX + groupName;
    this.#writeCount += 1;
    const writeId = `${life}.${this.#writeCount}`;
    let known = localItem(key) ?? null;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      const found = this.#currentTerm(known);
      const term = choose(found);
      if (term === null) return null;
      const record = { term, era: store.era.current, writeId };
      if (await this.#writeOver(key, known?.revision ?? NO_REVISION, record)) return { term, found };
      const item = await store.read(key, WRITE_TIMEOUT_MS).catch(ignoreStoreError);
      if (item === false) continue;
      if (item !== null && isSameWrite(item, record)) return { term, found };
      known = item;
    }
    log('replaced_term_not_recorded', { group: groupName });
    return null;
  }

  /** The term of a record of the present era; `null` if there is none. */
  #currentTerm(item: StoredItem | null): number | null {
    const reading = item === null ? null : readRecord(item.value);
    const isCurrent = reading?.kind === 'read' && reading.value.era === this.ports.store.era.current;
    return isCurrent ? reading.value.term : null;
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
