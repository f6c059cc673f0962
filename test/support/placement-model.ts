/**
 * A model of daemons that place reads on the members of one group, without a network. Time is simulated.
 *
 * @packageDocumentation
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { MemberConnections } from '../../src/gateway/member-connections.js';
import { readLoadReport } from '../../src/placement/load-report.js';
import { MemberLoads } from '../../src/placement/member-load.js';
import type { PendingRead } from '../../src/placement/pending-reads.js';
import { Placement } from '../../src/placement/placement.js';
import { RecentLatency } from '../../src/placement/recent-latency.js';
import { ZoneLatency } from '../../src/placement/zone-latency.js';
import { readCandidates, readPreferences } from '../../src/relay/read-candidates.js';
import type { RelayContext } from '../../src/relay/relay-context.js';
import { Catalog } from '../../src/topology/catalog.js';
import { Member, MemberGroup } from '../../src/topology/member-group.js';
import { selectReadMember } from '../../src/topology/select-member.js';

/** Concurrent requests of a member. */
const SLOTS = 4;
/** Interval between the reports that all daemons hear, in milliseconds. */
const REPORT_INTERVAL_MS = 250;
/** Connections of a gateway to a member. */
const CONNECTIONS = 4;
const FLOOR = { position: { term: 1, index: 1 }, reachedAtMs: 0 };
const NONE: ReadonlySet<string> = new Set();

/** Parameters of a {@link PlacementModel}. */
export interface ModelOptions {
  readonly daemons: number;
  /** Zone of each member. */
  readonly memberZones: readonly string[];
  /** Gateways of each member. */
  readonly gateways: number;
  /** True if all daemons hear each report; otherwise only the daemon to whose request the gateway replies. */
  readonly isReportBroadcast: boolean;
  /** Zone of all daemons. */
  readonly daemonZone: string;
  /** Round trip to each member's zone, in milliseconds. */
  readonly roundTripsMs: readonly number[];
  /** Service time of each member, in milliseconds. */
  readonly serviceMs: number[];
  /** Share of its requests that each member fails, 0 to 1. */
  readonly failureShares?: number[];
  /** Requests per second of all daemons together. */
  readonly ratePerS: number;
  /** Requests per second that each member gets from elsewhere, such as the writes of a leader. */
  readonly otherRatesPerS?: readonly number[];
  /** What the daemons receive as a member's report; `null` for nothing. */
  readonly report?: (report: object) => unknown;
}

/** A request on its way through a gateway to a member. */
interface Request {
  /** `null` for a request from elsewhere. */
  readonly daemon: ModelDaemon | null;
  readonly read: PendingRead | null;
  readonly gateway: ModelGateway;
  readonly sentAtMs: number;
}

/** A gateway's pool of connections to one member. */
class ModelGateway {
  readonly waiting: Request[] = [];
  readonly recentLatency = new RecentLatency();
  inUse = 0;

  constructor(readonly name: string) {}
}

/** A member's slots, its queue and its gateways. */
class ModelMember {
  readonly queue: Request[] = [];
  readonly running: { readonly request: Request; readonly endMs: number }[] = [];
  readonly gateways: readonly ModelGateway[];

  constructor(gateways: number) {
    this.gateways = Array.from({ length: gateways }, (_, index) => new ModelGateway(`g${index}`));
  }
}

/** One daemon with what it has measured and heard. */
class ModelDaemon {
  readonly loads = new MemberLoads();
  readonly group = new MemberGroup('g');
  readonly placement: Placement;
  readonly #zoneLatency = new ZoneLatency();
  readonly #context: RelayContext;
  /** Requests in progress, by member. */
  readonly #ownRequests: number[] = [];

  constructor(model: PlacementModel, { memberZones, daemonZone, roundTripsMs }: ModelOptions) {
    const own = this.#ownRequests;
    const now = (): number => model.nowMs;
    const random = (): number => model.random();
    for (const [index, zone] of memberZones.entries()) {
      const memberId = `m${index}`;
      this.#zoneLatency.record(zone, roundTripsMs[index] ?? 0, 0);
      const entry = { memberId, groupName: 'g', host: 'h', port: 1, zone, slots: SLOTS };
      const pool = {
        hasGateways: true,
        get load() {
          return own[index] ?? 0;
        },
        reportedLoad: () => loads.average(memberId, model.gatewaysOf(index), now()),
      };
      const member = { ...entry, isDraining: false, saysPrimary: false, bornMs: null };
      this.group.members.set(memberId, new Member(member, pool as unknown as MemberConnections));
    }
    const { loads } = this;
    const zoneLatency = this.#zoneLatency;
    this.placement = new Placement({ zone: daemonZone, loads, zoneLatency, log: model.log, now, random });
    const { placement } = this;
    this.#context = { catalog: new Catalog(), zone: daemonZone, now, placement } as unknown as RelayContext;
  }

  /** Records that a request was sent to a member. */
  started({ entry }: Member): void {
    this.#count(entry.memberId, 1);
  }

  /** Records that a request to a member has ended. */
  ended({ entry }: Member): void {
    this.#count(entry.memberId, -1);
  }

  #count(memberId: string, change: number): void {
    const index = Number(memberId.slice(1));
    this.#ownRequests[index] = (this.#ownRequests[index] ?? 0) + change;
  }

  /** The member that a read goes to. */
  choose(): Member {
    const requirements = { floor: FLOOR, excluded: NONE };
    const candidates = readCandidates(this.#context, this.group, { ...requirements, tenantName: '' });
    const choice = selectReadMember(candidates, requirements, readPreferences(this.#context, ''));
    const member = this.group.members.get(choice?.memberId ?? '');
    if (member === undefined) throw new Error('no member was chosen');
    return member;
  }
}

/** Runs the model and counts the requests of each member. */
export class PlacementModel {
  nowMs = 1;
  /** Requests sent to each member since the counts were last taken. */
  #sent: number[];
  /** Events that daemons logged. */
  readonly events: string[] = [];
  /** Response times of the answers since the last call of {@link PlacementModel.run}, in milliseconds. */
  answerTimesMs: number[] = [];
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #members: ModelMember[];
  readonly #daemons: ModelDaemon[];

  constructor(
    readonly options: ModelOptions,
    seed: number,
  ) {
    this.#random = xoroshiro128plus(seed);
    this.#members = options.memberZones.map(() => new ModelMember(options.gateways));
    this.#sent = options.memberZones.map(() => 0);
    this.#daemons = Array.from({ length: options.daemons }, () => new ModelDaemon(this, options));
  }

  readonly log = (event: string): void => void this.events.push(event);

  gatewaysOf(member: number): readonly ModelGateway[] {
    return this.#members[member]?.gateways ?? [];
  }

  random(): number {
    return uniformFloat64(this.#random);
  }

  /** Runs for a time; returns the share of each member in the requests sent meanwhile. */
  run(durationMs: number): readonly number[] {
    this.#sent = this.#sent.map(() => 0);
    this.answerTimesMs = [];
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += 1) this.#step();
    const total = this.#sent.reduce((sum, count) => sum + count, 0);
    return this.#sent.map((count) => count / total);
  }

  #step(): void {
    if (this.options.isReportBroadcast && this.nowMs % REPORT_INTERVAL_MS === 0) this.#broadcastReports();
    for (const [index, member] of this.#members.entries()) this.#serve(index, member);
    // At most one request arrives in a millisecond, so the rate has to be below 1,000 per second.
    if (this.random() < this.options.ratePerS / 1000) this.#arrive();
    for (const [index, ratePerS] of this.options.otherRatesPerS?.entries() ?? [])
      if (this.random() < ratePerS / 1000) this.#send(index, this.#randomGateway(index), null, null);
  }

  #arrive(): void {
    const daemon = this.#daemons[Math.floor(this.random() * this.#daemons.length)];
    if (daemon === undefined) return;
    const member = daemon.choose();
    const { memberId } = member.entry;
    const index = Number(memberId.slice(1));
    this.#sent[index] = (this.#sent[index] ?? 0) + 1;
    const [one, other] = [this.#randomGateway(index), this.#randomGateway(index)];
    const gateway = daemon.loads.lessLoaded(memberId, one, other, this.nowMs) ?? one;
    daemon.loads.entry(memberId, gateway.name).loanStarted();
    daemon.started(member);
    this.#send(index, gateway, daemon, member.pendingReads.start(this.nowMs));
  }

  #randomGateway(member: number): ModelGateway {
    const gateways = this.gatewaysOf(member);
    const gateway = gateways[Math.floor(this.random() * gateways.length)];
    if (gateway === undefined) throw new Error('the member has no gateway');
    return gateway;
  }

  #send(member: number, gateway: ModelGateway, daemon: ModelDaemon | null, read: PendingRead | null): void {
    gateway.waiting.push({ daemon, read, gateway, sentAtMs: this.nowMs });
    this.#lend(member, gateway);
  }

  #lend(member: number, gateway: ModelGateway): void {
    while (gateway.inUse < CONNECTIONS) {
      const request = gateway.waiting.shift();
      if (request === undefined) return;
      gateway.inUse += 1;
      this.#members[member]?.queue.push(request);
    }
  }

  #serve(index: number, member: ModelMember): void {
    for (const { request } of removeEnded(member, this.nowMs)) {
      const { gateway, sentAtMs } = request;
      gateway.inUse -= 1;
      gateway.recentLatency.record(this.nowMs - sentAtMs, this.nowMs);
      this.#lend(index, gateway);
      this.#answer(index, request);
    }
    while (member.running.length < SLOTS) {
      const request = member.queue.shift();
      if (request === undefined) return;
      const serviceMs = (this.options.serviceMs[index] ?? 0) * (0.8 + 0.4 * this.random());
      member.running.push({ request, endMs: this.nowMs + serviceMs });
    }
  }

  #answer(index: number, { daemon, read, gateway, sentAtMs }: Request): void {
    const member = daemon?.group.members.get(`m${index}`);
    if (daemon === null || member === undefined) return;
    daemon.loads.entry(member.entry.memberId, gateway.name).loanEnded();
    daemon.ended(member);
    if (read !== null) member.pendingReads.end(read, this.nowMs);
    if (!this.options.isReportBroadcast) this.#report(index, gateway, [daemon]);
    const hasFailed = this.random() < (this.options.failureShares?.[index] ?? 0);
    member.recordOutcome(hasFailed, this.nowMs);
    if (hasFailed) return;
    const latencyMs = this.nowMs - sentAtMs + (this.options.roundTripsMs[index] ?? 0);
    this.answerTimesMs.push(latencyMs);
    daemon.placement.recordLatency(member, latencyMs);
  }

  #broadcastReports(): void {
    for (const [index, { gateways }] of this.#members.entries())
      for (const gateway of gateways) this.#report(index, gateway, this.#daemons);
  }

  #report(member: number, gateway: ModelGateway, daemons: readonly ModelDaemon[]): void {
    const { inUse, waiting, recentLatency } = gateway;
    const sent = { inUse, waiting: waiting.length, serviceMs: recentLatency.valueMs(this.nowMs) ?? 0 };
    const report = readLoadReport(this.options.report === undefined ? sent : this.options.report(sent));
    if (report === null) return;
    for (const { loads } of daemons)
      loads.entry(`m${member}`, gateway.name).record(report, false, this.nowMs);
  }
}

/** Removes and returns the requests whose service has ended. */
function removeEnded({ running }: ModelMember, nowMs: number): ModelMember['running'] {
  const ended = running.filter(({ endMs }) => endMs <= nowMs);
  for (const one of ended) running.splice(running.indexOf(one), 1);
  return ended;
}
