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

import type { LeaseTimes } from './store-lease.js';

/** Times of the lease under which the duty is held. */
export const DUTY_LEASE: LeaseTimes = { lengthMs: 1500, safetyMs: 200, renewalMs: 600 };

/**
 * Time after a record has vanished without a word from which a new holder may act, in milliseconds: the last one relies on
 * its record for less than the lease, and what it has sent arrives a little later.
 */
export const TAKEOVER_WAIT_MS = 1700;

/** What the record says. */
export type DutyRecord =
  | {
      readonly state: 'held';
      readonly holder: string;
      readonly life: string;
      readonly fence: number;
      /** Lease under which the record stands: one of an earlier lease of the same daemon gives it nothing. */
      readonly leaseId: number;
      /** Time from the writing until the holder may act, in milliseconds: an earlier one may still do so. */
      readonly actsInMs: number;
    }
  | { readonly state: 'released'; readonly fence: number };

/** Reads a record. */
export function parseDutyRecord(value: Buffer): DutyRecord {
  return JSON.parse(value.toString()) as DutyRecord;
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
  #revision = 0;
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
   * @param revision - revision of the record, 0 for none
   * @param hasBeenHeld - true when the duty has been held before, by whomever
   */
  observe(record: DutyRecord | null, revision: number, hasBeenHeld: boolean, nowMs: number): void {
    const isFirstLook = !this.#hasLooked;
    this.#hasLooked = true;
    if (record === null) {
      // Gone without a word: a holder, seen or not, may still act.
      const hasVanished = this.#revision !== 0 || (isFirstLook && hasBeenHeld);
      if (hasVanished) this.#vanishedAtMs = nowMs;
      this.#revision = 0;
      return;
    }
    if (revision === this.#revision) return;
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
