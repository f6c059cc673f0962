/**
 * The pauses of one promotion: which replicas it has paused, and that they stay so while the platform
 * promotes.
 *
 * @packageDocumentation
 */
import { formatIncarnation } from '../topology/incarnation.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import type { GroupSupervisorOptions } from './group-supervisor.js';
import type { PausedReplica, PauseSummary, ReplicaPauses } from './replica-pauses.js';

/** Time limit for a member to report its status, in milliseconds. */
const STATUS_TIMEOUT_MS = 200;
/** Interval between checks of the other replicas' pauses while the platform promotes, in milliseconds. */
const PAUSE_CHECK_INTERVAL_MS = 100;

/** Dependencies of {@link PromotionPauses}. */
export interface PromotionPausesPorts {
  readonly group: MemberGroup;
  readonly pauses: ReplicaPauses;
  readonly options: GroupSupervisorOptions;
  /** The term whose leader is replaced. */
  readonly term: number;
  /** All members known now except the leader. */
  others(): readonly Member[];
  /** False once this daemon has lost the duty: the pauses may be those of the next holder. */
  mayResume(): boolean;
}

/** The replicas that one promotion pauses. */
export class PromotionPauses {
  /** All members that were sent a pause request. */
  readonly #requested = new Set<Member>();
  /** All members that were paused. */
  readonly #everPaused = new Set<Member>();
  /** Replicas with a pause check in flight. */
  readonly #checking = new Set<Member>();
  #checkedAtMs = Number.NEGATIVE_INFINITY;
  /** The promotion has ended or was given up: no more replicas are paused. */
  #isOver = false;

  constructor(private readonly ports: PromotionPausesPorts) {}

  /**
   * @param alsoPaused - already paused replicas, which may hold everything that ended members had received
   */
  async pause(members: readonly Member[], alsoPaused: readonly PausedReplica[]): Promise<PauseSummary> {
    for (const member of members) this.#requested.add(member);
    const pauses = await this.ports.pauses.pauseAll(members, this.ports.term, alsoPaused);
    for (const { member } of pauses.paused) this.#everPaused.add(member);
    return pauses;
  }

  /** Members that were sent no pause request, because they were not known before. */
  notRequested(): readonly Member[] {
    return this.ports.others().filter((member) => !this.#requested.has(member));
  }

  /**
   * Pauses replicas that have appeared or restarted unpaused while the platform promotes: what they receive
   * now is not part of the final check.
   */
  enforce(successor: Member): void {
    const { now } = this.ports.options;
    if (now() - this.#checkedAtMs < PAUSE_CHECK_INTERVAL_MS) return;
    this.#checkedAtMs = now();
    const others = this.ports.others().filter((member) => member !== successor && !member.hasEnded);
    for (const member of others) if (!this.#checking.has(member)) void this.#enforceAt(member);
  }

  /** The promotion has ended or was given up. */
  end(): void {
    this.#isOver = true;
  }

  /** Resumes all replicas that were paused, except the new leader. */
  resumeAllBut(leader: Member | null): Promise<void> {
    return this.#resume([...this.#everPaused].filter((member) => member !== leader));
  }

  async #enforceAt(member: Member): Promise<void> {
    this.#checking.add(member);
    await this.#ensurePaused(member);
    if (this.#isOver) await this.#resume([member]);
    this.#checking.delete(member);
  }

  async #ensurePaused(member: Member): Promise<void> {
    const { options, group, term } = this.ports;
    const answer = await options.control.ask(member, { kind: 'status' }, STATUS_TIMEOUT_MS);
    if (answer.kind !== 'answered' || answer.status.term > term) return;
    if (answer.status.isPrimary || answer.status.pausedForTerm > term || this.#isOver) return;
    options.log('replica_paused_again', { group: group.name, member: formatIncarnation(member.entry) });
    this.#everPaused.add(member);
    await options.control.ask(member, { kind: 'pause', term: term + 1 }, STATUS_TIMEOUT_MS);
  }

  async #resume(members: readonly Member[]): Promise<void> {
    if (this.ports.mayResume()) await this.ports.pauses.resumeAll(members);
  }
}
