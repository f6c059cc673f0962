/**
 * Keeps one daemon's evidence of one group's leader fresh: learns who leads, then asks a replica in turn.
 *
 * @packageDocumentation
 */
import { ChangeSignal } from '../common/signal.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import { EVIDENCE_MS, HOLDER_RENEWAL_MS, OWN_RENEWAL_MS } from './leadership-evidence.js';
import type { MemberControl } from './member-control.js';

/** Longest wait for a status, in milliseconds. */
const STATUS_MS = 250;
/** Pause after a round that gave no evidence, in milliseconds: grows from the first to the second. */
const FIRST_PAUSE_MS = 30;
const LAST_PAUSE_MS = 300;

/** What the watcher tells. */
export interface LeadershipListener {
  /** Evidence of a leader was gained after there was none, or lapsed. */
  evidenceChanged(group: MemberGroup, memberId: string | null, reason: string): void;
}

/** Watches one group. */
export class LeadershipWatcher {
  readonly #wake = new ChangeSignal();
  #isStopped = false;
  #failures = 0;
  #hadEvidence = false;
  #witnessTurn = 0;

  constructor(
    private readonly group: MemberGroup,
    private readonly zone: string,
    private readonly control: MemberControl,
    private readonly listener: LeadershipListener,
    private readonly isHolder: () => boolean,
    private readonly now: () => number,
  ) {}

  /** Gathers evidence until {@link LeadershipWatcher.stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const restMs = this.#restMs();
      if (restMs > 0) await this.#wake.wait(restMs);
      else if (await this.#round()) this.#failures = 0;
      else await this.#wake.wait(this.#pauseMs());
      this.#tell('renewal');
    }
  }

  /** Something has changed: look again now. */
  wake(): void {
    this.#failures = 0;
    this.#tell('change');
    this.#wake.notify();
  }

  /** Stops. */
  stop(): void {
    this.#isStopped = true;
    this.#wake.notify();
  }

  /** Time for which the evidence needs no renewal, in milliseconds. */
  #restMs(): number {
    const renewalMs = this.isHolder() ? HOLDER_RENEWAL_MS : OWN_RENEWAL_MS;
    return this.group.evidence.validUntilMs - (EVIDENCE_MS - renewalMs) - this.now();
  }

  #pauseMs(): number {
    this.#failures += 1;
    return Math.min(LAST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(this.#failures - 1, 8));
  }

  async #round(): Promise<boolean> {
    if (this.group.evidence.leader === null && !(await this.#learn())) return false;
    for (const witness of this.#witnesses()) {
      if (await this.#askWitness(witness)) return true;
      if (this.#isStopped || this.group.evidence.leader === null) return false;
    }
    return false;
  }

  /** Asks the members that may lead; those that say so in the directory first. */
  async #learn(): Promise<boolean> {
    const members = [...this.group.members.values()];
    const claimants = members.filter((member) => member.entry.saysPrimary);
    const asked = claimants.length > 0 && this.#failures % 4 !== 3 ? claimants : members;
    await Promise.all(asked.map((member) => this.#askLeader(member)));
    return this.group.evidence.leader !== null;
  }

  async #askLeader(member: Member): Promise<void> {
    const answer = await this.control.ask(member, { kind: 'status' }, STATUS_MS);
    if (answer.kind !== 'answered' || !answer.status.isPrimary) return;
    const { memberId } = member.entry;
    if (this.group.evidence.believe({ memberId, term: answer.status.term })) this.group.changed.notify();
  }

  /** Members other than the leader: those in the zone first, then in turn. */
  #witnesses(): readonly Member[] {
    const leaderId = this.group.evidence.leader?.memberId;
    const others = [...this.group.members.values()].filter(({ entry }) => entry.memberId !== leaderId);
    this.#witnessTurn += 1;
    const inZone = others.filter(({ entry }) => entry.zone === this.zone);
    const elsewhere = others.filter(({ entry }) => entry.zone !== this.zone);
    const start = elsewhere.length === 0 ? 0 : this.#witnessTurn % elsewhere.length;
    return [...inZone, ...elsewhere.slice(start), ...elsewhere.slice(0, start)];
  }

  async #askWitness(witness: Member): Promise<boolean> {
    const answer = await this.control.ask(witness, { kind: 'status' }, STATUS_MS);
    if (answer.kind !== 'answered') return false;
    const { status, askedAtMs } = answer;
    const { evidence } = this.group;
    if (status.isPrimary) {
      evidence.believe({ memberId: witness.entry.memberId, term: status.term });
      return false;
    }
    const isEvidence = evidence.witness(status.term, status.pausedForTerm, askedAtMs);
    if (isEvidence) this.group.changed.notify();
    return isEvidence;
  }

  #tell(reason: string): void {
    const leader = this.group.evidence.current(this.now());
    const hasEvidence = leader !== null;
    if (hasEvidence === this.#hadEvidence) return;
    this.#hadEvidence = hasEvidence;
    this.listener.evidenceChanged(this.group, leader?.memberId ?? null, reason);
  }
}
