/**
 * Chooses the member for a read. Pure.
 *
 * @packageDocumentation
 */
import type { ReadFloor } from '../leadership/position-history.js';

/** A member as far as the choice needs it. */
export interface ReadCandidate {
  readonly memberId: string;
  readonly isLeader: boolean;
  readonly isInZone: boolean;
  /** Requests of this daemon at the member or waiting for it. */
  readonly load: number;
  readonly slots: number;
  /** Smoothed time of its answers, in milliseconds. */
  readonly latencyMs: number;
  /** Smoothed share of requests that it ran and failed, 0 to 1. */
  readonly failureShare: number;
  readonly isLeaving: boolean;
  readonly isAvoided: boolean;
  /** It does not hold the floor of this read yet, as far as is known. */
  readonly isBehind: boolean;
}

/** What a read asks for. */
export interface ReadDemand {
  /** What a replica has to hold; `null` when only the leader will do. */
  readonly floor: ReadFloor | null;
  /** Members that have refused this read. */
  readonly excluded: ReadonlySet<string>;
}

/** Cost of another zone, as milliseconds of waiting. */
const OTHER_ZONE_COST_MS = 30;

/** Cost of the leader, which has the writes to do, as milliseconds of waiting. */
const LEADER_COST_MS = 6;

/** Cost of a request that fails and has to be asked elsewhere, as milliseconds of waiting. */
const FAILURE_COST_MS = 400;

/** Share of failed requests beyond that of the best member with which another is no alternative to it. */
const ALTERNATIVE_FAILURE_SHARE = 0.1;

/** Time of one request where nothing has been measured, in milliseconds. */
const DEFAULT_LATENCY_MS = 15;

/** The best candidate, or `null` when none can serve. */
export function selectReadMember(
  candidates: readonly ReadCandidate[],
  demand: ReadDemand,
): ReadCandidate | null {
  let best: ReadCandidate | null = null;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    if (!canServe(candidate, demand)) continue;
    const cost = expectedCostMs(candidate);
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}

/**
 * Other candidates at which a read may wait for a connection beside the best one: whichever has one free first serves it.
 * Not those of which something bad is known.
 */
export function alternatives(
  best: ReadCandidate,
  candidates: readonly ReadCandidate[],
  demand: ReadDemand,
): readonly ReadCandidate[] {
  return candidates.filter(
    (candidate) =>
      candidate !== best &&
      !candidate.isAvoided &&
      candidate.failureShare <= best.failureShare + ALTERNATIVE_FAILURE_SHARE &&
      canServe(candidate, demand),
  );
}

function canServe(candidate: ReadCandidate, demand: ReadDemand): boolean {
  if (demand.excluded.has(candidate.memberId)) return false;
  if (candidate.isLeaving && !candidate.isLeader) return false;
  return candidate.isLeader || (demand.floor !== null && !candidate.isBehind);
}

function expectedCostMs(candidate: ReadCandidate): number {
  const latency = candidate.latencyMs === 0 ? DEFAULT_LATENCY_MS : candidate.latencyMs;
  const queue = (candidate.load + 1) / Math.max(1, candidate.slots);
  let cost = latency * (1 + queue);
  if (!candidate.isInZone) cost += OTHER_ZONE_COST_MS;
  if (candidate.isLeader) cost += LEADER_COST_MS;
  cost += candidate.failureShare * FAILURE_COST_MS;
  if (candidate.isAvoided) cost += 10_000;
  return cost;
}
