/**
 * A token bucket with a refill rate and a burst size. Pure.
 *
 * @packageDocumentation
 */
import type { Quota } from '../tenancy/tenant-registry.js';

/** Result of {@link TokenBucket.take}. */
export interface TakeResult {
  readonly count: number;
  /** Time until the next token is available, in milliseconds; 0 while there is one. */
  readonly roomInMs: number;
}

/**
 * Retry delay for a bucket with rate 0, which never refills, and upper limit of all others, in milliseconds.
 */
const NO_REFILL_RETRY_MS = 60_000;

/** A token bucket whose rate and burst may differ at each call. */
export class TokenBucket {
  #tokens: number;

  /**
   * @param filledAtMs - time up to which the bucket has been refilled, in monotonic milliseconds
   * @param tokens - tokens that it holds at that time
   */
  constructor(
    private filledAtMs: number,
    tokens = 0,
  ) {
    this.#tokens = tokens;
  }

  /** Takes up to `requested` tokens. */
  take(requested: number, { ratePerS, burst }: Quota, nowMs: number): TakeResult {
    // With a capacity below one token, no token could ever be taken.
    const capacity = Math.max(1, burst);
    const refill = (ratePerS * Math.max(0, nowMs - this.filledAtMs)) / 1000;
    this.#tokens = Math.min(capacity, this.#tokens + refill);
    this.filledAtMs = Math.max(this.filledAtMs, nowMs);
    const count = Math.max(0, Math.min(requested, Math.floor(this.#tokens)));
    this.#tokens -= count;
    const isEmpty = this.#tokens < 1;
    const nextTokenMs = ratePerS > 0 ? ((1 - this.#tokens) * 1000) / ratePerS : NO_REFILL_RETRY_MS;
    return { count, roomInMs: isEmpty ? Math.min(NO_REFILL_RETRY_MS, Math.ceil(nextTokenMs)) : 0 };
  }
}
