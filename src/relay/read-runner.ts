/**
 * Runs a single read: chooses a member, goes elsewhere when it is refused or lost, asks a second member when the
 * first is slow.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import { laterPosition } from '../position/position.js';
import type { Route } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { selectReadMember, type ReadCandidate } from '../topology/select-member.js';
import { DialError, type MemberErrorCode, type MemberReply } from './member-link.js';
import { shouldAskElsewhere } from './patience.js';
import { firstWithin } from './race.js';
import { Refusal } from './refusal.js';
import { LATE_ANSWER_MS, RETRY_AFTER_MS, RETRY_PAUSE_MS, type RelayContext } from './relay-context.js';
import type { SessionValues } from './session-link.js';
import { sendStatement, type SessionStatement } from './send-statement.js';

/** A read to be run, or a transaction that only reads. */
export interface ReadJob {
  readonly requestId: string;
  readonly statement: SessionStatement;
  readonly route: Route;
  readonly group: MemberGroup;
  readonly values: SessionValues;
  /** What the session itself has committed, or `null`. */
  readonly sessionFloor: Position | null;
  /** When the first byte of the request may have been sent at the latest, in monotonic milliseconds. */
  readonly receivedAtMs: number;
  readonly deadlineMs: number;
}

type Attempt =
  | { readonly kind: 'reply'; readonly reply: MemberReply; readonly member: Member }
  | { readonly kind: 'failed'; readonly reason: string; readonly reply: MemberReply; readonly member: Member }
  | { readonly kind: 'not_run'; readonly reason: string; readonly member: Member }
  | { readonly kind: 'lost'; readonly reason: string; readonly member: Member };

/** Share of the target latency after which a second member is asked. */
const HEDGE_SHARE = 0.6;

/** Time added to a staleness bound for the way of the request to the daemon, in milliseconds. */
const STALENESS_MARGIN_MS = 60;

/** Most members asked at once. */
const MAX_PARALLEL = 2;

const NOT_RUN_CODES: ReadonlySet<MemberErrorCode> = new Set(['busy', 'behind', 'read_only']);

/** Times that a read is run and fails before its client is told. */
const MAX_FAILURES = 3;

/** Run, to no effect: a read may be asked of another member. */
const FAILED_CODES: ReadonlySet<MemberErrorCode> = new Set(['failed', 'timed_out', 'other']);

/** What a replica has to hold for a read, or `null` when only the leader will do. */
export function readFloor(
  group: MemberGroup,
  route: Route,
  sessionFloor: Position | null,
  receivedAtMs: number,
): Position | null {
  if (route.consistency === 'primary') return null;
  const since = receivedAtMs - route.maxStalenessMs + STALENESS_MARGIN_MS;
  const floor = group.positions.floorSince(since);
  if (floor === null) return null;
  return sessionFloor === null ? floor : laterPosition(floor, sessionFloor);
}

/** The members of a group as candidates for a read; the leader only under valid evidence. */
export function readCandidates(
  context: RelayContext,
  group: MemberGroup,
  floor: Position | null,
): ReadCandidate[] {
  const now = context.now();
  const leader = group.leader(now);
  const believed = group.evidence.leader?.memberId;
  const candidates: ReadCandidate[] = [];
  for (const [memberId, member] of group.members) {
    if (memberId === believed && member !== leader) continue;
    candidates.push({
      memberId,
      isLeader: member === leader,
      isInZone: member.entry.zone === context.zone,
      load: member.pool.load,
      slots: member.entry.slots,
      latencyMs: member.latencyMs,
      failureShare: member.failureShare(now),
      isLeaving: member.isLeaving,
      isAvoided: member.isAvoided(now),
      isBehind: floor !== null && member.isKnownBehind(floor, now),
    });
  }
  return candidates;
}

/** Runs one read. */
export class ReadRunner {
  readonly #excluded = new Set<string>();
  /** Members to which no connection could be opened in this round. */
  readonly #unreachable = new Set<string>();
  readonly #pending = new Map<Promise<Attempt>, Member>();
  #isSettled = false;
  #wasSent = false;
  #lastReason = 'no member can serve';
  /** The answer of a member that ran the read and failed: the last word if no other has a better one. */
  #failure: MemberReply | null = null;
  #failures = 0;

  constructor(
    private readonly context: RelayContext,
    private readonly job: ReadJob,
  ) {}

  /**
   * The answer of the first member that has one.
   *
   * @throws {@link Refusal}
   */
  async run(): Promise<MemberReply> {
    try {
      return await this.#run();
    } finally {
      this.#isSettled = true;
    }
  }

  async #run(): Promise<MemberReply> {
    for (;;) {
      const remaining = this.job.deadlineMs - this.context.now();
      if (remaining <= 0) return this.#giveUp();
      this.#launch();
      if (this.#pending.size === 0) {
        if (this.#failure !== null && this.#failures >= MAX_FAILURES) return this.#failure;
        if (this.#shouldAskElsewhere()) return this.#giveUp();
        this.#excluded.clear();
        this.#unreachable.clear();
        await this.job.group.changed.wait(Math.min(RETRY_PAUSE_MS, remaining));
        continue;
      }
      const attempt = await firstWithin(this.#pending.keys(), Math.min(this.#hedgeMs(), remaining));
      if (attempt === null) continue;
      if (attempt.kind === 'reply') return attempt.reply;
      if (attempt.kind === 'failed') {
        this.#failure = attempt.reply;
        this.#failures += 1;
        if (this.#failures >= MAX_FAILURES) return attempt.reply;
      }
      this.#lastReason = attempt.reason;
      this.#excluded.add(attempt.member.entry.memberId);
      this.context.observer.notable({
        requestId: this.job.requestId,
        decision: 'read_elsewhere',
        member: attempt.member.entry.memberId,
        reason: attempt.reason,
        outcome: attempt.kind,
      });
    }
  }

  /** True when no member can serve now, and another daemon may know one that can. */
  #shouldAskElsewhere(): boolean {
    const { context, job } = this;
    const now = context.now();
    const isLeaderOnly = job.route.consistency === 'primary';
    const candidates = readCandidates(context, job.group, null).filter(
      ({ isLeader }) => isLeader || !isLeaderOnly,
    );
    return shouldAskElsewhere({
      heldMs: now - job.receivedAtMs,
      timeoutMs: job.route.timeoutMs,
      leaderlessMs: job.group.leaderlessMs(now),
      isUnreachable:
        candidates.length > 0 &&
        candidates.every(({ isAvoided, memberId }) => isAvoided || this.#unreachable.has(memberId)),
    });
  }

  #hedgeMs(): number {
    const isMore = this.#pending.size < MAX_PARALLEL;
    return isMore ? this.job.route.targetLatencyMs * HEDGE_SHARE : Number.MAX_SAFE_INTEGER / 1e9;
  }

  #launch(): void {
    if (this.#pending.size >= MAX_PARALLEL) return;
    const { group, route, sessionFloor, receivedAtMs } = this.job;
    const floor = readFloor(group, route, sessionFloor, receivedAtMs);
    const excluded = new Set(this.#excluded);
    for (const member of this.#pending.values()) excluded.add(member.entry.memberId);
    const choice = selectReadMember(readCandidates(this.context, group, floor), { floor, excluded });
    const member = choice === null ? undefined : group.members.get(choice.memberId);
    if (choice === null || member === undefined) return;
    if (this.#pending.size > 0 && (choice.isAvoided || member.pool.isExhausted)) return;
    this.context.observer.routine({
      requestId: this.job.requestId,
      decision: 'read_at',
      member: choice.memberId,
      leader: choice.isLeader,
      floor: floor === null ? null : `${floor.term}.${floor.index}`,
      second: this.#pending.size > 0,
    });
    const attempt = this.#attempt(member, choice.isLeader, choice.isLeader ? null : floor);
    this.#pending.set(attempt, member);
    void attempt.then(() => this.#pending.delete(attempt));
  }

  async #attempt(member: Member, asLeader: boolean, after: Position | null): Promise<Attempt> {
    const { job, context } = this;
    let link;
    try {
      link = await member.pool.acquire(job.values, job.route.priority, job.deadlineMs - context.now());
    } catch (error) {
      if (error instanceof DialError) this.#unreachable.add(member.entry.memberId);
      return { kind: 'not_run', reason: `no connection: ${String(error)}`, member };
    }
    const overdue = setTimeout(() => link.close(), job.deadlineMs - context.now() + LATE_ANSWER_MS);
    let isSent = false;
    try {
      const reply = await sendStatement(link, job.statement, job.requestId, job.values, after, () => {
        if (this.#isSettled) return 'answered by another member';
        if (asLeader && job.group.leader(context.now()) !== member) return 'no evidence of the leader';
        isSent = true;
        this.#wasSent = true;
        return null;
      });
      if (typeof reply === 'string') return { kind: 'not_run', reason: reply, member };
      return this.#judge(member, asLeader, reply.reply, reply.sentAtMs);
    } catch (error) {
      return { kind: isSent ? 'lost' : 'not_run', reason: `connection lost: ${String(error)}`, member };
    } finally {
      clearTimeout(overdue);
      member.pool.release(link);
    }
  }

  #judge(member: Member, asLeader: boolean, reply: MemberReply, sentAtMs: number): Attempt {
    const { group } = this.job;
    const answerMs = this.context.now() - sentAtMs;
    member.trust(this.context.now());
    member.recordPosition(reply.position, this.context.now());
    if (asLeader && reply.position !== null) group.positions.record(sentAtMs, reply.position);
    member.recordOutcome(!reply.result.isComplete && FAILED_CODES.has(reply.result.code), this.context.now());
    if (reply.result.isComplete) {
      member.recordLatency(answerMs);
      this.context.observer.memberAnswered('read', asLeader, answerMs);
      return { kind: 'reply', reply, member };
    }
    const { code } = reply.result;
    if (NOT_RUN_CODES.has(code)) return { kind: 'not_run', reason: code, member };
    if (code === 'unknown_name') return { kind: 'not_run', reason: code, member };
    if (FAILED_CODES.has(code)) return { kind: 'failed', reason: code, reply, member };
    return { kind: 'reply', reply, member };
  }

  #giveUp(): MemberReply {
    if (this.#failure !== null) return this.#failure;
    if (this.#wasSent)
      throw new Refusal('timed_out', 'may_have_run', `no answer in time: ${this.#lastReason}`);
    throw new Refusal('busy', 'not_run', this.#lastReason, RETRY_AFTER_MS);
  }
}
