/**
 * State shared by the sessions of one member stand-in: tables, locks, replicated log, execution slots and
 * limits.
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
  /** Maximum of concurrent connections, including control connections. */
  readonly connectionLimit: number;
  /** Maximum of statements executed concurrently. */
  readonly slots: number;
  /** Delay before the startup response of a new connection. */
  readonly openDelayMs: number;
  /** Time added to the execution of each statement while it holds its slot. */
  readonly serviceTimeMs: number;
  /** `majority` acknowledges a commit only after a majority of the group has received it. */
  readonly replication: 'asynchronous' | 'majority';
}

/** Interface of an open session to other sessions: listed in `pg_stat_activity`, terminated or canceled. */
export interface SessionHandle {
  readonly processId: number;
  readonly secretKey: number;
  applicationName: string;
  terminate(reason: string): void;
  cancel(): void;
}

/** Counters read by history checkers. */
export interface MemberCounters {
  highestConnections: number;
  refusedConnections: number;
  openedConnections: number;
  /** Statements of clients; control statements, such as a daemon's status queries, are not counted. */
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

  /** Allocates a process id for a new session. */
  nextProcessId(): number {
    return this.#nextProcessId++;
  }

  /** Waits for an execution slot, in order of arrival, and runs the work while holding it. */
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
