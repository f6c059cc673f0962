/**
 * A lease of this daemon in the store, and the time by the daemon's own clock until which it is certainly
 * valid.
 *
 * @packageDocumentation
 */
import type { CoordinationStore } from './coordination-store.js';

/** Duration, safety margin and renewal interval of a lease. */
export interface LeaseTimes {
  readonly lengthMs: number;
  /** The holder stops relying on the lease this long before the store may expire it. */
  readonly safetyMs: number;
  readonly renewalMs: number;
}

/** One lease. Its methods reject with `StoreError` if the store does not answer. */
export class StoreLease {
  /** Id of the lease, 0 if there is none. */
  id = 0;
  /** Era of the store in which the lease was granted. A restore of the store loses the lease. */
  #era = 0;
  #untilMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly store: CoordinationStore,
    readonly times: LeaseTimes,
    private readonly now: () => number,
  ) {}

  /** True if a lease was granted in the current era; it may have expired. */
  get isHeld(): boolean {
    return this.id !== 0 && this.#era === this.store.era.current;
  }

  /** Time until which the lease is certainly valid, in monotonic milliseconds. */
  get untilMs(): number {
    return this.isHeld ? this.#untilMs : Number.NEGATIVE_INFINITY;
  }

  /** Time until which the state read from the store by a request sent at `sentAtMs` may be relied on. */
  trustedUntilMs(sentAtMs: number): number {
    return sentAtMs + this.times.lengthMs - this.times.safetyMs;
  }

  /** Requests a new lease. */
  async grant(): Promise<void> {
    const sentAtMs = this.now();
    const { leaseId, ttlMs } = await this.store.grantLease(this.times.lengthMs);
    this.id = leaseId;
    this.#era = this.store.era.current;
    this.#untilMs = sentAtMs + Math.min(ttlMs, this.times.lengthMs) - this.times.safetyMs;
  }

  /** Renews the lease; false if there is none or it has expired. */
  async renew(): Promise<boolean> {
    if (!this.isHeld) return false;
    const sentAtMs = this.now();
    if (!(await this.store.renewLease(this.id))) return false;
    this.#untilMs = this.trustedUntilMs(sentAtMs);
    return true;
  }

  /** Discards the lease locally; the store expires it. */
  forget(): void {
    this.id = 0;
    this.#untilMs = Number.NEGATIVE_INFINITY;
  }

  /** Revokes the lease in the store. */
  async revoke(): Promise<void> {
    const { id, isHeld } = this;
    this.forget();
    if (isHeld) await this.store.revokeLease(id);
  }
}
