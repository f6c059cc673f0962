/**
 * Response time of a member over the last second. Pure.
 *
 * The average over many answers follows a change too slowly for a daemon that sends a member one request a
 * second, so earlier answers lose their weight with time as well.
 *
 * @packageDocumentation
 */

/** Weight of earlier answers against a new one that follows at once. */
const EARLIER_WEIGHT = 0.5;
/** Half-life of the weight of earlier answers, in milliseconds. */
const HALF_LIFE_MS = 500;
/** Time after the last answer for which the average describes the member, in milliseconds. */
const VALIDITY_MS = 1000;

/** Smoothed response time of one member. */
export class RecentLatency {
  #latencyMs = 0;
  #answeredAtMs = Number.NEGATIVE_INFINITY;

  /** Records an answer. */
  record(latencyMs: number, nowMs: number): void {
    const earlier = EARLIER_WEIGHT * 0.5 ** (Math.max(0, nowMs - this.#answeredAtMs) / HALF_LIFE_MS);
    this.#latencyMs = earlier * this.#latencyMs + (1 - earlier) * latencyMs;
    this.#answeredAtMs = nowMs;
  }

  /** Time since the last answer, in milliseconds. */
  ageMs(nowMs: number): number {
    return nowMs - this.#answeredAtMs;
  }

  /** The response time, in milliseconds; `null` if the last answer is too old. */
  valueMs(nowMs: number): number | null {
    return nowMs - this.#answeredAtMs <= VALIDITY_MS ? this.#latencyMs : null;
  }
}
