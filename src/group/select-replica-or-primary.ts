/**
 * Selects the replica or primary that serves a request. Pure: no sockets, clock or random source.
 *
 * @packageDocumentation
 */
import { hasReached, type Position } from '../position/position.js';
import type { GroupDescription, MemberDescription } from './group-description.js';

/** Requirements of a request on the member that serves it. @public */
export interface SelectionDemand {
  /** False when only the primary can serve the request. */
  readonly allowsReplica: boolean;
  /** Position that the member must have applied. */
  readonly required: Position;
  /** Maximum staleness of a replica, in milliseconds; `null` for no limit. */
  readonly maxStalenessMs: number | null;
  /** Zone whose replicas are preferred at equal load. */
  readonly preferredZone: string;
  /** Members that must not be selected, for instance because an attempt on them has just failed. */
  readonly excludedMemberIds: ReadonlySet<string>;
}

/** Number of requests running on and waiting for a member, by member id. */
export type MemberLoads = ReadonlyMap<string, number>;

/** Reason why no member can serve a request at present. */
export type WaitReason = 'no_primary' | 'primary_not_locked' | 'primary_leaving';

/** Result of a selection: a member, or the reason to wait. @public */
export type Selection =
  | { readonly kind: 'member'; readonly member: MemberDescription; readonly isReplica: boolean }
  | { readonly kind: 'wait'; readonly reason: WaitReason };

/** Selects an eligible replica if the request allows one, otherwise the primary if it is available. */
export function selectMember(
  group: GroupDescription,
  requirements: SelectionDemand,
  loads: MemberLoads,
): Selection {
  const replica = requirements.allowsReplica ? selectReplica(group, requirements, loads) : null;
  if (replica !== null) return { kind: 'member', member: replica, isReplica: true };
  return selectPrimary(group, requirements);
}

function selectPrimary(group: GroupDescription, requirements: SelectionDemand): Selection {
  const { primary } = group;
  if (primary === null || requirements.excludedMemberIds.has(primary.address.memberId)) {
    return { kind: 'wait', reason: 'no_primary' };
  }
  if (primary.isLeaving) return { kind: 'wait', reason: 'primary_leaving' };
  if (!primary.isLocked) return { kind: 'wait', reason: 'primary_not_locked' };
  return { kind: 'member', member: primary, isReplica: false };
}

function selectReplica(
  group: GroupDescription,
  requirements: SelectionDemand,
  loads: MemberLoads,
): MemberDescription | null {
  const eligible = group.members.filter((member) => isEligibleReplica(group, member, requirements));
  const cost = (member: MemberDescription): number => {
    const load = loads.get(member.address.memberId) ?? 0;
    return load * 2 + (member.address.zone === requirements.preferredZone ? 0 : 1);
  };
  return eligible.reduce<MemberDescription | null>(
    (best, member) => (best === null || cost(member) < cost(best) ? member : best),
    null,
  );
}

function isEligibleReplica(
  group: GroupDescription,
  member: MemberDescription,
  requirements: SelectionDemand,
): boolean {
  const { status } = member;
  if (status === null || status.role !== 'replica' || status.term !== group.term) return false;
  if (!member.isLocked || member.isLeaving) return false;
  if (requirements.excludedMemberIds.has(member.address.memberId)) return false;
  if (requirements.maxStalenessMs !== null && member.stalenessMs > requirements.maxStalenessMs) return false;
  return hasReached(status.applied, requirements.required);
}
