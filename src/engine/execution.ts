/**
 * A request under way at the owner of its database, and what its steps share.
 *
 * @packageDocumentation
 */
import type { GroupMonitor } from '../group/group-monitor.js';
import type { EngineMetrics } from '../observability/engine-metrics.js';
import type { PolicyDecision } from '../policy/policy.js';
import type { RetryBudget } from '../retry/retry-budget.js';
import type { SessionPositions } from '../session/session-positions.js';
import { RequestError, SqlState, type SqlStateCode } from '../verdict/verdict.js';
import type { AnswerSink, StatementRequest } from './statement-request.js';
import type { Stream } from './stream.js';

/** A request under way. */
export interface Execution {
  readonly stream: Stream;
  readonly request: StatementRequest;
  readonly decision: PolicyDecision;
  /** Monotonic time after which an answer is of no use, in milliseconds. */
  readonly deadlineMs: number;
  sink: AnswerSink;
  /** False once whoever sent the request may have given up on it: it must not be begun any more. */
  readonly isAwaited: () => boolean;
  /** Members on which an attempt has just failed. */
  readonly excludedMemberIds: Set<string>;
  attempts: number;
}

/** What the steps of all requests for one database share; times in milliseconds. */
export interface EngineContext {
  readonly database: string;
  readonly monitor: GroupMonitor;
  readonly metrics: EngineMetrics;
  readonly positions: SessionPositions;
  readonly retryBudget: RetryBudget;
  /** Longest wait for the evidence that a commit may be acknowledged. */
  readonly evidenceTimeoutMs: number;
  /** Most requests that wait for a member that can serve them, for instance during an election. */
  readonly maxWaiting: number;
  /** Random numbers in 0..1, for jitter. */
  readonly random: () => number;
  readonly isStopped: () => boolean;
}

/** Backoff between attempts at members. */
export const ATTEMPT_BACKOFF = { initialDelayMs: 5, maxDelayMs: 200 };

/** Why a request is refused. */
export interface Refusal {
  readonly sqlState: SqlStateCode;
  readonly message: string;
  readonly retryAfterMs: number | null;
  /** Label of the metric; the SQLSTATE if not given. */
  readonly reason?: string;
}

/** Refuses a request of which nothing has run. */
export function refuse(context: EngineContext, sink: AnswerSink, stream: Stream, refusal: Refusal): void {
  const { sqlState, message, retryAfterMs, reason = sqlState } = refusal;
  context.metrics.refusals.inc({ database: context.database, reason });
  sink.fail(new RequestError(sqlState, 'not_run', message, retryAfterMs), stream.status);
}

/** The open transaction is gone with its connection: nothing of it has run. */
export function transactionLost(message: string): RequestError {
  const text = `${message}; the transaction is rolled back`;
  return new RequestError(SqlState.connectionFailure, 'not_run', text, 0);
}

/** Waits. */
export function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
