/**
 * Keeps the evidence of one daemon for the leader of one group fresh: finds out which member leads, then asks
 * the store whether its term may have been replaced, and all other members if the store does not tell.
 *
 * @packageDocumentation
 */
import { ChangeSignal } from '../common/signal.js';
import type { MemberStatus } from '../relay/member-link.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import type { StatusRegression } from '../topology/process-continuity.js';
import {
  DUTY_SETTLE_MS,
  EVIDENCE_VALIDITY_MS,
  HOLDER_RENEWAL_MS,
  OWN_RENEWAL_MS,
  WITNESS_KNOWN_MS,
} from './leadership-evidence.js';
import type { ControlAnswer, MemberControl } from './member-control.js';
import type { ReplacedTerms } from './replaced-terms.js';

/** Timeout of a status request, in milliseconds. */
const STATUS_TIMEOUT_MS = 250;
/** Delay after a round that gave no evidence, in milliseconds; doubles from the first to the second value. */
const MIN_RETRY_DELAY_MS = 30;
const MAX_RETRY_DELAY_MS = 300;

/** Time between checks whether this daemon has to query the members itself, in milliseconds. */
const SHARED_EVIDENCE_CHECK_MS = 100;

/** The promotion duty while this daemon holds it; monotonic times in milliseconds. */
export interface HeldDuty {
  readonly takenAtMs: number;
  readonly untilMs: number;
}

type Answered = Extract<ControlAnswer, { readonly kind: 'answered' }>;

/** Receives the changes that a {@link LeadershipWatcher} detects. */
export interface LeadershipListener {
  /** Evidence of a leader was gained after there was none, or expired. */
  evidenceChanged(group: MemberGroup, memberId: string | null, reason: string): void;
  /** A member no longer has what it reported before, though no new incarnation of it is listed. */
  statusLost(member: Member, regression: StatusRegression): void;
}

/** Keeps the evidence of one group fresh. */
export class LeadershipWatcher {
  readonly #wake = new ChangeSignal();
  #isStopped = false;
  #failedRounds = 0;
  #hadEvidence = false;
  #rotation = 0;

  constructor(
    private readonly group: MemberGroup,
    private readonly control: MemberControl,
    private readonly replacedTerms: Pick<ReplacedTerms, 'read' | 'set'>,
    private readonly listener: LeadershipListener,
    private readonly heldDuty: () => HeldDuty | null,
    /** False while other daemons ask the store and the members on behalf of this one. */
    private readonly mayQueryMembers: () => boolean,
    /** True while other daemons depend on the evidence of this one, though it does not hold the duty. */
    private readonly suppliesEvidence: () => boolean,
    private readonly now: () => number,
  ) {}

  /** Gathers evidence until {@link LeadershipWatcher.stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const dueInMs = this.#renewalDueInMs();
      if (dueInMs > 0) await this.#wake.wait(dueInMs);
      else if (!this.mayQueryMembers()) await this.#wake.wait(SHARED_EVIDENCE_CHECK_MS);
      else if (await this.#gatherEvidence()) this.#failedRounds = 0;
      else await this.#wake.wait(this.#nextRetryDelayMs());
      this.#reportChange('renewal');
    }
  }

  /** Starts a new round at once, after a change of the group. */
  wake(): void {
    this.#failedRounds = 0;
    this.#reportChange('change');
    this.#wake.notify();
  }

  /**
   * Called on the holder of the duty when it has verified the leader: its evidence is renewed by the duty alone
   * while that is held.
   */
  confirm(): void {
    this.group.evidence.confirm();
  }

  stop(): void {
    this.#isStopped = true;
    this.#wake.notify();
  }

  /** Time until the evidence has to be renewed, in milliseconds. */
  #renewalDueInMs(): number {
    const isSupplier = this.heldDuty() !== null || this.suppliesEvidence();
    const renewalMs = isSupplier ? HOLDER_RENEWAL_MS : OWN_RENEWAL_MS;
    return this.group.evidence.validUntilMs - (EVIDENCE_VALIDITY_MS - renewalMs) - this.now();
  }

  #nextRetryDelayMs(): number {
    this.#failedRounds += 1;
    return Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** Math.min(this.#failedRounds - 1, 8));
  }

  async #gatherEvidence(): Promise<boolean> {
    if (this.#renewUnderDuty()) return true;
    if (this.group.evidence.leader === null && !(await this.#findLeader())) return false;
    if (!this.group.evidence.mayBeGathered(this.now())) return false;
    const record = await this.#askStore();
    if (record === 'evidence') return true;
    return this.#mayMembersCount() && (await this.#askEveryMember(record === 'absent'));
  }

  /** Renews the evidence by the held duty alone; false when that is not possible. */
  #renewUnderDuty(): boolean {
    const duty = this.heldDuty();
    const { evidence } = this.group;
    if (duty === null || !evidence.isConfirmed) return false;
    evidence.renewUnderDuty(duty.untilMs, this.now());
    if (this.#renewalDueInMs() <= 0) return false;
    this.group.changed.notify();
    return true;
  }

  /**
   * Queries the members that claim leadership in the directory and one other, which may follow a later term; all
   * members if there is no claimant and in every fourth round. True when a leader is known.
   */
  async #findLeader(): Promise<boolean> {
    const members = [...this.group.members.values()];
    const claimants = members.filter((member) => member.entry.saysPrimary);
    const isClaimed = claimants.length > 0 && this.#failedRounds % 4 !== 3;
    const queried = isClaimed ? [...claimants, ...this.#nextOther(claimants)] : members;
    const answers = await Promise.all(queried.map((member) => this.#askStatus(member)));
    queried.forEach((member, index) => {
      this.#observeLeader(member, answers[index]);
      this.#observeTerm(member, answers[index]);
    });
    return this.group.evidence.leader !== null;
  }

  /** One of the members that are not claimants, each in turn. */
  #nextOther(claimants: readonly Member[]): readonly Member[] {
    const others = [...this.group.members.values()].filter((member) => !claimants.includes(member));
    this.#rotation += 1;
    const other = others[this.#rotation % others.length];
    return other === undefined ? [] : [other];
  }

  /**
   * Asks the store whether the leader may have been replaced. `evidence`: its answer is evidence for the leader;
   * `absent`: it has no record for the group; `none`: it does not answer, or shows nothing.
   */
  async #askStore(): Promise<'evidence' | 'absent' | 'none'> {
    const reading = await this.replacedTerms.read();
    const { evidence } = this.group;
    const { leader } = evidence;
    if (reading === null || leader === null) return 'none';
    const replacedTerm = reading.terms.get(this.group.name);
    if (replacedTerm === undefined) return 'absent';
    if (replacedTerm >= leader.term) return 'none';
    if (!evidence.recordWitness(leader.term, 0, reading.askedAtMs, { kind: 'store' })) return 'none';
    const duty = this.heldDuty();
    // A former holder cannot write any more, so the record holds for as long as the duty is held.
    if (duty !== null && reading.askedAtMs >= duty.takenAtMs) this.#confirmUnderDuty();
    this.group.changed.notify();
    return 'evidence';
  }

  /** No promotion by a former holder can take effect any more. */
  #confirmUnderDuty(): void {
    this.confirm();
    this.group.evidence.liftRevocation();
  }

  #observeLeader(member: Member, answer: ControlAnswer | undefined): void {
    // The member may have been replaced by its next incarnation before all have answered.
    if (member.hasEnded || answer?.kind !== 'answered' || !answer.status.isPrimary) return;
    const { memberId } = member.entry;
    const { term, received } = answer.status;
    if (this.group.recordLeader({ memberId, term }, received)) this.group.changed.notify();
  }

  /** Queries the status of a member, and records signs that its process has been replaced. */
  async #askStatus(member: Member): Promise<ControlAnswer> {
    const answer = await this.control.ask(member, { kind: 'status' }, STATUS_TIMEOUT_MS, true);
    if (answer.kind === 'answered') {
      const regression = member.continuity.recordStatus(answer.status, answer.askedAtMs, this.now());
      if (regression !== null) this.listener.statusLost(member, regression);
    } else if (isInterruption(answer)) member.continuity.recordInterruption(this.now());
    return answer;
  }

  #observeTerm(member: Member, answer: ControlAnswer | undefined): void {
    if (!member.hasEnded && answer?.kind === 'answered') this.group.evidence.observeTerm(answer.status.term);
  }

  /**
   * True when the answers of all members but the leader can be evidence. While a call to the platform may take
   * effect, they may be out of date at once.
   */
  #mayMembersCount(): boolean {
    const { evidence, calls } = this.group;
    const now = this.now();
    if (!evidence.mayBeGathered(now) || calls.open(now) !== null) return false;
    return evidence.counts({ kind: 'members' }, now);
  }

  /** The members but the leader, listed or not, that may still run. */
  #otherMembers(): readonly Member[] {
    const leaderId = this.group.evidence.leader?.memberId;
    return this.#runningMembers().filter(({ entry }) => entry.memberId !== leaderId);
  }

  /**
   * True for a member that a promotion may have named. Without a record in the store, the holder of the duty has
   * named none, and a former one can have named those that were known when this one took over.
   */
  #mayBeSuccessor({ knownSinceMs }: Member, isRecordAbsent: boolean): boolean {
    const knownUntilMs = isRecordAbsent ? this.heldDuty()?.takenAtMs : undefined;
    return knownSinceMs <= (knownUntilMs ?? Number.POSITIVE_INFINITY);
  }

  /**
   * Queries all members but the leader at the same time; true when their answers are evidence for it. None is
   * queried while the answer of one that counts would not be valid yet: a status request takes a slot.
   */
  async #askEveryMember(isRecordAbsent: boolean): Promise<boolean> {
    const now = this.now();
    const others = this.#otherMembers();
    const members = others.filter((member) => this.#mayBeWitness(member, now));
    if (others.some((member) => this.#mayBeSuccessor(member, isRecordAbsent) && !members.includes(member)))
      return false;
    const answers = await Promise.all(members.map((member) => this.#askStatus(member)));
    members.forEach((member, index) => this.#observeLeader(member, answers[index]));
    return this.#recordEveryMember(members, answers, isRecordAbsent);
  }

  /** The listed members, and those that are not listed any more but may still run. */
  #runningMembers(): readonly Member[] {
    const { members, former } = this.group;
    return [...members.values(), ...former.values()].filter((member) => !member.hasEnded);
  }

  /** True when every member that counts has answered that it follows the leader and is not paused. */
  #recordEveryMember(
    members: readonly Member[],
    answers: readonly ControlAnswer[],
    isRecordAbsent: boolean,
  ): boolean {
    const { evidence } = this.group;
    const followers = new Map<Member, Answered>();
    members.forEach((member, index) => {
      const answer = answers[index];
      if (member.hasEnded || answer?.kind !== 'answered' || answer.status.isPrimary) return;
      evidence.observeTerm(answer.status.term);
      if (this.#isWitness(member, answer)) followers.set(member, answer);
    });
    const isComplete = this.#otherMembers().every(
      (member) => followers.has(member) || !this.#mayBeSuccessor(member, isRecordAbsent),
    );
    const [first, ...rest] = followers.values();
    if (first === undefined || !isComplete || !this.#mayMembersCount()) return false;
    if (rest.some(({ status }) => status.term !== first.status.term)) return false;
    const all = [first, ...rest];
    const pausedForTerm = Math.max(...all.map(({ status }) => status.pausedForTerm));
    const askedAtMs = Math.min(...all.map((follower) => follower.askedAtMs));
    if (!evidence.recordWitness(first.status.term, pausedForTerm, askedAtMs, { kind: 'members' }))
      return false;
    for (const { status } of all) this.#recordFollower(status);
    if (this.#mayConfirm(askedAtMs, isRecordAbsent)) this.#confirmByMembers(first.status.term);
    this.group.changed.notify();
    return true;
  }

  /** Records what a replica has answered that is part of the evidence for the leader. */
  #recordFollower({ received }: MemberStatus): void {
    const { leader } = this.group.evidence;
    if (leader === null) return;
    // The leader holds whatever a replica has received in the term.
    this.group.recordLeader(leader, null);
    this.group.recordReplicaPosition(received);
  }

  /** Confirms the leader of a term for which the store has no valid record, and writes one. */
  #confirmByMembers(term: number): void {
    this.#confirmUnderDuty();
    const { evidence, name } = this.group;
    void this.replacedTerms.set(name, term - 1, () => evidence.isConfirmed && evidence.leader?.term === term);
  }

  /**
   * True when the answers of the members confirm the leader for as long as the duty is held. Without a record in the
   * store, no earlier holder has called the platform.
   */
  #mayConfirm(askedAtMs: number, isRecordAbsent: boolean): boolean {
    const duty = this.heldDuty();
    return (isRecordAbsent && duty !== null && askedAtMs >= duty.takenAtMs) || this.#isDutySettled(askedAtMs);
  }

  /** True when no promotion by an earlier holder can take effect at this time or later. */
  #isDutySettled(atMs: number): boolean {
    const duty = this.heldDuty();
    return duty !== null && atMs > duty.takenAtMs + DUTY_SETTLE_MS;
  }

  /** True when the answer of a member can be evidence. */
  #isWitness(member: Member, { askedAtMs, linkMs }: Answered): boolean {
    if (!isKnownAt(member, askedAtMs)) return false;
    const isOldLink = linkMs !== undefined && linkMs >= WITNESS_KNOWN_MS;
    return isOldLink || this.#isSameProcess(member, askedAtMs);
  }

  /** True when a member that is queried now can give evidence, as far as that is known. */
  #mayBeWitness(member: Member, nowMs: number): boolean {
    if (!isKnownAt(member, nowMs)) return false;
    return (
      this.#isSameProcess(member, nowMs) || member.pool.ownPool.hasIdleOpenSince(nowMs - WITNESS_KNOWN_MS)
    );
  }

  /**
   * True when the process of a member has not been replaced for longer than a promotion may last. That does
   * not matter to a holder whose duty is settled: one that starts after the last promotion follows its leader.
   */
  #isSameProcess({ continuity }: Member, atMs: number): boolean {
    return atMs >= continuity.mayHaveRestartedAtMs + WITNESS_KNOWN_MS || this.#isDutySettled(atMs);
  }

  #reportChange(reason: string): void {
    const leader = this.group.evidence.current(this.now());
    const hasEvidence = leader !== null;
    if (hasEvidence === this.#hadEvidence) return;
    this.#hadEvidence = hasEvidence;
    this.group.leaderlessSinceMs = hasEvidence ? null : this.now();
    this.listener.evidenceChanged(this.group, leader?.memberId ?? null, reason);
  }
}

/**
 * True when the incarnation of a member had been known at `askedAtMs` for longer than a promotion may last.
 */
function isKnownAt({ knownSinceMs }: Member, askedAtMs: number): boolean {
  return askedAtMs >= knownSinceMs + WITNESS_KNOWN_MS;
}

/** True when a request was not answered though the member had a connection or a place for one. */
function isInterruption(answer: ControlAnswer): boolean {
  return answer.kind === 'refused' || (answer.kind === 'silent' && answer.stage !== 'pool');
}
