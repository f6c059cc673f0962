/**
 * What an isolated daemon can still use: members and gateways of its own zone that answer.
 *
 * @packageDocumentation
 */
import type { ReadFloor } from '../leadership/position-history.js';
import type { RelayContext } from '../relay/relay-context.js';
import type { SessionLink } from '../relay/session-link.js';
import type { Member, MemberGroup } from '../topology/member-group.js';

/** Time without an answer after which a gateway of the own zone counts as silent, too, in milliseconds. */
const SILENT_GATEWAY_MS = 350;

/** Context on which the reach depends. */
export type ReachContext = Pick<RelayContext, 'isolation' | 'zone' | 'now'>;

/** True if the daemon is isolated and the member is in another zone, or recently did not answer. */
export function isOutOfReach({ isolation, zone, now }: ReachContext, member: Member): boolean {
  return isolation.isIsolated && (member.entry.zone !== zone || member.isAvoided(now()));
}

/** True if the daemon is isolated and a request on this connection of the member gets no answer. */
export function isPathSilent(context: ReachContext, member: Member, { gateway }: SessionLink): boolean {
  if (!context.isolation.isIsolated) return false;
  if (isOutOfReach(context, member)) return true;
  if (gateway === undefined) return false;
  return gateway.zone !== context.zone || gateway.unansweredMs >= SILENT_GATEWAY_MS;
}

/** True if the daemon is isolated and the group's leader is unknown or out of reach. */
export function isLeaderOutOfReach(context: ReachContext, group: MemberGroup): boolean {
  if (!context.isolation.isIsolated) return false;
  const leader = group.leader(context.now());
  return leader === null || isOutOfReach(context, leader);
}

/**
 * True if the daemon is isolated and no member in reach may serve a read.
 *
 * @param floor - position that a replica must have reached; `null` if only the leader may serve the read
 * @param excluded - ids of the members that have failed to serve it
 */
export function isReadOutOfReach(
  context: ReachContext,
  group: MemberGroup,
  floor: ReadFloor | null,
  excluded: ReadonlySet<string>,
): boolean {
  if (!context.isolation.isIsolated) return false;
  const now = context.now();
  const leader = group.leader(now);
  for (const [memberId, member] of group.members) {
    if (excluded.has(memberId) || isOutOfReach(context, member)) continue;
    if (member === leader || (floor !== null && !member.isBehind(floor, now))) return false;
  }
  return true;
}
