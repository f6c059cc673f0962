/**
 * Revisions of the store. Pure.
 *
 * A store that was restored from a backup assigns its revision numbers again, so the same number may denote
 * another state. Revisions are therefore compared by era first, never by number alone.
 *
 * @packageDocumentation
 */

/** A revision of the store. */
export interface Revision {
  /** Era of the store, see `StoreEra`. */
  readonly era: number;
  /** Counts the changes of this era, and those of earlier eras that the backup contained. */
  readonly number: number;
}

/** Earlier than any revision of a store; also used for an absent key. */
export const NO_REVISION: Revision = { era: 0, number: 0 };

/** Negative if `left` is earlier than `right`, positive if it is later, 0 if both are equal. */
export function compareRevisions(left: Revision, right: Revision): number {
  return left.era - right.era || left.number - right.number;
}

export function isLater(left: Revision, right: Revision): boolean {
  return compareRevisions(left, right) > 0;
}

export function isSameRevision(left: Revision, right: Revision): boolean {
  return compareRevisions(left, right) === 0;
}

export function laterOf(left: Revision, right: Revision): Revision {
  return isLater(right, left) ? right : left;
}

/** Formats a revision for the log, as `era.number`. */
export function formatRevision({ era, number }: Revision): string {
  return `${era}.${number}`;
}
