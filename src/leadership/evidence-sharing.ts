/**
 * Takes evidence of leaders from other daemons, so that few of them ask witnesses.
 *
 * The holder of the promotion duty is asked first. Without one, a large fleet asks a few daemons, the same for all,
 * that alone question the members: the members' slots and connections are scarce.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { chooseDelegates } from '../cluster/delegates.js';
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
  daemons(): readonly DaemonRecord[];
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
    const askers = chooseDelegates('witnesses', this.options.daemons());
    return askers === null || askers.some(({ name }) => name === this.options.ownName);
  }

  /** What this daemon can prove to others. */
  ownEvidence(): readonly SharedEvidence[] {
    const now = this.options.now();
    const entries: SharedEvidence[] = [];
    for (const { evidence, name } of this.options.groups()) {
      const leader = evidence.current(now);
      if (leader === null) continue;
      const ageMs = Math.ceil(now - (evidence.validUntilMs - EVIDENCE_MS));
      entries.push({ groupName: name, memberId: leader.memberId, term: leader.term, ageMs });
    }
    return entries;
  }

  /** Asks for evidence until {@link EvidenceSharing.stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await delay(this.#isMissing() ? this.#missingMs() : SHARING_MS);
      if (this.options.holdsDuty()) continue;
      const askedAtMs = this.options.now();
      const entries = await this.#ask();
      for (const entry of entries ?? []) this.#adopt(entry, askedAtMs);
    }
  }

  /** Stops asking. */
  stop(): void {
    this.#isStopped = true;
  }

  #missingMs(): number {
    const fairMs = this.options.daemons().length * MISSING_MS_EACH;
    return Math.min(SHARING_MS, Math.max(MISSING_MS, fairMs));
  }

  #isMissing(): boolean {
    const now = this.options.now();
    return this.options.groups().some(({ evidence }) => evidence.current(now) === null);
  }

  async #ask(): Promise<readonly SharedEvidence[] | null> {
    const ofHolder = await this.options.askHolder(SHARING_TIMEOUT_MS);
    if (ofHolder !== null) return ofHolder;
    const askers = chooseDelegates('witnesses', this.options.daemons())?.filter(
      ({ name }) => name !== this.options.ownName,
    );
    if (askers === undefined || askers.length === 0) return null;
    const inZone = askers.filter(({ zone }) => zone === this.options.zone);
    const isNear = inZone.length > 0 && this.options.random() < 0.8;
    const choice = isNear ? inZone : askers;
    const asked = choice[Math.floor(this.options.random() * choice.length)];
    return asked === undefined ? null : this.options.askDaemon(asked, SHARING_TIMEOUT_MS);
  }

  #adopt({ groupName, memberId, term, ageMs }: SharedEvidence, askedAtMs: number): void {
    const group = this.options.groups().find(({ name }) => name === groupName);
    if (group === undefined) return;
    const hadEvidence = group.evidence.current(this.options.now()) !== null;
    group.evidence.believe({ memberId, term });
    if (group.evidence.leader?.memberId !== memberId) return;
    const isEvidence = group.evidence.witness(term, 0, askedAtMs - ageMs);
    if (isEvidence && !hadEvidence) this.options.gained(group);
  }
}
