/**
 * The daemons that run, as the store has them.
 *
 * Two questions are asked of it, with different answers while the store fails. Who may hold evidence of a leader:
 * every daemon that has registered and has not ended, also one that the store has not heard of for long. Who takes
 * part in the work: those whose lease runs; leases that ran out during an outage of the store mean nothing until its
 * callers have had time to register again.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from './daemon-record.js';

/** Time after an outage of the store in which vanished leases mean nothing, in milliseconds. */
const SETTLE_MS = 3000;
/** Time after which a daemon whose lease is over and that nobody reaches is taken to be gone, in milliseconds. */
const FORGET_MS = 600_000;

/** Records by name. */
type Records = ReadonlyMap<string, DaemonRecord>;

/** Keeps the daemons' records; told of every change. */
export class DaemonDirectory {
  #registered: Records = new Map();
  #leased: ReadonlySet<string> = new Set();
  readonly #live = new Map<string, DaemonRecord>();
  readonly #unleasedSinceMs = new Map<string, number>();
  #trustedFromMs = Number.NEGATIVE_INFINITY;

  /**
   * Takes what the store has.
   *
   * @param registered - all records
   * @param leased - names of the daemons whose lease runs
   * @returns true when a daemon has come, gone or started anew
   */
  update(registered: Records, leased: ReadonlySet<string>, nowMs: number): boolean {
    let hasChanged = false;
    for (const [name, record] of registered) {
      if (this.#registered.get(name)?.life !== record.life) hasChanged = true;
      if (!leased.has(name)) continue;
      if (this.#live.get(name)?.life !== record.life) hasChanged = true;
      this.#live.set(name, record);
    }
    // A record that is gone was taken away: its daemon may run on, and hold evidence.
    this.#registered = new Map([...this.#registered, ...registered]);
    this.#leased = leased;
    for (const name of leased) this.#unleasedSinceMs.delete(name);
    for (const name of this.#registered.keys())
      if (!leased.has(name) && !this.#unleasedSinceMs.has(name)) this.#unleasedSinceMs.set(name, nowMs);
    return this.#dropUnleased(nowMs) || hasChanged;
  }

  /** The store answers again, or has stopped to. */
  availability(isAvailable: boolean, nowMs: number): void {
    this.#trustedFromMs = isAvailable ? nowMs + SETTLE_MS : Number.POSITIVE_INFINITY;
  }

  /** True after an outage of the store, while vanished leases mean nothing here: who has just started counts the leases alone. */
  isSettling(nowMs: number): boolean {
    return Number.isFinite(this.#trustedFromMs) && nowMs < this.#trustedFromMs;
  }

  /** Looks whether leases that ran out during an outage count by now. True when the live daemons have changed. */
  refresh(nowMs: number): boolean {
    return this.#dropUnleased(nowMs);
  }

  /** Daemons that take part in the work. */
  get live(): readonly DaemonRecord[] {
    return [...this.#live.values()];
  }

  /**
   * Daemons that take part in the work or may be about to: also those that the store has a record of, and whose lease has
   * run out or is not there yet. After a loss of power all start at the same time, and know each other by their records only.
   */
  expected(nowMs: number): readonly DaemonRecord[] {
    const expected = new Map(this.known(nowMs).map((record) => [record.name, record]));
    for (const [name, record] of this.#live) expected.set(name, record);
    return [...expected.values()];
  }

  /** The record of a daemon by its name, or `null`. */
  find(name: string): DaemonRecord | null {
    return this.#registered.get(name) ?? null;
  }

  /** Daemons that may run, and may hold evidence of a leader. */
  known(nowMs: number): readonly DaemonRecord[] {
    return [...this.#registered.values()].filter(({ name }) => {
      const since = this.#unleasedSinceMs.get(name);
      return since === undefined || nowMs - since < FORGET_MS;
    });
  }

  #dropUnleased(nowMs: number): boolean {
    if (nowMs < this.#trustedFromMs) return false;
    let hasChanged = false;
    for (const name of [...this.#live.keys()]) {
      if (this.#leased.has(name) && this.#registered.has(name)) continue;
      this.#live.delete(name);
      hasChanged = true;
    }
    return hasChanged;
  }
}
