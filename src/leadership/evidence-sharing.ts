/**
 * Obtains leadership evidence from other daemons, so that only few daemons ask the store and the members.
 *
 * The holder of the promotion duty is asked first. While it does not answer, a large fleet asks a few
 * collectors, which are the same for all daemons and alone query the members: the slots and connections of
 * members are scarce.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { ChangeSignal } from '../common/signal.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { SharedEvidence } from './evidence-exchange.js';
import { EVIDENCE_VALIDITY_MS, EVIDENCE_REQUEST_INTERVAL_MS } from './leadership-evidence.js';

/** Timeout of a request for evidence to another daemon, in milliseconds. */
const SHARING_TIMEOUT_MS = 200;
/** Least time between requests while a group has no evidence, in milliseconds. */
const RETRY_MS = 80;
/**
 * Time between such requests per daemon of the fleet, in milliseconds: all daemons may lack evidence at the
 * same time, and one daemon answers a thousand requests a second on a part of a small core.
 */
const RETRY_MS_PER_DAEMON = 1;
/**
 * Time without evidence after which a daemon queries the members itself, even if collectors exist, in
 * milliseconds.
 */
const DIRECT_QUERY_AFTER_MS = 1200;

/** Dependencies of {@link EvidenceSharing}. */
export interface EvidenceSharingOptions {
  readonly ownName: string;
  readonly zone: string;
  groups(): readonly MemberGroup[];
  /** Number of live daemons. */
  fleetSize(): number;
  /**
   * The collectors: daemons that query the members on behalf of all; `null` when every daemon queries them.
   */
  collectors(): readonly DaemonRecord[] | null;
  holdsDuty(): boolean;
  /** Requests the evidence of the holder of the duty; `null` when there is none or it does not answer. */
  askHolder(timeoutMs: number): Promise<readonly SharedEvidence[] | null>;
  /** Requests the evidence of another daemon. */
  askDaemon(record: DaemonRecord, timeoutMs: number): Promise<readonly SharedEvidence[] | null>;
  /** A group has evidence of its leader after it had none. */
  evidenceGained(group: MemberGroup): void;
  now(): number;
  random(): number;
}

/** Exchanges leadership evidence between this daemon and others. */
export class EvidenceSharing {
  readonly #wake = new ChangeSignal();
  #isStopped = false;
  #missingSinceMs = new Map<string, number>();
  /** True when the last request to the holder of the duty was not answered. */
  #isHolderUnresponsive = false;

  constructor(private readonly options: EvidenceSharingOptions) {}

  /** True when this daemon queries the members itself to renew its evidence of a group. */
  queriesWitnesses(group: MemberGroup): boolean {
    if (this.options.holdsDuty() || this.isCollector()) return true;
    const now = this.options.now();
    if (group.evidence.current(now) !== null) {
      this.#missingSinceMs.delete(group.name);
      return false;
    }
    const since = this.#missingSinceMs.get(group.name);
    if (since === undefined) this.#missingSinceMs.set(group.name, now);
    return since !== undefined && now - since > DIRECT_QUERY_AFTER_MS;
  }

  /** True when this daemon is a collector, which queries the members on behalf of others. */
  isCollector(): boolean {
    const collectors = this.options.collectors();
    return collectors === null || collectors.some(({ name }) => name === this.options.ownName);
  }

  /**
   * True while other daemons depend on the evidence that this collector gathers from members: it has to be
   * fresh when they request it.
   */
  get suppliesEvidence(): boolean {
    return this.#isHolderUnresponsive && this.options.collectors() !== null && this.isCollector();
  }

  /** The valid evidence of this daemon. */
  ownEvidence(): readonly SharedEvidence[] {
    const now = this.options.now();
    const entries: SharedEvidence[] = [];
    for (const { evidence, name, leaderPosition: held } of this.options.groups()) {
      const leader = evidence.current(now);
      if (leader === null) continue;
      const ageMs = Math.ceil(now - (evidence.validUntilMs - EVIDENCE_VALIDITY_MS));
      entries.push({ groupName: name, memberId: leader.memberId, term: leader.term, held, ageMs });
    }
    return entries;
  }

  /** Requests evidence until {@link EvidenceSharing.stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#wake.wait(this.#isEvidenceMissing() ? this.#retryMs() : EVIDENCE_REQUEST_INTERVAL_MS);
      if (this.#isStopped) return;
      if (this.options.holdsDuty()) continue;
      await this.#requestEvidence();
    }
  }

  /**
   * Requests evidence at once, because there is a new group. A daemon that has just started knows no groups yet,
   * and would otherwise ask for the first time after the interval at which known evidence is renewed.
   */
  requestNow(): void {
    this.#wake.notify();
  }

  stop(): void {
    this.#isStopped = true;
    this.#wake.notify();
  }

  #retryMs(): number {
    const fleetMs = this.options.fleetSize() * RETRY_MS_PER_DAEMON;
    return Math.min(EVIDENCE_REQUEST_INTERVAL_MS, Math.max(RETRY_MS, fleetMs));
  }

  #isEvidenceMissing(): boolean {
    const now = this.options.now();
    return this.options.groups().some(({ evidence }) => evidence.current(now) === null);
  }

  /**
   * Asks the holder of the duty, and a collector if the holder does not answer or did not answer the last
   * time.
   */
  async #requestEvidence(): Promise<void> {
    if (this.#isHolderUnresponsive) {
      await Promise.all([this.#askHolder(), this.#askCollector()]);
      return;
    }
    await this.#askHolder();
    if (this.#isHolderUnresponsive) await this.#askCollector();
  }

  async #askHolder(): Promise<void> {
    const askedAtMs = this.options.now();
    const entries = await this.options.askHolder(SHARING_TIMEOUT_MS);
    this.#isHolderUnresponsive = entries === null;
    for (const entry of entries ?? []) {
      // The holder has no evidence of a leader that it is replacing or has replaced.
      if (this.#recordEvidence(entry, askedAtMs, true))
        this.#findGroup(entry.groupName)?.evidence.liftRevocation();
    }
  }

  async #askCollector(): Promise<void> {
    const askedAtMs = this.options.now();
    const collectors = this.options.collectors()?.filter(({ name }) => name !== this.options.ownName) ?? [];
    const inZone = collectors.filter(({ zone }) => zone === this.options.zone);
    const prefersZone = inZone.length > 0 && this.options.random() < 0.8;
    const candidates = prefersZone ? inZone : collectors;
    const collector = candidates[Math.floor(this.options.random() * candidates.length)];
    if (collector === undefined) return;
    const entries = await this.options.askDaemon(collector, SHARING_TIMEOUT_MS);
    for (const entry of entries ?? []) this.#recordEvidence(entry, askedAtMs, false);
  }

  #findGroup(groupName: string): MemberGroup | undefined {
    return this.options.groups().find(({ name }) => name === groupName);
  }

  /** True when the entry is evidence for the leader. */
  #recordEvidence(entry: SharedEvidence, askedAtMs: number, isHolder: boolean): boolean {
    const { groupName, memberId, term, held, ageMs } = entry;
    const group = this.#findGroup(groupName);
    if (group === undefined) return false;
    const hadEvidence = group.evidence.current(this.options.now()) !== null;
    group.recordLeader({ memberId, term }, null);
    const { leader } = group.evidence;
    if (leader?.memberId !== memberId) return false;
    if (held !== null && leader.term === term) group.recordReplicaPosition(held);
    const source = { kind: 'daemon', isHolder } as const;
    const isEvidence = group.evidence.recordWitness(term, 0, askedAtMs - ageMs, source);
    if (isEvidence && !hadEvidence) this.options.evidenceGained(group);
    return isEvidence;
  }
}
