/**
 * Remembers, for one database, the position of each session's last acknowledged write. Pure.
 *
 * @packageDocumentation
 */
import {
  comparePositions,
  hasReached,
  laterPosition,
  ZERO_POSITION,
  type Position,
} from '../position/position.js';

/**
 * Last write of each session, above a floor that holds for all.
 *
 * The floor covers what this daemon cannot know: writes acknowledged by an earlier owner of the database, and
 * entries dropped for want of room. Raising the floor is always safe; it only sends more reads to the primary
 * until replicas have caught up.
 *
 * @public
 */
export class SessionPositions {
  readonly #positions = new Map<string, Position>();
  #floor: Position = ZERO_POSITION;

  /** @param maxSessions - entries kept before the oldest is folded into the floor */
  constructor(private readonly maxSessions: number) {}

  /** Position below which nothing is known session by session. */
  get floor(): Position {
    return this.#floor;
  }

  /** Number of sessions with an entry of their own. */
  get size(): number {
    return this.#positions.size;
  }

  /** Raises the floor. */
  raiseFloor(position: Position): void {
    this.#floor = laterPosition(this.#floor, position);
  }

  /** Records an acknowledged write. */
  recordWrite(session: string, position: Position): void {
    const known = this.#positions.get(session) ?? ZERO_POSITION;
    this.#positions.delete(session);
    this.#positions.set(session, laterPosition(known, position));
    if (this.#positions.size > this.maxSessions) this.#dropOldest();
  }

  /** Position that a member must have reached to serve the session's next read. */
  required(session: string): Position {
    return laterPosition(this.#floor, this.#positions.get(session) ?? ZERO_POSITION);
  }

  /** Forgets entries that every member has applied: any member will do for them. */
  forgetApplied(appliedEverywhere: Position): void {
    for (const [session, position] of this.#positions) {
      if (hasReached(appliedEverywhere, position)) this.#positions.delete(session);
    }
  }

  #dropOldest(): void {
    const oldest = this.#positions.entries().next().value;
    if (oldest === undefined) return;
    this.#positions.delete(oldest[0]);
    if (comparePositions(oldest[1], this.#floor) > 0) this.#floor = oldest[1];
  }
}
