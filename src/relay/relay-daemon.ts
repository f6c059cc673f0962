/**
 * Puts the parts of a relay daemon together: sessions, groups of members, evidence of leaders, the duty.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { DaemonDirectory } from '../cluster/daemon-directory.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { Delegations } from '../cluster/delegates.js';
import { dutyTurnMs } from '../cluster/duty-turn.js';
import { deliverOrder, type OrderOutcomes, type Recipients } from '../cluster/order-delivery.js';
import { LostRecords } from '../cluster/lost-records.js';
import { Registration } from '../cluster/registration.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import { PeerMesh, type HolderOrder, type OrderAnswer, type Suspicion } from '../cluster/peer-mesh.js';
import type { CoordinationStore } from '../coordination/coordination-store.js';
import type { DutyHolder } from '../coordination/duty-record.js';
import {
  COORDINATION_PREFIX,
  DAEMON_PREFIX,
  listLeasedDaemons,
  readDaemons,
} from '../coordination/daemon-register.js';
import { Duty } from '../coordination/duty.js';
import { DelegatedFeed, WORST_LAG_MS } from '../coordination/change-feed.js';
import { ChangeRelay } from '../coordination/change-relay.js';
import type { EntryFaults } from '../coordination/entry-faults.js';
import { isSameRevision, type Revision } from '../coordination/revision.js';
import { WatchedStore } from '../coordination/watched-store.js';
import { Assignments } from '../gateway/assignments.js';
import { GatewayClient } from '../gateway/gateway-client.js';
import { GatewayServer } from '../gateway/gateway-server.js';
import { MemberConnections } from '../gateway/member-connections.js';
import type { GroupSupervisorOptions, PromotionPort } from '../leadership/group-supervisor.js';
import { EvidenceAnswers } from '../leadership/evidence-exchange.js';
import { EvidenceSharing } from '../leadership/evidence-sharing.js';
import { LeadershipWatcher } from '../leadership/leadership-watcher.js';
import { MemberControl } from '../leadership/member-control.js';
import { Supervision } from '../leadership/supervision.js';
import type { RelayState } from '../observability/relay-metrics.js';
import { ZERO_POSITION } from '../position/position.js';
import { QuotaService } from '../quota/quota-service.js';
import { ConfigurationLease } from '../tenancy/configuration-lease.js';
import type { KeyDigest } from '../tenancy/key-digest.js';
import { LeaseRenewal, type PassedConfiguration } from '../tenancy/lease-renewal.js';
import { Catalog, type CatalogDocument } from '../topology/catalog.js';
import { compareIncarnations, type Incarnation } from '../topology/incarnation.js';
import { MemberDirectory } from '../topology/member-directory.js';
import { Member, MemberGroup, type MemberEntry } from '../topology/member-group.js';
import { LeaderDoubts } from './leader-doubts.js';
import { LinkPool } from './link-pool.js';
import type { MemberDialer, StatusReader } from './member-link.js';
import type { RelayContext, RelayObserver } from './relay-context.js';
import type { PlannedStop } from './planned-stop.js';
import { Readiness } from './readiness.js';
import { Session } from './session.js';

/** What a relay daemon is given. */
export interface RelayDaemonOptions {
  readonly self: DaemonRecord;
  readonly zone: string;
  readonly store: CoordinationStore;
  readonly dialer: MemberDialer;
  readonly readStatus: StatusReader;
  readonly promotion: PromotionPort;
  readonly observer: RelayObserver;
  /** How long a member that leaves may still be given work, in milliseconds. */
  readonly leaveMs: number;
  /** Time between two signs of life of a member in the directory, in milliseconds. */
  readonly heartbeatMs: number;
  /** Key of the configuration in the store. */
  readonly configurationKey: string;
  /** How long a key may be served after it was taken away, in milliseconds; `null` when no bound is strict. */
  readonly revocationMs: number | null;
  /** Told of what the store holds and this daemon cannot read. */
  readonly faults: EntryFaults;
  /** An item of the store was not taken: a later one was held. */
  itemNotNewer(): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
  random(): number;
}

/** Connections that a gateway holds open in advance. */
const WARM_CONNECTIONS = 2;
/**
 * Idle connections that a gateway keeps where each belongs to a tenant, which may come back: half of what it may have, since
 * members count those of machines that lost power for 3 s, and the gateways open others meanwhile (with all kept, 1,070
 * connections over the limit of members after two losses of power; 286 with half).
 */
const KEPT_TENANT_CONNECTIONS = 4;
/** Time between looks at silence and departures, in milliseconds. */
const TICK_MS = 50;
/** The same while this daemon has nothing under way at any member, in milliseconds: less than any silence that counts. */
const REST_TICK_MS = 100;
const DIAL_MS = 400;
const LIMIT_BACKOFF_MS = 100;
/** Time after which a connection that is not needed is ended, in milliseconds. */
const IDLE_MS = 800;
/** Time between two looks of the holder of the duty at its connections to the other daemons, in milliseconds. */
const RECONNECT_MS = 500;
/** Daemons that look whether a holder of the duty has ended. */
const END_WATCHERS = 3;
/** For how long a former holder of the duty ends what it has begun at members, in milliseconds: as long as a promotion. */
const DUTY_WIND_UP_MS = 2500;
/**
 * Time in which others hear of a configuration by the changes of the store, in milliseconds: it is not sent whole to those who
 * ask for a proof meanwhile.
 */
const CHANGES_COME_MS = 1500;
interface WatchedGroup {
  readonly group: MemberGroup;
  readonly watcher: LeadershipWatcher;
}

/** A relay daemon without its sockets towards clients. */
export class RelayDaemon {
  readonly catalog = new Catalog();
  /** The copy of the store; whoever makes the daemon runs it. */
  readonly watched: WatchedStore;
  readonly #groups = new Map<string, WatchedGroup>();
  /** Groups that were watched before: what was acknowledged then is forgotten. */
  readonly #droppedGroups = new Set<string>();
  /** The members as the platform lists them. */
  readonly directory: MemberDirectory;
  readonly #doubts: LeaderDoubts;
  readonly #control: MemberControl;
  readonly #mesh: PeerMesh;
  /** Since when this process takes orders, in monotonic milliseconds. */
  #listensFromMs = Number.POSITIVE_INFINITY;
  readonly #duty: Duty;
  readonly #context: RelayContext;
  readonly #daemons = new DaemonDirectory();
  readonly #registration: Registration;
  readonly #lostRecords: LostRecords;
  #isDutyStarted = false;
  readonly #delegations = new Delegations(() => this.#daemons.live);
  readonly #supervision = new Supervision({
    supervisorOptions: (group) => this.#supervisorOptions(group),
    runForever: (loop) => this.#runForever(loop),
  });
  readonly #gatewayClient: GatewayClient;
  readonly #gatewayServer: GatewayServer;
  readonly #sharing: EvidenceSharing;
  readonly #evidenceAnswers = new EvidenceAnswers(() => this.#sharing.ownEvidence());
  readonly #assignments: Assignments;
  readonly #configurationLease: ConfigurationLease;
  readonly #leaseRenewal: LeaseRenewal;
  readonly #quotas: QuotaService;
  readonly #readiness = new Readiness();
  #tickTimer: NodeJS.Timeout | null = null;
  #isStopped = false;
  #plannedStop: PlannedStop | null = null;
  #startedAtMs = 0;
  /** When the configuration in force came. */
  #catalogAtMs = Number.NEGATIVE_INFINITY;
  /** Until when a former holder of the duty may end what it has begun over connections of its own. */
  #mayConnectUntilMs = Number.NEGATIVE_INFINITY;
  #wasYoung = true;
  /** When the holder of the duty last saw to its connections. */
  #connectedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: RelayDaemonOptions) {
    const { self, store, dialer, readStatus, now, random } = options;
    this.#registration = new Registration(self);
    this.#lostRecords = new LostRecords({
      store,
      ownName: self.name,
      known: () => this.#daemons.known(now()),
      stands: (name) => this.watched.items.has(DAEMON_PREFIX + name),
      keyOf: (name) => DAEMON_PREFIX + name,
      random,
      log: options.log,
    });
    this.#assignments = new Assignments({
      ownName: self.name,
      daemons: (isYoung) => (isYoung ? this.#daemons.expected(now()) : this.#daemons.live),
      connectionLimit: (groupName) => this.catalog.document?.groups.get(groupName)?.maxConnections ?? 0,
      hasTenants: () => this.catalog.tenants.size > 0,
      startedAtMs: () => this.#startedAtMs,
      now,
    });
    this.#doubts = new LeaderDoubts({
      ownName: self.name,
      tickMs: TICK_MS,
      tell: (suspicion) => this.#tellHolder(suspicion),
      wake: (groupName) => this.#groups.get(groupName)?.watcher.wake(),
      log: options.log,
      now,
    });
    this.directory = new MemberDirectory({
      leaveMs: options.leaveMs,
      heartbeatMs: options.heartbeatMs,
      lagMs: () => (this.#delegations.of('store') === null ? 0 : WORST_LAG_MS),
      group: (name) => this.#groups.get(name)?.group ?? null,
      create: (entry) => this.#createMember(entry),
      changed: (group) => {
        group.changed.notify();
        this.#groups.get(group.name)?.watcher.wake();
      },
      leaderInDoubt: (group) => this.#supervision.suspect(group.name),
      ended: (member) => this.#gatewayServer.endLoans(member.pool.own),
      forgotten: (memberId) => this.#control.forget(memberId),
      log: options.log,
      now,
    });
    this.#control = new MemberControl({
      dialer,
      readStatus,
      mayConnect: () => this.isDutyHolder || now() < this.#mayConnectUntilMs,
      now,
    });
    this.#mesh = new PeerMesh(self, {
      order: (order) => this.#obey(order),
      suspicion: (suspicion) => this.#heed(suspicion),
      ownEvidence: (knownVersion) => this.#evidenceAnswers.answer(knownVersion),
      daemonEnded: (name) => {
        options.log('daemon_ended', { name });
        this.#supervision.daemonEnded();
      },
      holderLeft: (host) => this.#lookForEndOf(host),
    });
    this.#gatewayClient = new GatewayClient(self.host, now, random);
    const feed = new DelegatedFeed({
      store,
      ownName: self.name,
      zone: options.zone,
      delegates: () => this.#delegations.of('store'),
      mustBeDirect: () => this.isDutyHolder,
      held: (key) => this.watched.items.get(key) ?? null,
      ask: this.#gatewayClient.askChanges.bind(this.#gatewayClient),
      log: options.log,
      now,
      random,
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
      settled: () => this.#keysChanged(),
      availability: (isAvailable) => {
        this.#daemons.availability(isAvailable, now());
        if (isAvailable) this.#duty.storeRegained();
        this.#retireWhileSettling();
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
      ask: this.#gatewayClient.askConfiguration.bind(this.#gatewayClient),
      offer: (item) => this.watched.offer(item),
      log: options.log,
      now,
      random,
    });
    this.#quotas = new QuotaService({
      ownName: self.name,
      daemons: () => this.#daemons.live,
      tenant: (name) => this.catalog.tenants.find(name),
      ask: this.#gatewayClient.askGrant.bind(this.#gatewayClient),
      isEnded: (record) => this.#mesh.isGone(record),
      now,
      random,
    });
    this.#gatewayServer = new GatewayServer({
      pool: (groupName, life) => this.#lendablePool(groupName, life),
      ownEvidence: (knownVersion) => this.#evidenceAnswers.answer(knownVersion),
      changes: (afterRevision, waitMs) => changeRelay.ask(afterRevision, waitMs),
      configuration: (heldVersion) => this.#passedConfiguration(heldVersion),
      grant: (request) => this.#quotas.grant(request),
    });
    this.#sharing = new EvidenceSharing({
      ownName: self.name,
      zone: options.zone,
      groups: () => this.groups,
      fleetSize: () => this.#daemons.live.length,
      askers: () => this.#delegations.of('witnesses'),
      holdsDuty: () => this.#duty.heldFence(0) !== null,
      askHolder: (timeoutMs) => this.#mesh.askEvidence(timeoutMs),
      askDaemon: (record, timeoutMs) => this.#gatewayClient.askEvidence(record, timeoutMs),
      gained: (group) => {
        group.changed.notify();
        this.#groups.get(group.name)?.watcher.wake();
      },
      now,
      random,
    });
    const listener = {
      registered: () => {
        this.#registration.registered(now());
        for (const { watcher } of this.#groups.values()) watcher.wake();
      },
      taken: (fence: number) => this.#dutyTaken(fence),
      lost: (reason: string) => this.#dutyLost(reason),
    };
    this.#duty = new Duty(
      store,
      self,
      () => this.watched,
      listener,
      (holder) => this.#isEnded(holder),
      now,
      random,
      () => dutyTurnMs(self.name, this.#daemons.live),
      options.faults,
    );
    this.#context = {
      catalog: this.catalog,
      configurationLease: this.#configurationLease,
      quotas: this.#quotas,
      zone: options.zone,
      observer: options.observer,
      group: (name) => this.#groups.get(name)?.group ?? null,
      plannedStop: () => this.#plannedStop,
      now,
      readStatus,
      suspect: (group, member, reason) => this.#doubts.suspect(group, member, reason),
    };
  }

  /** True once requests can be served; stays so. */
  get isReady(): boolean {
    this.#lookWhetherReady();
    return this.#readiness.isReady;
  }

  /** The groups, for status and metrics. */
  get groups(): readonly MemberGroup[] {
    return [...this.#groups.values()].map(({ group }) => group);
  }

  /** True while this daemon has the promotion duty. */
  get isDutyHolder(): boolean {
    return this.#duty.isHolder;
  }

  /** What the metrics show of the groups. */
  describeGroups(): RelayState['groups'] {
    const now = this.options.now();
    return this.groups.map((group) => ({
      name: group.name,
      memberConnections: [...group.members.values()].reduce((sum, { pool }) => sum + pool.own.size, 0),
      hasEvidence: group.leader(now) !== null,
      term: group.evidence.leader?.term ?? 0,
    }));
  }

  /** Starts to listen for other daemons and to follow the store. */
  async start(): Promise<void> {
    this.#startedAtMs = this.options.now();
    const { host, port, gatewayPort } = this.options.self;
    await this.#mesh.listen(host, port);
    this.#listensFromMs = this.options.now();
    await this.#gatewayServer.listen(host, gatewayPort);
    this.#duty.prepare();
    this.#runForever(this.#sharing.run());
    this.#runForever(this.#leaseRenewal.run());
    this.#scheduleTick();
  }

  /** Daemons that take part in the work, this one included. */
  get liveDaemons(): number {
    return this.#daemons.live.length;
  }

  /** Loans of other daemons that are not returned yet. */
  get openLoans(): number {
    return this.#gatewayServer.openLoans;
  }

  /** Gives up the duty and lends no more; sessions and open loans go on, until the times of the plan. */
  async retire(plan: PlannedStop): Promise<void> {
    this.#plannedStop = plan;
    this.#retireWhileSettling();
    this.#gatewayServer.leave();
    await Promise.race([this.#duty.stop(), delay(500)]);
  }

  /**
   * A home of quotas that is about to stop goes on until all have heard of the end of its lease; after an outage of the store some
   * have, and others will not for seconds: then two homes would grant. Retiring always refused tenants what they may have (380
   * tries in 8 s of stops in series instead of 253).
   */
  #retireWhileSettling(): void {
    if (this.#plannedStop !== null && this.#daemons.isSettling(this.options.now())) this.#quotas.retire();
  }

  /** Loans that rest inside a transaction are ended, with nothing kept, and no more are made. */
  windUpLoans(): void {
    this.#gatewayServer.windUp();
  }

  /** Ends every loan; resolves once its borrowers have been told, which the caller bounds. */
  finishLoans(): Promise<void> {
    return this.#gatewayServer.finish();
  }

  /** Ends everything. */
  stop(): void {
    this.#isStopped = true;
    if (this.#tickTimer !== null) clearTimeout(this.#tickTimer);
    this.#sharing.stop();
    this.#leaseRenewal.stop();
    this.#mesh.close();
    this.#gatewayServer.close();
    this.#gatewayClient.close();
    for (const watched of this.#groups.values()) this.#forgetGroup(watched);
  }

  /** Opens a session on a database, for whoever holds a key. */
  openSession(database: string, key: KeyDigest | null): Session {
    return new Session(this.#context, database, key);
  }

  /** Takes a configuration if it is newer; `revision` is that of its item in the store. */
  offerCatalog(document: CatalogDocument, revision: Revision): boolean {
    const isTaken = this.catalog.offer(document);
    if (document.version === this.catalog.document?.version)
      this.#configurationLease.adopt(document.version, revision, this.options.now());
    if (!isTaken) return false;
    this.#catalogAtMs = this.options.now();
    this.#assignments.clear();
    this.#syncGroups(document);
    return true;
  }

  /** What this daemon knows of the newest configuration, for one who holds a version of it. */
  #passedConfiguration(heldVersion: number): PassedConfiguration {
    const now = this.options.now();
    const lease = this.#configurationLease;
    const item = this.watched.items.get(this.options.configurationKey);
    const isOwed =
      item !== undefined &&
      isSameRevision(item.revision, lease.heldRevision) &&
      lease.heldVersion > heldVersion &&
      now - this.#catalogAtMs > CHANGES_COME_MS;
    return { version: lease.heldVersion, proof: lease.handOn(now), item: isOwed ? item : null };
  }

  #lookWhetherReady(): void {
    if (this.#readiness.isReady || this.catalog.document === null || !this.directory.isLoaded) return;
    const now = this.options.now();
    const proven = this.groups.filter((group) => group.leader(now) !== null);
    this.#readiness.look(proven.length, this.groups.length, now);
  }

  /** Groups follow the routes: one is watched while a route leads to it. */
  #syncGroups(document: CatalogDocument): void {
    const wanted = new Set([...document.routes.values()].map((route) => route.groupName));
    for (const name of wanted) if (!this.#groups.has(name)) this.#addGroup(name);
    for (const [name, watched] of this.#groups) {
      if (wanted.has(name)) continue;
      this.#groups.delete(name);
      this.#droppedGroups.add(name);
      this.#forgetGroup(watched);
    }
  }

  #addGroup(name: string): void {
    const { options } = this;
    const group = new MemberGroup(
      name,
      () => this.#registration.countsFromMs,
      () => this.#hasForgotten(name),
    );
    const listener = {
      evidenceChanged: (_group: MemberGroup, memberId: string | null, reason: string) =>
        options.log(memberId === null ? 'evidence_lapsed' : 'evidence_gained', {
          group: name,
          leader: memberId ?? group.evidence.leader?.memberId,
          term: group.evidence.leader?.term,
          reason,
        }),
    };
    const watcher = new LeadershipWatcher(
      group,
      options.zone,
      this.#control,
      listener,
      () => this.#duty.held,
      () => options.now() >= this.#registration.countsFromMs && this.#sharing.asksWitnesses(group),
      () => this.#sharing.isReliedOn,
      options.now,
    );
    const watched: WatchedGroup = { group, watcher };
    this.#groups.set(name, watched);
    this.directory.fill(group);
    this.#runForever(watcher.run());
    if (this.isDutyHolder) this.#supervision.begin(group);
  }

  #forgetGroup(watched: WatchedGroup): void {
    watched.watcher.stop();
    this.#supervision.end(watched.group.name);
    for (const member of watched.group.members.values()) member.pool.own.close();
  }

  #createMember(entry: MemberEntry): Member {
    const { options } = this;
    const pool: LinkPool = new LinkPool({
      dialer: options.dialer,
      address: entry,
      budget: () => this.#assignments.budget(member.entry),
      dialTimeoutMs: DIAL_MS,
      limitBackoffMs: LIMIT_BACKOFF_MS,
      idleMs: IDLE_MS,
      random: options.random,
      serviceMs: () => member.latencyMs,
      onTrouble: (reason) => this.#suspect(entry.groupName, member, reason),
      now: options.now,
    });
    const connections = new MemberConnections({
      groupName: entry.groupName,
      memberId: entry.memberId,
      bornMs: () => member.entry.bornMs,
      pool,
      gateways: this.#gatewayClient,
      assignment: () => this.#assignments.of(member.entry),
      others: () => this.#daemons.live.filter(({ name }) => name !== options.self.name),
      tenantShare: (tenantName) => this.catalog.tenants.shareOf(tenantName),
      ownName: options.self.name,
    });
    const member: Member = new Member(entry, connections);
    return member;
  }

  /** The pool of a member from which other daemons may borrow, or `null`, also when another life is meant. */
  #lendablePool(groupName: string, life: Incarnation): LinkPool | null {
    const member = this.#groups.get(groupName)?.group.members.get(life.memberId);
    if (member === undefined || compareIncarnations(member.entry, life) !== 'same') return null;
    return this.#assignments.connects(member.entry) ? member.pool.own : null;
  }

  /** An idle daemon of a large fleet would spend much of its processor time on being woken. */
  #scheduleTick(): void {
    const run = (): void => {
      this.#tick();
      if (!this.#isStopped) this.#scheduleTick();
    };
    this.#tickTimer = setTimeout(run, this.#isAtRest() ? REST_TICK_MS : TICK_MS);
  }

  /** True while no request and no loan is under way. */
  #isAtRest(): boolean {
    return this.groups.every((group) => [...group.members.values()].every(({ pool }) => pool.load === 0));
  }

  #tick(): void {
    for (const { group } of this.#groups.values()) {
      this.#doubts.check(group);
      this.directory.check(group);
      for (const member of group.members.values()) {
        member.pool.own.trim();
        if (this.#assignments.isGateway(member.entry)) this.#keepWarm(member.pool.own);
      }
    }
    this.#control.trim();
    this.#gatewayClient.check();
    this.#lookWhetherReady();
    const hasSettled = this.#wasYoung && !this.#assignments.isYoung;
    this.#wasYoung = this.#assignments.isYoung;
    if (this.#daemons.refresh(this.options.now()) || hasSettled) this.#daemonsChanged();
    this.#keepConnected();
  }

  /** For whom connections to open is known in advance only where there are no tenants. */
  #keepWarm(pool: LinkPool): void {
    if (this.catalog.tenants.size > 0) {
      pool.keep(KEPT_TENANT_CONNECTIONS);
      return;
    }
    pool.keep(WARM_CONNECTIONS);
    pool.warm();
  }

  /** The holder of the duty opens connections to the others that were lost: over them it is asked for evidence. */
  #keepConnected(): void {
    const now = this.options.now();
    if (!this.isDutyHolder || now - this.#connectedAtMs < RECONNECT_MS) return;
    this.#connectedAtMs = now;
    this.#mesh.connectAll(this.#daemons.live);
  }

  #suspect(groupName: string, member: Member, reason: string): void {
    const group = this.#groups.get(groupName)?.group;
    if (group === undefined) member.avoid(this.options.now());
    else this.#doubts.suspect(group, member, reason);
  }

  /** Tells the holder of the duty of a doubt. */
  #tellHolder(suspicion: Suspicion): void {
    if (this.isDutyHolder) this.#heed(suspicion);
    else this.#mesh.suspect(suspicion);
  }

  /** An order of the holder of the duty. */
  #obey(order: HolderOrder): OrderAnswer {
    const watched = this.#groups.get(order.groupName);
    if (watched === undefined)
      return { latest: ZERO_POSITION, limit: this.#hasForgotten(order.groupName) ? null : ZERO_POSITION };
    const { group, watcher } = watched;
    this.options.log('order', { ...order });
    switch (order.kind) {
      case 'revoke':
        group.evidence.revoke(order.term, this.options.now());
        break;
      case 'seal':
        group.evidence.seal(order.term, this.options.now());
        if (order.call !== undefined) group.calls.note(order.call, this.options.now());
        break;
      case 'allow':
        group.evidence.allowAgain();
        group.calls.clear();
        break;
      case 'leader':
        group.learnLeader({ memberId: order.memberId, term: order.term }, order.held);
        if (order.call === undefined) group.calls.clear();
        else group.calls.note(order.call, this.options.now());
        break;
    }
    group.changed.notify();
    watcher.wake();
    const { acknowledged, lastLed } = group;
    const { newest } = group.positions;
    const openCall = group.calls.open(this.options.now());
    return {
      ...acknowledged,
      ...this.#counted(group.name),
      ...(lastLed === null ? {} : { lastLed }),
      ...(openCall === null ? {} : { openCall }),
      ...(newest === null
        ? {}
        : { led: { position: newest.position, ageMs: this.options.now() - newest.askedAtMs } }),
    };
  }

  /**
   * For how long this process has kept count: the earlier one at its address had let go of the port on which this one takes orders.
   * What runs on at a group that was dropped is counted nowhere.
   */
  #counted(groupName: string): Pick<OrderAnswer, 'countedMs'> {
    const isKnown = this.#registration.isAtFormerAddress && !this.#droppedGroups.has(groupName);
    return isKnown ? { countedMs: this.options.now() - this.#listensFromMs } : {};
  }

  /** True when this daemon may have acknowledged commits of a group before it last began to watch it. */
  #hasForgotten(groupName: string): boolean {
    return this.#registration.hasPredecessor || this.#droppedGroups.has(groupName);
  }

  /** Some daemons look whether the one that gave them orders has ended: the next holder of the duty has to know since when. */
  #lookForEndOf(host: string): void {
    if (this.#isStopped) return;
    const holder = this.#daemons.live.find((record) => record.host === host);
    if (holder === undefined) return;
    const others = this.#daemons.live.filter((record) => record !== holder);
    const looking = preferredDaemons(holder.name, others, END_WATCHERS);
    if (looking.some(({ name }) => name === this.options.self.name))
      this.#runForever(this.#mesh.lookForEnd(holder));
  }

  /** Another daemon doubts a leader. */
  #heed(suspicion: Suspicion): void {
    this.#supervision.suspect(suspicion.groupName, suspicion);
  }

  #keysChanged(): void {
    const { registered, leased, unreadable } = readDaemons(this.watched.items, this.options.faults);
    if (this.#daemons.update(registered, leased, this.options.now())) this.#daemonsChanged();
    this.#duty.look();
    if (!this.#isDutyStarted) this.#startDuty(registered, unreadable);
    this.#lookForLostRecords();
    this.#runForever(this.#duty.keysChanged());
  }

  /** In each later era of the store; in a large fleet only those who follow it for the others. */
  #lookForLostRecords(): void {
    if (!this.#lostRecords.isDue(this.watched.revision.era)) return;
    const delegates = this.#delegations.of('store');
    const isCalled = delegates === null || delegates.some(({ name }) => name === this.options.self.name);
    if (isCalled) this.#runForever(this.#lostRecords.restore());
  }

  /** Registers once it is known what the store has of this daemon from before. */
  #startDuty(registered: ReadonlyMap<string, DaemonRecord>, unreadable: ReadonlySet<string>): void {
    this.#isDutyStarted = true;
    const isBehind = this.#duty.isRegisterBehind;
    this.#registration.firstLook(registered, this.options.now(), { unreadable, isBehind });
    this.#runForever(this.#duty.run());
  }

  #daemonsChanged(): void {
    this.watched.watchers = Math.max(1, this.#daemons.live.length);
    this.#assignments.clear();
    this.#delegations.clear();
    this.#gatewayClient.retain(this.#daemons.live);
    this.#quotas.daemonsChanged();
    if (this.isDutyHolder) this.#mesh.connectAll(this.#daemons.live);
  }

  /** True when the process of a former holder of the duty has certainly ended. */
  async #isEnded({ name, life }: DutyHolder): Promise<boolean> {
    const record = this.#daemons.find(name);
    if (record === null) return false;
    return record.life !== life || this.#mesh.isGone(record);
  }

  #dutyTaken(fence: number): void {
    this.options.log('duty_taken', { fence });
    this.#mesh.connectAll(this.#daemons.live);
    for (const { group } of this.#groups.values()) {
      group.evidence.unconfirm();
      this.#supervision.begin(group);
    }
  }

  #dutyLost(reason: string): void {
    this.options.log('duty_lost', { reason });
    this.#mayConnectUntilMs = this.options.now() + DUTY_WIND_UP_MS;
    this.#mesh.disconnectAll();
    this.#supervision.endAll();
    for (const { group } of this.#groups.values()) group.evidence.unconfirm();
  }

  /** Daemons that connect to a member themselves, and so can tell that it is out of reach. */
  #callerCount(group: MemberGroup, memberId: string): number {
    const member = group.members.get(memberId);
    const gateways = member === undefined ? null : this.#assignments.of(member.entry).gateways;
    return gateways?.length ?? this.#daemons.live.length;
  }

  /** Gives an order to all other daemons, or to some of them. */
  #order(order: HolderOrder, timeoutMs: number, recipients?: Recipients): Promise<OrderOutcomes> {
    const known = this.#daemons.known(this.options.now());
    if (recipients !== undefined && 'only' in recipients)
      return this.#mesh.order(
        known.filter(({ name }) => recipients.only.has(name)),
        order,
        timeoutMs,
      );
    const isMeant = ({ name }: DaemonRecord): boolean => recipients?.except.has(name) !== true;
    const ports = {
      known: () => known.filter(isMeant),
      readRegister: async () => (await listLeasedDaemons(this.options.store)).filter(isMeant),
      isRegisterBehind: () => this.#duty.isRegisterBehind,
      send: this.#mesh.order.bind(this.#mesh),
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
      callerCount: (memberId) => this.#callerCount(group, memberId),
      isLent: (memberId) => group.members.get(memberId)?.pool.hasGateways ?? false,
      confirmLeader: () => {
        const watcher = this.#groups.get(group.name)?.watcher;
        watcher?.confirm();
        watcher?.wake();
      },
      log: options.log,
      now: options.now,
    };
  }

  /** A loop of the daemon ended with an error that nothing expects: the process must not go on without it. */
  #runForever(loop: Promise<void>): void {
    loop.catch((error: unknown) => {
      const details = { error: error instanceof Error ? (error.stack ?? error.message) : String(error) };
      this.options.log('loop_failed', details);
      throw error;
    });
  }
}
