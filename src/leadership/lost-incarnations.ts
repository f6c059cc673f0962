/**
 * Detects members that have restarted without reporting a new start time, by their log positions.
 *
 * A member that restarts under its id may have lost what its earlier incarnation had received, and a commit
 * may have been acknowledged because that incarnation alone had received it. The restarted member answers as
 * if nothing were missing. The loss shows when its log has become shorter or is empty. Everything that was
 * lost is at or before the position that the leader reports afterwards, so a replica that has reached that
 * position holds it, too.
 *
 * @packageDocumentation
 */
import type { MemberStatus } from '../relay/member-link.js';
import { comparePositions, hasReached, laterPosition, type Position } from '../position/position.js';
import type { Incarnation } from '../topology/incarnation.js';
import type { Member } from '../topology/member-group.js';

/**
 * Longest time for which a lost incarnation counts as missing, in milliseconds: as long as a member whose
 * directory entry is gone.
 */
const LOSS_TTL_MS = 30_000;

/** The last known position of a member, and the term that it followed. */
interface LastStatus {
  readonly received: Position;
  readonly term: number;
}

/** An earlier incarnation of a member. What it had received is unknown. */
interface LostIncarnation {
  readonly member: Incarnation;
  readonly sinceMs: number;
  /** A position of the leader after the loss; `null` until the leader has been queried. */
  limit: Position | null;
}

/** The lost incarnations that one supervisor has detected. */
export class LostIncarnations {
  readonly #lastStatus = new Map<string, LastStatus>();
  readonly #losses = new Map<string, LostIncarnation>();

  /** Records the status of a member that does not lead, and detects a loss. */
  recordStatus(member: Member, { received, term }: MemberStatus, nowMs: number): void {
    const { memberId } = member.entry;
    const known = this.#lastStatus.get(memberId);
    this.#lastStatus.set(memberId, { received, term });
    if (hasLostEntries(received, term, known))
      this.#losses.set(memberId, { member: member.entry, sinceMs: nowMs, limit: null });
  }

  /** True while the leader has to be queried for its log position. */
  get needsLeaderPosition(): boolean {
    return [...this.#losses.values()].some(({ limit }) => limit === null);
  }

  /** The proven leader, queried at `askedAtMs`, reported a position. It bounds what was lost before. */
  recordLeaderPosition(position: Position, askedAtMs: number): void {
    for (const loss of this.#losses.values()) if (loss.sinceMs <= askedAtMs) loss.limit ??= position;
  }

  /**
   * Members whose earlier incarnation may have received more than the furthest of the given positions.
   *
   * @param leaderId - the member that led: what its earlier incarnation acknowledged was received by another
   */
  uncovered(received: readonly Position[], leaderId: string | null, nowMs: number): readonly Incarnation[] {
    const furthest = received.reduce<Position | null>(
      (best, position) => (best === null ? position : laterPosition(best, position)),
      null,
    );
    // A group without any entries has lost nothing.
    if (furthest === null || isEmpty(furthest)) return [];
    for (const [memberId, { sinceMs, limit }] of this.#losses) {
      const isExpired = nowMs - sinceMs >= LOSS_TTL_MS;
      if (isExpired || (limit !== null && hasReached(furthest, limit))) this.#losses.delete(memberId);
    }
    const lost = [...this.#losses.values()].map(({ member }) => member);
    return lost.filter(({ memberId }) => memberId !== leaderId);
  }
}

function isEmpty({ index }: Position): boolean {
  return index === 0;
}

/**
 * True when a log has become shorter for another reason than a promotion, which truncates what the new leader
 * lacks.
 */
function hasLostEntries(received: Position, term: number, known: LastStatus | undefined): boolean {
  if (known === undefined) return isEmpty(received);
  if (comparePositions(received, known.received) >= 0) return false;
  return isEmpty(received) || term <= known.term;
}
