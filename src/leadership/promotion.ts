/**
 * One promotion: has a member lead that is proven to hold every acknowledged commit, and is proven to do so at the last moment
 * before the platform is called.
 *
 * Every daemon lets go of the leader, and the replicas are paused; the evidence of daemons that do not answer lapses. Then every daemon says
 * its last word: it acknowledges nothing of the old term after it. Only after that all replicas that are listed by then are looked at
 * once more: their pauses must stand, and what they have received decides. What was said or listed before proves nothing: a replica
 * may have started, or started again, and received on, as long as a daemon acknowledged what the old leader answered.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { HolderOrder, OrderOutcome } from '../cluster/peer-mesh.js';
import { formatPosition, hasReached, type Position } from '../position/position.js';
import type { MemberStatus } from '../relay/member-link.js';
import { formatIncarnation, type Incarnation } from '../topology/incarnation.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { joinAcknowledged, type Acknowledged } from './acknowledged.js';
import { appoint, LATE_CALL_MS, type AppointmentOutcome } from './appointment.js';
import { chooseSuccessor, type SuccessorCandidate } from './choose-successor.js';
import { EVIDENCE_VALIDITY_MS, REGISTRATION_SETTLE_MS } from './leadership-evidence.js';
import type { GroupSupervisorOptions } from './group-supervisor.js';
import { lifeThatLed, type LastLed } from './last-led.js';
import type { LeaderLoss } from './leader-loss.js';
import type { OpenCall, OpenCalls } from './open-calls.js';
import type { StepDowns } from './step-downs.js';
import { acknowledgedBy, hasSilent, ledSinceOf, unheard } from './order-outcomes.js';
import { describeMissing, type MissingLife } from './missing-life.js';
import type { Paused, Pauses, ReplicaPauses } from './replica-pauses.js';

/**
 * Pauses that took this much less than daemons wait before they count evidence came late: one that registered meanwhile
 * may hold some, in milliseconds.
 */
const REGISTER_MARGIN_MS = 100;
/** Longest wait for the other daemons, in milliseconds. */
const ORDER_MS = 200;
/** Longest wait for a member's status, in milliseconds. */
const STATUS_MS = 200;
/** A leader that answered within this time is asked to step down first, in milliseconds. */
const ALIVE_MS = 100;
/** How long requests under way at a leader that leaves may take to end, in milliseconds. */
const HANDOVER_REST_MS = 60;
/** Time between two questions to a member that an earlier holder has named, in milliseconds. */
const AWAITED_LOOK_MS = 100;
/** Time between two orders to let go while evidence is waited out, in milliseconds: one holds for less than the whole wait. */
const REVOKE_AGAIN_MS = 700;
/** Time between two looks at the other replicas while the platform acts, in milliseconds. */
const KEEP_PAUSED_MS = 100;
/** A promotion is called for only when the duty is held this much longer, in milliseconds. */
export const DUTY_RESERVE_MS = 400;

/** An order to daemons to let go of a leader. */
type LetGoOrder = Extract<HolderOrder, { kind: 'revoke' | 'seal' }>;

/** What a promotion needs beside what its supervisor has. */
export interface PromotionPorts {
  readonly group: MemberGroup;
  readonly pauses: ReplicaPauses;
  readonly options: GroupSupervisorOptions;
  readonly stepDowns: StepDowns;
  readonly openCalls: OpenCalls;
  readonly leaderLoss: LeaderLoss;
  /** The term in which something may have been acknowledged last: the first of the promotions that follow each other is over it. */
  readonly lastTerm: number;
  /** Who led last when that one began, as far as this daemon had heard. */
  readonly lastLed: LastLed | null;
  /** The members to be asked as they are known now: all but the leader. */
  others(): readonly Member[];
  /** The fence while the supervision acts under the duty for so many milliseconds more, or `null`. */
  fence(reserveMs: number): number | null;
}

/** How a promotion went. */
export type PromotionOutcome =
  | { readonly kind: 'led'; readonly leader: Member }
  | { readonly kind: 'given_up' }
  /** To be followed by another at once, over this leader; the replicas are paused still. */
  | { readonly kind: 'again'; readonly leader: Member | null; readonly reason: string };

/** What is known at the last moment before the choice. */
interface LastLook {
  readonly paused: readonly Paused[];
  readonly missing: readonly MissingLife[];
  /** No replica had lost its pause. */
  readonly stands: boolean;
}

/** One promotion over a leader. */
export class Promotion {
  readonly #startedAtMs: number;
  readonly #term: number;
  readonly #isAlive: boolean;
  /** Replicas whose pause is being looked at. */
  readonly #lookedAt = new Set<Member>();
  #keptAtMs = Number.NEGATIVE_INFINITY;
  /** When the daemons had let go that did. */
  #letGoAtMs = Number.NEGATIVE_INFINITY;
  /** A daemon did not say that it let go: it may hold evidence for as long as that lasts. */
  #isOneSilent = false;
  /** No pause is taken any more. */
  #isOver = false;
  /** The life that led the last term in which something may have been acknowledged; `null` while nobody is known to know. */
  #ledBy: Incarnation | null = null;
  /** The last call of the platform, and until when it may act. */
  #call: { readonly memberId: string; readonly fence: number; readonly untilMs: number } | null = null;
  /** All members that were asked to pause. */
  readonly #asked = new Set<Member>();
  /** All members that were paused. */
  readonly #paused = new Set<Member>();

  /** @param leader - the member to be replaced; `null` when every member may succeed */
  constructor(
    private readonly ports: PromotionPorts,
    private readonly leader: Member | null,
    private readonly reason: string,
  ) {
    const { options, group } = ports;
    this.#startedAtMs = options.now();
    this.#term = group.evidence.leader?.term ?? group.evidence.minimumTerm;
    this.#isAlive =
      leader !== null && (leader.isLeaving || this.#startedAtMs - leader.answeredAtMs < ALIVE_MS);
  }

  /** Promotes, or gives up and lets members and daemons go on. */
  async run(): Promise<PromotionOutcome> {
    const { options, group } = this.ports;
    const others = this.ports.others();
    options.log('promotion_begins', {
      group: group.name,
      leader: this.leader === null ? null : formatIncarnation(this.leader.entry),
      term: this.#term,
      reason: this.reason,
      others: others.map(({ entry }) => formatIncarnation(entry)).join(','),
    });
    const { pauses, outcomes } = await this.#letGo(others);
    const words = await this.#takeLastWords(outcomes);
    await this.#awaitOpenCalls();
    const look = await this.#lastLook(pauses);
    if (this.#isSuperseded()) return this.#giveUp(look);
    this.#noteOwnLife(look);
    const told = joinAcknowledged([group.acknowledged, ...words]);
    // A daemon that is silent may still hold evidence of a replica that is missing.
    const acknowledged = this.#isOneSilent ? told : this.ports.stepDowns.bound(this.#term, told);
    const successor = this.#choose(look, acknowledged, unheard(outcomes));
    if (successor === null) return this.#giveUp(look);
    if (this.#isAlive) {
      // A leader that steps down for a call that cannot be made leaves the group without one.
      if (this.ports.fence(DUTY_RESERVE_MS + STATUS_MS) === null) return this.#giveUp(look, successor);
      await this.#demoteLeader();
    }
    const outcome = await this.#appoint(successor);
    if ('status' in outcome) this.ports.openCalls.record(outcome.openUntilMs);
    switch (outcome.kind) {
      case 'leads':
        this.#announce(successor.member, outcome.status);
        return this.#end(successor);
      case 'lacks':
        return this.#replaceShort(successor, outcome.status, look);
      case 'ended':
        // The platform may start the member again and have it lead: the pauses stay until another does.
        if (this.ports.fence(0) === null) return this.#giveUp(look, successor);
        return { kind: 'again', leader: this.leader, reason: 'the named member has ended' };
      case 'not_done':
        return this.#giveUp(look, successor);
    }
  }

  /**
   * Has all daemons let go of the leader and pauses the replicas; returns when the evidence of daemons that did not answer has lapsed.
   */
  async #letGo(
    others: readonly Member[],
  ): Promise<{ readonly pauses: Pauses; readonly outcomes: ReadonlyMap<string, OrderOutcome> }> {
    const { options } = this.ports;
    const revoking = this.#revoke();
    if (this.leader?.isLeaving === true) {
      // What is under way at a leader that leaves may end well.
      await revoking;
      await delay(HANDOVER_REST_MS);
    }
    const pauses = await this.#pause(others, []);
    const pausedAtMs = options.now();
    const first = await revoking;
    this.#letGoAtMs = options.now();
    const outcomes = new Map([...first, ...(await this.#revokeStarted(first))]);
    this.#isOneSilent = hasSilent(outcomes);
    if (this.#isOneSilent || this.#isLate(pausedAtMs))
      await this.#waitRevoked(pausedAtMs + EVIDENCE_VALIDITY_MS);
    return { pauses, outcomes };
  }

  /** Has this daemon and all others let go of the leader. */
  #revoke(): Promise<ReadonlyMap<string, OrderOutcome>> {
    const { options, group } = this.ports;
    group.evidence.revoke(this.#term, options.now());
    return options.order(this.#order('revoke'), ORDER_MS);
  }

  #order(kind: LetGoOrder['kind']): LetGoOrder {
    return { kind, groupName: this.ports.group.name, term: this.#term };
  }

  /** @param pausedBefore - may cover what members that have ended had */
  async #pause(members: readonly Member[], pausedBefore: readonly Paused[]): Promise<Pauses> {
    for (const member of members) this.#asked.add(member);
    const pauses = await this.ports.pauses.pauseAll(members, this.#term, pausedBefore);
    for (const { member } of pauses.paused) this.#paused.add(member);
    return pauses;
  }

  /**
   * Asks those daemons again whose process did not run before the pauses: one that has started since may have asked a
   * replica that was not paused yet. What it asks from now on is no evidence.
   */
  async #revokeStarted(
    outcomes: ReadonlyMap<string, OrderOutcome>,
  ): Promise<ReadonlyMap<string, OrderOutcome>> {
    const gone = [...outcomes].filter(([, { kind }]) => kind === 'gone').map(([name]) => name);
    if (gone.length === 0) return new Map();
    return this.ports.options.order(this.#order('revoke'), ORDER_MS, { only: new Set(gone) });
  }

  /** Waits; an order to let go lasts for a while only, so it is given again. */
  async #waitRevoked(untilMs: number): Promise<void> {
    const { now } = this.ports.options;
    for (;;) {
      const leftMs = untilMs - now();
      if (leftMs <= 0) return;
      await delay(Math.min(leftMs, REVOKE_AGAIN_MS));
      if (now() < untilMs) void this.#revoke();
    }
  }

  /**
   * What the daemons have acknowledged, for good: they acknowledge nothing of the term after they have said it, and those that do not say
   * it have no evidence left when this returns. A write that was under way when they let go may have been acknowledged since.
   */
  async #takeLastWords(outcomes: ReadonlyMap<string, OrderOutcome>): Promise<readonly Acknowledged[]> {
    const { options, group } = this.ports;
    group.evidence.seal(this.#term, options.now());
    const sealedAtMs = options.now();
    const silent = new Set([...outcomes].filter(([, { kind }]) => kind === 'silent').map(([name]) => name));
    // Also those that have registered since: their evidence counts from some time after that, and a promotion may take longer.
    const words = await options.order(this.#order('seal'), ORDER_MS, { except: silent });
    const heardAtMs = options.now();
    const areAllHeard = [...words].every(([name, { kind }]) => silent.has(name) || kind !== 'silent');
    if (!areAllHeard) this.#isOneSilent = true;
    if (!areAllHeard) await this.#waitRevoked(this.#letGoAtMs + EVIDENCE_VALIDITY_MS);
    const told = [...outcomes].map(([name, outcome]) => {
      const word = words.get(name);
      return word?.kind === 'answered' ? word : asUnheardSince(outcome);
    });
    const registeredSince = [...words].filter(([name]) => !outcomes.has(name)).map(([, outcome]) => outcome);
    this.#learnLastLed([...outcomes.values(), ...words.values()]);
    this.#learnOpenCalls([...outcomes.values(), ...words.values()], heardAtMs);
    const ownLedSince = (ms: number): Position | null => group.positions.floorSince(ms)?.position ?? null;
    const ledSince = ledSinceOf(ownLedSince, words.values(), sealedAtMs);
    return [...told, ...registeredSince].map((word) => acknowledgedBy(word, heardAtMs, ledSince));
  }

  /** Others may know who led, where this daemon has just started. */
  #learnLastLed(outcomes: readonly OrderOutcome[]): void {
    const { lastLed, lastTerm } = this.ports;
    const heard = outcomes.map((outcome) => (outcome.kind === 'answered' ? outcome.answer.lastLed : null));
    this.#ledBy = lifeThatLed(lastTerm, [lastLed, ...heard]);
  }

  /** Others, and this daemon, may have been told of a call of an earlier holder that can still act. */
  #learnOpenCalls(outcomes: readonly OrderOutcome[], heardAtMs: number): void {
    const { group, openCalls } = this.ports;
    const told = outcomes.map((outcome) => (outcome.kind === 'answered' ? outcome.answer.openCall : null));
    const fence = this.ports.fence(0);
    for (const call of [group.calls.open(heardAtMs), ...told])
      if (call != null && call.fence !== fence) openCalls.recordEarlier(call, heardAtMs);
  }

  /** While the platform may act on an earlier call, whoever is named instead may be replaced by a member without its commits. */
  async #awaitOpenCalls(): Promise<void> {
    const { now } = this.ports.options;
    let sealedAtMs = now();
    for (;;) {
      const leftMs = this.ports.openCalls.untilMs - now();
      if (leftMs <= 0 || (await this.#isAwaitedLeading())) return;
      await delay(Math.min(leftMs, AWAITED_LOOK_MS));
      if (now() - sealedAtMs < REVOKE_AGAIN_MS) continue;
      sealedAtMs = now();
      this.#sealAgain();
    }
  }

  /** The member that an earlier holder has named leads by now: there is nobody to be replaced. */
  async #isAwaitedLeading(): Promise<boolean> {
    const { group, openCalls, options, pauses } = this.ports;
    const awaited = openCalls.awaitedId === null ? undefined : group.members.get(openCalls.awaitedId);
    if (awaited === undefined) return false;
    const answer = await options.control.ask(awaited, { kind: 'status' }, STATUS_MS);
    const isLeading =
      answer.kind === 'answered' && answer.status.isPrimary && answer.status.term > this.#term;
    if (isLeading) pauses.noteTerm(answer.status.term);
    return isLeading;
  }

  /** Looks at all replicas that are known by now; those that were not known before are paused first. */
  async #lastLook(pauses: Pauses): Promise<LastLook> {
    const unknown = this.ports.others().filter((member) => !this.#asked.has(member));
    const late = await this.#pause(unknown, pauses.paused);
    if (late.paused.length > 0) await this.#waitForLatePause();
    const looked = await this.ports.pauses.lookAt(
      [...pauses.paused, ...late.paused],
      this.#term + 1,
      this.#ledBy?.memberId ?? null,
    );
    const ended = [...pauses.ended, ...late.ended, ...looked.ended];
    const heard = new Set(looked.standing.map(({ member }) => member.entry.memberId));
    const counted = this.#mayLastLeaderComeBack(heard)
      ? ended
      : ended.filter(({ memberId }) => !heard.has(memberId));
    const replaced = counted.map((life) => ({ ...life, reason: 'replaced', silentMs: null }));
    const silent = [...pauses.missing, ...late.missing, ...looked.missing];
    const doubted = this.#isLogOfTerm(looked.standing)
      ? silent.filter((life) => !this.#followsLeader(life))
      : silent;
    return {
      paused: looked.standing,
      missing: [...doubted, ...replaced],
      stands: looked.lost.length === 0,
    };
  }

  /**
   * True while the log of whoever led last may be there and is not among those that are looked at. What a life that has ended had
   * received is with its next life, which is asked, with the leader, or nowhere: once the leader's log is there, too, or will not come
   * back, nothing is to be waited for. Guards against a group that is led by nobody for 30 s after the last of its members has
   * started again.
   */
  #mayLastLeaderComeBack(heard: ReadonlySet<string>): boolean {
    const { group, options, leaderLoss } = this.ports;
    const led = this.#ledBy;
    if (led === null) return true;
    if (heard.has(led.memberId)) return false;
    // A daemon that never knew the life has not seen its entry go either.
    const wasKnown = group.ledBy(this.ports.lastTerm)?.entry.memberId === led.memberId;
    const isForgotten = wasKnown && !group.members.has(led.memberId) && group.formerOf(led.memberId) === null;
    return !isForgotten && !leaderLoss.isOver(led, options.now());
  }

  /**
   * True for a later life of the leader that was lost. What was acknowledged in the term was received by another member than the leader, so
   * with all of those heard, also the lives of them that have ended, nothing is to be waited for from whoever goes by the leader's id now.
   */
  #followsLeader({ memberId, bornMs }: Incarnation): boolean {
    const led = this.#ledBy;
    if (led?.memberId !== memberId || led.bornMs === null || bornMs === null) return false;
    return bornMs > led.bornMs;
  }

  /**
   * True when a replica has what the leader began the term with: what was acknowledged in earlier terms may have been received by the member
   * alone that led this one.
   */
  #isLogOfTerm(paused: readonly Paused[]): boolean {
    const { group, lastTerm } = this.ports;
    const opened = group.openedWith(lastTerm);
    return paused.some(
      ({ status: { received } }) =>
        received.term >= lastTerm || (opened !== null && hasReached(received, opened)),
    );
  }

  /** A replica that was paused late may have given evidence to a daemon that is silent, or has registered since the beginning. */
  async #waitForLatePause(): Promise<void> {
    const pausedAtMs = this.ports.options.now();
    if (this.#isOneSilent || this.#isLate(pausedAtMs))
      await this.#waitRevoked(pausedAtMs + EVIDENCE_VALIDITY_MS);
  }

  /** True when a daemon that has registered since the beginning may count evidence at that time. */
  #isLate(atMs: number): boolean {
    return atMs - this.#startedAtMs > REGISTRATION_SETTLE_MS - REGISTER_MARGIN_MS;
  }

  /** A later term is followed by somebody: whoever leads it may not be among those that were asked, and daemons confirm what it answers. */
  #isSuperseded(): boolean {
    const { group, pauses } = this.ports;
    group.evidence.observeTerm(pauses.latestTerm);
    return group.evidence.minimumTerm > this.#term;
  }

  /** The life that led the term is paused as well: all that was acknowledged in the term is in its log. */
  #noteOwnLife({ paused }: LastLook): void {
    if (this.ports.lastTerm !== this.#term) return;
    const known = this.ports.group.ledBy(this.#term);
    const own = paused.find(({ member }) => member === known || this.#isLastLed(member));
    if (own !== undefined) this.ports.stepDowns.record(this.#term, own.status);
  }

  /** True for the life that led, where lives are told from each other. */
  #isLastLed({ entry }: Member): boolean {
    const led = this.#ledBy;
    return led !== null && led.bornMs !== null && formatIncarnation(led) === formatIncarnation(entry);
  }

  #choose(look: LastLook, acknowledged: Acknowledged, silentDaemons: string): Paused | null {
    const { options, group } = this.ports;
    const candidates = look.paused.map(toCandidate);
    const question = { candidates, missing: look.missing.length, acknowledged };
    options.log('promotion_candidates', {
      group: group.name,
      received: look.paused
        .map(({ member, status }) => `${formatIncarnation(member.entry)}:${formatPosition(status.received)}`)
        .join(','),
      missed: look.missing.map(formatIncarnation).join(','),
      why: describeMissing(look.missing),
      led: this.#ledBy === null ? null : formatIncarnation(this.#ledBy),
      former: [...group.former.keys()].join(','),
      missing: look.missing.length,
      acknowledged: formatPosition(acknowledged.latest),
      limit: acknowledged.limit === null ? null : formatPosition(acknowledged.limit),
      unheard: silentDaemons,
    });
    const chosen = look.stands ? chooseSuccessor(question) : null;
    return chosen === null ? null : (look.paused[candidates.indexOf(chosen)] ?? null);
  }

  /** Asks the platform for the promotion and waits until the member leads. */
  async #appoint(successor: Paused): Promise<AppointmentOutcome> {
    const { options, group } = this.ports;
    const { member } = successor;
    const { memberId } = member.entry;
    const call = (timeoutMs: number): Promise<boolean> | null => {
      const fence = this.#isSuperseded() ? null : this.ports.fence(DUTY_RESERVE_MS);
      if (fence === null) return null;
      this.#call = { memberId, fence, untilMs: options.now() + LATE_CALL_MS };
      this.#sealAgain();
      options.log('promotion_call', {
        group: group.name,
        member: memberId,
        fence,
        reason: this.reason,
      });
      return options.promotion.promote(group.name, memberId, fence, timeoutMs);
    };
    const ports = {
      call,
      // The platform acts on whoever goes by the id: the next life of a member that has started again is made to lead.
      status: () => options.control.ask(group.members.get(memberId) ?? member, { kind: 'status' }, STATUS_MS),
      letGo: () => this.#sealAgain(),
      keepPaused: () => this.#keepPaused(member),
      now: options.now,
    };
    const outcome = await appoint(ports, { oldTerm: this.#term, received: successor.status.received });
    if ('status' in outcome)
      options.log('promoted_member_leads', {
        group: group.name,
        member: formatIncarnation(member.entry),
        term: outcome.status.term,
        received: formatPosition(outcome.status.received),
        expected: formatPosition(successor.status.received),
      });
    return outcome;
  }

  /**
   * The member that leads holds less than it had: it started again after the last look at it. It is not announced while another
   * replica, which is paused still, holds more.
   */
  #replaceShort(
    successor: Paused,
    status: MemberStatus,
    look: LastLook,
  ): Promise<PromotionOutcome> | PromotionOutcome {
    const { options, group } = this.ports;
    const { memberId } = successor.member.entry;
    const others = look.paused.filter(({ member }) => member !== successor.member);
    const isReplaced =
      this.ports.fence(0) !== null &&
      others.some((other) => !hasReached(status.received, other.status.received));
    options.log('promoted_member_lacks_log', {
      level: 'error',
      group: group.name,
      member: memberId,
      term: status.term,
      received: formatPosition(status.received),
      expected: formatPosition(successor.status.received),
      replaced: isReplaced,
    });
    if (isReplaced) {
      group.evidence.observeLeader({ memberId, term: status.term });
      return {
        kind: 'again',
        leader: successor.member,
        reason: 'leads without what it had received',
      };
    }
    this.#announce(successor.member, status);
    return this.#end(successor);
  }

  /** Pauses replicas that have appeared or lost their pause while the platform acts: what they receive nobody counts. */
  #keepPaused(named: Member): void {
    const { options } = this.ports;
    if (options.now() - this.#keptAtMs < KEEP_PAUSED_MS) return;
    this.#keptAtMs = options.now();
    const others = this.ports.others().filter((member) => member !== named && !member.hasEnded);
    for (const member of others) if (!this.#lookedAt.has(member)) void this.#keepOnePaused(member);
  }

  async #keepOnePaused(member: Member): Promise<void> {
    this.#lookedAt.add(member);
    await this.#pauseAgain(member);
    if (this.#isOver) await this.#resume([member]);
    this.#lookedAt.delete(member);
  }

  async #pauseAgain(member: Member): Promise<void> {
    const { options, group } = this.ports;
    const answer = await options.control.ask(member, { kind: 'status' }, STATUS_MS);
    const { term } = this.#order('seal');
    if (answer.kind !== 'answered' || answer.status.term > term) return;
    if (answer.status.isPrimary || answer.status.pausedForTerm > term || this.#isOver) return;
    options.log('replica_paused_again', { group: group.name, member: formatIncarnation(member.entry) });
    this.#paused.add(member);
    await options.control.ask(member, { kind: 'pause', term: term + 1 }, STATUS_MS);
  }

  /** An order lasts for a while only; daemons that have started since are given it, too. */
  #sealAgain(): void {
    const { options, group } = this.ports;
    group.evidence.seal(this.#term, options.now());
    void options.order({ ...this.#order('seal'), ...this.#openCall() }, ORDER_MS);
  }

  /** The call that may act, for the daemons to tell a next holder of. */
  #openCall(): { readonly call?: OpenCall } {
    if (this.#call === null) return {};
    const { untilMs, ...call } = this.#call;
    return { call: { ...call, leftMs: Math.max(0, untilMs - this.ports.options.now()) } };
  }

  #announce({ entry: { memberId } }: Member, { term, received }: MemberStatus): void {
    const { options, group, openCalls } = this.ports;
    group.learnLeader({ memberId, term }, received);
    options.leaderPromoted();
    const furtherCall = openCalls.untilMs > options.now() ? this.#openCall() : {};
    const news = { kind: 'leader', groupName: group.name, memberId, term, held: received } as const;
    void options.order({ ...news, ...furtherCall }, ORDER_MS);
  }

  async #end(successor: Paused): Promise<PromotionOutcome> {
    const { options, group } = this.ports;
    const leader = successor.member;
    this.#isOver = true;
    options.log('promotion_ends', {
      group: group.name,
      leader: leader.entry.memberId,
      ms: Math.round(options.now() - this.#startedAtMs),
    });
    await this.#resume([...this.#paused].filter((member) => member !== leader));
    if (!this.#isAlive) await this.#demoteLeader();
    return { kind: 'led', leader };
  }

  async #giveUp(look: LastLook, successor: Paused | null = null): Promise<PromotionOutcome> {
    const { options, group } = this.ports;
    this.#isOver = true;
    options.log('promotion_given_up', {
      group: group.name,
      reason: this.#isSuperseded() ? 'a later term is followed' : givenUpReason(look, successor),
      paused: look.paused.length,
      missing: look.missing.length,
    });
    await this.#undo();
    return { kind: 'given_up' };
  }

  /** Lets replicas and daemons go on. Without the duty that is left to the next holder, whose pauses these may be. */
  async #undo(): Promise<void> {
    const { options, group } = this.ports;
    if (this.ports.fence(0) === null) return;
    await this.#resume([...this.#paused]);
    group.evidence.liftRevocation();
    void options.order({ kind: 'allow', groupName: group.name }, ORDER_MS);
  }

  async #resume(members: readonly Member[]): Promise<void> {
    if (this.ports.fence(0) !== null) await this.ports.pauses.resumeAll(members);
  }

  /** Has the former leader follow; the log says what it had received by then. */
  async #demoteLeader(): Promise<void> {
    const { options, group } = this.ports;
    if (this.leader === null) return;
    const request = { kind: 'demote', term: this.#term + 1 } as const;
    const answer = await options.control.ask(this.leader, request, STATUS_MS);
    if (answer.kind === 'answered' && !answer.status.isPrimary && !this.leader.hasEnded)
      this.ports.stepDowns.record(this.#term, answer.status);
    options.log('leader_demoted', {
      group: group.name,
      member: formatIncarnation(this.leader.entry),
      outcome: answer.kind,
      received: answer.kind === 'answered' ? formatPosition(answer.status.received) : null,
    });
  }
}

/** What a daemon said that was not asked for its last word, or did not say it: it may have acknowledged more since. */
function asUnheardSince(outcome: OrderOutcome): OrderOutcome {
  if (outcome.kind !== 'answered') return outcome;
  return { kind: 'answered', answer: { latest: outcome.answer.latest, limit: null } };
}

function givenUpReason({ stands }: LastLook, successor: Paused | null): string {
  if (!stands) return 'a replica has lost its pause';
  return successor === null ? 'no member is shown to hold all commits' : 'the platform did not do it';
}

function toCandidate({ member, status }: Paused): SuccessorCandidate {
  const { entry, isLeaving, knownSinceMs } = member;
  return { memberId: entry.memberId, received: status.received, isLeaving, knownSinceMs };
}
