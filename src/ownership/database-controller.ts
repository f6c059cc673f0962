/**
 * Decides when this daemon takes a database's lease, and gives it up when it is lost or the daemon stops.
 *
 * @packageDocumentation
 */
import type { DatabaseConfiguration } from '../configuration/configuration.js';
import { DatabaseEngine, type DatabaseEngineOptions } from '../engine/database-engine.js';
import { GroupMonitor, type GroupMonitorOptions } from '../group/group-monitor.js';
import type { Logger } from '../observability/logger.js';

/** What a controller asks and tells its daemon. */
export interface DatabaseControllerPorts {
  /** Place of this daemon among the candidates, from 0; `null` when it is none. */
  rank(): number | null;
  /** True when another daemon that is believed alive says it owns the database. */
  isOwnedElsewhere(): boolean;
  /** The lease was taken or given up. */
  ownershipChanged(isOwner: boolean): void;
}

/** Settings of a controller; times in milliseconds. */
export interface DatabaseControllerOptions {
  readonly database: DatabaseConfiguration;
  readonly monitor: GroupMonitorOptions;
  readonly engine: Omit<DatabaseEngineOptions, 'monitor'>;
  readonly log: Logger;
  /** Time in which a majority of locks must be had. */
  readonly acquireTimeoutMs: number;
  /** Time that each place in the ranking waits for the places before it. */
  readonly rankDelayMs: number;
  /** Time without a primary in reach after which an owner leaves the database to another daemon. */
  readonly yieldAfterMs: number;
  readonly random: () => number;
}

/** An owner that gave up for want of a primary stays away this many times as long as it waited. */
const YIELD_PAUSE_FACTOR = 2;
/** Time between ticks of a controller, in milliseconds. */
export const CONTROL_TICK_MS = 50;
const LOCK_POLL_MS = 10;

/** Controls one database at one daemon. */
export class DatabaseController {
  #engine: DatabaseEngine | null = null;
  #monitor: GroupMonitor | null = null;
  #isStopped = false;
  #isAcquiring = false;
  #closedTraffic = 0;
  #unownedSinceMs: number | null = null;
  #notBeforeMs = 0;
  #primarySeenMs = 0;

  constructor(
    private readonly options: DatabaseControllerOptions,
    private readonly ports: DatabaseControllerPorts,
  ) {}

  /** Configuration of the database. */
  get database(): DatabaseConfiguration {
    return this.options.database;
  }

  /** The engine, while this daemon owns the database. */
  get engine(): DatabaseEngine | null {
    return this.#engine;
  }

  /** The group as the owner sees it, or `null` when this daemon does not own the database. */
  get monitor(): GroupMonitor | null {
    return this.#engine === null ? null : this.#monitor;
  }

  /** True when {@link tick} has something to do. */
  get isActive(): boolean {
    return this.#engine !== null || this.ports.rank() !== null;
  }

  /** Bytes sent to and received from members for control. */
  get controlTraffic(): number {
    return this.#closedTraffic + (this.#monitor?.controlTraffic ?? 0);
  }

  /** Looks after the database; to be called every {@link CONTROL_TICK_MS}. */
  tick(): void {
    if (this.#isStopped || this.#isAcquiring) return;
    if (this.#engine !== null) this.#checkLease();
    else if (this.#shouldAcquire(performance.now())) void this.#acquire();
  }

  /** Drains and gives the database up; returns how many requests and transactions were cut. */
  async stop(drainTimeoutMs: number): Promise<number> {
    this.#isStopped = true;
    const cut = this.#engine === null ? 0 : await this.#engine.drain(drainTimeoutMs);
    this.#release('stopped');
    return cut;
  }

  #checkLease(): void {
    if (this.#monitor?.isLeaseHeld() !== true) {
      this.#release('lease_lost');
      this.#postpone(this.options.rankDelayMs);
      return;
    }
    if (this.#primarySeenMs + this.options.yieldAfterMs > this.#lookForPrimary()) return;
    this.#release('primary_unreachable');
    this.#postpone(this.options.yieldAfterMs * YIELD_PAUSE_FACTOR);
  }

  /** Notes when a primary that can be used was last seen; returns the time now. */
  #lookForPrimary(): number {
    const nowMs = performance.now();
    if (this.#monitor?.describe().primary?.isLocked === true) this.#primarySeenMs = nowMs;
    return nowMs;
  }

  #shouldAcquire(nowMs: number): boolean {
    const rank = this.ports.rank();
    if (rank === null || nowMs < this.#notBeforeMs) return false;
    if (this.ports.isOwnedElsewhere()) {
      this.#unownedSinceMs = null;
      return false;
    }
    this.#unownedSinceMs ??= nowMs;
    return nowMs - this.#unownedSinceMs >= rank * this.options.rankDelayMs;
  }

  async #acquire(): Promise<void> {
    this.#isAcquiring = true;
    try {
      await this.#tryToAcquire();
    } finally {
      this.#isAcquiring = false;
    }
  }

  async #tryToAcquire(): Promise<void> {
    const monitor = new GroupMonitor(this.options.database, this.options.monitor);
    this.#monitor = monitor;
    monitor.start();
    const deadlineMs = performance.now() + this.options.acquireTimeoutMs;
    let floor = monitor.readFloor();
    while (floor === null && performance.now() < deadlineMs && !this.#isStopped) {
      await monitor.waitForChange(LOCK_POLL_MS);
      floor = monitor.readFloor();
    }
    if (floor === null || this.#isStopped) {
      this.#release('not_acquired');
      this.#postpone(this.options.rankDelayMs);
      return;
    }
    const engine = new DatabaseEngine(this.options.database.name, { ...this.options.engine, monitor });
    engine.positions.raiseFloor(floor);
    this.#engine = engine;
    this.#primarySeenMs = performance.now();
    this.#unownedSinceMs = null;
    this.options.log.info(
      { database: this.options.database.name, floorTerm: floor.term, floorIndex: floor.index },
      'lease_acquired',
    );
    this.ports.ownershipChanged(true);
  }

  #release(reason: 'stopped' | 'lease_lost' | 'primary_unreachable' | 'not_acquired'): void {
    const wasOwner = this.#engine !== null;
    this.#engine?.stop();
    this.#engine = null;
    this.#closedTraffic += this.#monitor?.controlTraffic ?? 0;
    this.#monitor?.stop();
    this.#monitor = null;
    if (!wasOwner) return;
    this.options.log.warn({ database: this.options.database.name, reason }, 'lease_released');
    this.ports.ownershipChanged(false);
  }

  /** Leaves the database to other daemons for a while. */
  #postpone(durationMs: number): void {
    this.#notBeforeMs = performance.now() + durationMs * (0.5 + this.options.random());
  }
}
