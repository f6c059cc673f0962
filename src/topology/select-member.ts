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
  /** Cost of its distance, as an equivalent wait in milliseconds; 0 in the daemon's own zone. */
  readonly distanceCostMs: number;
  /** Requests that the member is working on or that wait for it: those of this daemon, and as reported. */
  readonly load: number;
  /** True if the load includes what a gateway has reported. */
  readonly isLoadReported: boolean;
  readonly slots: number;
  /** Smoothed response time, in milliseconds; 0 before the first answer. */
  readonly latencyMs: number;
  /** Smoothed share of executed requests that failed, 0 to 1. */
  readonly failureShare: number;
  readonly isLeaving: boolean;
  readonly isAvoided: boolean;
  /** True if this read should go to another member, since this one is slow, fails requests or recovers. */
  readonly isWithheld: boolean;
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

/** Cost of the leader, which also executes the writes, as an equivalent wait in milliseconds. */
const LEADER_COST_MS = 6;

/**
 * Cost of a request that fails and has to be retried on another member, as an equivalent wait in
 * milliseconds.
 */
const FAILURE_COST_MS = 400;

/** Cost that lets a member be chosen only if there is no other, as an equivalent wait in milliseconds. */
const AVOIDED_COST_MS = 10_000;
/** The same for a member from which the read is withheld: it is preferred to one that does not answer. */
const WITHHELD_COST_MS = 5000;

/**
 * Excess over the lowest cost up to which members are chosen at random, as a share of that cost. The costs are
 * estimates, and daemons that hear the same reports would otherwise all choose the same member.
 */
const EQUAL_COST_EXCESS = 0.1;

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

/** What decides between candidates of nearly equal cost. */
export interface ReadPreferences {
  /** The tenant whose preferred replica is chosen if it costs little more; `null` for none. */
  readonly tenantName: string | null;
  /** A number from 0 up to 1. */
  random(): number;
}

const NO_PREFERENCES: ReadPreferences = { tenantName: null, random: () => 0 };

/**
 * The candidate with the lowest expected cost, or `null` when none can serve. Where gateways have reported loads,
 * it is one of those with nearly the lowest cost.
 */
export function selectReadMember(
  candidates: readonly ReadCandidate[],
  requirements: ReadRequirements,
  { tenantName, random }: ReadPreferences = NO_PREFERENCES,
): ReadCandidate | null {
  const rated: RatedCandidate[] = [];
  let best: RatedCandidate | null = null;
  for (const candidate of candidates) {
    if (!canServe(candidate, requirements)) continue;
    const current = rate(candidate);
    rated.push(current);
    if (best === null || current.costMs < best.costMs) best = current;
  }
  if (best === null) return null;
  const preferred = tenantName === null ? null : preferredReplica(tenantName, best, rated);
  return (preferred ?? oneOfBest(best, rated, random)).candidate;
}

function oneOfBest(
  best: RatedCandidate,
  rated: readonly RatedCandidate[],
  random: () => number,
): RatedCandidate {
  if (!rated.some(({ candidate }) => candidate.isLoadReported)) return best;
  const limitMs = best.costMs * (1 + EQUAL_COST_EXCESS);
  const nearBest = rated.filter(({ costMs }) => costMs <= limitMs);
  return nearBest[Math.floor(random() * nearBest.length)] ?? best;
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
      (!candidate.isWithheld || best.isWithheld) &&
      candidate.failureShare <= best.failureShare + MAX_EXCESS_FAILURE_SHARE &&
      canServe(candidate, requirements),
  );
}

/** True if more than one of the candidates can serve the read. */
export function hasChoice(candidates: readonly ReadCandidate[], requirements: ReadRequirements): boolean {
  return candidates.filter((candidate) => canServe(candidate, requirements)).length > 1;
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
    isImpaired:
      candidate.isAvoided || candidate.isWithheld || candidate.failureShare > MAX_UNIMPAIRED_FAILURE_SHARE,
    costMs: expectedCostMs(candidate),
    distanceCostMs: candidate.distanceCostMs,
  };
}

function expectedCostMs(candidate: ReadCandidate): number {
  const latencyMs = candidate.latencyMs === 0 ? DEFAULT_LATENCY_MS : candidate.latencyMs;
  const queue = (candidate.load + 1) / Math.max(1, candidate.slots);
  let cost = latencyMs * (1 + queue);
  cost += candidate.distanceCostMs;
  if (candidate.isLeader) cost += LEADER_COST_MS;
  cost += candidate.failureShare * FAILURE_COST_MS;
  if (candidate.isAvoided) cost += AVOIDED_COST_MS;
  if (candidate.isWithheld) cost += WITHHELD_COST_MS;
  return cost;
}
