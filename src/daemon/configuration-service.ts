/**
 * Keeps a daemon's configuration up to date from the store, and from other daemons while the store is
 * unavailable.
 *
 * @packageDocumentation
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Configuration } from '../configuration/configuration.js';
import { ConfigurationHolder } from '../configuration/configuration-holder.js';
import type { ConfigurationStore, StoredConfiguration } from '../configuration/configuration-store.js';
import { StartupGate } from '../configuration/startup-gate.js';
import type { Logger } from '../observability/logger.js';
import { backoffDelayMs } from '../retry/backoff.js';

/** Callbacks into the daemon. */
export interface ConfigurationServicePorts {
  /** Number of daemons on the machine list, this one included. */
  daemonCount(): number;
  /** Ids of the other daemons that are not known to be dead, in random order. */
  peerIds(): readonly string[];
  /**
   * Requests the configuration version of a daemon, and the document if its version is greater than the given
   * one. `null` requests the version only. The response is passed to
   * {@link ConfigurationService.receiveFromPeer}.
   */
  requestFromPeer(daemonId: string, documentIfNewerThan: number | null): void;
  /** True when this daemon is one of those that watch the store on behalf of their zone. */
  isWatcher(): boolean;
  /** Called when a newer configuration has come into force. */
  adopted(configuration: Configuration): void;
}

/** Grace period for the other daemons before a response of the store alone is trusted. */
const PEER_GRACE_PERIOD_MS = 1000;
/** Maximum number of daemons queried for a newer version per attempt once the store has responded. */
const MAX_PEERS_QUERIED = 8;
/** Time to wait for the configuration of a daemon before it is requested from another one. */
const REQUEST_INTERVAL_MS = 500;
const STARTUP_RETRY_INTERVAL_MS = 250;
const WATCH_BACKOFF = { initialDelayMs: 200, maxDelayMs: 5000 };
const WATCHER_CHECK_INTERVAL_MS = 1000;

/** Obtains the configuration of one daemon and keeps it up to date. */
export class ConfigurationService {
  readonly #holder = new ConfigurationHolder();
  readonly #gate = new StartupGate(performance.now(), PEER_GRACE_PERIOD_MS);
  readonly #abort = new AbortController();
  /**
   * Time at which the current configuration came into force, in milliseconds since the epoch; 0 for never.
   */
  adoptedAt = 0;
  #hasConfiguration = false;
  #nextRequestAtMs = 0;

  constructor(
    private readonly store: ConfigurationStore,
    private readonly ports: ConfigurationServicePorts,
    private readonly log: Logger,
  ) {}

  /** The configuration in force, or `null` before the first. */
  get current(): Configuration | null {
    return this.#holder.current;
  }

  /** Obtains the first configuration, then watches the store. */
  start(): void {
    void this.#obtainInitial().then(() => this.#watchStore());
  }

  /** Stops requesting and watching. */
  stop(): void {
    this.#abort.abort();
  }

  /** Handles a response of another daemon. */
  receiveFromPeer(daemonId: string, version: number, configuration: Configuration | null): void {
    if (this.#hasConfiguration) {
      if (configuration !== null) this.#offer(configuration, `peer ${daemonId}`);
      return;
    }
    this.#gate.recordPeer(daemonId, version, configuration);
    this.#tryAdoptInitial('peers');
  }

  /** Records the version in force at another daemon, and requests its configuration if that is newer. */
  observeVersion(daemonId: string, version: number): void {
    const nowMs = performance.now();
    if (!this.#hasConfiguration || version <= this.#holder.version || nowMs < this.#nextRequestAtMs) return;
    this.#nextRequestAtMs = nowMs + REQUEST_INTERVAL_MS;
    this.ports.requestFromPeer(daemonId, this.#holder.version);
  }

  async #obtainInitial(): Promise<void> {
    while (!this.#hasConfiguration && !this.#abort.signal.aborted) {
      this.#requestFromPeers();
      try {
        this.#gate.recordStore(await this.store.read());
        this.#tryAdoptInitial('store');
      } catch (error) {
        this.log.warn({ error: (error as Error).message }, 'store_unavailable');
      }
      if (!this.#hasConfiguration) await delay(STARTUP_RETRY_INTERVAL_MS);
    }
  }

  /**
   * Once the store has responded, a few daemons are queried; until then all, since a majority has to respond.
   */
  #requestFromPeers(): void {
    const missing = this.ports.peerIds().filter((daemonId) => this.#gate.isMissing(daemonId));
    const queried = this.#gate.hasStoreAnswered ? missing.slice(0, MAX_PEERS_QUERIED) : missing;
    for (const daemonId of queried) this.ports.requestFromPeer(daemonId, null);
  }

  #tryAdoptInitial(source: string): void {
    if (this.#hasConfiguration) return;
    const decision = this.#gate.decide(this.ports.daemonCount(), performance.now());
    if (decision.kind === 'fetch') this.ports.requestFromPeer(decision.daemonId, this.#gate.newestVersion);
    if (decision.kind !== 'adopt') return;
    this.#hasConfiguration = true;
    this.#offer(decision.configuration, source);
  }

  /**
   * Offers a stored configuration, and restores the one in force if the stored one is older. The store has
   * then lost its history or responded from an old snapshot. The newer configuration is an accepted
   * publication of an operator, so the next publication has to build on it. After a read from an old snapshot
   * the write has no effect, since it compares the revision that was read.
   */
  #offerStored({ configuration, modRevision }: StoredConfiguration): void {
    this.#offer(configuration, 'store');
    const { current } = this.#holder;
    if (current === null || configuration.version >= current.version) return;
    this.store
      .restore(current, modRevision)
      .then((isRestored) => {
        if (isRestored)
          this.log.warn({ version: current.version, lost: configuration.version }, 'configuration_restored');
      })
      .catch((error: unknown) => this.log.warn({ error: (error as Error).message }, 'store_unavailable'));
  }

  #offer(configuration: Configuration, source: string): void {
    const { version, identity } = configuration;
    const outcome = this.#holder.offer(configuration);
    if (outcome === 'conflict') this.log.error({ version, identity, source }, 'configuration_conflict');
    if (outcome !== 'adopted') return;
    this.adoptedAt = Date.now();
    this.log.info({ version, identity, source }, 'configuration_adopted');
    this.ports.adopted(configuration);
  }

  /** Watches the store while this daemon is a watcher; reads the configuration once before each watch. */
  async #watchStore(): Promise<void> {
    const { signal } = this.#abort;
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      if (!this.ports.isWatcher()) {
        await delay(WATCHER_CHECK_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
        continue;
      }
      try {
        const stored = await this.store.readStored();
        if (stored !== null) this.#offerStored(stored);
        attempt = 0;
        await this.store.watch((changed) => this.#offerStored(changed), signal);
      } catch (error) {
        if (!signal.aborted) this.log.warn({ error: (error as Error).message }, 'store_unavailable');
      }
      await delay(backoffDelayMs(WATCH_BACKOFF, attempt, Math.random()), undefined, { signal }).catch(
        () => undefined,
      );
    }
  }
}
