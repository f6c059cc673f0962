/**
 * Runs requests on member connections and reports their outcome.
 *
 * @packageDocumentation
 */
import { backoffDelayMs } from '../retry/backoff.js';
import { judgeLoss, type LossJudgement, type LostRequest } from '../verdict/judge-loss.js';
import { SqlState, type SqlStateCode } from '../verdict/verdict.js';
import { runAttempt, type AttemptOutcome } from './attempt.js';
import { CommitAcknowledger, type CompleteOutcome } from './commit-acknowledger.js';
import { indeterminateOutcomeSink } from './indeterminate-outcome-sink.js';
import { ATTEMPT_BACKOFF, delay, type EngineContext, type Execution } from './execution.js';
import type { StatementRequest } from './statement-request.js';
import type { PinnedConnection, ClientStream } from './client-stream.js';

/** `settled` when an attempt has ended the request, `again` when the caller may make another attempt. */
export type AttemptResult = 'settled' | 'again';

const READ_ONLY_SQL_STATE = '25006';

/** Runs the requests for one database. */
export class RequestRunner {
  readonly #acknowledger: CommitAcknowledger;

  constructor(private readonly context: EngineContext) {
    this.#acknowledger = new CommitAcknowledger(context);
  }

  /** Runs the request once on the given connection. */
  async attempt(execution: Execution, pinned: PinnedConnection): Promise<AttemptResult> {
    const { stream, request, sink } = execution;
    const isInTransaction = stream.status !== 'I';
    const needsEvidence = this.#needsEvidence(stream, request);
    stream.pinned = pinned;
    execution.attempts += 1;
    this.context.metrics.countStatement(
      this.context.database,
      request.kind,
      pinned.memberId === this.#primaryId(),
    );
    const outcome = await this.#runWithDeadline(execution, pinned, needsEvidence);
    if (request.kind === 'write') stream.hasWritten = true;
    if (request.leavesSessionState) stream.hasSessionState = true;
    if (outcome === 'expired') {
      this.#handleDeadlineExpired(execution, isInTransaction);
      return 'settled';
    }
    if (outcome.kind === 'lost') return this.#handleLost(execution, isInTransaction, outcome.hasSentData);
    if (this.#isRejectedByFormerPrimary(execution, outcome, needsEvidence, isInTransaction)) {
      stream.unpin('release');
      await delay(backoffDelayMs(ATTEMPT_BACKOFF, execution.attempts, this.context.random()));
      return 'again';
    }
    if (needsEvidence && outcome.status === 'I') {
      await this.#acknowledger.acknowledge(execution, pinned, outcome);
      return 'settled';
    }
    this.#sendResponse(execution, outcome);
    sink.end(outcome.status);
    return 'settled';
  }

  /**
   * True when the request may commit changes, so that its response is withheld until the commit is confirmed.
   * A statement outside a transaction commits, as does one that ends a transaction.
   */
  #needsEvidence(stream: ClientStream, request: StatementRequest): boolean {
    if (request.terminator === 'flush') return false;
    const mayCommitChanges = request.kind === 'write' || stream.hasWritten || request.onceKey !== null;
    return (
      mayCommitChanges && (stream.status === 'I' || request.kind === 'commit' || request.controlsTransaction)
    );
  }

  async #runWithDeadline(
    execution: Execution,
    pinned: PinnedConnection,
    needsEvidence: boolean,
  ): Promise<AttemptOutcome | 'expired'> {
    const { sink, request } = execution;
    const attempt = runAttempt(pinned.connection, request, {
      buffersResponse: needsEvidence,
      queriesStatus: needsEvidence,
      onData: (frames) => sink.data(frames),
    });
    let timer: NodeJS.Timeout | undefined;
    const expiry = new Promise<'expired'>((resolve) => {
      timer = setTimeout(() => resolve('expired'), Math.max(1, execution.deadlineMs - performance.now()));
    });
    const outcome = await Promise.race([attempt, expiry]);
    clearTimeout(timer);
    if (outcome === 'expired') pinned.connection.cancel();
    return outcome;
  }

  /**
   * True when a former primary rejected a write as read-only. The write has not run and its response is still
   * buffered, so it can be retried on another member.
   */
  #isRejectedByFormerPrimary(
    execution: Execution,
    outcome: CompleteOutcome,
    wasBuffered: boolean,
    isInTransaction: boolean,
  ): boolean {
    const { controlsTransaction, continues } = execution.request;
    if (isInTransaction || !wasBuffered || controlsTransaction || continues !== 'nothing') return false;
    return outcome.sqlState === READ_ONLY_SQL_STATE || outcome.onceSqlState === READ_ONLY_SQL_STATE;
  }

  #sendResponse(execution: Execution, outcome: CompleteOutcome): void {
    const { stream, sink, request } = execution;
    for (const frames of outcome.bufferedResponse) sink.data(frames);
    if (request.terminator === 'flush') {
      stream.pinned?.pool.endExecution(stream.pinned.connection);
      return;
    }
    stream.status = outcome.status;
    if (outcome.status === 'I') stream.unpin('release');
    else stream.pinned?.pool.endExecution(stream.pinned.connection);
  }

  #handleLost(execution: Execution, isInTransaction: boolean, hasSentData: boolean): AttemptResult {
    const { stream, request, sink } = execution;
    const memberId = stream.pinned?.memberId;
    stream.unpin('destroy');
    stream.status = 'I';
    const judgement = this.#judgeLoss(
      execution,
      isInTransaction,
      hasSentData,
      'the connection to the member was lost',
    );
    const isCanceledOrStopped = stream.cancelSignal.isCanceled || this.context.isStopped();
    if (judgement.kind === 'mayRetry' && !isCanceledOrStopped && this.context.retryBudget.tryRetry()) {
      this.context.metrics.retries.inc({ database: this.context.database });
      execution.sink = indeterminateOutcomeSink(execution.sink);
      if (memberId !== undefined && request.kind === 'read') execution.excludedMemberIds.add(memberId);
      return 'again';
    }
    const report = judgement.kind === 'report' ? judgement.report : judgement.otherwise;
    sink.fail(report.error, report.status);
    return 'settled';
  }

  #handleDeadlineExpired(execution: Execution, isInTransaction: boolean): void {
    const { stream, sink } = execution;
    stream.unpin('destroy');
    stream.status = 'I';
    const message = 'the request ran past its deadline';
    const judgement = this.#judgeLoss(execution, isInTransaction, true, message, SqlState.queryCanceled);
    if (judgement.kind === 'report') sink.fail(judgement.report.error, judgement.report.status);
  }

  #judgeLoss(
    { request, decision }: Execution,
    isInTransaction: boolean,
    hasSentData: boolean,
    message: string,
    sqlState: SqlStateCode = SqlState.statementCompletionUnknown,
  ): LossJudgement {
    const lost: LostRequest = {
      kind: request.kind,
      isInTransaction,
      controlsTransaction: request.controlsTransaction,
      hasSentData: hasSentData || request.continues !== 'nothing',
      hasOnceKey: request.onceKey !== null,
      isRepeatable: decision.repeatable,
      endsWithFlush: request.terminator === 'flush',
    };
    return judgeLoss(lost, message, sqlState);
  }

  #primaryId(): string | null {
    return this.context.monitor.describe().primary?.address.memberId ?? null;
  }
}
