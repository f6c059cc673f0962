/**
 * The era of the store, a number that increases each time the store is restored from a backup. A restore
 * loses everything written since the backup, including leases, and the store assigns the lost revision
 * numbers again.
 *
 * @packageDocumentation
 */

/** Called after the store was restored from a backup. */
export type EraListener = (era: number, before: number) => void;

/** The highest era reported by any response of the store. */
export class StoreEra {
  #current: number | null = null;
  readonly #listeners: EraListener[] = [];

  /** The latest era known to this daemon; 0 before the first response of the store. */
  get current(): number {
    return this.#current ?? 0;
  }

  /** Registers a listener for each increase of the era. The first era observed is not an increase. */
  onIncrease(listener: EraListener): void {
    this.#listeners.push(listener);
  }

  /** Records the era of a response. Responses may arrive late and carry an earlier era, which is ignored. */
  observe(era: number): void {
    const before = this.#current;
    if (before !== null && era <= before) return;
    this.#current = era;
    if (before === null) return;
    for (const listener of this.#listeners) listener(era, before);
  }
}
