/**
 * Runs a single read: chooses a member, goes elsewhere when it is refused or lost, asks a second member when the
 * first is slow.
 *
 * @packageDocumentation
 */
import { ChangeSignal } from '../common/signal.js';
import { formatPosition } from '../position/position.js';
import type { Leader } from '../leadership/leadership-evidence.js';
import { laterFloor, type ReadFloor } from '../leadership/position-history.js';
import type { Route } from '../topology/catalog.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { alternatives, selectReadMember, type ReadCandidate } from '../topology/select-member.js';
import { dueAt, type LinkDemand } from './link-queue.js';
import { isLeadersLife, recordFloor, tellsLife } from './lead-proof.js';
import { LinkWait, type Grant, type WaitingPlace } from './link-wait.js';
import {
  DialError,
  hasLostLog,
  NotSentError,
  type MemberErrorCode,
  type MemberReply,
} from './member-link.js';
import { shouldAskElsewhere } from './patience.js';
import { Refusal } from './refusal.js';
import { LATE_ANSWER_MS, RETRY_AFTER_MS, RETRY_PAUSE_MS, type RelayContext } from './relay-context.js';
import type { SessionLink, SessionValues } from './session-link.js';
import { sendStatement, type SessionStatement } from './send-statement.js';

/** A read to be run, or a transaction that only reads. */
export interface ReadJob {
  readonly requestId: string;
  readonly statement: SessionStatement;
  readonly route: Route;
  readonly group: MemberGroup;
  /** Name of the tenant that members are told. */
  readonly tenantName: string;
  readonly values: SessionValues;
  /** What the session itself has committed, or `null`. */
  readonly sessionFloor: ReadFloor | null;
  /** When the first byte of the request may have been sent at the latest, in monotonic milliseconds. */
  readonly receivedAtMs: number;
  readonly deadlineMs: number;
}

/** How one attempt ended, and at which members. */
type Attempt =
  | { readonly kind: 'reply'; readonly reply: MemberReply }
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly reply: MemberReply;
      readonly members: Iterable<Member>;
    }
  | {
      readonly kind: 'not_run' | 'lost';
      readonly reason: string;
      readonly members: Iterable<Member>;
    };

/** An attempt under way: it waits for a connection at some members, then for the answer of one. */
interface Asking {
  readonly wait: LinkWait<Member>;
  /** Since when the answer is waited for, in monotonic milliseconds; `null` while a connection is. */
  sentAtMs: number | null;
}

/** Share of the target latency after which a second member is asked. */
const HEDGE_SHARE = 0.6;

/** Time added to a staleness bound for the way of the request to the daemon, in milliseconds. */
const STALENESS_MARGIN_MS = 60;

/** A time that is longer than any request, in milliseconds. */
const NEVER_MS = 60_000;

const ANSWERED = 'answered by another member';
const UNPROVEN = 'no evidence of the leader';

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
  sessionFloor: ReadFloor | null,
  receivedAtMs: number,
): ReadFloor | null {
  if (route.consistency === 'primary') return null;
  const since = receivedAtMs - route.maxStalenessMs + STALENESS_MARGIN_MS;
  const floor = group.positions.floorSince(since);
  if (floor === null) return null;
  return sessionFloor === null ? floor : laterFloor(floor, sessionFloor);
}

/**
 * The members of a group as candidates for a read. A leader without valid evidence counts as a replica: it may have been
 * replaced, but its log holds every commit up to the floor of the read, which was taken from a proven leader.
 */
export function readCandidates(
  context: RelayContext,
  group: MemberGroup,
  floor: ReadFloor | null,
): ReadCandidate[] {
  const now = context.now();
  const leader = group.leader(now);
  const candidates: ReadCandidate[] = [];
  for (const [memberId, member] of group.members) {
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
      isBehind: floor !== null && member.isBehind(floor, now),
    });
  }
  return candidates;
}

/** Takes what an answer says of how far a member is: where its log stands, and whether it held the floor of a read. */
export function recordReplica(
  member: Member,
  floor: ReadFloor | null,
  { position, result }: MemberReply,
  nowMs: number,
): void {
  member.recordPosition(position, nowMs);
  if (floor === null) return;
  if (result.isComplete) member.recordFloor(floor, true, nowMs);
  else if (result.code === 'behind') member.recordFloor(floor, false, nowMs);
}

/** Runs one read. */
export class ReadRunner {
  readonly #excluded = new Set<string>();
  /** Members to which no connection could be opened in this round. */
  readonly #unreachable = new Set<string>();
  readonly #pending = new Set<Asking>();
  /** Attempts that have ended and were not looked at yet. */
  readonly #ended: Attempt[] = [];
  readonly #attemptEnded = new ChangeSignal();
  #isSettled = false;
  #isAbandoned = false;
  /** Attempts that a member has been sent, and has not refused as not run. */
  #mayHaveRun = 0;
  #lastReason = 'no member can serve';
  /** The answer of a member that ran the read and failed: the last word if no other has a better one. */
  #failure: MemberReply | null = null;
  #failures = 0;

  constructor(
    private readonly context: RelayContext,
    private readonly job: ReadJob,
  ) {}

  /** True once a member has been sent the statement, unless all that were have refused it as not run. */
  get wasSent(): boolean {
    return this.#mayHaveRun > 0;
  }

  /** Sends nothing more. */
  abandon(): void {
    this.#isSettled = true;
    this.#isAbandoned = true;
    for (const { wait } of this.#pending) wait.cancel();
    this.#attemptEnded.notify();
  }

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
      for (const { wait } of this.#pending) wait.cancel();
    }
  }

  async #run(): Promise<MemberReply> {
    for (;;) {
      const remaining = this.job.deadlineMs - this.context.now();
      if (remaining <= 0 || this.#isAbandoned) return this.#giveUp();
      if (this.#ended.length === 0) this.#launch();
      if (this.#pending.size === 0 && this.#ended.length === 0) {
        if (this.#failure !== null && this.#failures >= MAX_FAILURES) return this.#failure;
        if (this.#shouldAskElsewhere()) return this.#giveUp();
        this.#excluded.clear();
        this.#unreachable.clear();
        await this.job.group.changed.wait(Math.min(RETRY_PAUSE_MS, remaining));
        continue;
      }
      const attempt = await this.#next(remaining);
      if (attempt === null) continue;
      if (attempt.kind === 'reply') return attempt.reply;
      if (attempt.kind === 'failed') {
        this.#failure = attempt.reply;
        this.#failures += 1;
        if (this.#failures >= MAX_FAILURES) return attempt.reply;
      }
      this.#lastReason = attempt.reason;
      const members = [...attempt.members].map(({ entry }) => entry.memberId);
      for (const memberId of members) this.#excluded.add(memberId);
      this.context.observer.notable({
        requestId: this.job.requestId,
        decision: 'read_elsewhere',
        member: members.join(','),
        reason: attempt.reason,
        outcome: attempt.kind,
      });
    }
  }

  /** The next attempt that ends; `null` when it is time to look again. */
  async #next(remainingMs: number): Promise<Attempt | null> {
    if (this.#ended.length === 0) {
      const lookMs = Math.min(Math.max(1, this.#hedgeInMs()), remainingMs);
      const isWaiting = this.#waiting() !== null;
      const ends = [this.#attemptEnded.wait(lookMs)];
      if (isWaiting) ends.push(this.job.group.changed.wait(lookMs));
      await Promise.race(ends);
    }
    return this.#ended.shift() ?? null;
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

  /** Time until a second member may be asked, in milliseconds; 0 when it may be now. */
  #hedgeInMs(): number {
    if (this.#pending.size === 0) return 0;
    if (this.#pending.size >= MAX_PARALLEL) return NEVER_MS;
    const now = this.context.now();
    const hedgeMs = this.job.route.targetLatencyMs * HEDGE_SHARE;
    const sentAtMs = Math.max(...[...this.#pending].map((asking) => asking.sentAtMs ?? now));
    return Math.max(0, sentAtMs + hedgeMs - now);
  }

  /** The attempt that waits for a connection, or `null`. */
  #waiting(): Asking | null {
    for (const asking of this.#pending) if (asking.wait.isWaiting) return asking;
    return null;
  }

  #launch(): void {
    const waiting = this.#waiting();
    if (waiting === null && this.#hedgeInMs() > 0) return;
    const { group, route, sessionFloor, receivedAtMs } = this.job;
    const floor = readFloor(group, route, sessionFloor, receivedAtMs);
    const excluded = new Set(this.#excluded);
    for (const { wait } of this.#pending) for (const { entry } of wait.members) excluded.add(entry.memberId);
    const candidates = readCandidates(this.context, group, floor);
    const demand = { floor, excluded };
    const choice = selectReadMember(candidates, demand);
    const member = choice === null ? undefined : group.members.get(choice.memberId);
    if (choice === null || member === undefined) return;
    const others = alternatives(choice, candidates, demand).flatMap(
      ({ memberId }) => group.members.get(memberId) ?? [],
    );
    if (waiting !== null) {
      if (!choice.isAvoided) waiting.wait.joinAll(placesOf([member, ...others]));
      return;
    }
    if (this.#pending.size > 0 && (choice.isAvoided || member.pool.isExhausted)) return;
    this.#ask(member, member.pool.isExhausted ? others : []);
  }

  /** Asks a member, or whichever of the others has a connection free first. */
  #ask(member: Member, others: readonly Member[]): void {
    const demand = this.#demand();
    const waitMs = this.job.deadlineMs - this.context.now();
    const asking: Asking = { wait: new LinkWait<Member>(demand, waitMs), sentAtMs: null };
    this.#pending.add(asking);
    void this.#attempt(asking).then((attempt) => {
      this.#pending.delete(asking);
      this.#ended.push(attempt);
      this.#attemptEnded.notify();
    });
    if (member.pool.isDirect) asking.wait.joinAll(placesOf([member, ...others]));
    else asking.wait.settle(member, () => member.pool.borrow(demand, waitMs));
  }

  #demand(): LinkDemand {
    const { tenantName, values, route, deadlineMs } = this.job;
    return {
      tenantName,
      values,
      isWrite: false,
      priority: route.priority,
      dueAtMs: dueAt(route, deadlineMs),
    };
  }

  async #attempt(asking: Asking): Promise<Attempt> {
    const { wait } = asking;
    let granted: Grant<Member>;
    try {
      granted = await wait.granted;
    } catch (error) {
      for (const [{ entry }, failure] of wait.failures)
        if (failure instanceof DialError) this.#unreachable.add(entry.memberId);
      return { kind: 'not_run', reason: `no connection: ${String(error)}`, members: wait.members };
    }
    const { link, member } = granted;
    try {
      return await this.#askOver(link, member, asking);
    } finally {
      member.pool.release(link);
    }
  }

  async #askOver(link: SessionLink, member: Member, asking: Asking): Promise<Attempt> {
    const { job, context } = this;
    const members = [member];
    if (this.#isSettled) return { kind: 'not_run', reason: ANSWERED, members };
    const asLeader = job.group.leader(context.now()) === member;
    const leader = asLeader ? job.group.evidence.leader : null;
    const floor = asLeader ? null : readFloor(job.group, job.route, job.sessionFloor, job.receivedAtMs);
    if (!asLeader && floor === null) return { kind: 'not_run', reason: 'no position of the leader', members };
    context.observer.routine({
      requestId: job.requestId,
      decision: 'read_at',
      member: member.entry.memberId,
      leader: asLeader,
      floor: floor === null ? null : formatPosition(floor.position),
      second: this.#pending.size > 1,
    });
    const overdue = setTimeout(() => link.close(), job.deadlineMs - context.now() + LATE_ANSWER_MS);
    let isSent = false;
    const after = asLeader ? job.group.heldByLeader : (floor?.position ?? null);
    try {
      const reply = await sendStatement(link, job.statement, job.requestId, job.values, after, () => {
        if (this.#isSettled) return ANSWERED;
        if (asLeader && job.group.leader(context.now()) !== member) return UNPROVEN;
        isSent = true;
        this.#mayHaveRun += 1;
        asking.sentAtMs = context.now();
        return null;
      });
      if (typeof reply === 'string') return { kind: 'not_run', reason: reply, members };
      const { result, position } = reply.reply;
      if (leader !== null && result.isComplete && !tellsLife(after)) {
        const isLeaders = await isLeadersLife(context, job.group, leader, link, position);
        if (!isLeaders) return { kind: 'lost', reason: 'perhaps another life of the leader', members };
      }
      const attempt = this.#judge(member, leader, floor, reply.reply, reply.sentAtMs);
      if (attempt.kind === 'not_run') this.#mayHaveRun -= 1;
      return attempt;
    } catch (error) {
      const isLost = isSent && !(error instanceof NotSentError);
      if (isSent && !isLost) this.#mayHaveRun -= 1;
      return { kind: isLost ? 'lost' : 'not_run', reason: `connection lost: ${String(error)}`, members };
    } finally {
      clearTimeout(overdue);
    }
  }

  #judge(
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
    member.trust(this.context.now());
    recordReplica(member, floor, reply, this.context.now());
    if (asLeader && hasLostLog(reply)) this.context.suspect(group, member, 'lost_log');
    if (asLeader && reply.result.isComplete)
      recordFloor(this.context, group, leader, sentAtMs, reply.position);
    member.recordOutcome(!reply.result.isComplete && FAILED_CODES.has(reply.result.code), this.context.now());
    if (reply.result.isComplete) {
      member.recordLatency(answerMs);
      this.context.observer.memberAnswered('read', asLeader, answerMs);
      return { kind: 'reply', reply };
    }
    const { code } = reply.result;
    if (NOT_RUN_CODES.has(code) || code === 'unknown_name') return { kind: 'not_run', reason: code, members };
    if (FAILED_CODES.has(code)) return { kind: 'failed', reason: code, reply, members };
    return { kind: 'reply', reply };
  }

  #giveUp(): MemberReply {
    if (this.#failure !== null) return this.#failure;
    if (this.wasSent)
      throw new Refusal('timed_out', 'may_have_run', `no answer in time: ${this.#lastReason}`);
    throw new Refusal('busy', 'not_run', this.#lastReason, RETRY_AFTER_MS);
  }
}

/** The pools of members at which a request can wait: those to which this daemon connects itself. */
function placesOf(members: readonly Member[]): { readonly place: WaitingPlace; readonly member: Member }[] {
  return members.filter(({ pool }) => pool.isDirect).map((member) => ({ place: member.pool.own, member }));
}
