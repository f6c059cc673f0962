/**
 * Checks that a request reaches, and an answer came from, the leader itself, and not a process that has
 * restarted under the leader's id.
 *
 * Leadership evidence names a member id and a term, while connections are opened to an address. The directory
 * announces a restarted process (a new incarnation) some milliseconds after it accepts connections. A
 * restarted process has lost its log, so it lacks the position that the leader has reported. When the leader
 * has reported no position, or an empty log, an empty restarted process could be mistaken for the leader; so
 * could one that copies the log of the next leader and has reached an older position that a request names.
 *
 * @packageDocumentation
 */
import type { Leader } from '../leadership/leadership-evidence.js';
import type { Position } from '../position/position.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { RelayContext } from './relay-context.js';
import type { LeaderCheck, SessionLink } from './session-link.js';

/** Time-out of the status request to a member with an empty log, in milliseconds. */
const STATUS_TIMEOUT_MS = 200;

/** Reason for not sending a request to a member that may not lead any more. */
export const NO_LEADER_EVIDENCE = 'no evidence of the leader';
/** Reason for not sending a request to a process that may not be the leader's. */
export const OTHER_INCARNATION = 'perhaps another life of the leader';

/** True for a position that only a process with a non-empty log can have reached. */
export function isNonEmptyLog(position: Position | null): boolean {
  return position !== null && position.index > 0;
}

/** True while there is valid evidence that this member leads this term. */
export function isStillLeader(
  context: RelayContext,
  group: MemberGroup,
  { memberId, term }: Leader,
): boolean {
  const leader = group.evidence.current(context.now());
  return leader?.memberId === memberId && leader.term === term;
}

/** What this daemon uses to verify the process of a leader before it sends requests to it. */
export function leaderCheck(context: RelayContext, group: MemberGroup): LeaderCheck {
  return {
    isProven: (leader) => isStillLeader(context, group, leader),
    readStatus: context.readStatus,
  };
}

/**
 * Verifies that a connection leads to the process of the leader, and reports a leader that has lost the log
 * that it had. Returns whether reads may be sent over the connection.
 *
 * A position that a read names does not replace this: it is older than commits that other daemons have
 * acknowledged, and a restarted process that copies the log of the next leader while the read waits there
 * reaches it first.
 *
 * @param after - the position that the read names
 * @throws LinkLostError
 */
export async function mayReadAsLeader(
  context: RelayContext,
  group: MemberGroup,
  leader: Leader,
  link: SessionLink,
  after: Position | null,
): Promise<boolean> {
  const verdict = await link.verifyLeader(leader, leaderCheck(context, group));
  const member = group.members.get(leader.memberId);
  if (verdict === 'empty' && isNonEmptyLog(after) && member !== undefined)
    context.suspect(group, member, 'lost_log');
  return verdict === 'leader';
}

/**
 * True when the process at the other end of a connection is the leader. Needed for answers to requests that
 * named no position which would distinguish the leader from a restarted process.
 *
 * While there is valid evidence for the leader, no other member has been promoted, so a restarted process has
 * received nothing: a process with a non-empty log is the leader, or has its whole log. A process with an
 * empty log is asked for its role, since a restarted process does not lead.
 *
 * @param position - the position that the process gave in its answer
 */
export async function verifyLeaderIncarnation(
  context: RelayContext,
  group: MemberGroup,
  leader: Leader,
  link: SessionLink,
  position: Position | null,
): Promise<boolean> {
  if (!isStillLeader(context, group, leader)) return false;
  if (isNonEmptyLog(position) || link.isVerifiedLeader(leader)) return true;
  const statusTimer = setTimeout(() => link.close(), STATUS_TIMEOUT_MS);
  try {
    const status = context.readStatus(await link.send({ kind: 'status' }));
    const isLeader = status?.isPrimary === true && status.term === leader.term;
    return isLeader && isStillLeader(context, group, leader);
  } catch {
    return false;
  } finally {
    clearTimeout(statusTimer);
  }
}

/**
 * Records the position from an answer of the leader as a read floor, if there is still valid evidence that it
 * leads.
 */
export function recordLeaderPosition(
  context: RelayContext,
  group: MemberGroup,
  leader: Leader,
  sentAtMs: number,
  position: Position | null,
): void {
  if (position !== null && isStillLeader(context, group, leader))
    group.recordLeaderPosition(sentAtMs, position, leader);
}
