/**
 * The record of the promotion duty in the store, and how long a former holder may still trust it. Pure.
 *
 * The holder writes its record anew with each renewal, so that the others see when it last did. A record that is gone
 * proves little: a store may take keys away while the holder is cut off from it. So whoever takes the duty waits
 * until the last holder, counting from its last renewal that was heard of, has stopped by its own clock; unless the
 * holder has said that it lets go.
 *
 * @packageDocumentation
 */

/** Length of the lease, in milliseconds. */
export const LEASE_MS = 3000;

/** What the record says. */
export type DutyRecord =
  | {
      readonly state: 'held';
      readonly holder: string;
      readonly life: string;
      readonly fence: number;
      /** Lease under which the record stands: one of an earlier lease of the same daemon gives it nothing. */
      readonly leaseId: number;
      /** Rises with each renewal. */
      readonly renewal: number;
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

/** What one daemon has heard of holders of the duty. Monotonic times, in milliseconds. */
export class DutyHistory {
  #hasLooked = false;
  #revision = 0;
  #life: string | null = null;
  #actsFromMs = Number.NEGATIVE_INFINITY;
  #freeFromMs = Number.NEGATIVE_INFINITY;

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
      // Gone without a word: somebody of whom this daemon has not heard may still act.
      if (hasBeenHeld && isFirstLook) this.#freeFromMs = nowMs + LEASE_MS;
      return;
    }
    if (revision === this.#revision) return;
    this.#revision = revision;
    this.#life = record.state === 'held' ? record.life : null;
    this.#actsFromMs = record.state === 'held' ? nowMs + record.actsInMs : Number.NEGATIVE_INFINITY;
    this.#freeFromMs = record.state === 'held' ? nowMs + LEASE_MS : Number.NEGATIVE_INFINITY;
  }

  /**
   * Time from which a new holder may act.
   *
   * @param endedLife - life of a holder that is known to act no more: an earlier process of the new holder, or itself
   */
  freeFromMs(endedLife: string | null): number {
    return this.#life !== null && this.#life === endedLife ? this.#actsFromMs : this.#freeFromMs;
  }
}
