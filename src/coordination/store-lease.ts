/**
 * A lease of this daemon in the store, and until when it may be relied on by this daemon's own clock.
 *
 * @packageDocumentation
 */
import type { CoordinationStore } from './coordination-store.js';

/** Length and margins of a lease, in milliseconds. */
export interface LeaseTimes {
  readonly lengthMs: number;
  /** The holder stops relying on it this long before the store may end it. */
  readonly safetyMs: number;
  readonly renewalMs: number;
}

/** One lease. Its methods reject with StoreError when the store does not answer. */
export class StoreLease {
  /** Its number, 0 while there is none. */
  id = 0;
  /** The store's era in which it was granted: it is gone with the end of that. */
  #era = 0;
  #untilMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly store: CoordinationStore,
    readonly times: LeaseTimes,
    private readonly now: () => number,
  ) {}

  /** True while there is one that the store may still know. */
  get isHeld(): boolean {
    return this.id !== 0 && this.#era === this.store.era.current;
  }

  /** Until when it certainly runs, in monotonic milliseconds. */
  get untilMs(): number {
    return this.isHeld ? this.#untilMs : Number.NEGATIVE_INFINITY;
  }

  /** Until when what was seen of the store at `seenAtMs` may be relied on. */
  trustedUntilMs(seenAtMs: number): number {
    return seenAtMs + this.times.lengthMs - this.times.safetyMs;
  }

  /** Asks for a new lease. */
  async grant(): Promise<void> {
    const sentAtMs = this.now();
    const { leaseId, ttlMs } = await this.store.grantLease(this.times.lengthMs);
    this.id = leaseId;
    this.#era = this.store.era.current;
    this.#untilMs = sentAtMs + Math.min(ttlMs, this.times.lengthMs) - this.times.safetyMs;
  }

  /** Renews it; false when there is none, or it is over. */
  async keep(): Promise<boolean> {
    if (!this.isHeld) return false;
    const sentAtMs = this.now();
    if (!(await this.store.keepLease(this.id))) return false;
    this.#untilMs = this.trustedUntilMs(sentAtMs);
    return true;
  }

  /** Forgets it: it runs out by itself. */
  drop(): void {
    this.id = 0;
    this.#untilMs = Number.NEGATIVE_INFINITY;
  }

  /** Ends it in the store. */
  async end(): Promise<void> {
    const { id, isHeld } = this;
    this.drop();
    if (isHeld) await this.store.endLease(id);
  }
}
