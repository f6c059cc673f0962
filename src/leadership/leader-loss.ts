/**
 * Since when the process of a leader has been known not to run.
 *
 * Its log may hold the only copy that is left of a commit, so it is waited for. There is one wait for the group: a member
 * that starts again and again while nobody leads receives nothing that could be acknowledged, and begins no wait of its own.
 *
 * @packageDocumentation
 */
import type { Member } from '../topology/member-group.js';

/** For how long a leader that does not run is waited for, in milliseconds: as long as a member whose entry is gone. */
export const AWAITED_MS = 30_000;

/** The last leader that one supervisor found not to run. */
export class LeaderLoss {
  #last: { readonly member: Member; readonly sinceMs: number } | null = null;

  /** The life refused a connection that was asked for at `nowMs`. */
  refused(member: Member, nowMs: number): void {
    if (this.#last?.member !== member) this.#last = { member, sinceMs: nowMs };
  }

  /** The member answers after all. */
  answered(member: Member): void {
    if (this.#last?.member === member) this.#last = null;
  }

  /** True when the life has been waited for long enough. */
  isOver(member: Member, nowMs: number): boolean {
    return this.#last?.member === member && nowMs - this.#last.sinceMs >= AWAITED_MS;
  }
}
