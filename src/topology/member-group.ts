/**
 * What a daemon knows of one group of members: who they are, who leads, how far the log has come.
 *
 * @packageDocumentation
 */
import { ChangeSignal } from '../common/signal.js';
import type { Acknowledged } from '../leadership/acknowledged.js';
import { CommitTracker } from '../leadership/commit-tracker.js';
import type { LastLed } from '../leadership/last-led.js';
import { CallNote } from '../leadership/open-calls.js';
import { LeadershipEvidence, type CommitStatus, type Leader } from '../leadership/leadership-evidence.js';
import { PositionHistory, type ReadFloor } from '../leadership/position-history.js';
import { formatIncarnation, type Incarnation } from './incarnation.js';
import { ReplicaLag } from './replica-lag.js';
import { ZERO_POSITION, hasReached, laterPosition, type Position } from '../position/position.js';
import type { MemberConnections } from '../gateway/member-connections.js';
import type { MemberAddress } from '../relay/member-link.js';

/** A member as the directory describes it. */
export interface MemberEntry extends Incarnation {
  readonly groupName: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** What it says of itself. */
  readonly saysPrimary: boolean;
}

/** How long a member that went silent or refused connections is avoided, in milliseconds. */
const AVOID_MS = 400;

/** For how long a member that was behind is taken to be as far as it said, in milliseconds. */
const POSITION_KNOWN_MS = 150;

/** Weight of what is known against the newest outcome. */
const FAILURE_MEMORY = 0.9;
/** Time in which an outcome that no other follows loses half of its weight, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 1000;

/** One member, with this daemon's connections to it. */
export class Member {
  /** Since when the directory has not listed it, in monotonic milliseconds; `null` while it does. */
  missingSinceMs: number | null = null;
  /** Since when it has been known to leave, in monotonic milliseconds; `null` while it stays. */
  leavingSinceMs: number | null = null;
  /**
   * Its process has ended: another life goes by its id, and whoever answers at its address is not this one. Set too where the
   * same life is reached at another address: another object stands for it then.
   */
  hasEnded = false;
  /**
   * Since when its life has been known to this daemon, in monotonic milliseconds; without a beginning where it was listed when the
   * directory was first read.
   */
  knownSinceMs = Number.NEGATIVE_INFINITY;
  #avoidUntilMs = Number.NEGATIVE_INFINITY;
  /** Smoothed time of its answers, in milliseconds. */
  #latencyMs = 0;
  #failureShare = 0;
  #failureAtMs = 0;
  /** How far it is behind the leader in time. */
  readonly lag = new ReplicaLag();
  #position: Position = ZERO_POSITION;
  #positionAtMs = Number.NEGATIVE_INFINITY;
  #answeredAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    public entry: MemberEntry,
    readonly pool: MemberConnections,
  ) {}

  /** Where it is reached. */
  get address(): MemberAddress {
    const { memberId, groupName, host, port } = this.entry;
    return { memberId, groupName, host, port };
  }

  /** Smoothed time of its answers, in milliseconds; 0 before the first. */
  get latencyMs(): number {
    return this.#latencyMs;
  }

  /** Takes the time of an answer. */
  recordLatency(ms: number): void {
    this.#latencyMs = this.#latencyMs === 0 ? ms : this.#latencyMs * 0.9 + ms * 0.1;
  }

  /** Takes how an answer went. */
  recordOutcome(hasFailed: boolean, nowMs: number): void {
    const known = this.failureShare(nowMs);
    this.#failureShare = known * FAILURE_MEMORY + (hasFailed ? 1 - FAILURE_MEMORY : 0);
    this.#failureAtMs = nowMs;
  }

  /** Smoothed share of requests that it ran and failed, 0 to 1; fades, so that it is tried again. */
  failureShare(nowMs: number): number {
    if (this.#failureShare === 0) return 0;
    return this.#failureShare * 0.5 ** ((nowMs - this.#failureAtMs) / FAILURE_HALF_LIFE_MS);
  }

  /** Takes how far it is in the log. */
  recordPosition(position: Position | null, nowMs: number): void {
    if (position === null) return;
    this.#position = position;
    this.#positionAtMs = nowMs;
  }

  /** True when it said a short time ago that it does not hold a floor yet, or is expected to lack it by its lag. */
  isBehind({ position, reachedAtMs }: ReadFloor, nowMs: number): boolean {
    if (hasReached(this.#position, position)) return false;
    if (nowMs - this.#positionAtMs < POSITION_KNOWN_MS) return true;
    return Math.max(0, nowMs - reachedAtMs) < this.lag.expectedMs(nowMs);
  }

  /** Learns from whether it held the floor of a read. */
  recordFloor({ reachedAtMs }: ReadFloor, wasHeld: boolean, nowMs: number): void {
    if (wasHeld) this.lag.held(nowMs - reachedAtMs, nowMs);
    else this.lag.lacked(nowMs - reachedAtMs, nowMs);
  }

  /** Keeps new requests away for a while. */
  avoid(nowMs: number): void {
    this.#avoidUntilMs = nowMs + AVOID_MS;
  }

  /** It has answered at `nowMs`: nothing speaks against it. */
  trust(nowMs: number): void {
    this.#avoidUntilMs = Number.NEGATIVE_INFINITY;
    this.#answeredAtMs = nowMs;
  }

  /** When it last answered a request, in monotonic milliseconds. */
  get answeredAtMs(): number {
    return this.#answeredAtMs;
  }

  /** True while it went silent or refused connections a short time ago. */
  isAvoided(nowMs: number): boolean {
    return nowMs < this.#avoidUntilMs;
  }

  /** True when it is leaving or has left. */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== null;
  }
}

/** Age of the newest position of a leader below which reads have a floor, in milliseconds: the shortest bound in use. */
const FLOOR_KNOWN_MS = 500;

/** One group. */
export class MemberGroup {
  readonly members = new Map<string, Member>();
  /**
   * Members that get no more work, but may still run: until they are gone they receive the log, and a commit may
   * have been acknowledged on their word alone. By incarnation: several lives of one id may stand here.
   */
  readonly former = new Map<string, Member>();
  readonly evidence: LeadershipEvidence;
  readonly positions = new PositionHistory();
  readonly commits = new CommitTracker();
  /** What the holder of the duty has told of its calls of the platform. */
  readonly calls = new CallNote();
  /** Since when no leader has been proven, in monotonic milliseconds; `null` while one is. */
  leaderlessSinceMs: number | null = null;
  /** Wakes whoever waits for a leader or a member. */
  readonly changed = new ChangeSignal();
  /** The latest position of a commit that this daemon has acknowledged. */
  #acknowledged: Position = ZERO_POSITION;
  /** The latest position that the leader of a term gave. */
  #led: { readonly term: number; readonly position: Position } | null = null;
  /** The first position that the leader of the latest term has given as its own. */
  #opened: { readonly term: number; readonly position: Position } | null = null;
  /** The first position of the proven leader that this daemon was given. */
  #firstLed: Position | null = null;
  /** The last term that a known member was said to lead, and the life that did. */
  #lastLed: { readonly term: number; readonly member: Member } | null = null;

  /**
   * @param countsFromMs - from when on answers of witnesses count as evidence, in monotonic milliseconds
   * @param hasForgotten - true when this daemon may have acknowledged commits that it does not know of any more
   */
  constructor(
    readonly name: string,
    countsFromMs?: () => number,
    private readonly hasForgotten: () => boolean = () => false,
  ) {
    this.evidence = new LeadershipEvidence(countsFromMs);
  }

  /** What this daemon has acknowledged. What it has forgotten was in the log when the leader first gave its position. */
  get acknowledged(): Acknowledged {
    const latest = this.#acknowledged;
    if (!this.hasForgotten()) return { latest, limit: latest };
    return { latest, limit: this.#firstLed === null ? null : laterPosition(latest, this.#firstLed) };
  }

  /** Notes a commit that is acknowledged at once if it is `proven`; else it must not be, yet or at all. */
  acknowledge(position: Position, nowMs: number): CommitStatus {
    const standing = this.evidence.commitStatus(position.term, nowMs);
    if (standing === 'proven') this.#acknowledged = laterPosition(this.#acknowledged, position);
    return standing;
  }

  /**
   * Takes a position that the proven leader gave when it was asked at `askedAtMs`. The first for a while wakes those who
   * wait: reads that only the leader could serve may go to others now.
   *
   * @param leader - who was proven to lead when it was asked. When another leads by now, the answer may be of a next life of it, and
   * nothing is known any more that it would have to hold: it counts for nothing.
   */
  recordLed(askedAtMs: number, position: Position, leader: Leader | null = this.evidence.leader): void {
    const believed = this.evidence.leader;
    if (leader?.memberId !== believed?.memberId || leader?.term !== believed?.term) return;
    // A position that has gone back is of another life, or of an older question.
    const held = this.heldByLeader;
    if (held !== null && !hasReached(position, held)) return;
    const wasKnown = this.positions.floorSince(askedAtMs - FLOOR_KNOWN_MS) !== null;
    this.#firstLed ??= position;
    this.#noteHeld(position);
    this.#noteOpened(position);
    this.positions.record(askedAtMs, position);
    if (!wasKnown) this.changed.notify();
  }

  /**
   * A member leads a term, and holds this much. True when the lead is news.
   *
   * @param held - what it says itself that it has received, or `null` where that is not known
   */
  learnLeader(leader: Leader, held: Position | null): boolean {
    const isNews = this.evidence.observeLeader(leader);
    const { leader: believed } = this.evidence;
    if (believed?.memberId !== leader.memberId || believed.term !== leader.term) return isNews;
    const member = this.members.get(leader.memberId) ?? this.formerOf(leader.memberId);
    if (member !== null) this.#lastLed = { term: leader.term, member };
    if (held !== null) {
      this.#noteHeld(held);
      this.#noteOpened(held);
    }
    return isNews;
  }

  /** Another member has received this much in the present term: the leader holds it, too. */
  noteReceived(position: Position): void {
    this.#noteHeld(position);
  }

  /**
   * The first position that the leader of a term gave as its own, or `null`. All that was acknowledged in earlier terms is at or before it:
   * whoever is made to lead holds that.
   */
  openedWith(term: number): Position | null {
    return this.#opened?.term === term ? this.#opened.position : null;
  }

  #noteOpened(position: Position): void {
    const term = this.evidence.leader?.term ?? this.evidence.minimumTerm;
    if (this.#opened?.term !== term) this.#opened = { term, position };
  }

  /**
   * The life that led a term, as far as this daemon has heard, or `null`. Kept when the lead is lost: whoever takes over the duty
   * of promotion then has to know whose log holds all that was acknowledged.
   */
  ledBy(term: number): Member | null {
    return this.#lastLed?.term === term ? this.#lastLed.member : null;
  }

  #noteHeld(position: Position): void {
    const term = this.evidence.leader?.term ?? this.evidence.minimumTerm;
    const known = this.#led?.term === term ? this.#led.position : ZERO_POSITION;
    this.#led = { term, position: laterPosition(known, position) };
  }

  /**
   * What the present leader has said that it holds, or `null` before it has said anything. A process that has started again under
   * the leader's id lacks it, though evidence of the lead has not lapsed yet.
   */
  get heldByLeader(): Position | null {
    return this.#led !== null && this.#led.term === this.evidence.leader?.term ? this.#led.position : null;
  }

  /** The former member of an id whose life has not ended, or `null`. */
  formerOf(memberId: string): Member | null {
    for (const member of this.former.values())
      if (member.entry.memberId === memberId && !member.hasEnded) return member;
    return null;
  }

  /** Keeps a member in mind that gets no more work. */
  keepFormer(member: Member): void {
    this.dropFormer(member);
    this.former.set(this.#formerKey(member), member);
  }

  /** A former member is one no longer. */
  dropFormer(member: Member): void {
    for (const [key, former] of this.former) if (former === member) this.former.delete(key);
  }

  /** Lives that do not say when they started go by one name, and by their address where two of them stand side by side. */
  #formerKey({ entry }: Member): string {
    const key = formatIncarnation(entry);
    return this.former.has(key) ? `${key}@${entry.host}:${entry.port}` : key;
  }

  /** Who led last, and which term, as far as this daemon has heard; `null` where it has heard of nobody. */
  get lastLed(): LastLed | null {
    if (this.#lastLed === null) return null;
    const { memberId, bornMs } = this.#lastLed.member.entry;
    return { term: this.#lastLed.term, life: { memberId, bornMs } };
  }

  /** For how long no leader has been proven, in milliseconds; 0 while one is. */
  leaderlessMs(nowMs: number): number {
    if (this.leaderlessSinceMs === null || this.evidence.current(nowMs) !== null) return 0;
    return nowMs - this.leaderlessSinceMs;
  }

  /** What is believed of the leader at `nowMs`, for the log. */
  describeLeadership(nowMs: number): {
    readonly leader: string | null;
    readonly term: number;
    readonly evidenceLeftMs: number;
  } {
    const { leader, minimumTerm, validUntilMs } = this.evidence;
    const left = Number.isFinite(validUntilMs) ? Math.round(validUntilMs - nowMs) : 0;
    return { leader: leader?.memberId ?? null, term: leader?.term ?? minimumTerm, evidenceLeftMs: left };
  }

  /** The member that leads by evidence valid at `nowMs`, or `null`. */
  leader(nowMs: number): Member | null {
    const leader = this.evidence.current(nowMs);
    return leader === null ? null : (this.members.get(leader.memberId) ?? null);
  }
}
