/**
 * What the sessions of one member stand-in share: tables, locks, the replicated log, slots and limits.
 *
 * @packageDocumentation
 */
import { LockTable } from './locks.js';
import type { ReplicaLog } from './replica-log.js';
import type { Tables } from './tables.js';

/** Settings of a member; times in milliseconds. */
export interface MemberSettings {
  readonly memberId: string;
  readonly zone: string;
  readonly database: string;
  /** Connections accepted at once, control connections included. */
  readonly connectionLimit: number;
  /** Statements executed at once. */
  readonly slots: number;
  /** Time to open a connection. */
  readonly openDelayMs: number;
  /** Time a statement occupies its slot. */
  readonly serviceTimeMs: number;
  /** Whether a commit waits for a majority to have received it. */
  readonly replication: 'asynchronous' | 'majority';
}

/** An open session as others see it, for `pg_stat_activity`. */
export interface SessionHandle {
  readonly processId: number;
  readonly secretKey: number;
  applicationName: string;
  terminate(reason: string): void;
  cancel(): void;
}

/** Counters that a checker reads. */
export interface MemberCounters {
  highestConnections: number;
  refusedConnections: number;
  openedConnections: number;
  /** Statements of callers; what daemons ask for themselves does not count. */
  statements: number;
}

/** Shared state of one member. */
export class Database {
  readonly locks = new LockTable();
  readonly sessions = new Map<number, SessionHandle>();
  readonly counters: MemberCounters = {
    highestConnections: 0,
    refusedConnections: 0,
    openedConnections: 0,
    statements: 0,
  };
  leavingSinceMs: number | null = null;
  #busySlots = 0;
  readonly #slotWaiters: (() => void)[] = [];
  #nextProcessId = 1;

  constructor(
    readonly settings: MemberSettings,
    readonly tables: Tables,
    readonly log: ReplicaLog,
  ) {}

  /** A process id for a new session. */
  nextProcessId(): number {
    return this.#nextProcessId++;
  }

  /** Runs work while holding a slot. */
  async withSlot<T>(work: () => Promise<T>): Promise<T> {
    if (this.#busySlots >= this.settings.slots)
      await new Promise<void>((resolve) => this.#slotWaiters.push(resolve));
    else this.#busySlots += 1;
    try {
      return await work();
    } finally {
      const next = this.#slotWaiters.shift();
      if (next === undefined) this.#busySlots -= 1;
      else next();
    }
  }
}
