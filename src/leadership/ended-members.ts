/**
 * Members that have ended, with the position of the log after their end was detected: their limit.
 *
 * A member that has ended cannot report what it has received, and a commit may have been acknowledged because
 * this member alone received it. Any such commit is at or before the position that the leader reports
 * afterwards. A replica that has reached this position holds it too, and so does a new member at the same
 * address, which takes over the log. A member that only refuses connections may still receive commits, so it has
 * no limit.
 *
 * @packageDocumentation
 */
import { hasReached, type Position } from '../position/position.js';
import type { Member, MemberEntry } from '../topology/member-group.js';

/** A member that was paused for a promotion, with its position. */
export interface PausedMember {
  readonly entry: MemberEntry;
  readonly received: Position;
}

/** The ended members of a group that one supervisor knows of. */
export class EndedMembers {
  readonly #limits = new Map<Member, Position>();

  /** True when the limit of an ended member is known. */
  hasLimit(member: Member): boolean {
    return this.#limits.has(member);
  }

  /** Records the position that the proven leader reported when it was asked after the member had ended. */
  record(member: Member, position: Position): void {
    this.#limits.set(member, position);
  }

  /** Drops all members except these. */
  retain(members: Iterable<Member>): void {
    const kept = new Set(members);
    for (const member of this.#limits.keys()) if (!kept.has(member)) this.#limits.delete(member);
  }

  /** Returns those members among `unanswering` that may have received more than every paused one. */
  uncovered(unanswering: readonly Member[], paused: readonly PausedMember[]): readonly Member[] {
    return unanswering.filter((ended) => !paused.some((member) => this.#covers(member, ended)));
  }

  #covers({ entry, received }: PausedMember, ended: Member): boolean {
    const isSuccessor = entry.host === ended.entry.host && entry.port === ended.entry.port;
    // The next incarnation of the same member does not take over the log of the earlier one.
    if (isSuccessor && entry.memberId !== ended.entry.memberId) return true;
    const limit = this.#limits.get(ended);
    return limit !== undefined && hasReached(received, limit);
  }
}
