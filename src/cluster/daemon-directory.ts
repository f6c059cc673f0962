/**
 * The running daemons according to the store.
 *
 * The directory gives two views, which differ while the store is unavailable:
 * - Daemons that may hold leadership evidence: every daemon that has registered and is not known to have
 *   exited, even if the store has not heard from it for long.
 * - Daemons that take part in the work: those with a live lease. Leases that expired during an outage of the
 *   store are ignored until the daemons have had time to register again.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from './daemon-record.js';

/** Time after a store outage during which expired leases are ignored, in milliseconds. */
const LEASE_SETTLE_MS = 3000;
/** Time after the loss of its lease for which a daemon is still assumed to run, in milliseconds. */
const UNLEASED_RETENTION_MS = 600_000;

type RecordsByName = ReadonlyMap<string, DaemonRecord>;

/** Keeps the records of the daemons; `update` has to be called on every change in the store. */
export class DaemonDirectory {
  #registered: RecordsByName = new Map();
  #leased: ReadonlySet<string> = new Set();
  readonly #live = new Map<string, DaemonRecord>();
  readonly #unleasedSinceMs = new Map<string, number>();
  #leasesTrustedFromMs = Number.NEGATIVE_INFINITY;

  /**
   * Applies the current contents of the store.
   *
   * @param registered - all records
   * @param leased - names of the daemons with a live lease
   * @returns true when a daemon has been added, removed or restarted
   */
  update(registered: RecordsByName, leased: ReadonlySet<string>, nowMs: number): boolean {
    let hasChanged = false;
    for (const [name, record] of registered) {
      if (this.#registered.get(name)?.life !== record.life) hasChanged = true;
      if (!leased.has(name)) continue;
      if (this.#live.get(name)?.life !== record.life) hasChanged = true;
      this.#live.set(name, record);
    }
    // A record missing from the store is kept: its daemon may still run and hold evidence.
    this.#registered = new Map([...this.#registered, ...registered]);
    this.#leased = leased;
    for (const name of leased) this.#unleasedSinceMs.delete(name);
    for (const name of this.#registered.keys())
      if (!leased.has(name) && !this.#unleasedSinceMs.has(name)) this.#unleasedSinceMs.set(name, nowMs);
    return this.#dropUnleased(nowMs) || hasChanged;
  }

  /** The store has become available or unavailable. */
  availability(isAvailable: boolean, nowMs: number): void {
    this.#leasesTrustedFromMs = isAvailable ? nowMs + LEASE_SETTLE_MS : Number.POSITIVE_INFINITY;
  }

  /**
   * True after a store outage while this directory ignores expired leases. A daemon that has just started
   * counts live leases only, so its view may differ.
   */
  isSettling(nowMs: number): boolean {
    return Number.isFinite(this.#leasesTrustedFromMs) && nowMs < this.#leasesTrustedFromMs;
  }

  /**
   * Drops daemons whose leases expired during an outage, once the settle time is over. True when the live
   * daemons have changed.
   */
  refresh(nowMs: number): boolean {
    return this.#dropUnleased(nowMs);
  }

  /** Daemons that take part in the work: those with a live lease. */
  get live(): readonly DaemonRecord[] {
    return [...this.#live.values()];
  }

  /**
   * Daemons that take part in the work or may do so soon, including those with a record whose lease has
   * expired or does not exist yet. After a power failure all daemons start at the same time and know each
   * other only by their records.
   */
  expected(nowMs: number): readonly DaemonRecord[] {
    const expected = new Map(this.known(nowMs).map((record) => [record.name, record]));
    for (const [name, record] of this.#live) expected.set(name, record);
    return [...expected.values()];
  }

  find(name: string): DaemonRecord | null {
    return this.#registered.get(name) ?? null;
  }

  /** Daemons that may still run, and hold leadership evidence. */
  known(nowMs: number): readonly DaemonRecord[] {
    return [...this.#registered.values()].filter(({ name }) => {
      const unleasedSinceMs = this.#unleasedSinceMs.get(name);
      return unleasedSinceMs === undefined || nowMs - unleasedSinceMs < UNLEASED_RETENTION_MS;
    });
  }

  /** Daemons that may still run though their lease has expired. */
  unleased(nowMs: number): readonly DaemonRecord[] {
    return this.known(nowMs).filter(({ name }) => !this.#live.has(name));
  }

  #dropUnleased(nowMs: number): boolean {
    if (nowMs < this.#leasesTrustedFromMs) return false;
    let hasChanged = false;
    for (const name of [...this.#live.keys()]) {
      if (this.#leased.has(name) && this.#registered.has(name)) continue;
      this.#live.delete(name);
      hasChanged = true;
    }
    return hasChanged;
  }
}
