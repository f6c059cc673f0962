/**
 * Runs a complete deployment as separate processes on loopback: store, machine list, database groups and
 * daemons, each with its own IP address and reached through a fault proxy.
 *
 * @packageDocumentation
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify as toYaml } from 'yaml';
import type { DatabaseConfiguration } from '../../src/configuration/configuration.js';
import { ConfigurationStore, type ConfigurationChange } from '../../src/configuration/configuration-store.js';
import type { DaemonStatus } from '../../src/daemon/daemon-status.js';
import type { Machine } from '../../src/machines/machine-list.js';
import { requestJson } from '../../src/store/json-http.js';
import { StoreClient } from '../../src/store/store-client.js';
import type { MemberServerOptions } from '../member/member-server.js';
import type { StoreFaults } from '../store/store-server.js';
import { AddressBlock } from './address-block.js';
import { Child } from './child.js';
import { FaultProxy } from './fault-proxy.js';
import { waitUntil } from './wait-until.js';

/** Size, settings and network delays of a deployment. */
export interface DeploymentOptions {
  /** Second octet of all addresses, 1 to 250. */
  readonly networkId: number;
  readonly zones: readonly string[];
  readonly databases: readonly string[];
  readonly daemonsPerZone: number;
  readonly connectionLimit: number;
  readonly slots: number;
  /** Members are assigned to the zones round-robin. */
  readonly membersPerDatabase: number;
  readonly member: Partial<Pick<MemberServerOptions, MemberOverride>>;
  readonly policy: string;
  /** Settings of the daemons' `timing` and `limits` that differ from the defaults. */
  readonly timing: Readonly<Record<string, number>>;
  readonly limits: Readonly<Record<string, number>>;
  readonly machineListLagMs: number;
  /** One-way delay between zones, in milliseconds. */
  readonly zoneLatencyMs: number;
  /** False connects the processes directly, for performance measurements. */
  readonly usesProxies: boolean;
}

type MemberOverride =
  | 'openDelayMs'
  | 'serviceTimeMs'
  | 'replication'
  | 'heartbeatIntervalMs'
  | 'electionTimeoutMs'
  | 'applyLagMs';

/** Defaults: one database of three members in three zones, one daemon in each. */
export const DEFAULT_DEPLOYMENT: DeploymentOptions = {
  networkId: 1,
  zones: ['zone-a', 'zone-b', 'zone-c'],
  databases: ['quotes'],
  daemonsPerZone: 1,
  connectionLimit: 35,
  slots: 5,
  membersPerDatabase: 3,
  member: {},
  policy: 'rules: []\n',
  timing: {},
  limits: {},
  machineListLagMs: 0,
  zoneLatencyMs: 0,
  usesProxies: true,
};

const MEMBER_DEFAULTS = {
  openDelayMs: 10,
  serviceTimeMs: 0,
  replication: 'asynchronous',
  heartbeatIntervalMs: 100,
  electionTimeoutMs: 1000,
  applyLagMs: 0,
} as const;

const STORE_PORT = 2379;
const MACHINES_PORT = 2380;
const MEMBER_PORT = 5432;
const GROUP_PORT = 5433;
const CLIENT_PORT = 6432;
const PEER_PORT = 7432;
const HTTP_PORT = 8432;

/** Last octet of the address of the store and the machine list; higher than those of members and daemons. */
const PLATFORM_HOST_NUMBER = 200;

/** Zone and addresses of a process. */
export interface ProcessPlacement {
  readonly id: string;
  readonly zone: string;
  /** Address on which the process listens and from which it connects to others. */
  readonly host: string;
  /** Address at which other processes reach it: that of its fault proxy, if there is one. */
  readonly publicHost: string;
}

/** A running deployment. */
export class Deployment {
  readonly proxy = new FaultProxy();
  readonly options: DeploymentOptions;
  readonly members = new Map<string, ProcessPlacement>();
  readonly daemons = new Map<string, ProcessPlacement>();
  readonly children = new Map<string, Child>();
  readonly #directory = mkdtempSync(join(tmpdir(), 'sorrelladder-rig-'));
  #machines: Machine[] = [];
  #addresses: AddressBlock | null = null;

  constructor(options: Partial<DeploymentOptions>) {
    this.options = { ...DEFAULT_DEPLOYMENT, ...options };
    this.proxy.setZoneLatency(this.options.zoneLatencyMs);
  }

  /** Starts a deployment and waits until every database has an owner. */
  static async start(options: Partial<DeploymentOptions>): Promise<Deployment> {
    const deployment = new Deployment(options);
    try {
      await deployment.#start();
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  get zones(): readonly string[] {
    return this.options.zones;
  }

  /** Client of the configuration in the store that bypasses the fault proxies. */
  get configurationStore(): ConfigurationStore {
    const client = new StoreClient({ baseUrl: this.#storeUrl, localAddress: null, timeoutMs: 2000 });
    return new ConfigurationStore(client, '/sorrelladder');
  }

  /** Publishes a configuration change, bypassing the fault proxies. */
  async publish(change: ConfigurationChange): Promise<number> {
    const options = { publishedBy: 'rig', expectedVersion: null, readBackAttempts: 3 };
    const result = await this.configurationStore.publish(change, options);
    return result.unsafeCoerce().version;
  }

  /** Address on which a daemon accepts clients. */
  clientAddress(daemonId: string): { readonly host: string; readonly port: number } {
    return { host: this.#daemonPlacement(daemonId).host, port: CLIENT_PORT };
  }

  /** Address of a member that bypasses its fault proxy. */
  memberAddress(memberId: string): { readonly host: string; readonly port: number } {
    const member = this.members.get(memberId);
    if (member === undefined) throw new Error(`no member ${memberId}`);
    return { host: member.host, port: MEMBER_PORT };
  }

  /** Fetches the status that a daemon reports. */
  async status(daemonId: string): Promise<DaemonStatus> {
    const baseUrl = `http://${this.#daemonPlacement(daemonId).host}:${HTTP_PORT}`;
    return (await requestJson(
      { baseUrl, localAddress: null, timeoutMs: 2000 },
      'GET',
      '/status',
    )) as DaemonStatus;
  }

  /** Address of a daemon's HTTP server. */
  httpUrl(daemonId: string): string {
    return `http://${this.#daemonPlacement(daemonId).host}:${HTTP_PORT}`;
  }

  /** The daemon whose status reports the members of a database, which only its owner does; or `null`. */
  async findOwner(database: string): Promise<string | null> {
    for (const daemonId of this.daemons.keys()) {
      if (!this.child(daemonId).isRunning) continue;
      const status = await this.status(daemonId).catch(() => null);
      const databaseStatus = status?.databases.find(({ name }) => name === database);
      if (databaseStatus !== undefined && databaseStatus.members.length > 0) return daemonId;
    }
    return null;
  }

  /** Waits until a daemon other than `except` owns a database. */
  async waitForOwner(database: string, except: string | null = null): Promise<string> {
    let owner: string | null = null;
    await waitUntil(`an owner of ${database}`, async () => {
      owner = await this.findOwner(database);
      return owner !== null && owner !== except;
    });
    return owner ?? '';
  }

  /** Id of the primary of the highest term, as the owner reports it; `null` during an election. */
  async findPrimary(database: string): Promise<string | null> {
    const owner = await this.findOwner(database);
    if (owner === null) return null;
    const status = await this.status(owner);
    const members = status.databases.find(({ name }) => name === database)?.members ?? [];
    const term = Math.max(...members.map((member) => member.term ?? 0));
    return members.find((member) => member.role === 'primary' && member.term === term)?.id ?? null;
  }

  /** Looks up a process by id. */
  child(id: string): Child {
    const child = this.children.get(id);
    if (child === undefined) throw new Error(`no process ${id}`);
    return child;
  }

  /** Enables or disables faults of the store. */
  async setStoreFaults(faults: Partial<StoreFaults>): Promise<void> {
    const http = {
      baseUrl: `http://${this.#host(0, PLATFORM_HOST_NUMBER)}:${STORE_PORT}`,
      localAddress: null,
      timeoutMs: 2000,
    };
    await requestJson(http, 'POST', '/standin/faults', faults);
  }

  /** Changes a machine's state on the machine list. */
  async setMachineState(id: string, state: Machine['state']): Promise<void> {
    this.#machines = this.#machines.map((machine) => (machine.id === id ? { ...machine, state } : machine));
    await this.#publishMachines();
  }

  /** Starts a stopped daemon again with the same id and address. */
  startDaemon(daemonId: string): void {
    const path = join(this.#directory, `${daemonId}.yaml`);
    this.children.set(daemonId, new Child(daemonId, 'sorrelladder', ['serve', '--settings', path]));
  }

  /** Starts a stopped daemon again and waits until it has a configuration and peers. */
  async restartDaemon(daemonId: string): Promise<void> {
    this.startDaemon(daemonId);
    await waitUntil(`${daemonId} to serve`, async () => {
      const status = await this.status(daemonId).catch(() => null);
      return (status?.configurationVersion ?? 0) > 0 && (status?.peers.length ?? 0) > 1;
    });
  }

  /** Kills all processes, closes the proxies and removes the settings files. */
  async stop(): Promise<void> {
    await Promise.all([...this.children.values()].map((child) => child.kill()));
    this.proxy.close();
    this.#addresses?.release();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  get #storeUrl(): string {
    return `http://${this.#host(0, PLATFORM_HOST_NUMBER)}:${STORE_PORT}`;
  }

  async #start(): Promise<void> {
    this.#addresses = await AddressBlock.claim(this.options.networkId);
    this.#assignAddresses();
    await this.#startPlatform();
    await this.#startMembers();
    await this.publish({ databases: this.#databases(), policy: this.options.policy });
    await this.#startDaemons();
    for (const database of this.options.databases) await this.waitForOwner(database);
    await waitUntil('all daemons know all databases and owners', () => this.#isConverged());
  }

  async #isConverged(): Promise<boolean> {
    for (const daemonId of this.daemons.keys()) {
      const status = await this.status(daemonId).catch(() => null);
      if (status === null || status.databases.length < this.options.databases.length) return false;
      if (status.peers.length < this.daemons.size) return false;
      if (status.databases.some(({ owner }) => owner === null)) return false;
    }
    for (const database of this.options.databases)
      if ((await this.findPrimary(database)) === null) return false;
    return true;
  }

  /** Address in one of the deployment's networks: per zone, an even one for processes, the next for proxies. */
  #host(network: number, hostNumber: number): string {
    if (this.#addresses === null) throw new Error('the deployment has not been started');
    return this.#addresses.host(network, hostNumber);
  }

  #assignAddresses(): void {
    const { zones, databases, daemonsPerZone, membersPerDatabase } = this.options;
    const lastHostNumbers = new Map<number, number>();
    const assign = (id: string, zoneIndex: number): ProcessPlacement => {
      const hostNumber = (lastHostNumbers.get(zoneIndex) ?? 0) + 1;
      lastHostNumbers.set(zoneIndex, hostNumber);
      const host = this.#host(zoneIndex * 2, hostNumber);
      const publicHost = this.options.usesProxies ? this.#host(zoneIndex * 2 + 1, hostNumber) : host;
      return { id, zone: zones[zoneIndex] ?? '', host, publicHost };
    };
    databases.forEach((database, databaseIndex) => {
      for (let i = 0; i < membersPerDatabase; i += 1) {
        const id = `${database}-${i + 1}`;
        this.members.set(id, assign(id, (databaseIndex + i) % zones.length));
      }
    });
    zones.forEach((zone, zoneIndex) => {
      for (let i = 0; i < daemonsPerZone; i += 1) {
        const id = `${zone}-d${i + 1}`;
        this.daemons.set(id, assign(id, zoneIndex));
      }
    });
    for (const { host, zone } of [...this.members.values(), ...this.daemons.values()])
      this.proxy.registerSource(host, zone);
  }

  async #startPlatform(): Promise<void> {
    const host = this.#host(0, PLATFORM_HOST_NUMBER);
    this.#machines = [
      ...[...this.daemons.values()].map((daemon) => this.#machineEntry(daemon, 'daemon', PEER_PORT)),
      ...[...this.members.values()].map((member) => this.#machineEntry(member, 'member', MEMBER_PORT)),
    ];
    const lag = [
      '--lag-ms',
      String(this.options.machineListLagMs),
      '--machines',
      JSON.stringify(this.#machines),
    ];
    this.#spawnStandin('store', ['store', '--host', host, '--port', String(STORE_PORT)]);
    this.#spawnStandin('machines', ['machines', '--host', host, '--port', String(MACHINES_PORT), ...lag]);
    await this.#startProxies('platform', this.#host(1, PLATFORM_HOST_NUMBER), host, [
      STORE_PORT,
      MACHINES_PORT,
    ]);
    await this.#waitReady(['store', 'machines']);
  }

  #machineEntry({ id, zone, publicHost }: ProcessPlacement, kind: Machine['kind'], port: number): Machine {
    return { id, kind, zone, host: publicHost, port, state: 'live' };
  }

  async #startMembers(): Promise<void> {
    for (const database of this.options.databases) {
      const group = [...this.members.values()].filter(({ id }) => id.startsWith(`${database}-`));
      for (const [rank, member] of group.entries()) {
        await this.#startProxies(member.zone, member.publicHost, member.host, [MEMBER_PORT, GROUP_PORT]);
        const options = JSON.stringify(this.#memberOptions(database, group, member, rank));
        this.#spawnStandin(member.id, ['member', '--options', options]);
      }
    }
    await this.#waitReady([...this.members.keys()]);
  }

  #memberOptions(
    database: string,
    group: readonly ProcessPlacement[],
    member: ProcessPlacement,
    rank: number,
  ): MemberServerOptions {
    const peers = group.filter(({ id }) => id !== member.id);
    return {
      ...MEMBER_DEFAULTS,
      ...this.options.member,
      memberId: member.id,
      zone: member.zone,
      database,
      connectionLimit: this.options.connectionLimit,
      slots: this.options.slots,
      listenHost: member.host,
      listenPort: MEMBER_PORT,
      groupPort: GROUP_PORT,
      peers: peers.map(({ id, publicHost }) => ({ memberId: id, host: publicHost, port: GROUP_PORT })),
      electionRank: rank,
      initialPrimary: rank === 0,
    };
  }

  async #startDaemons(): Promise<void> {
    for (const daemon of this.daemons.values()) {
      await this.#startProxies(daemon.zone, daemon.publicHost, daemon.host, [PEER_PORT]);
      writeFileSync(join(this.#directory, `${daemon.id}.yaml`), toYaml(this.#daemonSettings(daemon)));
      this.startDaemon(daemon.id);
    }
  }

  #daemonSettings(daemon: ProcessPlacement): Readonly<Record<string, unknown>> {
    const platformHost = this.#host(this.options.usesProxies ? 1 : 0, PLATFORM_HOST_NUMBER);
    return {
      daemon: { id: daemon.id, zone: daemon.zone },
      listen: {
        client: { host: daemon.host, port: CLIENT_PORT },
        peer: { host: daemon.host, port: PEER_PORT },
        http: { host: daemon.host, port: HTTP_PORT },
      },
      advertise: { peer: { host: daemon.publicHost, port: PEER_PORT } },
      outboundAddress: daemon.host,
      store: { url: `http://${platformHost}:${STORE_PORT}` },
      machineList: { url: `http://${platformHost}:${MACHINES_PORT}`, intervalMs: 300 },
      timing: this.options.timing,
      limits: this.options.limits,
    };
  }

  #databases(): DatabaseConfiguration[] {
    const { connectionLimit, slots } = this.options;
    return this.options.databases.map((name) => ({
      name,
      connectionLimit,
      slots,
      members: [...this.members.values()]
        .filter(({ id }) => id.startsWith(`${name}-`))
        .map(({ id, zone, publicHost }) => ({ id, zone, host: publicHost, port: MEMBER_PORT })),
    }));
  }

  async #startProxies(
    zone: string,
    listenHost: string,
    targetHost: string,
    ports: readonly number[],
  ): Promise<void> {
    if (!this.options.usesProxies) return;
    for (const port of ports) await this.proxy.forward({ zone, listenHost, port, targetHost });
  }

  #spawnStandin(id: string, args: readonly string[]): void {
    this.children.set(id, new Child(id, 'standin', args));
  }

  async #waitReady(ids: readonly string[]): Promise<void> {
    await waitUntil(`stand-ins ${ids.join(', ')}`, () =>
      ids.every((id) => this.child(id).output.includes('ready')),
    );
  }

  async #publishMachines(): Promise<void> {
    const http = {
      baseUrl: `http://${this.#host(0, PLATFORM_HOST_NUMBER)}:${MACHINES_PORT}`,
      localAddress: null,
      timeoutMs: 2000,
    };
    await requestJson(http, 'POST', '/standin/machines', this.#machines);
  }

  #daemonPlacement(daemonId: string): ProcessPlacement {
    const daemon = this.daemons.get(daemonId);
    if (daemon === undefined) throw new Error(`no daemon ${daemonId}`);
    return daemon;
  }
}
