/**
 * Decides what the loss of a connection means for the request that was running on it. Pure.
 *
 * @packageDocumentation
 */
import type { StatementKind } from '../statement/statement-kind.js';
import type { TransactionStatus } from '../wire/message-types.js';
import { RequestError, SqlState, type SqlStateCode } from './verdict.js';

/** What is known about the request that was lost. */
export interface LostRequest {
  readonly kind: StatementKind;
  /** True when the request ran inside an explicit transaction, or in a batch that an earlier Flush began. */
  readonly isInTransaction: boolean;
  /** True when the text itself starts or ends a transaction. */
  readonly controlsTransaction: boolean;
  /** True when a part of the answer has gone to the client. */
  readonly hasSentData: boolean;
  /** True when the request carries a once-only key, which makes asking again safe. */
  readonly hasOnceKey: boolean;
  /** True when the policy says that the request may run more than once. */
  readonly isRepeatable: boolean;
  /** True when the batch ends with Flush. */
  readonly endsWithFlush: boolean;
}

/** What to do about a lost request. */
export type LossJudgement =
  | { readonly kind: 'mayRetry'; readonly otherwise: LossReport }
  | { readonly kind: 'report'; readonly report: LossReport };

/** What to tell the client. */
export interface LossReport {
  readonly error: RequestError;
  /** Transaction status in which the client finds itself. */
  readonly status: TransactionStatus;
}

/**
 * Judges a loss.
 *
 * An open transaction that was not committing is rolled back by its member, so nothing of it has run. Anything
 * else may have run.
 *
 * @param message - how the request was lost
 */
export function judgeLoss(
  lost: LostRequest,
  message: string,
  sqlState: SqlStateCode = SqlState.statementCompletionUnknown,
): LossJudgement {
  const report = reportLoss(lost, message, sqlState);
  const isRepeatable =
    lost.kind === 'read' ||
    lost.kind === 'begin' ||
    lost.kind === 'set' ||
    lost.isRepeatable ||
    lost.hasOnceKey;
  const isUntouched = !lost.isInTransaction && !lost.hasSentData && !lost.endsWithFlush;
  if (isUntouched && isRepeatable && !lost.controlsTransaction)
    return { kind: 'mayRetry', otherwise: report };
  if (isUntouched && lost.kind === 'begin') return { kind: 'mayRetry', otherwise: report };
  return { kind: 'report', report };
}

function reportLoss(lost: LostRequest, message: string, sqlState: SqlStateCode): LossReport {
  const mayHaveCommitted = lost.kind === 'commit' || lost.controlsTransaction;
  if (lost.isInTransaction && !mayHaveCommitted) {
    const text = `${message}; the transaction is rolled back`;
    return { error: new RequestError(SqlState.connectionFailure, 'not_run', text, 0), status: 'E' };
  }
  return { error: new RequestError(sqlState, 'may_have_run', message), status: 'I' };
}
