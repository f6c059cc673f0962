/**
 * Budget for the retries and hedged requests of one group, in proportion to its first attempts. Pure.
 *
 * Under overload, retries that are not limited add load to what caused them, and keep a group overloaded after
 * the cause has ended.
 *
 * @packageDocumentation
 */

/** Tokens that each first attempt adds: retries add at most a tenth to the load. */
const TOKENS_PER_ATTEMPT = 0.1;
/** Most tokens that are kept, so that single refusals are retried without delay. */
const MAX_TOKENS = 10;

/** A token bucket that first attempts fill. */
export class RetryBudget {
  #tokens = MAX_TOKENS;

  /** Records the first attempt of a request. */
  recordFirstAttempt(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + TOKENS_PER_ATTEMPT);
  }

  /** Takes a token for a retry or a hedged request; false if there is none. */
  tryTake(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
