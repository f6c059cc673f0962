/**
 * Verdicts: what a caller may conclude about a request that did not get its normal answer.
 *
 * @packageDocumentation
 */

/**
 * Whether a request has had an effect.
 *
 * - `not_run`: no member executed the request; asking again is safe.
 * - `may_have_run`: it is unknown; asking again is safe only for repeatable requests.
 * - `ran`: the request took effect earlier.
 *
 * @public
 */
export type Verdict = 'not_run' | 'may_have_run' | 'ran';

/** SQLSTATE codes used by the daemons (PostgreSQL documentation, appendix A). */
export const SqlState = {
  connectionFailure: '08006',
  protocolViolation: '08P01',
  statementCompletionUnknown: '40003',
  inFailedTransaction: '25P02',
  invalidParameter: '22023',
  duplicateRequest: '23505',
  featureNotSupported: '0A000',
  insufficientPrivilege: '42501',
  tooManyConnections: '53300',
  configurationLimitExceeded: '53400',
  lockNotAvailable: '55P03',
  queryCanceled: '57014',
  adminShutdown: '57P01',
  cannotConnectNow: '57P03',
  undefinedDatabase: '3D000',
  programLimitExceeded: '54000',
} as const;

/** A SQLSTATE code: five characters. */
export type SqlStateCode = (typeof SqlState)[keyof typeof SqlState];

/**
 * The final outcome of a request that was refused, given up on, or lost.
 *
 * @public
 */
export class RequestError extends Error {
  /**
   * @param sqlState - five-character SQLSTATE
   * @param verdict - whether the request may have had an effect
   * @param message - one sentence for the caller
   * @param retryAfterMs - when to come back, in milliseconds; `null` when coming back is of no use
   */
  constructor(
    readonly sqlState: SqlStateCode,
    readonly verdict: Verdict,
    message: string,
    readonly retryAfterMs: number | null = null,
  ) {
    super(message);
    this.name = 'RequestError';
  }

  /** True when the request's transaction is gone with its connection; the client has yet to roll it back. */
  get endsTransaction(): boolean {
    return this.sqlState === SqlState.connectionFailure;
  }
}
