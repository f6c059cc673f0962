/**
 * The scale run: hollow daemons and members, many to a process, over real sockets on loopback.
 *
 * @packageDocumentation
 */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { ConfigurationStore } from '../../src/configuration/configuration-store.js';
import type { DatabaseConfiguration } from '../../src/configuration/configuration.js';
import type { Machine } from '../../src/machines/machine-list.js';
import { StoreClient } from '../../src/store/store-client.js';
import { MachinesServer } from '../../standin/machines/machines-server.js';
import type { MemberServerOptions } from '../../standin/member/member-server.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { StoreServer } from '../../standin/store/store-server.js';
import type { HollowAnswer, HollowReport, HollowRequest } from './hollow-process.js';

/** Settings of a scale run. */
export interface ScaleOptions {
  readonly daemons: number;
  readonly durationMs: number;
  /** Longest wait until the news of the common start has been passed on, in milliseconds. */
  readonly maxSettleMs: number;
  /** Configuration changes spread over the measurement. */
  readonly configurationChanges: number;
  readonly databasesPerDaemon: number;
}

/** Result of a scale run; costs are for one daemon. */
export interface ScaleResult {
  readonly daemons: number;
  readonly databases: number;
  readonly configurationChanges: number;
  /** Processor time for control, in percent of a core. */
  readonly processorPercent: number;
  readonly heapMegabytes: number;
  readonly residentMegabytes: number;
  readonly peerBytesPerSecond: number;
  readonly memberBytesPerSecond: number;
  readonly platformBytesPerSecond: number;
  /** Time for a configuration change to be in force at the last daemon, in milliseconds. */
  readonly configurationMs: number;
  /** Time for a planned departure to be known to the last daemon, in milliseconds. */
  readonly departureMs: number;
}

const PROGRAM = fileURLToPath(new URL('./hollow-process.js', import.meta.url));
const NETWORK = 105;
const DAEMONS_PER_PROCESS = 20;
const MEMBERS_PER_PROCESS = 120;
const MEMBERS_PER_DATABASE = 3;
const MEMBER_PORT = 5432;
const GROUP_PORT = 5433;
const PLATFORM_HOST = `127.${NETWORK}.255.1`;
const STORE_PORT = 2379;
const MACHINES_PORT = 2380;
const ZONES = 8;
const MEGABYTE = 1024 * 1024;
const SETTLE_CHECK_MS = 2000;

/** A forked process of the run. */
class HollowChild {
  readonly #process: ChildProcess = fork(PROGRAM, { execArgv: ['--expose-gc'] });

  readonly #waiting = new Map<number, (report: HollowReport) => void>();
  #nextRequestId = 1;

  constructor() {
    this.#process.on('message', ({ requestId, report }: HollowAnswer) => {
      this.#waiting.get(requestId)?.(report);
      this.#waiting.delete(requestId);
    });
  }

  ask(request: HollowRequest): Promise<HollowReport> {
    const requestId = this.#nextRequestId++;
    this.#process.send({ requestId, request });
    return new Promise((resolve) => this.#waiting.set(requestId, resolve));
  }

  async stop(): Promise<void> {
    const exited = once(this.#process, 'exit');
    this.#process.kill('SIGKILL');
    await exited;
  }
}

/** Runs at one size. */
export async function runScale(options: ScaleOptions): Promise<ScaleResult> {
  const run = new ScaleRun(options);
  try {
    return await run.measure();
  } finally {
    await run.stop();
  }
}

class ScaleRun {
  readonly #databases: DatabaseConfiguration[];
  readonly #store = new StoreServer();
  readonly #machines = new MachinesServer(0);
  readonly #daemonProcesses: HollowChild[] = [];
  readonly #memberProcesses: HollowChild[] = [];

  constructor(private readonly options: ScaleOptions) {
    const count = Math.round(options.daemons * options.databasesPerDaemon);
    this.#databases = Array.from({ length: count }, (_, index) => createDatabase(index));
  }

  async measure(): Promise<ScaleResult> {
    await this.#startPlatform();
    await this.#startMembers();
    await this.#publish('rules: []\n');
    await this.#startDaemons();
    await this.#waitForOwners();
    await this.#waitForQuiet();
    const costs = await this.#measureCosts();
    const configurationMs = await this.#measureConfiguration();
    const departureMs = await this.#measureDeparture();
    return { ...costs, configurationMs, departureMs };
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#daemonProcesses, ...this.#memberProcesses].map((child) => child.stop()));
    await this.#store.close();
    await this.#machines.close();
  }

  async #startPlatform(): Promise<void> {
    await this.#store.listen(PLATFORM_HOST, STORE_PORT);
    const machines = Array.from({ length: this.options.daemons }, (_, index): Machine => ({
      id: daemonId(index),
      kind: 'daemon',
      zone: zoneOf(index),
      host: daemonHost(index),
      port: 7432,
      state: 'live',
    }));
    this.#machines.setMachines(machines);
    await this.#machines.listen(PLATFORM_HOST, MACHINES_PORT);
  }

  async #startMembers(): Promise<void> {
    const members = this.#databases.flatMap((database) =>
      database.members.map((member, rank) => hollowMember(database, member, rank)),
    );
    for (let i = 0; i < members.length; i += MEMBERS_PER_PROCESS) {
      const child = new HollowChild();
      this.#memberProcesses.push(child);
      await child.ask({ kind: 'members', members: members.slice(i, i + MEMBERS_PER_PROCESS) });
    }
  }

  async #startDaemons(): Promise<void> {
    const settings = Array.from({ length: this.options.daemons }, (_, index) => daemonSettings(index));
    for (let i = 0; i < settings.length; i += DAEMONS_PER_PROCESS) {
      const child = new HollowChild();
      this.#daemonProcesses.push(child);
      await child.ask({ kind: 'daemons', settings: settings.slice(i, i + DAEMONS_PER_PROCESS) });
    }
  }

  async #waitForOwners(): Promise<void> {
    await waitUntil('all databases to have an owner', async () => {
      const reports = await this.#reports();
      const owned = reports.reduce((sum, report) => sum + report.ownedDatabases, 0);
      const knowAll = reports.every((report) => report.lowestPeerCount === this.options.daemons);
      return owned === this.#databases.length && knowAll;
    });
  }

  /** News of the common start is passed on for a while; the costs are those of the time after. */
  async #waitForQuiet(): Promise<void> {
    const startedMs = performance.now();
    for (;;) {
      await delay(SETTLE_CHECK_MS);
      const pending = (await this.#reports()).reduce((sum, { pendingNews }) => sum + pendingNews, 0);
      if (pending === 0 || performance.now() - startedMs > this.options.maxSettleMs) return;
    }
  }

  async #measureCosts(): Promise<Omit<ScaleResult, 'configurationMs' | 'departureMs'>> {
    const { daemons, durationMs, configurationChanges } = this.options;
    const before = total(await this.#reports(true));
    const startedMs = performance.now();
    for (let change = 0; change < configurationChanges; change += 1) {
      await this.#publish(`rules: [] # ${change}\n`);
      await delay(durationMs / configurationChanges);
    }
    await delay(Math.max(0, durationMs - (performance.now() - startedMs)));
    const after = total(await this.#reports(true));
    const seconds = (performance.now() - startedMs) / 1000;
    const rate = (read: (report: HollowReport) => number): number =>
      (read(after) - read(before)) / seconds / daemons;
    return {
      daemons,
      databases: this.#databases.length,
      configurationChanges,
      processorPercent: rate(({ processorUs }) => processorUs) / 10_000,
      heapMegabytes: after.heapBytes / daemons / MEGABYTE,
      residentMegabytes: after.residentBytes / daemons / MEGABYTE,
      peerBytesPerSecond: rate(({ peerTrafficBytes }) => peerTrafficBytes),
      memberBytesPerSecond: rate(({ memberTrafficBytes }) => memberTrafficBytes),
      platformBytesPerSecond: rate(({ platformTrafficBytes }) => platformTrafficBytes),
    };
  }

  async #measureConfiguration(): Promise<number> {
    const startedAt = Date.now();
    const version = await this.#publish('rules: [] # measured\n');
    await waitUntil('the configuration everywhere', async () =>
      (await this.#reports()).every(({ lowestVersion }) => lowestVersion >= version),
    );
    return Math.max(...(await this.#reports()).map(({ lastAdoptedAt }) => lastAdoptedAt)) - startedAt;
  }

  async #measureDeparture(): Promise<number> {
    const leaver = daemonId(0);
    const startedMs = performance.now();
    void this.#daemonProcesses[0]?.ask({ kind: 'stopDaemon', daemonId: leaver });
    await delay(1);
    await waitUntil('the departure to be known everywhere', async () =>
      (await this.#reports()).every(({ aliveViews }) => (aliveViews[leaver] ?? 0) === 0),
    );
    return performance.now() - startedMs;
  }

  #reports(isFull = false): Promise<HollowReport[]> {
    return Promise.all(this.#daemonProcesses.map((child) => child.ask({ kind: 'report', isFull })));
  }

  async #publish(policy: string): Promise<number> {
    const client = new StoreClient({
      baseUrl: `http://${PLATFORM_HOST}:${STORE_PORT}`,
      localAddress: null,
      timeoutMs: 5000,
    });
    const options = { publishedBy: 'scale', expectedVersion: null, readBackAttempts: 3 };
    const result = await new ConfigurationStore(client, '/sorrelladder').publish(
      { databases: this.#databases, policy },
      options,
    );
    return result.unsafeCoerce().version;
  }
}

function total(reports: readonly HollowReport[]): HollowReport {
  const [first] = reports;
  if (first === undefined) throw new Error('no reports');
  const sum = (read: (report: HollowReport) => number): number =>
    reports.reduce((all, report) => all + read(report), 0);
  return {
    ...first,
    processorUs: sum((report) => report.processorUs),
    residentBytes: sum((report) => report.residentBytes),
    heapBytes: sum((report) => report.heapBytes),
    peerTrafficBytes: sum((report) => report.peerTrafficBytes),
    memberTrafficBytes: sum((report) => report.memberTrafficBytes),
    platformTrafficBytes: sum((report) => report.platformTrafficBytes),
  };
}

function daemonId(index: number): string {
  return `hollow-${index}`;
}

function daemonHost(index: number): string {
  return `127.${NETWORK}.${Math.floor(index / 200)}.${(index % 200) + 1}`;
}

function zoneOf(index: number): string {
  return `zone-${index % ZONES}`;
}

function memberHost(databaseIndex: number, rank: number): string {
  const number = databaseIndex * MEMBERS_PER_DATABASE + rank;
  return `127.${NETWORK}.${100 + Math.floor(number / 200)}.${(number % 200) + 1}`;
}

function createDatabase(index: number): DatabaseConfiguration {
  const members = Array.from({ length: MEMBERS_PER_DATABASE }, (_, rank) => ({
    id: `db${index}-${rank}`,
    zone: zoneOf(index + rank),
    host: memberHost(index, rank),
    port: MEMBER_PORT,
  }));
  return { name: `db${index}`, connectionLimit: 35, slots: 5, members };
}

/** The first of each group leads at once; the others never ask for votes. */
function hollowMember(
  database: DatabaseConfiguration,
  member: DatabaseConfiguration['members'][number],
  rank: number,
): MemberServerOptions {
  return {
    memberId: member.id,
    zone: member.zone,
    database: database.name,
    connectionLimit: database.connectionLimit,
    slots: database.slots,
    openDelayMs: 10,
    serviceTimeMs: 0,
    replication: 'asynchronous',
    listenHost: member.host,
    listenPort: MEMBER_PORT,
    groupPort: GROUP_PORT,
    peers: [],
    heartbeatIntervalMs: 3_600_000,
    electionTimeoutMs: rank === 0 ? 1 : 3_600_000,
    applyLagMs: 0,
    electionRank: 0,
    initialPrimary: rank === 0,
  };
}

function daemonSettings(index: number): string {
  const host = daemonHost(index);
  return JSON.stringify({
    daemon: { id: daemonId(index), zone: zoneOf(index) },
    listen: { client: { host, port: 6432 }, peer: { host, port: 7432 }, http: { host, port: 8432 } },
    outboundAddress: host,
    store: { url: `http://${PLATFORM_HOST}:${STORE_PORT}` },
    machineList: { url: `http://${PLATFORM_HOST}:${MACHINES_PORT}` },
  });
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
