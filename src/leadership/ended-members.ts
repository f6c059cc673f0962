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
  has(memberId: string): boolean {
    return this.#limits.has(memberId);
  }

  /** The proven leader gave a position when it was asked after the member had refused a connection. */
  record(memberId: string, position: Position): void {
    this.#limits.set(memberId, position);
  }

  /** Forgets all members but these. */
  retain(memberIds: ReadonlyMap<string, unknown>): void {
    for (const memberId of this.#limits.keys()) if (!memberIds.has(memberId)) this.#limits.delete(memberId);
  }

  /** Those of the members that refuse connections which may have received more than every paused one. */
  uncovered(refusing: readonly MemberEntry[], paused: readonly PausedMember[]): readonly MemberEntry[] {
    return refusing.filter((entry) => !paused.some((member) => this.#covers(member, entry)));
  }

  #covers(member: PausedMember, ended: MemberEntry): boolean {
    if (member.entry.host === ended.host && member.entry.port === ended.port) return true;
    const limit = this.#limits.get(ended.memberId);
    return limit !== undefined && hasReached(member.received, limit);
  }
}
