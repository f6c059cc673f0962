/**
 * The duty of one group: sees that it has a leader, and promotes another member when it has not, or when its
 * leader leaves.
 *
 * How it promotes is in `promotion.ts`.
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
import { Doubts } from './doubts.js';
import { EndedMembers } from './ended-members.js';
import { LeaderLoss } from './leader-loss.js';
import { LostLives } from './lost-lives.js';
import type { ControlAnswer, MemberControl } from './member-control.js';
import { OpenCalls } from './open-calls.js';
import { DUTY_RESERVE_MS, Promotion, type PromotionPorts } from './promotion.js';
import { ReplicaPauses } from './replica-pauses.js';
import { StepDowns } from './step-downs.js';

/** Asks the platform to make a member lead. Rejects when it may or may not have been heard. */
export interface PromotionPort {
  /**
   * @param fence - rises with each holder of the duty
   * @param timeoutMs - after it, nothing of the call may arrive any more; one that has arrived may still be acted on
   * @returns false when the platform says that the member does not run, or when it cannot have heard the call
   */
  promote(groupName: string, memberId: string, fence: number, timeoutMs: number): Promise<boolean>;
}

/** What a supervisor needs. */
export interface GroupSupervisorOptions {
  readonly control: MemberControl;
  readonly promotion: PromotionPort;
  /** The fence while the duty is held for so many milliseconds more, or `null`. */
  heldFence(reserveMs: number): number | null;
  /** Gives an order to all other daemons, or to some of them. */
  order(
    order: HolderOrder,
    timeoutMs: number,
    recipients?: Recipients,
  ): Promise<ReadonlyMap<string, OrderOutcome>>;
  /** Daemons that connect to a member themselves. */
  callerCount(memberId: string): number;
  /** True when those hold their connections to it for all daemons. */
  isLent(memberId: string): boolean;
  /** A member leads by this daemon's own promotion. */
  confirmLeader(): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/**
 * Time in which the answers to requests usually tell where the log of the leader stands, in milliseconds; how often it is asked where
 * they do not.
 */
const TRAFFIC_MS = 150;
const LOG_QUESTIONS = 4;
/** Time between looks at a group that seems well, in milliseconds. */
const LOOK_MS = 1000;
/** Longest wait for a member's status, in milliseconds. */
const STATUS_MS = 200;
/** Longest wait for a sign of life of a leader that is doubted, in milliseconds, and how often it is asked. */
const LIFE_SIGN_MS = 130;
const LIFE_SIGNS = 2;
/** How often a leader is asked that has many callers and keeps new connections waiting. */
const SLOW_SIGNS = 4;
/** Callers of a leader from which on several of them have to find it silent, and how many. */
const MANY_CALLERS = 9;
const CORROBORATING_CALLERS = 2;
/** Time after a handover in which no other is begun for the same kinds of reason, in milliseconds. */
const HANDOVER_PAUSE_MS = 5000;
/** Replicas that have to agree that they receive nothing. */
const STALL_WITNESSES = 2;
/** Time that replicas have to receive what the leader has, in milliseconds. */
const STALL_LOOK_MS = 120;
/** Promotions that follow one another at once, the replicas being paused still. */
const REPEATS = 3;
/** Time after a promotion was given up in which none is begun, in milliseconds. */
const GIVEN_UP_REST_MS = 100;

const LEADS_NO_LONGER = 'leader leads no longer';
const NO_MEMBER_LEADS = 'no member leads';

/** Supervises one group while this daemon holds the duty. */
export class GroupSupervisor {
  readonly #wake = new ChangeSignal();
  #isStopped = false;
  readonly #doubts = new Doubts();
  readonly #ended = new EndedMembers();
  readonly #lost = new LostLives();
  readonly #stepDowns = new StepDowns();
  readonly #openCalls = new OpenCalls();
  readonly #leaderLoss = new LeaderLoss();
  readonly #pauses: ReplicaPauses;
  #isNotingEnded = false;
  /** When a daemon was last seen to have ended, in monotonic milliseconds. */
  #daemonEndedAtMs = Number.NEGATIVE_INFINITY;
  #isBoundingEnds = false;
  /** No look has been taken yet at what an earlier holder may have left paused. */
  #isNew = true;
  #suspected = false;
  #lastHandoverMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly group: MemberGroup,
    private readonly options: GroupSupervisorOptions,
  ) {
    this.#pauses = new ReplicaPauses(options.control, group, this.#ended, this.#lost, options.now);
  }

  /** Supervises until {@link GroupSupervisor.stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isSuspected = this.#suspected;
      this.#suspected = false;
      if (this.options.heldFence(DUTY_RESERVE_MS) !== null) await this.#look(isSuspected);
      if (!this.#suspected) await this.#wake.wait(LOOK_MS);
    }
  }

  /** Somebody doubts the leader, or the directory has changed: look now. */
  suspect(suspicion?: Suspicion): void {
    if (suspicion !== undefined) this.#doubts.add(suspicion, this.options.now());
    this.#suspected = true;
    this.#wake.notify();
  }

  /**
   * A daemon has ended. What it had acknowledged is bounded by where the log of the leader stands from now on: that has to be known before the
   * leader is lost, also where no request asks it, as after the end of its only gateway.
   */
  async daemonEnded(): Promise<void> {
    this.#daemonEndedAtMs = this.options.now();
    // One question covers all that have ended before it.
    if (this.#isBoundingEnds) return;
    this.#isBoundingEnds = true;
    let endedAtMs = this.#daemonEndedAtMs;
    for (let question = 0; question < LOG_QUESTIONS; question += 1) {
      await delay(TRAFFIC_MS);
      if (this.#isStopped || this.group.positions.floorSince(this.#daemonEndedAtMs) !== null) break;
      if (endedAtMs !== this.#daemonEndedAtMs) question = 0;
      endedAtMs = this.#daemonEndedAtMs;
      await this.#askLog();
    }
    this.#isBoundingEnds = false;
  }

  /** Asks the proven leader where its log stands. */
  async #askLog(): Promise<void> {
    const leader = this.group.leader(this.options.now());
    if (leader === null) return;
    const askedAtMs = this.options.now();
    const position = await this.#logPosition(leader);
    if (position !== null) this.group.recordLed(askedAtMs, position);
  }

  /** Stops after what is under way. */
  stop(): void {
    this.#isStopped = true;
    this.#wake.notify();
  }

  async #look(isSuspected: boolean): Promise<void> {
    const leader = await this.#findLeader();
    if (this.#isStopped) return;
    if (leader === null) return;
    const believed = this.group.evidence.leader;
    if (believed !== null) this.group.learnLeader(believed, null);
    // Who is taken for the leader only because nobody is known to lead may hold what the others lack.
    const isGuess = this.group.evidence.leader === null && !leader.entry.saysPrimary;
    if (leader.isLeaving) {
      await this.#promote(isGuess ? null : leader, isGuess ? NO_MEMBER_LEADS : 'leader leaves');
      return;
    }
    // Not awaited: a former member that is dark must not hold up a promotion.
    void this.#noteEnded(leader);
    if (!isSuspected && !this.#isNew && this.#isWell(leader)) return;
    const trouble = await this.#trouble(leader);
    if (trouble === LEADS_NO_LONGER) await this.#replaceLost();
    else if (trouble !== null) await this.#promote(isGuess ? null : leader, trouble);
    else await this.#lookCloser(leader);
  }

  /** The leader answers this daemon: it may still be of no use to others, or to itself. */
  async #lookCloser(leader: Member): Promise<void> {
    this.#leaderLoss.answered(leader.entry);
    if (this.#isNew) {
      this.#isNew = false;
      if (await this.#isLeftUnfinished(leader)) return this.#promote(leader, 'an earlier promotion was left');
    }
    const now = this.options.now();
    const { memberId } = leader.entry;
    if (now - this.#lastHandoverMs > HANDOVER_PAUSE_MS) {
      const without = this.#doubts.withoutLeader(memberId, this.options.callerCount(memberId), now);
      const isStalled = this.#doubts.has('stalled', memberId, now) && (await this.#isStalled(leader));
      if (isStalled) return this.#handOver(leader, 'commits stall');
      if (this.#doubts.count('failing', memberId, now) >= this.#corroboration(leader))
        return this.#handOver(leader, 'leader fails requests');
      if (without > 0) return this.#handOver(leader, `leader out of reach of ${without} daemons`);
    }
    await this.#repair(leader);
  }

  /** Finds out which former members have ended, and asks the leader then how far the log has come. */
  async #noteEnded(leader: Member): Promise<void> {
    const parting = this.#parting(leader);
    this.#ended.retain(parting);
    const unknown = parting.filter((member) => !this.#ended.has(member));
    if ((unknown.length === 0 && !this.#lost.isLimitOpen) || this.#isNotingEnded) return;
    this.#isNotingEnded = true;
    const areEnded = await Promise.all(unknown.map((member) => this.#hasEnded(member)));
    const ended = unknown.filter((_, index) => areEnded[index]);
    const askedAtMs = this.options.now();
    const isAsked = ended.length > 0 || this.#lost.isLimitOpen;
    const position = isAsked ? await this.#logPosition(leader) : null;
    if (position !== null) {
      for (const member of ended) this.#ended.record(member, position);
      this.#lost.record(position, askedAtMs);
    }
    if (isAsked) this.#tellEnded(ended, position);
    this.#isNotingEnded = false;
  }

  #tellEnded(ended: readonly Member[], position: Position | null): void {
    this.options.log('members_ended', {
      group: this.group.name,
      members: ended.map(({ entry }) => formatIncarnation(entry)).join(','),
      limit: position === null ? null : formatPosition(position),
    });
  }

  /** Former members, and those whose entry is gone: a life that is told from the next one and refuses has ended for good. */
  #parting(leader: Member): readonly Member[] {
    const { members, former } = this.group;
    const unlisted = [...members.values()].filter(
      ({ entry, missingSinceMs }) => missingSinceMs !== null && entry.bornMs !== null,
    );
    return [...former.values(), ...unlisted.filter((member) => member !== leader)];
  }

  async #hasEnded(member: Member): Promise<boolean> {
    return member.hasEnded || (await this.#status(member)).kind === 'refused';
  }

  /** How far the log has come, if the leader answers and is proven to lead; else `null`. */
  async #logPosition(leader: Member): Promise<Position | null> {
    const answer = await this.#status(leader);
    const proven = this.group.evidence.current(this.options.now());
    const isProven =
      answer.kind === 'answered' &&
      answer.status.isPrimary &&
      proven?.memberId === leader.entry.memberId &&
      proven.term === answer.status.term;
    return isProven ? answer.status.received : null;
  }

  async #handOver(leader: Member, reason: string): Promise<void> {
    this.#lastHandoverMs = this.options.now();
    await this.#promote(leader, reason);
  }

  /**
   * True when no replica receives what the leader has, and all of them answer. With one out of reach, the trouble
   * may be the other's alone, and another leader could not have its commits acknowledged either.
   */
  async #isStalled(leader: Member): Promise<boolean> {
    const first = await this.#status(leader);
    const others = this.#others(leader);
    if (first.kind !== 'answered' || others.length < STALL_WITNESSES) return false;
    await delay(STALL_LOOK_MS);
    const answers = await Promise.all(others.map((member) => this.#status(member)));
    let furthest: Position = ZERO_POSITION;
    for (const answer of answers) {
      if (answer.kind !== 'answered') return false;
      furthest = laterPosition(furthest, answer.status.received);
    }
    return !hasReached(furthest, first.status.received);
  }

  /** True while the leader answers ordinary requests and there is evidence of its lead. */
  #isWell(leader: Member): boolean {
    const now = this.options.now();
    const isLed = this.group.evidence.current(now)?.memberId === leader.entry.memberId;
    return isLed && now - leader.answeredAtMs < LOOK_MS;
  }

  /** The leader denies its lead: finds the member that leads instead, or promotes any of them. */
  async #replaceLost(): Promise<void> {
    this.group.evidence.loseLeader();
    const members = [...this.group.members.values()];
    const statuses = await Promise.all(members.map((member) => this.#status(member)));
    let isLed = false;
    members.forEach((member, index) => {
      const answer = statuses[index];
      if (member.hasEnded || answer?.kind !== 'answered' || !answer.status.isPrimary) return;
      isLed = true;
      this.group.learnLeader(
        { memberId: member.entry.memberId, term: answer.status.term },
        answer.status.received,
      );
    });
    this.group.changed.notify();
    if (!isLed && members.length > 0) await this.#promote(null, NO_MEMBER_LEADS);
  }

  /** The member that leads or led last; asks all members when nothing is known. */
  async #findLeader(): Promise<Member | null> {
    const believed = this.group.evidence.leader;
    if (believed !== null) return this.#memberOf(believed.memberId);
    const members = [...this.group.members.values()];
    const statuses = await Promise.all(members.map((member) => this.#status(member)));
    let leader: Member | null = null;
    members.forEach((member, index) => {
      const answer = statuses[index];
      if (member.hasEnded || answer?.kind !== 'answered' || !answer.status.isPrimary) return;
      this.group.learnLeader(
        { memberId: member.entry.memberId, term: answer.status.term },
        answer.status.received,
      );
      leader = this.#memberOf(this.group.evidence.leader?.memberId ?? '');
    });
    if (leader !== null) return leader;
    const claimant = members.find((member) => member.entry.saysPrimary);
    return claimant ?? members[0] ?? null;
  }

  /** Why the leader has to be replaced, or `null`. */
  async #trouble(leader: Member): Promise<string | null> {
    const askedAtMs = this.options.now();
    let kind = 'silent';
    const isManyCallers = this.#corroboration(leader) > 1;
    for (
      let attempt = 0;
      attempt < (kind === 'slow' && isManyCallers ? SLOW_SIGNS : LIFE_SIGNS);
      attempt += 1
    ) {
      const answer = await this.options.control.ask(leader, { kind: 'status' }, LIFE_SIGN_MS);
      if (answer.kind === 'answered') return answer.status.isPrimary ? null : LEADS_NO_LONGER;
      if (answer.kind === 'busy' || leader.answeredAtMs > askedAtMs) return null;
      kind = answer.kind;
    }
    if (kind === 'refused') this.#leaderLoss.refused(leader.entry, askedAtMs);
    else if (this.#isAloneInDoubt(leader, kind)) return null;
    return `leader is ${kind}`;
  }

  /**
   * True when a leader with many callers is silent to this daemon alone: it may be that it only keeps new connections
   * waiting. Where others hold the connections for all, one that only keeps a new connection waiting is taken for hung
   * when an open one is silent, too.
   */
  #isAloneInDoubt(leader: Member, kind: string): boolean {
    const { memberId } = leader.entry;
    const corroboration = this.#corroboration(leader);
    const mustBeSeenByOthers = kind === 'slow' && this.options.isLent(memberId);
    if (corroboration === 1 && !mustBeSeenByOthers) return false;
    return this.#doubts.count('silent', memberId, this.options.now()) < corroboration;
  }

  /** Daemons that have to agree on a doubt. */
  #corroboration(leader: Member): number {
    const isManyCallers = this.options.callerCount(leader.entry.memberId) >= MANY_CALLERS;
    return isManyCallers ? CORROBORATING_CALLERS : 1;
  }

  /**
   * True when an earlier holder of the duty has left replicas paused: the platform may still act on its call, and resumed replicas would
   * let commits pass by the member that it names. Not so where that is the leader, and it holds all that they do.
   */
  async #isLeftUnfinished(leader: Member): Promise<boolean> {
    const answers = await Promise.all(this.#others(leader).map((member) => this.#status(member)));
    const paused = answers.flatMap((answer) =>
      answer.kind === 'answered' && answer.status.pausedForTerm !== 0 ? [answer.status] : [],
    );
    if (paused.length === 0) return false;
    const now = this.options.now();
    const call = this.group.calls.open(now);
    if (call?.memberId !== leader.entry.memberId) return true;
    this.#openCalls.recordEarlier(call, now);
    const lead = await this.#status(leader);
    if (lead.kind !== 'answered' || !lead.status.isPrimary) return true;
    return !paused.every(({ received }) => hasReached(lead.status.received, received));
  }

  /** Lets replicas go on that a promotion given up left paused. */
  async #repair(leader: Member): Promise<void> {
    const now = this.options.now();
    if (this.group.evidence.current(now)?.memberId === leader.entry.memberId) return;
    for (const member of this.#others(leader)) {
      const answer = await this.#status(member);
      if (answer.kind !== 'answered' || answer.status.pausedForTerm === 0) continue;
      this.options.log('replica_resumed', { group: this.group.name, member: member.entry.memberId });
      await this.options.control.ask(member, { kind: 'resume' }, STATUS_MS);
    }
  }

  /** @param leader - the member to be replaced; `null` when every member may succeed */
  async #promote(leader: Member | null, reason: string): Promise<void> {
    if (this.#others(leader).length === 0) return;
    this.#doubts.clear();
    /** Whoever led: what they hold was received by others, or is of no use. */
    const deposed = new Set<Member>(leader === null ? [] : [leader]);
    const { evidence, lastLed } = this.group;
    const led = { lastTerm: evidence.leader?.term ?? evidence.minimumTerm, lastLed };
    let outcome = await this.#promotion(leader, reason, deposed, led).run();
    for (let repeat = 0; outcome.kind === 'again' && repeat < REPEATS; repeat += 1) {
      if (outcome.leader !== null) deposed.add(outcome.leader);
      outcome = await this.#promotion(outcome.leader, outcome.reason, deposed, led).run();
    }
    if (outcome.kind !== 'led') {
      await delay(GIVEN_UP_REST_MS);
      return;
    }
    // A former member leads only until another has its log: no daemon gives it work.
    if (!this.group.members.has(outcome.leader.entry.memberId)) this.#suspected = true;
  }

  #promotion(
    leader: Member | null,
    reason: string,
    deposed: ReadonlySet<Member>,
    led: Pick<PromotionPorts, 'lastTerm' | 'lastLed'>,
  ): Promotion {
    const ports = {
      group: this.group,
      pauses: this.#pauses,
      options: this.options,
      stepDowns: this.#stepDowns,
      openCalls: this.#openCalls,
      leaderLoss: this.#leaderLoss,
      ...led,
      others: () =>
        this.#others(leader).filter((member) => !deposed.has(member) && !this.#isEndedLeader(member)),
      fence: (reserveMs: number) => this.#fence(reserveMs),
    };
    return new Promotion(ports, leader, reason);
  }

  /** The life that led last, and has ended: what it had acknowledged was received by another. */
  #isEndedLeader(member: Member): boolean {
    return member.hasEnded && member === this.group.ledBy(this.group.evidence.minimumTerm);
  }

  /** The fence while this supervision acts under the duty; one that was stopped acts no more, though the duty may be back. */
  #fence(reserveMs: number): number | null {
    return this.#isStopped ? null : this.options.heldFence(reserveMs);
  }

  async #status(member: Member): Promise<ControlAnswer> {
    const answer = await this.options.control.ask(member, { kind: 'status' }, STATUS_MS);
    if (answer.kind === 'answered' && !answer.status.isPrimary)
      this.#lost.heard(member, answer.status, this.options.now());
    return answer;
  }

  #memberOf(memberId: string): Member | null {
    return this.group.members.get(memberId) ?? this.group.formerOf(memberId);
  }

  #others(leader: Member | null): readonly Member[] {
    const { members, former } = this.group;
    return [...members.values(), ...former.values()].filter((member) => member !== leader);
  }
}
