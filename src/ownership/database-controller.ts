/**
 * Decides when this daemon acquires the lease of a database, and releases the database when the lease is
 * lost, no usable primary is found for too long, or the daemon stops.
 *
 * @packageDocumentation
 */
import type { DatabaseConfiguration } from '../configuration/configuration.js';
import { DatabaseEngine, type DatabaseEngineOptions } from '../engine/database-engine.js';
import { GroupMonitor, type GroupMonitorOptions } from '../group/group-monitor.js';
import type { Logger } from '../observability/logger.js';

/** Queries and notifications from a controller to its daemon. */
export interface DatabaseControllerPorts {
  /** Returns the zero-based rank of this daemon among the candidates; `null` when it is not a candidate. */
  rank(): number | null;
  /** True when another daemon that is considered alive reports that it owns the database. */
  isOwnedElsewhere(): boolean;
  /** Called after the lease was acquired or released. */
  ownershipChanged(isOwner: boolean): void;
}

/** Settings of a controller; times in milliseconds. */
export interface DatabaseControllerOptions {
  readonly database: DatabaseConfiguration;
  readonly monitor: GroupMonitorOptions;
  readonly engine: Omit<DatabaseEngineOptions, 'monitor'>;
  readonly log: Logger;
  /** Time within which the locks on a majority of members must be acquired. */
  readonly acquireTimeoutMs: number;
  /**
   * Delay per rank before an attempt to acquire the lease, so that the preferred candidates try first.
   */
  readonly rankDelayMs: number;
  /** Time without a reachable primary after which the owner releases the database to another daemon. */
  readonly yieldAfterMs: number;
  readonly random: () => number;
}

/**
 * Back-off of an owner that released the database because it could not reach a primary, as a multiple of the
 * time it had waited for one.
 */
const YIELD_BACKOFF_FACTOR = 2;
/** Interval between ticks of a controller, in milliseconds. */
export const CONTROL_TICK_INTERVAL_MS = 50;
const LOCK_POLL_INTERVAL_MS = 10;

/** Controls this daemon's ownership of one database. */
export class DatabaseController {
  #engine: DatabaseEngine | null = null;
  #monitor: GroupMonitor | null = null;
  #isStopped = false;
  #isAcquiring = false;
  #closedMonitorTrafficBytes = 0;
  #unownedSinceMs: number | null = null;
  #acquireNotBeforeMs = 0;
  #primaryLastUsableAtMs = 0;

  constructor(
    private readonly options: DatabaseControllerOptions,
    private readonly ports: DatabaseControllerPorts,
  ) {}

  get database(): DatabaseConfiguration {
    return this.options.database;
  }

  /** The engine, while this daemon owns the database. */
  get engine(): DatabaseEngine | null {
    return this.#engine;
  }

  /** The owner's monitor of the group, or `null` when this daemon does not own the database. */
  get monitor(): GroupMonitor | null {
    return this.#engine === null ? null : this.#monitor;
  }

  /**
   * True when this daemon owns the database or is a candidate for it, so that {@link tick} must be called.
   */
  get isActive(): boolean {
    return this.#engine !== null || this.ports.rank() !== null;
  }

  /** Number of bytes sent and received on control connections to members. */
  get controlTrafficBytes(): number {
    return this.#closedMonitorTrafficBytes + (this.#monitor?.controlTrafficBytes ?? 0);
  }

  /** Checks the lease, or tries to acquire it when due; to be called every {@link CONTROL_TICK_INTERVAL_MS}. */
  tick(): void {
    if (this.#isStopped || this.#isAcquiring) return;
    if (this.#engine !== null) this.#checkLease();
    else if (this.#shouldAcquire(performance.now())) void this.#acquire();
  }

  /**
   * Drains and releases the database; returns how many client streams were still busy and were interrupted.
   */
  async stop(drainTimeoutMs: number): Promise<number> {
    this.#isStopped = true;
    const cut = this.#engine === null ? 0 : await this.#engine.drain(drainTimeoutMs);
    this.#release('stopped');
    return cut;
  }

  #checkLease(): void {
    if (this.#monitor?.isLeaseHeld() !== true) {
      this.#release('lease_lost');
      this.#backOff(this.options.rankDelayMs);
      return;
    }
    if (this.#primaryLastUsableAtMs + this.options.yieldAfterMs > this.#recordUsablePrimary()) return;
    this.#release('primary_unreachable');
    this.#backOff(this.options.yieldAfterMs * YIELD_BACKOFF_FACTOR);
  }

  /** Updates the time at which the primary was last usable; returns the current time. */
  #recordUsablePrimary(): number {
    const nowMs = performance.now();
    if (this.#monitor?.describe().primary?.isLocked === true) this.#primaryLastUsableAtMs = nowMs;
    return nowMs;
  }

  #shouldAcquire(nowMs: number): boolean {
    const rank = this.ports.rank();
    if (rank === null || nowMs < this.#acquireNotBeforeMs) return false;
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
      await monitor.waitForChange(LOCK_POLL_INTERVAL_MS);
      floor = monitor.readFloor();
    }
    if (floor === null || this.#isStopped) {
      this.#release('not_acquired');
      this.#backOff(this.options.rankDelayMs);
      return;
    }
    const engine = new DatabaseEngine(this.options.database.name, { ...this.options.engine, monitor });
    engine.positions.raiseFloor(floor);
    this.#engine = engine;
    this.#primaryLastUsableAtMs = performance.now();
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
    this.#closedMonitorTrafficBytes += this.#monitor?.controlTrafficBytes ?? 0;
    this.#monitor?.stop();
    this.#monitor = null;
    if (!wasOwner) return;
    this.options.log.warn({ database: this.options.database.name, reason }, 'lease_released');
    this.ports.ownershipChanged(false);
  }

  /** Defers the next attempt to acquire the lease by 0.5 to 1.5 times `durationMs`. */
  #backOff(durationMs: number): void {
    this.#acquireNotBeforeMs = performance.now() + durationMs * (0.5 + this.options.random());
  }
}
