/**
 * The record of the promotion duty in the store, and how long a former holder may still trust it. Pure.
 *
 * The holder looks at its record with each renewal of its lease and trusts it for no longer than the lease from there.
 * A record that is gone proves little: a store may take keys away while the holder is cut off from it. So whoever takes
 * the duty waits for a lease time from when it saw the record vanish; unless the holder has said that it lets go, or its
 * process has ended.
 *
 * @packageDocumentation
 */
import * as z from 'zod/mini';
import type { StoredItem } from './coordination-store.js';
import { isSameRevision, NO_REVISION, type Revision } from './revision.js';
import type { LeaseTimes } from './store-lease.js';
import { amount, count, readJson, readShape, text, unreadable, type Reading } from './stored-json.js';

/** Times of the lease under which the duty is held. */
export const DUTY_LEASE: LeaseTimes = { lengthMs: 1500, safetyMs: 200, renewalMs: 600 };

/**
 * Time after a record has vanished without a word from which a new holder may act, in milliseconds: the last one relies on
 * its record for less than the lease, and what it has sent arrives a little later.
 */
export const TAKEOVER_WAIT_MS = 1700;

/** Digits of a fence at most: more are no number that counts exactly. */
const MAX_FENCE_DIGITS = 16;

/** Era of the store in which the record was written: one of an earlier era came back with a copy, and says nothing of the present. */
const eraSchema = z._default(count, 0);

const heldSchema = z.object({
  state: z.literal('held'),
  holder: text,
  life: text,
  fence: count,
  /** Lease under which the record stands: one of an earlier lease of the same daemon gives it nothing. */
  leaseId: count,
  /** Time from the writing until the holder may act, in milliseconds: an earlier one may still do so. */
  actsInMs: amount,
  era: eraSchema,
});
const releasedSchema = z.object({
  state: z.literal('released'),
  fence: count,
  /** Time from the writing until another may act, in milliseconds: whoever let go may not have acted yet itself. */
  actsInMs: z._default(amount, 0),
  era: eraSchema,
});
const recordSchema = z.discriminatedUnion('state', [heldSchema, releasedSchema]);

/** What the record says. */
export type DutyRecord = Readonly<z.infer<typeof heldSchema>> | Readonly<z.infer<typeof releasedSchema>>;

/** Reads a record. */
export function readDutyRecord(value: Buffer): Reading<DutyRecord> {
  return readJson(value, recordSchema);
}

/** Reads a fence: a whole number in decimal digits. */
export function readFence(value: Buffer): Reading<number> {
  const digits = value.length <= MAX_FENCE_DIGITS ? value.toString('latin1') : '';
  const reading = readShape(/^\d+$/.test(digits) ? Number(digits) : null, count);
  return reading.kind === 'read' ? reading : unreadable('shape', 'whole number expected');
}

/**
 * Fences that one era of the store can give out: the first one of an era is above all of the eras before it, though the store has
 * forgotten the last of those. Fences of an era without so many holders rise by themselves.
 */
const FENCES_PER_ERA = 1_000_000;

/** Below all fences of an era, and above those of the eras before it. */
function baseFenceOf(era: number): number {
  return era * FENCES_PER_ERA;
}

/**
 * The fence of the next holder: above every earlier one, also where the last cannot be read or is lost. Each fence is one more than
 * the first of its era, some earlier fence, or that first and some earlier revision, and is written at a later revision: so within
 * its era none is above the revision of its item.
 *
 * @param item - the item of the fence, or `null` when the duty was never held
 * @param record - the record of the duty, or `null` when there is none that can be read
 * @param era - the era of the store
 */
export function nextFence(item: StoredItem | null, record: DutyRecord | null, era: number): number {
  const base = baseFenceOf(era);
  const stored = item === null ? null : readFence(item.value);
  const last = stored?.kind === 'read' ? stored.value : base + (item?.revision.number ?? 0);
  return Math.max(base, last, record?.fence ?? 0) + 1;
}

/** Writes a record. */
export function formatDutyRecord(record: DutyRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}

/** A holder of the duty. */
export interface DutyHolder {
  readonly name: string;
  readonly life: string;
}

/** What a daemon sees of the duty in its copy of the store. */
export interface DutySight {
  /** Era of the store. */
  readonly era: number;
  /** `null` when there is none that can be read. */
  readonly record: DutyRecord | null;
  /** Revision of the record, {@link NO_REVISION} for none. */
  readonly revision: Revision;
  /** The last fence, 0 when the duty was never held; `null` where it cannot be read. */
  readonly fence: number | null;
}

/** The record, where it was written in the present era. */
export function presentRecord({ era, record }: Pick<DutySight, 'era' | 'record'>): DutyRecord | null {
  return record?.era === era ? record : null;
}

/** What one daemon has seen of holders of the duty. Monotonic times, in milliseconds. */
export class DutyHistory {
  /** Era of the last look; `null` before the first. */
  #era: number | null = null;
  #revision = NO_REVISION;
  #fence: number | null = 0;
  #holder: DutyHolder | null = null;
  #holderActsFromMs = Number.NEGATIVE_INFINITY;
  #vanishedAtMs = Number.NEGATIVE_INFINITY;
  /** When an era was first seen in which nobody had held the duty; minus infinity for others. */
  #newEraSeenAtMs = Number.NEGATIVE_INFINITY;

  /** The last holder that was seen and has not let go, or `null`. */
  get holder(): DutyHolder | null {
    return this.#holder;
  }

  /** Time from which the last holder acted or would have, which it may owe to an earlier one. */
  get holderActsFromMs(): number {
    return this.#holderActsFromMs;
  }

  /** Time since an era was first seen that had just begun, as far as the store tells, in milliseconds. */
  sinceNewEraMs(nowMs: number): number {
    return nowMs - this.#newEraSeenAtMs;
  }

  /** Takes what the store has now. */
  observe(observation: DutySight, nowMs: number): void {
    if (this.#era !== observation.era) this.#beginEra(observation, nowMs);
    const record = presentRecord(observation);
    const isNextFence = observation.fence !== this.#fence;
    this.#fence = observation.fence;
    if (record === null) {
      // Gone without a word: the holder may still act. One whose record has come and gone between two looks has left its fence.
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
   * The first look at an era. Unless a record of it stands, somebody may still act: the last holder of the era before, whose record
   * the copy may lack, or one that was never seen here.
   */
  #beginEra(observation: DutySight, nowMs: number): void {
    const wasNeverHeld = this.#era === null && observation.record === null && observation.fence === 0;
    this.#era = observation.era;
    this.#fence = observation.fence;
    this.#revision = NO_REVISION;
    this.#holder = null;
    this.#holderActsFromMs = Number.NEGATIVE_INFINITY;
    this.#vanishedAtMs = wasNeverHeld ? Number.NEGATIVE_INFINITY : nowMs;
    const wasHeldInIt = observation.fence !== null && observation.fence > baseFenceOf(observation.era);
    const isNew = !wasNeverHeld && !wasHeldInIt;
    this.#newEraSeenAtMs = isNew ? nowMs : Number.NEGATIVE_INFINITY;
  }

  /**
   * Time from which a new holder may act.
   *
   * @param endedLife - life of a holder that is known to act no more: an earlier process of the new holder, or itself
   */
  freeFromMs(endedLife: string | null): number {
    if (this.#holder !== null && this.#holder.life === endedLife) return this.#holderActsFromMs;
    const vanishedFreeMs = this.#vanishedAtMs + TAKEOVER_WAIT_MS;
    return this.#holder === null ? Math.max(vanishedFreeMs, this.#holderActsFromMs) : vanishedFreeMs;
  }
}
