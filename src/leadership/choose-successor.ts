/**
 * Chooses the member to promote. Pure.
 *
 * @packageDocumentation
 */
import { comparePositions, hasReached, type Position } from '../position/position.js';
import type { Acknowledged } from './acknowledged.js';

/** A member that was paused for the promotion, or demoted, with what it then said. */
export interface SuccessorCandidate {
  readonly memberId: string;
  readonly received: Position;
  readonly isLeaving: boolean;
  /** Since when its life has been known, in monotonic milliseconds. */
  readonly knownSinceMs: number;
}

/** What is known at the time of the choice. */
export interface SuccessorQuestion {
  readonly candidates: readonly SuccessorCandidate[];
  /** Members that could hold more but did not answer: replicas that could not be paused. */
  readonly missing: number;
  readonly acknowledged: Acknowledged;
}

/**
 * The member that holds every acknowledged commit, or `null` when that cannot be shown.
 *
 * With all replicas paused, the one that has received the most holds all: each acknowledged commit was received
 * by one of them, and logs are prefixes of each other. What the daemons have acknowledged has to be covered all
 * the same as far as it is known, also when one of them was not heard: a member that nobody lists any more may have
 * received a commit. With some missing, all that daemons may have acknowledged has
 * to be covered.
 */
export function chooseSuccessor(question: SuccessorQuestion): SuccessorCandidate | null {
  let best: SuccessorCandidate | null = null;
  for (const candidate of question.candidates) {
    if (best === null || isBetter(candidate, best)) best = candidate;
  }
  if (best === null) return null;
  const { latest, limit } = question.acknowledged;
  const required = question.missing > 0 ? limit : latest;
  return required !== null && hasReached(best.received, required) ? best : null;
}

function isBetter(candidate: SuccessorCandidate, best: SuccessorCandidate): boolean {
  const order = comparePositions(candidate.received, best.received);
  if (order !== 0) return order > 0;
  if (best.isLeaving !== candidate.isLeaving) return best.isLeaving;
  // One that has just started is the likeliest to start again, empty, before the platform acts: that cannot be taken back.
  return candidate.knownSinceMs < best.knownSinceMs;
}
