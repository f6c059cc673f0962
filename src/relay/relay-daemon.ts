/**
 * Puts the parts of a relay daemon together: sessions, groups of members, evidence of leaders, the duty.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { DaemonDirectory } from '../cluster/daemon-directory.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { chooseDelegates } from '../cluster/delegates.js';
import { deliverOrder, type OrderOutcomes } from '../cluster/order-delivery.js';
import { Registration } from '../cluster/registration.js';
import {
  PeerMesh,
  type HolderOrder,
  type OrderAnswer,
  type Suspicion,
  type SuspicionReason,
} from '../cluster/peer-mesh.js';
import type { CoordinationStore } from '../coordination/coordination-store.js';
import type { DutyHolder } from '../coordination/duty-record.js';
import { COORDINATION_PREFIX, Duty, listLeasedDaemons, readDaemons } from '../coordination/duty.js';
import { DelegatedFeed, WORST_LAG_MS } from '../coordination/change-feed.js';
import { ChangeRelay } from '../coordination/change-relay.js';
import { WatchedStore } from '../coordination/watched-store.js';
import { assignGateways, type Assignment } from '../gateway/assign-gateways.js';
import { GatewayClient } from '../gateway/gateway-client.js';
import { GatewayServer } from '../gateway/gateway-server.js';
import { connectsItself, MemberConnections } from '../gateway/member-connections.js';
import { GroupSupervisor, type PromotionPort } from '../leadership/group-supervisor.js';
import { EvidenceSharing } from '../leadership/evidence-sharing.js';
import { LeadershipWatcher } from '../leadership/leadership-watcher.js';
import { MemberControl } from '../leadership/member-control.js';
import type { RelayState } from '../observability/relay-metrics.js';
import { Catalog, type CatalogDocument } from '../topology/catalog.js';
import { Member, MemberGroup, type MemberEntry } from '../topology/member-group.js';
import { LinkPool } from './link-pool.js';
import type { MemberDialer, StatusReader } from './member-link.js';
import type { RelayContext, RelayObserver } from './relay-context.js';
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
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
  random(): number;
}

/** Connections of a member that no daemon plans with. */
const RESERVED_CONNECTIONS = 3;
/** Most connections of a member that are planned with, for each of its slots: opening one takes a slot for a while. */
const CONNECTIONS_PER_SLOT = 12;
/** Connections that a gateway holds open in advance. */
const WARM_CONNECTIONS = 2;
/**
 * For how long a daemon that has just started keeps to a part of its connections: members may still count those
 * of daemons that lost power, in milliseconds.
 */
const YOUNG_MS = 3500;
const YOUNG_SHARE = 0.5;
/** Daemons planned with before the others are known. */
const ASSUMED_DAEMONS = 8;
/** Time between looks at silence and departures, in milliseconds. */
const TICK_MS = 50;
/** Time for which a commit may go without an answer before the holder of the duty is told, in milliseconds. */
const STALL_MS = 350;
/** Least time between two of the same doubts about a group, in milliseconds. */
const TELL_MS = 80;
/** Silence after which the holder of the duty is told to look at a leader, in milliseconds. */
const LEADER_SILENCE_MS = 200;
/** Share of failed requests from which on the holder of the duty is told of a leader. */
const FAILING_SHARE = 0.25;
/** Silence after which a member is avoided, in milliseconds. */
const SILENCE_MS = 350;
/** Silence after which its connections are ended, in milliseconds. */
const DEAD_MS = 1200;
const DIAL_MS = 400;
const LIMIT_BACKOFF_MS = 100;
/** Time after which a connection that is not needed is ended, in milliseconds. */
const IDLE_MS = 800;
/** Part of the time to leave after which a leaving member is given no work at all. */
const LEAVE_SHARE = 0.75;
/** Least part of that time that is kept for requests under way, in milliseconds. */
const LEAVE_MARGIN_MS = 500;
/** For how long a member whose entry is gone may still run, in milliseconds. */
const FORMER_MS = 30_000;
/** Time after the store is back in which vanished entries mean nothing, in heartbeats. */
const TRUST_HEARTBEATS = 4;
/** Time for which an entry is gone before its member counts as leaving, in heartbeats. */
const GONE_HEARTBEATS = 1.2;

interface WatchedGroup {
  readonly group: MemberGroup;
  readonly watcher: LeadershipWatcher;
  supervisor: GroupSupervisor | null;
}

/** A relay daemon without its sockets towards clients. */
export class RelayDaemon {
  readonly catalog = new Catalog();
  /** The copy of the store; whoever makes the daemon runs it. */
  readonly watched: WatchedStore;
  readonly #groups = new Map<string, WatchedGroup>();
  readonly #entries = new Map<string, MemberEntry>();
  /** Members that left and must not be used, though their entries may still stand. */
  readonly #retired = new Set<string>();
  readonly #control: MemberControl;
  readonly #mesh: PeerMesh;
  readonly #duty: Duty;
  readonly #context: RelayContext;
  readonly #daemons = new DaemonDirectory();
  readonly #registration: Registration;
  #isDutyStarted = false;
  /** Who follows the store for all, until the daemons change. */
  #followers: readonly DaemonRecord[] | null | undefined = undefined;
  readonly #gatewayClient: GatewayClient;
  readonly #gatewayServer: GatewayServer;
  readonly #sharing: EvidenceSharing;
  /** Who connects to each member, until something changes that it depends on. */
  readonly #assignments = new Map<string, Assignment>();
  #isDirectoryLoaded = false;
  #isDirectoryAvailable = false;
  #directoryTrustedFromMs = Number.POSITIVE_INFINITY;
  #isReady = false;
  #tickTimer: NodeJS.Timeout | null = null;
  #isStopped = false;
  readonly #toldAtMs = new Map<string, number>();
  #startedAtMs = 0;

  constructor(private readonly options: RelayDaemonOptions) {
    const { self, store, dialer, readStatus, now, random } = options;
    this.#registration = new Registration(self);
    this.#control = new MemberControl({ dialer, readStatus, now });
    this.#mesh = new PeerMesh(self, {
      order: (order) => this.#obey(order),
      suspicion: (suspicion) => this.#heed(suspicion),
      ownEvidence: () => this.#sharing.ownEvidence(),
    });
    this.#gatewayClient = new GatewayClient(self.host, now, random);
    const feed = new DelegatedFeed({
      store,
      ownName: self.name,
      zone: options.zone,
      delegates: () => this.#storeFollowers(),
      mustBeDirect: () => this.isDutyHolder,
      ask: this.#gatewayClient.askChanges.bind(this.#gatewayClient),
      log: options.log,
      now,
      random,
    });
    this.watched = new WatchedStore({ feed, log: options.log, now, random });
    const changeRelay = new ChangeRelay(this.watched.changes, now);
    this.watched.subscribe(COORDINATION_PREFIX, {
      changed: () => undefined,
      removed: () => undefined,
      settled: () => this.#keysChanged(),
      availability: (isAvailable) => this.#daemons.availability(isAvailable, now()),
    });
    this.#gatewayServer = new GatewayServer({
      pool: (groupName, memberId) => this.#lendablePool(groupName, memberId),
      ownEvidence: () => this.#sharing.ownEvidence(),
      changes: (afterRevision, waitMs) => changeRelay.ask(afterRevision, waitMs),
    });
    this.#sharing = new EvidenceSharing({
      ownName: self.name,
      zone: options.zone,
      groups: () => this.groups,
      daemons: () => this.#daemons.live,
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
    );
    this.#context = {
      catalog: this.catalog,
      zone: options.zone,
      observer: options.observer,
      group: (name) => this.#groups.get(name)?.group ?? null,
      now,
      suspect: (group, member, reason) => this.#suspect(group, member, reason),
    };
  }

  /** True once requests can be served; stays so. */
  get isReady(): boolean {
    if (!this.#isReady) this.#isReady = this.#canServe();
    return this.#isReady;
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
    await this.#gatewayServer.listen(host, gatewayPort);
    this.#duty.prepare();
    this.#runForever(this.#sharing.run());
    this.#tickTimer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Daemons that take part in the work, this one included. */
  get liveDaemons(): number {
    return this.#daemons.live.length;
  }

  /** Loans of other daemons that are not returned yet. */
  get openLoans(): number {
    return this.#gatewayServer.openLoans;
  }

  /** Gives up the duty and lends no more; sessions and open loans go on. */
  async retire(): Promise<void> {
    this.#gatewayServer.leave();
    await Promise.race([this.#duty.stop(), delay(500)]);
  }

  /** Ends everything. */
  stop(): void {
    this.#isStopped = true;
    if (this.#tickTimer !== null) clearInterval(this.#tickTimer);
    this.#sharing.stop();
    this.#mesh.close();
    this.#gatewayServer.close();
    this.#gatewayClient.close();
    for (const watched of this.#groups.values()) this.#forgetGroup(watched);
  }

  /** Opens a session on a database. */
  openSession(database: string): Session {
    return new Session(this.#context, database);
  }

  /** Takes a configuration if it is newer. */
  offerCatalog(document: CatalogDocument): boolean {
    if (!this.catalog.offer(document)) return false;
    this.#assignments.clear();
    this.#syncGroups(document);
    return true;
  }

  /** The directory describes a member. */
  memberListed(entry: MemberEntry): void {
    this.#entries.set(entry.memberId, entry);
    const watched = this.#groups.get(entry.groupName);
    if (watched !== undefined) this.#place(watched, entry);
  }

  /** The directory lists a member no longer. */
  memberUnlisted(memberId: string): void {
    const entry = this.#entries.get(memberId);
    if (entry === undefined) return;
    this.#entries.delete(memberId);
    this.#retired.delete(memberId);
    const member = this.#groups.get(entry.groupName)?.group.members.get(memberId);
    if (member !== undefined) member.missingSinceMs = this.options.now();
    const former = this.#groups.get(entry.groupName)?.group.former.get(memberId);
    if (former !== undefined) former.missingSinceMs = this.options.now();
  }

  /** The directory has been read whole. */
  directoryLoaded(): void {
    this.#isDirectoryLoaded = true;
    this.directoryAvailability(true);
  }

  /** The directory answers, or has stopped to. */
  directoryAvailability(isAvailable: boolean): void {
    if (isAvailable === this.#isDirectoryAvailable) return;
    this.#isDirectoryAvailable = isAvailable;
    const trustMs = TRUST_HEARTBEATS * this.options.heartbeatMs;
    this.#directoryTrustedFromMs = isAvailable ? this.options.now() + trustMs : Number.POSITIVE_INFINITY;
  }

  #canServe(): boolean {
    const { document } = this.catalog;
    if (document === null || !this.#isDirectoryLoaded) return false;
    const now = this.options.now();
    return this.groups.every((group) => group.leader(now) !== null);
  }

  /** Groups follow the routes: one is watched while a route leads to it. */
  #syncGroups(document: CatalogDocument): void {
    const wanted = new Set([...document.routes.values()].map((route) => route.groupName));
    for (const name of wanted) if (!this.#groups.has(name)) this.#addGroup(name);
    for (const [name, watched] of this.#groups) {
      if (wanted.has(name)) continue;
      this.#groups.delete(name);
      this.#forgetGroup(watched);
    }
  }

  #addGroup(name: string): void {
    const { options } = this;
    const group = new MemberGroup(name, () => this.#registration.countsFromMs);
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
      options.now,
    );
    const watched: WatchedGroup = { group, watcher, supervisor: null };
    this.#groups.set(name, watched);
    for (const entry of this.#entries.values()) if (entry.groupName === name) this.#place(watched, entry);
    this.#runForever(watcher.run());
    if (this.isDutyHolder) this.#supervise(watched);
  }

  #forgetGroup(watched: WatchedGroup): void {
    watched.watcher.stop();
    watched.supervisor?.stop();
    for (const member of watched.group.members.values()) member.pool.own.close();
  }

  #place(watched: WatchedGroup, entry: MemberEntry): void {
    const { group } = watched;
    const known = group.members.get(entry.memberId);
    if (known === undefined) {
      if (this.#retired.has(entry.memberId)) return;
      this.#addMember(watched, entry);
      group.former.delete(entry.memberId);
    } else {
      known.missingSinceMs = null;
      if (known.entry.saysPrimary !== entry.saysPrimary) this.#roleChanged(watched, entry);
      known.entry = entry;
      if (!entry.isDraining) known.leavingSinceMs = null;
    }
    if (entry.isDraining) this.#leaves(watched, group.members.get(entry.memberId), 'draining');
    group.changed.notify();
    watched.watcher.wake();
  }

  #addMember(watched: WatchedGroup, entry: MemberEntry): void {
    const { options } = this;
    const pool: LinkPool = new LinkPool({
      dialer: options.dialer,
      address: entry,
      budget: () => this.#budget(member),
      dialTimeoutMs: DIAL_MS,
      limitBackoffMs: LIMIT_BACKOFF_MS,
      idleMs: IDLE_MS,
      onTrouble: (reason) => this.#suspect(watched.group, member, reason),
      now: options.now,
    });
    const connections = new MemberConnections({
      groupName: entry.groupName,
      memberId: entry.memberId,
      pool,
      gateways: this.#gatewayClient,
      assignment: () => this.#assignment(member),
      ownName: options.self.name,
    });
    const member: Member = new Member(entry, connections);
    watched.group.members.set(entry.memberId, member);
    options.log('member_in', {
      group: entry.groupName,
      member: entry.memberId,
      zone: entry.zone,
      primary: entry.saysPrimary,
    });
  }

  #roleChanged(watched: WatchedGroup, entry: MemberEntry): void {
    const { group } = watched;
    const isLeader = group.evidence.leader?.memberId === entry.memberId;
    this.options.log('member_role', {
      group: group.name,
      member: entry.memberId,
      primary: entry.saysPrimary,
    });
    if (isLeader === entry.saysPrimary) return;
    group.evidence.loseLeader();
    watched.supervisor?.suspect();
  }

  #leaves(watched: WatchedGroup, member: Member | undefined, reason: string): void {
    if (member === undefined || member.isLeaving) return;
    member.leavingSinceMs = this.options.now();
    this.options.log('member_leaves', { group: watched.group.name, member: member.entry.memberId, reason });
    watched.supervisor?.suspect();
  }

  /** Connections that this daemon may have to a member. */
  #budget(member: Member): number {
    const assignment = this.#assignment(member);
    if (!connectsItself(assignment, this.options.self.name)) return 0;
    const isYoung = this.options.now() - this.#startedAtMs < YOUNG_MS;
    return Math.max(1, Math.floor(isYoung ? assignment.budget * YOUNG_SHARE : assignment.budget));
  }

  /** True when other daemons borrow connections to a member from this one. */
  #isGateway(member: Member): boolean {
    const { gateways } = this.#assignment(member);
    return gateways !== null && gateways.some(({ name }) => name === this.options.self.name);
  }

  #assignment(member: Member): Assignment {
    const { memberId, groupName, zone, slots } = member.entry;
    const known = this.#assignments.get(memberId);
    if (known !== undefined) return known;
    const limit = this.catalog.document?.groups.get(groupName)?.maxConnections ?? 0;
    const connections = Math.max(1, Math.min(limit - RESERVED_CONNECTIONS, slots * CONNECTIONS_PER_SLOT));
    const daemons = this.#daemons.live;
    const assignment =
      daemons.length === 0
        ? { gateways: null, budget: Math.floor(connections / ASSUMED_DAEMONS) }
        : assignGateways(daemons, { memberId, zone, connections });
    this.#assignments.set(memberId, assignment);
    return assignment;
  }

  /** The pool of a member from which other daemons may borrow, or `null`. */
  #lendablePool(groupName: string, memberId: string): LinkPool | null {
    const member = this.#groups.get(groupName)?.group.members.get(memberId);
    if (member === undefined) return null;
    return connectsItself(this.#assignment(member), this.options.self.name) ? member.pool.own : null;
  }

  #tick(): void {
    const now = this.options.now();
    for (const watched of this.#groups.values()) {
      this.#checkStall(watched.group, now);
      this.#checkFailures(watched.group, now);
      for (const member of [...watched.group.members.values()]) {
        this.#checkSilence(watched.group, member, now);
        this.#checkDeparture(watched, member, now);
        member.pool.own.trim();
        if (this.#isGateway(member)) member.pool.own.warm(WARM_CONNECTIONS);
      }
      this.#forgetFormer(watched.group, now);
    }
    this.#control.trim();
    this.#gatewayClient.check();
    if (this.#daemons.refresh(now)) this.#daemonsChanged();
  }

  /** A former member whose entry has been gone for long has ended. */
  #forgetFormer(group: MemberGroup, now: number): void {
    for (const [memberId, member] of group.former) {
      if (member.missingSinceMs === null || now - member.missingSinceMs < FORMER_MS) continue;
      group.former.delete(memberId);
      this.#control.forget(memberId);
    }
  }

  /** Commits at a leader that answers but cannot reach its replicas. */
  #checkStall(group: MemberGroup, now: number): void {
    if (group.commitWaitMs(now) < STALL_MS) return;
    const leader = group.leader(now);
    if (leader !== null) this.#tellHolder(group, leader, 'stalled');
  }

  /** A leader that fails requests though it seems well: another can take its place. */
  #checkFailures(group: MemberGroup, now: number): void {
    const leader = group.leader(now);
    if (leader !== null && leader.failureShare(now) > FAILING_SHARE)
      this.#tellHolder(group, leader, 'failing');
  }

  #checkSilence(group: MemberGroup, member: Member, now: number): void {
    const silence = member.pool.own.silenceMs(now);
    if (silence >= LEADER_SILENCE_MS && silence < LEADER_SILENCE_MS + TICK_MS) this.#doubt(group, member);
    if (silence < SILENCE_MS) return;
    this.#suspect(group, member, 'silent');
    member.pool.own.failWaiters('the member is silent');
    if (silence >= DEAD_MS) member.pool.own.dropAll();
  }

  #checkDeparture(watched: WatchedGroup, member: Member, now: number): void {
    const isGone =
      member.missingSinceMs !== null &&
      now >= this.#directoryTrustedFromMs &&
      now - member.missingSinceMs > GONE_HEARTBEATS * this.options.heartbeatMs;
    if (isGone) this.#leaves(watched, member, 'unlisted');
    if (member.leavingSinceMs === null) return;
    if (now - member.leavingSinceMs < this.#serveLeavingMs()) return;
    const { memberId } = member.entry;
    watched.group.members.delete(memberId);
    watched.group.former.set(memberId, member);
    if (this.#entries.has(memberId)) this.#retired.add(memberId);
    member.pool.own.close();
    this.#assignments.delete(memberId);
    if (watched.group.evidence.leader?.memberId === memberId) watched.group.evidence.loseLeader();
    this.options.log('member_out', { group: watched.group.name, member: memberId });
  }

  /** For how long a leaving member is given work since this daemon heard of it, in milliseconds. */
  #serveLeavingMs(): number {
    const { leaveMs } = this.options;
    const lagMs = this.#storeFollowers() === null ? 0 : WORST_LAG_MS;
    return Math.min(leaveMs * LEAVE_SHARE, leaveMs - LEAVE_MARGIN_MS - lagMs);
  }

  #suspect(group: MemberGroup, member: Member, reason: string): void {
    const now = this.options.now();
    const watched = this.#groups.get(group.name);
    const isLeader = group.evidence.leader?.memberId === member.entry.memberId;
    if (reason === 'read_only') {
      if (isLeader) group.evidence.loseLeader();
    } else {
      if (!member.isAvoided(now))
        this.options.log('member_suspected', { group: group.name, member: member.entry.memberId, reason });
      member.avoid(now);
    }
    if (watched === undefined || (!isLeader && reason !== 'read_only')) return;
    watched.watcher.wake();
    this.#tellHolder(group, member, suspicionReason(reason));
  }

  /** A leader may be in trouble: the holder of the duty is to look at it. */
  #doubt(group: MemberGroup, member: Member): void {
    if (group.evidence.leader?.memberId === member.entry.memberId) this.#tellHolder(group, member, 'silent');
  }

  #tellHolder(group: MemberGroup, member: Member, reason: SuspicionReason): void {
    const now = this.options.now();
    const key = `${group.name} ${reason}`;
    if (now - (this.#toldAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < TELL_MS) return;
    this.#toldAtMs.set(key, now);
    const { memberId } = member.entry;
    const suspicion = { groupName: group.name, memberId, reason, reporter: this.options.self.name };
    if (this.isDutyHolder) this.#groups.get(group.name)?.supervisor?.suspect(suspicion);
    else this.#mesh.suspect(suspicion);
  }

  /** An order of the holder of the duty. */
  #obey(order: HolderOrder): OrderAnswer {
    const watched = this.#groups.get(order.groupName);
    if (watched === undefined) return { acknowledged: { term: 0, index: 0 } };
    const { group, watcher } = watched;
    this.options.log('order', { ...order });
    switch (order.kind) {
      case 'revoke':
        group.evidence.revoke(order.term, this.options.now());
        break;
      case 'allow':
        group.evidence.allowAgain();
        break;
      case 'leader':
        group.evidence.believe({ memberId: order.memberId, term: order.term });
        break;
    }
    group.changed.notify();
    watcher.wake();
    return { acknowledged: group.acknowledged };
  }

  /** Another daemon doubts a leader. */
  #heed(suspicion: Suspicion): void {
    const watched = this.#groups.get(suspicion.groupName);
    if (watched === undefined) return;
    watched.supervisor?.suspect(suspicion);
  }

  #keysChanged(): void {
    const { registered, leased } = readDaemons(this.watched.items);
    this.#daemons.update(registered, leased, this.options.now());
    this.#daemonsChanged();
    if (!this.#isDutyStarted) this.#startDuty(registered);
    this.#runForever(this.#duty.keysChanged());
  }

  /** Registers once it is known what the store has of this daemon from before. */
  #startDuty(registered: ReadonlyMap<string, DaemonRecord>): void {
    this.#isDutyStarted = true;
    this.#registration.firstLook(registered);
    this.#runForever(this.#duty.run());
  }

  #daemonsChanged(): void {
    this.watched.watchers = Math.max(1, this.#daemons.live.length);
    this.#assignments.clear();
    this.#followers = undefined;
    this.#gatewayClient.retain(this.#daemons.live);
    if (this.isDutyHolder) this.#mesh.connectAll(this.#daemons.live);
  }

  /** The daemons that follow the store on behalf of all; `null` when everybody does. */
  #storeFollowers(): readonly DaemonRecord[] | null {
    if (this.#followers === undefined) this.#followers = chooseDelegates('store', this.#daemons.live);
    return this.#followers;
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
    for (const watched of this.#groups.values()) {
      watched.group.evidence.unconfirm();
      this.#supervise(watched);
    }
  }

  #dutyLost(reason: string): void {
    this.options.log('duty_lost', { reason });
    this.#mesh.disconnectAll();
    for (const watched of this.#groups.values()) {
      watched.supervisor?.stop();
      watched.supervisor = null;
      watched.group.evidence.unconfirm();
    }
  }

  /** Daemons that connect to a member themselves, and so can tell that it is out of reach. */
  #callerCount(group: MemberGroup, memberId: string): number {
    const member = group.members.get(memberId);
    const gateways = member === undefined ? null : this.#assignment(member).gateways;
    return gateways?.length ?? this.#daemons.live.length;
  }

  /** Gives an order to all other daemons. */
  #order(order: HolderOrder, timeoutMs: number): Promise<OrderOutcomes> {
    const ports = {
      known: () => this.#daemons.known(this.options.now()),
      readRegister: () => listLeasedDaemons(this.options.store),
      send: this.#mesh.order.bind(this.#mesh),
    };
    return deliverOrder(ports, order, timeoutMs);
  }

  #supervise(watched: WatchedGroup): void {
    const { options } = this;
    watched.supervisor?.stop();
    const supervisor = new GroupSupervisor(watched.group, {
      control: this.#control,
      promotion: options.promotion,
      heldFence: (reserveMs) => this.#duty.heldFence(reserveMs),
      order: (order, timeoutMs) => this.#order(order, timeoutMs),
      callerCount: (memberId) => this.#callerCount(watched.group, memberId),
      confirmLeader: () => {
        watched.watcher.confirm();
        watched.watcher.wake();
      },
      log: options.log,
      now: options.now,
    });
    watched.supervisor = supervisor;
    this.#runForever(supervisor.run());
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

function suspicionReason(reason: string): SuspicionReason {
  if (reason === 'silent') return 'silent';
  return reason === 'read_only' ? 'denied' : 'refused';
}
