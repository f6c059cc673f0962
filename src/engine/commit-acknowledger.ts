/**
 * Acknowledges commits after a majority of the group has confirmed that the primary had not been replaced.
 *
 * @packageDocumentation
 */
import { CommitEvidence } from '../group/commit-evidence.js';
import { readStatus } from '../member/member-statements.js';
import { RequestError, SqlState } from '../verdict/verdict.js';
import type { AttemptOutcome } from './attempt.js';
import type { EngineContext, Execution } from './execution.js';
import { DUPLICATE_KEY_SQL_STATE } from './once-keys.js';
import type { PinnedConnection } from './client-stream.js';

/** Outcome of an attempt whose response is complete. */
export type CompleteOutcome = Extract<AttemptOutcome, { kind: 'complete' }>;

const STATEMENT_COMPLETION_UNKNOWN_SQL_STATE = '40003';

/** Acknowledges the commits of one database. */
export class CommitAcknowledger {
  constructor(private readonly context: EngineContext) {}

  /** Sends the buffered response once the commit is confirmed, or an error if it failed or is unconfirmed. */
  async acknowledge(execution: Execution, pinned: PinnedConnection, outcome: CompleteOutcome): Promise<void> {
    const { stream, sink, request } = execution;
    const isDuplicate = outcome.onceSqlState === DUPLICATE_KEY_SQL_STATE;
    const hasCommitted = isDuplicate || outcome.onceSqlState === null;
    if ((outcome.sqlState !== null && !request.controlsTransaction && !isDuplicate) || !hasCommitted) {
      this.#reportNotCommitted(execution, outcome);
      return;
    }
    const isConfirmed = await this.#confirmCommit(execution, pinned, outcome);
    stream.status = 'I';
    stream.unpin('release');
    if (!isConfirmed) {
      this.context.metrics.unconfirmedCommits.inc({ database: this.context.database });
      sink.fail(
        unknownCommitError('no majority of the group confirmed the commit in the term of its primary'),
        'I',
      );
      return;
    }
    if (isDuplicate) {
      sink.fail(
        new RequestError(SqlState.duplicateRequest, 'ran', 'a request with this once-only key has run'),
        'I',
      );
      return;
    }
    for (const frames of outcome.bufferedResponse) sink.data(frames);
    sink.end('I');
  }

  /**
   * Reports a request for which the member returned an error. Nothing was committed, except that SQLSTATE
   * 40003 leaves the outcome unknown.
   */
  #reportNotCommitted(execution: Execution, outcome: CompleteOutcome): void {
    const { stream, sink } = execution;
    stream.status = 'I';
    stream.unpin('release');
    const sqlState = outcome.sqlState ?? outcome.onceSqlState;
    if (sqlState === STATEMENT_COMPLETION_UNKNOWN_SQL_STATE) {
      sink.fail(unknownCommitError('the primary was replaced while it committed'), 'I');
      return;
    }
    if (outcome.sqlState === null || outcome.onceSqlState !== null) {
      const message = `the once-only key could not be recorded (SQLSTATE ${String(sqlState)})`;
      sink.fail(new RequestError(SqlState.lockNotAvailable, 'not_run', message, 200), 'I');
      return;
    }
    for (const frames of outcome.bufferedResponse) sink.data(frames);
    sink.end('I');
  }

  async #confirmCommit(
    execution: Execution,
    pinned: PinnedConnection,
    outcome: CompleteOutcome,
  ): Promise<boolean> {
    const rows = await outcome.memberStatus;
    const status = rows === null ? null : readStatus(rows);
    if (status === null || status.role !== 'primary' || status.term !== pinned.term) return false;
    const { members } = this.context.monitor.database;
    const evidence = new CommitEvidence(pinned.term, status.received, outcome.completedAtMs, members.length);
    evidence.observe({ status: { ...status, memberId: pinned.memberId }, askedAtMs: outcome.completedAtMs });
    const state =
      evidence.state === 'pending'
        ? await this.context.monitor.waitForEvidence(evidence, this.context.evidenceTimeoutMs)
        : evidence.state;
    if (state !== 'confirmed') return false;
    this.context.positions.recordWrite(execution.request.session, status.received);
    return true;
  }
}

function unknownCommitError(message: string): RequestError {
  return new RequestError(SqlState.statementCompletionUnknown, 'may_have_run', message);
}
