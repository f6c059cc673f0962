/**
 * Cost of a member in another zone. Pure.
 *
 * @packageDocumentation
 */

/** Cost while no round trip to the zone has been measured, as an equivalent wait in milliseconds. */
export const UNMEASURED_DISTANCE_COST_MS = 30;

/**
 * Lower bound of the cost, as an equivalent wait in milliseconds. Bytes between zones cost money, so a member
 * next to the own zone is not taken for one in it.
 */
export const MIN_DISTANCE_COST_MS = 6;

/** Round trips that a request to another zone may take: its own and that of a retry. */
const ROUND_TRIPS = 2;

/**
 * Cost of a member in another zone, as an equivalent wait in milliseconds.
 *
 * @param roundTripMs - measured round trip between the zones, or `null`
 */
export function distanceCostMs(roundTripMs: number | null): number {
  if (roundTripMs === null) return UNMEASURED_DISTANCE_COST_MS;
  return Math.max(MIN_DISTANCE_COST_MS, ROUND_TRIPS * roundTripMs);
}
