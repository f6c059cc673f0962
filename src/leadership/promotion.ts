/**
 * One promotion: replaces the leader of a group by a member that is proven, immediately before the platform
 * is called, to hold every acknowledged commit.
 *
 * 1. Record: the store is told that the term may be replaced, and gives no evidence of it from then on.
 * 2. Revoke: every daemon drops its evidence of the old leader, and the replicas are paused. The evidence of
 *    daemons that do not answer is waited out.
 * 3. Seal: every daemon reports what it has acknowledged, and acknowledges nothing of the old term after that
 *    reply.
 * 4. Final check: all replicas listed by then are asked again. Their pauses must still hold; the successor is
 *    chosen by the positions that they report.
 *
 * Replies and member lists from before the seal prove nothing: as long as a daemon still acknowledged commits
 * of the old leader, a replica may have started or restarted and received more of them.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import { formatPosition, hasReached } from '../position/position.js';
import type { MemberStatus } from '../relay/member-link.js';
import { formatIncarnation, type Incarnation } from '../topology/incarnation.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { joinAcknowledged, type Acknowledged } from './acknowledged.js';
import { appoint, type AppointmentOutcome } from './appointment.js';
import { chooseSuccessor, type SuccessorCandidate } from './choose-successor.js';
import { EarlierCalls } from './earlier-calls.js';
import { findMissing, type FinalCheck } from './final-check.js';
import type { GroupSupervisorOptions } from './group-supervisor.js';
import { findLeaderOfTerm, type LastLeader } from './last-leader.js';
import type { LeaderLoss } from './leader-loss.js';
import type { OpenCalls } from './open-calls.js';
import type { RaisedTerm } from './replaced-terms.js';
import type { StepDowns } from './step-downs.js';
import { namesOfEnded, namesWithoutAnswer } from './order-outcomes.js';
import { PromotionOrders } from './promotion-orders.js';
import { PromotionPauses } from './promotion-pauses.js';
import { describeMissing } from './missing-incarnation.js';
import type { PausedReplica, PauseSummary, ReplicaPauses } from './replica-pauses.js';

/** Time limit for a member to report its status, in milliseconds. */
const STATUS_TIMEOUT_MS = 200;
/** A leader that answered within this time is demoted before the successor is promoted, in milliseconds. */
const RECENT_ANSWER_MS = 100;
/** Time for requests in flight at a leaving leader to complete, in milliseconds. */
const HANDOVER_DRAIN_MS = 60;
/** Time for which the promotion duty must still be held when the platform is called, in milliseconds. */
export const DUTY_RESERVE_MS = 400;

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

/** One attempt to replace a leader. */
export class Promotion {
  readonly #startedAtMs: number;
  readonly #term: number;
  readonly #isLeaderResponsive: boolean;
  readonly #orders: PromotionOrders;
  readonly #pauses: PromotionPauses;
  readonly #earlierCalls: EarlierCalls;
  /**
   * The incarnation that led the last term in which commits may have been acknowledged; `null` while unknown.
   */
  #lastLeader: Incarnation | null = null;
  #hasCalled = false;
  /** The record of this promotion in the store. */
  #raised: RaisedTerm | null = null;

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
    const term = this.#term;
    this.#orders = new PromotionOrders(group, options, term);
    this.#pauses = new PromotionPauses({
      group,
      pauses: ports.pauses,
      options,
      term,
      others: () => ports.others(),
      mayResume: () => ports.fence(0) !== null,
    });
    this.#earlierCalls = new EarlierCalls({
      group,
      openCalls: ports.openCalls,
      pauses: ports.pauses,
      options,
      term,
      fence: () => ports.fence(0),
      renewSeal: () => this.#orders.renewSeal(),
    });
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
    this.#raised = await options.replacedTerms.raise(group.name, this.#term);
    if (this.#raised === null) return this.#endUnrecorded();
    const { pauses, outcomes } = await this.#revokeAndPause(others);
    const sealed = await this.#orders.seal(outcomes);
    this.#determineLastLeader(sealed.replies);
    this.#observeReportedTerms(sealed.replies);
    this.#earlierCalls.collect(sealed.replies, sealed.answeredAtMs);
    await this.#earlierCalls.wait();
    const check = await this.#finalCheck(pauses);
    if (this.#isSuperseded()) return this.#giveUp(check);
    this.#recordLastLeaderPosition(check);
    const reported = joinAcknowledged([group.acknowledged, ...sealed.acknowledged]);
    // A daemon that did not answer may still hold evidence from a missing replica.
    const acknowledged = this.#orders.hasUnansweredDaemon
      ? reported
      : this.ports.stepDowns.bound(this.#term, reported);
    const successor = this.#choose(check, acknowledged, outcomes);
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
    const revoking = this.#orders.revoke();
    if (this.leader?.isLeaving === true) {
      // Lets requests in flight at a leaving leader complete.
      await revoking;
      await delay(HANDOVER_DRAIN_MS);
    }
    const pauses = await this.#pauses.pause(others, []);
    const outcomes = await this.#orders.awaitRevocation(revoking, options.now());
    return { pauses, outcomes };
  }

  /** Uses the answers of other daemons, since this one may have just started and not know who led. */
  #determineLastLeader(outcomes: readonly OrderOutcome[]): void {
    const { lastLed, lastTerm } = this.ports;
    const reported = outcomes.map((outcome) => (outcome.kind === 'answered' ? outcome.answer.lastLed : null));
    this.#lastLeader = findLeaderOfTerm(lastTerm, [lastLed, ...reported]);
  }

  /** A daemon may know of a later leader that an earlier holder of the duty promoted and did not announce. */
  #observeReportedTerms(outcomes: readonly OrderOutcome[]): void {
    for (const outcome of outcomes) {
      if (outcome.kind !== 'answered') continue;
      const { latest, lastLed } = outcome.answer;
      this.ports.pauses.observeTerm(Math.max(latest.term, lastLed?.term ?? 0));
    }
  }

  /** Asks all replicas known by now for their status; those that were not known before are paused first. */
  async #finalCheck(pauses: PauseSummary): Promise<FinalCheck> {
    const { group, leaderLoss, lastTerm, options } = this.ports;
    const late = await this.#pauses.pause(this.#pauses.notRequested(), pauses.paused);
    if (late.paused.length > 0) await this.#orders.awaitExpiry(options.now());
    const rechecked = await this.ports.pauses.recheck(
      [...pauses.paused, ...late.paused],
      this.#term + 1,
      this.#lastLeader?.memberId ?? null,
    );
    const replicas = {
      paused: rechecked.stillPaused,
      ended: [...pauses.ended, ...late.ended, ...rechecked.ended],
      unanswered: [...pauses.missing, ...late.missing, ...rechecked.missing],
    };
    const lastLeader = this.#lastLeader;
    return {
      paused: rechecked.stillPaused,
      missing: findMissing(replicas, { group, leaderLoss, lastTerm, lastLeader, nowMs: options.now() }),
      allPausesHold: rechecked.unpaused.length === 0,
    };
  }

  /**
   * True when a member follows a later term, or a daemon knows of one: its leader may not be among the members
   * that were asked, and daemons acknowledge commits of that leader.
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

  #choose(
    check: FinalCheck,
    acknowledged: Acknowledged,
    outcomes: ReadonlyMap<string, OrderOutcome>,
  ): PausedReplica | null {
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
      unheard: namesWithoutAnswer(outcomes),
      ended: namesOfEnded(outcomes),
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
      this.#hasCalled = true;
      this.#orders.recordCall(memberId, fence);
      this.#orders.renewSeal();
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
      renewRevocation: () => this.#orders.renewSeal(),
      enforcePauses: () => this.#pauses.enforce(member),
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

  #announce({ entry: { memberId } }: Member, { term, received }: MemberStatus): void {
    const { options, group, openCalls } = this.ports;
    group.recordLeader({ memberId, term }, received);
    // A member that leads a term between the two, unseen, has no evidence from the store.
    if (this.#raised?.term !== term - 1) void options.replacedTerms.set(group.name, term - 1);
    options.leaderPromoted();
    const mayBeReplaced = openCalls.untilMs > options.now();
    this.#orders.announce({ memberId, term, held: received, mayBeReplaced });
  }

  async #end(successor: PausedReplica): Promise<PromotionOutcome> {
    const { options, group } = this.ports;
    const leader = successor.member;
    this.#pauses.end();
    options.log('promotion_ends', {
      group: group.name,
      leader: leader.entry.memberId,
      ms: Math.round(options.now() - this.#startedAtMs),
    });
    await this.#pauses.resumeAllBut(leader);
    if (!this.#isLeaderResponsive) await this.#demoteLeader();
    return { kind: 'led', leader };
  }

  /** Ends the promotion before it has changed anything: the store did not accept the record in time. */
  #endUnrecorded(): PromotionOutcome {
    const { options, group } = this.ports;
    options.log('promotion_given_up', { group: group.name, reason: 'the store has not recorded it' });
    return { kind: 'given_up' };
  }

  async #giveUp(check: FinalCheck, successor: PausedReplica | null = null): Promise<PromotionOutcome> {
    const { options, group } = this.ports;
    this.#pauses.end();
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
   * be those of the next duty holder. The revocation of a term that has been superseded stays: a replica that
   * does not follow the later leader would be evidence for the replaced one.
   */
  async #rollBack(): Promise<void> {
    const { options, group } = this.ports;
    if (this.ports.fence(0) === null) return;
    await this.#pauses.resumeAllBut(null);
    if (this.#isSuperseded()) return;
    this.#orders.allow();
    // After a call the record stays: the platform may still replace the leader. So does that of an earlier call.
    const found = this.#raised?.found ?? null;
    if (!this.#hasCalled && found !== null) void options.replacedTerms.set(group.name, found);
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
