/**
 * Chooses the member to promote. Pure.
 *
 * @packageDocumentation
 */
import { comparePositions, hasReached, type Position } from '../position/position.js';

/** A member that was paused for the promotion, or demoted, with what it then said. */
export interface SuccessorCandidate {
  readonly memberId: string;
  readonly received: Position;
  readonly isLeaving: boolean;
}

/** What is known at the time of the choice. */
export interface SuccessorQuestion {
  readonly candidates: readonly SuccessorCandidate[];
  /** Members that could hold more but did not answer: replicas that could not be paused. */
  readonly missing: number;
  readonly acknowledged: Acknowledged;
}

/** What is known of the commits that daemons have acknowledged. */
export interface Acknowledged {
  /** The latest one that some daemon is known to have acknowledged. */
  readonly latest: Position;
  /** False when a daemon may have acknowledged a later one: it was not heard. */
  readonly isWhole: boolean;
}

/**
 * The member that holds every acknowledged commit, or `null` when that cannot be shown.
 *
 * With all replicas paused, the one that has received the most holds all: each acknowledged commit was received
 * by one of them, and logs are prefixes of each other. What the daemons have acknowledged has to be covered all
 * the same as far as it is known, also when one of them was not heard: a member that nobody lists any more may have
 * received a commit. With some missing, it has to be known whole.
 */
export function chooseSuccessor(question: SuccessorQuestion): SuccessorCandidate | null {
  let best: SuccessorCandidate | null = null;
  for (const candidate of question.candidates) {
    if (best === null || isBetter(candidate, best)) best = candidate;
  }
  if (best === null) return null;
  const { latest, isWhole } = question.acknowledged;
  if (question.missing > 0 && !isWhole) return null;
  return hasReached(best.received, latest) ? best : null;
}

function isBetter(candidate: SuccessorCandidate, best: SuccessorCandidate): boolean {
  const order = comparePositions(candidate.received, best.received);
  if (order !== 0) return order > 0;
  return best.isLeaving && !candidate.isLeaving;
}
