/**
 * Connection pool of one member, shared by all clients within the member's limits.
 *
 * @packageDocumentation
 */
import {
  MemberConnection,
  MemberConnectionError,
  type MemberConnectionOptions,
} from '../member/member-connection.js';
import type { CancelSignal } from '../common/cancel-signal.js';
import { AdmissionQueue, type Waiter } from './admission-queue.js';

/** Settings of a pool. */
export interface MemberPoolOptions {
  readonly connection: MemberConnectionOptions;
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /**
   * Maximum number of concurrently executing requests; further statements of transactions are not limited.
   */
  readonly slots: number;
  /** Maximum number of waiting requests. */
  readonly maxQueueLength: number;
  /**
   * True while this daemon, as the owner, holds its lock on the member; no connection is opened otherwise.
   */
  readonly mayOpen: () => boolean;
}

/** Reason why a request was given no connection; the request has not run. */
export type AcquireRefusal =
  'queue_full' | 'wait_too_long' | 'deadline_passed' | 'cannot_connect' | 'closed' | 'canceled';

/** Result of acquiring a connection. */
export type AcquireOutcome =
  | { readonly kind: 'connection'; readonly connection: MemberConnection }
  | { readonly kind: 'refused'; readonly reason: AcquireRefusal; readonly retryAfterMs: number };

/** Parameters of acquiring a connection. */
export interface AcquireRequest {
  readonly priority: number;
  /** Monotonic deadline of the request, in milliseconds. */
  readonly deadlineMs: number;
  /** Canceled when the caller stops waiting. */
  readonly signal: CancelSignal;
}

interface PoolWaiter extends Waiter {
  readonly finish: (outcome: AcquireOutcome) => void;
}

const INITIAL_SERVICE_TIME_MS = 5;
const SERVICE_TIME_SMOOTHING_FACTOR = 0.05;
const EXPIRY_CHECK_INTERVAL_MS = 20;
const MIN_RETRY_AFTER_MS = 20;

/** Connection pool of one member. */
export class MemberPool {
  readonly #idle: MemberConnection[] = [];
  readonly #open = new Set<MemberConnection>();
  readonly #startedAtMs = new Map<MemberConnection, number>();
  readonly #queue: AdmissionQueue<PoolWaiter>;
  #openingCount = 0;
  #executingCount = 0;
  #meanServiceTimeMs = INITIAL_SERVICE_TIME_MS;
  #isClosed = false;
  readonly #expiryTimer: NodeJS.Timeout;

  constructor(private readonly options: MemberPoolOptions) {
    this.#queue = new AdmissionQueue(options.maxQueueLength);
    this.#expiryTimer = setInterval(() => this.#refuseExpired(), EXPIRY_CHECK_INTERVAL_MS);
    this.#expiryTimer.unref();
  }

  /** Number of executing and waiting requests. */
  get load(): number {
    return this.#executingCount + this.#queue.size;
  }

  /** Number of connections that are open or being opened. */
  get connectionCount(): number {
    return this.#open.size + this.#openingCount;
  }

  /** Number of waiting requests. */
  get queueLength(): number {
    return this.#queue.size;
  }

  /**
   * Waits for a connection and an execution slot; refuses at once when the expected wait exceeds the
   * deadline.
   */
  acquire(request: AcquireRequest): Promise<AcquireOutcome> {
    return new Promise((resolve) => {
      if (this.#isClosed) return resolve(this.#refusalOutcome('closed'));
      if (performance.now() + this.#expectedWaitMs(request.priority) > request.deadlineMs) {
        return resolve(this.#refusalOutcome('wait_too_long'));
      }
      this.#enqueue(request, resolve);
      this.#dispatch();
    });
  }

  /** Returns a connection to the pool; the caller must have discarded its session state. */
  release(connection: MemberConnection): void {
    this.#endExecution(connection);
    if (connection.isClosed || this.#isClosed) this.#discard(connection);
    else this.#idle.push(connection);
    this.#dispatch();
  }

  /** Frees the execution slot while the connection stays reserved for its transaction. */
  endExecution(connection: MemberConnection): void {
    this.#endExecution(connection);
    this.#dispatch();
  }

  /** Counts the next statement of a transaction as executing; it does not wait for a slot. */
  beginExecution(connection: MemberConnection): void {
    this.#executingCount += 1;
    this.#startedAtMs.set(connection, performance.now());
  }

  /** Closes a connection that must not be reused. */
  destroy(connection: MemberConnection): void {
    this.#endExecution(connection);
    this.#discard(connection);
    this.#dispatch();
  }

  /**
   * Closes all connections after the member stopped responding or its lock was lost. Running requests fail
   * now instead of at their deadlines, waiting requests repeat the member selection, and the connections no
   * longer count against the connection limit that another owner needs.
   */
  reset(): void {
    for (let waiter = this.#queue.take(); waiter !== null; waiter = this.#queue.take()) {
      waiter.finish(this.#refusalOutcome('closed'));
    }
    for (const connection of [...this.#open]) this.#discard(connection);
    this.#idle.length = 0;
  }

  /** Closes all connections and refuses all waiting requests. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#expiryTimer);
    this.reset();
  }

  #enqueue(request: AcquireRequest, resolve: (outcome: AcquireOutcome) => void): void {
    const onCancel = (): void => {
      if (this.#queue.remove(waiter)) waiter.finish(this.#refusalOutcome('canceled'));
    };
    const finish = (outcome: AcquireOutcome): void => {
      request.signal.setListener(null);
      resolve(outcome);
    };
    const waiter: PoolWaiter = { priority: request.priority, deadlineMs: request.deadlineMs, finish };
    request.signal.setListener(onCancel);
    const admission = this.#queue.offer(waiter);
    if (admission.kind === 'refused') finish(this.#refusalOutcome('queue_full'));
    if (admission.kind === 'displaced') admission.item.finish(this.#refusalOutcome('queue_full'));
  }

  #dispatch(): void {
    while (!this.#isClosed && this.#queue.size > 0 && this.#executingCount < this.options.slots) {
      const connection = this.#takeIdle();
      if (connection === null) {
        this.#openForWaiters();
        return;
      }
      const waiter = this.#queue.take();
      if (waiter === null) {
        this.#idle.push(connection);
        return;
      }
      this.beginExecution(connection);
      waiter.finish({ kind: 'connection', connection });
    }
  }

  #takeIdle(): MemberConnection | null {
    for (;;) {
      const connection = this.#idle.pop();
      if (connection === undefined) return null;
      if (!connection.isClosed) return connection;
    }
  }

  /** Opens as many connections as there are waiting requests that a free slot could serve. */
  #openForWaiters(): void {
    const usable = Math.min(this.#queue.size, this.options.slots - this.#executingCount);
    while (
      this.#openingCount < usable &&
      this.connectionCount < this.options.maxConnections &&
      this.options.mayOpen()
    ) {
      void this.#openOne();
    }
  }

  async #openOne(): Promise<void> {
    this.#openingCount += 1;
    try {
      const connection = await MemberConnection.open(this.options.connection);
      this.#openingCount -= 1;
      this.#addConnection(connection);
    } catch (error) {
      this.#openingCount -= 1;
      this.#handleConnectFailure(error);
    }
  }

  #addConnection(connection: MemberConnection): void {
    if (this.#isClosed || !this.options.mayOpen()) {
      connection.close();
      return;
    }
    this.#open.add(connection);
    connection.onClosed = () => this.#open.delete(connection);
    this.#idle.push(connection);
    this.#dispatch();
  }

  /** Refuses only one waiting request, because open connections may still serve the others. */
  #handleConnectFailure(error: unknown): void {
    const isLimit = error instanceof MemberConnectionError && error.sqlState === '53300';
    if (this.#open.size > 0 && isLimit) return;
    this.#queue.take()?.finish(this.#refusalOutcome('cannot_connect'));
    this.#dispatch();
  }

  #endExecution(connection: MemberConnection): void {
    const startedAtMs = this.#startedAtMs.get(connection);
    if (startedAtMs === undefined) return;
    this.#startedAtMs.delete(connection);
    this.#executingCount -= 1;
    const serviceTimeMs = performance.now() - startedAtMs;
    this.#meanServiceTimeMs += (serviceTimeMs - this.#meanServiceTimeMs) * SERVICE_TIME_SMOOTHING_FACTOR;
  }

  #discard(connection: MemberConnection): void {
    this.#open.delete(connection);
    connection.destroy();
  }

  #expectedWaitMs(priority: number): number {
    const ahead = this.#queue.lengthAhead(priority);
    return (ahead * this.#meanServiceTimeMs) / this.options.slots;
  }

  #refusalOutcome(reason: AcquireRefusal): AcquireOutcome {
    const drainTimeMs = ((this.#queue.size + 1) * this.#meanServiceTimeMs) / this.options.slots;
    return { kind: 'refused', reason, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(drainTimeMs)) };
  }

  #refuseExpired(): void {
    for (const waiter of this.#queue.takeExpired(performance.now()))
      waiter.finish(this.#refusalOutcome('deadline_passed'));
  }
}
