/**
 * Keeps the evidence of one daemon for the leader of one group fresh: finds out which member leads, then
 * queries the replicas in turn.
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

/** Timeout of a status request, in milliseconds. */
const STATUS_TIMEOUT_MS = 250;
/** Delay after a round that gave no evidence, in milliseconds; doubles from the first to the second value. */
const MIN_RETRY_DELAY_MS = 30;
const MAX_RETRY_DELAY_MS = 300;

/** Time between checks whether this daemon has to query the members itself, in milliseconds. */
const SHARED_EVIDENCE_CHECK_MS = 100;

/** Time for which a confirmed leader needs no new answer of a witness, in milliseconds. */
const RECONFIRM_INTERVAL_MS = 5000;

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
  #witnessRotation = 0;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly group: MemberGroup,
    private readonly zone: string,
    private readonly control: MemberControl,
    private readonly listener: LeadershipListener,
    private readonly heldDuty: () => HeldDuty | null,
    /** False while other daemons query the members on behalf of this one. */
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
   * Called on the holder of the duty when it has verified the leader: its evidence is renewed without
   * witnesses while the duty is held.
   */
  confirm(): void {
    this.#confirmedAtMs = this.now();
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
    if (this.group.evidence.leader === null) {
      if (await this.#findLeader()) return true;
      if (this.group.evidence.leader === null) return false;
    }
    if (this.#mayAskEveryMember()) return this.#askEveryMember();
    for (const witness of this.#witnesses()) {
      if (await this.#askWitness(witness)) return true;
      if (this.#isStopped || this.group.evidence.leader === null) return false;
    }
    return false;
  }

  /** Renews the evidence by the held duty alone, without a witness; false when that is not possible. */
  #renewUnderDuty(): boolean {
    const duty = this.heldDuty();
    const { evidence } = this.group;
    const now = this.now();
    if (duty === null || !evidence.isConfirmed || now - this.#confirmedAtMs > RECONFIRM_INTERVAL_MS)
      return false;
    evidence.renewUnderDuty(duty.untilMs, now);
    if (this.#renewalDueInMs() <= 0) return false;
    this.group.changed.notify();
    return true;
  }

  /**
   * Queries the members that claim leadership in the directory, or all members if there are none and in every
   * fourth round, and a witness at the same time: its answer is valid once the leader is known. True when
   * there is evidence.
   */
  async #findLeader(): Promise<boolean> {
    const members = [...this.group.members.values()];
    const claimants = members.filter((member) => member.entry.saysPrimary);
    const isClaimed = claimants.length > 0 && this.#failedRounds % 4 !== 3;
    const [witness] = this.#witnesses().filter((member) => !claimants.includes(member));
    const queried = isClaimed ? [...claimants, ...(witness === undefined ? [] : [witness])] : members;
    const answers = await Promise.all(queried.map((member) => this.#askStatus(member)));
    queried.forEach((member, index) => this.#observeLeader(member, answers[index]));
    return queried.some((member, index) => this.#recordWitness(member, answers[index]));
  }

  #observeLeader(member: Member, answer: ControlAnswer | undefined): void {
    // The member may have been replaced by its next incarnation before all have answered.
    if (member.hasEnded || answer?.kind !== 'answered' || !answer.status.isPrimary) return;
    const { memberId } = member.entry;
    const { term, received } = answer.status;
    if (this.group.recordLeader({ memberId, term }, received)) this.group.changed.notify();
  }

  /**
   * Members other than the leader: those in the same zone first, then the others in rotation. A member whose
   * answer would not be valid yet is not queried: where members and daemons start together, such queries
   * raised the number from 314 to 745 for 8 daemons in 50 s.
   */
  #witnesses(): readonly Member[] {
    const leaderId = this.group.evidence.leader?.memberId;
    const now = this.now();
    const others = [...this.group.members.values()].filter(
      (member) => member.entry.memberId !== leaderId && this.#mayBeWitness(member, now),
    );
    this.#witnessRotation += 1;
    const inZone = others.filter(({ entry }) => entry.zone === this.zone);
    const elsewhere = others.filter(({ entry }) => entry.zone !== this.zone);
    const start = elsewhere.length === 0 ? 0 : this.#witnessRotation % elsewhere.length;
    return [...inZone, ...elsewhere.slice(start), ...elsewhere.slice(0, start)];
  }

  async #askWitness(witness: Member): Promise<boolean> {
    const answer = await this.#askStatus(witness);
    this.#observeLeader(witness, answer);
    return this.#recordWitness(witness, answer);
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

  /** True when all members but the leader may be asked for evidence, and no answer of one alone suffices. */
  #mayAskEveryMember(): boolean {
    const { evidence, calls } = this.group;
    const now = this.now();
    return evidence.needsEveryMember(now) && calls.open(now) === null;
  }

  /** Queries all members but the leader at the same time; true when their answers are evidence for it. */
  async #askEveryMember(): Promise<boolean> {
    const leaderId = this.group.evidence.leader?.memberId;
    const members = this.#runningMembers().filter(({ entry }) => entry.memberId !== leaderId);
    const answers = await Promise.all(members.map((member) => this.#askStatus(member)));
    members.forEach((member, index) => this.#observeLeader(member, answers[index]));
    return this.#recordEveryMember(members, answers);
  }

  /** The listed members, and those that are not listed any more but may still run. */
  #runningMembers(): readonly Member[] {
    const { members, former } = this.group;
    return [...members.values(), ...former.values()].filter((member) => !member.hasEnded);
  }

  /** True when every member has answered that it follows the leader and is not paused. */
  #recordEveryMember(members: readonly Member[], answers: readonly ControlAnswer[]): boolean {
    const { evidence } = this.group;
    const followers = members.flatMap((member, index) => {
      const answer = answers[index];
      if (member.hasEnded || answer?.kind !== 'answered' || answer.status.isPrimary) return [];
      evidence.observeTerm(answer.status.term);
      return this.#isWitness(member, answer) ? [answer] : [];
    });
    const [first, ...others] = followers;
    const isComplete = followers.length === members.length && this.#mayAskEveryMember();
    if (first === undefined || !isComplete) return false;
    if (others.some(({ status }) => status.term !== first.status.term)) return false;
    const pausedForTerm = Math.max(...followers.map(({ status }) => status.pausedForTerm));
    const askedAtMs = Math.min(...followers.map((follower) => follower.askedAtMs));
    const source = { kind: 'members' } as const;
    if (!evidence.recordWitness(first.status.term, pausedForTerm, askedAtMs, source)) return false;
    for (const { status } of followers) this.#recordFollower(status, askedAtMs);
    return true;
  }

  /** True when the answer is evidence for the leader. */
  #recordWitness(member: Member, answer: ControlAnswer | undefined): boolean {
    if (member.hasEnded || answer?.kind !== 'answered' || answer.status.isPrimary) return false;
    const { status, askedAtMs, linkMs } = answer;
    const { evidence } = this.group;
    if (!this.#isWitness(member, answer)) {
      evidence.observeTerm(status.term);
      return false;
    }
    const { memberId } = member.entry;
    const source = { kind: 'member', memberId, ...(linkMs === undefined ? {} : { linkMs }) } as const;
    const isEvidence = evidence.recordWitness(status.term, status.pausedForTerm, askedAtMs, source);
    if (isEvidence) this.#recordFollower(status, askedAtMs);
    return isEvidence;
  }

  /** Records what a replica has answered whose answer is evidence for the leader. */
  #recordFollower(status: MemberStatus, askedAtMs: number): void {
    const { evidence } = this.group;
    // The leader holds whatever a replica has received in the term.
    if (evidence.leader !== null) {
      this.group.recordLeader(evidence.leader, null);
      this.group.recordReplicaPosition(status.received);
    }
    if (this.#isDutySettled(askedAtMs)) {
      this.confirm();
      // No promotion by an earlier holder can take effect any more.
      evidence.liftRevocation();
    }
    this.group.changed.notify();
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
