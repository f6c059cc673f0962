/**
 * Members that have ended, and how far the log had come when that was found out.
 *
 * A member that refuses connections does not say what it has received, and a commit may have been acknowledged on its
 * word alone. All of that is at or before the position that the leader gives afterwards. A replica that has come so far
 * holds it, too; and so does a new member at the same address, which is given the log.
 *
 * @packageDocumentation
 */
import { hasReached, type Position } from '../position/position.js';
import type { Member, MemberEntry } from '../topology/member-group.js';

/** A member that was paused for a promotion, with what it has received. */
export interface PausedMember {
  readonly entry: MemberEntry;
  readonly received: Position;
}

/** What one supervisor knows of the lives of its group that have ended. */
export class EndedMembers {
  readonly #limits = new Map<Member, Position>();

  /** True when it is known how far the log had come after the member had ended. */
  has(member: Member): boolean {
    return this.#limits.has(member);
  }

  /** The proven leader gave a position when it was asked after the member had refused a connection. */
  record(member: Member, position: Position): void {
    this.#limits.set(member, position);
  }

  /** Forgets all members but these. */
  retain(members: Iterable<Member>): void {
    const kept = new Set(members);
    for (const member of this.#limits.keys()) if (!kept.has(member)) this.#limits.delete(member);
  }

  /** Those of the members that refuse connections which may have received more than every paused one. */
  uncovered(refusing: readonly Member[], paused: readonly PausedMember[]): readonly Member[] {
    return refusing.filter((ended) => !paused.some((member) => this.#covers(member, ended)));
  }

  #covers({ entry, received }: PausedMember, ended: Member): boolean {
    const isSuccessor = entry.host === ended.entry.host && entry.port === ended.entry.port;
    // The next life of the same member is given nothing of what the former had.
    if (isSuccessor && entry.memberId !== ended.entry.memberId) return true;
    const limit = this.#limits.get(ended);
    return limit !== undefined && hasReached(received, limit);
  }
}
