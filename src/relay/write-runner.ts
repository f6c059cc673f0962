/**
 * Runs a write outside a transaction at the leader: waits for a leader, and refuses the write as in doubt
 * when its answer is lost.
 *
 * @packageDocumentation
 */
import { AdmissionError } from '../admission/admission-error.js';
import { LoadRefusals } from '../admission/load-refusals.js';
import { CUT_OFF_REASON, cutOffRefusal, type IsolationListener } from '../isolation/isolation.js';
import { isLeaderOutOfReach } from '../isolation/reach.js';
import type { Leader } from '../leadership/leadership-evidence.js';
import type { Route } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { proveCommit } from './commit-proof.js';
import { recordLeaderPosition } from './leader-identity.js';
import { dueAt, type LinkDemand } from './link-queue.js';
import { DialError, isMemberBusy, NotSentError, type MemberReply } from './member-link.js';
import type { SessionLink, SessionValues } from './session-link.js';
import { overloadRefusal, Refusal, type RefusalDetails } from './refusal.js';
import { maxHoldMs, shouldRefuseEarly } from './early-refusal.js';
import { RETRY_AFTER_MS, RETRY_DELAY_MS, type RelayContext } from './relay-context.js';
import { awaitRetryPermit } from './retry-permit.js';
import { sendStatement, type SessionStatement } from './send-statement.js';

/** A write to be run. */
export interface WriteJob {
  readonly requestId: string;
  readonly statement: SessionStatement;
  readonly route: Route;
  readonly group: MemberGroup;
  /** Tenant name that is passed to members. */
  readonly tenantName: string;
  readonly values: SessionValues;
  readonly deadlineMs: number;
}

/** Time reserved before the deadline for running a request at a new leader, in milliseconds. */
export const LEADER_RESERVE_MS = 60;

/** Reason of the refusal when a commit that the leader has completed cannot be acknowledged. */
export const LEADER_REPLACED = 'the leader is being replaced, perhaps without it';

/**
 * Start of a wait for the leader in monotonic milliseconds, and the time-out of the request in milliseconds.
 */
export interface LeaderWait {
  readonly sinceMs: number;
  readonly timeoutMs: number;
}

/** Longest interval between two checks whether to keep waiting for a leader, in milliseconds. */
const LEADER_POLL_MS = 100;

/**
 * Waits for a leader with valid evidence; `null` when there is none by `untilMs`, or when the client should
 * rather retry at another daemon.
 */
export async function awaitLeader(
  context: RelayContext,
  group: MemberGroup,
  untilMs: number,
  wait: LeaderWait,
): Promise<Member | null> {
  for (;;) {
    const now = context.now();
    const leader = group.leader(now);
    if (leader !== null) return leader;
    if (now >= untilMs || shouldStopWaiting(context, group, false, wait)) return null;
    await group.changed.wait(Math.min(LEADER_POLL_MS, untilMs - now));
  }
}

/**
 * True when a request that needs the leader should be refused now, so that the client can retry at another
 * daemon.
 *
 * @param isUnreachable - the leader did not answer, or could not be connected to
 */
export function shouldStopWaiting(
  context: RelayContext,
  group: MemberGroup,
  isUnreachable: boolean,
  { sinceMs, timeoutMs }: LeaderWait,
): boolean {
  if (isLeaderOutOfReach(context, group)) return true;
  const now = context.now();
  return shouldRefuseEarly({
    heldMs: now - sinceMs,
    timeoutMs,
    leaderlessMs: group.leaderlessMs(now),
    isUnreachable,
  });
}

export class WriteRunner implements IsolationListener {
  #lastReason = 'no leader';
  /** True when no connection could be opened at the last attempt. */
  #isUnreachable = false;
  #wasSent = false;
  /** The connection on which the write is prepared or was sent. */
  #link: SessionLink | null = null;
  #isAbandoned = false;
  /** True when the leader refused the last attempt because of load. */
  #isBusy = false;
  readonly #loadRefusals = new LoadRefusals();

  constructor(
    private readonly context: RelayContext,
    private readonly job: WriteJob,
  ) {}

  /** True once the write has been sent to the leader, unless the leader refused it as not run. */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /** Abandons the write: nothing more is sent. */
  abandon(): void {
    this.#isAbandoned = true;
  }

  /** Closes the connection unless the write was sent; a sent write awaits its answer until its deadline. */
  cutOff(): void {
    if (!this.#wasSent) this.#link?.close();
  }

  /**
   * Returns the leader's answer.
   *
   * @throws {@link Refusal}
   */
  async run(): Promise<MemberReply> {
    const { context, job } = this;
    const wait = { sinceMs: context.now(), timeoutMs: job.route.timeoutMs };
    const retryUntilMs = Math.min(job.deadlineMs, wait.sinceMs + maxHoldMs(wait.timeoutMs));
    job.group.retries.recordFirstAttempt();
    for (;;) {
      const leader = await awaitLeader(context, job.group, job.deadlineMs - LEADER_RESERVE_MS, wait);
      if (leader === null || context.now() >= job.deadlineMs || this.#isAbandoned) throw this.#notRun();
      if (context.isolation.isIsolated) throw this.#notRun();
      const { commits } = job.group;
      if (commits.isSlow(context.now())) {
        // A write sent now could end in doubt, and would occupy a connection that reads could use.
        const isStalled = commits.isStalled(context.now());
        this.#lastReason = isStalled ? 'commits stall' : 'an earlier commit is slow';
        if (shouldStopWaiting(context, job.group, isStalled, wait)) throw this.#notRun();
        await job.group.changed.wait(RETRY_DELAY_MS);
        continue;
      }
      const reply = await this.#attempt(leader);
      if (reply === 'refused_by_gateway') continue;
      if (reply !== null) return this.#withCommitProof(reply);
      const isUnreachable = this.#isUnreachable || leader.isAvoided(context.now());
      if (shouldStopWaiting(context, job.group, isUnreachable, wait)) throw this.#notRun();
      context.observer.notable({
        requestId: job.requestId,
        decision: 'write_again',
        member: leader.entry.memberId,
        reason: this.#lastReason,
      });
      await job.group.changed.wait(RETRY_DELAY_MS);
      if (this.#isBusy && !(await awaitRetryPermit(context, job.group, retryUntilMs))) throw this.#notRun();
    }
  }

  /**
   * Holds back the answer to a completed write until its commit is proven, and refuses it as in doubt
   * otherwise.
   */
  async #withCommitProof(reply: MemberReply): Promise<MemberReply> {
    const { context, job } = this;
    const { position } = reply;
    if (!reply.result.isComplete || position === null) return reply;
    if (!(await proveCommit(context, { ...job, position }))) throw this.#leaderReplaced();
    return reply;
  }

  /**
   * Makes one attempt; `null` when the write was not run, `refused_by_gateway` when another gateway may accept
   * it.
   */
  async #attempt(leader: Member): Promise<MemberReply | 'refused_by_gateway' | null> {
    const { context, job } = this;
    this.#isUnreachable = false;
    this.#isBusy = false;
    const refusedBy = this.#loadRefusals.gatewayOf(leader.entry.memberId);
    let link;
    try {
      const options = { refusedBy, isGrantWanted: true };
      link = await leader.pool.acquire(this.#demand(), job.deadlineMs - context.now(), options);
    } catch (error) {
      if (error instanceof AdmissionError || refusedBy !== null) return this.#refusedByLoad(leader, error);
      this.#isUnreachable = error instanceof DialError;
      this.#lastReason = `no connection: ${String(error)}`;
      return null;
    }
    let sentAtMs = 0;
    const { leader: expectedLeader } = job.group.evidence;
    this.#link = link;
    context.isolation.add(this);
    const deadlineTimer = setTimeout(() => link.close(), job.deadlineMs - context.now());
    const commit = job.group.commits.recordSent(context.now());
    let isAnswered = false;
    try {
      const sent = await sendStatement(link, job.statement, job.requestId, job.values, null, () => {
        if (this.#isAbandoned) return 'given up';
        if (context.isolation.isIsolated) return CUT_OFF_REASON;
        if (job.group.leader(context.now()) !== leader) return 'no evidence of the leader';
        this.#wasSent = true;
        sentAtMs = context.now();
        return null;
      });
      if (typeof sent === 'string') {
        this.#lastReason = sent;
        return null;
      }
      isAnswered = true;
      const reply = this.#handleReply(leader, sent.reply, sent.sentAtMs, expectedLeader);
      if (reply === null) this.#wasSent = false;
      return reply;
    } catch (error) {
      if (error instanceof Refusal) throw error;
      if (error instanceof NotSentError) this.#wasSent = false;
      if (error instanceof AdmissionError) return this.#refusedByLoad(leader, error);
      if (!this.#wasSent) {
        this.#lastReason = `connection lost: ${String(error)}`;
        return null;
      }
      throw new Refusal('in_doubt', 'may_have_run', `answer lost: ${String(error)}`, null, {
        member: leader.entry.memberId,
        sentAgoMs: Math.round(context.now() - sentAtMs),
        ...this.#details(),
      });
    } finally {
      this.#link = null;
      context.isolation.remove(this);
      job.group.commits.recordEnded(commit, isAnswered, context.now());
      clearTimeout(deadlineTimer);
      leader.pool.release(link);
    }
  }

  /**
   * Handles a refusal because of the expected wait, or a further failure after one.
   *
   * @throws {@link Refusal} unless another gateway may accept the write
   */
  #refusedByLoad({ entry }: Member, error: unknown): 'refused_by_gateway' {
    if (error instanceof AdmissionError) this.#loadRefusals.record(entry.memberId, error);
    else this.#loadRefusals.recordSecondFailure(entry.memberId);
    const { longest, memberIds } = this.#loadRefusals;
    if (longest !== null && memberIds.has(entry.memberId)) throw overloadRefusal(longest, this.#details());
    return 'refused_by_gateway';
  }

  #demand(): LinkDemand {
    const { tenantName, values, route, deadlineMs } = this.job;
    const { priority } = route;
    return { tenantName, values, isWrite: true, priority, dueAtMs: dueAt(route, deadlineMs), deadlineMs };
  }

  #notRun(): Refusal {
    if (this.context.isolation.isIsolated) return cutOffRefusal(false, this.#details());
    return new Refusal('busy', 'not_run', this.#lastReason, RETRY_AFTER_MS, this.#details());
  }

  /**
   * Refusal when the leader completed the write but is being replaced by a member that may not have received
   * it.
   */
  #leaderReplaced(): Refusal {
    return new Refusal('in_doubt', 'may_have_run', LEADER_REPLACED, null, this.#details());
  }

  #details(): RefusalDetails {
    return { group: this.job.group.name, ...this.job.group.describeLeadership(this.context.now()) };
  }

  /** @param expectedLeader - the leader known when the connection was acquired, before the write was sent */
  #handleReply(
    leader: Member,
    reply: MemberReply,
    sentAtMs: number,
    expectedLeader: Leader | null,
  ): MemberReply | null {
    const { context, job } = this;
    leader.recordAnswer(context.now());
    leader.recordOutcome(!reply.result.isComplete && reply.result.code === 'failed', context.now());
    if (reply.result.isComplete) {
      context.observer.memberAnswered('write', true, context.now() - sentAtMs);
      if (expectedLeader !== null)
        recordLeaderPosition(context, job.group, expectedLeader, sentAtMs, reply.position);
      return reply;
    }
    const { code } = reply.result;
    this.#lastReason = code;
    this.#isBusy = isMemberBusy(reply);
    switch (code) {
      case 'busy':
      case 'unknown_name':
        return null;
      case 'read_only':
        context.suspect(job.group, leader, 'read_only');
        return null;
      case 'behind':
      case 'wrong_member':
      case 'too_many_connections':
      case 'failed':
      case 'timed_out':
      case 'other':
        return reply;
    }
  }
}
