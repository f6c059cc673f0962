/**
 * Executes the requests for one database on the daemon that owns it.
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
import { ConnectionSelector } from './connection-selector.js';
import { policySubject } from './policy-subject.js';
import { RequestRunner } from './request-runner.js';
import type { ResponseSink, StatementRequest } from './statement-request.js';
import { ClientStream, type PinnedConnection } from './client-stream.js';

/** Settings of an engine; times in milliseconds. */
export interface DatabaseEngineOptions {
  readonly monitor: GroupMonitor;
  /** Creates the connection pool of a member, which opens connections only while `mayOpen` returns true. */
  readonly createPool: (memberId: string, mayOpen: () => boolean) => MemberPool;
  readonly policy: () => Policy;
  readonly metrics: EngineMetrics;
  /** Maximum wait for a majority to confirm a commit. */
  readonly evidenceTimeoutMs: number;
  readonly maxSessions: number;
  /** Maximum number of requests that wait for an available member, for instance during an election. */
  readonly maxWaiting: number;
  /** Random numbers in 0..1, for jitter. */
  readonly random: () => number;
}

const SENDER_TIMED_OUT: Refusal = {
  sqlState: SqlState.cannotConnectNow,
  message: 'the daemon that sent the request may have given up on it',
  retryAfterMs: 0,
};

const POSITION_PRUNE_INTERVAL_MS = 250;
const DRAIN_POLL_INTERVAL_MS = 10;
/** Retry delay sent to the client when no member could serve the request in time, in milliseconds. */
const RETRY_AFTER_DEADLINE_MS = 500;

/** Request engine of one database that this daemon owns. */
export class DatabaseEngine {
  readonly positions: SessionPositions;
  readonly #pools = new Map<string, MemberPool>();
  readonly #streams = new Map<string, ClientStream>();
  readonly #context: EngineContext;
  readonly #connectionSelector: ConnectionSelector;
  readonly #runner: RequestRunner;
  readonly #pruneTimer: NodeJS.Timeout;
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
    this.#connectionSelector = new ConnectionSelector(this.#context, this.#pools);
    this.#runner = new RequestRunner(this.#context);
    for (const { id } of options.monitor.database.members) {
      this.#pools.set(
        id,
        options.createPool(id, () => options.monitor.isMemberLocked(id)),
      );
    }
    options.monitor.onMemberLost = (memberId) => this.#pools.get(memberId)?.reset();
    this.#pruneTimer = setInterval(
      () => this.positions.forgetApplied(options.monitor.appliedEverywhere()),
      POSITION_PRUNE_INTERVAL_MS,
    );
    this.#pruneTimer.unref();
  }

  /** Connection pools by member id. */
  get pools(): ReadonlyMap<string, MemberPool> {
    return this.#pools;
  }

  /**
   * Executes a request. Exactly one of the sink's `end`, `fail` and `notOwner` is called.
   *
   * @param isAwaited - checked directly before the request is sent to a member; when it returns false, the
   *   sender may have stopped waiting and the request is refused
   */
  async execute(request: StatementRequest, sink: ResponseSink, isAwaited: () => boolean): Promise<void> {
    const stream = this.#findOrCreateStream(request);
    if (!this.#mayServe(stream)) {
      this.#rejectWithoutLease(stream, sink);
      this.#streams.delete(stream.streamId);
      return;
    }
    if (request.continues !== 'nothing' && stream.pinned === null) {
      this.#streams.delete(stream.streamId);
      sink.fail(transactionLost('its connection is gone'), request.continues === 'transaction' ? 'E' : 'I');
      return;
    }
    if (request.onceKey !== null && !supportsOnceKey(stream, request)) {
      const message = 'a once-only key goes with a single write outside a transaction';
      this.#refuseBeforeStart(sink, stream, {
        sqlState: SqlState.featureNotSupported,
        message,
        retryAfterMs: null,
      });
      return;
    }
    const decision = this.options
      .policy()
      .decide(policySubject(request, new Date().getUTCHours(), this.#minReplicaStalenessMs()));
    if (decision.refuse !== null) {
      const message = `refused by policy: ${decision.refuse}`;
      const sqlState = SqlState.configurationLimitExceeded;
      this.#refuseBeforeStart(sink, stream, { sqlState, message, retryAfterMs: null });
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
      if (stream.isClosed) this.#removeStream(stream);
      else if (stream.pinned === null) this.#streams.delete(stream.streamId);
    }
  }

  /** Cancels the request that a stream is running or waiting to run. */
  cancel(streamId: string): void {
    const stream = this.#streams.get(streamId);
    if (stream === undefined || !stream.isRunning) return;
    stream.cancelSignal.cancel();
    if (stream.pinned === null) return;
    stream.hasCancelInFlight = true;
    stream.pinned.connection.cancel();
  }

  /** Closes a stream; its open transaction is rolled back. */
  closeStream(streamId: string): void {
    const stream = this.#streams.get(streamId);
    if (stream === undefined) return;
    stream.isClosed = true;
    if (stream.isRunning) {
      stream.cancelSignal.cancel();
      if (stream.pinned !== null) stream.pinned.connection.destroy();
      return;
    }
    this.#removeStream(stream);
  }

  /**
   * Stops accepting requests, except in open transactions, and waits until running requests and transactions
   * have ended; returns how many streams were still busy at the time-out.
   */
  async drain(timeoutMs: number): Promise<number> {
    this.#isDraining = true;
    const deadlineMs = performance.now() + timeoutMs;
    while (this.#busyStreamCount() > 0 && performance.now() < deadlineMs) await delay(DRAIN_POLL_INTERVAL_MS);
    return this.#busyStreamCount();
  }

  /** Cancels all waits and closes all connections immediately. */
  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#pruneTimer);
    for (const stream of this.#streams.values()) stream.cancelSignal.cancel();
    for (const pool of this.#pools.values()) pool.close();
  }

  #refuseBeforeStart(sink: ResponseSink, stream: ClientStream, refusal: Refusal): void {
    refuse(this.#context, sink, stream, refusal);
    if (stream.pinned === null) this.#streams.delete(stream.streamId);
  }

  #busyStreamCount(): number {
    let busy = 0;
    for (const stream of this.#streams.values()) if (stream.isRunning || stream.pinned !== null) busy += 1;
    return busy;
  }

  #findOrCreateStream(request: StatementRequest): ClientStream {
    const known = this.#streams.get(request.streamId);
    if (known !== undefined) return known;
    const stream = new ClientStream(request.streamId);
    this.#streams.set(request.streamId, stream);
    return stream;
  }

  #mayServe(stream: ClientStream): boolean {
    if (this.#isStopped || !this.options.monitor.isLeaseHeld()) return false;
    return !this.#isDraining || stream.pinned !== null;
  }

  #rejectWithoutLease(stream: ClientStream, sink: ResponseSink): void {
    if (stream.pinned === null) {
      sink.notOwner();
      return;
    }
    stream.unpin('destroy');
    stream.status = 'I';
    sink.fail(transactionLost('the daemon lost its lease on the database'), 'E');
  }

  #minReplicaStalenessMs(): number {
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
      if (this.#refuseIfCanceledOrExpired(execution)) return;
      const pinned = await this.#connectionSelector.selectConnection(execution);
      if (pinned === 'refused') return;
      if (pinned === null) continue;
      if (!execution.isAwaited()) {
        pinned.pool.release(pinned.connection);
        refuse(this.#context, execution.sink, execution.stream, SENDER_TIMED_OUT);
        return;
      }
      if ((await this.#runner.attempt(execution, pinned)) === 'settled') return;
    }
  }

  /** Refuses the request if it was canceled or its deadline has passed; no part of it has run. */
  #refuseIfCanceledOrExpired(execution: Execution): boolean {
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
      sink.fail(transactionLost(SENDER_TIMED_OUT.message), 'E');
      return;
    }
    pinned.pool.beginExecution(pinned.connection);
    await this.#runner.attempt(execution, pinned);
  }

  #removeStream(stream: ClientStream): void {
    stream.unpin('destroy');
    this.#streams.delete(stream.streamId);
  }
}

function supportsOnceKey(stream: ClientStream, request: StatementRequest): boolean {
  const isOutsideTransaction = stream.pinned === null && !request.controlsTransaction;
  return isOutsideTransaction && request.kind === 'write' && request.terminator !== 'flush';
}
