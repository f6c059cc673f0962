/**
 * Runs a read outside a transaction: selects a member, retries at another one when the read is refused or its
 * connection is lost, and sends a hedged request to a second member when the first is slow.
 *
 * @packageDocumentation
 */
import { AdmissionError } from '../admission/admission-error.js';
import { LoadRefusals } from '../admission/load-refusals.js';
import { ChangeSignal } from '../common/signal.js';
import { CUT_OFF_REASON, cutOffRefusal, type IsolationListener } from '../isolation/isolation.js';
import { isOutOfReach, isPathSilent, isReadOutOfReach } from '../isolation/reach.js';
import { formatPosition, type Position } from '../position/position.js';
import type { PendingRead } from '../placement/pending-reads.js';
import type { Leader } from '../leadership/leadership-evidence.js';
import type { ReadFloor } from '../leadership/position-history.js';
import type { Route } from '../topology/catalog.js';
import type { LeadershipSummary, Member, MemberGroup } from '../topology/member-group.js';
import { alternativeCandidates, selectReadMember, type ReadCandidate } from '../topology/select-member.js';
import { dueAt, type LinkDemand } from './link-queue.js';
import {
  isNonEmptyLog,
  isStillLeader,
  mayReadAsLeader,
  NO_LEADER_EVIDENCE,
  OTHER_INCARNATION,
  recordLeaderPosition,
  verifyLeaderIncarnation,
} from './leader-identity.js';
import { LinkAcquisition, type GrantedLink, type LinkSource } from './link-acquisition.js';
import {
  DialError,
  hasLostLog,
  isMemberBusy,
  NotSentError,
  type MemberErrorCode,
  type MemberReply,
} from './member-link.js';
import { maxHoldMs, shouldRefuseEarly } from './early-refusal.js';
import {
  haveAllRefused,
  readCandidates,
  readFloor,
  readPreferences,
  recordReplicaProgress,
} from './read-candidates.js';
import { overloadRefusal, Refusal } from './refusal.js';
import { LATE_REPLY_TIMEOUT_MS, RETRY_AFTER_MS, RETRY_DELAY_MS, type RelayContext } from './relay-context.js';
import { awaitRetryPermit } from './retry-permit.js';
import type { SessionFloor } from './session-commits.js';
import type { SessionLink, SessionValues } from './session-link.js';
import { sendStatement, type SessionStatement } from './send-statement.js';

/** A read to be run. */
export interface ReadJob {
  readonly requestId: string;
  readonly statement: SessionStatement;
  readonly route: Route;
  readonly group: MemberGroup;
  /** Tenant name that is passed to members. */
  readonly tenantName: string;
  readonly values: SessionValues;
  /** What the session's own commits require, or `null`. */
  readonly sessionFloor: SessionFloor | null;
  /** Latest time at which the first byte of the request may have been sent, in monotonic milliseconds. */
  readonly receivedAtMs: number;
  readonly deadlineMs: number;
}

/** Outcome of one attempt, and the members it concerns. */
type Attempt =
  | { readonly kind: 'reply'; readonly reply: MemberReply }
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly reply: MemberReply;
      readonly members: Iterable<Member>;
    }
  | {
      readonly kind: 'not_run' | 'lost' | 'overloaded' | 'busy';
      readonly reason: string;
      readonly members: Iterable<Member>;
    };

/**
 * An attempt in progress: it waits for a connection to one of several members, then for that member's answer.
 */
interface PendingAttempt {
  /** The candidate that was chosen first. */
  readonly choice: ReadCandidate;
  readonly wait: LinkAcquisition<Member>;
  /** When the read was sent, in monotonic milliseconds; `null` while waiting for a connection. */
  sentAtMs: number | null;
  /** True once the gateway through which the read was sent has stopped replying; the answer may still arrive. */
  isSilent: boolean;
  /** The connection, once granted. */
  granted: GrantedLink<Member> | null;
}

/** Share of the target latency after which a hedged request is sent to a second member. */
const HEDGE_SHARE = 0.6;

/**
 * Interval at which a hedged request that is due, and that no other member has a connection for, is tried again, in
 * milliseconds. Each try evaluates all members of the group.
 */
const HEDGE_POLL_MS = 10;

/** Hedge delay that is longer than any request, in milliseconds: no further attempt is started. */
const NO_HEDGE_MS = 60_000;

const ANSWERED_ELSEWHERE = 'answered by another member';

/** Limit on concurrent attempts of one read. */
const MAX_PARALLEL = 2;

const NOT_RUN_CODES: ReadonlySet<MemberErrorCode> = new Set(['busy', 'behind', 'read_only']);

/** Failed runs of a read after which the failure is returned to the client. */
const MAX_FAILURES = 3;

/** Codes of a read that ran and failed; since reads have no effect, another member may be tried. */
const FAILED_CODES: ReadonlySet<MemberErrorCode> = new Set(['failed', 'timed_out', 'other']);

/** Runs one read. */
export class ReadRunner implements IsolationListener {
  readonly #excluded = new Set<string>();
  /** Members to which no connection could be opened since the exclusions were last cleared. */
  readonly #unreachable = new Set<string>();
  readonly #loadRefusals = new LoadRefusals();
  readonly #pending = new Set<PendingAttempt>();
  /** Attempts that have ended and are not processed yet. */
  readonly #endedAttempts: Attempt[] = [];
  /** Notified when an attempt has ended, or its gateway has stopped replying. */
  readonly #attemptChanged = new ChangeSignal();
  #isHedgeWithheld = false;
  #isSettled = false;
  #isAbandoned = false;
  /** Number of attempts that were sent to a member and not refused as not run. */
  #possiblyRunCount = 0;
  #lastReason = 'no member can serve';
  /** Answer of a member that ran the read and failed; returned when no other member succeeds. */
  #failedReply: MemberReply | null = null;
  #failureCount = 0;

  constructor(
    private readonly context: RelayContext,
    private readonly job: ReadJob,
  ) {}

  /** True once the statement has been sent to a member, unless every such attempt was refused as not run. */
  get wasSent(): boolean {
    return this.#possiblyRunCount > 0;
  }

  /** Abandons the read: nothing more is sent. */
  abandon(): void {
    this.#isSettled = true;
    this.#isAbandoned = true;
    for (const { wait } of this.#pending) wait.cancel();
    this.#attemptChanged.notify();
  }

  /** Gives up attempts over silent paths; their answers would still be returned while others are awaited. */
  cutOff(): void {
    for (const pending of [...this.#pending]) {
      const { granted } = pending;
      if (granted === null || !isPathSilent(this.context, granted.member, granted.link)) continue;
      this.#pending.delete(pending);
      this.#attemptChanged.notify();
    }
  }

  /**
   * Returns the first answer that is not worth retrying at another member.
   *
   * @throws {@link Refusal}
   */
  async run(): Promise<MemberReply> {
    this.job.group.retries.recordFirstAttempt();
    const { isolation } = this.context;
    isolation.add(this);
    try {
      return await this.#run();
    } finally {
      isolation.remove(this);
      this.#isSettled = true;
      for (const { wait } of this.#pending) wait.cancel();
    }
  }

  async #run(): Promise<MemberReply> {
    for (;;) {
      const remaining = this.job.deadlineMs - this.context.now();
      if (this.#isAbandoned) return this.#resultWithoutAnswer();
      if (this.#endedAttempts.length === 0) {
        if (remaining <= 0) return this.#resultWithoutAnswer();
        this.#scheduleAttempt();
      }
      if (this.#isWithoutProspect()) {
        if (this.#pending.size === 0) {
          if (this.#failedReply !== null && this.#failureCount >= MAX_FAILURES) return this.#failedReply;
          if (this.#isCutOff() || this.#shouldRefuseEarly() || this.#haveAllRefused())
            return this.#resultWithoutAnswer();
        }
        await this.#waitForMember(remaining);
        continue;
      }
      const attempt = await this.#nextEndedAttempt(remaining);
      if (attempt === null) continue;
      if (attempt.kind === 'reply') return attempt.reply;
      if (attempt.kind === 'failed') {
        this.#failedReply = attempt.reply;
        this.#failureCount += 1;
        if (this.#failureCount >= MAX_FAILURES) return attempt.reply;
      }
      this.#lastReason = attempt.reason;
      // The refusals because of load are kept apart, since they exclude gateways as well as members.
      if (attempt.kind === 'overloaded') continue;
      this.#exclude(attempt.members, attempt.reason, attempt.kind === 'busy' ? 'not_run' : attempt.kind);
      const isLast = this.#pending.size === 0 && this.#endedAttempts.length === 0;
      if (attempt.kind === 'busy' && isLast && !(await this.#mayRetry())) return this.#resultWithoutAnswer();
    }
  }

  /** Waits shortly until a member may be able to serve the read; those that have failed are then tried again. */
  async #waitForMember(remainingMs: number): Promise<void> {
    this.#excluded.clear();
    this.#unreachable.clear();
    const waitMs = Math.min(RETRY_DELAY_MS, remainingMs);
    await Promise.race([this.job.group.changed.wait(waitMs), this.#attemptChanged.wait(waitMs)]);
  }

  /** Excludes the members of a failed attempt from the next ones, and logs the attempt. */
  #exclude(members: Iterable<Member>, reason: string, outcome: string): void {
    const memberIds = [...members].map(({ entry }) => entry.memberId);
    for (const memberId of memberIds) this.#excluded.add(memberId);
    this.context.observer.notable({
      requestId: this.job.requestId,
      decision: 'read_elsewhere',
      member: memberIds.join(','),
      reason,
      outcome,
    });
  }

  /** Waits until the read may be sent again after a member has refused it because of load. */
  #mayRetry(): Promise<boolean> {
    const { group, route, receivedAtMs, deadlineMs } = this.job;
    const untilMs = Math.min(deadlineMs, receivedAtMs + maxHoldMs(route.timeoutMs));
    return awaitRetryPermit(this.context, group, untilMs);
  }

  /** True if the retry budget allows a hedged request; otherwise none is sent for this read. */
  #mayHedge(): boolean {
    if (!this.#isHedgeWithheld) {
      this.#isHedgeWithheld = !this.job.group.retries.tryTake();
      this.context.observer.retryDecided(this.#isHedgeWithheld ? 'withheld' : 'sent');
    }
    return !this.#isHedgeWithheld;
  }

  /**
   * Waits for the next attempt to end; `null` when a hedged request may be due, the group has changed or time
   * is up.
   */
  async #nextEndedAttempt(remainingMs: number): Promise<Attempt | null> {
    if (this.#endedAttempts.length === 0) {
      const hedgeDelayMs = this.#hedgeDelayMs();
      const waitMs = Math.min(hedgeDelayMs > 0 ? Math.max(1, hedgeDelayMs) : HEDGE_POLL_MS, remainingMs);
      const isWaiting = this.#attemptInQueue() !== null;
      const wakeUps = [this.#attemptChanged.wait(waitMs)];
      if (isWaiting) wakeUps.push(this.job.group.changed.wait(waitMs));
      await Promise.race(wakeUps);
    }
    return this.#endedAttempts.shift() ?? null;
  }

  /** True when this daemon is isolated and no member in reach can serve the read. */
  #isCutOff(): boolean {
    const { context, job } = this;
    if (!context.isolation.isIsolated) return false;
    const floor = readFloor(job.group, job.route, job.sessionFloor, job.receivedAtMs);
    return isReadOutOfReach(context, job.group, floor, this.#excluded);
  }

  /** True when no member can serve the read now and the client should retry at another daemon. */
  #shouldRefuseEarly(): boolean {
    const { context, job } = this;
    const now = context.now();
    const isLeaderOnly = job.route.consistency === 'primary';
    const { group, tenantName } = job;
    const candidates = readCandidates(context, group, { floor: null, tenantName, excluded: null }).filter(
      ({ isLeader }) => isLeader || !isLeaderOnly,
    );
    return shouldRefuseEarly({
      heldMs: now - job.receivedAtMs,
      timeoutMs: job.route.timeoutMs,
      leaderlessMs: job.group.leaderlessMs(now),
      isUnreachable:
        candidates.length > 0 &&
        candidates.every(({ isAvoided, memberId }) => isAvoided || this.#unreachable.has(memberId)),
    });
  }

  /**
   * True when every member that may serve the read now has refused it because of the expected wait, or can't be
   * reached.
   */
  #haveAllRefused(): boolean {
    if (this.wasSent) return false;
    const { group, route, sessionFloor, receivedAtMs } = this.job;
    const floor = readFloor(group, route, sessionFloor, receivedAtMs);
    return haveAllRefused(this.context, group, {
      refusals: this.#loadRefusals,
      floor,
      heldMs: this.context.now() - receivedAtMs,
      timeoutMs: route.timeoutMs,
      unreachable: this.#unreachable,
    });
  }

  /** Attempts in progress, except those whose gateway has stopped replying. */
  get #responsiveAttempts(): readonly PendingAttempt[] {
    return [...this.#pending].filter(({ isSilent }) => !isSilent);
  }

  /** True when a further attempt is due but could not be started: no member can serve the read now. */
  #isWithoutProspect(): boolean {
    if (this.#endedAttempts.length > 0 || this.#pending.size >= MAX_PARALLEL) return false;
    return this.#responsiveAttempts.length === 0;
  }

  /** Time until the next attempt may be started, in milliseconds; 0 when it may be started now. */
  #hedgeDelayMs(): number {
    if (this.#pending.size >= MAX_PARALLEL) return NO_HEDGE_MS;
    const responsive = this.#responsiveAttempts;
    if (responsive.length === 0) return 0;
    if (this.#isHedgeWithheld) return NO_HEDGE_MS;
    const now = this.context.now();
    const hedgeMs = this.job.route.targetLatencyMs * HEDGE_SHARE;
    const sentAtMs = Math.max(...responsive.map((pending) => pending.sentAtMs ?? now));
    return Math.max(0, sentAtMs + hedgeMs - now);
  }

  /** The attempt that is waiting for a connection, or `null`. */
  #attemptInQueue(): PendingAttempt | null {
    for (const pending of this.#pending) if (pending.wait.isWaiting) return pending;
    return null;
  }

  /** Starts an attempt if one is due, or adds members to the attempt that is waiting for a connection. */
  #scheduleAttempt(): void {
    const waiting = this.#attemptInQueue();
    if (waiting === null && this.#hedgeDelayMs() > 0) return;
    const { group, route, tenantName, sessionFloor, receivedAtMs } = this.job;
    const floor = readFloor(group, route, sessionFloor, receivedAtMs);
    const excluded = new Set([...this.#excluded, ...this.#loadRefusals.memberIds]);
    // Another gateway of the member may reply while the one of a silent attempt does not.
    for (const { wait } of this.#responsiveAttempts)
      for (const { entry } of wait.members) excluded.add(entry.memberId);
    for (const [memberId, candidate] of group.members)
      if (isOutOfReach(this.context, candidate)) excluded.add(memberId);
    const demand = { floor, excluded };
    const candidates = readCandidates(this.context, group, { ...demand, tenantName });
    const choice = selectReadMember(candidates, demand, readPreferences(this.context, tenantName));
    const member = choice === null ? undefined : group.members.get(choice.memberId);
    if (choice === null || member === undefined) return;
    const others = alternativeCandidates(choice, candidates, demand).flatMap(
      ({ memberId }) => group.members.get(memberId) ?? [],
    );
    if (waiting !== null) {
      if (!choice.isAvoided) waiting.wait.enqueueAll(directQueuesOf([member, ...others]));
      return;
    }
    const isHedge = this.#responsiveAttempts.length > 0;
    if (isHedge && (choice.isAvoided || member.pool.isExhausted || !this.#mayHedge())) return;
    this.#startAttempt(choice, member, member.pool.isExhausted ? others : []);
  }

  /** Starts an attempt at the chosen member, or at whichever of it and the others has a free connection first. */
  #startAttempt(choice: ReadCandidate, member: Member, others: readonly Member[]): void {
    const demand = this.#demand();
    const waitMs = this.job.deadlineMs - this.context.now();
    const wait = new LinkAcquisition<Member>(demand, waitMs);
    const pending: PendingAttempt = { choice, wait, sentAtMs: null, isSilent: false, granted: null };
    this.#pending.add(pending);
    void this.#attempt(pending).then((attempt) => {
      this.#pending.delete(pending);
      this.#endedAttempts.push(attempt);
      this.#attemptChanged.notify();
    });
    if (member.pool.usesOwnPool) pending.wait.enqueueAll(directQueuesOf([member, ...others]));
    else {
      const refusedBy = this.#loadRefusals.gatewayOf(member.entry.memberId);
      pending.wait.completeWith(member, () => member.pool.borrow(demand, waitMs, refusedBy));
    }
  }

  #demand(): LinkDemand {
    const { tenantName, values, route, deadlineMs } = this.job;
    return {
      tenantName,
      values,
      isWrite: false,
      priority: route.priority,
      dueAtMs: dueAt(route, deadlineMs),
      deadlineMs,
    };
  }

  async #attempt(pending: PendingAttempt): Promise<Attempt> {
    const { wait } = pending;
    let granted: GrantedLink<Member>;
    try {
      granted = await wait.granted;
    } catch (error) {
      for (const [{ entry }, failure] of wait.failures) {
        if (failure instanceof DialError) this.#unreachable.add(entry.memberId);
        if (failure instanceof AdmissionError) this.#loadRefusals.record(entry.memberId, failure);
      }
      for (const { entry } of wait.members) this.#loadRefusals.recordSecondFailure(entry.memberId);
      if (error instanceof AdmissionError)
        return { kind: 'overloaded', reason: error.message, members: wait.members };
      return { kind: 'not_run', reason: `no connection: ${String(error)}`, members: wait.members };
    }
    const { link, member } = granted;
    pending.granted = granted;
    try {
      return await this.#sendOver(link, member, pending);
    } finally {
      member.pool.release(link);
    }
  }

  async #sendOver(link: SessionLink, member: Member, pending: PendingAttempt): Promise<Attempt> {
    const { job, context } = this;
    const members = [member];
    if (this.#isSettled) return { kind: 'not_run', reason: ANSWERED_ELSEWHERE, members };
    if (isPathSilent(context, member, link)) return { kind: 'not_run', reason: CUT_OFF_REASON, members };
    const asLeader = job.group.leader(context.now()) === member;
    const leader = asLeader ? job.group.evidence.leader : null;
    const floor = asLeader ? null : readFloor(job.group, job.route, job.sessionFloor, job.receivedAtMs);
    if (!asLeader && floor === null) return { kind: 'not_run', reason: 'no position of the leader', members };
    const after = asLeader ? job.group.leaderPosition : (floor?.position ?? null);
    context.observer.routine({
      requestId: job.requestId,
      decision: 'read_at',
      member: member.entry.memberId,
      leader: asLeader,
      floor: floor === null ? null : formatPosition(floor.position),
      after: after === null ? null : formatPosition(after),
      second: this.#pending.size > 1,
      ...describeChoice(pending.choice, member),
      ...describeEvidence(context, job.group),
    });
    const deadlineTimer = setTimeout(
      () => link.close(),
      job.deadlineMs - context.now() + LATE_REPLY_TIMEOUT_MS,
    );
    link.onUnresponsive(() => this.#handleSilence(pending, member));
    let isSent = false;
    let isAnswered = false;
    let pendingRead: PendingRead | null = null;
    try {
      if (leader !== null && !(await mayReadAsLeader(context, job.group, leader, link, after)))
        return { kind: 'not_run', reason: OTHER_INCARNATION, members };
      const reply = await sendStatement(link, job.statement, job.requestId, job.values, after, () => {
        if (this.#isSettled) return ANSWERED_ELSEWHERE;
        if (isPathSilent(context, member, link)) return CUT_OFF_REASON;
        if (asLeader && job.group.leader(context.now()) !== member) return NO_LEADER_EVIDENCE;
        isSent = true;
        this.#possiblyRunCount += 1;
        pending.sentAtMs = context.now();
        pendingRead = member.pendingReads.start(pending.sentAtMs);
        return null;
      });
      if (typeof reply === 'string') return { kind: 'not_run', reason: reply, members };
      isAnswered = true;
      const { result, position } = reply.reply;
      if (leader !== null) this.#logAnswerInDoubt(member, leader, after, reply.reply);
      if (leader !== null && result.isComplete && !isNonEmptyLog(after)) {
        const isVerified = await verifyLeaderIncarnation(context, job.group, leader, link, position);
        if (!isVerified) return { kind: 'lost', reason: OTHER_INCARNATION, members };
      }
      const attempt = this.#classifyReply(member, leader, floor, reply.reply, reply.sentAtMs);
      if (attempt.kind === 'not_run' || attempt.kind === 'busy') this.#possiblyRunCount -= 1;
      return attempt;
    } catch (error) {
      const isLost = isSent && !(error instanceof NotSentError);
      if (isSent && !isLost) this.#possiblyRunCount -= 1;
      if (error instanceof AdmissionError) {
        this.#loadRefusals.record(member.entry.memberId, error);
        return { kind: 'overloaded', reason: error.message, members };
      }
      return { kind: isLost ? 'lost' : 'not_run', reason: `connection lost: ${String(error)}`, members };
    } finally {
      clearTimeout(deadlineTimer);
      if (pendingRead !== null) {
        if (isAnswered) member.pendingReads.end(pendingRead, context.now());
        else member.pendingReads.giveUp(pendingRead);
      }
    }
  }

  /** Makes a further attempt due, because the gateway through which a read was sent has stopped replying. */
  #handleSilence(pending: PendingAttempt, member: Member): void {
    if (this.#isSettled) return;
    pending.isSilent = true;
    this.context.observer.notable({
      requestId: this.job.requestId,
      decision: 'read_gateway_silent',
      member: member.entry.memberId,
      sentAgoMs: pending.sentAtMs === null ? null : Math.round(this.context.now() - pending.sentAtMs),
    });
    this.#attemptChanged.notify();
  }

  /**
   * Logs an answer of the leader that may come from another process under its id: one to a read that named no
   * log entry, or one that came when the leader was not proven any more.
   */
  #logAnswerInDoubt(member: Member, leader: Leader, after: Position | null, reply: MemberReply): void {
    const { context, job } = this;
    const isProven = isStillLeader(context, job.group, leader);
    if (isProven && isNonEmptyLog(after)) return;
    context.observer.notable({
      requestId: job.requestId,
      decision: 'read_answered',
      member: member.entry.memberId,
      after: after === null ? null : formatPosition(after),
      position: reply.position === null ? null : formatPosition(reply.position),
      outcome: reply.result.isComplete ? 'complete' : reply.result.code,
      proven: isProven,
      ...describeEvidence(context, job.group),
    });
  }

  #classifyReply(
    member: Member,
    leader: Leader | null,
    floor: ReadFloor | null,
    reply: MemberReply,
    sentAtMs: number,
  ): Attempt {
    const { group } = this.job;
    const asLeader = leader !== null;
    const answerMs = this.context.now() - sentAtMs;
    const members = [member];
    member.recordAnswer(this.context.now());
    recordReplicaProgress(member, floor, reply, this.context.now());
    if (asLeader && hasLostLog(reply)) this.context.suspect(group, member, 'lost_log');
    if (asLeader && reply.result.isComplete)
      recordLeaderPosition(this.context, group, leader, sentAtMs, reply.position);
    member.recordOutcome(!reply.result.isComplete && FAILED_CODES.has(reply.result.code), this.context.now());
    if (reply.result.isComplete) {
      if (this.context.placement === undefined) member.recordLatency(answerMs);
      else this.context.placement.recordLatency(member, answerMs);
      this.context.observer.memberAnswered('read', asLeader, answerMs);
      return { kind: 'reply', reply };
    }
    const { code } = reply.result;
    if (isMemberBusy(reply)) return { kind: 'busy', reason: code, members };
    if (NOT_RUN_CODES.has(code) || code === 'unknown_name') return { kind: 'not_run', reason: code, members };
    if (FAILED_CODES.has(code)) return { kind: 'failed', reason: code, reply, members };
    return { kind: 'reply', reply };
  }

  #resultWithoutAnswer(): MemberReply {
    if (this.#failedReply !== null) return this.#failedReply;
    if (this.#isCutOff()) throw cutOffRefusal(this.wasSent, { group: this.job.group.name });
    if (this.wasSent)
      throw new Refusal('timed_out', 'may_have_run', `no answer in time: ${this.#lastReason}`);
    const { longest } = this.#loadRefusals;
    if (longest !== null && this.#haveAllRefused()) throw overloadRefusal(longest, {});
    throw new Refusal('busy', 'not_run', this.#lastReason, RETRY_AFTER_MS);
  }
}

/** What the choice of a member was based on, for the log; times in milliseconds. */
interface ChoiceSummary {
  readonly load?: number;
  readonly latencyMs?: number;
  readonly distanceMs?: number;
  /** True if the load includes what gateways have reported. */
  readonly reported?: boolean;
}

/** What the choice was based on; nothing if another member had a free connection first. */
function describeChoice(choice: ReadCandidate, { entry }: Member): ChoiceSummary {
  if (choice.memberId !== entry.memberId) return {};
  return {
    load: Number(choice.load.toFixed(1)),
    latencyMs: Math.round(choice.latencyMs),
    distanceMs: Math.round(choice.distanceCostMs),
    reported: choice.isLoadReported,
  };
}

/** The evidence for the leader of a group, for a log line about a read. */
function describeEvidence(context: RelayContext, group: MemberGroup): Omit<LeadershipSummary, 'leader'> {
  const { term, evidenceLeftMs, evidenceFrom, sinceRevokedMs } = group.describeLeadership(context.now());
  return { term, evidenceLeftMs, evidenceFrom, sinceRevokedMs };
}

/** The pools in which a request can queue: those of members to which this daemon connects directly. */
function directQueuesOf(
  members: readonly Member[],
): { readonly source: LinkSource; readonly member: Member }[] {
  return members
    .filter(({ pool }) => pool.usesOwnPool)
    .map((member) => ({ source: member.pool.ownPool, member }));
}
