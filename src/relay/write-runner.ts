/**
 * Runs a single write at the leader: waits for one, and says what is known when the answer is lost.
 *
 * @packageDocumentation
 */
import type { Leader } from '../leadership/leadership-evidence.js';
import type { Route } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { proveCommit } from './commit-proof.js';
import { recordFloor } from './lead-proof.js';
import { dueAt, type LinkDemand } from './link-queue.js';
import { DialError, NotSentError, type MemberReply } from './member-link.js';
import type { SessionValues } from './session-link.js';
import { Refusal, type RefusalInputs } from './refusal.js';
import { shouldAskElsewhere } from './patience.js';
import { RETRY_AFTER_MS, RETRY_PAUSE_MS, type RelayContext } from './relay-context.js';
import { sendStatement, type SessionStatement } from './send-statement.js';

/** A write to be run. */
export interface WriteJob {
  readonly requestId: string;
  readonly statement: SessionStatement;
  readonly route: Route;
  readonly group: MemberGroup;
  /** Name of the tenant that members are told. */
  readonly tenantName: string;
  readonly values: SessionValues;
  readonly deadlineMs: number;
}

/** Time that a request needs at a new leader; nobody waits for one longer than this before the deadline. */
export const LEADER_RESERVE_MS = 60;

/** Why a commit that a leader has kept is not acknowledged. */
export const PASSED_OVER = 'the leader is being replaced, perhaps without it';

/** Since when a request waits, and how long it may take, in milliseconds. */
export interface LeaderWait {
  readonly sinceMs: number;
  readonly timeoutMs: number;
}

/** Longest time between two looks at whether a wait is of use, in milliseconds. */
const WAIT_LOOK_MS = 100;

/** The leader under valid evidence; waits for one until `untilMs`, or while that is of use, then gives `null`. */
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
    if (now >= untilMs || isWaitOver(context, group, false, wait)) return null;
    await group.changed.wait(Math.min(WAIT_LOOK_MS, untilMs - now));
  }
}

/**
 * True when a request that needs the leader should be left to another daemon.
 *
 * @param isUnreachable - the leader was silent, or could not be connected to
 */
export function isWaitOver(
  context: RelayContext,
  group: MemberGroup,
  isUnreachable: boolean,
  { sinceMs, timeoutMs }: LeaderWait,
): boolean {
  const now = context.now();
  return shouldAskElsewhere({
    heldMs: now - sinceMs,
    timeoutMs,
    leaderlessMs: group.leaderlessMs(now),
    isUnreachable,
  });
}

/** Runs one write. */
export class WriteRunner {
  #lastReason = 'no leader';
  /** No connection could be opened at the last attempt. */
  #isUnreachable = false;
  /** The leader has been sent the write, and has not refused it as not run. */
  #wasSent = false;
  #isAbandoned = false;

  constructor(
    private readonly context: RelayContext,
    private readonly job: WriteJob,
  ) {}

  /** True once the leader has been sent the write, unless it then said that it has not run it. */
  get wasSent(): boolean {
    return this.#wasSent;
  }

  /** Sends nothing more. */
  abandon(): void {
    this.#isAbandoned = true;
  }

  /**
   * The leader's answer.
   *
   * @throws {@link Refusal}
   */
  async run(): Promise<MemberReply> {
    const { context, job } = this;
    const wait = { sinceMs: context.now(), timeoutMs: job.route.timeoutMs };
    for (;;) {
      const leader = await awaitLeader(context, job.group, job.deadlineMs - LEADER_RESERVE_MS, wait);
      if (leader === null || context.now() >= job.deadlineMs || this.#isAbandoned) throw this.#notRun();
      const { commits } = job.group;
      if (commits.isSlow(context.now())) {
        // What is sent now may end in doubt, and would keep a connection from the reads.
        const isStalled = commits.isStalled(context.now());
        this.#lastReason = isStalled ? 'commits stall' : 'an earlier commit is slow';
        if (isWaitOver(context, job.group, isStalled, wait)) throw this.#notRun();
        await job.group.changed.wait(RETRY_PAUSE_MS);
        continue;
      }
      const reply = await this.#attempt(leader);
      if (reply !== null) return this.#proven(reply);
      const isUnreachable = this.#isUnreachable || leader.isAvoided(context.now());
      if (isWaitOver(context, job.group, isUnreachable, wait)) throw this.#notRun();
      context.observer.notable({
        requestId: job.requestId,
        decision: 'write_again',
        member: leader.entry.memberId,
        reason: this.#lastReason,
      });
      await job.group.changed.wait(RETRY_PAUSE_MS);
    }
  }

  /** The answer once it may be given: what the leader has kept is acknowledged only when that is proven. */
  async #proven(reply: MemberReply): Promise<MemberReply> {
    const { context, job } = this;
    const { position } = reply;
    if (!reply.result.isComplete || position === null) return reply;
    if (!(await proveCommit(context, { ...job, position }))) throw this.#passedOver();
    return reply;
  }

  /** One attempt: the answer, or `null` when it was not run. */
  async #attempt(leader: Member): Promise<MemberReply | null> {
    const { context, job } = this;
    this.#isUnreachable = false;
    let link;
    try {
      link = await leader.pool.acquire(this.#demand(), job.deadlineMs - context.now());
    } catch (error) {
      this.#isUnreachable = error instanceof DialError;
      this.#lastReason = `no connection: ${String(error)}`;
      return null;
    }
    let sentAtMs = 0;
    const { leader: led } = job.group.evidence;
    const overdue = setTimeout(() => link.close(), job.deadlineMs - context.now());
    const commit = job.group.commits.sent(context.now());
    let isAnswered = false;
    try {
      const sent = await sendStatement(link, job.statement, job.requestId, job.values, null, () => {
        if (this.#isAbandoned) return 'given up';
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
      const reply = this.#judge(leader, sent.reply, sent.sentAtMs, led);
      if (reply === null) this.#wasSent = false;
      return reply;
    } catch (error) {
      if (error instanceof Refusal) throw error;
      if (error instanceof NotSentError) this.#wasSent = false;
      if (!this.#wasSent) {
        this.#lastReason = `connection lost: ${String(error)}`;
        return null;
      }
      throw new Refusal('in_doubt', 'may_have_run', `answer lost: ${String(error)}`, null, {
        member: leader.entry.memberId,
        sentAgoMs: Math.round(context.now() - sentAtMs),
        ...this.#inputs(),
      });
    } finally {
      job.group.commits.ended(commit, isAnswered, context.now());
      clearTimeout(overdue);
      leader.pool.release(link);
    }
  }

  #demand(): LinkDemand {
    const { tenantName, values, route, deadlineMs } = this.job;
    return { tenantName, values, isWrite: true, priority: route.priority, dueAtMs: dueAt(route, deadlineMs) };
  }

  #notRun(): Refusal {
    return new Refusal('busy', 'not_run', this.#lastReason, RETRY_AFTER_MS, this.#inputs());
  }

  /** The leader has kept the write, and is being replaced by a member that may not have received it. */
  #passedOver(): Refusal {
    return new Refusal('in_doubt', 'may_have_run', PASSED_OVER, null, this.#inputs());
  }

  #inputs(): RefusalInputs {
    return { group: this.job.group.name, ...this.job.group.describeLeadership(this.context.now()) };
  }

  /** @param led - who was believed to lead when the write was about to be sent */
  #judge(leader: Member, reply: MemberReply, sentAtMs: number, led: Leader | null): MemberReply | null {
    const { context, job } = this;
    leader.trust(context.now());
    leader.recordOutcome(!reply.result.isComplete && reply.result.code === 'failed', context.now());
    if (reply.result.isComplete) {
      context.observer.memberAnswered('write', true, context.now() - sentAtMs);
      if (led !== null) recordFloor(context, job.group, led, sentAtMs, reply.position);
      return reply;
    }
    const { code } = reply.result;
    this.#lastReason = code;
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
