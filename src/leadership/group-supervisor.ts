/**
 * The duty of one group: sees that it has a leader, and promotes another member when it has not, or when its
 * leader leaves.
 *
 * A promotion first makes every daemon let go of the old leader, then pauses all replicas, so that nothing more
 * can be acknowledged; waits until the evidence of daemons that did not answer has lapsed; promotes the member
 * that has received the most; and lets the others follow it.
 *
 * @packageDocumentation
 */
import { ChangeSignal, delay } from '../common/signal.js';
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
import { joinAcknowledged } from './acknowledged.js';
import { appoint } from './appointment.js';
import { chooseSuccessor, type SuccessorCandidate } from './choose-successor.js';
import { Doubts } from './doubts.js';
import { EndedMembers } from './ended-members.js';
import { EVIDENCE_MS, REGISTRATION_SETTLE_MS } from './leadership-evidence.js';
import type { MemberControl } from './member-control.js';
import { acknowledgedBy, hasSilent, unheard } from './order-outcomes.js';
import { ReplicaPauses, type Paused } from './replica-pauses.js';

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
  /** Gives an order to all other daemons, or to those of the given names again. */
  order(
    order: HolderOrder,
    timeoutMs: number,
    again?: ReadonlySet<string>,
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
/**
 * Pauses that took this much less than daemons wait before they count evidence came late: one that registered meanwhile
 * may hold some, in milliseconds.
 */
const REGISTER_MARGIN_MS = 100;
/** Longest wait for the other daemons, in milliseconds. */
const ORDER_MS = 200;
/** Time after a handover in which no other is begun for the same kinds of reason, in milliseconds. */
const HANDOVER_PAUSE_MS = 5000;
/** Replicas that have to agree that they receive nothing. */
const STALL_WITNESSES = 2;
/** Time that replicas have to receive what the leader has, in milliseconds. */
const STALL_LOOK_MS = 120;
/** A leader that answered within this time is asked to step down first, in milliseconds. */
const ALIVE_MS = 100;
/** How long requests under way at a leader that leaves may take to end, in milliseconds. */
const HANDOVER_REST_MS = 60;
/** Time after a promotion was given up in which none is begun, in milliseconds. */
const GIVEN_UP_REST_MS = 100;
/** A promotion is begun only when the duty is held this much longer, in milliseconds. */
const DUTY_RESERVE_MS = 400;

const LEADS_NO_LONGER = 'leader leads no longer';

type LetGoOrder = Extract<HolderOrder, { kind: 'revoke' | 'seal' }>;

/** Supervises one group while this daemon holds the duty. */
export class GroupSupervisor {
  readonly #wake = new ChangeSignal();
  #isStopped = false;
  readonly #doubts = new Doubts();
  readonly #ended = new EndedMembers();
  readonly #pauses: ReplicaPauses;
  #isNotingEnded = false;
  /** No look has been taken yet at what an earlier holder may have left paused. */
  #isNew = true;
  #suspected = false;
  #lastHandoverMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly group: MemberGroup,
    private readonly options: GroupSupervisorOptions,
  ) {
    this.#pauses = new ReplicaPauses(options.control, group, this.#ended);
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

  /** Stops after what is under way. */
  stop(): void {
    this.#isStopped = true;
    this.#wake.notify();
  }

  async #look(isSuspected: boolean): Promise<void> {
    const leader = await this.#findLeader();
    if (this.#isStopped) return;
    if (leader === null) return;
    if (leader.isLeaving) {
      await this.#promote(leader, 'leader leaves');
      return;
    }
    // Not awaited: a former member that is dark must not hold up a promotion.
    void this.#noteEnded(leader);
    if (!isSuspected && !this.#isNew && this.#isWell(leader)) return;
    const trouble = await this.#trouble(leader);
    if (trouble === LEADS_NO_LONGER) await this.#replaceLost();
    else if (trouble !== null) await this.#promote(leader, trouble);
    else await this.#lookCloser(leader);
  }

  /** The leader answers this daemon: it may still be of no use to others, or to itself. */
  async #lookCloser(leader: Member): Promise<void> {
    if (this.#isNew) {
      this.#isNew = false;
      // The platform may still act on the earlier holder's call: resumed replicas would let commits pass by that member.
      if (await this.#isOnePaused(leader)) return this.#promote(leader, 'an earlier promotion was left');
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
    const { former } = this.group;
    this.#ended.retain(former);
    const unknown = [...former.values()].filter(({ entry }) => !this.#ended.has(entry.memberId));
    if (unknown.length === 0 || this.#isNotingEnded) return;
    this.#isNotingEnded = true;
    const answers = await Promise.all(unknown.map((member) => this.#status(member)));
    const ended = unknown.filter((_, index) => answers[index]?.kind === 'refused');
    const position = ended.length === 0 ? null : await this.#logPosition(leader);
    if (position !== null) for (const { entry } of ended) this.#ended.record(entry.memberId, position);
    this.#isNotingEnded = false;
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
      if (answer?.kind !== 'answered' || !answer.status.isPrimary) return;
      isLed = true;
      this.group.evidence.believe({ memberId: member.entry.memberId, term: answer.status.term });
    });
    this.group.changed.notify();
    if (!isLed && members.length > 0) await this.#promote(null, 'no member leads');
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
      if (answer?.kind !== 'answered' || !answer.status.isPrimary) return;
      this.group.evidence.believe({ memberId: member.entry.memberId, term: answer.status.term });
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
    if (kind !== 'refused' && this.#isAloneInDoubt(leader, kind)) return null;
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

  /** True when a replica is paused. */
  async #isOnePaused(leader: Member): Promise<boolean> {
    const answers = await Promise.all(this.#others(leader).map((member) => this.#status(member)));
    return answers.some((answer) => answer.kind === 'answered' && answer.status.pausedForTerm !== 0);
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
    const { options, group } = this;
    const others = this.#others(leader);
    if (others.length === 0) return;
    const startedAtMs = options.now();
    const term = group.evidence.leader?.term ?? group.evidence.minimumTerm;
    options.log('promotion_begins', {
      group: group.name,
      leader: leader === null ? null : formatIncarnation(leader.entry),
      term,
      reason,
      others: others.map(({ entry }) => formatIncarnation(entry)).join(','),
    });
    group.evidence.revoke(term, startedAtMs);
    this.#doubts.clear();
    const isAlive =
      leader !== null && (leader.isLeaving || this.options.now() - leader.answeredAtMs < ALIVE_MS);
    const revoke: LetGoOrder = { kind: 'revoke', groupName: group.name, term };
    const revoking = options.order(revoke, ORDER_MS);
    if (leader?.isLeaving === true) {
      await revoking;
      await delay(HANDOVER_REST_MS);
    }
    const { paused, missing: missed } = await this.#pauses.pauseAll(others, term);
    const missing = missed.length;
    const pausedAtMs = options.now();
    const outcomes = await revoking;
    const areLate = pausedAtMs - startedAtMs > REGISTRATION_SETTLE_MS - REGISTER_MARGIN_MS;
    const [startedSince, heldAtOnce] = await Promise.all([
      this.#revokeStarted(outcomes, revoke),
      this.#pauses.hold(paused, term + 1),
    ]);
    const mustWait = hasSilent(outcomes) || hasSilent(startedSince) || areLate;
    if (mustWait) await delay(pausedAtMs + EVIDENCE_MS - options.now());
    const hold = mustWait ? await this.#pauses.hold(paused, term + 1) : heldAtOnce;
    const candidates = paused.map(toCandidate);
    // Requests under way at a leader that leaves may end well: it lets go itself, and is asked for its position.
    const lastOrder: LetGoOrder =
      missing > 0 && leader?.isLeaving !== true ? { ...revoke, kind: 'seal' } : revoke;
    const lastWords = missing > 0 ? await this.#askAgain(outcomes, lastOrder) : [];
    const acknowledged = joinAcknowledged([
      group.acknowledged,
      ...[...outcomes.values(), ...lastWords].map(acknowledgedBy),
    ]);
    const successor = hold ? chooseSuccessor({ candidates, missing, acknowledged }) : null;
    options.log('promotion_candidates', {
      group: group.name,
      received: paused
        .map(({ member, status }) => `${formatIncarnation(member.entry)}:${formatPosition(status.received)}`)
        .join(','),
      missed: missed.map(formatIncarnation).join(','),
      former: [...group.former.keys()].join(','),
      missing,
      acknowledged: formatPosition(acknowledged.latest),
      limit: acknowledged.limit === null ? null : formatPosition(acknowledged.limit),
      unheard: unheard(outcomes),
    });
    if (isAlive && successor !== null) await this.#demote(leader, term + 1);
    const isDone = successor !== null && (await this.#appoint(successor, lastOrder, reason));
    if (!isDone) {
      options.log('promotion_given_up', {
        group: group.name,
        reason: givenUpReason(hold, successor),
        paused: paused.length,
        missing,
      });
      await this.#undo(paused);
      await delay(GIVEN_UP_REST_MS);
      return;
    }
    options.log('promotion_ends', {
      group: group.name,
      leader: successor.memberId,
      ms: Math.round(options.now() - startedAtMs),
    });
    if (this.#fence(0) !== null)
      await this.#pauses.resumeAll(
        paused.map(({ member }) => member).filter((member) => member.entry.memberId !== successor.memberId),
      );
    // A former member leads only until another has its log: no daemon gives it work.
    if (group.former.has(successor.memberId)) this.#suspected = true;
    if (!isAlive && leader !== null) await this.#demote(leader, term + 1);
  }

  /**
   * Asks those daemons again whose process did not run before the pauses: one that has started since may have asked a
   * replica that was not paused yet. What it asks from now on is no evidence.
   */
  async #revokeStarted(
    outcomes: ReadonlyMap<string, OrderOutcome>,
    revoke: LetGoOrder,
  ): Promise<ReadonlyMap<string, OrderOutcome>> {
    const gone = [...outcomes].filter(([, { kind }]) => kind === 'gone').map(([name]) => name);
    return gone.length === 0 ? new Map() : this.options.order(revoke, ORDER_MS, new Set(gone));
  }

  /**
   * What the daemons have acknowledged by now, if all of them have let go. A write that was under way then may have been
   * acknowledged since, on the word of a replica that could not be paused; one that is answered later still is not.
   */
  async #askAgain(
    outcomes: ReadonlyMap<string, OrderOutcome>,
    order: LetGoOrder,
  ): Promise<readonly OrderOutcome[]> {
    const haveAllLetGo = [...outcomes.values()].every(({ kind }) => kind === 'answered');
    if (!haveAllLetGo) return [];
    this.#letGo(order);
    const again = await this.options.order(order, ORDER_MS, new Set(outcomes.keys()));
    return [...again.values()];
  }

  /** This daemon's own part in an order to let go. */
  #letGo({ kind, term }: LetGoOrder): void {
    const { evidence } = this.group;
    if (kind === 'seal') evidence.seal(term, this.options.now());
    else evidence.revoke(term, this.options.now());
  }

  /** Asks the platform for the promotion and waits until the member leads. */
  async #appoint(successor: SuccessorCandidate, order: LetGoOrder, reason: string): Promise<boolean> {
    const { options, group } = this;
    const { memberId } = successor;
    const member = this.#memberOf(memberId);
    if (member === null) return false;
    const call = (timeoutMs: number): Promise<boolean> | null => {
      const fence = this.#fence(DUTY_RESERVE_MS);
      if (fence === null) return null;
      options.log('promotion_call', { group: group.name, member: memberId, fence, reason });
      return options.promotion.promote(group.name, memberId, fence, timeoutMs);
    };
    const ports = {
      call,
      status: () => this.#status(member),
      letGo: () => {
        this.#letGo(order);
        void options.order(order, ORDER_MS);
      },
      now: options.now,
    };
    const status = await appoint(ports, order.term);
    if (status === null) return false;
    options.log('promoted_member_leads', {
      group: group.name,
      member: formatIncarnation(member.entry),
      term: status.term,
      received: formatPosition(status.received),
      expected: formatPosition(successor.received),
    });
    this.#announce(memberId, status.term);
    return true;
  }

  #announce(memberId: string, term: number): void {
    this.group.evidence.believe({ memberId, term });
    this.options.confirmLeader();
    const order: HolderOrder = { kind: 'leader', groupName: this.group.name, memberId, term };
    void this.options.order(order, ORDER_MS);
  }

  /** The fence while this supervision acts under the duty; one that was stopped acts no more, though the duty may be back. */
  #fence(reserveMs: number): number | null {
    return this.#isStopped ? null : this.options.heldFence(reserveMs);
  }

  /** Lets replicas and daemons go on. Without the duty that is left to the next holder, whose pauses these may be. */
  async #undo(paused: readonly Paused[]): Promise<void> {
    const { options, group } = this;
    if (this.#fence(0) === null) return;
    await this.#pauses.resumeAll(paused.map(({ member }) => member));
    group.evidence.allowAgain();
    void options.order({ kind: 'allow', groupName: group.name }, ORDER_MS);
  }

  /** Has the former leader follow; the log says what it had received by then. */
  async #demote(leader: Member, term: number): Promise<void> {
    const answer = await this.options.control.ask(leader, { kind: 'demote', term }, STATUS_MS);
    this.options.log('leader_demoted', {
      group: this.group.name,
      member: formatIncarnation(leader.entry),
      outcome: answer.kind,
      received: answer.kind === 'answered' ? formatPosition(answer.status.received) : null,
    });
  }

  #status(member: Member): ReturnType<MemberControl['ask']> {
    return this.options.control.ask(member, { kind: 'status' }, STATUS_MS);
  }

  #memberOf(memberId: string): Member | null {
    return this.group.members.get(memberId) ?? this.group.former.get(memberId) ?? null;
  }

  #others(leader: Member | null): readonly Member[] {
    const { members, former } = this.group;
    return [...members.values(), ...former.values()].filter((member) => member !== leader);
  }
}

function givenUpReason(hold: boolean, successor: SuccessorCandidate | null): string {
  if (!hold) return 'a replica has lost its pause';
  return successor === null ? 'no member is shown to hold all commits' : 'the platform did not do it';
}

function toCandidate({ member, status }: Paused): SuccessorCandidate {
  return { memberId: member.entry.memberId, received: status.received, isLeaving: member.isLeaving };
}
