/**
 * Decides which members of a group answer much more slowly than the others, or fail more requests. Pure.
 *
 * @packageDocumentation
 */

/** What is known of a member's answers. */
export interface MemberHealth {
  /** Smoothed response time without the distance, in milliseconds; 0 before the first answer. */
  readonly latencyMs: number;
  /** Response time over the last second without the distance, in milliseconds; `null` without an answer. */
  readonly recentMs: number | null;
  /** Smoothed share of failed requests, 0 to 1. */
  readonly failureShare: number;
}

/** Multiple of the group's median response time above which a member is slow. */
const SLOW_FACTOR = 3;
/** Excess over the median up to which no member is slow, in milliseconds: short answers vary by multiples. */
const MIN_SLOW_EXCESS_MS = 20;
/** Members with a known response time that a comparison needs: of two, either may be the unusual one. */
const MIN_COMPARED = 3;
/** Excess of the failure share over the group's median above which a member fails; one failure makes it 0.1. */
const MAX_EXCESS_FAILURE_SHARE = 0.08;

/**
 * For each member, true if it should receive fewer requests.
 *
 * @param typicalMs - the median response time of the group, as of {@link typicalLatencyMs}
 */
export function degradedMembers(
  members: readonly MemberHealth[],
  typicalMs = typicalLatencyMs(members),
): readonly boolean[] {
  const slowAboveMs = slowThresholdMs(typicalMs);
  const failingAbove = median(members.map(({ failureShare }) => failureShare)) + MAX_EXCESS_FAILURE_SHARE;
  return members.map(
    ({ recentMs, failureShare }) =>
      (recentMs !== null && recentMs > slowAboveMs) || (members.length > 1 && failureShare > failingAbove),
  );
}

/** The median response time of a group, in milliseconds; `null` if it is known of too few members. */
export function typicalLatencyMs(members: readonly MemberHealth[]): number | null {
  const known = members.filter(({ latencyMs }) => latencyMs > 0).map(({ latencyMs }) => latencyMs);
  return known.length < MIN_COMPARED ? null : median(known);
}

function slowThresholdMs(typicalMs: number | null): number {
  if (typicalMs === null) return Number.POSITIVE_INFINITY;
  return Math.max(typicalMs * SLOW_FACTOR, typicalMs + MIN_SLOW_EXCESS_MS);
}

/** The median; of an even number of values the lower of the middle ones, 0 of none. */
function median(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
