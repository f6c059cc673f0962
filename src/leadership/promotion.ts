/**
 * One promotion: replaces the leader of a group by a member that is proven, immediately before the platform
 * is called, to hold every acknowledged commit.
 *
 * 1. Revoke: every daemon drops its evidence of the old leader, and the replicas are paused. The evidence of
 *    daemons that do not answer is waited out.
 * 2. Seal: every daemon reports what it has acknowledged, and acknowledges nothing of the old term after that
 *    reply.
 * 3. Final check: all replicas listed by then are asked again. Their pauses must still hold; the successor is
 *    chosen by the positions that they report.
 *
 * Replies and member lists from before the seal prove nothing: as long as a daemon still acknowledged commits
 * of the old leader, a replica may have started or restarted and received more of them.
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
import { appoint, CALL_EFFECT_WINDOW_MS, type AppointmentOutcome } from './appointment.js';
import { chooseSuccessor, type SuccessorCandidate } from './choose-successor.js';
import { EVIDENCE_VALIDITY_MS, REGISTRATION_SETTLE_MS } from './leadership-evidence.js';
import type { GroupSupervisorOptions } from './group-supervisor.js';
import { findLeaderOfTerm, type LastLeader } from './last-leader.js';
import type { LeaderLoss } from './leader-loss.js';
import type { OpenCall, OpenCalls } from './open-calls.js';
import type { StepDowns } from './step-downs.js';
import { acknowledgedBy, hasUnanswered, mergeLeaderPositions, namesWithoutAnswer } from './order-outcomes.js';
import { describeMissing, type MissingIncarnation } from './missing-incarnation.js';
import type { PausedReplica, PauseSummary, ReplicaPauses } from './replica-pauses.js';

/**
 * Safety margin before the end of the registration wait, in milliseconds. Pauses that complete within this
 * margin of it count as late: a daemon that registered in the meantime may already hold evidence.
 */
const REGISTRATION_MARGIN_MS = 100;
/** Time limit for the other daemons to answer an order, in milliseconds. */
const ORDER_TIMEOUT_MS = 200;
/** Time limit for a member to report its status, in milliseconds. */
const STATUS_TIMEOUT_MS = 200;
/** A leader that answered within this time is demoted before the successor is promoted, in milliseconds. */
const RECENT_ANSWER_MS = 100;
/** Time for requests in flight at a leaving leader to complete, in milliseconds. */
const HANDOVER_DRAIN_MS = 60;
/**
 * Interval between status requests to the member named in a call of an earlier duty holder, in milliseconds.
 */
const EARLIER_CALL_POLL_MS = 100;
/**
 * Interval at which revoke and seal orders are repeated during a wait, in milliseconds: one order is valid
 * for less than the whole wait.
 */
const REVOCATION_RENEWAL_MS = 700;
/** Interval between checks of the other replicas' pauses while the platform promotes, in milliseconds. */
const PAUSE_CHECK_INTERVAL_MS = 100;
/** Time for which the promotion duty must still be held when the platform is called, in milliseconds. */
export const DUTY_RESERVE_MS = 400;

/** An order to daemons to drop their evidence of a leader. */
type RevocationOrder = Extract<HolderOrder, { kind: 'revoke' | 'seal' }>;

/** Dependencies of a promotion. */
export interface PromotionPorts {
  readonly group: MemberGroup;
  readonly pauses: ReplicaPauses;
  readonly options: GroupSupervisorOptions;
  readonly stepDowns: StepDowns;
  readonly openCalls: OpenCalls;
  readonly leaderLoss: LeaderLoss;
  /**
   * The latest term in which commits may have been acknowledged: the one replaced by the first of a series of
   * promotions.
   */
  readonly lastTerm: number;
  /** The last leader that this daemon knew of when that first promotion began. */
  readonly lastLed: LastLeader | null;
  /** All members known now except the leader. */
  others(): readonly Member[];
  /**
   * The fencing token if the supervision holds the promotion duty for at least `reserveMs` more, else `null`.
   */
  fence(reserveMs: number): number | null;
}

/** Result of a promotion. */
export type PromotionOutcome =
  | { readonly kind: 'led'; readonly leader: Member }
  | { readonly kind: 'given_up' }
  /** Another promotion must follow at once, replacing this leader; the replicas are still paused. */
  | { readonly kind: 'again'; readonly leader: Member | null; readonly reason: string };

/** Result of the final check, on which the choice of the successor is based. */
interface FinalCheck {
  readonly paused: readonly PausedReplica[];
  readonly missing: readonly MissingIncarnation[];
  /** False when a replica was found not to be paused any more. */
  readonly allPausesHold: boolean;
}

/** One attempt to replace a leader. */
export class Promotion {
  readonly #startedAtMs: number;
  readonly #term: number;
  readonly #isLeaderResponsive: boolean;
  /** Replicas with a pause check in flight. */
  readonly #pauseChecks = new Set<Member>();
  #pausesCheckedAtMs = Number.NEGATIVE_INFINITY;
  /** When the answers to the revoke order were in. */
  #revokedAtMs = Number.NEGATIVE_INFINITY;
  /** A daemon did not confirm an order: it may hold evidence until that expires. */
  #hasUnansweredDaemon = false;
  /** The promotion has ended or was given up: no more replicas are paused. */
  #isOver = false;
  /**
   * The incarnation that led the last term in which commits may have been acknowledged; `null` while unknown.
   */
  #lastLeader: Incarnation | null = null;
  /** The last call to the platform, and until when the platform may still execute it. */
  #lastCall: { readonly memberId: string; readonly fence: number; readonly untilMs: number } | null = null;
  /** All members that were sent a pause request. */
  readonly #pauseRequested = new Set<Member>();
  /** All members that were paused. */
  readonly #everPaused = new Set<Member>();

  /** @param leader - the member to be replaced; `null` when every member may succeed */
  constructor(
    private readonly ports: PromotionPorts,
    private readonly leader: Member | null,
    private readonly reason: string,
  ) {
    const { options, group } = ports;
    this.#startedAtMs = options.now();
    this.#term = group.evidence.leader?.term ?? group.evidence.minimumTerm;
    this.#isLeaderResponsive =
      leader !== null && (leader.isLeaving || this.#startedAtMs - leader.answeredAtMs < RECENT_ANSWER_MS);
  }

  /** Promotes a successor, or gives up, resumes the replicas and lifts the revocation. */
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
    const { pauses, outcomes } = await this.#revokeAndPause(others);
    const sealReplies = await this.#sealDaemons(outcomes);
    await this.#awaitOpenCalls();
    const check = await this.#finalCheck(pauses);
    if (this.#isSuperseded()) return this.#giveUp(check);
    this.#recordLastLeaderPosition(check);
    const reported = joinAcknowledged([group.acknowledged, ...sealReplies]);
    // A daemon that did not answer may still hold evidence from a missing replica.
    const acknowledged = this.#hasUnansweredDaemon
      ? reported
      : this.ports.stepDowns.bound(this.#term, reported);
    const successor = this.#choose(check, acknowledged, namesWithoutAnswer(outcomes));
    if (successor === null) return this.#giveUp(check);
    if (this.#isLeaderResponsive) {
      // If the leader stepped down and the platform could not be called, the group would be left without a
      // leader.
      if (this.ports.fence(DUTY_RESERVE_MS + STATUS_TIMEOUT_MS) === null)
        return this.#giveUp(check, successor);
      await this.#demoteLeader();
    }
    const outcome = await this.#appoint(successor);
    if ('status' in outcome) this.ports.openCalls.record(outcome.openUntilMs);
    switch (outcome.kind) {
      case 'leads':
        this.#announce(successor.member, outcome.status);
        return this.#end(successor);
      case 'lacks':
        return this.#handleIncompleteLeader(successor, outcome.status, check);
      case 'ended':
        // The platform may restart the member and promote it: the replicas stay paused until another member
        // leads.
        if (this.ports.fence(0) === null) return this.#giveUp(check, successor);
        return { kind: 'again', leader: this.leader, reason: 'the successor has ended' };
      case 'not_done':
        return this.#giveUp(check, successor);
    }
  }

  /**
   * Revokes the evidence of the leader at all daemons and pauses the replicas; resolves once the evidence of
   * daemons that did not answer has expired.
   */
  async #revokeAndPause(
    others: readonly Member[],
  ): Promise<{ readonly pauses: PauseSummary; readonly outcomes: ReadonlyMap<string, OrderOutcome> }> {
    const { options } = this.ports;
    const revoking = this.#revoke();
    if (this.leader?.isLeaving === true) {
      // Lets requests in flight at a leaving leader complete.
      await revoking;
      await delay(HANDOVER_DRAIN_MS);
    }
    const pauses = await this.#pause(others, []);
    const pausedAtMs = options.now();
    const first = await revoking;
    this.#revokedAtMs = options.now();
    const outcomes = new Map([...first, ...(await this.#revokeStartedSince(first))]);
    this.#hasUnansweredDaemon = hasUnanswered(outcomes);
    if (this.#hasUnansweredDaemon || this.#mayNewDaemonCountEvidence(pausedAtMs))
      await this.#waitWhileRevoked(pausedAtMs + EVIDENCE_VALIDITY_MS);
    return { pauses, outcomes };
  }

  /** Revokes the evidence of the leader at this daemon and all others. */
  #revoke(): Promise<ReadonlyMap<string, OrderOutcome>> {
    const { options, group } = this.ports;
    group.evidence.revoke(this.#term, options.now());
    return options.order(this.#order('revoke'), ORDER_TIMEOUT_MS);
  }

  #order(kind: RevocationOrder['kind']): RevocationOrder {
    return { kind, groupName: this.ports.group.name, term: this.#term };
  }

  /**
   * @param alsoPaused - already paused replicas, which may hold everything that ended members had received
   */
  async #pause(members: readonly Member[], alsoPaused: readonly PausedReplica[]): Promise<PauseSummary> {
    for (const member of members) this.#pauseRequested.add(member);
    const pauses = await this.ports.pauses.pauseAll(members, this.#term, alsoPaused);
    for (const { member } of pauses.paused) this.#everPaused.add(member);
    return pauses;
  }

  /**
   * Repeats the revoke order to daemons whose process was not running before the pauses: one that has started
   * since may have obtained evidence from a replica that was not paused yet. Status answers that it gets from
   * now on do not count as evidence.
   */
  async #revokeStartedSince(
    outcomes: ReadonlyMap<string, OrderOutcome>,
  ): Promise<ReadonlyMap<string, OrderOutcome>> {
    const gone = [...outcomes].filter(([, { kind }]) => kind === 'gone').map(([name]) => name);
    if (gone.length === 0) return new Map();
    return this.ports.options.order(this.#order('revoke'), ORDER_TIMEOUT_MS, { only: new Set(gone) });
  }

  /** Waits, and repeats the revoke order, which is valid for a limited time only. */
  async #waitWhileRevoked(untilMs: number): Promise<void> {
    const { now } = this.ports.options;
    for (;;) {
      const leftMs = untilMs - now();
      if (leftMs <= 0) return;
      await delay(Math.min(leftMs, REVOCATION_RENEWAL_MS));
      if (now() < untilMs) void this.#revoke();
    }
  }

  /**
   * Seals the term at all daemons and returns what they have acknowledged. A daemon acknowledges nothing of
   * the term after its reply; the evidence of one that does not reply has expired when this resolves. The
   * replies to the revoke order are not final: a write in flight at that time may have been acknowledged
   * since.
   */
  async #sealDaemons(outcomes: ReadonlyMap<string, OrderOutcome>): Promise<readonly Acknowledged[]> {
    const { options, group } = this.ports;
    group.evidence.seal(this.#term, options.now());
    const sealedAtMs = options.now();
    const unanswered = new Set(
      [...outcomes].filter(([, { kind }]) => kind === 'silent').map(([name]) => name),
    );
    // Includes daemons that have registered since: their evidence counts some time after registration, which
    // may be during the promotion.
    const replies = await options.order(this.#order('seal'), ORDER_TIMEOUT_MS, { except: unanswered });
    const answeredAtMs = options.now();
    const haveAllAnswered = [...replies].every(
      ([name, { kind }]) => unanswered.has(name) || kind !== 'silent',
    );
    if (!haveAllAnswered) this.#hasUnansweredDaemon = true;
    if (!haveAllAnswered) await this.#waitWhileRevoked(this.#revokedAtMs + EVIDENCE_VALIDITY_MS);
    const reported = [...outcomes].map(([name, outcome]) => {
      const reply = replies.get(name);
      return reply?.kind === 'answered' ? reply : withoutLimit(outcome);
    });
    const registeredSince = [...replies]
      .filter(([name]) => !outcomes.has(name))
      .map(([, outcome]) => outcome);
    this.#determineLastLeader([...outcomes.values(), ...replies.values()]);
    this.#collectOpenCalls([...outcomes.values(), ...replies.values()], answeredAtMs);
    const ownPositionSince = (ms: number): Position | null =>
      group.positions.floorSince(ms)?.position ?? null;
    const leaderPositionSince = mergeLeaderPositions(ownPositionSince, replies.values(), sealedAtMs);
    return [...reported, ...registeredSince].map((reply) =>
      acknowledgedBy(reply, answeredAtMs, leaderPositionSince),
    );
  }

  /** Uses the answers of other daemons, since this one may have just started and not know who led. */
  #determineLastLeader(outcomes: readonly OrderOutcome[]): void {
    const { lastLed, lastTerm } = this.ports;
    const reported = outcomes.map((outcome) => (outcome.kind === 'answered' ? outcome.answer.lastLed : null));
    this.#lastLeader = findLeaderOfTerm(lastTerm, [lastLed, ...reported]);
  }

  /**
   * Records calls of an earlier duty holder that this or another daemon knows of and that the platform may
   * still execute.
   */
  #collectOpenCalls(outcomes: readonly OrderOutcome[], answeredAtMs: number): void {
    const { group, openCalls } = this.ports;
    const reported = outcomes.map((outcome) =>
      outcome.kind === 'answered' ? outcome.answer.openCall : null,
    );
    const fence = this.ports.fence(0);
    for (const call of [group.calls.open(answeredAtMs), ...reported])
      if (call != null && call.fence !== fence) openCalls.recordEarlier(call, answeredAtMs);
  }

  /**
   * Waits until the platform cannot execute an earlier call any more. A leader promoted before that could be
   * replaced by the member of the earlier call, which may lack the new leader's commits.
   */
  async #awaitOpenCalls(): Promise<void> {
    const { now } = this.ports.options;
    let sealedAtMs = now();
    for (;;) {
      const leftMs = this.ports.openCalls.untilMs - now();
      if (leftMs <= 0 || (await this.#isEarlierSuccessorLeading())) return;
      await delay(Math.min(leftMs, EARLIER_CALL_POLL_MS));
      if (now() - sealedAtMs < REVOCATION_RENEWAL_MS) continue;
      sealedAtMs = now();
      this.#renewSeal();
    }
  }

  /**
   * True when the member named in a call of an earlier duty holder leads by now: there is no leader to
   * replace then.
   */
  async #isEarlierSuccessorLeading(): Promise<boolean> {
    const { group, openCalls, options, pauses } = this.ports;
    const successor =
      openCalls.earlierSuccessorId === null ? undefined : group.members.get(openCalls.earlierSuccessorId);
    if (successor === undefined) return false;
    const answer = await options.control.ask(successor, { kind: 'status' }, STATUS_TIMEOUT_MS);
    const isLeading =
      answer.kind === 'answered' && answer.status.isPrimary && answer.status.term > this.#term;
    if (isLeading) pauses.observeTerm(answer.status.term);
    return isLeading;
  }

  /** Asks all replicas known by now for their status; those that were not known before are paused first. */
  async #finalCheck(pauses: PauseSummary): Promise<FinalCheck> {
    const unknown = this.ports.others().filter((member) => !this.#pauseRequested.has(member));
    const late = await this.#pause(unknown, pauses.paused);
    if (late.paused.length > 0) await this.#waitForLatePause();
    const rechecked = await this.ports.pauses.recheck(
      [...pauses.paused, ...late.paused],
      this.#term + 1,
      this.#lastLeader?.memberId ?? null,
    );
    const ended = [...pauses.ended, ...late.ended, ...rechecked.ended];
    const respondingIds = new Set(rechecked.stillPaused.map(({ member }) => member.entry.memberId));
    const relevantEnded = this.#mayLastLeaderReturn(respondingIds)
      ? ended
      : ended.filter(({ memberId }) => !respondingIds.has(memberId));
    const replaced = relevantEnded.map((incarnation) => ({
      ...incarnation,
      reason: 'replaced',
      silentMs: null,
    }));
    const unanswered = [...pauses.missing, ...late.missing, ...rechecked.missing];
    const relevantUnanswered = this.#hasTermStart(rechecked.stillPaused)
      ? unanswered.filter((incarnation) => !this.#isLaterIncarnationOfLeader(incarnation))
      : unanswered;
    return {
      paused: rechecked.stillPaused,
      missing: [...relevantUnanswered, ...replaced],
      allPausesHold: rechecked.unpaused.length === 0,
    };
  }

  /**
   * True while the log of the last leader may still exist and is not among the checked ones. What an ended
   * incarnation had received is held by its next incarnation, which is asked, or by the leader, or by nobody.
   * So once the leader's log has been checked too, or will not come back, there is nothing to wait for.
   * Without this, a group would stay without a leader for 30 s after the last of its members has restarted.
   */
  #mayLastLeaderReturn(respondingIds: ReadonlySet<string>): boolean {
    const { group, options, leaderLoss } = this.ports;
    const led = this.#lastLeader;
    if (led === null) return true;
    if (respondingIds.has(led.memberId)) return false;
    // A daemon that never knew this incarnation cannot have seen its entry removed.
    const wasKnown = group.leaderOfTerm(this.ports.lastTerm)?.entry.memberId === led.memberId;
    const isForgotten =
      wasKnown && !group.members.has(led.memberId) && group.findFormer(led.memberId) === null;
    return !isForgotten && !leaderLoss.isOver(led, options.now());
  }

  /**
   * True for a later incarnation of the lost leader. Every commit acknowledged in the term was received by a
   * member other than the leader. So once all of those are accounted for, including their ended incarnations,
   * there is no need to wait for the member that now has the leader's id.
   */
  #isLaterIncarnationOfLeader({ memberId, bornMs }: Incarnation): boolean {
    const led = this.#lastLeader;
    if (led?.memberId !== memberId || led.bornMs === null || bornMs === null) return false;
    return bornMs > led.bornMs;
  }

  /**
   * True when a replica holds the log with which the leader began the term. Commits acknowledged in earlier
   * terms may have been received by nobody but the member that led this one.
   */
  #hasTermStart(paused: readonly PausedReplica[]): boolean {
    const { group, lastTerm } = this.ports;
    const opened = group.termStartPosition(lastTerm);
    return paused.some(
      ({ status: { received } }) =>
        received.term >= lastTerm || (opened !== null && hasReached(received, opened)),
    );
  }

  /**
   * A replica that was paused late may have given evidence to a daemon that did not answer or that has
   * registered since the promotion began.
   */
  async #waitForLatePause(): Promise<void> {
    const pausedAtMs = this.ports.options.now();
    if (this.#hasUnansweredDaemon || this.#mayNewDaemonCountEvidence(pausedAtMs))
      await this.#waitWhileRevoked(pausedAtMs + EVIDENCE_VALIDITY_MS);
  }

  /** True when a daemon that has registered since the promotion began may count evidence at that time. */
  #mayNewDaemonCountEvidence(atMs: number): boolean {
    return atMs - this.#startedAtMs > REGISTRATION_SETTLE_MS - REGISTRATION_MARGIN_MS;
  }

  /**
   * True when a member follows a later term: its leader may not be among the members that were asked, and
   * daemons acknowledge commits of that leader.
   */
  #isSuperseded(): boolean {
    const { group, pauses } = this.ports;
    group.evidence.observeTerm(pauses.latestTerm);
    return group.evidence.minimumTerm > this.#term;
  }

  /**
   * Records the position of the last leader if it is among the paused members: its log holds all that was
   * acknowledged in the term.
   */
  #recordLastLeaderPosition({ paused }: FinalCheck): void {
    if (this.ports.lastTerm !== this.#term) return;
    const known = this.ports.group.leaderOfTerm(this.#term);
    const lastLeader = paused.find(({ member }) => member === known || this.#isLastLeader(member));
    if (lastLeader !== undefined) this.ports.stepDowns.record(this.#term, lastLeader.status);
  }

  /** True for the incarnation that led, if incarnations can be told apart. */
  #isLastLeader({ entry }: Member): boolean {
    const led = this.#lastLeader;
    return led !== null && led.bornMs !== null && formatIncarnation(led) === formatIncarnation(entry);
  }

  #choose(check: FinalCheck, acknowledged: Acknowledged, unansweredDaemons: string): PausedReplica | null {
    const { options, group } = this.ports;
    const candidates = check.paused.map(toCandidate);
    const input = { candidates, missing: check.missing.length, acknowledged };
    options.log('promotion_candidates', {
      group: group.name,
      received: check.paused
        .map(({ member, status }) => `${formatIncarnation(member.entry)}:${formatPosition(status.received)}`)
        .join(','),
      missed: check.missing.map(formatIncarnation).join(','),
      why: describeMissing(check.missing),
      led: this.#lastLeader === null ? null : formatIncarnation(this.#lastLeader),
      former: [...group.former.keys()].join(','),
      missing: check.missing.length,
      acknowledged: formatPosition(acknowledged.latest),
      limit: acknowledged.limit === null ? null : formatPosition(acknowledged.limit),
      unheard: unansweredDaemons,
    });
    const chosen = check.allPausesHold ? chooseSuccessor(input) : null;
    return chosen === null ? null : (check.paused[candidates.indexOf(chosen)] ?? null);
  }

  /** Asks the platform to promote the successor and waits until it leads. */
  async #appoint(successor: PausedReplica): Promise<AppointmentOutcome> {
    const { options, group } = this.ports;
    const { member } = successor;
    const { memberId } = member.entry;
    const call = (timeoutMs: number): Promise<boolean> | null => {
      const fence = this.#isSuperseded() ? null : this.ports.fence(DUTY_RESERVE_MS);
      if (fence === null) return null;
      this.#lastCall = { memberId, fence, untilMs: options.now() + CALL_EFFECT_WINDOW_MS };
      this.#renewSeal();
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
      // The platform addresses members by id: if the member has restarted, its next incarnation is promoted.
      status: () =>
        options.control.ask(group.members.get(memberId) ?? member, { kind: 'status' }, STATUS_TIMEOUT_MS),
      renewRevocation: () => this.#renewSeal(),
      enforcePauses: () => this.#enforcePauses(member),
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
   * Handles a new leader that holds less than it did at the final check, because it has restarted since. It
   * is replaced rather than announced if another replica, still paused, holds more.
   */
  #handleIncompleteLeader(
    successor: PausedReplica,
    status: MemberStatus,
    check: FinalCheck,
  ): Promise<PromotionOutcome> | PromotionOutcome {
    const { options, group } = this.ports;
    const { memberId } = successor.member.entry;
    const others = check.paused.filter(({ member }) => member !== successor.member);
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
        reason: 'the new leader lacks log entries that it had received',
      };
    }
    this.#announce(successor.member, status);
    return this.#end(successor);
  }

  /**
   * Pauses replicas that have appeared or restarted unpaused while the platform promotes: what they receive
   * now is not part of the final check.
   */
  #enforcePauses(successor: Member): void {
    const { options } = this.ports;
    if (options.now() - this.#pausesCheckedAtMs < PAUSE_CHECK_INTERVAL_MS) return;
    this.#pausesCheckedAtMs = options.now();
    const others = this.ports.others().filter((member) => member !== successor && !member.hasEnded);
    for (const member of others) if (!this.#pauseChecks.has(member)) void this.#enforcePause(member);
  }

  async #enforcePause(member: Member): Promise<void> {
    this.#pauseChecks.add(member);
    await this.#ensurePaused(member);
    if (this.#isOver) await this.#resume([member]);
    this.#pauseChecks.delete(member);
  }

  async #ensurePaused(member: Member): Promise<void> {
    const { options, group } = this.ports;
    const answer = await options.control.ask(member, { kind: 'status' }, STATUS_TIMEOUT_MS);
    const { term } = this.#order('seal');
    if (answer.kind !== 'answered' || answer.status.term > term) return;
    if (answer.status.isPrimary || answer.status.pausedForTerm > term || this.#isOver) return;
    options.log('replica_paused_again', { group: group.name, member: formatIncarnation(member.entry) });
    this.#everPaused.add(member);
    await options.control.ask(member, { kind: 'pause', term: term + 1 }, STATUS_TIMEOUT_MS);
  }

  /**
   * Repeats the seal order, which is valid for a limited time only; daemons that have started since receive
   * it too.
   */
  #renewSeal(): void {
    const { options, group } = this.ports;
    group.evidence.seal(this.#term, options.now());
    void options.order({ ...this.#order('seal'), ...this.#openCall() }, ORDER_TIMEOUT_MS);
  }

  /** The last call, which the platform may still execute: the daemons report it to the next duty holder. */
  #openCall(): { readonly call?: OpenCall } {
    if (this.#lastCall === null) return {};
    const { untilMs, ...call } = this.#lastCall;
    return { call: { ...call, leftMs: Math.max(0, untilMs - this.ports.options.now()) } };
  }

  #announce({ entry: { memberId } }: Member, { term, received }: MemberStatus): void {
    const { options, group, openCalls } = this.ports;
    group.recordLeader({ memberId, term }, received);
    options.leaderPromoted();
    const furtherCall = openCalls.untilMs > options.now() ? this.#openCall() : {};
    const announcement = { kind: 'leader', groupName: group.name, memberId, term, held: received } as const;
    void options.order({ ...announcement, ...furtherCall }, ORDER_TIMEOUT_MS);
  }

  async #end(successor: PausedReplica): Promise<PromotionOutcome> {
    const { options, group } = this.ports;
    const leader = successor.member;
    this.#isOver = true;
    options.log('promotion_ends', {
      group: group.name,
      leader: leader.entry.memberId,
      ms: Math.round(options.now() - this.#startedAtMs),
    });
    await this.#resume([...this.#everPaused].filter((member) => member !== leader));
    if (!this.#isLeaderResponsive) await this.#demoteLeader();
    return { kind: 'led', leader };
  }

  async #giveUp(check: FinalCheck, successor: PausedReplica | null = null): Promise<PromotionOutcome> {
    const { options, group } = this.ports;
    this.#isOver = true;
    options.log('promotion_given_up', {
      group: group.name,
      reason: this.#isSuperseded() ? 'a member follows a later term' : givenUpReason(check, successor),
      paused: check.paused.length,
      missing: check.missing.length,
    });
    await this.#rollBack();
    return { kind: 'given_up' };
  }

  /**
   * Resumes the replicas and lifts the revocation. Does nothing if the duty is no longer held: the pauses may
   * be those of the next duty holder.
   */
  async #rollBack(): Promise<void> {
    const { options, group } = this.ports;
    if (this.ports.fence(0) === null) return;
    await this.#resume([...this.#everPaused]);
    group.evidence.liftRevocation();
    void options.order({ kind: 'allow', groupName: group.name }, ORDER_TIMEOUT_MS);
  }

  async #resume(members: readonly Member[]): Promise<void> {
    if (this.ports.fence(0) !== null) await this.ports.pauses.resumeAll(members);
  }

  /** Demotes the former leader and logs the position up to which it had received the log. */
  async #demoteLeader(): Promise<void> {
    const { options, group } = this.ports;
    if (this.leader === null) return;
    const request = { kind: 'demote', term: this.#term + 1 } as const;
    const answer = await options.control.ask(this.leader, request, STATUS_TIMEOUT_MS);
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

/**
 * The answer of a daemon that was not sent the seal order, or did not reply to it: it may have acknowledged
 * more since.
 */
function withoutLimit(outcome: OrderOutcome): OrderOutcome {
  if (outcome.kind !== 'answered') return outcome;
  return { kind: 'answered', answer: { latest: outcome.answer.latest, limit: null } };
}

function givenUpReason({ allPausesHold: stands }: FinalCheck, successor: PausedReplica | null): string {
  if (!stands) return 'a replica has lost its pause';
  return successor === null
    ? 'no member is shown to hold all commits'
    : 'the platform did not promote the successor';
}

function toCandidate({ member, status }: PausedReplica): SuccessorCandidate {
  const { entry, isLeaving, knownSinceMs } = member;
  return { memberId: entry.memberId, received: status.received, isLeaving, knownSinceMs };
}
