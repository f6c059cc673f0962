/**
 * A token bucket: so many tokens a second, and at most so many at once. Pure.
 *
 * @packageDocumentation
 */
import type { Quota } from '../tenancy/tenant-register.js';

/** What was taken, and when there is more. */
export interface Taken {
  readonly count: number;
  /** Time until there is a token, in milliseconds; 0 while there is one. */
  readonly roomInMs: number;
}

/** Advice where a bucket never fills, in milliseconds. */
const NEVER_MS = 60_000;

/** One bucket; its size may change at any time. */
export class TokenBucket {
  #tokens: number;

  /**
   * @param sinceMs - since when it has filled, in monotonic milliseconds
   * @param tokens - what it held then
   */
  constructor(
    private sinceMs: number,
    tokens = 0,
  ) {
    this.#tokens = tokens;
  }

  /** Takes up to `wanted` tokens. */
  take(wanted: number, { ratePerS, burst }: Quota, nowMs: number): Taken {
    // Below one token at once, nothing could ever be taken.
    const size = Math.max(1, burst);
    const grown = (ratePerS * Math.max(0, nowMs - this.sinceMs)) / 1000;
    this.#tokens = Math.min(size, this.#tokens + grown);
    this.sinceMs = Math.max(this.sinceMs, nowMs);
    const count = Math.max(0, Math.min(wanted, Math.floor(this.#tokens)));
    this.#tokens -= count;
    const isEmpty = this.#tokens < 1;
    const fillMs = ratePerS > 0 ? ((1 - this.#tokens) * 1000) / ratePerS : NEVER_MS;
    return { count, roomInMs: isEmpty ? Math.min(NEVER_MS, Math.ceil(fillMs)) : 0 };
  }
}
