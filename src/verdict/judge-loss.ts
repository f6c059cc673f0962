/**
 * Classifies a request whose connection was lost: whether it may be retried, and which error to report. Pure.
 *
 * @packageDocumentation
 */
import type { StatementKind } from '../statement/statement-kind.js';
import type { TransactionStatus } from '../wire/message-types.js';
import { RequestError, SqlState, type SqlStateCode } from './verdict.js';

/** Properties of the lost request. */
export interface LostRequest {
  readonly kind: StatementKind;
  /** True when the request ran in an explicit transaction, or in a batch that an earlier Flush started. */
  readonly isInTransaction: boolean;
  /** True when the text itself starts or ends a transaction. */
  readonly controlsTransaction: boolean;
  /** True when part of the response was sent to the client. */
  readonly hasSentData: boolean;
  /** True when the request carries a once-only key (idempotency key), which makes a retry safe. */
  readonly hasOnceKey: boolean;
  /** True when the policy allows the request to run more than once. */
  readonly isRepeatable: boolean;
  /** True when the batch ends with Flush. */
  readonly endsWithFlush: boolean;
}

/** How to handle a lost request. */
export type LossJudgement =
  | { readonly kind: 'mayRetry'; readonly otherwise: LossReport }
  | { readonly kind: 'report'; readonly report: LossReport };

/** Error and transaction status for the client. */
export interface LossReport {
  readonly error: RequestError;
  /** Transaction status of the client after the loss. */
  readonly status: TransactionStatus;
}

/**
 * Classifies a lost request.
 *
 * The member rolls back an open transaction that was not committing, so the transaction has no effect. Any
 * other request may have run.
 *
 * @param message - how the request was lost, for the error message
 */
export function judgeLoss(
  lost: LostRequest,
  message: string,
  sqlState: SqlStateCode = SqlState.statementCompletionUnknown,
): LossJudgement {
  const report = buildLossReport(lost, message, sqlState);
  const isRepeatable =
    lost.kind === 'read' ||
    lost.kind === 'begin' ||
    lost.kind === 'set' ||
    lost.isRepeatable ||
    lost.hasOnceKey;
  const isStandalone = !lost.isInTransaction && !lost.hasSentData && !lost.endsWithFlush;
  if (isStandalone && isRepeatable && !lost.controlsTransaction)
    return { kind: 'mayRetry', otherwise: report };
  if (isStandalone && lost.kind === 'begin') return { kind: 'mayRetry', otherwise: report };
  return { kind: 'report', report };
}

function buildLossReport(lost: LostRequest, message: string, sqlState: SqlStateCode): LossReport {
  const mayHaveCommitted = lost.kind === 'commit' || lost.controlsTransaction;
  if (lost.isInTransaction && !mayHaveCommitted) {
    const text = `${message}; the transaction is rolled back`;
    return { error: new RequestError(SqlState.connectionFailure, 'not_run', text, 0), status: 'E' };
  }
  return { error: new RequestError(sqlState, 'may_have_run', message), status: 'I' };
}
