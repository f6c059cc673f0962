/**
 * Supervises one group on the daemon that holds the promotion duty: makes sure that the group has a leader,
 * and promotes another member when it has none or when its leader leaves.
 *
 * The promotion itself is in `promotion.ts`.
 *
 * @packageDocumentation
 */
import { ChangeSignal, delay } from '../common/signal.js';
import type { Recipients } from '../cluster/order-delivery.js';
import type { HolderOrder, OrderOutcome, Suspicion } from '../cluster/peer-mesh.js';
import {
  formatPosition,
  hasReached,
  laterPosition,
  ZERO_POSITION,
  type Position,
} from '../position/position.js';
import { formatIncarnation } from '../topology/incarnation.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { EndedMembers } from './ended-members.js';
import { LeaderLoss } from './leader-loss.js';
import { LeaderSuspicions } from './leader-suspicions.js';
import { LogPositionQuery } from './log-position-query.js';
import { LostIncarnations } from './lost-incarnations.js';
import type { ControlAnswer, MemberControl } from './member-control.js';
import { OpenCalls } from './open-calls.js';
import { DUTY_RESERVE_MS, Promotion, type PromotionPorts } from './promotion.js';
import type { ReplacedTerms } from './replaced-terms.js';
import { ReplicaPauses } from './replica-pauses.js';
import { StepDowns } from './step-downs.js';

/**
 * Asks the platform to make a member the leader. Rejects when the platform may or may not have received the
 * call.
 */
export interface PromotionPort {
  /**
   * @param fence - fencing token; rises with each holder of the duty
   * @param timeoutMs - after it, the call may not reach the platform any more; a call that has arrived may
   *   still take effect
   * @returns false when the platform reports that the member does not run, or when it cannot have received
   *   the call
   */
  promote(groupName: string, memberId: string, fence: number, timeoutMs: number): Promise<boolean>;
}

/** Dependencies of a {@link GroupSupervisor}. */
export interface GroupSupervisorOptions {
  readonly control: MemberControl;
  readonly promotion: PromotionPort;
  /** The fencing token if the duty is held for at least `reserveMs` more, else `null`. */
  heldFence(reserveMs: number): number | null;
  /** Sends an order to all other daemons, or to some of them. */
  order(
    order: HolderOrder,
    timeoutMs: number,
    recipients?: Recipients,
  ): Promise<ReadonlyMap<string, OrderOutcome>>;
  /** Number of daemons that keep their own connections to a member. */
  connectedDaemonCount(memberId: string): number;
  /**
   * True when those daemons are gateways, which share their connections to the member with all other daemons.
   */
  usesGateways(memberId: string): boolean;
  /** The record in the store of the terms that may have been replaced. */
  readonly replacedTerms: Pick<ReplacedTerms, 'raise' | 'set'>;
  /** A member has become the leader through a promotion by this daemon. */
  leaderPromoted(): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** Time between two checks of a group that seems healthy, in milliseconds. */
const CHECK_INTERVAL_MS = 1000;
/** Timeout of a status request to a member, in milliseconds. */
const STATUS_TIMEOUT_MS = 200;
/**
 * Time without evidence of a leader that answers, after which a promotion resolves an earlier one whose outcome is
 * not known, in milliseconds. It leaves time for all members to answer the daemons.
 */
const UNRESOLVED_LIMIT_MS = 3000;
/** Timeout of a probe of a suspected leader, in milliseconds, and number of probes. */
const PROBE_TIMEOUT_MS = 130;
const PROBE_ATTEMPTS = 2;
/** Number of probes for a leader that has many client daemons and delays new connections. */
const SLOW_PROBE_ATTEMPTS = 4;
/** Number of client daemons from which on a suspicion needs several reporters, and how many. */
const MANY_CLIENT_DAEMONS = 9;
const REQUIRED_REPORTERS = 2;
/**
 * Time after a leadership transfer in which no other is begun for the same kinds of reason, in milliseconds.
 */
const TRANSFER_COOLDOWN_MS = 5000;
/** Least number of replicas on which a replication stall may be concluded; all of them have to confirm it. */
const MIN_STALLED_REPLICAS = 2;
/** Time that replicas get to receive what the leader has, in milliseconds. */
const STALL_CHECK_MS = 120;
/** Most promotions that are retried at once, while the replicas are still paused. */
const MAX_IMMEDIATE_RETRIES = 3;
/** Delay after an abandoned promotion before the next attempt, in milliseconds. */
const PROMOTION_RETRY_DELAY_MS = 100;

const LEADER_STEPPED_DOWN = 'leader has stepped down';
const NO_MEMBER_LEADS = 'no member leads';

/** Supervises one group while this daemon holds the promotion duty. */
export class GroupSupervisor {
  readonly #wake = new ChangeSignal();
  #isStopped = false;
  readonly #suspicions = new LeaderSuspicions();
  readonly #endedMembers = new EndedMembers();
  readonly #lostIncarnations = new LostIncarnations();
  readonly #stepDowns = new StepDowns();
  readonly #openCalls = new OpenCalls();
  readonly #leaderLoss = new LeaderLoss();
  readonly #pauses: ReplicaPauses;
  readonly #logPosition: LogPositionQuery;
  #isRecordingEnded = false;
  /** Former members that refused connections at the last check though they may run, for the log. */
  #refusingMembers = '';
  /** True until the first check for replicas that an earlier holder of the duty may have left paused. */
  #isFirstCheck = true;
  #isCheckRequested = false;
  #lastTransferMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly group: MemberGroup,
    private readonly options: GroupSupervisorOptions,
  ) {
    this.#pauses = new ReplicaPauses(
      options.control,
      group,
      this.#endedMembers,
      this.#lostIncarnations,
      options.now,
    );
    this.#logPosition = new LogPositionQuery({
      group,
      queryStatus: (member) => this.#queryStatus(member),
      isStopped: () => this.#isStopped,
      log: options.log,
      now: options.now,
    });
  }

  /** Supervises the group until {@link GroupSupervisor.stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isRequested = this.#isCheckRequested;
      this.#isCheckRequested = false;
      if (this.options.heldFence(DUTY_RESERVE_MS) !== null) await this.#check(isRequested);
      if (!this.#isCheckRequested) await this.#wake.wait(CHECK_INTERVAL_MS);
    }
  }

  /** A daemon suspects the leader, or the directory has changed: triggers a check. */
  suspect(suspicion?: Suspicion): void {
    if (suspicion !== undefined) this.#suspicions.add(suspicion, this.options.now());
    this.#isCheckRequested = true;
    this.#wake.notify();
  }

  /** The process of a daemon has ended. */
  daemonEnded(): Promise<void> {
    return this.#logPosition.daemonEnded();
  }

  /** Stops after the current check. */
  stop(): void {
    this.#isStopped = true;
    this.#wake.notify();
  }

  async #check(isRequested: boolean): Promise<void> {
    const leader = await this.#findLeader();
    if (this.#isStopped) return;
    if (leader === null) return;
    const knownLeader = this.group.evidence.leader;
    if (knownLeader !== null) this.group.recordLeader(knownLeader, null);
    // A member that is taken for the leader only because none is known to lead may hold commits that the
    // others lack, so it is not left out of the candidates.
    const isAssumed = this.group.evidence.leader === null && !leader.entry.saysPrimary;
    if (leader.isLeaving) {
      await this.#promote(isAssumed ? null : leader, isAssumed ? NO_MEMBER_LEADS : 'leader leaves');
      return;
    }
    // Not awaited: an unreachable former member must not delay a promotion.
    void this.#recordEndedMembers(leader);
    if (!isRequested && !this.#isFirstCheck && this.#isHealthy(leader)) return;
    const reason = await this.#replacementReason(leader);
    if (reason === LEADER_STEPPED_DOWN) await this.#replaceSteppedDown();
    else if (reason !== null) await this.#promote(isAssumed ? null : leader, reason);
    else await this.#checkResponsiveLeader(leader);
  }

  /**
   * The leader answers this daemon. It may still be unreachable from other daemons, fail requests, or not
   * reach its replicas.
   */
  async #checkResponsiveLeader(leader: Member): Promise<void> {
    this.#leaderLoss.recordAnswer(leader.entry);
    if (this.#isFirstCheck) {
      this.#isFirstCheck = false;
      if (await this.#hasUnfinishedPromotion(leader))
        return this.#promote(leader, 'earlier promotion left unfinished');
    }
    const now = this.options.now();
    if (this.#isUnresolved(now))
      return this.#promote(leader, 'the outcome of an earlier promotion is not known');
    const { memberId } = leader.entry;
    if (now - this.#lastTransferMs > TRANSFER_COOLDOWN_MS) {
      const reporterCount = this.#suspicions.lastingReporterCount(
        memberId,
        this.options.connectedDaemonCount(memberId),
        now,
      );
      const isStalled =
        this.#suspicions.has('stalled', memberId, now) && (await this.#isReplicationStalled(leader));
      if (isStalled) return this.#transferLeadership(leader, 'commits stall');
      if (this.#suspicions.count('failing', memberId, now) >= this.#requiredReporters(leader))
        return this.#transferLeadership(leader, 'leader fails requests');
      if (reporterCount > 0)
        return this.#transferLeadership(leader, `leader unreachable from ${reporterCount} daemons`);
    }
    await this.#resumeReplicas(leader);
  }

  /**
   * Finds out which former members have ended, then queries the leader's log position as the bound of what
   * they can have received.
   */
  async #recordEndedMembers(leader: Member): Promise<void> {
    if (this.#isRecordingEnded) return;
    this.#isRecordingEnded = true;
    const departed = this.#departedMembers(leader);
    const areRefusing = await Promise.all(departed.map((member) => this.#isRefusing(member)));
    const refusing = new Set(departed.filter((_, index) => areRefusing[index]));
    // An answer discards the sign that a member has ended, and with it the limit.
    const exited = departed.filter((member) => member.hasExited);
    this.#endedMembers.retain(exited);
    const ended = exited.filter((member) => refusing.has(member) && !this.#endedMembers.hasLimit(member));
    this.#logRefusing([...refusing].filter((member) => !member.hasExited));
    const askedAtMs = this.options.now();
    const needsPosition = ended.length > 0 || this.#lostIncarnations.needsLeaderPosition;
    const position = needsPosition ? await this.#logPosition.ask(leader) : null;
    if (position !== null) {
      for (const member of ended) this.#endedMembers.record(member, position);
      this.#lostIncarnations.recordLeaderPosition(position, askedAtMs);
    }
    if (needsPosition) this.#logEndedMembers(ended, position);
    this.#isRecordingEnded = false;
  }

  #logEndedMembers(ended: readonly Member[], position: Position | null): void {
    this.options.log('members_ended', {
      group: this.group.name,
      members: formatMembers(ended),
      limit: position === null ? null : formatPosition(position),
    });
  }

  /** Logs which members may be waited for by a promotion, whenever that changes. */
  #logRefusing(refusing: readonly Member[]): void {
    const formatted = formatMembers(refusing);
    if (formatted === this.#refusingMembers) return;
    this.#refusingMembers = formatted;
    this.options.log('members_ended', { group: this.group.name, members: '', refusing: formatted });
  }

  /**
   * Former members, and members whose directory entry is gone and whose start time is known. Such an
   * incarnation can be told from the next one.
   */
  #departedMembers(leader: Member): readonly Member[] {
    const { members, former } = this.group;
    const unlisted = [...members.values()].filter(
      ({ entry, missingSinceMs }) => missingSinceMs !== null && entry.bornMs !== null,
    );
    return [...former.values(), ...unlisted.filter((member) => member !== leader)];
  }

  async #isRefusing(member: Member): Promise<boolean> {
    return (await this.#queryStatus(member)).kind === 'refused';
  }

  async #transferLeadership(leader: Member, reason: string): Promise<void> {
    this.#lastTransferMs = this.options.now();
    await this.#promote(leader, reason);
  }

  /**
   * True when all replicas answer and none of them receives what the leader has. If a replica is unreachable,
   * the fault may lie with the other replica alone, and another leader could not have its commits
   * acknowledged either.
   */
  async #isReplicationStalled(leader: Member): Promise<boolean> {
    const first = await this.#queryStatus(leader);
    const others = this.#otherMembers(leader);
    if (first.kind !== 'answered' || others.length < MIN_STALLED_REPLICAS) return false;
    await delay(STALL_CHECK_MS);
    const answers = await Promise.all(others.map((member) => this.#queryStatus(member)));
    let furthest: Position = ZERO_POSITION;
    for (const answer of answers) {
      if (answer.kind !== 'answered') return false;
      furthest = laterPosition(furthest, answer.status.received);
    }
    return !hasReached(furthest, first.status.received);
  }

  /** True while the leader answers ordinary requests and there is valid evidence of its leadership. */
  #isHealthy(leader: Member): boolean {
    const now = this.options.now();
    const hasEvidence = this.group.evidence.current(now)?.memberId === leader.entry.memberId;
    return hasEvidence && now - leader.answeredAtMs < CHECK_INTERVAL_MS;
  }

  /**
   * The leader reports that it no longer leads: looks for the member that leads instead, or promotes any of
   * them.
   */
  async #replaceSteppedDown(): Promise<void> {
    this.group.evidence.clearLeader();
    const members = [...this.group.members.values()];
    const statuses = await Promise.all(members.map((member) => this.#queryStatus(member)));
    let hasLeader = false;
    members.forEach((member, index) => {
      const answer = statuses[index];
      if (member.hasEnded || answer?.kind !== 'answered' || !answer.status.isPrimary) return;
      hasLeader = true;
      this.group.recordLeader(
        { memberId: member.entry.memberId, term: answer.status.term },
        answer.status.received,
      );
    });
    this.group.changed.notify();
    if (!hasLeader && members.length > 0) await this.#promote(null, NO_MEMBER_LEADS);
  }

  /**
   * The member that leads or led last. Asks all members when no leader is known, and falls back to a member
   * whose directory entry claims leadership, or to the first one.
   */
  async #findLeader(): Promise<Member | null> {
    const knownLeader = this.group.evidence.leader;
    if (knownLeader !== null) return this.#findMember(knownLeader.memberId);
    const members = [...this.group.members.values()];
    const statuses = await Promise.all(members.map((member) => this.#queryStatus(member)));
    let leader: Member | null = null;
    members.forEach((member, index) => {
      const answer = statuses[index];
      if (member.hasEnded || answer?.kind !== 'answered' || !answer.status.isPrimary) return;
      this.group.recordLeader(
        { memberId: member.entry.memberId, term: answer.status.term },
        answer.status.received,
      );
      leader = this.#findMember(this.group.evidence.leader?.memberId ?? '');
    });
    if (leader !== null) return leader;
    const claimant = members.find((member) => member.entry.saysPrimary);
    return claimant ?? members[0] ?? null;
  }

  /** The reason for which the leader has to be replaced, or `null`. */
  async #replacementReason(leader: Member): Promise<string | null> {
    const askedAtMs = this.options.now();
    let kind = 'silent';
    const hasManyClientDaemons = this.#requiredReporters(leader) > 1;
    for (
      let attempt = 0;
      attempt < (kind === 'slow' && hasManyClientDaemons ? SLOW_PROBE_ATTEMPTS : PROBE_ATTEMPTS);
      attempt += 1
    ) {
      const answer = await this.options.control.ask(leader, { kind: 'status' }, PROBE_TIMEOUT_MS);
      if (answer.kind === 'answered') return answer.status.isPrimary ? null : LEADER_STEPPED_DOWN;
      if (answer.kind === 'busy' || leader.answeredAtMs > askedAtMs) return null;
      kind = answer.kind;
    }
    if (leader.hasExited) this.#leaderLoss.recordEnd(leader.entry, askedAtMs);
    if (kind !== 'refused' && this.#isUncorroborated(leader, kind)) return null;
    return `leader is ${kind}`;
  }

  /**
   * True when too few daemons have reported a leader that does not answer this daemon. A leader with many
   * client daemons may only delay new connections. Where gateways hold the connections for all daemons, a
   * leader that delays a new connection is taken for hung only if an open connection does not answer either.
   */
  #isUncorroborated(leader: Member, kind: string): boolean {
    const { memberId } = leader.entry;
    const requiredReporters = this.#requiredReporters(leader);
    const needsOtherReporter = kind === 'slow' && this.options.usesGateways(memberId);
    if (requiredReporters === 1 && !needsOtherReporter) return false;
    return this.#suspicions.count('silent', memberId, this.options.now()) < requiredReporters;
  }

  /** Number of daemons that have to report the same suspicion. */
  #requiredReporters(leader: Member): number {
    const hasManyClientDaemons =
      this.options.connectedDaemonCount(leader.entry.memberId) >= MANY_CLIENT_DAEMONS;
    return hasManyClientDaemons ? REQUIRED_REPORTERS : 1;
  }

  /**
   * True when an earlier holder of the duty has left replicas paused. The platform may still act on that
   * holder's call, and resumed replicas would allow commits that the member named in the call does not
   * receive. False if that member is the leader and holds all that the paused replicas hold.
   */
  async #hasUnfinishedPromotion(leader: Member): Promise<boolean> {
    const answers = await Promise.all(this.#otherMembers(leader).map((member) => this.#queryStatus(member)));
    const paused = answers.flatMap((answer) =>
      answer.kind === 'answered' && answer.status.pausedForTerm !== 0 ? [answer.status] : [],
    );
    if (paused.length === 0) return false;
    const now = this.options.now();
    const call = this.group.calls.open(now);
    if (call?.memberId !== leader.entry.memberId) return true;
    this.#openCalls.recordEarlier(call, now);
    const leaderAnswer = await this.#queryStatus(leader);
    if (leaderAnswer.kind !== 'answered' || !leaderAnswer.status.isPrimary) return true;
    return !paused.every(({ received }) => hasReached(leaderAnswer.status.received, received));
  }

  /**
   * True when a leader is known and no revocation prevents evidence of it, but neither the store nor all other
   * members have given any for long: a member that does not answer would keep a healthy leader unused.
   */
  #isUnresolved(nowMs: number): boolean {
    const isLeaderlessForLong = this.group.leaderlessMs(nowMs) > UNRESOLVED_LIMIT_MS;
    return isLeaderlessForLong && this.group.evidence.mayBeGathered(nowMs);
  }

  /** Resumes replicas that were left paused by an abandoned promotion. */
  async #resumeReplicas(leader: Member): Promise<void> {
    const now = this.options.now();
    if (this.group.evidence.current(now)?.memberId === leader.entry.memberId) return;
    for (const member of this.#otherMembers(leader)) {
      const answer = await this.#queryStatus(member);
      if (answer.kind !== 'answered' || answer.status.pausedForTerm === 0) continue;
      this.options.log('replica_resumed', { group: this.group.name, member: member.entry.memberId });
      await this.options.control.ask(member, { kind: 'resume' }, STATUS_TIMEOUT_MS);
    }
  }

  /** @param leader - the member to be replaced; `null` when every member may succeed */
  async #promote(leader: Member | null, reason: string): Promise<void> {
    if (this.#otherMembers(leader).length === 0) return;
    this.#suspicions.clear();
    /** Members that have led: what they hold was received by others, or was never acknowledged. */
    const deposed = new Set<Member>(leader === null ? [] : [leader]);
    const { evidence, lastLed } = this.group;
    const lastLeadership = { lastTerm: evidence.leader?.term ?? evidence.minimumTerm, lastLed };
    let outcome = await this.#createPromotion(leader, reason, deposed, lastLeadership).run();
    for (let retry = 0; outcome.kind === 'again' && retry < MAX_IMMEDIATE_RETRIES; retry += 1) {
      if (outcome.leader !== null) deposed.add(outcome.leader);
      outcome = await this.#createPromotion(outcome.leader, outcome.reason, deposed, lastLeadership).run();
    }
    if (outcome.kind !== 'led') {
      await delay(PROMOTION_RETRY_DELAY_MS);
      return;
    }
    // A former member leads only until another has its log: daemons route no requests to it. The next check
    // replaces it.
    if (!this.group.members.has(outcome.leader.entry.memberId)) this.#isCheckRequested = true;
  }

  #createPromotion(
    leader: Member | null,
    reason: string,
    deposed: ReadonlySet<Member>,
    lastLeadership: Pick<PromotionPorts, 'lastTerm' | 'lastLed'>,
  ): Promotion {
    const ports = {
      group: this.group,
      pauses: this.#pauses,
      options: this.options,
      stepDowns: this.#stepDowns,
      openCalls: this.#openCalls,
      leaderLoss: this.#leaderLoss,
      ...lastLeadership,
      others: () =>
        this.#otherMembers(leader).filter((member) => !deposed.has(member) && !this.#isEndedLeader(member)),
      fence: (reserveMs: number) => this.#currentFence(reserveMs),
    };
    return new Promotion(ports, leader, reason);
  }

  /** The incarnation that led last, and has ended: what it acknowledged was received by another member. */
  #isEndedLeader(member: Member): boolean {
    return member.hasEnded && member === this.group.leaderOfTerm(this.group.evidence.minimumTerm);
  }

  /**
   * The fencing token while this supervisor runs. A supervisor that was stopped takes no further action, even
   * if this daemon holds the duty again.
   */
  #currentFence(reserveMs: number): number | null {
    return this.#isStopped ? null : this.options.heldFence(reserveMs);
  }

  async #queryStatus(member: Member): Promise<ControlAnswer> {
    const answer = await this.options.control.ask(member, { kind: 'status' }, STATUS_TIMEOUT_MS);
    if (answer.kind === 'answered' && !answer.status.isPrimary)
      this.#lostIncarnations.recordStatus(member, answer.status, this.options.now());
    return answer;
  }

  #findMember(memberId: string): Member | null {
    return this.group.members.get(memberId) ?? this.group.findFormer(memberId);
  }

  #otherMembers(leader: Member | null): readonly Member[] {
    const { members, former } = this.group;
    return [...members.values(), ...former.values()].filter((member) => member !== leader);
  }
}

function formatMembers(members: readonly Member[]): string {
  return members.map(({ entry }) => formatIncarnation(entry)).join(',');
}
