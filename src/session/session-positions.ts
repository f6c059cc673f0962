/**
 * Log position of each session's last acknowledged write to one database. Pure.
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
 * Position of the last write of each session, and a floor: a lower bound that applies to all sessions.
 *
 * The floor covers writes without an entry: those acknowledged by an earlier owner of the database, and those
 * whose entries were evicted, or removed because every member had applied them: a member may lose its log
 * later. Raising the floor is always safe; it only sends more reads to the primary until replicas have caught
 * up.
 *
 * @public
 */
export class SessionPositions {
  readonly #positions = new Map<string, Position>();
  #floor: Position = ZERO_POSITION;

  /** @param maxSessions - maximum number of entries; beyond it, the oldest is evicted and raises the floor */
  constructor(private readonly maxSessions: number) {}

  /** Position that every session requires at least. */
  get floor(): Position {
    return this.#floor;
  }

  /** Number of sessions with an entry of their own. */
  get size(): number {
    return this.#positions.size;
  }

  /** Raises the floor to a position; a lower one is ignored. */
  raiseFloor(position: Position): void {
    this.#floor = laterPosition(this.#floor, position);
  }

  /** Records an acknowledged write. */
  recordWrite(session: string, position: Position): void {
    const previous = this.#positions.get(session) ?? ZERO_POSITION;
    this.#positions.delete(session);
    this.#positions.set(session, laterPosition(previous, position));
    if (this.#positions.size > this.maxSessions) this.#evictOldest();
  }

  /** Position that a member must have applied to serve the session's next read. */
  required(session: string): Position {
    return laterPosition(this.#floor, this.#positions.get(session) ?? ZERO_POSITION);
  }

  /** Raises the floor to a position that every member has applied, and removes the entries that it covers. */
  forgetApplied(appliedEverywhere: Position): void {
    this.raiseFloor(appliedEverywhere);
    for (const [session, position] of this.#positions) {
      if (hasReached(appliedEverywhere, position)) this.#positions.delete(session);
    }
  }

  #evictOldest(): void {
    const oldest = this.#positions.entries().next().value;
    if (oldest === undefined) return;
    this.#positions.delete(oldest[0]);
    if (comparePositions(oldest[1], this.#floor) > 0) this.#floor = oldest[1];
  }
}
