/**
 * A transaction of a session. It is opened at a member with its first statement and stays on that connection.
 *
 * @packageDocumentation
 */
import { AdmissionError } from '../admission/admission-error.js';
import { LoadRefusals } from '../admission/load-refusals.js';
import { CUT_OFF_REASON, cutOffRefusal, type IsolationListener } from '../isolation/isolation.js';
import { isOutOfReach, isPathSilent } from '../isolation/reach.js';
import { selectReadMember } from '../topology/select-member.js';
import { formatPosition } from '../position/position.js';
import type { Route } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { proveCommit } from './commit-proof.js';
import {
  isNonEmptyLog,
  mayReadAsLeader,
  NO_LEADER_EVIDENCE,
  OTHER_INCARNATION,
  recordLeaderPosition,
  verifyLeaderIncarnation,
} from './leader-identity.js';
import { dueAt } from './link-queue.js';
import { DialError, hasLostLog, isMemberBusy, NotSentError, type MemberReply } from './member-link.js';
import type { SessionFloor } from './session-commits.js';
import type { SessionLink, SessionValues } from './session-link.js';
import {
  haveAllRefused,
  readCandidates,
  readFloor,
  readPreferences,
  recordReplicaProgress,
} from './read-candidates.js';
import { overloadRefusal, Refusal, type RefusalDetails } from './refusal.js';
import { maxHoldMs } from './early-refusal.js';
import { awaitRetryPermit } from './retry-permit.js';
import { RETRY_AFTER_MS, RETRY_DELAY_MS, type RelayContext } from './relay-context.js';
import { sendStatement, type SessionStatement } from './send-statement.js';
import {
  awaitLeader,
  shouldStopWaiting,
  LEADER_RESERVE_MS,
  LEADER_REPLACED,
  type LeaderWait,
} from './write-runner.js';

/** Parameters of a transaction. */
export interface TransactionOptions {
  readonly route: Route;
  readonly group: MemberGroup;
  readonly isReadOnly: boolean;
  readonly receivedAtMs: number;
  /** Tenant name that is passed to members. */
  readonly tenantName: string;
  /** What the session's own commits require, or `null`. */
  readonly sessionFloor: SessionFloor | null;
}

/** A statement or commit inside a transaction. */
export interface TransactionStep {
  readonly requestId: string;
  readonly statement: SessionStatement;
  readonly kind: 'read' | 'write' | 'commit';
  readonly values: SessionValues;
  readonly deadlineMs: number;
}

interface PinnedConnection {
  readonly member: Member;
  readonly link: SessionLink;
  readonly isLeader: boolean;
}

export class Transaction implements IsolationListener {
  readonly #excluded = new Set<string>();
  #pinned: PinnedConnection | null = null;
  /** The connection on which the transaction is being begun. */
  #beginning: PinnedConnection | null = null;
  /** The member at which the last attempt to begin was made. */
  #lastMember: Member | null = null;
  #hasWritten = false;
  /** True once a statement has been sent, unless the first one was refused as not run. */
  #wasSent = false;
  /** True once the current statement has been sent to the member, unless it was refused as not run. */
  #wasStepSent = false;
  #isEnded = false;
  #lastReason = 'no member can serve';
  /** True when no connection could be opened at the last attempt. */
  #isUnreachable = false;
  readonly #loadRefusals = new LoadRefusals();
  /** True when the last attempt was refused because of the expected wait. */
  #isOverloaded = false;
  /** True when the member refused the last attempt because of load. */
  #isBusy = false;

  constructor(
    private readonly context: RelayContext,
    readonly options: TransactionOptions,
  ) {}

  /** True while the transaction is open at a member. */
  get isPinned(): boolean {
    return this.#pinned !== null;
  }

  /** True once the current statement has been sent to the member, unless the member refused it as not run. */
  get wasSent(): boolean {
    return this.#wasStepSent;
  }

  /** True once a write has been sent in this transaction. */
  get hasWritten(): boolean {
    return this.#hasWritten;
  }

  /**
   * Runs one statement.
   *
   * @throws {@link Refusal}; the transaction has then ended at the member
   */
  async run(step: TransactionStep): Promise<MemberReply> {
    this.#wasStepSent = false;
    const reply =
      this.#pinned === null ? await this.#runFirst(step) : await this.#runNext(this.#pinned, step);
    if (step.kind === 'commit' || reply.state !== 'open') this.end();
    if (step.kind === 'commit' && this.#hasWritten) await this.#prove(step, reply);
    return reply;
  }

  /** Waits until a commit that the member has completed may be acknowledged; throws if it stays in doubt. */
  async #prove({ requestId, deadlineMs }: TransactionStep, { result, position }: MemberReply): Promise<void> {
    const { group } = this.options;
    if (!result.isComplete || position === null) return;
    if (await proveCommit(this.context, { requestId, group, position, deadlineMs })) return;
    throw new Refusal('in_doubt', 'may_have_run', LEADER_REPLACED, null, this.#details());
  }

  /**
   * Same as {@link Transaction.end}: a transaction cannot continue after one of its statements was abandoned.
   */
  abandon(): void {
    this.end();
  }

  /** Gives up a transaction that is being begun over a silent path, unless its first statement was sent. */
  cutOff(): void {
    const beginning = this.#beginning;
    if (beginning === null || this.#wasStepSent) return;
    if (isPathSilent(this.context, beginning.member, beginning.link)) beginning.link.close();
  }

  /** Rolls the transaction back at the member, unless it has ended already. */
  end(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const pinned = this.#pinned;
    this.#pinned = null;
    if (pinned !== null) this.#release(pinned);
  }

  async #runFirst(step: TransactionStep): Promise<MemberReply> {
    const { context, options } = this;
    const wait = { sinceMs: context.now(), timeoutMs: options.route.timeoutMs };
    const retryUntilMs = Math.min(step.deadlineMs, wait.sinceMs + maxHoldMs(wait.timeoutMs));
    options.group.retries.recordFirstAttempt();
    for (;;) {
      const member = await this.#chooseMember(step, wait);
      if (this.#isEnded) throw new Refusal('aborted', 'not_run', 'the transaction was ended');
      if (member === null || context.now() >= step.deadlineMs || this.#isOutOfReach(member))
        throw this.#notRun();
      const reply = await this.#runFirstAt(member, step);
      if (reply !== null) return reply;
      this.#throwIfAllRefused();
      if (this.#isOverloaded) continue;
      const now = context.now();
      const isUnreachable =
        this.#isUnreachable || member.isAvoided(now) || options.group.commits.isStalled(now);
      if (!this.#mayUseReplica() && shouldStopWaiting(context, options.group, isUnreachable, wait))
        throw this.#notRun();
      this.#excluded.add(member.entry.memberId);
      context.observer.notable({
        requestId: step.requestId,
        decision: 'begin_elsewhere',
        member: member.entry.memberId,
        reason: this.#lastReason,
      });
      if (this.#isBusy && !(await awaitRetryPermit(context, options.group, retryUntilMs)))
        throw this.#notRun();
    }
  }

  /**
   * Waits for a member to begin at; `null` when none becomes available in time, or the request should be
   * refused early.
   */
  async #chooseMember(step: TransactionStep, wait: LeaderWait): Promise<Member | null> {
    const { context, options } = this;
    const waitUntilMs = step.deadlineMs - LEADER_RESERVE_MS;
    for (;;) {
      const now = context.now();
      const isCommitSlow = !this.#mayUseReplica() && options.group.commits.isSlow(now);
      const member = isCommitSlow ? null : this.#selectMember();
      if (member !== null) return member;
      if (context.isolation.isIsolated) return null;
      this.#throwIfAllRefused();
      if (now >= waitUntilMs) return null;
      if (isCommitSlow) {
        this.#lastReason = 'an earlier commit is slow';
        if (shouldStopWaiting(context, options.group, options.group.commits.isStalled(now), wait))
          return null;
        await options.group.changed.wait(RETRY_DELAY_MS);
        continue;
      }
      if (this.#excluded.size > 0) {
        this.#excluded.clear();
        await options.group.changed.wait(RETRY_DELAY_MS);
        continue;
      }
      if (!this.#mayUseReplica()) return awaitLeader(context, options.group, waitUntilMs, wait);
      if (shouldStopWaiting(context, options.group, false, wait)) return null;
      await options.group.changed.wait(Math.min(RETRY_DELAY_MS, waitUntilMs - now));
    }
  }

  #selectMember(): Member | null {
    const { context, options } = this;
    const { group, route, tenantName, sessionFloor, receivedAtMs } = options;
    if (!this.#mayUseReplica()) {
      const leader = group.leader(context.now());
      return leader !== null && this.#excluded.has(leader.entry.memberId) ? null : leader;
    }
    const floor = readFloor(group, route, sessionFloor, receivedAtMs);
    const excluded = new Set([...this.#excluded, ...this.#loadRefusals.memberIds]);
    for (const [memberId, member] of group.members) if (isOutOfReach(context, member)) excluded.add(memberId);
    const candidates = readCandidates(context, group, { floor, tenantName, excluded });
    const choice = selectReadMember(candidates, { floor, excluded }, readPreferences(context, tenantName));
    return choice === null ? null : (group.members.get(choice.memberId) ?? null);
  }

  /** True while this daemon is isolated and the transaction cannot be begun at the member. */
  #isOutOfReach(member: Member): boolean {
    const { isolation } = this.context;
    return isolation.isIsolated && (!this.options.isReadOnly || isOutOfReach(this.context, member));
  }

  /** Throws the refusal when no member that may serve the request is left to be asked. */
  #throwIfAllRefused(): void {
    const { group, route, sessionFloor, receivedAtMs } = this.options;
    const { longest, memberIds } = this.#loadRefusals;
    const isRefused = this.#mayUseReplica()
      ? haveAllRefused(this.context, group, {
          refusals: this.#loadRefusals,
          floor: readFloor(group, route, sessionFloor, receivedAtMs),
          heldMs: this.context.now() - receivedAtMs,
          timeoutMs: route.timeoutMs,
        })
      : this.#lastMember !== null && memberIds.has(this.#lastMember.entry.memberId);
    if (longest !== null && isRefused) throw overloadRefusal(longest, this.#details());
  }

  #mayUseReplica(): boolean {
    return this.options.isReadOnly && this.options.route.consistency !== 'primary';
  }

  /**
   * Begins at a member and runs the first statement; `null` when nothing was run and another may be tried.
   */
  async #runFirstAt(member: Member, step: TransactionStep): Promise<MemberReply | null> {
    const { context, options } = this;
    const { group, route, tenantName } = options;
    this.#isUnreachable = false;
    this.#isOverloaded = false;
    this.#isBusy = false;
    this.#lastMember = member;
    const refusedBy = this.#loadRefusals.gatewayOf(member.entry.memberId);
    let link: SessionLink;
    try {
      const { deadlineMs, values } = step;
      const dueAtMs = dueAt(route, deadlineMs);
      const isWrite = !this.#mayUseReplica();
      const demand = { tenantName, values, isWrite, priority: route.priority, dueAtMs, deadlineMs };
      link = await member.pool.acquire(demand, deadlineMs - context.now(), { refusedBy });
    } catch (error) {
      if (error instanceof AdmissionError || refusedBy !== null) this.#recordOverload(member, error);
      this.#isUnreachable = error instanceof DialError;
      this.#lastReason = `no connection: ${String(error)}`;
      return null;
    }
    const isLeader = !this.#mayUseReplica() || group.leader(context.now()) === member;
    const pinned: PinnedConnection = { member, link, isLeader };
    this.#beginning = pinned;
    context.isolation.add(this);
    const deadlineTimer = setTimeout(() => link.close(), step.deadlineMs - context.now());
    try {
      const failureReason = await this.#begin(pinned, step);
      if (failureReason !== null) {
        this.#lastReason = failureReason;
        this.#release(pinned);
        return null;
      }
      const reply = await this.#send(pinned, step);
      if (this.#isEnded) {
        this.#release(pinned);
        throw new Refusal('aborted', 'not_run', 'the transaction was ended');
      }
      if (!reply.result.isComplete && isNotRun(reply)) {
        this.#lastReason = reply.result.code;
        this.#isBusy = isMemberBusy(reply);
        this.#resetAfterNotRun();
        this.#release(pinned);
        return null;
      }
      this.#pinned = pinned;
      return reply;
    } catch (error) {
      link.close();
      member.pool.release(link);
      if (error instanceof Refusal) throw error;
      if (error instanceof NotSentError) this.#resetAfterNotRun();
      if (error instanceof AdmissionError) this.#recordOverload(member, error);
      if (this.#wasSent) this.#throwConnectionLost(step, error);
      this.#lastReason = `connection lost: ${String(error)}`;
      return null;
    } finally {
      this.#beginning = null;
      context.isolation.remove(this);
      clearTimeout(deadlineTimer);
    }
  }

  /** Records a refusal because of the expected wait, or a further failure after that of a gateway. */
  #recordOverload({ entry }: Member, error: unknown): void {
    this.#isOverloaded = true;
    if (error instanceof AdmissionError) this.#loadRefusals.record(entry.memberId, error);
    else this.#loadRefusals.recordSecondFailure(entry.memberId);
  }

  /**
   * Called when the first statement was refused as not run, or was never sent, so it may be retried
   * elsewhere.
   */
  #resetAfterNotRun(): void {
    this.#wasSent = false;
    this.#wasStepSent = false;
    this.#hasWritten = false;
  }

  /** Begins at the member; returns the reason when that failed, else `null`. */
  async #begin(pinned: PinnedConnection, step: TransactionStep): Promise<string | null> {
    const { context, options } = this;
    const { group, route, isReadOnly } = options;
    const { member, link, isLeader } = pinned;
    await link.setSessionValues(step.values);
    if (isLeader && group.leader(context.now()) !== member) return NO_LEADER_EVIDENCE;
    const floor = isLeader ? null : readFloor(group, route, options.sessionFloor, options.receivedAtMs);
    if (!isLeader && floor === null) return 'no position of the leader';
    const after = isLeader ? group.leaderPosition : (floor?.position ?? null);
    context.observer.routine({
      requestId: step.requestId,
      decision: 'begin_at',
      member: member.entry.memberId,
      leader: isLeader,
      floor: floor === null ? null : formatPosition(floor.position),
      after: after === null ? null : formatPosition(after),
    });
    if (this.#isOutOfReach(member) || isPathSilent(context, member, link)) return CUT_OFF_REASON;
    const { leader } = group.evidence;
    if (isLeader && isReadOnly && leader !== null) {
      if (!(await mayReadAsLeader(context, group, leader, link, after))) return OTHER_INCARNATION;
      if (group.leader(context.now()) !== member) return NO_LEADER_EVIDENCE;
    }
    // The primary that accepts a read-write transaction may have been replaced while this waits at a gateway.
    if (!isReadOnly && leader !== null) link.requireLeader(leader);
    const reply = await link.send({ kind: 'begin', isReadOnly, after });
    recordReplicaProgress(member, floor, reply, context.now());
    if (reply.result.isComplete) {
      if (reply.state !== 'open') return 'did not begin';
      // Only a primary accepts a read-write transaction, so its incarnation needs no check.
      if (!isLeader || !isReadOnly || isNonEmptyLog(after) || leader === null) return null;
      const isVerified = await verifyLeaderIncarnation(context, group, leader, link, reply.position);
      return isVerified ? null : OTHER_INCARNATION;
    }
    this.#isBusy = isMemberBusy(reply);
    if (reply.result.code === 'read_only') context.suspect(group, member, 'read_only');
    if (isLeader && hasLostLog(reply)) context.suspect(group, member, 'lost_log');
    return reply.result.code;
  }

  async #runNext(pinned: PinnedConnection, step: TransactionStep): Promise<MemberReply> {
    const deadlineTimer = setTimeout(() => pinned.link.close(), step.deadlineMs - this.context.now());
    try {
      for (;;) {
        const reply = await this.#send(pinned, step);
        const isBusy = !reply.result.isComplete && reply.result.code === 'busy' && reply.state === 'open';
        if (!isBusy) return reply;
        this.#wasStepSent = false;
        await this.options.group.changed.wait(RETRY_DELAY_MS);
        if (this.#isEnded) throw new Refusal('aborted', 'not_run', 'the transaction was ended');
      }
    } catch (error) {
      this.end();
      if (error instanceof Refusal) throw error;
      if (error instanceof NotSentError) this.#wasStepSent = false;
      return this.#throwConnectionLost(step, error);
    } finally {
      clearTimeout(deadlineTimer);
    }
  }

  async #send(pinned: PinnedConnection, step: TransactionStep): Promise<MemberReply> {
    const { context, options } = this;
    const { group } = options;
    const { link, isLeader, member } = pinned;
    const isWriteCommit = step.kind === 'commit' && this.#hasWritten;
    const commit = isWriteCommit ? group.commits.recordSent(context.now()) : null;
    const sending = sendStatement(link, step.statement, step.requestId, step.values, null, () => {
      if (this.#isEnded) return 'the transaction was ended';
      if (step.kind === 'write') this.#hasWritten = true;
      this.#wasSent = true;
      this.#wasStepSent = true;
      return null;
    });
    let isAnswered = false;
    const sent = await sending
      .then((answer) => {
        isAnswered = typeof answer !== 'string';
        return answer;
      })
      .finally(() => {
        if (commit !== null) group.commits.recordEnded(commit, isAnswered, context.now());
      });
    if (typeof sent === 'string') throw new Refusal('aborted', 'not_run', sent, RETRY_AFTER_MS);
    const { reply, sentAtMs } = sent;
    member.recordAnswer(this.context.now());
    context.observer.memberAnswered(step.kind, isLeader, context.now() - sentAtMs);
    const { leader } = group.evidence;
    if (isLeader && reply.result.isComplete && leader !== null && group.leader(sentAtMs) === member)
      recordLeaderPosition(context, group, leader, sentAtMs, reply.position);
    if (!reply.result.isComplete && reply.result.code === 'read_only' && isLeader)
      context.suspect(group, member, 'read_only');
    return reply;
  }

  /**
   * Throws the refusal for a lost connection. A commit of writes is in doubt if it was sent and its answer
   * was lost. In all other cases the member rolls the transaction back. Its statements may have run on that
   * connection, so it is not continued on another. This holds for a commit that was not sent, too: no other
   * connection can commit the transaction, and the member rolls it back once it detects that this connection
   * is closed, however late that is.
   */
  #throwConnectionLost(step: TransactionStep, error: unknown): never {
    if (step.kind === 'commit' && this.#hasWritten && this.#wasStepSent)
      throw new Refusal(
        'in_doubt',
        'may_have_run',
        `answer to the commit lost: ${String(error)}`,
        null,
        this.#details(),
      );
    throw new Refusal(
      'aborted',
      'not_run',
      `connection lost: ${String(error)}`,
      RETRY_AFTER_MS,
      this.#details(),
    );
  }

  #notRun(): Refusal {
    if (this.context.isolation.isIsolated) return cutOffRefusal(false, this.#details());
    return new Refusal('busy', 'not_run', this.#lastReason, RETRY_AFTER_MS, this.#details());
  }

  #details(): RefusalDetails {
    const { group } = this.options;
    return {
      group: group.name,
      member: this.#lastMember?.entry.memberId ?? null,
      ...group.describeLeadership(this.context.now()),
    };
  }

  /** Returns the connection to the pool once the member has rolled back any open transaction. */
  #release(pinned: PinnedConnection): void {
    const { link, member } = pinned;
    if (!link.isOpen || link.isClean) {
      member.pool.release(link);
      return;
    }
    if (link.state === 'idle') {
      link.close();
      member.pool.release(link);
      return;
    }
    const rollbackTimer = setTimeout(() => link.close(), ROLLBACK_TIMEOUT_MS);
    link
      .send({ kind: 'rollback' })
      .catch(() => link.close())
      .finally(() => {
        clearTimeout(rollbackTimer);
        member.pool.release(link);
      });
  }
}

/** Time-out of a rollback, in milliseconds; after it the connection is closed instead. */
const ROLLBACK_TIMEOUT_MS = 1000;

/** True when the member refused the request without running it. */
function isNotRun(reply: MemberReply): boolean {
  if (reply.result.isComplete) return false;
  const { code } = reply.result;
  return code === 'busy' || code === 'behind' || code === 'read_only' || code === 'unknown_name';
}
