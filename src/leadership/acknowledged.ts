/**
 * Bounds of the commits that daemons have acknowledged to clients. Pure.
 *
 * @packageDocumentation
 */
import { laterPosition, type Position } from '../position/position.js';

/** Bounds of what one or more daemons have acknowledged. */
export interface Acknowledged {
  /** Lower bound: the latest commit known to have been acknowledged. */
  readonly latest: Position;
  /** Upper bound: no later commit has been acknowledged; `null` if unknown. */
  readonly limit: Position | null;
}

/** Combines the bounds of several daemons. */
export function joinAcknowledged(parts: readonly Acknowledged[]): Acknowledged {
  return parts.reduce((all, part) => ({
    latest: laterPosition(all.latest, part.latest),
    limit: all.limit === null || part.limit === null ? null : laterPosition(all.limit, part.limit),
  }));
}
