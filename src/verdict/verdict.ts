/**
 * Verdicts: whether a request that failed or was refused may have had an effect.
 *
 * @packageDocumentation
 */

/**
 * Whether a request has had an effect.
 *
 * - `not_run`: no member executed the request; a retry is safe.
 * - `may_have_run`: unknown; a retry is safe only for repeatable requests.
 * - `ran`: the request took effect earlier.
 *
 * @public
 */
export type Verdict = 'not_run' | 'may_have_run' | 'ran';

/** SQLSTATE codes that the daemons use (PostgreSQL documentation, appendix A). */
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
 * Final outcome of a request that was refused, abandoned or lost.
 *
 * @public
 */
export class RequestError extends Error {
  /**
   * @param sqlState - five-character SQLSTATE
   * @param verdict - whether the request may have had an effect
   * @param message - one sentence for the client
   * @param retryAfterMs - time after which to retry, in milliseconds; `null` when a retry does not help
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

  /** True when the transaction was lost with its connection; the client still has to send ROLLBACK. */
  get endsTransaction(): boolean {
    return this.sqlState === SqlState.connectionFailure;
  }
}
