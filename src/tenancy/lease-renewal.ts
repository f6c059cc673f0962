/**
 * Renews the lease on the configuration: from the store, or from a daemon that has it from there.
 *
 * In a large fleet one daemon of each zone asks the store, and the others ask these, so that the store's calls do not grow with
 * the number of daemons: 0.04 a second and daemon at 83 in three zones, where the limit for this is 0.05. Whoever the store turns
 * away asks other daemons; whoever reaches no daemon asks the store, and so does a delegate that finds no proof.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { type CoordinationStore, StoreError, type StoredItem } from '../coordination/coordination-store.js';
import { formatRevision, isSameRevision } from '../coordination/revision.js';
import type { AgedProof, ConfigurationLease } from './configuration-lease.js';

/**
 * Longest time between renewals, in milliseconds, and the part of the bound that it may take. A proof is at most two of them and two
 * answers old when it is renewed at a daemon that has it from another, so one of 5 s bears 2 s in which nobody answers; a daemon
 * that the store turns away loses the wait for that, too, and under a short bound would be without a proof each time.
 */
const RENEWAL_MS = 1000;
const RENEWAL_SHARE = 0.2;
/** Pause after a renewal that failed, in milliseconds: doubled from the first to the time between renewals. */
const FIRST_PAUSE_MS = 125;
/** Longest waits for the store and for another daemon, in milliseconds. */
const STORE_MS = 400;
const DAEMON_MS = 250;
/**
 * Age up to which a proof of another daemon is as good as one of the store, in times between renewals: it has asked since the last
 * but one. An older one is kept, but others are asked for a younger one: its daemon may be cut off itself.
 */
const FRESH_RENEWALS = 1.5;
/** Daemons that are asked before a renewal has failed. */
const MAX_ASKED = 6;

/**
 * Time for which the other daemons are asked before the store's word in an era that is new here is relied on though none of them
 * answers, in milliseconds: what the operator wrote is back in the store about then.
 */
const CHECK_MS = 2000;

/** What another daemon hands on. */
export interface PassedConfiguration {
  /** Version of the configuration that it has in force; 0 for none. */
  readonly version: number;
  readonly proof: AgedProof | null;
  /** The configuration, where it is newer than the one that the asking daemon holds. */
  readonly item: StoredItem | null;
}

/** What the renewal needs. */
export interface LeaseRenewalOptions {
  readonly lease: ConfigurationLease;
  readonly store: Pick<CoordinationStore, 'readIfChanged' | 'era'>;
  /** Key of the configuration in the store. */
  readonly configurationKey: string;
  readonly ownName: string;
  readonly zone: string;
  /** The daemons that ask the store for all, of each zone the first one; `null` when everybody does. */
  delegates(): readonly DaemonRecord[] | null;
  /** Daemons that take part in the work. */
  daemons(): readonly DaemonRecord[];
  /** Daemons that run or may run, as far as the store has them. */
  registered(): readonly DaemonRecord[];
  /** Asks another daemon; `null` when it does not answer in time. */
  ask(record: DaemonRecord, heldVersion: number, timeoutMs: number): Promise<PassedConfiguration | null>;
  /** A configuration that is newer than the one held. */
  offer(item: StoredItem): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
  /** A number from 0 up to 1. */
  random(): number;
  /** Waits, in milliseconds. */
  rest?(ms: number): Promise<void>;
}

/** `prover`: asks the store for others; `standby`: does so when nobody has a proof; `follower`: when nobody answers. */
type Role = 'prover' | 'standby' | 'follower';

/** Keeps the lease of one daemon. */
export class LeaseRenewal {
  #isStopped = false;
  #failures = 0;
  #wasProven = true;
  /** Era of the store in which its word is relied on, and since when that of a later one is checked. */
  #checkedEra: number | null = null;
  #checkingSinceMs: number | null = null;

  constructor(private readonly options: LeaseRenewalOptions) {}

  /** Renews until {@link LeaseRenewal.stop}; returns at once where no lease is needed. */
  async run(): Promise<void> {
    const { rest = delay } = this.options;
    while (this.options.lease.isNeeded && !this.#isStopped) {
      const isRenewed = await this.renew();
      this.#failures = isRenewed ? 0 : this.#failures + 1;
      this.#noteProof();
      await rest(this.#pauseMs());
    }
  }

  /** Stops renewing. */
  stop(): void {
    this.#isStopped = true;
  }

  /** One renewal; false when nobody had a proof. */
  async renew(): Promise<boolean> {
    const delegates = this.options.delegates();
    const role = this.#roleAmong(delegates);
    if (role === 'prover' && (await this.#askStore())) return true;
    let hasAnswered = false;
    for (const record of this.#inOrder(delegates ?? this.options.daemons())) {
      const answer = await this.#askDaemon(record);
      if (answer === 'renewed') return true;
      if (answer === 'no_proof') hasAnswered = true;
    }
    const isStoreLeft = role === 'standby' || (role === 'follower' && !hasAnswered);
    return isStoreLeft && (await this.#askStore());
  }

  #roleAmong(delegates: readonly DaemonRecord[] | null): Role {
    const { ownName, zone } = this.options;
    if (delegates === null) return 'prover';
    const inZone = delegates.filter((record) => record.zone === zone);
    const rank = inZone.findIndex(({ name }) => name === ownName);
    if (rank < 0) return 'follower';
    return rank === 0 ? 'prover' : 'standby';
  }

  async #askStore(): Promise<boolean> {
    const { lease, store, configurationKey, now } = this.options;
    if (!(await this.#isStoreRelied())) return false;
    const askedAtMs = now();
    const { heldVersion, heldRevision } = lease;
    try {
      const answer = await store.readIfChanged(configurationKey, heldRevision, STORE_MS);
      if (answer.kind === 'changed' && answer.item !== null) this.options.offer(answer.item);
      if (store.era.current !== this.#checkedEra) return false;
      const provenVersion = answer.kind === 'unchanged' ? heldVersion : this.#versionOf(answer.item);
      if (provenVersion === null) return false;
      lease.prove({ version: provenVersion, provenAtMs: askedAtMs });
      return true;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      return false;
    }
  }

  /** The version that an item of the store brings, or `null` where it is not in force: it cannot be read, or is an older one. */
  #versionOf(item: StoredItem | null): number | null {
    const { heldVersion, heldRevision } = this.options.lease;
    return item !== null && isSameRevision(item.revision, heldRevision) ? heldVersion : null;
  }

  /**
   * A store that has come back from a copy may hold an older configuration until it is written again, and a daemon that has just
   * started cannot tell. So in each era that is new here others are asked first which version they know of.
   */
  async #isStoreRelied(): Promise<boolean> {
    const { store, lease, now } = this.options;
    const era = store.era.current;
    if (era === this.#checkedEra) return true;
    this.#checkingSinceMs ??= now();
    const others = this.#inOrder(this.options.registered());
    const answers = await Promise.all(
      others.map((record) => this.options.ask(record, lease.heldVersion, DAEMON_MS)),
    );
    const heard = answers.filter((answer) => answer !== null);
    for (const { version } of heard) lease.hear(version, now());
    const isChecked = others.length === 0 || heard.length > 0 || now() - this.#checkingSinceMs >= CHECK_MS;
    if (!isChecked) return false;
    this.#checkedEra = era;
    this.#checkingSinceMs = null;
    return true;
  }

  async #askDaemon(record: DaemonRecord): Promise<'renewed' | 'no_proof' | 'silent'> {
    const { lease, ask, now } = this.options;
    const askedAtMs = now();
    const answer = await ask(record, lease.heldVersion, DAEMON_MS);
    if (answer === null) return 'silent';
    if (answer.item !== null) this.options.offer(answer.item);
    if (answer.proof === null) return 'no_proof';
    const { version, ageMs } = answer.proof;
    lease.prove({ version, provenAtMs: askedAtMs - ageMs });
    return ageMs <= FRESH_RENEWALS * this.#renewalMs ? 'renewed' : 'no_proof';
  }

  /** Other daemons that ask the store, those of the own zone first, each part in an order of chance. */
  #inOrder(askers: readonly DaemonRecord[]): readonly DaemonRecord[] {
    const { ownName, zone, random } = this.options;
    return askers
      .filter(({ name }) => name !== ownName)
      .map((record) => ({ record, order: (record.zone === zone ? 0 : 1) + random() }))
      .sort((one, other) => one.order - other.order)
      .slice(0, MAX_ASKED)
      .map(({ record }) => record);
  }

  get #renewalMs(): number {
    return Math.min(RENEWAL_MS, RENEWAL_SHARE * (this.options.lease.boundMs ?? Number.POSITIVE_INFINITY));
  }

  #pauseMs(): number {
    const ceiling = Math.min(this.#renewalMs, FIRST_PAUSE_MS * 2 ** Math.min(this.#failures, 8));
    return this.#failures === 0 ? this.#renewalMs : ceiling * (0.5 + this.options.random() / 2);
  }

  #noteProof(): void {
    const { lease, log, now } = this.options;
    const isProven = lease.isProven(now());
    if (isProven === this.#wasProven) return;
    this.#wasProven = isProven;
    log(isProven ? 'configuration_proven' : 'configuration_unproven', {
      version: lease.heldVersion,
      revision: formatRevision(lease.heldRevision),
      ageMs: Math.round(lease.ageMs(now()) ?? -1),
    });
  }
}
