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

const heldSchema = z.object({
  state: z.literal('held'),
  holder: text,
  life: text,
  fence: count,
  /** Lease under which the record stands: one of an earlier lease of the same daemon gives it nothing. */
  leaseId: count,
  /** Time from the writing until the holder may act, in milliseconds: an earlier one may still do so. */
  actsInMs: amount,
});
const releasedSchema = z.object({ state: z.literal('released'), fence: count });
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
 * The fence of the next holder: above every earlier one, also where the last cannot be read. Each fence is one more than some
 * earlier fence, or than some earlier revision, and is written at a later revision: so none is above the revision of its item.
 *
 * @param item - the item of the fence, or `null` when the duty was never held
 * @param record - the record of the duty, or `null` when there is none that can be read
 */
export function nextFence(item: StoredItem | null, record: DutyRecord | null): number {
  const told = item === null ? null : readFence(item.value);
  const last = told?.kind === 'read' ? told.value : (item?.revision.number ?? 0);
  return Math.max(last, record?.fence ?? 0) + 1;
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

/** What one daemon has seen of holders of the duty. Monotonic times, in milliseconds. */
export class DutyHistory {
  #hasLooked = false;
  #revision = NO_REVISION;
  #holder: DutyHolder | null = null;
  #holderActsFromMs = Number.NEGATIVE_INFINITY;
  #vanishedAtMs = Number.NEGATIVE_INFINITY;

  /** The last holder that was seen and has not let go, or `null`. */
  get holder(): DutyHolder | null {
    return this.#holder;
  }

  /** Time from which the last holder acted, which it may owe to an earlier one. */
  get holderActsFromMs(): number {
    return this.#holderActsFromMs;
  }

  /**
   * Takes what the store has now.
   *
   * @param record - `null` when there is none
   * @param revision - revision of the record, {@link NO_REVISION} for none
   * @param hasBeenHeld - true when the duty has been held before, by whomever
   */
  observe(record: DutyRecord | null, revision: Revision, hasBeenHeld: boolean, nowMs: number): void {
    const isFirstLook = !this.#hasLooked;
    this.#hasLooked = true;
    if (record === null) {
      // Gone without a word: a holder, seen or not, may still act.
      const hasVanished = !isSameRevision(this.#revision, NO_REVISION) || (isFirstLook && hasBeenHeld);
      if (hasVanished) this.#vanishedAtMs = nowMs;
      this.#revision = NO_REVISION;
      return;
    }
    if (isSameRevision(revision, this.#revision)) return;
    this.#revision = revision;
    this.#vanishedAtMs = Number.NEGATIVE_INFINITY;
    this.#holder = record.state === 'held' ? { name: record.holder, life: record.life } : null;
    this.#holderActsFromMs = record.state === 'held' ? nowMs + record.actsInMs : Number.NEGATIVE_INFINITY;
  }

  /**
   * Time from which a new holder may act.
   *
   * @param endedLife - life of a holder that is known to act no more: an earlier process of the new holder, or itself
   */
  freeFromMs(endedLife: string | null): number {
    if (this.#holder !== null && this.#holder.life === endedLife) return this.#holderActsFromMs;
    return this.#vanishedAtMs + TAKEOVER_WAIT_MS;
  }
}
