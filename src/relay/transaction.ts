/**
 * A transaction of a session. It begins at a member with its first statement and stays on that connection.
 *
 * @packageDocumentation
 */
import { selectReadMember } from '../topology/select-member.js';
import { formatPosition } from '../position/position.js';
import type { ReadFloor } from '../leadership/position-history.js';
import type { Route } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { proveCommit } from './commit-proof.js';
import { isLeadersLife, recordFloor, tellsLife } from './lead-proof.js';
import { dueAt } from './link-queue.js';
import { DialError, hasLostLog, NotSentError, type MemberReply } from './member-link.js';
import type { SessionLink, SessionValues } from './session-link.js';
import { readCandidates, readFloor, recordReplica } from './read-runner.js';
import { Refusal, type RefusalInputs } from './refusal.js';
import { RETRY_AFTER_MS, RETRY_PAUSE_MS, type RelayContext } from './relay-context.js';
import { sendStatement, type SessionStatement } from './send-statement.js';
import { awaitLeader, isWaitOver, LEADER_RESERVE_MS, PASSED_OVER, type LeaderWait } from './write-runner.js';

/** What a transaction begins with. */
export interface TransactionOptions {
  readonly route: Route;
  readonly group: MemberGroup;
  readonly isReadOnly: boolean;
  readonly receivedAtMs: number;
  /** Name of the tenant that members are told. */
  readonly tenantName: string;
  readonly sessionFloor: ReadFloor | null;
}

/** A statement inside a transaction. */
export interface TransactionStep {
  readonly requestId: string;
  readonly statement: SessionStatement;
  readonly kind: 'read' | 'write' | 'commit';
  readonly values: SessionValues;
  readonly deadlineMs: number;
}

interface Pinned {
  readonly member: Member;
  readonly link: SessionLink;
  readonly isLeader: boolean;
}

/** One transaction. */
export class Transaction {
  readonly #excluded = new Set<string>();
  #pinned: Pinned | null = null;
  /** The member at which it was begun last. */
  #member: Member | null = null;
  #hasWritten = false;
  /** A statement has been sent, and was not refused as not run. */
  #wasSent = false;
  /** The member has been sent the present statement, and has not refused it as not run. */
  #wasStepSent = false;
  #isOver = false;
  #lastReason = 'no member can serve';
  /** No connection could be opened at the last attempt. */
  #isUnreachable = false;

  constructor(
    private readonly context: RelayContext,
    readonly options: TransactionOptions,
  ) {}

  /** True once a member holds it open. */
  get isPinned(): boolean {
    return this.#pinned !== null;
  }

  /** True once the member has been sent the present statement, unless it then said that it has not run it. */
  get wasSent(): boolean {
    return this.#wasStepSent;
  }

  /** True once a write has been sent in it. */
  get hasWritten(): boolean {
    return this.#hasWritten;
  }

  /**
   * Runs one statement.
   *
   * @throws {@link Refusal}; the transaction is then over at the member
   */
  async run(step: TransactionStep): Promise<MemberReply> {
    this.#wasStepSent = false;
    const reply = this.#pinned === null ? await this.#first(step) : await this.#next(this.#pinned, step);
    if (step.kind === 'commit' || reply.state !== 'open') this.end();
    if (step.kind === 'commit' && this.#hasWritten) await this.#prove(step, reply);
    return reply;
  }

  /** Returns once a commit that the member has kept may be acknowledged. */
  async #prove({ requestId, deadlineMs }: TransactionStep, { result, position }: MemberReply): Promise<void> {
    const { group } = this.options;
    if (!result.isComplete || position === null) return;
    if (await proveCommit(this.context, { requestId, group, position, deadlineMs })) return;
    throw new Refusal('in_doubt', 'may_have_run', PASSED_OVER, null, this.#inputs());
  }

  /** The same as {@link Transaction.end}: a transaction whose statement is given up goes on nowhere. */
  abandon(): void {
    this.end();
  }

  /** Ends it at the member without keeping anything, unless it has ended already. */
  end(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    const pinned = this.#pinned;
    this.#pinned = null;
    if (pinned !== null) this.#release(pinned);
  }

  async #first(step: TransactionStep): Promise<MemberReply> {
    const { context, options } = this;
    const wait = { sinceMs: context.now(), timeoutMs: options.route.timeoutMs };
    for (;;) {
      const member = await this.#choose(step, wait);
      if (this.#isOver) throw new Refusal('aborted', 'not_run', 'the transaction was ended');
      if (member === null || context.now() >= step.deadlineMs) throw this.#notRun();
      const reply = await this.#firstAt(member, step);
      if (reply !== null) return reply;
      const now = context.now();
      const isUnreachable =
        this.#isUnreachable || member.isAvoided(now) || options.group.commits.isStalled(now);
      if (!this.#mayUseReplica() && isWaitOver(context, options.group, isUnreachable, wait))
        throw this.#notRun();
      this.#excluded.add(member.entry.memberId);
      context.observer.notable({
        requestId: step.requestId,
        decision: 'begin_elsewhere',
        member: member.entry.memberId,
        reason: this.#lastReason,
      });
    }
  }

  /** The member to begin at, or `null` when none can be had in time. */
  async #choose(step: TransactionStep, wait: LeaderWait): Promise<Member | null> {
    const { context, options } = this;
    const until = step.deadlineMs - LEADER_RESERVE_MS;
    for (;;) {
      const now = context.now();
      const isHeldUp = !this.#mayUseReplica() && options.group.commits.isSlow(now);
      const member = isHeldUp ? null : this.#chooseNow();
      if (member !== null) return member;
      if (now >= until) return null;
      if (isHeldUp) {
        this.#lastReason = 'an earlier commit is slow';
        if (isWaitOver(context, options.group, options.group.commits.isStalled(now), wait)) return null;
        await options.group.changed.wait(RETRY_PAUSE_MS);
        continue;
      }
      if (this.#excluded.size > 0) {
        this.#excluded.clear();
        await options.group.changed.wait(RETRY_PAUSE_MS);
        continue;
      }
      if (!this.#mayUseReplica()) return awaitLeader(context, options.group, until, wait);
      if (isWaitOver(context, options.group, false, wait)) return null;
      await options.group.changed.wait(Math.min(RETRY_PAUSE_MS, until - now));
    }
  }

  #chooseNow(): Member | null {
    const { context, options } = this;
    const { group, route, sessionFloor, receivedAtMs } = options;
    if (!this.#mayUseReplica()) {
      const leader = group.leader(context.now());
      return leader !== null && this.#excluded.has(leader.entry.memberId) ? null : leader;
    }
    const floor = readFloor(group, route, sessionFloor, receivedAtMs);
    const demand = { floor, excluded: this.#excluded };
    const choice = selectReadMember(readCandidates(context, group, floor), demand);
    return choice === null ? null : (group.members.get(choice.memberId) ?? null);
  }

  #mayUseReplica(): boolean {
    return this.options.isReadOnly && this.options.route.consistency !== 'primary';
  }

  /** Begins at a member and runs the first statement; `null` when nothing is kept and another may be tried. */
  async #firstAt(member: Member, step: TransactionStep): Promise<MemberReply | null> {
    const { context, options } = this;
    const { group, route, tenantName } = options;
    this.#isUnreachable = false;
    let link: SessionLink;
    try {
      const dueAtMs = dueAt(route, step.deadlineMs);
      const isWrite = !this.#mayUseReplica();
      const demand = { tenantName, values: step.values, isWrite, priority: route.priority, dueAtMs };
      link = await member.pool.acquire(demand, step.deadlineMs - context.now());
    } catch (error) {
      this.#isUnreachable = error instanceof DialError;
      this.#lastReason = `no connection: ${String(error)}`;
      return null;
    }
    const isLeader = !this.#mayUseReplica() || group.leader(context.now()) === member;
    const pinned: Pinned = { member, link, isLeader };
    this.#member = member;
    const overdue = setTimeout(() => link.close(), step.deadlineMs - context.now());
    try {
      const obstacle = await this.#begin(pinned, step);
      if (obstacle !== null) {
        this.#lastReason = obstacle;
        this.#release(pinned);
        return null;
      }
      const reply = await this.#send(pinned, step);
      if (this.#isOver) {
        this.#release(pinned);
        throw new Refusal('aborted', 'not_run', 'the transaction was ended');
      }
      if (!reply.result.isComplete && isNotRun(reply)) {
        this.#lastReason = reply.result.code;
        this.#firstWasNotRun();
        this.#release(pinned);
        return null;
      }
      this.#pinned = pinned;
      return reply;
    } catch (error) {
      link.close();
      member.pool.release(link);
      if (error instanceof Refusal) throw error;
      if (error instanceof NotSentError) this.#firstWasNotRun();
      if (this.#wasSent) this.#throwLoss(step, error);
      this.#lastReason = `connection lost: ${String(error)}`;
      return null;
    } finally {
      clearTimeout(overdue);
    }
  }

  /** The first statement was refused as not run, or did not leave: it may begin elsewhere. */
  #firstWasNotRun(): void {
    this.#wasSent = false;
    this.#wasStepSent = false;
    this.#hasWritten = false;
  }

  /** Begins at the member; a reason when it could not. */
  async #begin(pinned: Pinned, step: TransactionStep): Promise<string | null> {
    const { context, options } = this;
    const { group, route, isReadOnly } = options;
    const { member, link, isLeader } = pinned;
    await link.adoptValues(step.values);
    if (isLeader && group.leader(context.now()) !== member) return 'no evidence of the leader';
    const floor = isLeader ? null : readFloor(group, route, options.sessionFloor, options.receivedAtMs);
    if (!isLeader && floor === null) return 'no position of the leader';
    context.observer.routine({
      requestId: step.requestId,
      decision: 'begin_at',
      member: member.entry.memberId,
      leader: isLeader,
      floor: floor === null ? null : formatPosition(floor.position),
    });
    const after = isLeader ? group.heldByLeader : (floor?.position ?? null);
    const { leader } = group.evidence;
    const reply = await link.send({ kind: 'begin', isReadOnly, after });
    recordReplica(member, floor, reply, context.now());
    if (reply.result.isComplete) {
      if (reply.state !== 'open') return 'did not begin';
      // Only a primary begins anything else than a transaction that reads.
      if (!isLeader || !isReadOnly || tellsLife(after) || leader === null) return null;
      const isLeaders = await isLeadersLife(context, group, leader, link, reply.position);
      return isLeaders ? null : 'perhaps another life of the leader';
    }
    if (reply.result.code === 'read_only') context.suspect(group, member, 'read_only');
    if (isLeader && hasLostLog(reply)) context.suspect(group, member, 'lost_log');
    return reply.result.code;
  }

  async #next(pinned: Pinned, step: TransactionStep): Promise<MemberReply> {
    const overdue = setTimeout(() => pinned.link.close(), step.deadlineMs - this.context.now());
    try {
      for (;;) {
        const reply = await this.#send(pinned, step);
        const isBusy = !reply.result.isComplete && reply.result.code === 'busy' && reply.state === 'open';
        if (!isBusy) return reply;
        this.#wasStepSent = false;
        await this.options.group.changed.wait(RETRY_PAUSE_MS);
        if (this.#isOver) throw new Refusal('aborted', 'not_run', 'the transaction was ended');
      }
    } catch (error) {
      this.end();
      if (error instanceof Refusal) throw error;
      if (error instanceof NotSentError) this.#wasStepSent = false;
      return this.#throwLoss(step, error);
    } finally {
      clearTimeout(overdue);
    }
  }

  async #send(pinned: Pinned, step: TransactionStep): Promise<MemberReply> {
    const { context, options } = this;
    const { group } = options;
    const { link, isLeader, member } = pinned;
    const isKept = step.kind === 'commit' && this.#hasWritten;
    const commit = isKept ? group.commits.sent(context.now()) : null;
    const sending = sendStatement(link, step.statement, step.requestId, step.values, null, () => {
      if (this.#isOver) return 'the transaction was ended';
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
        if (commit !== null) group.commits.ended(commit, isAnswered, context.now());
      });
    if (typeof sent === 'string') throw new Refusal('aborted', 'not_run', sent, RETRY_AFTER_MS);
    const { reply, sentAtMs } = sent;
    member.trust(this.context.now());
    context.observer.memberAnswered(step.kind, isLeader, context.now() - sentAtMs);
    const { leader } = group.evidence;
    if (isLeader && reply.result.isComplete && leader !== null && group.leader(sentAtMs) === member)
      recordFloor(context, group, leader, sentAtMs, reply.position);
    if (!reply.result.isComplete && reply.result.code === 'read_only' && isLeader)
      context.suspect(group, member, 'read_only');
    return reply;
  }

  /**
   * A commit of writes whose answer is lost is in doubt. Anything else is rolled back by the member; it may have
   * run on that connection, so the transaction goes on on no other. A commit that was not sent is no exception: no other
   * connection can commit the transaction, and the member rolls it back once it sees the end of this one, however late.
   */
  #throwLoss(step: TransactionStep, error: unknown): never {
    if (step.kind === 'commit' && this.#hasWritten && this.#wasStepSent)
      throw new Refusal(
        'in_doubt',
        'may_have_run',
        `answer to the commit lost: ${String(error)}`,
        null,
        this.#inputs(),
      );
    throw new Refusal(
      'aborted',
      'not_run',
      `connection lost: ${String(error)}`,
      RETRY_AFTER_MS,
      this.#inputs(),
    );
  }

  #notRun(): Refusal {
    return new Refusal('busy', 'not_run', this.#lastReason, RETRY_AFTER_MS, this.#inputs());
  }

  #inputs(): RefusalInputs {
    const { group } = this.options;
    return {
      group: group.name,
      member: this.#member?.entry.memberId ?? null,
      ...group.describeLeadership(this.context.now()),
    };
  }

  /** Gives the connection back once the member has rolled back what is open. */
  #release(pinned: Pinned): void {
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
    const overdue = setTimeout(() => link.close(), ROLLBACK_MS);
    link
      .send({ kind: 'rollback' })
      .catch(() => link.close())
      .finally(() => {
        clearTimeout(overdue);
        member.pool.release(link);
      });
  }
}

/** Longest time of a rollback before the connection is ended instead, in milliseconds. */
const ROLLBACK_MS = 1000;

/** True when the member refused the statement without running it. */
function isNotRun(reply: MemberReply): boolean {
  if (reply.result.isComplete) return false;
  const { code } = reply.result;
  return code === 'busy' || code === 'behind' || code === 'read_only' || code === 'unknown_name';
}
