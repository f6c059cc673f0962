/**
 * Wires together the parts of a relay daemon: client sessions, member groups, leadership evidence and the
 * promotion duty.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { DaemonDirectory } from '../cluster/daemon-directory.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { Delegations } from '../cluster/delegates.js';
import { dutyClaimDelayMs } from '../cluster/duty-claim-delay.js';
import { deliverOrder, type OrderOutcomes, type Recipients } from '../cluster/order-delivery.js';
import { LostRecords } from '../cluster/lost-records.js';
import { Registration } from '../cluster/registration.js';
import { PeerMesh, type HolderOrder, type Suspicion } from '../cluster/peer-mesh.js';
import type { CoordinationStore } from '../coordination/coordination-store.js';
import type { DutyHolder } from '../coordination/duty-record.js';
import {
  COORDINATION_PREFIX,
  DAEMON_PREFIX,
  listLeasedDaemons,
  readDaemons,
} from '../coordination/daemon-register.js';
import { Duty } from '../coordination/duty.js';
import { DelegatedFeed, MAX_RELAY_LAG_MS } from '../coordination/change-feed.js';
import { ChangeRelay } from '../coordination/change-relay.js';
import type { EntryFaults } from '../coordination/entry-faults.js';
import { isSameRevision, type Revision } from '../coordination/revision.js';
import { WatchedStore } from '../coordination/watched-store.js';
import { Assignments } from '../gateway/assignments.js';
import { GatewayClient } from '../gateway/gateway-client.js';
import { GatewayServer } from '../gateway/gateway-server.js';
import { IsolationMonitor } from '../isolation/isolation-monitor.js';
import { ObservedStore } from '../isolation/observed-store.js';
import type { GroupSupervisorOptions, PromotionPort } from '../leadership/group-supervisor.js';
import { EvidenceResponder } from '../leadership/evidence-exchange.js';
import { DaemonExits } from '../leadership/daemon-exits.js';
import { EvidenceSharing } from '../leadership/evidence-sharing.js';
import { LeadershipWatcher } from '../leadership/leadership-watcher.js';
import { LogPositionQuery } from '../leadership/log-position-query.js';
import { MemberControl } from '../leadership/member-control.js';
import { ReplacedTerms } from '../leadership/replaced-terms.js';
import { GroupSupervisors } from '../leadership/group-supervisors.js';
import { InvalidReports } from '../placement/invalid-reports.js';
import type { LoadReport } from '../placement/load-report.js';
import { Placement } from '../placement/placement.js';
import type { RelayState } from '../observability/relay-metrics.js';
import { QuotaService } from '../quota/quota-service.js';
import { ConfigurationLease } from '../tenancy/configuration-lease.js';
import type { KeyDigest } from '../tenancy/key-digest.js';
import { LeaseRenewal, type ConfigurationLeaseReply } from '../tenancy/lease-renewal.js';
import { Catalog, type CatalogDocument } from '../topology/catalog.js';
import { compareIncarnations, formatIncarnation, type Incarnation } from '../topology/incarnation.js';
import { MemberDirectory } from '../topology/member-directory.js';
import { MemberGroup, type Member } from '../topology/member-group.js';
import { describeRegression, type StatusRegression } from '../topology/process-continuity.js';
import { FailureDetector } from './failure-detector.js';
import type { LinkPool } from './link-pool.js';
import { MemberFactory } from './member-factory.js';
import type { MemberDialer, StatusReader } from './member-link.js';
import { leaderCheck } from './leader-identity.js';
import { OrderHandler } from './order-handler.js';
import type { RelayContext, RelayObserver } from './relay-context.js';
import type { ShutdownSchedule } from './shutdown-schedule.js';
import { Readiness } from './readiness.js';
import { newSessionBudget, Session } from './session.js';
import { WatchedGroups, type WatchedGroup } from './watched-groups.js';

/** Dependencies and settings of a relay daemon. */
export interface RelayDaemonOptions {
  readonly self: DaemonRecord;
  readonly zone: string;
  readonly store: CoordinationStore;
  readonly dialer: MemberDialer;
  readonly readStatus: StatusReader;
  readonly promotion: PromotionPort;
  readonly observer: RelayObserver;
  /** How long requests may still be routed to a member that is leaving, in milliseconds. */
  readonly leaveMs: number;
  /** Interval between two heartbeats of a member in the directory, in milliseconds. */
  readonly heartbeatMs: number;
  /** Key of the configuration in the store. */
  readonly configurationKey: string;
  /**
   * How long an API key may still be accepted after its revocation, in milliseconds; `null` for no strict
   * bound.
   */
  readonly revocationMs: number | null;
  /** Receives reports of store entries that this daemon cannot parse. */
  readonly faults: EntryFaults;
  /** Called when an item from the store is rejected because a newer one is already held. */
  itemNotNewer(): void;
  /** Called when this daemon is cut off from all other zones, and when that has ended. */
  isolationChanged(isIsolated: boolean): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
  random(): number;
}

/** Connections that a gateway opens in advance and keeps open while idle. */
const MIN_IDLE_CONNECTIONS = 2;
/**
 * Idle connections that a gateway keeps where each connection belongs to one tenant, which may send again:
 * half of its connection budget. For 3 s, a member still counts the connections of a machine that has lost
 * power, while gateways already open others. After two power losses, 1,070 connections exceeded the members'
 * limits if gateways kept the whole budget, and 286 if they kept half of it.
 */
const MIN_IDLE_TENANT_CONNECTIONS = 4;
/** Interval between checks for unresponsive and leaving members, in milliseconds. */
const TICK_MS = 50;
/**
 * The same while no request to a member is in flight, in milliseconds: shorter than every unresponsiveness
 * threshold.
 */
const IDLE_TICK_MS = 100;
/**
 * Lateness of a tick above which this process was delayed itself, in milliseconds: longer than its usual work in
 * one turn of the event loop.
 */
const OWN_DELAY_MS = 25;
/** Interval at which the duty holder reopens lost connections to the other daemons, in milliseconds. */
const RECONNECT_INTERVAL_MS = 500;
/**
 * How long a former duty holder may still open connections to members to complete what it has started there,
 * in milliseconds: as long as a promotion takes.
 */
const DUTY_HANDOVER_MS = 2500;
/**
 * Time in which a new configuration reaches the other daemons through the store's change feed, in
 * milliseconds. Until then, replies to daemons that ask for a proof leave out the configuration itself.
 */
const CHANGE_PROPAGATION_MS = 1500;

/** Time limit for a leader to report its log position, in milliseconds. */
const LOG_POSITION_TIMEOUT_MS = 200;

/** A relay daemon without its client-facing sockets. */
export class RelayDaemon {
  readonly catalog = new Catalog();
  /** Local copy of the coordination store. The creator of the daemon has to run it. */
  readonly watched: WatchedStore;
  readonly #groups = new WatchedGroups({
    create: (name) => this.#createGroup(name),
    opened: (watched) => this.#onGroupOpened(watched),
    closed: (watched) => this.#onGroupClosed(watched),
  });
  readonly #orderHandler: OrderHandler;
  readonly #memberFactory: MemberFactory;
  /** The members that the platform lists. */
  readonly directory: MemberDirectory;
  readonly #failureDetector: FailureDetector;
  readonly #control: MemberControl;
  readonly #mesh: PeerMesh;
  readonly #daemonExits: DaemonExits;
  /** When this process began to accept orders, in monotonic milliseconds. */
  #listeningSinceMs = Number.POSITIVE_INFINITY;
  /** `life` of this daemon's process before this one, by the store; `null` if not known. */
  #predecessorLife: string | null = null;
  readonly #duty: Duty;
  readonly #context: RelayContext;
  /** Session values and prepared names of all sessions. */
  readonly #sessionBudget = newSessionBudget();
  readonly #daemons = new DaemonDirectory();
  readonly #registration: Registration;
  readonly #lostRecords: LostRecords;
  readonly #replacedTerms: ReplacedTerms;
  #isDutyStarted = false;
  readonly #delegations = new Delegations(() => this.#daemons.live);
  readonly #supervision = new GroupSupervisors({
    supervisorOptions: (group) => this.#supervisorOptions(group),
    runForever: (loop) => this.#runLoop(loop),
  });
  readonly #gatewayClient: GatewayClient;
  readonly #gatewayServer: GatewayServer;
  readonly #placement: Placement;
  readonly #evidenceSharing: EvidenceSharing;
  readonly #evidenceAnswers = new EvidenceResponder(() => this.#evidenceSharing.ownEvidence());
  readonly #assignments: Assignments;
  readonly #configurationLease: ConfigurationLease;
  readonly #leaseRenewal: LeaseRenewal;
  readonly #quotas: QuotaService;
  readonly #readiness = new Readiness();
  readonly #isolation: IsolationMonitor;
  #tickTimer: NodeJS.Timeout | null = null;
  #isStopped = false;
  #shutdownSchedule: ShutdownSchedule | null = null;
  #startedAtMs = 0;
  /** When the active configuration was received, in monotonic milliseconds. */
  #catalogReceivedAtMs = Number.NEGATIVE_INFINITY;
  /**
   * Until when a former duty holder may open control connections of its own to complete what it has started.
   */
  #dutyHandoverUntilMs = Number.NEGATIVE_INFINITY;
  #wasStartingUp = true;
  /** When the duty holder last reopened its connections to the other daemons. */
  #peersConnectedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: RelayDaemonOptions) {
    const { self, dialer, readStatus, now, random } = options;
    const invalidReports = new InvalidReports(options.log, now);
    this.#gatewayClient = new GatewayClient(self.host, now, random, (name) => invalidReports.record(name));
    this.#isolation = new IsolationMonitor({
      zone: options.zone,
      connections: this.#gatewayClient,
      groups: () => this.groups,
      isReady: () => this.#readiness.isReady,
      changed: options.isolationChanged.bind(options),
      log: options.log,
      now,
      random,
    });
    const store = new ObservedStore(options.store, this.#isolation.traffic, now);
    this.#registration = new Registration(self);
    this.#orderHandler = new OrderHandler({
      groups: this.#groups,
      registration: this.#registration,
      listeningSinceMs: () => this.#listeningSinceMs,
      predecessorLife: () => this.#predecessorLife,
      log: options.log,
      now,
    });
    this.#lostRecords = new LostRecords({
      store,
      ownName: self.name,
      known: () => this.#daemons.known(now()),
      isStored: (name) => this.watched.items.has(DAEMON_PREFIX + name),
      keyOf: (name) => DAEMON_PREFIX + name,
      random,
      log: options.log,
    });
    this.#replacedTerms = new ReplacedTerms({
      store,
      localItem: (key) => this.watched.items.get(key),
      dutyCondition: () => this.#duty.condition,
      life: self.life,
      faults: options.faults,
      log: options.log,
      now,
    });
    this.#assignments = new Assignments({
      ownName: self.name,
      daemons: (isYoung) => (isYoung ? this.#daemons.expected(now()) : this.#daemons.live),
      connectionLimit: (groupName) => this.catalog.document?.groups.get(groupName)?.maxConnections ?? 0,
      hasTenants: () => this.catalog.tenants.size > 0,
      startedAtMs: () => this.#startedAtMs,
      now,
    });
    this.#failureDetector = new FailureDetector({
      ownName: self.name,
      tickMs: TICK_MS,
      report: (suspicion) => this.#reportSuspicion(suspicion),
      wakeWatcher: (groupName) => this.#groups.wake(groupName),
      log: options.log,
      now,
    });
    this.directory = new MemberDirectory({
      leaveMs: options.leaveMs,
      heartbeatMs: options.heartbeatMs,
      lagMs: () => (this.#delegations.of('store') === null ? 0 : MAX_RELAY_LAG_MS),
      group: (name) => this.#groups.group(name),
      create: (entry) => this.#memberFactory.create(entry),
      changed: (group) => {
        group.changed.notify();
        this.#groups.wake(group.name);
      },
      leaderInDoubt: (group) => this.#supervision.suspect(group.name),
      incarnationEnded: (member) => this.#gatewayServer.endLoans(member.pool.ownPool),
      closeControlConnections: (memberId) => this.#control.forget(memberId),
      log: options.log,
      now,
    });
    this.#control = new MemberControl({
      dialer,
      readStatus,
      mayConnect: () =>
        this.isDutyHolder || now() < this.#dutyHandoverUntilMs || this.#daemonExits.mayConnect,
      now,
    });
    this.#mesh = new PeerMesh(self, {
      handleOrder: (order) => this.#orderHandler.apply(order),
      handleSuspicion: (suspicion) => this.#handleSuspicion(suspicion),
      ownEvidence: (knownVersion) => this.#evidenceAnswers.answer(knownVersion),
      daemonEnded: ({ name }, sign) => {
        this.#daemonExits.daemonEnded(name, sign);
        this.#duty.processEnded();
      },
      probed: (name, state) => options.log('daemon_probed', { name, outcome: state }),
      holderDisconnected: (host, end) => options.log('holder_disconnected', { host, end }),
    });
    this.#daemonExits = new DaemonExits({
      ownName: self.name,
      isDutyHolder: () => this.isDutyHolder,
      liveDaemons: () => this.#daemons.live,
      logPositionQueries: () => this.#groups.all.map(({ logPosition }) => logPosition),
      daemonEndedUnderDuty: () => this.#supervision.daemonEnded(),
      log: options.log,
      now,
    });
    this.#placement = new Placement({
      zone: options.zone,
      loads: this.#gatewayClient.loads,
      zoneLatency: this.#gatewayClient.zoneLatency,
      log: options.log,
      now,
      random,
    });
    this.#memberFactory = new MemberFactory({
      ownName: self.name,
      dialer,
      assignments: this.#assignments,
      gatewayClient: this.#gatewayClient,
      catalog: this.catalog,
      observer: options.observer,
      liveDaemons: () => this.#daemons.live,
      memberFailed: (groupName, member, reason) => this.#onMemberFailure(groupName, member, reason),
      now,
      random,
    });
    const feed = new DelegatedFeed({
      store,
      ownName: self.name,
      zone: options.zone,
      delegates: () => this.#delegations.of('store'),
      mustWatchStore: () => this.isDutyHolder,
      localItem: (key) => this.watched.items.get(key) ?? null,
      askDelegate: this.#gatewayClient.requestChanges.bind(this.#gatewayClient),
      log: options.log,
      now,
    });
    this.watched = new WatchedStore({
      feed,
      era: store.era,
      log: options.log,
      itemNotNewer: options.itemNotNewer,
      now,
      random,
    });
    const changeRelay = new ChangeRelay(this.watched.changes, now);
    this.watched.subscribe(COORDINATION_PREFIX, {
      changed: () => undefined,
      removed: () => undefined,
      settled: () => this.#onCoordinationKeysChanged(),
      availability: (isAvailable) => {
        this.#daemons.availability(isAvailable, now());
        if (isAvailable) this.#duty.storeRegained();
        this.#retireQuotasWhileSettling();
      },
    });
    this.#configurationLease = new ConfigurationLease(options.revocationMs);
    this.#leaseRenewal = new LeaseRenewal({
      lease: this.#configurationLease,
      store,
      configurationKey: options.configurationKey,
      ownName: self.name,
      zone: options.zone,
      delegates: () => this.#delegations.of('store'),
      daemons: () => this.#daemons.live,
      registered: () => this.#daemons.expected(now()),
      requestConfiguration: this.#gatewayClient.requestConfiguration.bind(this.#gatewayClient),
      offerConfiguration: (item) => this.watched.offer(item),
      log: options.log,
      now,
      random,
    });
    this.#quotas = new QuotaService({
      ownName: self.name,
      daemons: () => this.#daemons.live,
      findTenant: (name) => this.catalog.tenants.findByName(name),
      requestGrant: this.#gatewayClient.requestGrant.bind(this.#gatewayClient),
      hasProcessEnded: (record) => this.#mesh.hasEnded(record),
      now,
      random,
    });
    this.#gatewayServer = new GatewayServer({
      pool: (groupName, life) => this.#lendablePool(groupName, life),
      leaderCheck: (groupName) => {
        const group = this.#groups.group(groupName);
        return group === null ? null : leaderCheck(this.#context, group);
      },
      load: (groupName, memberId) => this.#loadReport(groupName, memberId),
      ownEvidence: (knownVersion) => this.#evidenceAnswers.answer(knownVersion),
      changes: (afterRevision, waitMs) => changeRelay.changesAfter(afterRevision, waitMs),
      configuration: (heldVersion) => this.#configurationReply(heldVersion),
      grant: (request) => this.#quotas.grant(request),
    });
    this.#evidenceSharing = new EvidenceSharing({
      ownName: self.name,
      zone: options.zone,
      groups: () => this.groups,
      fleetSize: () => this.#daemons.live.length,
      collectors: () => this.#delegations.of('witnesses'),
      holdsDuty: () => this.#duty.heldFence(0) !== null,
      askHolder: (timeoutMs) =>
        this.#isolation.observe(this.#holderZone(), this.#mesh.askEvidence(timeoutMs)),
      askDaemon: (record, timeoutMs) => this.#gatewayClient.requestEvidence(record, timeoutMs),
      evidenceGained: (group) => {
        group.changed.notify();
        this.#groups.wake(group.name);
      },
      now,
      random,
    });
    const listener = {
      registered: () => {
        this.#registration.markRegistered(now());
        for (const { watcher } of this.#groups.all) watcher.wake();
      },
      taken: (fence: number) => this.#onDutyTaken(fence),
      lost: (reason: string) => this.#onDutyLost(reason),
    };
    this.#duty = new Duty(
      store,
      self,
      () => this.watched,
      listener,
      (holder) => Promise.resolve(this.#hasHolderEnded(holder)),
      now,
      random,
      () => dutyClaimDelayMs(self.name, this.#daemons.live),
      options.faults,
    );
    this.#context = {
      catalog: this.catalog,
      configurationLease: this.#configurationLease,
      quotas: this.#quotas,
      zone: options.zone,
      isolation: this.#isolation,
      observer: options.observer,
      group: (name) => this.#groups.group(name),
      shutdownSchedule: () => this.#shutdownSchedule,
      now,
      readStatus,
      placement: this.#placement,
      suspect: (group, member, reason) => this.#failureDetector.suspect(group, member, reason),
    };
  }

  /** True once requests can be served, except while this daemon is cut off from all other zones. */
  get isReady(): boolean {
    this.#updateReadiness();
    return this.#readiness.isReady && !this.isIsolated;
  }

  /** True while this daemon is cut off from all other zones. */
  get isIsolated(): boolean {
    return this.#isolation.isIsolated;
  }

  /** All watched groups. */
  get groups(): readonly MemberGroup[] {
    return this.#groups.groups;
  }

  /** True while this daemon holds the promotion duty: it alone may promote members. */
  get isDutyHolder(): boolean {
    return this.#duty.isHolder;
  }

  /** The state of the groups as exported in the metrics. */
  describeGroups(): RelayState['groups'] {
    const now = this.options.now();
    return this.groups.map((group) => ({
      name: group.name,
      memberConnections: [...group.members.values()].reduce((sum, { pool }) => sum + pool.ownPool.size, 0),
      hasEvidence: group.leader(now) !== null,
      term: group.evidence.leader?.term ?? 0,
      degradedMembers: [...group.members.values()].filter(({ share }) => share.valueAt(now) < 1).length,
    }));
  }

  /** Measured round trips to other zones, in milliseconds. */
  get zoneRoundTrips(): RelayState['zoneRoundTrips'] {
    const { zoneLatency } = this.#gatewayClient;
    return [...zoneLatency.zones].flatMap((zone) => {
      const ms = zoneLatency.roundTripMs(zone, this.options.now());
      return ms === null ? [] : [{ zone, ms }];
    });
  }

  /** Starts listening for other daemons and starts the background loops. */
  async start(): Promise<void> {
    this.#startedAtMs = this.options.now();
    const { host, port, gatewayPort } = this.options.self;
    await this.#mesh.listen(host, port);
    this.#listeningSinceMs = this.options.now();
    await this.#gatewayServer.listen(host, gatewayPort);
    this.#duty.requestLivenessLease();
    this.#runLoop(this.#evidenceSharing.run());
    this.#runLoop(this.#leaseRenewal.run());
    this.#scheduleTick();
  }

  /** Number of live daemons, this one included. */
  get liveDaemons(): number {
    return this.#daemons.live.length;
  }

  /** Number of connections that are on loan to other daemons. */
  get openLoans(): number {
    return this.#gatewayServer.openLoans;
  }

  /**
   * Starts the shutdown: releases the promotion duty and accepts no new loans. Sessions and open loans
   * continue until the times of the schedule.
   */
  async beginShutdown(plan: ShutdownSchedule): Promise<void> {
    this.#shutdownSchedule = plan;
    this.#retireQuotasWhileSettling();
    this.#gatewayServer.leave();
    await Promise.race([this.#duty.stop(), delay(500)]);
  }

  /**
   * Stops granting quotas before a shutdown, but only while the daemons still settle after a store outage.
   * Normally the home of a tenant that stops goes on granting until every daemon has seen its lease end. After an
   * outage some daemons have seen it and others will not for seconds, so two owners would grant the same
   * quota. Doing this on every shutdown refused tenants operations within their quota (380 refusals instead
   * of 253 in 8 s of successive shutdowns).
   */
  #retireQuotasWhileSettling(): void {
    if (this.#shutdownSchedule !== null && this.#daemons.isSettling(this.options.now()))
      this.#quotas.retire();
  }

  /** Rolls back and ends loans that are idle inside a transaction, and accepts no new loans. */
  drainLoans(): void {
    this.#gatewayServer.windUp();
  }

  /**
   * Ends every loan and resolves once all borrowers have been notified. Has no timeout of its own: the caller
   * sets one.
   */
  endLoans(): Promise<void> {
    return this.#gatewayServer.finish();
  }

  /** Stops all loops and closes all connections. */
  stop(): void {
    this.#isStopped = true;
    if (this.#tickTimer !== null) clearTimeout(this.#tickTimer);
    this.#evidenceSharing.stop();
    this.#leaseRenewal.stop();
    this.#mesh.close();
    this.#gatewayServer.close();
    this.#gatewayClient.close();
    this.#groups.closeAll();
  }

  /** Opens a session on a database, authenticated by an API key if there is one. */
  openSession(database: string, key: KeyDigest | null): Session {
    return new Session(this.#context, database, key, this.#sessionBudget);
  }

  /**
   * Applies a configuration if it is newer than the active one; `revision` is the store revision of its item.
   */
  offerCatalog(document: CatalogDocument, revision: Revision): boolean {
    const isTaken = this.catalog.offer(document);
    if (document.version === this.catalog.document?.version)
      this.#configurationLease.adopt(document.version, revision, this.options.now());
    if (!isTaken) return false;
    this.#catalogReceivedAtMs = this.options.now();
    this.#assignments.clear();
    const names = new Set([...document.routes.values()].map(({ groupName }) => groupName));
    this.#groups.sync(names, this.options.now());
    return true;
  }

  /** Answers a daemon that holds `heldVersion` and asks for the newest configuration that is known here. */
  #configurationReply(heldVersion: number): ConfigurationLeaseReply {
    const now = this.options.now();
    const lease = this.#configurationLease;
    const item = this.watched.items.get(this.options.configurationKey);
    const mustSendItem =
      item !== undefined &&
      isSameRevision(item.revision, lease.heldRevision) &&
      lease.heldVersion > heldVersion &&
      now - this.#catalogReceivedAtMs > CHANGE_PROPAGATION_MS;
    return { version: lease.heldVersion, proof: lease.shareableProof(now), item: mustSendItem ? item : null };
  }

  #updateReadiness(): void {
    if (this.#readiness.isReady || this.catalog.document === null || !this.directory.isLoaded) return;
    const now = this.options.now();
    const groupsWithLeader = this.groups.filter((group) => group.leader(now) !== null);
    this.#readiness.update(groupsWithLeader.length, this.groups.length, now);
  }

  #createGroup(name: string): WatchedGroup {
    const { options } = this;
    const group = new MemberGroup(
      name,
      (source) => this.#registration.countsFromMs(source),
      () => this.#orderHandler.mayHaveAcknowledgedEarlier(name),
    );
    const listener = {
      evidenceChanged: (_group: MemberGroup, memberId: string | null, reason: string) =>
        options.log(memberId === null ? 'evidence_lapsed' : 'evidence_gained', {
          group: name,
          ...group.describeLeadership(options.now()),
          reason,
        }),
      statusLost: ({ entry }: Member, regression: StatusRegression) =>
        options.log('member_status_lost', {
          group: name,
          member: formatIncarnation(entry),
          ...describeRegression(regression),
        }),
    };
    const watcher = new LeadershipWatcher(
      group,
      this.#control,
      this.#replacedTerms,
      listener,
      () => this.#duty.held,
      () =>
        options.now() >= this.#registration.registeredAtMs && this.#evidenceSharing.queriesWitnesses(group),
      () => this.#evidenceSharing.suppliesEvidence,
      options.now,
    );
    const logPosition = new LogPositionQuery({
      group,
      queryStatus: (member) => this.#control.ask(member, { kind: 'status' }, LOG_POSITION_TIMEOUT_MS),
      isStopped: () => this.#isStopped || this.#groups.group(name) !== group,
      log: options.log,
      now: options.now,
    });
    return { group, watcher, logPosition };
  }

  #onGroupOpened({ group, watcher }: WatchedGroup): void {
    this.directory.addListedMembers(group);
    this.#runLoop(watcher.run());
    this.#evidenceSharing.requestNow();
    if (this.isDutyHolder) this.#supervision.begin(group);
  }

  #onGroupClosed({ group, watcher }: WatchedGroup): void {
    watcher.stop();
    this.#supervision.end(group.name);
    for (const member of group.members.values()) member.pool.ownPool.close();
  }

  /**
   * The pool of a member from which other daemons may borrow; `null` if there is none or the requested
   * incarnation is not the current one.
   */
  #lendablePool(groupName: string, life: Incarnation): LinkPool | null {
    const member = this.#groups.group(groupName)?.members.get(life.memberId);
    if (member === undefined || compareIncarnations(member.entry, life) !== 'same') return null;
    return this.#assignments.isAssigned(member.entry) ? member.pool.ownPool : null;
  }

  /** What this daemon reports about its connections to a member. */
  #loadReport(groupName: string, memberId: string): LoadReport | null {
    const member = this.#groups.group(groupName)?.members.get(memberId);
    if (member === undefined) return null;
    const { load, waiting } = member.pool.ownPool;
    const recentMs = member.recentLatency.valueMs(this.options.now());
    return { inUse: load - waiting, waiting, serviceMs: Math.round(recentMs ?? 0) };
  }

  /**
   * Schedules the next tick, later while idle: with the short interval, timer wake-ups take much of an idle
   * daemon's CPU time.
   */
  #scheduleTick(): void {
    const isIdle = this.#isIdle() && !this.#isolation.isInDoubt;
    const delayMs = isIdle ? IDLE_TICK_MS : TICK_MS;
    const dueAtMs = this.options.now() + delayMs;
    const run = (): void => {
      if (this.options.now() - dueAtMs > OWN_DELAY_MS) this.#placement.recordOwnDelay();
      this.#tick();
      if (!this.#isStopped) this.#scheduleTick();
    };
    this.#tickTimer = setTimeout(run, delayMs);
  }

  /** True while no request and no loan is in progress. */
  #isIdle(): boolean {
    return this.groups.every((group) => [...group.members.values()].every(({ pool }) => pool.load === 0));
  }

  #tick(): void {
    for (const group of this.groups) {
      this.#failureDetector.check(group);
      this.directory.check(group);
      for (const member of group.members.values()) {
        member.pool.ownPool.trim();
        member.pool.ownPool.refuseUnservable();
        if (this.#assignments.isGateway(member.entry)) this.#maintainIdleConnections(member.pool.ownPool);
      }
    }
    this.#control.closeIdleConnections();
    this.#gatewayClient.check();
    this.#isolation.check();
    this.#updateReadiness();
    const hasStartedUp = this.#wasStartingUp && !this.#assignments.isStartingUp;
    this.#wasStartingUp = this.#assignments.isStartingUp;
    if (this.#daemons.refresh(this.options.now()) || hasStartedUp) this.#onDaemonsChanged();
    this.#reconnectPeers();
  }

  /**
   * Opens connections in advance only without tenants: otherwise it is not known which tenant will need one.
   */
  #maintainIdleConnections(pool: LinkPool): void {
    if (this.catalog.tenants.size > 0) {
      pool.setMinIdle(MIN_IDLE_TENANT_CONNECTIONS);
      return;
    }
    pool.setMinIdle(MIN_IDLE_CONNECTIONS);
    pool.warm();
  }

  /**
   * On the duty holder, reopens lost connections to the other daemons, which ask for leadership evidence over
   * them.
   */
  #reconnectPeers(): void {
    const now = this.options.now();
    if (!this.isDutyHolder || now - this.#peersConnectedAtMs < RECONNECT_INTERVAL_MS) return;
    this.#peersConnectedAtMs = now;
    this.#connectPeers();
  }

  #onMemberFailure(groupName: string, member: Member, reason: string): void {
    const group = this.#groups.group(groupName);
    if (group === null) member.avoid(this.options.now());
    else this.#failureDetector.suspect(group, member, reason);
  }

  /** Reports a suspected leader to the duty holder, which may be this daemon. */
  #reportSuspicion(suspicion: Suspicion): void {
    if (this.isDutyHolder) this.#handleSuspicion(suspicion);
    else this.#mesh.reportSuspicion(suspicion);
  }

  /** Handles the suspicion of any daemon, this one included, against a leader. */
  #handleSuspicion(suspicion: Suspicion): void {
    this.#supervision.suspect(suspicion.groupName, suspicion);
  }

  #onCoordinationKeysChanged(): void {
    const { registered, leased, unreadable } = readDaemons(this.watched.items, this.options.faults);
    if (this.#daemons.update(registered, leased, this.options.now())) this.#onDaemonsChanged();
    this.#duty.observe();
    if (!this.#isDutyStarted) this.#startDuty(registered, unreadable);
    this.#restoreLostRecords();
    this.#runLoop(this.#duty.keysChanged());
  }

  /**
   * Rewrites daemon records that the store has lost, once for each new store era. In a large fleet only the
   * delegates that watch the store for the others do so.
   */
  #restoreLostRecords(): void {
    if (!this.#lostRecords.observeEra(this.watched.revision.era)) return;
    const delegates = this.#delegations.of('store');
    const isDelegate = delegates === null || delegates.some(({ name }) => name === this.options.self.name);
    if (isDelegate) this.#runLoop(this.#lostRecords.restore());
  }

  /** Registers this daemon, after reading what an earlier process of it has left in the store. */
  #startDuty(registered: ReadonlyMap<string, DaemonRecord>, unreadable: ReadonlySet<string>): void {
    this.#isDutyStarted = true;
    const isBehind = this.#duty.isRegistryIncomplete;
    this.#predecessorLife = isBehind ? null : (registered.get(this.options.self.name)?.life ?? null);
    this.#registration.applyInitialRecords(registered, { unreadable, isIncomplete: isBehind });
    this.#runLoop(this.#duty.run());
  }

  #onDaemonsChanged(): void {
    this.watched.watcherCount = Math.max(1, this.#daemons.live.length);
    this.#assignments.clear();
    this.#delegations.clear();
    this.#gatewayClient.retain(this.#daemons.live);
    this.#isolation.daemonsChanged(this.#daemons.live);
    this.#quotas.daemonsChanged();
    if (this.isDutyHolder) this.#connectPeers();
    this.#duty.processEnded();
  }

  #connectPeers(): void {
    this.#mesh.connectAll(this.#daemons.live, this.#daemons.unleased(this.options.now()));
  }

  /** True if the process of a former duty holder is known to have ended, or a later one has registered. */
  #hasHolderEnded(holder: DutyHolder): boolean {
    const record = this.#daemons.find(holder.name);
    return this.#mesh.hasEnded(holder) || (record !== null && record.life !== holder.life);
  }

  /** Zone of the daemon that is asked for the evidence of the duty holder; `null` if it is not known. */
  #holderZone(): string | null {
    const host = this.#mesh.holderHost;
    return this.#daemons.live.find((record) => record.host === host)?.zone ?? null;
  }

  #onDutyTaken(fence: number): void {
    this.options.log('duty_taken', { fence });
    this.#connectPeers();
    for (const group of this.groups) {
      group.evidence.clearConfirmation();
      this.#supervision.begin(group);
    }
    // A daemon may have ended while nobody held the duty, and nobody else have seen it.
    this.#supervision.daemonEnded();
  }

  #onDutyLost(reason: string): void {
    this.options.log('duty_lost', { reason });
    this.#dutyHandoverUntilMs = this.options.now() + DUTY_HANDOVER_MS;
    this.#mesh.disconnectAll();
    this.#supervision.endAll();
    for (const group of this.groups) group.evidence.clearConfirmation();
  }

  /** Number of daemons that connect directly to a member and can therefore detect that it is unreachable. */
  #callerCount(group: MemberGroup, memberId: string): number {
    const member = group.members.get(memberId);
    const gateways = member === undefined ? null : this.#assignments.of(member.entry).gateways;
    return gateways?.length ?? this.#daemons.live.length;
  }

  /** Sends an order to all other daemons, or to the given recipients. */
  #order(order: HolderOrder, timeoutMs: number, recipients?: Recipients): Promise<OrderOutcomes> {
    const known = this.#daemons.known(this.options.now());
    if (recipients !== undefined && 'only' in recipients)
      return this.#mesh.sendOrder(
        known.filter(({ name }) => recipients.only.has(name)),
        order,
        timeoutMs,
      );
    const isRecipient = ({ name }: DaemonRecord): boolean => recipients?.except.has(name) !== true;
    const ports = {
      known: () => known.filter(isRecipient),
      readRegistry: async () => (await listLeasedDaemons(this.options.store)).filter(isRecipient),
      isRegistryIncomplete: () => this.#duty.isRegistryIncomplete,
      send: this.#mesh.sendOrder.bind(this.#mesh),
    };
    return deliverOrder(ports, order, timeoutMs);
  }

  #supervisorOptions(group: MemberGroup): GroupSupervisorOptions {
    const { options } = this;
    return {
      control: this.#control,
      promotion: options.promotion,
      heldFence: (reserveMs) => this.#duty.heldFence(reserveMs),
      order: (order, timeoutMs, recipients) => this.#order(order, timeoutMs, recipients),
      connectedDaemonCount: (memberId) => this.#callerCount(group, memberId),
      replacedTerms: this.#replacedTerms,
      usesGateways: (memberId) => group.members.get(memberId)?.pool.hasGateways ?? false,
      leaderPromoted: () => {
        const watcher = this.#groups.find(group.name)?.watcher;
        watcher?.confirm();
        watcher?.wake();
      },
      log: options.log,
      now: options.now,
    };
  }

  /**
   * Runs a background loop. If it fails, the error is rethrown unhandled: the process must not continue
   * without the loop.
   */
  #runLoop(loop: Promise<void>): void {
    loop.catch((error: unknown) => {
      const details = { error: error instanceof Error ? (error.stack ?? error.message) : String(error) };
      this.options.log('loop_failed', details);
      throw error;
    });
  }
}
