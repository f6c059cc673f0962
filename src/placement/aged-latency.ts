/**
 * Lets the response time of a member that is not asked any more lose its weight. Pure.
 *
 * A member that was slow for a while is chosen rarely, so hardly any answer shows that it has recovered. The
 * longer it has not answered, the closer its expected response time moves to that of the other members.
 *
 * @packageDocumentation
 */

/** Time without an answer up to which the measured response time counts fully, in milliseconds. */
const FULL_WEIGHT_MS = 1000;
/** Half-life of its weight after that, in milliseconds. */
const HALF_LIFE_MS = 1000;

/**
 * Weight of a response time, from 1 to 0.
 *
 * @param ageMs - time since the last answer, in milliseconds
 */
export function latencyWeight(ageMs: number): number {
  return 0.5 ** (Math.max(0, ageMs - FULL_WEIGHT_MS) / HALF_LIFE_MS);
}

/** The response time to expect, in milliseconds: at most the measured one. */
export function agedLatencyMs(latencyMs: number, typicalMs: number, ageMs: number): number {
  if (latencyMs <= typicalMs) return latencyMs;
  return typicalMs + (latencyMs - typicalMs) * latencyWeight(ageMs);
}
