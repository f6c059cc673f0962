/**
 * Points in the history of the store. Pure.
 *
 * A store that comes back from a copy gives its revisions out again: the same number may stand for another state. So a revision is
 * never compared by its number alone.
 *
 * @packageDocumentation
 */

/** A point in the history of the store. */
export interface Revision {
  /** See `StoreEra`. */
  readonly era: number;
  /** Counts the changes of an era, and those of earlier ones that were in the copy. */
  readonly number: number;
}

/** Before everything that a store tells; also that of an absent key. */
export const NO_REVISION: Revision = { era: 0, number: 0 };

/** Below 0 if `left` comes before `right`, above 0 if it comes after it. */
export function compareRevisions(left: Revision, right: Revision): number {
  return left.era - right.era || left.number - right.number;
}

/** True if `left` comes after `right`. */
export function isLater(left: Revision, right: Revision): boolean {
  return compareRevisions(left, right) > 0;
}

/** True if both are the same point. */
export function isSameRevision(left: Revision, right: Revision): boolean {
  return compareRevisions(left, right) === 0;
}

/** The later one of two. */
export function laterOf(left: Revision, right: Revision): Revision {
  return isLater(right, left) ? right : left;
}

/** As a log shows it. */
export function formatRevision({ era, number }: Revision): string {
  return `${era}.${number}`;
}
