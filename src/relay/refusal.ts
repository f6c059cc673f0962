/**
 * The refusal of a session's request: why it did not succeed, and whether it may have had an effect.
 *
 * @packageDocumentation
 */
import type { AdmissionError } from '../admission/admission-error.js';
import type { Verdict } from '../verdict/verdict.js';

/** Refusal codes, as reported to clients. */
export type RefusalCode =
  /** Not run: no member, connection or quota was available. */
  | 'busy'
  /** The transaction is rolled back. */
  | 'aborted'
  /** A write or commit was sent and its answer was lost. */
  | 'in_doubt'
  /** The statement timed out. */
  | 'timed_out'
  /** The member ran the statement and it failed. */
  | 'failed'
  | 'unknown_name'
  | 'unknown_database'
  /** No tenant holds the caller's key; it may have been revoked. */
  | 'unauthorized'
  | 'malformed'
  | 'too_large';

/** Details of a refusal for the log, such as members, terms and ages. */
export type RefusalDetails = Readonly<Record<string, string | number | boolean | null>>;

/** Outcome of a request that was refused, that timed out or whose answer was lost. */
export class Refusal extends Error {
  override readonly name = 'Refusal';

  /**
   * @param verdict - whether the request may have had an effect
   * @param retryAfterMs - delay after which the client should retry, in milliseconds; `null` when retrying is
   * of no use
   * @param details - what led to the refusal, for the log
   */
  constructor(
    readonly code: RefusalCode,
    readonly verdict: Verdict,
    reason: string,
    readonly retryAfterMs: number | null = null,
    readonly details: RefusalDetails = {},
  ) {
    super(reason);
  }
}

/** The refusal of a request that was not run because of the expected wait for a connection. */
export function overloadRefusal(error: AdmissionError, details: RefusalDetails): Refusal {
  const gateway: RefusalDetails = error.gateway === null ? {} : { gateway: error.gateway };
  return new Refusal('busy', 'not_run', error.message, error.retryAfterMs, {
    ...details,
    ...error.details,
    ...gateway,
  });
}
