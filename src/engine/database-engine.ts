/**
 * Runs the requests for one database at the daemon that owns it.
 *
 * @packageDocumentation
 */
import { CancelSignal } from '../common/cancel-signal.js';
import type { GroupMonitor } from '../group/group-monitor.js';
import type { EngineMetrics } from '../observability/engine-metrics.js';
import type { Policy } from '../policy/policy.js';
import type { MemberPool } from '../pool/member-pool.js';
import { RetryBudget } from '../retry/retry-budget.js';
import { SessionPositions } from '../session/session-positions.js';
import { SqlState } from '../verdict/verdict.js';
import {
  delay,
  refuse,
  transactionLost,
  type EngineContext,
  type Execution,
  type Refusal,
} from './execution.js';
import { MemberAccess } from './member-access.js';
import { policySubject } from './policy-subject.js';
import { RequestRunner } from './request-runner.js';
import type { AnswerSink, StatementRequest } from './statement-request.js';
import { Stream, type PinnedConnection } from './stream.js';

/** Settings of an engine; times in milliseconds. */
export interface DatabaseEngineOptions {
  readonly monitor: GroupMonitor;
  /** Makes the pool of a member, which opens connections only while `mayOpen` says so. */
  readonly createPool: (memberId: string, mayOpen: () => boolean) => MemberPool;
  readonly policy: () => Policy;
  readonly metrics: EngineMetrics;
  /** Longest wait for the evidence that a commit may be acknowledged. */
  readonly evidenceTimeoutMs: number;
  readonly maxSessions: number;
  /** Most requests that wait for a member that can serve them, for instance during an election. */
  readonly maxWaiting: number;
  /** Random numbers in 0..1, for jitter. */
  readonly random: () => number;
}

const GIVEN_UP_BY_SENDER: Refusal = {
  sqlState: SqlState.cannotConnectNow,
  message: 'the daemon that sent the request may have given up on it',
  retryAfterMs: 0,
};

const FORGET_INTERVAL_MS = 250;
const DRAIN_POLL_MS = 10;
/** When to come back after no member could serve in time, in milliseconds. */
const RETRY_AFTER_DEADLINE_MS = 500;

/** Engine of one owned database. */
export class DatabaseEngine {
  readonly positions: SessionPositions;
  readonly #pools = new Map<string, MemberPool>();
  readonly #streams = new Map<string, Stream>();
  readonly #context: EngineContext;
  readonly #access: MemberAccess;
  readonly #runner: RequestRunner;
  readonly #forgetTimer: NodeJS.Timeout;
  #isDraining = false;
  #isStopped = false;

  constructor(
    readonly database: string,
    private readonly options: DatabaseEngineOptions,
  ) {
    this.positions = new SessionPositions(options.maxSessions);
    this.#context = {
      ...options,
      database,
      positions: this.positions,
      retryBudget: new RetryBudget({ retriesPerRequest: 0.1, maxSaved: 50 }),
      isStopped: () => this.#isStopped,
    };
    this.#access = new MemberAccess(this.#context, this.#pools);
    this.#runner = new RequestRunner(this.#context);
    for (const { id } of options.monitor.database.members) {
      this.#pools.set(
        id,
        options.createPool(id, () => options.monitor.isMemberLocked(id)),
      );
    }
    options.monitor.onMemberLost = (memberId) => this.#pools.get(memberId)?.reset();
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

  /**
   * Runs a request; the sink hears exactly one end.
   *
   * @param isAwaited - asked right before the request is sent to a member
   */
  async execute(request: StatementRequest, sink: AnswerSink, isAwaited: () => boolean): Promise<void> {
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
      this.#refuseUnstarted(sink, stream, {
        sqlState: SqlState.featureNotSupported,
        message,
        retryAfterMs: null,
      });
      return;
    }
    const decision = this.options
      .policy()
      .decide(policySubject(request, new Date().getUTCHours(), this.#lowestLagMs()));
    if (decision.refuse !== null) {
      const message = `refused by policy: ${decision.refuse}`;
      const sqlState = SqlState.configurationLimitExceeded;
      this.#refuseUnstarted(sink, stream, { sqlState, message, retryAfterMs: null });
      return;
    }
    const limitMs = Math.min(decision.deadlineMs, request.remainingMs ?? Number.POSITIVE_INFINITY);
    const execution: Execution = {
      stream,
      request,
      decision,
      deadlineMs: performance.now() + limitMs,
      sink,
      isAwaited,
      excludedMemberIds: new Set(),
      attempts: 0,
    };
    stream.isRunning = true;
    stream.cancelSignal = new CancelSignal();
    this.#context.retryBudget.recordRequest();
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

  #refuseUnstarted(sink: AnswerSink, stream: Stream, refusal: Refusal): void {
    refuse(this.#context, sink, stream, refusal);
    if (stream.pinned === null) this.#streams.delete(stream.streamId);
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
    stream.unpin('destroy');
    stream.status = 'I';
    sink.fail(transactionLost('the daemon lost its lease on the database'), 'E');
  }

  #lowestLagMs(): number {
    const { members, primary } = this.options.monitor.describe();
    const lags = members.filter((member) => member !== primary).map(({ stalenessMs }) => stalenessMs);
    const lowest = Math.min(...lags);
    return Number.isFinite(lowest) ? Math.round(lowest) : Number.MAX_SAFE_INTEGER;
  }

  async #runUnpinned(execution: Execution): Promise<void> {
    for (;;) {
      if (!this.#mayServe(execution.stream)) {
        execution.sink.notOwner();
        return;
      }
      if (this.#isGivenUp(execution)) return;
      const pinned = await this.#access.obtain(execution);
      if (pinned === 'refused') return;
      if (pinned === null) continue;
      if (!execution.isAwaited()) {
        pinned.pool.release(pinned.connection);
        refuse(this.#context, execution.sink, execution.stream, GIVEN_UP_BY_SENDER);
        return;
      }
      if ((await this.#runner.attempt(execution, pinned)) === 'settled') return;
    }
  }

  /** Refuses the request if it was canceled or its deadline has passed; nothing of it has run. */
  #isGivenUp(execution: Execution): boolean {
    const { stream, sink } = execution;
    if (stream.cancelSignal.isCanceled) {
      refuse(this.#context, sink, stream, {
        sqlState: SqlState.queryCanceled,
        message: 'canceled before it was run',
        retryAfterMs: null,
      });
      return true;
    }
    if (performance.now() < execution.deadlineMs) return false;
    refuse(this.#context, sink, stream, {
      sqlState: SqlState.cannotConnectNow,
      message: 'no member could serve the request in time',
      retryAfterMs: RETRY_AFTER_DEADLINE_MS,
    });
    return true;
  }

  async #runPinned(execution: Execution, pinned: PinnedConnection): Promise<void> {
    const { stream, sink } = execution;
    if (!execution.isAwaited()) {
      stream.unpin('destroy');
      stream.status = 'I';
      sink.fail(transactionLost(GIVEN_UP_BY_SENDER.message), 'E');
      return;
    }
    pinned.pool.beginExecution(pinned.connection);
    await this.#runner.attempt(execution, pinned);
  }

  #endStream(stream: Stream): void {
    stream.unpin('destroy');
    this.#streams.delete(stream.streamId);
  }
}

function canRunOnce(stream: Stream, request: StatementRequest): boolean {
  const isOutsideTransaction = stream.pinned === null && !request.controlsTransaction;
  return isOutsideTransaction && request.kind === 'write' && request.terminator !== 'flush';
}
