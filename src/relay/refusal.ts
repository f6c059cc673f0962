/**
 * How a request of a session ends without success, and what its client may conclude.
 *
 * @packageDocumentation
 */
import type { Verdict } from '../verdict/verdict.js';

/** Reasons that a client is given. */
export type RefusalCode =
  /** Not run; members or connections are short. */
  | 'busy'
  /** The transaction is rolled back: nothing is kept. */
  | 'aborted'
  /** A write or commit was sent and its answer was lost. */
  | 'in_doubt'
  /** The statement's time is over. */
  | 'timed_out'
  /** The member ran it and it failed. */
  | 'failed'
  | 'unknown_name'
  | 'unknown_database'
  /** No tenant holds the caller's key, or none does any more. */
  | 'unauthorized'
  | 'malformed'
  | 'too_large';

/** What decided a refusal, for the log: members, terms, ages. */
export type RefusalInputs = Readonly<Record<string, string | number | boolean | null>>;

/** The final outcome of a request that was refused, given up on or lost. */
export class Refusal extends Error {
  override readonly name = 'Refusal';

  /**
   * @param verdict - whether the request may have had an effect
   * @param retryAfterMs - when to come back, in milliseconds; `null` when coming back is of no use
   * @param inputs - what decided it
   */
  constructor(
    readonly code: RefusalCode,
    readonly verdict: Verdict,
    reason: string,
    readonly retryAfterMs: number | null = null,
    readonly inputs: RefusalInputs = {},
  ) {
    super(reason);
  }
}
