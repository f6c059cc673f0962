/**
 * Runs the requests for one database at the daemon that owns it.
 *
 * @packageDocumentation
 */
import { CancelSignal } from '../common/cancel-signal.js';
import { CommitEvidence } from '../group/commit-evidence.js';
import type { GroupMonitor } from '../group/group-monitor.js';
import { selectMember, type SelectionDemand, type WaitReason } from '../group/select-member.js';
import type { Logger } from '../observability/logger.js';
import type { EngineMetrics } from '../observability/engine-metrics.js';
import { readStatus } from '../member/member-statements.js';
import type { Policy, PolicyDecision } from '../policy/policy.js';
import type { PolicySubject } from '../policy/policy-document.js';
import { MemberPool, type AcquireRefusal } from '../pool/member-pool.js';
import { backoffDelayMs } from '../retry/backoff.js';
import { RetryBudget } from '../retry/retry-budget.js';
import { SessionPositions } from '../session/session-positions.js';
import { RequestError, SqlState, type SqlStateCode } from '../verdict/verdict.js';
import { judgeLoss, type LossJudgement, type LostRequest } from '../verdict/judge-loss.js';
import { discardSessionState, runAttempt, type AttemptOutcome } from './attempt.js';
import { doubtfulSink } from './doubtful-sink.js';
import { DUPLICATE_KEY_SQL_STATE } from './once-keys.js';
import type { AnswerSink, StatementRequest } from './statement-request.js';
import { Stream, type PinnedConnection } from './stream.js';

/** Settings of an engine; times in milliseconds. */
export interface DatabaseEngineOptions {
  readonly monitor: GroupMonitor;
  /** Makes the pool of a member, which opens connections only while `mayOpen` says so. */
  readonly createPool: (memberId: string, mayOpen: () => boolean) => MemberPool;
  readonly policy: () => Policy;
  readonly log: Logger;
  readonly metrics: EngineMetrics;
  /** Longest wait for the evidence that a commit may be acknowledged. */
  readonly evidenceTimeoutMs: number;
  readonly maxSessions: number;
  /** Most requests that wait for a member that can serve them, for instance during an election. */
  readonly maxWaiting: number;
  /** Random numbers in 0..1, for jitter. */
  readonly random: () => number;
}

/** A request under way. */
interface Execution {
  readonly stream: Stream;
  readonly request: StatementRequest;
  readonly decision: PolicyDecision;
  readonly deadlineMs: number;
  sink: AnswerSink;
  readonly excludedMemberIds: Set<string>;
  attempts: number;
}

type CompleteOutcome = Extract<AttemptOutcome, { kind: 'complete' }>;

/** Whether an attempt settled the request, or another may be made. */
type AttemptVerdict = 'settled' | 'again';

const READ_ONLY_SQL_STATE = '25006';
const UNKNOWN_COMMIT_SQL_STATE = '40003';
const RETRY_BACKOFF = { initialDelayMs: 5, maxDelayMs: 200 };
const FORGET_INTERVAL_MS = 250;
const DRAIN_POLL_MS = 10;
/** Longest wait for a change of the group before a request chooses again, in milliseconds. */
const MAX_WAIT_SLICE_MS = 100;

/** Engine of one owned database. */
export class DatabaseEngine {
  readonly positions: SessionPositions;
  readonly #pools = new Map<string, MemberPool>();
  readonly #streams = new Map<string, Stream>();
  readonly #retryBudget = new RetryBudget({ retriesPerRequest: 0.1, maxSaved: 50 });
  readonly #forgetTimer: NodeJS.Timeout;
  /** Requests that wait for a member that can serve them. */
  #waitingForMember = 0;
  #isDraining = false;
  #isStopped = false;

  constructor(
    readonly database: string,
    private readonly options: DatabaseEngineOptions,
  ) {
    this.positions = new SessionPositions(options.maxSessions);
    for (const { id } of options.monitor.database.members) {
      this.#pools.set(
        id,
        options.createPool(id, () => options.monitor.isMemberLocked(id)),
      );
    }
    this.#forgetTimer = setInterval(
      () => this.positions.forgetApplied(options.monitor.appliedEverywhere()),
      FORGET_INTERVAL_MS,
    );
    this.#forgetTimer.unref();
  }

  /** Pools by member id. */
  get pools(): ReadonlyMap<string, MemberPool> {
    return this.#pools;
  }

  /** Runs a request; the sink hears exactly one end. */
  async execute(request: StatementRequest, sink: AnswerSink): Promise<void> {
    const stream = this.#stream(request);
    if (!this.#mayServe(stream)) {
      this.#rejectUnowned(stream, sink);
      this.#streams.delete(stream.streamId);
      return;
    }
    if (request.continues !== 'nothing' && stream.pinned === null) {
      this.#streams.delete(stream.streamId);
      sink.fail(transactionLost('its connection is gone'), request.continues === 'transaction' ? 'E' : 'I');
      return;
    }
    if (request.onceKey !== null && !canRunOnce(stream, request)) {
      const message = 'a once-only key goes with a single write outside a transaction';
      this.#refuse(sink, stream, SqlState.featureNotSupported, message, null);
      return;
    }
    const decision = this.options.policy().decide(this.#subject(request));
    if (decision.refuse !== null) {
      this.#refuse(
        sink,
        stream,
        SqlState.configurationLimitExceeded,
        `refused by policy: ${decision.refuse}`,
        null,
      );
      return;
    }
    const limitMs = Math.min(decision.deadlineMs, request.remainingMs ?? Number.POSITIVE_INFINITY);
    const execution: Execution = {
      stream,
      request,
      decision,
      deadlineMs: performance.now() + limitMs,
      sink,
      excludedMemberIds: new Set(),
      attempts: 0,
    };
    stream.isRunning = true;
    stream.cancelSignal = new CancelSignal();
    this.#retryBudget.recordRequest();
    try {
      if (stream.pinned !== null) await this.#runPinned(execution, stream.pinned);
      else await this.#runUnpinned(execution);
    } finally {
      stream.isRunning = false;
      if (stream.isClosed) this.#endStream(stream);
      else if (stream.pinned === null) this.#streams.delete(stream.streamId);
    }
  }

  /** Cancels what a stream runs or waits for. */
  cancel(streamId: string): void {
    const stream = this.#streams.get(streamId);
    if (stream === undefined || !stream.isRunning) return;
    stream.cancelSignal.cancel();
    if (stream.pinned === null) return;
    stream.isTainted = true;
    stream.pinned.connection.cancel();
  }

  /** Ends a stream: what is open is rolled back. */
  closeStream(streamId: string): void {
    const stream = this.#streams.get(streamId);
    if (stream === undefined) return;
    stream.isClosed = true;
    if (stream.isRunning) {
      stream.cancelSignal.cancel();
      if (stream.pinned !== null) stream.pinned.connection.destroy();
      return;
    }
    this.#endStream(stream);
  }

  /** Takes no new work and waits until transactions have ended; returns how many were still open. */
  async drain(timeoutMs: number): Promise<number> {
    this.#isDraining = true;
    const deadlineMs = performance.now() + timeoutMs;
    while (this.#busyStreams() > 0 && performance.now() < deadlineMs) await delay(DRAIN_POLL_MS);
    return this.#busyStreams();
  }

  /** Ends everything at once. */
  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#forgetTimer);
    for (const stream of this.#streams.values()) stream.cancelSignal.cancel();
    for (const pool of this.#pools.values()) pool.close();
  }

  #busyStreams(): number {
    let busy = 0;
    for (const stream of this.#streams.values()) if (stream.isRunning || stream.pinned !== null) busy += 1;
    return busy;
  }

  #stream(request: StatementRequest): Stream {
    const known = this.#streams.get(request.streamId);
    if (known !== undefined) return known;
    const stream = new Stream(request.streamId);
    this.#streams.set(request.streamId, stream);
    return stream;
  }

  #mayServe(stream: Stream): boolean {
    if (this.#isStopped || !this.options.monitor.isLeaseHeld()) return false;
    return !this.#isDraining || stream.pinned !== null;
  }

  #rejectUnowned(stream: Stream, sink: AnswerSink): void {
    if (stream.pinned === null) {
      sink.notOwner();
      return;
    }
    this.#unpin(stream, 'destroy');
    stream.status = 'I';
    sink.fail(transactionLost('the daemon lost its lease on the database'), 'E');
  }

  #subject(request: StatementRequest): PolicySubject {
    const { kind } = request;
    const policyKind = request.isReadOnlyTransaction
      ? 'read'
      : kind === 'set' || kind === 'unsupported'
        ? 'write'
        : kind;
    return {
      class: request.requestClass,
      kind: policyKind,
      session: request.session,
      database: request.database,
      user: request.user,
      zone: request.zone,
      hour: new Date().getUTCHours(),
      lagMs: this.#lowestLagMs(),
    };
  }

  #lowestLagMs(): number {
    const { members, primary } = this.options.monitor.describe();
    const lags = members.filter((member) => member !== primary).map(({ stalenessMs }) => stalenessMs);
    const lowest = Math.min(...lags);
    return Number.isFinite(lowest) ? Math.round(lowest) : Number.MAX_SAFE_INTEGER;
  }

  // --- choosing a member

  async #runUnpinned(execution: Execution): Promise<void> {
    for (;;) {
      if (!this.#mayServe(execution.stream)) {
        execution.sink.notOwner();
        return;
      }
      if (this.#isGivenUp(execution)) return;
      const pinned = await this.#obtainConnection(execution);
      if (pinned === 'refused') return;
      if (pinned === null) continue;
      if ((await this.#attempt(execution, pinned)) === 'settled') return;
    }
  }

  /** Refuses the request if it was canceled or its deadline has passed; nothing of it has run. */
  #isGivenUp(execution: Execution): boolean {
    const { stream, sink } = execution;
    if (stream.cancelSignal.isCanceled) {
      this.#refuse(sink, stream, SqlState.queryCanceled, 'canceled before it was run', null);
      return true;
    }
    if (performance.now() < execution.deadlineMs) return false;
    this.#refuse(sink, stream, SqlState.cannotConnectNow, 'no member could serve the request in time', 500);
    return true;
  }

  /** A connection, `null` to choose again, or `refused` when the request is over. */
  async #obtainConnection(execution: Execution): Promise<PinnedConnection | 'refused' | null> {
    const { request, decision, stream } = execution;
    const group = this.options.monitor.describe();
    const isRead = request.kind === 'read' || request.isReadOnlyTransaction;
    const demand: SelectionDemand = {
      allowsReplica: isRead && decision.replica && request.onceKey === null,
      required: this.positions.required(request.session),
      maxStalenessMs: decision.maxStalenessMs,
      preferredZone: request.zone,
      excludedMemberIds: execution.excludedMemberIds,
    };
    const selection = selectMember(group, demand, this.#loads());
    if (selection.kind === 'wait') {
      if (this.#waitingForMember >= this.options.maxWaiting)
        return this.#handleRefusal(execution, '', 'queue_full', 500);
      await this.#waitForMember(execution, selection.reason);
      return null;
    }
    const { memberId } = selection.member.address;
    const pool = this.#pools.get(memberId);
    if (pool === undefined) return null;
    const outcome = await pool.acquire({
      priority: decision.priority,
      deadlineMs: execution.deadlineMs,
      signal: stream.cancelSignal,
    });
    if (outcome.kind === 'refused')
      return this.#handleRefusal(execution, memberId, outcome.reason, outcome.retryAfterMs);
    const pinned = { connection: outcome.connection, pool, memberId, term: group.term };
    return this.#confirmSelection(pinned, demand, selection.isReplica);
  }

  /** After the wait for a connection, the member may no longer be the right one. */
  #confirmSelection(
    pinned: PinnedConnection,
    demand: SelectionDemand,
    isReplica: boolean,
  ): PinnedConnection | null {
    const group = this.options.monitor.describe();
    const member = group.members.find(({ address }) => address.memberId === pinned.memberId);
    const status = member?.status ?? null;
    const hasRole = isReplica ? status?.role === 'replica' : group.primary === member;
    const isUsable = member !== undefined && member.isLocked && !member.isLeaving && status !== null;
    if (isUsable && hasRole && group.term === pinned.term) return pinned;
    pinned.pool.release(pinned.connection);
    return null;
  }

  #loads(): Map<string, number> {
    return new Map([...this.#pools].map(([memberId, pool]) => [memberId, pool.load]));
  }

  async #waitForMember(execution: Execution, reason: WaitReason): Promise<void> {
    this.options.metrics.waits.inc({ database: this.database, reason });
    const waitMs = Math.min(MAX_WAIT_SLICE_MS, execution.deadlineMs - performance.now());
    const { cancelSignal } = execution.stream;
    const canceled = new Promise<void>((resolve) => cancelSignal.setListener(resolve));
    this.#waitingForMember += 1;
    await Promise.race([this.options.monitor.waitForChange(waitMs), canceled]);
    this.#waitingForMember -= 1;
    cancelSignal.setListener(null);
    execution.excludedMemberIds.clear();
  }

  async #handleRefusal(
    execution: Execution,
    memberId: string,
    reason: AcquireRefusal,
    retryAfterMs: number,
  ): Promise<'refused' | null> {
    const { sink, stream } = execution;
    switch (reason) {
      case 'queue_full':
      case 'wait_too_long':
        this.#refuse(
          sink,
          stream,
          SqlState.tooManyConnections,
          `connections are short: ${reason}`,
          retryAfterMs,
          reason,
        );
        return 'refused';
      case 'cannot_connect':
        execution.excludedMemberIds.add(memberId);
        await delay(backoffDelayMs(RETRY_BACKOFF, execution.attempts++, this.options.random()));
        return null;
      case 'deadline_passed':
      case 'canceled':
      case 'closed':
        return null;
    }
  }

  // --- running

  async #runPinned(execution: Execution, pinned: PinnedConnection): Promise<void> {
    pinned.pool.beginExecution(pinned.connection);
    await this.#attempt(execution, pinned);
  }

  async #attempt(execution: Execution, pinned: PinnedConnection): Promise<AttemptVerdict> {
    const { stream, request, sink } = execution;
    const isInTransaction = stream.status !== 'I';
    const needsEvidence = this.#needsEvidence(stream, request);
    stream.pinned = pinned;
    execution.attempts += 1;
    this.options.metrics.countStatement(this.database, request.kind, pinned.memberId === this.#primaryId());
    const outcome = await this.#runWithDeadline(execution, pinned, needsEvidence);
    if (request.kind === 'write') stream.hasWritten = true;
    if (request.leavesSessionState) stream.isDirty = true;
    if (outcome === 'expired') {
      this.#handleExpired(execution, isInTransaction);
      return 'settled';
    }
    if (outcome.kind === 'lost') return this.#handleLost(execution, isInTransaction, outcome.hasSentData);
    if (this.#mustChooseAgain(execution, outcome, needsEvidence, isInTransaction)) {
      this.#unpin(stream, 'release');
      await delay(backoffDelayMs(RETRY_BACKOFF, execution.attempts, this.options.random()));
      return 'again';
    }
    if (needsEvidence && outcome.status === 'I') {
      await this.#acknowledgeCommit(execution, pinned, outcome);
      return 'settled';
    }
    this.#finish(execution, outcome);
    sink.end(outcome.status);
    return 'settled';
  }

  /** A statement outside a transaction, or one that ends it, commits. */
  #needsEvidence(stream: Stream, request: StatementRequest): boolean {
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
      holdsAnswer: needsEvidence,
      asksStatus: needsEvidence,
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

  /** A write that a former primary refused for its role has not run, and nobody has seen its answer. */
  #mustChooseAgain(
    execution: Execution,
    outcome: CompleteOutcome,
    wasHeld: boolean,
    isInTransaction: boolean,
  ): boolean {
    if (isInTransaction || !wasHeld || execution.request.controlsTransaction) return false;
    return outcome.sqlState === READ_ONLY_SQL_STATE || outcome.onceSqlState === READ_ONLY_SQL_STATE;
  }

  #finish(execution: Execution, outcome: CompleteOutcome): void {
    const { stream, sink, request } = execution;
    for (const frames of outcome.heldAnswer) sink.data(frames);
    if (request.terminator === 'flush') {
      stream.pinned?.pool.endExecution(stream.pinned.connection);
      return;
    }
    stream.status = outcome.status;
    if (outcome.status === 'I') this.#unpin(stream, 'release');
    else stream.pinned?.pool.endExecution(stream.pinned.connection);
  }

  // --- acknowledging

  async #acknowledgeCommit(
    execution: Execution,
    pinned: PinnedConnection,
    outcome: CompleteOutcome,
  ): Promise<void> {
    const { stream, sink, request } = execution;
    const isDuplicate = outcome.onceSqlState === DUPLICATE_KEY_SQL_STATE;
    const hasCommitted = isDuplicate || outcome.onceSqlState === null;
    if ((outcome.sqlState !== null && !request.controlsTransaction && !isDuplicate) || !hasCommitted) {
      this.#reportUncommitted(execution, outcome);
      return;
    }
    const isConfirmed = await this.#gatherEvidence(execution, pinned, outcome);
    stream.status = 'I';
    this.#unpin(stream, 'release');
    if (!isConfirmed) {
      this.options.metrics.unconfirmedCommits.inc({ database: this.database });
      sink.fail(
        unknownCommit('no majority of the group confirmed the commit in the term of its primary'),
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
    for (const frames of outcome.heldAnswer) sink.data(frames);
    sink.end('I');
  }

  /** The member answered with an error and has committed nothing. */
  #reportUncommitted(execution: Execution, outcome: CompleteOutcome): void {
    const { stream, sink } = execution;
    stream.status = 'I';
    this.#unpin(stream, 'release');
    const sqlState = outcome.sqlState ?? outcome.onceSqlState;
    if (sqlState === UNKNOWN_COMMIT_SQL_STATE) {
      sink.fail(unknownCommit('the primary was replaced while it committed'), 'I');
      return;
    }
    if (outcome.sqlState === null || outcome.onceSqlState !== null) {
      const message = `the once-only key could not be recorded (SQLSTATE ${String(sqlState)})`;
      sink.fail(new RequestError(SqlState.lockNotAvailable, 'not_run', message, 200), 'I');
      return;
    }
    for (const frames of outcome.heldAnswer) sink.data(frames);
    sink.end('I');
  }

  async #gatherEvidence(
    execution: Execution,
    pinned: PinnedConnection,
    outcome: CompleteOutcome,
  ): Promise<boolean> {
    const rows = await outcome.memberStatus;
    const status = rows === null ? null : readStatus(rows);
    if (status === null || status.role !== 'primary' || status.term !== pinned.term) return false;
    const { members } = this.options.monitor.database;
    const evidence = new CommitEvidence(pinned.term, status.received, outcome.completedAtMs, members.length);
    evidence.observe({ status: { ...status, memberId: pinned.memberId }, askedAtMs: outcome.completedAtMs });
    const state =
      evidence.state === 'pending'
        ? await this.options.monitor.waitForEvidence(evidence, this.options.evidenceTimeoutMs)
        : evidence.state;
    if (state !== 'confirmed') return false;
    this.positions.recordWrite(execution.request.session, status.received);
    return true;
  }

  // --- losses

  #handleLost(execution: Execution, isInTransaction: boolean, hasSentData: boolean): AttemptVerdict {
    const { stream, request, sink } = execution;
    const memberId = stream.pinned?.memberId;
    this.#unpin(stream, 'destroy');
    stream.status = 'I';
    const judgement = this.#judge(
      execution,
      isInTransaction,
      hasSentData,
      'the connection to the member was lost',
    );
    const isOver = stream.cancelSignal.isCanceled || this.#isStopped;
    if (judgement.kind === 'mayRetry' && !isOver && this.#retryBudget.tryRetry()) {
      this.options.metrics.retries.inc({ database: this.database });
      execution.sink = doubtfulSink(execution.sink);
      if (memberId !== undefined && request.kind === 'read') execution.excludedMemberIds.add(memberId);
      return 'again';
    }
    const report = judgement.kind === 'report' ? judgement.report : judgement.otherwise;
    sink.fail(report.error, report.status);
    return 'settled';
  }

  #handleExpired(execution: Execution, isInTransaction: boolean): void {
    const { stream, sink } = execution;
    this.#unpin(stream, 'destroy');
    stream.status = 'I';
    const message = 'the request ran past its deadline';
    const judgement = this.#judge(execution, isInTransaction, true, message, SqlState.queryCanceled);
    if (judgement.kind === 'report') sink.fail(judgement.report.error, judgement.report.status);
  }

  #judge(
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
      hasSentData,
      hasOnceKey: request.onceKey !== null,
      isRepeatable: decision.repeatable,
      endsWithFlush: request.terminator === 'flush',
    };
    return judgeLoss(lost, message, sqlState);
  }

  #refuse(
    sink: AnswerSink,
    stream: Stream,
    sqlState: SqlStateCode,
    message: string,
    retryAfterMs: number | null,
    reason: string = sqlState,
  ): void {
    this.options.metrics.refusals.inc({ database: this.database, reason });
    sink.fail(new RequestError(sqlState, 'not_run', message, retryAfterMs), stream.status);
  }

  #primaryId(): string | null {
    return this.options.monitor.describe().primary?.address.memberId ?? null;
  }

  // --- streams

  #unpin(stream: Stream, action: 'release' | 'destroy'): void {
    const { pinned } = stream;
    stream.pinned = null;
    if (pinned === null) return;
    if (action === 'destroy' || stream.isTainted) pinned.pool.destroy(pinned.connection);
    else this.#releaseClean(stream, pinned);
    stream.hasWritten = false;
    stream.isDirty = false;
    stream.isTainted = false;
  }

  #releaseClean(stream: Stream, pinned: PinnedConnection): void {
    if (stream.isDirty) discardSessionState(pinned.connection);
    pinned.pool.release(pinned.connection);
  }

  #endStream(stream: Stream): void {
    this.#unpin(stream, 'destroy');
    this.#streams.delete(stream.streamId);
  }
}

function canRunOnce(stream: Stream, request: StatementRequest): boolean {
  const isOutsideTransaction = stream.pinned === null && !request.controlsTransaction;
  return isOutsideTransaction && request.kind === 'write' && request.terminator !== 'flush';
}

function transactionLost(message: string): RequestError {
  return new RequestError(
    SqlState.connectionFailure,
    'not_run',
    `${message}; the transaction is rolled back`,
    0,
  );
}

function unknownCommit(message: string): RequestError {
  return new RequestError(SqlState.statementCompletionUnknown, 'may_have_run', message);
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
