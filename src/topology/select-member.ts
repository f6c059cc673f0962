/**
 * Chooses the member for a read. Pure.
 *
 * @packageDocumentation
 */
import type { ReadFloor } from '../leadership/position-history.js';
import { preferredReplica } from '../placement/tenant-affinity.js';

/** Properties of a member that the choice depends on. */
export interface ReadCandidate {
  readonly memberId: string;
  readonly isLeader: boolean;
  readonly isInZone: boolean;
  /** Requests of this daemon that the member is working on or that wait for it. */
  readonly load: number;
  readonly slots: number;
  /** Smoothed response time, in milliseconds; 0 before the first answer. */
  readonly latencyMs: number;
  /** Smoothed share of executed requests that failed, 0 to 1. */
  readonly failureShare: number;
  readonly isLeaving: boolean;
  readonly isAvoided: boolean;
  /** True if it is not expected to hold the floor of this read yet. */
  readonly isBehind: boolean;
}

/** What a read requires of a member. */
export interface ReadRequirements {
  /** Minimum log position of a replica; `null` when only the leader can serve the read. */
  readonly floor: ReadFloor | null;
  /** Ids of members that have refused this read. */
  readonly excluded: ReadonlySet<string>;
}

/** Cost of a member in another zone, as an equivalent wait in milliseconds. */
const OTHER_ZONE_COST_MS = 30;

/** Cost of the leader, which also executes the writes, as an equivalent wait in milliseconds. */
const LEADER_COST_MS = 6;

/**
 * Cost of a request that fails and has to be retried on another member, as an equivalent wait in
 * milliseconds.
 */
const FAILURE_COST_MS = 400;

/** How far the failure share of an alternative may exceed that of the best candidate. */
const MAX_EXCESS_FAILURE_SHARE = 0.1;

/**
 * Failure share up to which a member is preferred for a tenant; one recent failure makes it 0.1.
 */
const MAX_UNIMPAIRED_FAILURE_SHARE = 0.05;

/** Assumed response time before the first measurement, in milliseconds. */
const DEFAULT_LATENCY_MS = 15;

/** A candidate that can serve the read, with its expected cost. */
interface RatedCandidate {
  readonly candidate: ReadCandidate;
  readonly memberId: string;
  readonly isLeader: boolean;
  readonly isImpaired: boolean;
  readonly costMs: number;
  readonly distanceCostMs: number;
}

/**
 * The candidate with the lowest expected cost, or `null` when none can serve.
 *
 * @param tenantName - the tenant whose preferred replica is chosen if it costs little more; `null` for none
 */
export function selectReadMember(
  candidates: readonly ReadCandidate[],
  requirements: ReadRequirements,
  tenantName: string | null = null,
): ReadCandidate | null {
  const rated: RatedCandidate[] = [];
  let best: RatedCandidate | null = null;
  for (const candidate of candidates) {
    if (!canServe(candidate, requirements)) continue;
    const current = rate(candidate);
    rated.push(current);
    if (best === null || current.costMs < best.costMs) best = current;
  }
  if (best === null || tenantName === null) return best?.candidate ?? null;
  return (preferredReplica(tenantName, best, rated) ?? best).candidate;
}

/**
 * Candidates other than the best one at which the read may also wait for a connection; the first that has one
 * available serves it. Excludes members to be avoided and those with a clearly higher failure share.
 */
export function alternativeCandidates(
  best: ReadCandidate,
  candidates: readonly ReadCandidate[],
  requirements: ReadRequirements,
): readonly ReadCandidate[] {
  return candidates.filter(
    (candidate) =>
      candidate !== best &&
      !candidate.isAvoided &&
      candidate.failureShare <= best.failureShare + MAX_EXCESS_FAILURE_SHARE &&
      canServe(candidate, requirements),
  );
}

function canServe(candidate: ReadCandidate, requirements: ReadRequirements): boolean {
  if (requirements.excluded.has(candidate.memberId)) return false;
  if (candidate.isLeaving && !candidate.isLeader) return false;
  return candidate.isLeader || (requirements.floor !== null && !candidate.isBehind);
}

function rate(candidate: ReadCandidate): RatedCandidate {
  return {
    candidate,
    memberId: candidate.memberId,
    isLeader: candidate.isLeader,
    isImpaired: candidate.isAvoided || candidate.failureShare > MAX_UNIMPAIRED_FAILURE_SHARE,
    costMs: expectedCostMs(candidate),
    distanceCostMs: candidate.isInZone ? 0 : OTHER_ZONE_COST_MS,
  };
}

function expectedCostMs(candidate: ReadCandidate): number {
  const latencyMs = candidate.latencyMs === 0 ? DEFAULT_LATENCY_MS : candidate.latencyMs;
  const queue = (candidate.load + 1) / Math.max(1, candidate.slots);
  let cost = latencyMs * (1 + queue);
  if (!candidate.isInZone) cost += OTHER_ZONE_COST_MS;
  if (candidate.isLeader) cost += LEADER_COST_MS;
  cost += candidate.failureShare * FAILURE_COST_MS;
  if (candidate.isAvoided) cost += 10_000;
  return cost;
}
