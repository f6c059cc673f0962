/**
 * Members that have started again without a word: their positions tell.
 *
 * A member that starts again under its id may hold nothing of what its earlier life had received, and a commit may have been
 * acknowledged on the word of that life alone. It answers all the same, as if nothing were missing. A log that has become shorter,
 * or is empty, gives it away. What was lost is at or before the position that the leader gives afterwards: a replica that has
 * come so far holds it, too.
 *
 * @packageDocumentation
 */
import type { MemberStatus } from '../relay/member-link.js';
import { comparePositions, hasReached, laterPosition, type Position } from '../position/position.js';
import type { Incarnation } from '../topology/incarnation.js';
import type { Member } from '../topology/member-group.js';

/** For how long a life that was lost is counted as missing at most, in milliseconds: as long as one whose entry is gone. */
const COUNTED_MS = 30_000;

/** How far a member had come when it was heard last, and the term that it followed. */
interface Heard {
  readonly received: Position;
  readonly term: number;
}

/** An earlier life of a member of which nobody knows what it had received. */
interface Loss {
  readonly member: Incarnation;
  readonly sinceMs: number;
  /** How far the log had come after it; `null` while the leader has not been asked. */
  limit: Position | null;
}

/** What one supervisor has noticed of lives that were lost. */
export class LostLives {
  readonly #heard = new Map<string, Heard>();
  readonly #losses = new Map<string, Loss>();

  /** A member that does not lead has told its status. */
  heard(member: Member, { received, term }: MemberStatus, nowMs: number): void {
    const { memberId } = member.entry;
    const known = this.#heard.get(memberId);
    this.#heard.set(memberId, { received, term });
    if (isShorter(received, term, known))
      this.#losses.set(memberId, { member: member.entry, sinceMs: nowMs, limit: null });
  }

  /** True while the leader has to be asked how far the log has come. */
  get isLimitOpen(): boolean {
    return [...this.#losses.values()].some(({ limit }) => limit === null);
  }

  /** The proven leader, asked at `askedAtMs`, gave a position: it bounds what was lost before. */
  record(position: Position, askedAtMs: number): void {
    for (const loss of this.#losses.values()) if (loss.sinceMs <= askedAtMs) loss.limit ??= position;
  }

  /**
   * Members whose earlier life may have received more than all that are given with what they have received.
   *
   * @param leaderId - who led: what its earlier life had acknowledged was received by another
   */
  uncovered(received: readonly Position[], leaderId: string | null, nowMs: number): readonly Incarnation[] {
    const furthest = received.reduce<Position | null>(
      (best, position) => (best === null ? position : laterPosition(best, position)),
      null,
    );
    // A group that holds nothing has lost nothing.
    if (furthest === null || isEmpty(furthest)) return [];
    for (const [memberId, { sinceMs, limit }] of this.#losses) {
      const isOver = nowMs - sinceMs >= COUNTED_MS;
      if (isOver || (limit !== null && hasReached(furthest, limit))) this.#losses.delete(memberId);
    }
    const lost = [...this.#losses.values()].map(({ member }) => member);
    return lost.filter(({ memberId }) => memberId !== leaderId);
  }
}

function isEmpty({ index }: Position): boolean {
  return index === 0;
}

/** True when a log has become shorter by anything but a promotion, which takes back what the new leader lacks. */
function isShorter(received: Position, term: number, known: Heard | undefined): boolean {
  if (known === undefined) return isEmpty(received);
  if (comparePositions(received, known.received) >= 0) return false;
  return isEmpty(received) || term <= known.term;
}
