/**
 * Detects members that fail or do not answer. Requests avoid such a member for a while; if it is a leader, it
 * is also reported to the holder of the promotion duty.
 *
 * @packageDocumentation
 */
import type { Suspicion, SuspicionReason } from '../cluster/peer-mesh.js';
import type { Member, MemberGroup } from '../topology/member-group.js';

/** Minimum interval between two reports about a group with the same reason, in milliseconds. */
const REPORT_INTERVAL_MS = 80;
/** Time without a reply after which a leader is reported to the duty holder, in milliseconds. */
const LEADER_UNRESPONSIVE_MS = 200;
/** Share of failed requests above which a leader is reported to the duty holder. */
const MAX_FAILURE_SHARE = 0.25;
/** Time without a reply after which a member is avoided, in milliseconds. */
const MEMBER_UNRESPONSIVE_MS = 350;
/** Time without a reply after which all connections to a member are closed, in milliseconds. */
const CLOSE_UNRESPONSIVE_MS = 1200;

/** Reasons which show that a member is not, or no longer, the leader. */
const NOT_LEADER_REASONS: ReadonlySet<string> = new Set(['read_only', 'lost_log']);

/** Dependencies and settings of a failure detector. */
export interface FailureDetectorOptions {
  readonly ownName: string;
  /** Time between two checks, in milliseconds. */
  readonly tickMs: number;
  /** Reports a suspected leader to the duty holder, which may be this daemon. */
  report(suspicion: Suspicion): void;
  /** Makes the leadership watcher of a group look for the leader again. */
  wakeWatcher(groupName: string): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** Failure detector of one daemon for all members. */
export class FailureDetector {
  readonly #reportedAtMs = new Map<string, number>();

  constructor(private readonly options: FailureDetectorOptions) {}

  /** Checks a group for stalled commits, a leader that fails requests and members that do not answer. */
  check(group: MemberGroup): void {
    const now = this.options.now();
    this.#checkStall(group, now);
    this.#checkFailures(group, now);
    for (const member of group.members.values()) this.#checkResponsiveness(group, member, now);
  }

  /**
   * Handles a failure of a member: it did not answer, refused or ended connections, denied being the leader
   * (`read_only`), or lacks log entries that the leader has reported to hold (`lost_log`), so that another
   * incarnation now uses its member id.
   */
  suspect(group: MemberGroup, member: Member, reason: string): void {
    // Its connections were closed on purpose, and another incarnation may already use its member id.
    if (member.hasEnded) return;
    const isLeader = isLeaderOf(group, member);
    const deniesLeadership = NOT_LEADER_REASONS.has(reason);
    if (deniesLeadership) {
      if (isLeader) group.evidence.clearLeader();
    } else {
      this.#avoid(group, member, reason);
    }
    if (!isLeader && !deniesLeadership) return;
    this.options.wakeWatcher(group.name);
    this.#report(group, member, suspicionReason(reason));
  }

  #avoid(group: MemberGroup, member: Member, reason: string): void {
    const now = this.options.now();
    const { memberId } = member.entry;
    if (!member.isAvoided(now))
      this.options.log('member_suspected', { group: group.name, member: memberId, reason });
    member.avoid(now);
  }

  /**
   * Reports a leader that answers but does not complete commits, for example because it cannot reach its
   * replicas.
   */
  #checkStall(group: MemberGroup, now: number): void {
    if (!group.commits.isStalled(now)) return;
    const leader = group.leader(now);
    if (leader === null) return;
    this.#report(group, leader, 'stalled');
    leader.pool.ownPool.rejectWaiters('commits stall', ({ isWrite }) => isWrite);
  }

  /** Reports a leader that answers but fails many requests: another member can replace it. */
  #checkFailures(group: MemberGroup, now: number): void {
    const leader = group.leader(now);
    if (leader !== null && leader.failureShare(now) > MAX_FAILURE_SHARE)
      this.#report(group, leader, 'failing');
  }

  #checkResponsiveness(group: MemberGroup, member: Member, now: number): void {
    const { ownPool: own } = member.pool;
    const unansweredMs = own.unansweredMs(now);
    const hasJustExceeded =
      unansweredMs >= LEADER_UNRESPONSIVE_MS && unansweredMs < LEADER_UNRESPONSIVE_MS + this.options.tickMs;
    if (hasJustExceeded && isLeaderOf(group, member)) this.#report(group, member, 'silent');
    if (unansweredMs < MEMBER_UNRESPONSIVE_MS) return;
    this.suspect(group, member, 'silent');
    own.rejectWaiters('the member is silent');
    if (unansweredMs >= CLOSE_UNRESPONSIVE_MS) own.closeAll();
  }

  #report(group: MemberGroup, member: Member, reason: SuspicionReason): void {
    const now = this.options.now();
    const key = `${group.name} ${reason}`;
    if (now - (this.#reportedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < REPORT_INTERVAL_MS) return;
    this.#reportedAtMs.set(key, now);
    const { memberId } = member.entry;
    this.options.report({ groupName: group.name, memberId, reason, reporter: this.options.ownName });
  }
}

function isLeaderOf(group: MemberGroup, member: Member): boolean {
  return group.evidence.leader?.memberId === member.entry.memberId;
}

function suspicionReason(reason: string): SuspicionReason {
  if (reason === 'silent') return 'silent';
  return NOT_LEADER_REASONS.has(reason) ? 'denied' : 'refused';
}
