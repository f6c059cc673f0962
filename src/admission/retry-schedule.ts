/**
 * Assigns refused requests the times at which to retry. Pure: time and random numbers are passed in.
 *
 * @packageDocumentation
 */

/** Limits of a retry time, in milliseconds. Callers give up after a few seconds. */
const MIN_RETRY_MS = 20;
const MAX_RETRY_MS = 2000;
/** Width of the random variation, as a share of the retry time. */
const JITTER_SHARE = 0.25;

/**
 * Places of refused requests behind the backlog of a pool. Requests that were refused together retry one after
 * the other, at the rate at which requests are served.
 */
export class RetrySchedule {
  /** Time of the next free place, in monotonic milliseconds. */
  #nextPlaceMs = Number.NEGATIVE_INFINITY;

  /**
   * Takes the next place; returns the time until it, in milliseconds.
   *
   * @param backlogMs - time until the present backlog is served
   * @param intervalMs - interval between two served requests
   * @param random - a number from 0 up to 1
   */
  next(backlogMs: number, intervalMs: number, nowMs: number, random: number): number {
    // So far below the limit that the variation of the last places is not cut off by it.
    const latestMs = nowMs + MAX_RETRY_MS / (1 + JITTER_SHARE / 2);
    const placeMs = Math.min(Math.max(this.#nextPlaceMs, nowMs + backlogMs), latestMs);
    this.#nextPlaceMs = placeMs + intervalMs;
    const retryMs = (placeMs - nowMs) * (1 + (random - 0.5) * JITTER_SHARE);
    return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryMs)));
  }
}
