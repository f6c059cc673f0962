/**
 * Takes evidence of leaders from other daemons, so that few of them ask witnesses.
 *
 * The holder of the promotion duty is asked first. Without one, a large fleet asks a few daemons, the same for all,
 * that alone question the members: the members' slots and connections are scarce.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { delay } from '../common/signal.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { SharedEvidence } from './evidence-exchange.js';
import { EVIDENCE_MS, SHARING_MS } from './leadership-evidence.js';

/** Longest wait for evidence of another daemon, in milliseconds. */
const SHARING_TIMEOUT_MS = 200;
/** Time between questions while a group has no evidence, in milliseconds. */
const MISSING_MS = 80;
/**
 * The same for each daemon of the fleet, in milliseconds: all may miss evidence at the same time, and one daemon answers a
 * thousand questions a second on a part of a small core.
 */
const MISSING_MS_EACH = 1;
/** Time without evidence after which a daemon asks the members itself, whoever else does, in milliseconds. */
const PATIENCE_MS = 1200;

/** What the sharing needs. */
export interface EvidenceSharingOptions {
  readonly ownName: string;
  readonly zone: string;
  groups(): readonly MemberGroup[];
  /** Number of daemons that take part in the work. */
  fleetSize(): number;
  /** The daemons that question members on behalf of all; `null` when everybody does. */
  askers(): readonly DaemonRecord[] | null;
  holdsDuty(): boolean;
  /** Asks the holder of the duty; `null` when there is none or it does not answer. */
  askHolder(timeoutMs: number): Promise<readonly SharedEvidence[] | null>;
  /** Asks another daemon. */
  askDaemon(record: DaemonRecord, timeoutMs: number): Promise<readonly SharedEvidence[] | null>;
  /** There is evidence of a group's leader after there was none. */
  gained(group: MemberGroup): void;
  now(): number;
  random(): number;
}

/** One daemon's part in sharing evidence. */
export class EvidenceSharing {
  #isStopped = false;
  #withoutSinceMs = new Map<string, number>();
  /** The last question to the holder of the duty went without an answer. */
  #isHolderSilent = false;

  constructor(private readonly options: EvidenceSharingOptions) {}

  /** True when this daemon questions members itself to renew its evidence of a group. */
  asksWitnesses(group: MemberGroup): boolean {
    if (this.options.holdsDuty() || this.isAsker()) return true;
    const now = this.options.now();
    if (group.evidence.current(now) !== null) {
      this.#withoutSinceMs.delete(group.name);
      return false;
    }
    const since = this.#withoutSinceMs.get(group.name);
    if (since === undefined) this.#withoutSinceMs.set(group.name, now);
    return since !== undefined && now - since > PATIENCE_MS;
  }

  /** True when this daemon questions members on behalf of others. */
  isAsker(): boolean {
    const askers = this.options.askers();
    return askers === null || askers.some(({ name }) => name === this.options.ownName);
  }

  /** True while others live on the evidence that this daemon gathers from members: it has to be fresh when they ask. */
  get isReliedOn(): boolean {
    return this.#isHolderSilent && this.options.askers() !== null && this.isAsker();
  }

  /** What this daemon can prove to others. */
  ownEvidence(): readonly SharedEvidence[] {
    const now = this.options.now();
    const entries: SharedEvidence[] = [];
    for (const { evidence, name, heldByLeader: held } of this.options.groups()) {
      const leader = evidence.current(now);
      if (leader === null) continue;
      const ageMs = Math.ceil(now - (evidence.validUntilMs - EVIDENCE_MS));
      entries.push({ groupName: name, memberId: leader.memberId, term: leader.term, held, ageMs });
    }
    return entries;
  }

  /** Asks for evidence until {@link EvidenceSharing.stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await delay(this.#isMissing() ? this.#missingMs() : SHARING_MS);
      if (this.options.holdsDuty()) continue;
      await this.#askOnce();
    }
  }

  /** Stops asking. */
  stop(): void {
    this.#isStopped = true;
  }

  #missingMs(): number {
    const fairMs = this.options.fleetSize() * MISSING_MS_EACH;
    return Math.min(SHARING_MS, Math.max(MISSING_MS, fairMs));
  }

  #isMissing(): boolean {
    const now = this.options.now();
    return this.options.groups().some(({ evidence }) => evidence.current(now) === null);
  }

  /** Asks the holder of the duty, and another daemon where it does not answer, or did not the last time. */
  async #askOnce(): Promise<void> {
    if (this.#isHolderSilent) {
      await Promise.all([this.#askHolder(), this.#askAsker()]);
      return;
    }
    await this.#askHolder();
    if (this.#isHolderSilent) await this.#askAsker();
  }

  async #askHolder(): Promise<void> {
    const askedAtMs = this.options.now();
    const entries = await this.options.askHolder(SHARING_TIMEOUT_MS);
    this.#isHolderSilent = entries === null;
    for (const entry of entries ?? []) this.#adopt(entry, askedAtMs);
  }

  async #askAsker(): Promise<void> {
    const askedAtMs = this.options.now();
    const askers = this.options.askers()?.filter(({ name }) => name !== this.options.ownName) ?? [];
    const inZone = askers.filter(({ zone }) => zone === this.options.zone);
    const isNear = inZone.length > 0 && this.options.random() < 0.8;
    const choice = isNear ? inZone : askers;
    const asked = choice[Math.floor(this.options.random() * choice.length)];
    if (asked === undefined) return;
    const entries = await this.options.askDaemon(asked, SHARING_TIMEOUT_MS);
    for (const entry of entries ?? []) this.#adopt(entry, askedAtMs);
  }

  #adopt({ groupName, memberId, term, held, ageMs }: SharedEvidence, askedAtMs: number): void {
    const group = this.options.groups().find(({ name }) => name === groupName);
    if (group === undefined) return;
    const hadEvidence = group.evidence.current(this.options.now()) !== null;
    group.learnLeader({ memberId, term }, null);
    const { leader } = group.evidence;
    if (leader?.memberId !== memberId) return;
    if (held !== null && leader.term === term) group.noteReceived(held);
    const isEvidence = group.evidence.witness(term, 0, askedAtMs - ageMs);
    if (isEvidence && !hadEvidence) this.options.gained(group);
  }
}
