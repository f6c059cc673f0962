/**
 * Keeps a daemon's configuration current: from the store, and from other daemons when the store is away.
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

/** What the service asks and tells its daemon. */
export interface ConfigurationServicePorts {
  /** Number of daemons on the machine list, this one included. */
  daemonCount(): number;
  /** Ids of the other daemons that are believed alive, in random order. */
  peerIds(): readonly string[];
  /**
   * Asks one daemon for its version, and for the document if that is newer than the given one; the answer comes to
   * {@link ConfigurationService.receiveFromPeer}.
   */
  askPeer(daemonId: string, documentIfNewerThan: number | null): void;
  /** True when this daemon is one of those that watch the store for the others of its zone. */
  isWatcher(): boolean;
  /** A newer configuration is in force. */
  adopted(configuration: Configuration): void;
}

/** Time given to other daemons before the store's answer alone is trusted, in milliseconds. */
const PEER_GRACE_MS = 1000;
/** Daemons asked whether they know better than the store. */
const PEERS_BESIDE_STORE = 8;
/** Time given to a daemon to send its configuration before another is asked, in milliseconds. */
const ASK_AGAIN_MS = 500;
const STARTUP_RETRY_MS = 250;
const WATCH_BACKOFF = { initialDelayMs: 200, maxDelayMs: 5000 };
const WATCHER_CHECK_MS = 1000;

/** Configuration of one daemon. */
export class ConfigurationService {
  readonly #holder = new ConfigurationHolder();
  readonly #gate = new StartupGate(performance.now(), PEER_GRACE_MS);
  readonly #abort = new AbortController();
  /** When the configuration came into force, in milliseconds since the epoch; 0 for never. */
  adoptedAt = 0;
  #isStarted = false;
  #askAgainAtMs = 0;

  constructor(
    private readonly store: ConfigurationStore,
    private readonly ports: ConfigurationServicePorts,
    private readonly log: Logger,
  ) {}

  /** The configuration in force, or `null` before the first. */
  get current(): Configuration | null {
    return this.#holder.current;
  }

  /** Finds the first configuration, then follows the store. */
  start(): void {
    void this.#findFirst().then(() => this.#follow());
  }

  /** Stops to follow. */
  stop(): void {
    this.#abort.abort();
  }

  /** Takes another daemon's answer. */
  receiveFromPeer(daemonId: string, version: number, configuration: Configuration | null): void {
    if (this.#isStarted) {
      if (configuration !== null) this.#offer(configuration, `peer ${daemonId}`);
      return;
    }
    this.#gate.recordPeer(daemonId, version, configuration);
    this.#tryStart('peers');
  }

  /** Hears which version another daemon has in force. */
  hearVersion(daemonId: string, version: number): void {
    const nowMs = performance.now();
    if (!this.#isStarted || version <= this.#holder.version || nowMs < this.#askAgainAtMs) return;
    this.#askAgainAtMs = nowMs + ASK_AGAIN_MS;
    this.ports.askPeer(daemonId, this.#holder.version);
  }

  async #findFirst(): Promise<void> {
    while (!this.#isStarted && !this.#abort.signal.aborted) {
      this.#askPeers();
      try {
        this.#gate.recordStore(await this.store.read());
        this.#tryStart('store');
      } catch (error) {
        this.log.warn({ error: (error as Error).message }, 'store_unavailable');
      }
      if (!this.#isStarted) await delay(STARTUP_RETRY_MS);
    }
  }

  /** A few daemons are enough beside the store; without it a majority has to answer. */
  #askPeers(): void {
    const missing = this.ports.peerIds().filter((daemonId) => this.#gate.isMissing(daemonId));
    const asked = this.#gate.hasStoreAnswered ? missing.slice(0, PEERS_BESIDE_STORE) : missing;
    for (const daemonId of asked) this.ports.askPeer(daemonId, null);
  }

  #tryStart(source: string): void {
    if (this.#isStarted) return;
    const decision = this.#gate.decide(this.ports.daemonCount(), performance.now());
    if (decision.kind === 'fetch') this.ports.askPeer(decision.daemonId, this.#gate.newestVersion);
    if (decision.kind !== 'adopt') return;
    this.#isStarted = true;
    this.#offer(decision.configuration, source);
  }

  /**
   * A store that holds an older configuration than the one in force has lost its history, or answers from an old snapshot. It is given
   * the newer one, which an operator has had accepted: the next publication has to build on that. A snapshot changes nothing: what was
   * read there is compared.
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

  /** Watches the store while this daemon is a watcher; reads it once before each watch. */
  async #follow(): Promise<void> {
    const { signal } = this.#abort;
    for (let attempt = 0; !signal.aborted; attempt += 1) {
      if (!this.ports.isWatcher()) {
        await delay(WATCHER_CHECK_MS, undefined, { signal }).catch(() => undefined);
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
