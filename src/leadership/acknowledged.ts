/**
 * What is known of the commits that daemons have acknowledged to clients. Pure.
 *
 * @packageDocumentation
 */
import { laterPosition, type Position } from '../position/position.js';

/** What one daemon, or several, have acknowledged. */
export interface Acknowledged {
  /** The latest commit that is known to have been acknowledged. */
  readonly latest: Position;
  /** None after this one has been acknowledged; `null` when that is not known. */
  readonly limit: Position | null;
}

/** What several have acknowledged together. */
export function joinAcknowledged(parts: readonly Acknowledged[]): Acknowledged {
  return parts.reduce((all, part) => ({
    latest: laterPosition(all.latest, part.latest),
    limit: all.limit === null || part.limit === null ? null : laterPosition(all.limit, part.limit),
  }));
}
