/**
 * State of a request that the owner of its database is executing, and the context shared by all requests for
 * that database.
 *
 * @packageDocumentation
 */
import type { GroupMonitor } from '../group/group-monitor.js';
import type { EngineMetrics } from '../observability/engine-metrics.js';
import type { PolicyDecision } from '../policy/policy.js';
import type { RetryBudget } from '../retry/retry-budget.js';
import type { SessionPositions } from '../session/session-positions.js';
import { RequestError, SqlState, type SqlStateCode } from '../verdict/verdict.js';
import type { ResponseSink, StatementRequest } from './statement-request.js';
import type { ClientStream } from './client-stream.js';

/** A request that is being executed. */
export interface Execution {
  readonly stream: ClientStream;
  readonly request: StatementRequest;
  readonly decision: PolicyDecision;
  /** Monotonic deadline of the request, in milliseconds. */
  readonly deadlineMs: number;
  sink: ResponseSink;
  /** False once the sender may have stopped waiting for the request; it must not be started after that. */
  readonly isAwaited: () => boolean;
  /** Members excluded from selection because a recent attempt on them failed. */
  readonly excludedMemberIds: Set<string>;
  attempts: number;
}

/** Context shared by all requests for one database; times in milliseconds. */
export interface EngineContext {
  readonly database: string;
  readonly monitor: GroupMonitor;
  readonly metrics: EngineMetrics;
  readonly positions: SessionPositions;
  readonly retryBudget: RetryBudget;
  /** Maximum wait for a majority to confirm a commit. */
  readonly evidenceTimeoutMs: number;
  /** Maximum number of requests that wait for an available member, for instance during an election. */
  readonly maxWaiting: number;
  /** Random numbers in 0..1, for jitter. */
  readonly random: () => number;
  readonly isStopped: () => boolean;
}

/** Backoff between attempts to execute a request on a member. */
export const ATTEMPT_BACKOFF = { initialDelayMs: 5, maxDelayMs: 200 };

/** Error returned for a refused request. */
export interface Refusal {
  readonly sqlState: SqlStateCode;
  readonly message: string;
  readonly retryAfterMs: number | null;
  /** Value of the metric's `reason` label; defaults to the SQLSTATE. */
  readonly reason?: string;
}

/** Refuses a request before any part of it has run. */
export function refuse(
  context: EngineContext,
  sink: ResponseSink,
  stream: ClientStream,
  refusal: Refusal,
): void {
  const { sqlState, message, retryAfterMs, reason = sqlState } = refusal;
  context.metrics.refusals.inc({ database: context.database, reason });
  sink.fail(new RequestError(sqlState, 'not_run', message, retryAfterMs), stream.status);
}

/**
 * Error for an open transaction whose connection was lost: the member rolls it back, so nothing of it has
 * run.
 */
export function transactionLost(message: string): RequestError {
  const text = `${message}; the transaction is rolled back`;
  return new RequestError(SqlState.connectionFailure, 'not_run', text, 0);
}

export function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
