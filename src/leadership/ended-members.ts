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
import { formatIncarnation, type Incarnation } from '../topology/incarnation.js';
import type { MemberEntry } from '../topology/member-group.js';

/** A member that was paused for a promotion, with what it has received. */
export interface PausedMember {
  readonly entry: MemberEntry;
  readonly received: Position;
}

/** What one supervisor knows of the members of its group that have ended. */
export class EndedMembers {
  readonly #limits = new Map<string, Position>();

  /** True when it is known how far the log had come after the member had ended. */
  has(member: Incarnation): boolean {
    return this.#limits.has(formatIncarnation(member));
  }

  /** The proven leader gave a position when it was asked after the member had refused a connection. */
  record(member: Incarnation, position: Position): void {
    this.#limits.set(formatIncarnation(member), position);
  }

  /** Forgets all lives but these, by incarnation. */
  retain(incarnations: ReadonlyMap<string, unknown>): void {
    for (const key of this.#limits.keys()) if (!incarnations.has(key)) this.#limits.delete(key);
  }

  /** Those of the members that refuse connections which may have received more than every paused one. */
  uncovered(refusing: readonly MemberEntry[], paused: readonly PausedMember[]): readonly MemberEntry[] {
    return refusing.filter((entry) => !paused.some((member) => this.#covers(member, entry)));
  }

  #covers(member: PausedMember, ended: MemberEntry): boolean {
    const isSuccessor = member.entry.host === ended.host && member.entry.port === ended.port;
    // The next life of the same member is given nothing of what the former had.
    if (isSuccessor && member.entry.memberId !== ended.memberId) return true;
    const limit = this.#limits.get(formatIncarnation(ended));
    return limit !== undefined && hasReached(member.received, limit);
  }
}
