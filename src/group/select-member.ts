/**
 * Chooses the member that serves a request. Pure: no sockets, clock or random source.
 *
 * @packageDocumentation
 */
import { hasReached, type Position } from '../position/position.js';
import type { GroupDescription, MemberDescription } from './group-description.js';

/** What a request demands of its member. @public */
export interface SelectionDemand {
  /** False when only the primary will do. */
  readonly allowsReplica: boolean;
  /** Position that the member's reads must have reached. */
  readonly required: Position;
  /** Largest staleness accepted of a replica, in milliseconds; `null` for no bound. */
  readonly maxStalenessMs: number | null;
  /** Zone to prefer among equals. */
  readonly preferredZone: string;
  /** Members to leave out, for instance because an attempt on them has just failed. */
  readonly excludedMemberIds: ReadonlySet<string>;
}

/** Requests running and waiting at a member, by member id. */
export type MemberLoads = ReadonlyMap<string, number>;

/** Why no member can serve a request now. */
export type WaitReason = 'no_primary' | 'primary_not_locked' | 'primary_leaving';

/** Outcome of a selection. @public */
export type Selection =
  | { readonly kind: 'member'; readonly member: MemberDescription; readonly isReplica: boolean }
  | { readonly kind: 'wait'; readonly reason: WaitReason };

/** Chooses a replica if one is allowed and good enough, else the primary, else to wait. */
export function selectMember(
  group: GroupDescription,
  demand: SelectionDemand,
  loads: MemberLoads,
): Selection {
  const replica = demand.allowsReplica ? selectReplica(group, demand, loads) : null;
  if (replica !== null) return { kind: 'member', member: replica, isReplica: true };
  return selectPrimary(group, demand);
}

function selectPrimary(group: GroupDescription, demand: SelectionDemand): Selection {
  const { primary } = group;
  if (primary === null || demand.excludedMemberIds.has(primary.address.memberId)) {
    return { kind: 'wait', reason: 'no_primary' };
  }
  if (primary.isLeaving) return { kind: 'wait', reason: 'primary_leaving' };
  if (!primary.isLocked) return { kind: 'wait', reason: 'primary_not_locked' };
  return { kind: 'member', member: primary, isReplica: false };
}

function selectReplica(
  group: GroupDescription,
  demand: SelectionDemand,
  loads: MemberLoads,
): MemberDescription | null {
  const eligible = group.members.filter((member) => isEligibleReplica(group, member, demand));
  const cost = (member: MemberDescription): number => {
    const load = loads.get(member.address.memberId) ?? 0;
    return load * 2 + (member.address.zone === demand.preferredZone ? 0 : 1);
  };
  return eligible.reduce<MemberDescription | null>(
    (best, member) => (best === null || cost(member) < cost(best) ? member : best),
    null,
  );
}

function isEligibleReplica(
  group: GroupDescription,
  member: MemberDescription,
  demand: SelectionDemand,
): boolean {
  const { status } = member;
  if (status === null || status.role !== 'replica' || status.term !== group.term) return false;
  if (!member.isLocked || member.isLeaving) return false;
  if (demand.excludedMemberIds.has(member.address.memberId)) return false;
  if (demand.maxStalenessMs !== null && member.stalenessMs > demand.maxStalenessMs) return false;
  return hasReached(status.applied, demand.required);
}
