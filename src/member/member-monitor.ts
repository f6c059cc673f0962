/**
 * Watches one member and holds the owner's lock on it, over one control connection.
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
  /** Time after which the member ends a silent session and its lock. */
  readonly leaseMs: number;
  /** Time without an answer after which the connection is given up. */
  readonly statusTimeoutMs: number;
}

/** Hears what a monitor finds out. */
export interface MemberMonitorListener {
  /** A status came, for a question sent at `askedAtMs` (monotonic). */
  status(memberId: string, status: MemberStatus, askedAtMs: number): void;
  /** The lock was taken and earlier owners' connections were ended. */
  locked(memberId: string, sentAtMs: number): void;
  /** The control connection, and with it the lock, is gone. */
  lost(memberId: string): void;
  /** Time until the next status question, in milliseconds. */
  pollIntervalMs(): number;
}

const RECONNECT_DELAY_MS = 100;

/** Keeps a control connection to one member and asks for its status again and again. */
export class MemberMonitor {
  #connection: MemberConnection | null = null;
  #isLocked = false;
  #stopped = false;
  #closedTraffic = 0;
  #isPollRequested = false;
  #wake: (() => void) | null = null;

  constructor(
    readonly address: MemberAddress,
    private readonly options: MemberMonitorOptions,
    private readonly listener: MemberMonitorListener,
  ) {}

  /** Bytes sent and received so far. */
  get traffic(): number {
    return this.#closedTraffic + (this.#connection?.traffic ?? 0);
  }

  /** Starts to watch. */
  start(): void {
    void this.#run();
  }

  /** Ends the control connection, which releases the lock. */
  stop(): void {
    this.#stopped = true;
    this.#connection?.close();
    this.#wake?.();
  }

  /** Asks for the status as soon as possible. */
  pollNow(): void {
    this.#isPollRequested = true;
    this.#wake?.();
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#watch();
      } catch {
        // Any failure ends the connection; the loop opens another.
      }
      this.#closedTraffic += this.#connection?.traffic ?? 0;
      this.#connection?.destroy();
      this.#connection = null;
      this.#isLocked = false;
      this.listener.lost(this.address.memberId);
      if (!this.#stopped) await this.#pause(RECONNECT_DELAY_MS);
    }
  }

  async #watch(): Promise<void> {
    const { host, port } = this.address;
    const connection = await MemberConnection.open({ ...this.options.connection, host, port });
    this.#connection = connection;
    connection.onClosed = () => this.#wake?.();
    if (this.#stopped) return;
    await this.#ask(connection, idleTimeoutStatement(this.options.leaseMs));
    while (!this.#stopped && !connection.isClosed) {
      if (!this.#isLocked) await this.#tryLock(connection);
      await this.#askStatus(connection);
      if (!this.#isPollRequested) await this.#pause(this.listener.pollIntervalMs());
    }
  }

  async #tryLock(connection: MemberConnection): Promise<void> {
    const sentAtMs = performance.now();
    const rows = await this.#ask(connection, lockStatement(this.options.database));
    if (rows[0]?.['locked'] !== 't') return;
    await this.#ask(connection, FENCE_STATEMENT);
    this.#isLocked = true;
    this.listener.locked(this.address.memberId, sentAtMs);
  }

  async #askStatus(connection: MemberConnection): Promise<void> {
    this.#isPollRequested = false;
    const askedAtMs = performance.now();
    const status = readStatus(await this.#ask(connection, STATUS_STATEMENT));
    if (status === null) throw new Error('unreadable status');
    this.listener.status(this.address.memberId, status, askedAtMs);
    if (this.#isLocked) this.listener.locked(this.address.memberId, askedAtMs);
  }

  async #ask(connection: MemberConnection, text: string): ReturnType<MemberConnection['query']> {
    const timer = setTimeout(() => connection.destroy(), this.options.statusTimeoutMs);
    try {
      return await connection.query(text);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Waits, unless woken. */
  async #pause(durationMs: number): Promise<void> {
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
