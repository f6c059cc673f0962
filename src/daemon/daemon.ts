/**
 * One daemon: connects its components and runs them.
 *
 * @packageDocumentation
 */
import { digestDatabases, fromDocument, toDocument } from '../configuration/configuration-document.js';
import type { Configuration, DatabaseConfiguration } from '../configuration/configuration.js';
import type { ResponseSink, StatementRequest } from '../engine/statement-request.js';
import { policySubject } from '../engine/policy-subject.js';
import type { ClientServer } from '../entry/client-server.js';
import { RequestRouter, type RequestTarget } from '../entry/request-router.js';
import type { MachineList } from '../machines/machine-list.js';
import { shuffle } from '../common/shuffle.js';
import type { Gossip } from '../membership/gossip.js';
import type { MembershipTable } from '../membership/membership-table.js';
import type { PeerRecord } from '../membership/peer-record.js';
import { EngineMetrics } from '../observability/engine-metrics.js';
import type { Logger } from '../observability/logger.js';
import { CONTROL_TICK_INTERVAL_MS, DatabaseController } from '../ownership/database-controller.js';
import { rankCandidates } from '../ownership/candidate-ranking.js';
import { RankTable } from '../ownership/rank-table.js';
import type { PeerLinks } from '../peer/peer-links.js';
import type { PeerMessage } from '../peer/peer-messages.js';
import { PeerServer } from '../peer/peer-server.js';
import { Policy, type PolicyDecision } from '../policy/policy.js';
import type { Settings } from '../settings/settings.js';
import { ConfigurationService } from './configuration-service.js';
import { createControllerOptions } from './controller-options.js';
import {
  createClientServer,
  createConfigurationStore,
  createGossip,
  createMachineList,
  createMembershipTable,
  createPeerLinks,
} from './create-parts.js';
import { describeDatabase, type DaemonStatus, type PeerStatus } from './daemon-status.js';
import { LocalTarget, RemoteTarget } from './request-targets.js';

/** Number of daemons per zone that watch the store on behalf of the others. */
const WATCHERS_PER_ZONE = 2;
/** Maximum number of unknown daemons contacted at a time; their responses carry the records of the others. */
const MAX_INITIAL_CONTACTS = 3;

/** A running daemon. */
export class Daemon {
  readonly metrics = new EngineMetrics();
  readonly #controllers = new Map<string, DatabaseController>();
  readonly #table: MembershipTable;
  readonly #links: PeerLinks;
  readonly #gossip: Gossip;
  readonly #machines: MachineList;
  readonly #configuration: ConfigurationService;
  readonly #peerServer: PeerServer;
  readonly #clientServer: ClientServer;
  readonly #ranks = new RankTable();
  /** Configuration version that each daemon last reported. */
  readonly #peerVersions = new Map<string, number>();
  #controlTimer: NodeJS.Timeout | null = null;
  #policy = Policy.empty;
  #isStopping = false;
  /** True when daemons or databases have changed since the candidates were ranked. */
  #isRankingStale = true;

  constructor(
    private readonly settings: Settings,
    private readonly log: Logger,
    /** Returns random numbers in the range from 0 to 1. */
    private readonly random: () => number = Math.random,
  ) {
    this.#table = createMembershipTable(settings);
    this.#links = this.#createLinks();
    this.#gossip = this.#createGossip();
    this.#machines = createMachineList(settings, () => this.#contactListedDaemons());
    this.#configuration = this.#createConfigurationService();
    this.#peerServer = this.#createPeerServer();
    this.#clientServer = this.#createClientServer();
  }

  /** Joins the cluster, starts the background tasks and then accepts clients. */
  async start(): Promise<void> {
    const { listen, daemon } = this.settings;
    await this.#peerServer.listen(listen.peer.host, listen.peer.port);
    await this.#machines.refresh();
    this.#contactListedDaemons();
    this.#machines.start();
    this.#gossip.start();
    this.#configuration.start();
    this.#controlTimer = setInterval(() => this.#tick(), CONTROL_TICK_INTERVAL_MS);
    await this.#clientServer.listen(listen.client.host, listen.client.port);
    this.log.info({ daemon: daemon.id, zone: daemon.zone, port: listen.client.port }, 'daemon_started');
  }

  /** Drains and stops; returns the number of requests and transactions that were aborted. */
  async stop(): Promise<number> {
    this.#isStopping = true;
    const { drainTimeoutMs } = this.settings.timing;
    this.log.info({ drainTimeoutMs }, 'drain_started');
    this.#table.updateOwn({ state: 'leaving' });
    this.#gossip.disseminateNow();
    const controllerStops = Promise.all([...this.#controllers.values()].map((c) => c.stop(drainTimeoutMs)));
    const abortedClientRequests = await this.#clientServer.drain(drainTimeoutMs);
    const abortedRequests = (await controllerStops).reduce(
      (total, count) => total + count,
      abortedClientRequests,
    );
    this.metrics.abortedRequests.inc(abortedRequests);
    if (this.#controlTimer !== null) clearInterval(this.#controlTimer);
    this.#configuration.stop();
    this.#machines.stop();
    this.#gossip.stop();
    await new Promise((resolve) => setTimeout(resolve, FINAL_SEND_DELAY_MS));
    this.#links.close();
    this.#peerServer.close();
    this.log.info({ cut: abortedRequests }, 'daemon_stopped');
    return abortedRequests;
  }

  /** The state that `sorrelladder status` prints. */
  status(): DaemonStatus {
    return {
      daemon: this.settings.daemon,
      isStopping: this.#isStopping,
      configurationVersion: this.#configuration.current?.version ?? 0,
      configurationAdoptedAt: this.#configuration.adoptedAt,
      configurationIdentity: this.#configuration.current?.identity ?? null,
      clientConnections: this.#clientServer.connectionCount,
      peerLinks: this.#links.size,
      pendingNews: this.#table.pendingNews,
      peerTrafficBytes: this.#links.trafficBytes + this.#peerServer.trafficBytes,
      memberControlBytes: [...this.#controllers.values()].reduce(
        (sum, { controlTrafficBytes: controlTraffic }) => sum + controlTraffic,
        0,
      ),
      platformTrafficBytes: this.#machines.trafficBytes,
      peers: this.#table.all.map((record) => this.#peerStatus(record)),
      databases: [...this.#controllers.values()].map((controller) =>
        describeDatabase(controller, this.#table.ownerOf(controller.database.name)?.daemonId ?? null),
      ),
    };
  }

  /** The reason why the daemon cannot serve requests; `null` when it can. */
  unavailableReason(): string | null {
    if (this.#isStopping) return 'the daemon is stopping';
    return this.#configuration.current === null ? 'no configuration is in force yet' : null;
  }

  /** Updates the gauges. */
  collectGauges(): void {
    const { metrics } = this;
    metrics.clientConnections.set(this.#clientServer.connectionCount);
    metrics.configurationVersion.set(this.#configuration.current?.version ?? 0);
    metrics.ownedDatabases.set(this.#table.own.ownedDatabases.length);
    metrics.peers.reset();
    for (const { state } of this.#table.all) metrics.peers.inc({ state });
    metrics.memberConnections.reset();
    metrics.replicaStaleness.reset();
    for (const { database, engine, monitor } of this.#controllers.values()) {
      for (const [member, pool] of engine?.pools ?? []) {
        metrics.memberConnections.set({ database: database.name, member }, pool.connectionCount);
      }
      for (const { address, stalenessMs } of monitor?.describe().members ?? []) {
        const labels = { database: database.name, member: address.memberId };
        if (Number.isFinite(stalenessMs)) metrics.replicaStaleness.set(labels, stalenessMs);
      }
    }
  }

  // --- construction

  #createLinks(): PeerLinks {
    return createPeerLinks(this.settings, {
      hello: () => this.#table.own,
      onMessage: (daemonId, message) => this.#handlePeerResponse(daemonId, message),
      onLost: (daemonId) => this.#gossip.probeNow(daemonId),
    });
  }

  #createGossip(): Gossip {
    return createGossip(this.settings, {
      table: this.#table,
      links: this.#links,
      random: this.random,
      onChange: () => (this.#isRankingStale = true),
      configurationVersion: () => this.#configuration.current?.version ?? 0,
      onVersion: (daemonId, version) => this.#observeVersion(daemonId, version),
      onDead: ({ daemonId }) => {
        this.#peerVersions.delete(daemonId);
        this.#isRankingStale = true;
        this.log.warn({ peer: daemonId }, 'peer_dead');
      },
    });
  }

  #createConfigurationService(): ConfigurationService {
    return new ConfigurationService(
      createConfigurationStore(this.settings),
      {
        daemonCount: () => Math.max(this.#machines.daemonCount, this.settings.seeds.length + 1, 2),
        peerIds: () => shuffle(this.#table.others, this.random).map(({ daemonId }) => daemonId),
        requestFromPeer: (daemonId, documentIfNewerThan) =>
          this.#requestConfiguration(daemonId, documentIfNewerThan),
        isWatcher: () => this.#isWatcher(),
        adopted: (configuration) => this.#adopt(configuration),
      },
      this.log,
    );
  }

  #createPeerServer(): PeerServer {
    return new PeerServer({
      execute: (request, sink, isAwaited) => this.#executeLocally(request, sink, isAwaited),
      closeStream: (database, streamId) => this.#controllers.get(database)?.engine?.closeStream(streamId),
      cancel: (database, streamId) => this.#controllers.get(database)?.engine?.cancel(streamId),
      hello: (record) => this.#handleHello(record),
      handle: (message, reply) => this.#handlePeerMessage(message, reply),
    });
  }

  #createClientServer(): ClientServer {
    const router = new RequestRouter({
      targets: (database) => this.#targets(database),
      evaluatePolicy: (request) => this.#decide(request),
      hasPausedSince: (sinceMs) => this.#clientServer.hasPausedSince(sinceMs),
      random: this.random,
    });
    return createClientServer(this.settings, {
      router,
      unavailable: () => this.unavailableReason(),
      hasDatabase: (name) => this.#controllers.has(name),
    });
  }

  // --- peers

  #contactListedDaemons(): void {
    const listed = this.#machines.machines.filter(({ kind }) => kind === 'daemon');
    const unknown = [...listed, ...this.settings.seeds].filter(
      ({ id }) => id !== this.settings.daemon.id && this.#table.find(id) === null,
    );
    const start = Math.floor(this.random() * unknown.length);
    for (const { id, host, port } of [...unknown.slice(start), ...unknown].slice(0, MAX_INITIAL_CONTACTS)) {
      this.#gossip.syncWith({ daemonId: id, host, port });
    }
  }

  #handleHello(record: PeerRecord): void {
    if (this.#table.merge(record, performance.now())) this.#isRankingStale = true;
  }

  #handlePeerMessage(message: PeerMessage, reply: (message: PeerMessage) => void): void {
    if (message.kind === 'configurationRequest') {
      const { current } = this.#configuration;
      const version = current?.version ?? 0;
      const { documentIfNewerThan } = message;
      const sendsDocument = documentIfNewerThan !== null && version > documentIfNewerThan;
      const document =
        sendsDocument && current !== null ? toDocument(current, message.databasesDigest) : null;
      reply({ kind: 'configurationReply', version, document });
      return;
    }
    this.#gossip.handleRequest(message, reply);
  }

  #handlePeerResponse(daemonId: string, message: PeerMessage): void {
    if (message.kind === 'configurationReply') {
      const { version, document } = message;
      const configuration = document === null ? null : fromDocument(document, this.#configuration.current);
      this.#configuration.receiveFromPeer(daemonId, version, configuration);
      return;
    }
    this.#gossip.handleReply(daemonId, message);
  }

  #requestConfiguration(daemonId: string, documentIfNewerThan: number | null): void {
    const record = this.#table.find(daemonId);
    if (record !== null) {
      const databasesDigest = digestDatabases(this.#configuration.current);
      this.#links.linkTo(record).send({ kind: 'configurationRequest', documentIfNewerThan, databasesDigest });
    }
  }

  #observeVersion(daemonId: string, version: number): void {
    this.#peerVersions.set(daemonId, version);
    this.#configuration.observeVersion(daemonId, version);
  }

  #isWatcher(): boolean {
    const { id, zone } = this.settings.daemon;
    const inZone = this.#table.all.filter((record) => record.zone === zone && record.state === 'alive');
    const inZoneIds = inZone.map(({ daemonId }) => daemonId);
    return rankCandidates('store watchers', inZoneIds, WATCHERS_PER_ZONE).includes(id);
  }

  // --- configuration

  #adopt(configuration: Configuration): void {
    Policy.compile(configuration.policy)
      .ifLeft((problems) => this.log.error({ version: configuration.version, problems }, 'policy_unreadable'))
      .ifRight((policy) => (this.#policy = policy));
    this.#applyDatabases(configuration.databases);
    this.#gossip.disseminateNow();
  }

  #applyDatabases(databases: readonly DatabaseConfiguration[]): void {
    const wanted = new Map(databases.map((database) => [database.name, database]));
    for (const [name, controller] of this.#controllers) {
      const database = wanted.get(name);
      if (database !== undefined && JSON.stringify(database) === JSON.stringify(controller.database))
        continue;
      this.#controllers.delete(name);
      this.#isRankingStale = true;
      void controller.stop(this.settings.timing.drainTimeoutMs);
    }
    for (const [name, database] of wanted) if (!this.#controllers.has(name)) this.#startController(database);
  }

  #startController(database: DatabaseConfiguration): void {
    const options = createControllerOptions(database, {
      settings: this.settings,
      log: this.log,
      metrics: this.metrics,
      policy: () => this.#policy,
      isListedAsLeaving: (memberId) => this.#machines.isMemberLeaving(memberId),
      random: this.random,
    });
    const controller = new DatabaseController(options, {
      rank: () => this.#rank(database.name),
      isOwnedElsewhere: () => this.#isOwnedElsewhere(database.name),
      ownershipChanged: () => this.#publishOwnership(),
    });
    this.#controllers.set(database.name, controller);
    this.#isRankingStale = true;
  }

  /** Runs the controllers of the databases that this daemon owns or is a candidate for. */
  #tick(): void {
    if (this.#isRankingStale) this.#updateRanking();
    for (const controller of this.#controllers.values()) if (controller.isActive) controller.tick();
  }

  #updateRanking(): void {
    this.#isRankingStale = false;
    this.#ranks.update([...this.#controllers.keys()], this.#table.candidateIds);
  }

  #rank(database: string): number | null {
    return this.#isStopping ? null : this.#ranks.rankOf(database, this.settings.daemon.id);
  }

  #isOwnedElsewhere(database: string): boolean {
    const owner = this.#table.ownerOf(database);
    return owner !== null && owner.daemonId !== this.settings.daemon.id && owner.state !== 'dead';
  }

  #publishOwnership(): void {
    const owned = [...this.#controllers.values()].filter(({ engine }) => engine !== null);
    this.#table.updateOwn({ ownedDatabases: owned.map(({ database }) => database.name) });
    this.#gossip.disseminateNow();
  }

  // --- requests

  /**
   * Applies the policy with a lag of 0, since only the owner knows the lag and applies the policy again. Here
   * the deadline and the repeatability are used.
   */
  #decide(request: StatementRequest): PolicyDecision {
    return this.#policy.decide(policySubject(request, new Date().getUTCHours(), 0));
  }

  #targets(database: string): readonly RequestTarget[] {
    const owner = this.#table.ownerOf(database);
    const ids = new Set([...(owner === null ? [] : [owner.daemonId]), ...this.#ranks.candidates(database)]);
    return [...ids].flatMap((daemonId) => this.#target(daemonId) ?? []);
  }

  #target(daemonId: string): RequestTarget | null {
    if (daemonId === this.settings.daemon.id) {
      return new LocalTarget(daemonId, (database) => this.#controllers.get(database)?.engine ?? null);
    }
    const record = this.#table.find(daemonId);
    return record === null || record.state === 'dead'
      ? null
      : new RemoteTarget(daemonId, this.#links.linkTo(record));
  }

  #executeLocally(request: StatementRequest, sink: ResponseSink, isAwaited: () => boolean): void {
    const engine = this.#controllers.get(request.database)?.engine ?? null;
    if (engine === null) sink.notOwner();
    else void engine.execute(request, sink, isAwaited);
  }

  #peerStatus(record: PeerRecord): PeerStatus {
    const isOwn = record.daemonId === this.settings.daemon.id;
    const own = this.#configuration.current?.version ?? 0;
    return { ...record, configurationVersion: isOwn ? own : (this.#peerVersions.get(record.daemonId) ?? 0) };
  }
}

/** Time for the last messages to be sent before the links are closed. */
const FINAL_SEND_DELAY_MS = 50;
