#!/usr/bin/env node
/**
 * Embedded deployment for trying out sorrelladder: store, machine list, one database group and two daemons in
 * one process.
 *
 * @packageDocumentation
 */
import { Command } from 'commander';
import { ConfigurationStore } from '../src/configuration/configuration-store.js';
import { Daemon } from '../src/daemon/daemon.js';
import { createLogger } from '../src/observability/logger.js';
import { parseSettings, type Settings } from '../src/settings/settings.js';
import { StoreClient } from '../src/store/store-client.js';
import { MachinesServer } from './machines/machines-server.js';
import { MemberServer } from './member/member-server.js';
import { waitUntil } from './rig/wait-until.js';
import { StoreServer } from './store/store-server.js';

const HOST = '127.0.0.1';
const DATABASE = 'quotes';
const REPLICA_LAG_MS = 100;

const POLICY = `rules:
  - name: lookups may be served by replicas
    when: class == "lookup" && kind == "read"
    replica: true
    maxStalenessMs: 5000
tests:
  - name: a lookup
    given: { class: lookup, kind: read }
    expect: { replica: true }
  - name: anything else
    given: { kind: write }
    expect: { replica: false, repeatable: false }
`;

/** Ports of the deployment, as offsets from a base port. */
class Ports {
  constructor(private readonly base: number) {}
  client = (index: number): number => this.base + index;
  peer = (index: number): number => this.base + 10 + index;
  http = (index: number): number => this.base + 20 + index;
  member = (index: number): number => this.base + 30 + index;
  group = (index: number): number => this.base + 40 + index;
  store = (): number => this.base + 50;
  machines = (): number => this.base + 51;
}

async function startGroup(ports: Ports): Promise<void> {
  const ids = [1, 2, 3];
  for (const [rank, id] of ids.entries()) {
    const peers = ids
      .filter((other) => other !== id)
      .map((other) => ({ memberId: `${DATABASE}-${other}`, host: HOST, port: ports.group(other) }));
    const member = new MemberServer({
      memberId: `${DATABASE}-${id}`,
      zone: 'local',
      database: DATABASE,
      connectionLimit: 35,
      slots: 5,
      openDelayMs: 10,
      serviceTimeMs: 0,
      replication: 'asynchronous',
      listenHost: HOST,
      listenPort: ports.member(id),
      groupPort: ports.group(id),
      peers,
      heartbeatIntervalMs: 100,
      electionTimeoutMs: 1000,
      applyLagMs: REPLICA_LAG_MS,
      electionRank: rank,
      initialPrimary: rank === 0,
    });
    await member.start();
  }
}

function daemonSettings(ports: Ports, index: number): Settings {
  const settings = {
    daemon: { id: `local-${index}`, zone: 'local' },
    listen: {
      client: { host: HOST, port: ports.client(index) },
      peer: { host: HOST, port: ports.peer(index) },
      http: { host: HOST, port: ports.http(index) },
    },
    store: { url: `http://${HOST}:${ports.store()}` },
    machineList: { url: `http://${HOST}:${ports.machines()}` },
  };
  return parseSettings(JSON.stringify(settings), new Map()).unsafeCoerce();
}

async function publish(ports: Ports): Promise<void> {
  const client = new StoreClient({
    baseUrl: `http://${HOST}:${ports.store()}`,
    localAddress: null,
    timeoutMs: 2000,
  });
  const members = [1, 2, 3].map((id) => ({
    id: `${DATABASE}-${id}`,
    zone: 'local',
    host: HOST,
    port: ports.member(id),
  }));
  const databases = [{ name: DATABASE, connectionLimit: 35, slots: 5, members }];
  const options = { publishedBy: 'local', expectedVersion: null, readBackAttempts: 1 };
  const result = await new ConfigurationStore(client, '/sorrelladder').publish(
    { databases, policy: POLICY },
    options,
  );
  result.unsafeCoerce();
}

async function run(options: { readonly port: string }): Promise<void> {
  const ports = new Ports(Number(options.port));
  await new StoreServer().listen(HOST, ports.store());
  const machines = new MachinesServer(0);
  machines.setMachines(
    [1, 2].map((index) => ({
      id: `local-${index}`,
      kind: 'daemon',
      zone: 'local',
      host: HOST,
      port: ports.peer(index),
      state: 'live',
    })),
  );
  await machines.listen(HOST, ports.machines());
  await startGroup(ports);
  await publish(ports);
  const daemons = [1, 2].map((index) => new Daemon(daemonSettings(ports, index), createLogger('warn', {})));
  await Promise.all(daemons.map((daemon) => daemon.start()));
  await waitUntil('the database to have an owner', () =>
    daemons.every((daemon) => daemon.status().databases.some(({ owner }) => owner !== null)),
  );
  process.stdout.write(
    [
      'sorrelladder runs; connect with any PostgreSQL client:',
      `  psql "host=${HOST} port=${ports.client(1)} dbname=${DATABASE} user=me sslmode=disable"`,
      `  psql "host=${HOST} port=${ports.client(2)} dbname=${DATABASE} user=me sslmode=disable"`,
      "try:  CREATE TABLE note (id int PRIMARY KEY, text text);  SELECT 1 /*class='lookup'*/;",
      `store for "sorrelladder policy ...": --store http://${HOST}:${ports.store()}`,
      'stop with Ctrl-C',
      '',
    ].join('\n'),
  );
}

await new Command('local')
  .description('run an embedded deployment for a first look')
  .option('--port <port>', 'first of the ports to use', '16432')
  .action(run)
  .parseAsync();
