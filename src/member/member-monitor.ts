/**
 * Monitors one member and holds the owner's advisory lock on it, over one control connection.
 *
 * @packageDocumentation
 */
import type { MemberAddress, MemberStatus } from '../group/group-description.js';
import { MemberConnection, type MemberConnectionOptions } from './member-connection.js';
import {
  FENCE_STATEMENT,
  idleTimeoutStatement,
  lockStatement,
  readStatus,
  STATUS_STATEMENT,
} from './member-statements.js';

/** Settings of a monitor; times in milliseconds. */
export interface MemberMonitorOptions {
  readonly database: string;
  readonly connection: Omit<MemberConnectionOptions, 'host' | 'port'>;
  /** Idle time after which the member ends the session and thereby releases its lock. */
  readonly leaseMs: number;
  /** Time after which a query without a response closes the connection. */
  readonly statusTimeoutMs: number;
}

/** Receives the results of a monitor. */
export interface MemberMonitorListener {
  /** A status was received for a query sent at `sentAtMs` (monotonic, in milliseconds). */
  status(memberId: string, status: MemberStatus, sentAtMs: number): void;
  /**
   * The lock was acquired and earlier owners' connections were terminated; called again after each status
   * query during which the lock was held.
   */
  locked(memberId: string, sentAtMs: number): void;
  /** The control connection was lost, and the lock with it. */
  lost(memberId: string): void;
  /** Time until the next status query, in milliseconds. */
  pollIntervalMs(): number;
}

const RECONNECT_DELAY_MS = 100;

/** Maintains a control connection to one member and polls its status. */
export class MemberMonitor {
  #connection: MemberConnection | null = null;
  #isLocked = false;
  #stopped = false;
  #closedTrafficBytes = 0;
  #isPollRequested = false;
  #wake: (() => void) | null = null;

  constructor(
    readonly address: MemberAddress,
    private readonly options: MemberMonitorOptions,
    private readonly listener: MemberMonitorListener,
  ) {}

  /** Bytes sent and received so far. */
  get trafficBytes(): number {
    return this.#closedTrafficBytes + (this.#connection?.trafficBytes ?? 0);
  }

  /** Starts monitoring. */
  start(): void {
    void this.#run();
  }

  /** Stops monitoring and closes the control connection, which releases the lock. */
  stop(): void {
    this.#stopped = true;
    this.#connection?.close();
    this.#wake?.();
  }

  /** Queries the status as soon as possible instead of at the end of the poll interval. */
  pollNow(): void {
    this.#isPollRequested = true;
    this.#wake?.();
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#monitorConnection();
      } catch {
        // Any failure closes the connection; the loop opens a new one.
      }
      this.#closedTrafficBytes += this.#connection?.trafficBytes ?? 0;
      this.#connection?.destroy();
      this.#connection = null;
      this.#isLocked = false;
      this.listener.lost(this.address.memberId);
      if (!this.#stopped) await this.#sleep(RECONNECT_DELAY_MS);
    }
  }

  async #monitorConnection(): Promise<void> {
    const { host, port } = this.address;
    const connection = await MemberConnection.open({ ...this.options.connection, host, port });
    this.#connection = connection;
    connection.onClosed = () => this.#wake?.();
    if (this.#stopped) return;
    await this.#query(connection, idleTimeoutStatement(this.options.leaseMs));
    while (!this.#stopped && !connection.isClosed) {
      if (!this.#isLocked) await this.#tryLock(connection);
      await this.#queryStatus(connection);
      if (!this.#isPollRequested) await this.#sleep(this.listener.pollIntervalMs());
    }
  }

  async #tryLock(connection: MemberConnection): Promise<void> {
    const sentAtMs = performance.now();
    const rows = await this.#query(connection, lockStatement(this.options.database));
    if (rows[0]?.['locked'] !== 't') return;
    await this.#query(connection, FENCE_STATEMENT);
    this.#isLocked = true;
    this.listener.locked(this.address.memberId, sentAtMs);
  }

  async #queryStatus(connection: MemberConnection): Promise<void> {
    this.#isPollRequested = false;
    const sentAtMs = performance.now();
    const status = readStatus(await this.#query(connection, STATUS_STATEMENT));
    if (status === null) throw new Error('unreadable status');
    this.listener.status(this.address.memberId, status, sentAtMs);
    if (this.#isLocked) this.listener.locked(this.address.memberId, sentAtMs);
  }

  async #query(connection: MemberConnection, text: string): ReturnType<MemberConnection['query']> {
    const timer = setTimeout(() => connection.destroy(), this.options.statusTimeoutMs);
    try {
      return await connection.query(text);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Sleeps until the duration has passed or `#wake` is called. */
  async #sleep(durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, durationMs);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#wake = null;
  }
}
