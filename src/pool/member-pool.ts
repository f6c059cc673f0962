/**
 * Connections to one member, shared by all callers within the member's limits.
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
  /** Most connections open at once. */
  readonly maxConnections: number;
  /** Most requests that execute at once. */
  readonly slots: number;
  /** Most requests that wait. */
  readonly maxQueueLength: number;
  /** True while the owner's lock on the member is held. */
  readonly mayOpen: () => boolean;
}

/** Why a request got no connection; it was not run. */
export type AcquireRefusal =
  'queue_full' | 'wait_too_long' | 'deadline_passed' | 'cannot_connect' | 'closed' | 'canceled';

/** Outcome of asking for a connection. */
export type AcquireOutcome =
  | { readonly kind: 'connection'; readonly connection: MemberConnection }
  | { readonly kind: 'refused'; readonly reason: AcquireRefusal; readonly retryAfterMs: number };

/** What a request needs of the pool. */
export interface AcquireRequest {
  readonly priority: number;
  /** Monotonic time after which an answer is of no use, in milliseconds. */
  readonly deadlineMs: number;
  /** Given when the caller gives up. */
  readonly signal: CancelSignal;
}

interface PoolWaiter extends Waiter {
  readonly finish: (outcome: AcquireOutcome) => void;
}

const INITIAL_SERVICE_TIME_MS = 5;
const SERVICE_TIME_WEIGHT = 0.05;
const EXPIRY_CHECK_INTERVAL_MS = 20;
const MIN_RETRY_AFTER_MS = 20;

/** A pool for one member. */
export class MemberPool {
  readonly #idle: MemberConnection[] = [];
  readonly #open = new Set<MemberConnection>();
  readonly #startedAtMs = new Map<MemberConnection, number>();
  readonly #queue: AdmissionQueue<PoolWaiter>;
  #opening = 0;
  #executing = 0;
  #meanServiceTimeMs = INITIAL_SERVICE_TIME_MS;
  #closed = false;
  readonly #expiryTimer: NodeJS.Timeout;

  constructor(private readonly options: MemberPoolOptions) {
    this.#queue = new AdmissionQueue(options.maxQueueLength);
    this.#expiryTimer = setInterval(() => this.#expire(), EXPIRY_CHECK_INTERVAL_MS);
    this.#expiryTimer.unref();
  }

  /** Requests executing and waiting. */
  get load(): number {
    return this.#executing + this.#queue.size;
  }

  /** Connections open or being opened. */
  get connectionCount(): number {
    return this.#open.size + this.#opening;
  }

  /** Requests waiting. */
  get queueLength(): number {
    return this.#queue.size;
  }

  /** Waits for a connection and a slot; refuses at once when the wait would be of no use. */
  acquire(request: AcquireRequest): Promise<AcquireOutcome> {
    return new Promise((resolve) => {
      if (this.#closed) return resolve(this.#refusal('closed'));
      if (performance.now() + this.#expectedWaitMs(request.priority) > request.deadlineMs) {
        return resolve(this.#refusal('wait_too_long'));
      }
      this.#enqueue(request, resolve);
      this.#pump();
    });
  }

  /** Gives a connection back, free of any caller's state. */
  release(connection: MemberConnection): void {
    this.#endExecution(connection);
    if (connection.isClosed || this.#closed) this.#discard(connection);
    else this.#idle.push(connection);
    this.#pump();
  }

  /** Keeps the connection for its transaction, but frees the slot. */
  endExecution(connection: MemberConnection): void {
    this.#endExecution(connection);
    this.#pump();
  }

  /** Counts a further statement of a transaction, which waits for no slot. */
  beginExecution(connection: MemberConnection): void {
    this.#executing += 1;
    this.#startedAtMs.set(connection, performance.now());
  }

  /** Ends a connection that must not be used again. */
  destroy(connection: MemberConnection): void {
    this.#endExecution(connection);
    this.#discard(connection);
    this.#pump();
  }

  /**
   * Ends all connections, since the member does not answer or its lock is gone: what runs on them is lost now
   * instead of at its deadline, what waits chooses again, and they do not stand in the way of another owner's.
   */
  reset(): void {
    for (let waiter = this.#queue.take(); waiter !== null; waiter = this.#queue.take()) {
      waiter.finish(this.#refusal('closed'));
    }
    for (const connection of [...this.#open]) this.#discard(connection);
    this.#idle.length = 0;
  }

  /** Ends all connections and refuses all that wait. */
  close(): void {
    this.#closed = true;
    clearInterval(this.#expiryTimer);
    this.reset();
  }

  #enqueue(request: AcquireRequest, resolve: (outcome: AcquireOutcome) => void): void {
    const onCancel = (): void => {
      if (this.#queue.remove(waiter)) waiter.finish(this.#refusal('canceled'));
    };
    const finish = (outcome: AcquireOutcome): void => {
      request.signal.setListener(null);
      resolve(outcome);
    };
    const waiter: PoolWaiter = { priority: request.priority, deadlineMs: request.deadlineMs, finish };
    request.signal.setListener(onCancel);
    const admission = this.#queue.offer(waiter);
    if (admission.kind === 'refused') finish(this.#refusal('queue_full'));
    if (admission.kind === 'displaced') admission.item.finish(this.#refusal('queue_full'));
  }

  #pump(): void {
    while (!this.#closed && this.#queue.size > 0 && this.#executing < this.options.slots) {
      const connection = this.#takeIdle();
      if (connection === null) {
        this.#openMore();
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

  /** Opens as many connections as there are waiters that could use one. */
  #openMore(): void {
    const usable = Math.min(this.#queue.size, this.options.slots - this.#executing);
    while (
      this.#opening < usable &&
      this.connectionCount < this.options.maxConnections &&
      this.options.mayOpen()
    ) {
      void this.#openOne();
    }
  }

  async #openOne(): Promise<void> {
    this.#opening += 1;
    try {
      const connection = await MemberConnection.open(this.options.connection);
      this.#opening -= 1;
      this.#adopt(connection);
    } catch (error) {
      this.#opening -= 1;
      this.#handleConnectFailure(error);
    }
  }

  #adopt(connection: MemberConnection): void {
    if (this.#closed || !this.options.mayOpen()) {
      connection.close();
      return;
    }
    this.#open.add(connection);
    connection.onClosed = () => this.#open.delete(connection);
    this.#idle.push(connection);
    this.#pump();
  }

  /** One waiter is told; the others may still be served by connections that are open. */
  #handleConnectFailure(error: unknown): void {
    const isLimit = error instanceof MemberConnectionError && error.sqlState === '53300';
    if (this.#open.size > 0 && isLimit) return;
    this.#queue.take()?.finish(this.#refusal('cannot_connect'));
    this.#pump();
  }

  #endExecution(connection: MemberConnection): void {
    const startedAtMs = this.#startedAtMs.get(connection);
    if (startedAtMs === undefined) return;
    this.#startedAtMs.delete(connection);
    this.#executing -= 1;
    const serviceTimeMs = performance.now() - startedAtMs;
    this.#meanServiceTimeMs += (serviceTimeMs - this.#meanServiceTimeMs) * SERVICE_TIME_WEIGHT;
  }

  #discard(connection: MemberConnection): void {
    this.#open.delete(connection);
    connection.destroy();
  }

  #expectedWaitMs(priority: number): number {
    const ahead = this.#queue.lengthAhead(priority);
    return (ahead * this.#meanServiceTimeMs) / this.options.slots;
  }

  #refusal(reason: AcquireRefusal): AcquireOutcome {
    const drainTimeMs = ((this.#queue.size + 1) * this.#meanServiceTimeMs) / this.options.slots;
    return { kind: 'refused', reason, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(drainTimeMs)) };
  }

  #expire(): void {
    for (const waiter of this.#queue.takeExpired(performance.now()))
      waiter.finish(this.#refusal('deadline_passed'));
  }
}
