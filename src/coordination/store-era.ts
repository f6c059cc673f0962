/**
 * The era of the store: it rises each time the store comes back from a copy. What was written since that copy is gone then, leases
 * too, and revisions are given out again.
 *
 * @packageDocumentation
 */

/** Told that the store has come back from a copy. */
export type EraListener = (era: number, before: number) => void;

/** The highest era that any answer of the store has told. */
export class StoreEra {
  #current: number | null = null;
  readonly #listeners: EraListener[] = [];

  /** The era in which the store is, as far as this daemon knows; 0 before its first answer. */
  get current(): number {
    return this.#current ?? 0;
  }

  /** Tells a listener of each later era; not of the first that is heard of. */
  onRise(listener: EraListener): void {
    this.#listeners.push(listener);
  }

  /** Takes the era of an answer, which may be an old one that comes late. */
  hear(era: number): void {
    const before = this.#current;
    if (before !== null && era <= before) return;
    this.#current = era;
    if (before === null) return;
    for (const listener of this.#listeners) listener(era, before);
  }
}
