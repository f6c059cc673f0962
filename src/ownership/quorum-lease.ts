/**
 * The lease of a database's owner: locks on a majority of the group's members. Each member releases its lock
 * when it has received nothing from the owner for the duration of the lease. Pure.
 *
 * @packageDocumentation
 */
import { majorityOf } from '../group/group-description.js';

/** Duration of a lease, and its unused part as a margin for clocks that run at different rates. */
export interface LeaseTimes {
  /** Time without messages from the owner after which a member releases its lock, in milliseconds. */
  readonly leaseMs: number;
  /** Part of the lease that the owner does not use, in milliseconds. */
  readonly marginMs: number;
}

/**
 * Locks held on members. Each is valid for the lease duration, counted from the time at which the last query
 * that the member answered was SENT.
 *
 * The member counts from the arrival of that query, which is later, so the owner always stops using the lock
 * before the member releases it. This also holds after a pause of the process, because every check uses the
 * current time.
 *
 * @public
 */
export class QuorumLease {
  readonly #renewedAtMs = new Map<string, number>();

  constructor(
    private readonly memberCount: number,
    private readonly times: LeaseTimes,
  ) {}

  /** Records a lock that was acquired or renewed by a query sent at `sentAtMs` (monotonic, milliseconds). */
  renew(memberId: string, sentAtMs: number): void {
    this.#renewedAtMs.set(memberId, sentAtMs);
  }

  /** Records the loss of a lock. */
  drop(memberId: string): void {
    this.#renewedAtMs.delete(memberId);
  }

  /** True while the lock on the member is certain to be held. */
  holdsMember(memberId: string, nowMs: number): boolean {
    const renewedAtMs = this.#renewedAtMs.get(memberId);
    return renewedAtMs !== undefined && nowMs < renewedAtMs + this.times.leaseMs - this.times.marginMs;
  }

  /** True while the locks on a majority of members are certain to be held. */
  isHeld(nowMs: number): boolean {
    let held = 0;
    for (const memberId of this.#renewedAtMs.keys()) if (this.holdsMember(memberId, nowMs)) held += 1;
    return held >= majorityOf(this.memberCount);
  }
}
