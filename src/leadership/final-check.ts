/**
 * The final check of a promotion: which incarnations of members are missing, so that what they may hold has to
 * be covered otherwise. Pure.
 *
 * @packageDocumentation
 */
import { hasReached } from '../position/position.js';
import type { Incarnation } from '../topology/incarnation.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { LeaderLoss } from './leader-loss.js';
import type { MissingIncarnation } from './missing-incarnation.js';
import type { PausedReplica } from './replica-pauses.js';

/** Result of the final check, on which the choice of the successor is based. */
export interface FinalCheck {
  readonly paused: readonly PausedReplica[];
  readonly missing: readonly MissingIncarnation[];
  /** False when a replica was found not to be paused any more. */
  readonly allPausesHold: boolean;
}

/** What the replicas have answered. */
export interface CheckedReplicas {
  readonly paused: readonly PausedReplica[];
  /** Incarnations whose process has ended. */
  readonly ended: readonly Incarnation[];
  readonly unanswered: readonly MissingIncarnation[];
}

/** What is known of the last leader. */
export interface LastLeadership {
  readonly group: MemberGroup;
  readonly leaderLoss: LeaderLoss;
  /** The latest term in which commits may have been acknowledged. */
  readonly lastTerm: number;
  /** The incarnation that led it; `null` while unknown. */
  readonly lastLeader: Incarnation | null;
  readonly nowMs: number;
}

/** The incarnations that may hold more than the paused replicas, and whose position is unknown. */
export function findMissing(
  { paused, ended, unanswered }: CheckedReplicas,
  leadership: LastLeadership,
): readonly MissingIncarnation[] {
  const respondingIds = new Set(paused.map(({ member }) => member.entry.memberId));
  const relevantEnded = mayLastLeaderReturn(respondingIds, leadership)
    ? ended
    : ended.filter(({ memberId }) => !respondingIds.has(memberId));
  const replaced = relevantEnded.map((incarnation) => ({
    ...incarnation,
    reason: 'replaced',
    silentMs: null,
  }));
  const relevantUnanswered = hasTermStart(paused, leadership)
    ? unanswered.filter((incarnation) => !isLaterIncarnationOfLeader(incarnation, leadership))
    : unanswered;
  return [...relevantUnanswered, ...replaced];
}

/**
 * True while the log of the last leader may still exist and is not among the checked ones. What an ended
 * incarnation had received is held by its next incarnation, which is asked, or by the leader, or by nobody.
 * So once the leader's log has been checked too, or will not come back, there is nothing to wait for.
 * Without this, a group would stay without a leader for 30 s after the last of its members has restarted.
 */
function mayLastLeaderReturn(
  respondingIds: ReadonlySet<string>,
  { group, leaderLoss, lastTerm, lastLeader: led, nowMs }: LastLeadership,
): boolean {
  if (led === null) return true;
  if (respondingIds.has(led.memberId)) return false;
  // A daemon that never knew this incarnation cannot have seen its entry removed.
  const wasKnown = group.leaderOfTerm(lastTerm)?.entry.memberId === led.memberId;
  const isForgotten = wasKnown && !group.members.has(led.memberId) && group.findFormer(led.memberId) === null;
  return !isForgotten && !leaderLoss.isOver(led, nowMs);
}

/**
 * True for a later incarnation of the lost leader. Every commit acknowledged in the term was received by a
 * member other than the leader. So once all of those are accounted for, including their ended incarnations,
 * there is no need to wait for the member that now has the leader's id.
 */
function isLaterIncarnationOfLeader(
  { memberId, bornMs }: Incarnation,
  { lastLeader: led }: LastLeadership,
): boolean {
  if (led?.memberId !== memberId || led.bornMs === null || bornMs === null) return false;
  return bornMs > led.bornMs;
}

/**
 * True when a replica holds the log with which the leader began the term. Commits acknowledged in earlier
 * terms may have been received by nobody but the member that led this one.
 */
function hasTermStart(paused: readonly PausedReplica[], { group, lastTerm }: LastLeadership): boolean {
  const opened = group.termStartPosition(lastTerm);
  return paused.some(
    ({ status: { received } }) =>
      received.term >= lastTerm || (opened !== null && hasReached(received, opened)),
  );
}
