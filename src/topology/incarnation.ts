/**
 * An incarnation of a member: one run of its process, from start to exit. What one incarnation has reported
 * or received must not be attributed to the next, although both have the same member id. Pure.
 *
 * @packageDocumentation
 */

/** An incarnation of a member, distinguished from others with the same id by its start time. */
export interface Incarnation {
  readonly memberId: string;
  /**
   * Start time of its process, in milliseconds of the Unix epoch by its own clock; `null` if it is not
   * reported.
   */
  readonly bornMs: number | null;
}

/**
 * Whether a reported incarnation is the same as the known one of that member id, or was started later or
 * earlier.
 */
export type IncarnationOrder = 'same' | 'younger' | 'older';

/** Formats an incarnation for logs and map keys: the member id, and the start time if it is known. */
export function formatIncarnation({ memberId, bornMs }: Incarnation): string {
  return bornMs === null ? memberId : `${memberId}@${bornMs}`;
}

/** Compares two incarnations of one member id. One without a start time counts as the same as the other. */
export function compareIncarnations(known: Incarnation, reported: Incarnation): IncarnationOrder {
  if (known.bornMs === null || reported.bornMs === null || known.bornMs === reported.bornMs) return 'same';
  return reported.bornMs > known.bornMs ? 'younger' : 'older';
}
