/**
 * Positions in the replicated log of a database group.
 *
 * @packageDocumentation
 */

/**
 * A position in the replicated log of one database group.
 *
 * @public
 */
export interface Position {
  /** Term of the primary that wrote the entry; at least 0. */
  readonly term: number;
  /** Index of the entry in the log; at least 0. */
  readonly index: number;
}

/** The position before the first entry. */
export const ZERO_POSITION: Position = { term: 0, index: 0 };

/** Orders by term, then by index: negative when `left` is earlier, 0 when equal. */
export function comparePositions(left: Position, right: Position): number {
  return left.term !== right.term ? left.term - right.term : left.index - right.index;
}

/** The later of two positions. */
export function laterPosition(left: Position, right: Position): Position {
  return comparePositions(left, right) >= 0 ? left : right;
}

/** Text form of a position, as used in log lines. */
export function formatPosition({ term, index }: Position): string {
  return `${term}.${index}`;
}

/** True when a member at position `reached` has all log entries up to `required`. */
export function hasReached(reached: Position, required: Position): boolean {
  return comparePositions(reached, required) >= 0;
}
