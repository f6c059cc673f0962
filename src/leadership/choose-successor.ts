/**
 * Chooses the member to promote. Pure.
 *
 * @packageDocumentation
 */
import { comparePositions, hasReached, type Position } from '../position/position.js';
import type { Acknowledged } from './acknowledged.js';

/** A member that was paused for the promotion, or demoted, with its status after that. */
export interface SuccessorCandidate {
  readonly memberId: string;
  readonly received: Position;
  readonly isLeaving: boolean;
  /** Since when its incarnation has been known, in monotonic milliseconds. */
  readonly knownSinceMs: number;
}

/** Input of the choice. */
export interface SuccessorInput {
  readonly candidates: readonly SuccessorCandidate[];
  /** Number of members that may hold more but could not be paused. */
  readonly missing: number;
  readonly acknowledged: Acknowledged;
}

/**
 * Returns the member that is proven to hold every acknowledged commit, or `null` when there is no proof for
 * any.
 *
 * With all replicas paused, the one that has received the most holds all: each acknowledged commit was
 * received by one of them, and logs are prefixes of each other. It must still cover every commit that daemons
 * are known to have acknowledged, even if a daemon did not answer: a member that is not listed any more may
 * have received a commit. With replicas missing, it must cover everything that the daemons may have
 * acknowledged.
 */
export function chooseSuccessor(input: SuccessorInput): SuccessorCandidate | null {
  let best: SuccessorCandidate | null = null;
  for (const candidate of input.candidates) {
    if (best === null || isBetter(candidate, best)) best = candidate;
  }
  if (best === null) return null;
  const { latest, limit } = input.acknowledged;
  const required = input.missing > 0 ? limit : latest;
  return required !== null && hasReached(best.received, required) ? best : null;
}

function isBetter(candidate: SuccessorCandidate, best: SuccessorCandidate): boolean {
  const order = comparePositions(candidate.received, best.received);
  if (order !== 0) return order > 0;
  if (best.isLeaving !== candidate.isLeaving) return best.isLeaving;
  // A member that has just started is the most likely to restart, empty, before the platform promotes it, and
  // a call to the platform cannot be withdrawn.
  return candidate.knownSinceMs < best.knownSinceMs;
}
