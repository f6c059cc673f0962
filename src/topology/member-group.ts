/**
 * A daemon's view of one group of members: the members, the leader and the log positions.
 *
 * @packageDocumentation
 */
import { RetryBudget } from '../admission/retry-budget.js';
import { ChangeSignal } from '../common/signal.js';
import type { Acknowledged } from '../leadership/acknowledged.js';
import { CommitTracker } from '../leadership/commit-tracker.js';
import type { LastLeader } from '../leadership/last-leader.js';
import { OpenCallRecord } from '../leadership/open-calls.js';
import {
  formatEvidenceSource,
  LeadershipEvidence,
  type CommitStatus,
  type EvidenceSource,
  type Leader,
} from '../leadership/leadership-evidence.js';
import { PositionHistory, type ReadFloor } from '../leadership/position-history.js';
import { formatIncarnation, type Incarnation } from './incarnation.js';
import { ProcessContinuity } from './process-continuity.js';
import { ReplicaLag } from './replica-lag.js';
import { ZERO_POSITION, hasReached, laterPosition, type Position } from '../position/position.js';
import { MemberShare } from '../placement/member-share.js';
import { PendingReads } from '../placement/pending-reads.js';
import { RecentLatency } from '../placement/recent-latency.js';
import type { MemberConnections } from '../gateway/member-connections.js';
import type { MemberAddress } from '../relay/member-link.js';

/** A member's entry in the directory. */
export interface MemberEntry extends Incarnation {
  readonly groupName: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Number of requests that it executes concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** True if the member reports itself as the primary. */
  readonly saysPrimary: boolean;
}

/** How long a member is avoided after it did not answer or refused a connection, in milliseconds. */
const AVOIDANCE_MS = 400;

/**
 * For how long a reported position of a member that is behind is taken as its current one, in milliseconds.
 */
const POSITION_VALIDITY_MS = 150;

/** Weight of the previous response time against the latest answer. */
const LATENCY_SMOOTHING = 0.9;
/** Weight of the previous failure share against the latest outcome. */
const FAILURE_SMOOTHING = 0.9;
/** Half-life of the failure share without new outcomes, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 1000;

/** One incarnation of a member, with this daemon's connections to it. */
export class Member {
  /** Since when the directory has not listed it, in monotonic milliseconds; `null` while it is listed. */
  missingSinceMs: number | null = null;
  /** Since when it has been known to be leaving, in monotonic milliseconds; `null` otherwise. */
  leavingSinceMs: number | null = null;
  /**
   * True when its process has exited: another incarnation has its id, and whatever answers at its address is
   * not this one. Also set when the same incarnation has moved to another address, where a new object
   * represents it.
   */
  hasEnded = false;
  /**
   * Since when this daemon has known the incarnation, in monotonic milliseconds; negative infinity if it was
   * listed when the directory was first read.
   */
  knownSinceMs = Number.NEGATIVE_INFINITY;
  #avoidUntilMs = Number.NEGATIVE_INFINITY;
  #latencyMs = 0;
  #failureShare = 0;
  #failureShareAtMs = 0;
  /** Signs that another process answers for the incarnation. */
  continuity = new ProcessContinuity();
  /** Estimate of its lag behind the leader. */
  readonly lag = new ReplicaLag();
  /** Response time over the last second. */
  readonly recentLatency = new RecentLatency();
  /** Reads of this daemon that it has not answered yet. */
  readonly pendingReads = new PendingReads();
  /** Share of its usual requests that it gets after it was slow or failed requests. */
  readonly share = new MemberShare();
  #position: Position = ZERO_POSITION;
  #positionAtMs = Number.NEGATIVE_INFINITY;
  #answeredAtMs = Number.NEGATIVE_INFINITY;
  #hasExitSign = false;

  constructor(
    public entry: MemberEntry,
    readonly pool: MemberConnections,
  ) {}

  get address(): MemberAddress {
    const { memberId, groupName, host, port } = this.entry;
    return { memberId, groupName, host, port };
  }

  /** Smoothed response time, in milliseconds; 0 before the first answer. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /**
   * Updates the response time with that of an answer.
   *
   * @param earlierShare - part of the usual weight that earlier answers have, 0 to 1
   */
  recordLatency(ms: number, earlierShare = 1): void {
    const earlierWeight = LATENCY_SMOOTHING * earlierShare;
    this.#latencyMs = this.#latencyMs === 0 ? ms : this.#latencyMs * earlierWeight + ms * (1 - earlierWeight);
  }

  /** Updates the failure share with the outcome of a request. */
  recordOutcome(hasFailed: boolean, nowMs: number): void {
    const previousShare = this.failureShare(nowMs);
    this.#failureShare = previousShare * FAILURE_SMOOTHING + (hasFailed ? 1 - FAILURE_SMOOTHING : 0);
    this.#failureShareAtMs = nowMs;
  }

  /**
   * Smoothed share of executed requests that failed, 0 to 1; decays over time, so that the member is tried
   * again.
   */
  failureShare(nowMs: number): number {
    if (this.#failureShare === 0) return 0;
    return this.#failureShare * 0.5 ** ((nowMs - this.#failureShareAtMs) / FAILURE_HALF_LIFE_MS);
  }

  /** Records the log position that the member has reported, if any. */
  recordPosition(position: Position | null, nowMs: number): void {
    if (position === null) return;
    this.#position = position;
    this.#positionAtMs = nowMs;
  }

  /**
   * True when its recently reported position is below the floor, or when it is expected to lack the floor by
   * its lag.
   */
  isBehind({ position, reachedAtMs }: ReadFloor, nowMs: number): boolean {
    if (hasReached(this.#position, position)) return false;
    if (nowMs - this.#positionAtMs < POSITION_VALIDITY_MS) return true;
    return Math.max(0, nowMs - reachedAtMs) < this.lag.expectedMs(nowMs);
  }

  /** Updates the lag estimate with whether the member held the floor of a read. */
  recordFloorResult({ reachedAtMs }: ReadFloor, wasHeld: boolean, nowMs: number): void {
    if (wasHeld) this.lag.recordHeld(nowMs - reachedAtMs, nowMs);
    else this.lag.recordBehind(nowMs - reachedAtMs, nowMs);
  }

  /** Directs new requests to other members for a short time. */
  avoid(nowMs: number): void {
    this.#avoidUntilMs = nowMs + AVOIDANCE_MS;
  }

  /** Records an answer at `nowMs`, and stops avoiding the member. */
  recordAnswer(nowMs: number): void {
    this.#hasExitSign = false;
    this.#avoidUntilMs = Number.NEGATIVE_INFINITY;
    this.#answeredAtMs = nowMs;
  }

  /**
   * When it last answered a request, in monotonic milliseconds; negative infinity before the first answer.
   */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
  }

  /** Its process has closed a connection as it ended, or another member answers at its address. */
  recordExit(): void {
    this.#hasExitSign = true;
  }

  /**
   * True when its process is known to have ended, and none has answered for it since. A refused connection shows no
   * end: a cut network may refuse, too.
   */
  get hasExited(): boolean {
    return this.hasEnded || this.#hasExitSign;
  }

  /** True for a short time after it did not answer or refused a connection. */
  isAvoided(nowMs: number): boolean {
    return nowMs < this.#avoidUntilMs;
  }

  /** True when it is leaving or has left. */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== null;
  }
}

/**
 * Maximum age of the leader's latest position at which reads have a floor, in milliseconds: the shortest
 * staleness bound in use.
 */
const FLOOR_VALIDITY_MS = 500;

/** What is known of a leader, for the log; times in milliseconds. */
export interface LeadershipSummary {
  readonly leader: string | null;
  readonly term: number;
  /** Remaining validity of the evidence. */
  readonly evidenceLeftMs: number;
  /** `store`, `members`, `daemon` or `duty`; see {@link EvidenceSource}. */
  readonly evidenceFrom: string | null;
  /** Time since a promotion last revoked the evidence of this daemon; `null` if none has. */
  readonly sinceRevokedMs: number | null;
}

/** State of one group. */
export class MemberGroup {
  readonly members = new Map<string, Member>();
  /**
   * Members that receive no more requests but may still run. Until they exit they receive the log, and a
   * commit may have been acknowledged only because one of them received it. Keyed by incarnation: there may
   * be several with one id.
   */
  readonly former = new Map<string, Member>();
  readonly evidence: LeadershipEvidence;
  readonly positions = new PositionHistory();
  readonly commits = new CommitTracker();
  /** Tokens for hedged requests, and for retries after a refusal because of load. */
  readonly retries = new RetryBudget();
  /** Calls to the platform that the duty holder has announced. */
  readonly calls = new OpenCallRecord();
  /** Since when no leader has been proven, in monotonic milliseconds; `null` while there is one. */
  leaderlessSinceMs: number | null = null;
  /** Wakes requests that wait for a leader or a member. */
  readonly changed = new ChangeSignal();
  /** Latest position of a commit that this daemon has acknowledged. */
  #acknowledged: Position = ZERO_POSITION;
  /** Latest known log position of the leader of a term. */
  #leaderPosition: { readonly term: number; readonly position: Position } | null = null;
  /** First position that the leader of the latest term reported itself. */
  #termStart: { readonly term: number; readonly position: Position } | null = null;
  /** First position of a proven leader that this daemon received. */
  #firstLeaderPosition: Position | null = null;
  /** Latest term in which a known member was reported to lead, and the incarnation that led. */
  #lastLeader: { readonly term: number; readonly member: Member } | null = null;

  /**
   * @param countsFromMs - from when on evidence from a source counts, in monotonic milliseconds
   * @param mayHaveLostCommits - true when this daemon may have acknowledged commits of which it has no record
   * any more
   */
  constructor(
    readonly name: string,
    countsFromMs?: (source: EvidenceSource) => number,
    private readonly mayHaveLostCommits: () => boolean = () => false,
  ) {
    this.evidence = new LeadershipEvidence(countsFromMs);
  }

  /**
   * Commits that this daemon has acknowledged. Those without a record were in the log when the leader first
   * reported its position.
   */
  get acknowledged(): Acknowledged {
    const latest = this.#acknowledged;
    if (!this.mayHaveLostCommits()) return { latest, limit: latest };
    return {
      latest,
      limit: this.#firstLeaderPosition === null ? null : laterPosition(latest, this.#firstLeaderPosition),
    };
  }

  /**
   * Records a commit as acknowledged if its standing is `proven`; otherwise it must not be acknowledged yet,
   * or at all.
   */
  acknowledge(position: Position, nowMs: number): CommitStatus {
    const standing = this.evidence.commitStatus(position.term, nowMs);
    if (standing === 'proven') this.#acknowledged = laterPosition(this.#acknowledged, position);
    return standing;
  }

  /**
   * Records a position that the proven leader reported in answer to a request sent at `askedAtMs`. The first
   * one after a gap wakes waiting requests: reads that only the leader could serve may go to other members
   * now.
   *
   * @param leader - the proven leader when the request was sent. If another member leads by now, the position
   * is ignored: the answer may come from a later incarnation of the old leader, and the position that would
   * reveal this is no longer known.
   */
  recordLeaderPosition(
    askedAtMs: number,
    position: Position,
    leader: Leader | null = this.evidence.leader,
  ): void {
    const believed = this.evidence.leader;
    if (leader?.memberId !== believed?.memberId || leader?.term !== believed?.term) return;
    // A lower position comes from another incarnation, or answers an older request.
    const held = this.leaderPosition;
    if (held !== null && !hasReached(position, held)) return;
    const wasKnown = this.positions.floorSince(askedAtMs - FLOOR_VALIDITY_MS) !== null;
    this.#firstLeaderPosition ??= position;
    this.#advanceLeaderPosition(position);
    this.#recordTermStart(position);
    this.positions.record(askedAtMs, position);
    if (!wasKnown) this.changed.notify();
  }

  /**
   * Records that a member leads a term. True when that was not known yet.
   *
   * @param held - the log position that the member reports to have received, or `null` if it is not known
   */
  recordLeader(leader: Leader, held: Position | null): boolean {
    const isNew = this.evidence.observeLeader(leader);
    const { leader: believed } = this.evidence;
    if (believed?.memberId !== leader.memberId || believed.term !== leader.term) return isNew;
    const member = this.members.get(leader.memberId) ?? this.findFormer(leader.memberId);
    if (member !== null) this.#lastLeader = { term: leader.term, member };
    if (held !== null) {
      this.#advanceLeaderPosition(held);
      this.#recordTermStart(held);
    }
    return isNew;
  }

  /** Records a position that another member has received in the current term; the leader holds it, too. */
  recordReplicaPosition(position: Position): void {
    this.#advanceLeaderPosition(position);
  }

  /**
   * The first position that the leader of a term reported itself, or `null`. It is an upper bound for all
   * commits acknowledged in earlier terms, because only a member that holds those is promoted.
   */
  termStartPosition(term: number): Position | null {
    return this.#termStart?.term === term ? this.#termStart.position : null;
  }

  #recordTermStart(position: Position): void {
    const term = this.evidence.leader?.term ?? this.evidence.minimumTerm;
    if (this.#termStart?.term !== term) this.#termStart = { term, position };
  }

  /**
   * The incarnation that led a term, or `null` if this daemon does not know it. Kept after the leader is
   * lost, because the next holder of the promotion duty has to know whose log holds all acknowledged commits.
   */
  leaderOfTerm(term: number): Member | null {
    return this.#lastLeader?.term === term ? this.#lastLeader.member : null;
  }

  #advanceLeaderPosition(position: Position): void {
    const term = this.evidence.leader?.term ?? this.evidence.minimumTerm;
    const known = this.#leaderPosition?.term === term ? this.#leaderPosition.position : ZERO_POSITION;
    this.#leaderPosition = { term, position: laterPosition(known, position) };
  }

  /**
   * The latest known position of the current leader, or `null` if none is known. A restarted process with the
   * leader's id does not hold it, although the evidence of its leadership may not have expired yet.
   */
  get leaderPosition(): Position | null {
    return this.#leaderPosition !== null && this.#leaderPosition.term === this.evidence.leader?.term
      ? this.#leaderPosition.position
      : null;
  }

  /** The former member with an id whose incarnation has not ended, or `null`. */
  findFormer(memberId: string): Member | null {
    for (const member of this.former.values())
      if (member.entry.memberId === memberId && !member.hasEnded) return member;
    return null;
  }

  /** Retains a member that receives no more requests. */
  addFormer(member: Member): void {
    this.removeFormer(member);
    this.former.set(this.#formerKey(member), member);
  }

  removeFormer(member: Member): void {
    for (const [key, former] of this.former) if (former === member) this.former.delete(key);
  }

  /**
   * Incarnations without a start time have the same key; if there are two, the address is appended to the
   * second one's.
   */
  #formerKey({ entry }: Member): string {
    const key = formatIncarnation(entry);
    return this.former.has(key) ? `${key}@${entry.host}:${entry.port}` : key;
  }

  /** The last leader that this daemon knows of, with its term, or `null`. */
  get lastLed(): LastLeader | null {
    if (this.#lastLeader === null) return null;
    const { memberId, bornMs } = this.#lastLeader.member.entry;
    return { term: this.#lastLeader.term, life: { memberId, bornMs } };
  }

  /** For how long no leader has been proven, in milliseconds; 0 while there is one. */
  leaderlessMs(nowMs: number): number {
    if (this.leaderlessSinceMs === null || this.evidence.current(nowMs) !== null) return 0;
    return nowMs - this.leaderlessSinceMs;
  }

  /** The believed leader, its term and the evidence for it at `nowMs`, for the log. */
  describeLeadership(nowMs: number): LeadershipSummary {
    const { leader, minimumTerm, validUntilMs, source, revokedAtMs } = this.evidence;
    return {
      leader: leader?.memberId ?? null,
      term: leader?.term ?? minimumTerm,
      evidenceLeftMs: Number.isFinite(validUntilMs) ? Math.round(validUntilMs - nowMs) : 0,
      evidenceFrom: source === null ? null : formatEvidenceSource(source),
      sinceRevokedMs: Number.isFinite(revokedAtMs) ? Math.round(nowMs - revokedAtMs) : null,
    };
  }

  /** The leader by evidence that is valid at `nowMs`, or `null`. */
  leader(nowMs: number): Member | null {
    const leader = this.evidence.current(nowMs);
    return leader === null ? null : (this.members.get(leader.memberId) ?? null);
  }
}
