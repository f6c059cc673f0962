/**
 * Delays between attempts: exponential backoff with jitter. Pure: the random number is passed in.
 *
 * @packageDocumentation
 */

/** Settings of a backoff; times in milliseconds. */
export interface BackoffOptions {
  readonly initialDelayMs: number;
  readonly maxDelayMs: number;
}

/**
 * Delay before a retry, in milliseconds: between half of the exponential delay and all of it.
 *
 * @param attempt - 0 for the first retry
 * @param random - uniform random number in [0, 1)
 */
export function backoffDelayMs(options: BackoffOptions, attempt: number, random: number): number {
  const ceiling = Math.min(options.maxDelayMs, options.initialDelayMs * 2 ** Math.min(attempt, 20));
  return ceiling * (0.5 + random / 2);
}
