/**
 * Renews the configuration lease, from the store or from a daemon that has a proof from the store.
 *
 * In a large fleet one delegate in each zone reads from the store and the other daemons ask the delegates, so
 * that the load on the store does not grow with the number of daemons: 0.04 calls per second and daemon with
 * 83 daemons in three zones, where the limit for these calls is 0.05. A daemon whose reads from the store
 * fail asks other daemons. A daemon that reaches no other daemon reads from the store, and so does a delegate
 * that finds no proof elsewhere.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { type CoordinationStore, StoreError, type StoredItem } from '../coordination/coordination-store.js';
import { formatRevision, isSameRevision } from '../coordination/revision.js';
import type { AgedProof, ConfigurationLease } from './configuration-lease.js';

/**
 * Longest renewal interval, in milliseconds, and the largest share of the bound that it may take. A proof
 * that a daemon gets from another daemon is at most two intervals and two round trips old when it is renewed,
 * so a lease of 5 s survives 2 s in which nothing answers. A daemon whose read from the store fails also
 * loses the time-out of that read; with a short bound and a longer interval, its lease would expire before
 * each renewal.
 */
const MAX_RENEWAL_INTERVAL_MS = 1000;
const RENEWAL_INTERVAL_SHARE = 0.2;
/**
 * Base of the delay after failed renewals, in milliseconds: doubled with each failure in a row, up to the
 * renewal interval.
 */
const RETRY_DELAY_BASE_MS = 125;
/** Time-outs of a read from the store and of a request to another daemon, in milliseconds. */
const STORE_TIMEOUT_MS = 400;
const DAEMON_TIMEOUT_MS = 250;
/**
 * Age up to which a proof from another daemon ends the renewal, in renewal intervals: it comes from one of
 * the last two renewals of that daemon. An older proof is recorded too, but further daemons are asked for a
 * younger one, because the daemon that sent it may itself be cut off.
 */
const MAX_PROOF_AGE_INTERVALS = 1.5;
/** Most daemons asked in one renewal. */
const MAX_DAEMONS_ASKED = 6;

/**
 * Time after which the store is trusted in a new era although no other daemon answers, in milliseconds: by
 * then the newest configuration has usually been written back to the store.
 */
const ERA_CHECK_TIMEOUT_MS = 2000;

/** Reply of another daemon to a request for its proof and configuration. */
export interface ConfigurationLeaseReply {
  /** Version of its active configuration; 0 for none. */
  readonly version: number;
  readonly proof: AgedProof | null;
  /** The configuration, if it is newer than the one that the requesting daemon holds. */
  readonly item: StoredItem | null;
}

/** Settings and dependencies of {@link LeaseRenewal}. */
export interface LeaseRenewalOptions {
  readonly lease: ConfigurationLease;
  readonly store: Pick<CoordinationStore, 'readIfChanged' | 'era'>;
  /** Key of the configuration in the store. */
  readonly configurationKey: string;
  readonly ownName: string;
  readonly zone: string;
  /**
   * The delegates, of which the first one in each zone reads from the store; `null` when every daemon does.
   */
  delegates(): readonly DaemonRecord[] | null;
  /** Live daemons. */
  daemons(): readonly DaemonRecord[];
  /** Live daemons, and daemons with a record in the store that may be running. */
  registered(): readonly DaemonRecord[];
  /** Requests the proof and configuration of another daemon; `null` when it does not answer in time. */
  requestConfiguration(
    record: DaemonRecord,
    heldVersion: number,
    timeoutMs: number,
  ): Promise<ConfigurationLeaseReply | null>;
  /** Takes a configuration that is newer than the held one. */
  offerConfiguration(item: StoredItem): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
  /** Uniform random number in [0, 1). */
  random(): number;
  /** Replaces the timer in tests. */
  sleep?(ms: number): Promise<void>;
}

/**
 * `prover`: reads from the store first. `standby`: reads from the store when no other daemon has a fresh
 * proof. `follower`: reads from the store when no other daemon answers.
 */
type Role = 'prover' | 'standby' | 'follower';

/** Renews the configuration lease of one daemon. */
export class LeaseRenewal {
  #isStopped = false;
  #consecutiveFailures = 0;
  #wasProven = true;
  /** Era in which the store is trusted, and when the check of the present, later era began. */
  #verifiedEra: number | null = null;
  #eraCheckStartedMs: number | null = null;

  constructor(private readonly options: LeaseRenewalOptions) {}

  /** Renews until {@link LeaseRenewal.stop}; returns at once when no lease is required. */
  async run(): Promise<void> {
    const { sleep = delay } = this.options;
    while (this.options.lease.requiresProof && !this.#isStopped) {
      const isRenewed = await this.renew();
      this.#consecutiveFailures = isRenewed ? 0 : this.#consecutiveFailures + 1;
      this.#logProofChange();
      await sleep(this.#nextDelayMs());
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Attempts one renewal; false when no fresh proof was found. */
  async renew(): Promise<boolean> {
    const delegates = this.options.delegates();
    const role = this.#roleAmong(delegates);
    if (role === 'prover' && (await this.#renewFromStore())) return true;
    let hasDaemonAnswered = false;
    for (const record of this.#orderOtherDaemons(delegates ?? this.options.daemons())) {
      const answer = await this.#renewFromDaemon(record);
      if (answer === 'renewed') return true;
      if (answer === 'no_proof') hasDaemonAnswered = true;
    }
    const shouldAskStore = role === 'standby' || (role === 'follower' && !hasDaemonAnswered);
    return shouldAskStore && (await this.#renewFromStore());
  }

  #roleAmong(delegates: readonly DaemonRecord[] | null): Role {
    const { ownName, zone } = this.options;
    if (delegates === null) return 'prover';
    const inZone = delegates.filter((record) => record.zone === zone);
    const rank = inZone.findIndex(({ name }) => name === ownName);
    if (rank < 0) return 'follower';
    return rank === 0 ? 'prover' : 'standby';
  }

  async #renewFromStore(): Promise<boolean> {
    const { lease, store, configurationKey, now } = this.options;
    if (!(await this.#verifyStoreEra())) return false;
    const askedAtMs = now();
    const { heldVersion, heldRevision } = lease;
    try {
      const answer = await store.readIfChanged(configurationKey, heldRevision, STORE_TIMEOUT_MS);
      if (answer.kind === 'changed' && answer.item !== null) this.options.offerConfiguration(answer.item);
      if (store.era.current !== this.#verifiedEra) return false;
      const provenVersion = answer.kind === 'unchanged' ? heldVersion : this.#heldVersionIfSame(answer.item);
      if (provenVersion === null) return false;
      lease.recordProof({ version: provenVersion, provenAtMs: askedAtMs });
      return true;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      return false;
    }
  }

  /**
   * The held version if the stored item is the held one, else `null`: the item is gone, unreadable, or older.
   */
  #heldVersionIfSame(item: StoredItem | null): number | null {
    const { heldVersion, heldRevision } = this.options.lease;
    return item !== null && isSameRevision(item.revision, heldRevision) ? heldVersion : null;
  }

  /**
   * True once the store is trusted in its present era. A store that was restored from a copy may return an
   * older configuration until the newest one is written again, and a daemon that has just started cannot
   * detect that. In each new era the versions of the other daemons are therefore collected first.
   */
  async #verifyStoreEra(): Promise<boolean> {
    const { store, lease, now } = this.options;
    const era = store.era.current;
    if (era === this.#verifiedEra) return true;
    this.#eraCheckStartedMs ??= now();
    const others = this.#orderOtherDaemons(this.options.registered());
    const answers = await Promise.all(
      others.map((record) => this.options.requestConfiguration(record, lease.heldVersion, DAEMON_TIMEOUT_MS)),
    );
    const replies = answers.filter((answer) => answer !== null);
    for (const { version } of replies) lease.observeVersion(version, now());
    const isVerified =
      others.length === 0 || replies.length > 0 || now() - this.#eraCheckStartedMs >= ERA_CHECK_TIMEOUT_MS;
    if (!isVerified) return false;
    this.#verifiedEra = era;
    this.#eraCheckStartedMs = null;
    return true;
  }

  async #renewFromDaemon(record: DaemonRecord): Promise<'renewed' | 'no_proof' | 'silent'> {
    const { lease, requestConfiguration, now } = this.options;
    const askedAtMs = now();
    const answer = await requestConfiguration(record, lease.heldVersion, DAEMON_TIMEOUT_MS);
    if (answer === null) return 'silent';
    if (answer.item !== null) this.options.offerConfiguration(answer.item);
    if (answer.proof === null) return 'no_proof';
    const { version, ageMs } = answer.proof;
    lease.recordProof({ version, provenAtMs: askedAtMs - ageMs });
    return ageMs <= MAX_PROOF_AGE_INTERVALS * this.#renewalIntervalMs ? 'renewed' : 'no_proof';
  }

  /** The other daemons that a renewal asks: those of the own zone first, in random order within each part. */
  #orderOtherDaemons(daemons: readonly DaemonRecord[]): readonly DaemonRecord[] {
    const { ownName, zone, random } = this.options;
    return daemons
      .filter(({ name }) => name !== ownName)
      .map((record) => ({ record, order: (record.zone === zone ? 0 : 1) + random() }))
      .sort((one, other) => one.order - other.order)
      .slice(0, MAX_DAEMONS_ASKED)
      .map(({ record }) => record);
  }

  get #renewalIntervalMs(): number {
    return Math.min(
      MAX_RENEWAL_INTERVAL_MS,
      RENEWAL_INTERVAL_SHARE * (this.options.lease.boundMs ?? Number.POSITIVE_INFINITY),
    );
  }

  #nextDelayMs(): number {
    const ceiling = Math.min(
      this.#renewalIntervalMs,
      RETRY_DELAY_BASE_MS * 2 ** Math.min(this.#consecutiveFailures, 8),
    );
    return this.#consecutiveFailures === 0
      ? this.#renewalIntervalMs
      : ceiling * (0.5 + this.options.random() / 2);
  }

  #logProofChange(): void {
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
