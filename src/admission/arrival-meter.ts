/**
 * Smoothed rate at which requests arrive at a pool, by priority. Pure: times are passed in.
 *
 * @packageDocumentation
 */

/**
 * Time constant of the rate, in milliseconds: short against the time-out of a statement (800 ms and more), so
 * that a burst counts while it lasts, and long against the interval between two requests.
 */
const TIME_CONSTANT_MS = 300;
/** Number of priorities that are told apart; less urgent ones count as the last of these. */
const PRIORITIES = 8;

/** Counts arrivals with exponential decay. */
export class ArrivalMeter {
  /** Decayed number of arrivals, by priority. */
  readonly #counts = new Array<number>(PRIORITIES).fill(0);
  #countedAtMs = 0;

  /** Records the arrival of one request. */
  record(priority: number, nowMs: number): void {
    this.#decay(nowMs);
    const index = indexOf(priority);
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
  }

  /** Arrivals per millisecond of requests that are more urgent than a priority. */
  rateAbove(priority: number, nowMs: number): number {
    return this.#rate(indexOf(priority), nowMs);
  }

  /** Arrivals per millisecond of all requests. */
  rate(nowMs: number): number {
    return this.#rate(PRIORITIES, nowMs);
  }

  #rate(end: number, nowMs: number): number {
    this.#decay(nowMs);
    let count = 0;
    for (let index = 0; index < end; index += 1) count += this.#counts[index] ?? 0;
    return count / TIME_CONSTANT_MS;
  }

  #decay(nowMs: number): void {
    const elapsedMs = nowMs - this.#countedAtMs;
    if (elapsedMs <= 0) return;
    this.#countedAtMs = nowMs;
    const factor = Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    for (let index = 0; index < PRIORITIES; index += 1)
      this.#counts[index] = (this.#counts[index] ?? 0) * factor;
  }
}

function indexOf(priority: number): number {
  return Math.min(PRIORITIES - 1, Math.max(0, Math.floor(priority)));
}
