/**
 * The lease of a database's owner: a lock on a majority of the group's members, each of which ends the lock
 * when it has not heard from the owner for the lease time. Pure.
 *
 * @packageDocumentation
 */
import { majorityOf } from '../group/group-description.js';

/** Length of a lease and the part of it that is not used, against clocks that run at different rates. */
export interface LeaseTimes {
  /** Time after which a member ends a silent owner's lock, in milliseconds. */
  readonly leaseMs: number;
  /** Part of the lease that the owner does not use, in milliseconds. */
  readonly marginMs: number;
}

/**
 * Locks held on members, each good until the lease time after the last question that was answered was SENT.
 *
 * The member counts from the arrival of that question, which is later, so the owner always stops first, also
 * after a pause: every check reads the clock anew.
 *
 * @public
 */
export class QuorumLease {
  readonly #renewedAtMs = new Map<string, number>();

  constructor(
    private readonly memberCount: number,
    private readonly times: LeaseTimes,
  ) {}

  /** Records a lock just taken or renewed by a question sent at `sentAtMs` (monotonic, milliseconds). */
  renew(memberId: string, sentAtMs: number): void {
    this.#renewedAtMs.set(memberId, sentAtMs);
  }

  /** Records the loss of a lock. */
  drop(memberId: string): void {
    this.#renewedAtMs.delete(memberId);
  }

  /** True while the lock on one member is certainly held. */
  holdsMember(memberId: string, nowMs: number): boolean {
    const renewedAtMs = this.#renewedAtMs.get(memberId);
    return renewedAtMs !== undefined && nowMs < renewedAtMs + this.times.leaseMs - this.times.marginMs;
  }

  /** True while a majority of locks is certainly held. */
  isHeld(nowMs: number): boolean {
    let held = 0;
    for (const memberId of this.#renewedAtMs.keys()) if (this.holdsMember(memberId, nowMs)) held += 1;
    return held >= majorityOf(this.memberCount);
  }
}
