/**
 * Measures the time between requests and their replies. The time is known only for a request that is the only
 * one in flight under its id.
 *
 * @packageDocumentation
 */

/** Start times of the requests in flight. */
export class RequestTimes {
  readonly #inFlight = new Map<number, { count: number; startMs: number | null }>();

  /** Records that a request was sent or received. */
  started(id: number, nowMs: number): void {
    const current = this.#inFlight.get(id);
    if (current === undefined) {
      this.#inFlight.set(id, { count: 1, startMs: nowMs });
      return;
    }
    current.count += 1;
    current.startMs = null;
  }

  /** Records a reply; returns the time since its request in milliseconds, or `null` if it is not known. */
  finished(id: number, nowMs: number): number | null {
    const current = this.#inFlight.get(id);
    if (current === undefined) return null;
    current.count -= 1;
    if (current.count === 0) this.#inFlight.delete(id);
    return current.startMs === null ? null : nowMs - current.startMs;
  }

  /** Forgets the requests under an id. */
  forget(id: number): void {
    this.#inFlight.delete(id);
  }
}
