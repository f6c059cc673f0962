/**
 * Which members of a group may serve a read, outside or inside a read-only transaction: the log position that a
 * replica must have reached, what is known of each member, and whether any is left that has not refused the read.
 *
 * @packageDocumentation
 */
import type { LoadRefusals } from '../admission/load-refusals.js';
import type { ReadFloor } from '../leadership/position-history.js';
import { UNMEASURED_DISTANCE_COST_MS } from '../placement/distance-cost.js';
import type { Assessment } from '../placement/placement.js';
import { NO_TENANT } from '../tenancy/tenant-registry.js';
import type { Route } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import {
  hasChoice,
  selectReadMember,
  type ReadCandidate,
  type ReadPreferences,
} from '../topology/select-member.js';
import { maxHoldMs } from './early-refusal.js';
import type { MemberReply } from './member-link.js';
import type { RelayContext } from './relay-context.js';
import { floorWithOwnCommits, type SessionFloor } from './session-commits.js';

/** Part of the staleness bound reserved for the transit of the request to the daemon, in milliseconds. */
const STALENESS_MARGIN_MS = 60;

/** Position that a replica must have reached to serve a read, or `null` when only the leader may serve it. */
export function readFloor(
  group: MemberGroup,
  route: Route,
  sessionFloor: SessionFloor | null,
  receivedAtMs: number,
): ReadFloor | null {
  if (route.consistency === 'primary') return null;
  const since = receivedAtMs - route.maxStalenessMs + STALENESS_MARGIN_MS;
  return floorWithOwnCommits(group.positions, since, sessionFloor);
}

/** What decides whether members of a group may serve a read. */
export interface CandidateQuery {
  readonly floor: ReadFloor | null;
  readonly tenantName: string;
  /** Ids of members that the read is not sent to; `null` if no member is to be chosen. */
  readonly excluded: ReadonlySet<string> | null;
}

/**
 * The members of a group as candidates for a read. A leader without valid evidence is treated as a replica:
 * it may have been replaced, but its log holds every commit up to the floor of the read, which was taken from
 * a proven leader.
 *
 * Load and response times are assessed only if there is a choice between members: reads that wait for a leader
 * or a replica ask for their candidates every few milliseconds.
 */
export function readCandidates(
  context: RelayContext,
  group: MemberGroup,
  { floor, tenantName, excluded }: CandidateQuery,
): ReadCandidate[] {
  const now = context.now();
  const leader = group.leader(now);
  const candidates: ReadCandidate[] = [];
  for (const [memberId, member] of group.members) {
    candidates.push({
      memberId,
      isLeader: member === leader,
      slots: member.entry.slots,
      failureShare: member.failureShare(now),
      isLeaving: member.isLeaving,
      isAvoided: member.isAvoided(now),
      isBehind: floor !== null && member.isBehind(floor, now),
      ...assessmentWithoutReports(context, member),
    });
  }
  if (context.placement === undefined || excluded === null) return candidates;
  if (!hasChoice(candidates, { floor, excluded })) return candidates;
  const assessments = context.placement.assess([...group.members.values()], tenantName);
  return candidates.map((candidate, index) => ({ ...candidate, ...assessments[index] }));
}

function assessmentWithoutReports(context: RelayContext, { entry, pool, latencyMs }: Member): Assessment {
  return {
    isWithheld: false,
    latencyMs,
    distanceCostMs: entry.zone === context.zone ? 0 : UNMEASURED_DISTANCE_COST_MS,
    load: pool.load,
    isLoadReported: false,
  };
}

/**
 * What decides between members of nearly equal cost for a read. Replicas are preferred by tenant only where the
 * configuration has tenants, since connections belong to tenants only there.
 */
export function readPreferences(context: RelayContext, tenantName: string): ReadPreferences {
  const hasAffinity = tenantName !== NO_TENANT && context.catalog.tenants.size > 0;
  return {
    tenantName: hasAffinity ? tenantName : null,
    random: () => context.placement?.random() ?? 0,
  };
}

/**
 * Records a member's log position from an answer, and whether the member had reached the floor of the read.
 */
export function recordReplicaProgress(
  member: Member,
  floor: ReadFloor | null,
  { position, result }: MemberReply,
  nowMs: number,
): void {
  member.recordPosition(position, nowMs);
  if (floor === null) return;
  if (result.isComplete) member.recordFloorResult(floor, true, nowMs);
  else if (result.code === 'behind') member.recordFloorResult(floor, false, nowMs);
}

/** A read of which some members have refused to serve it because of the expected wait. */
export interface RefusedRead {
  readonly refusals: LoadRefusals;
  readonly floor: ReadFloor | null;
  /** Time since the daemon received the read, in milliseconds. */
  readonly heldMs: number;
  readonly timeoutMs: number;
  /** Members to which no connection could be opened. */
  readonly unreachable?: ReadonlySet<string>;
}

/**
 * True when at least one member has refused a read because of the expected wait, and no other that may serve it
 * can be reached. A replica that is behind the floor of the read soon reaches it, so it counts as one that may
 * serve it for as long as a read is held that another daemon may serve.
 */
export function haveAllRefused(
  context: RelayContext,
  group: MemberGroup,
  { refusals, floor, heldMs, timeoutMs, unreachable = new Set() }: RefusedRead,
): boolean {
  if (refusals.memberIds.size === 0) return false;
  const mayAwaitReplicas = heldMs < maxHoldMs(timeoutMs);
  const candidates = readCandidates(context, group, { floor, tenantName: NO_TENANT, excluded: null })
    .filter(({ isAvoided }) => !isAvoided)
    .map((candidate) => ({ ...candidate, isBehind: candidate.isBehind && !mayAwaitReplicas }));
  const excluded = new Set([...refusals.memberIds, ...unreachable]);
  return selectReadMember(candidates, { floor, excluded }) === null;
}
