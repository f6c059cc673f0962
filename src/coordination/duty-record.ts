/**
 * The record of the promotion duty in the store, and the time for which a former holder may still rely on it.
 * Pure.
 *
 * The promotion duty is the exclusive right to promote members. The holder reads its record with each renewal
 * of its lease and relies on it for at most the duration of the lease from then on. A deleted record does not
 * prove that the holder has stopped: the store may delete keys while the holder is disconnected from it. A
 * new holder therefore waits for the duration of a lease after it observed the deletion, unless the last
 * holder has released the duty or its process has ended.
 *
 * @packageDocumentation
 */
import * as z from 'zod/mini';
import type { StoredItem } from './coordination-store.js';
import { isSameRevision, NO_REVISION, type Revision } from './revision.js';
import type { LeaseTimes } from './store-lease.js';
import {
  nonNegativeNumberSchema,
  nonNegativeIntSchema,
  readJson,
  readShape,
  nonEmptyStringSchema,
  unreadable,
  type ReadResult,
} from './stored-json.js';

/** Times of the lease to which the record of the duty is attached. */
export const DUTY_LEASE: LeaseTimes = { lengthMs: 1500, safetyMs: 200, renewalMs: 600 };

/**
 * Time from the deletion of a record, without a release, until a new holder may act, in milliseconds. The
 * last holder relies on its record for less than the lease; the rest of the time allows for messages that it
 * has sent and that are still in transit.
 */
export const TAKEOVER_WAIT_MS = 1700;

/** Longest fence, in digits; larger numbers are not exact. */
const MAX_FENCE_DIGITS = 16;

/**
 * Era of the store in which the record was written. A record of an earlier era was restored from a backup and
 * is not current.
 */
const eraSchema = z._default(nonNegativeIntSchema, 0);

const heldSchema = z.object({
  state: z.literal('held'),
  holder: nonEmptyStringSchema,
  life: nonEmptyStringSchema,
  fence: nonNegativeIntSchema,
  /**
   * Lease to which the record is attached. A record of an earlier lease of the same daemon does not make it
   * the holder.
   */
  leaseId: nonNegativeIntSchema,
  /**
   * Time from the writing of the record until the holder may act, in milliseconds; an earlier holder may act
   * until then.
   */
  actsInMs: nonNegativeNumberSchema,
  era: eraSchema,
});
const releasedSchema = z.object({
  state: z.literal('released'),
  fence: nonNegativeIntSchema,
  /**
   * Time from the writing of the record until a new holder may act, in milliseconds: the holder that released
   * the duty may still have been waiting for an earlier one.
   */
  actsInMs: z._default(nonNegativeNumberSchema, 0),
  era: eraSchema,
});
const recordSchema = z.discriminatedUnion('state', [heldSchema, releasedSchema]);

export type DutyRecord = Readonly<z.infer<typeof heldSchema>> | Readonly<z.infer<typeof releasedSchema>>;

export function readDutyRecord(value: Buffer): ReadResult<DutyRecord> {
  return readJson(value, recordSchema);
}

/** Reads a fence, an integer in decimal digits. */
export function readFence(value: Buffer): ReadResult<number> {
  const digits = value.length <= MAX_FENCE_DIGITS ? value.toString('latin1') : '';
  const reading = readShape(/^\d+$/.test(digits) ? Number(digits) : null, nonNegativeIntSchema);
  return reading.kind === 'read' ? reading : unreadable('shape', 'whole number expected');
}

/**
 * Number of fences reserved for each era of the store. The fences of an era thereby exceed those of all
 * earlier eras, though the store has lost the last of them, as long as each era uses fewer fences than this.
 * Within an era, fences increase in any case.
 */
const FENCES_PER_ERA = 1_000_000;

/**
 * Lower bound of the fences of an era: less than each of them, and not less than the fences of earlier eras.
 */
function baseFenceOf(era: number): number {
  return era * FENCES_PER_ERA;
}

/**
 * The fence of the next holder: greater than every earlier one, also if the last fence cannot be read or is
 * lost. Each fence is one more than the base of its era, than an earlier fence, or than the sum of that base
 * and an earlier revision number, and it is written at a later revision. So within an era no fence exceeds
 * the base plus the revision number of its item, and that sum takes the place of a fence that cannot be read.
 *
 * @param item - the item of the fence, or `null` if the duty was never held
 * @param record - the record of the duty, or `null` if there is none that can be read
 * @param era - the era of the store
 */
export function nextFence(item: StoredItem | null, record: DutyRecord | null, era: number): number {
  const base = baseFenceOf(era);
  const stored = item === null ? null : readFence(item.value);
  const last = stored?.kind === 'read' ? stored.value : base + (item?.revision.number ?? 0);
  return Math.max(base, last, record?.fence ?? 0) + 1;
}

export function formatDutyRecord(record: DutyRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** A holder of the duty: name of the daemon, and identity of its process. */
export interface DutyHolder {
  readonly name: string;
  readonly life: string;
}

/** The state of the duty in a daemon's local copy of the store. */
export interface DutyObservation {
  /** Era of the store. */
  readonly era: number;
  /** `null` if there is none that can be read. */
  readonly record: DutyRecord | null;
  /** Revision of the record, {@link NO_REVISION} if there is none. */
  readonly revision: Revision;
  /** The last fence, 0 if the duty was never held, `null` if it cannot be read. */
  readonly fence: number | null;
}

/** The record if it was written in the current era, otherwise `null`. */
export function currentRecord({ era, record }: Pick<DutyObservation, 'era' | 'record'>): DutyRecord | null {
  return record?.era === era ? record : null;
}

/** What one daemon has observed of the holders of the duty. Times are monotonic, in milliseconds. */
export class DutyHistory {
  /** Era of the last observation; `null` before the first. */
  #era: number | null = null;
  #revision = NO_REVISION;
  #fence: number | null = 0;
  #holder: DutyHolder | null = null;
  #holderActsFromMs = Number.NEGATIVE_INFINITY;
  #vanishedAtMs = Number.NEGATIVE_INFINITY;
  /**
   * When the current era was first observed, if the duty had been held before but not yet in this era;
   * otherwise minus infinity.
   */
  #newEraSeenAtMs = Number.NEGATIVE_INFINITY;

  /** The last holder observed, or `null` if it has released the duty or is not known. */
  get holder(): DutyHolder | null {
    return this.#holder;
  }

  /** Time from which the last holder was allowed to act; it may have had to wait for an earlier one. */
  get holderActsFromMs(): number {
    return this.#holderActsFromMs;
  }

  /**
   * Time since an era was first observed in which the duty had not been held yet, in milliseconds; infinite
   * if there was none.
   */
  sinceNewEraMs(nowMs: number): number {
    return nowMs - this.#newEraSeenAtMs;
  }

  /** Records the current state of the store. */
  observe(observation: DutyObservation, nowMs: number): void {
    if (this.#era !== observation.era) this.#beginEra(observation, nowMs);
    const record = currentRecord(observation);
    const isNextFence = observation.fence !== this.#fence;
    this.#fence = observation.fence;
    if (record === null) {
      // Deleted without a release, so the holder may still act. If a record appeared and was deleted between
      // two observations, only the changed fence shows that there was another holder.
      if (isNextFence) this.#holder = null;
      if (isNextFence || !isSameRevision(this.#revision, NO_REVISION)) this.#vanishedAtMs = nowMs;
      this.#revision = NO_REVISION;
      return;
    }
    if (isSameRevision(observation.revision, this.#revision)) return;
    this.#revision = observation.revision;
    this.#vanishedAtMs = Number.NEGATIVE_INFINITY;
    this.#holder = record.state === 'held' ? { name: record.holder, life: record.life } : null;
    this.#holderActsFromMs = nowMs + record.actsInMs;
  }

  /**
   * First observation of an era. Without a record of this era, an unknown holder may still act: the last one
   * of the earlier era, whose record the backup may lack, or one that this daemon never observed.
   */
  #beginEra(observation: DutyObservation, nowMs: number): void {
    const wasNeverHeld = this.#era === null && observation.record === null && observation.fence === 0;
    this.#era = observation.era;
    this.#fence = observation.fence;
    this.#revision = NO_REVISION;
    this.#holder = null;
    this.#holderActsFromMs = Number.NEGATIVE_INFINITY;
    this.#vanishedAtMs = wasNeverHeld ? Number.NEGATIVE_INFINITY : nowMs;
    const wasHeldInEra = observation.fence !== null && observation.fence > baseFenceOf(observation.era);
    const isNew = !wasNeverHeld && !wasHeldInEra;
    this.#newEraSeenAtMs = isNew ? nowMs : Number.NEGATIVE_INFINITY;
  }

  /**
   * Time from which a new holder may act.
   *
   * @param endedLife - identity of a holder process that is known not to act any more: an earlier process of
   * the new holder's daemon, or the new holder itself
   */
  freeFromMs(endedLife: string | null): number {
    if (this.#holder !== null && this.#holder.life === endedLife) return this.#holderActsFromMs;
    const vanishedFreeMs = this.#vanishedAtMs + TAKEOVER_WAIT_MS;
    return this.#holder === null ? Math.max(vanishedFreeMs, this.#holderActsFromMs) : vanishedFreeMs;
  }
}
