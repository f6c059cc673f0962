/**
 * Compares one daemon with direct access to the member: throughput, latency, processor time, and memory of
 * idle clients.
 *
 * @packageDocumentation
 */
import { readFileSync } from 'node:fs';
import pg from 'pg';
import { Deployment } from '../../standin/rig/deployment.js';
import { LOAD_SCHEMA } from '../load/load-generator.js';
import { runClosedLoop, type ClosedLoopResult } from './closed-loop.js';
import { EXPERIMENT_POLICY } from './deployments.js';

const DATABASE = 'first';
const CLIENTS = 16;
const IDLE_CLIENTS = 2000;

/** Result of the throughput experiment. */
export interface ThroughputResult {
  readonly reads: {
    readonly direct: ClosedLoopResult;
    readonly daemon: ClosedLoopResult;
    readonly ratio: number;
  };
  readonly writes: {
    readonly direct: ClosedLoopResult;
    readonly daemon: ClosedLoopResult;
    readonly ratio: number;
  };
  /** Processor time of the daemon per read, in microseconds. */
  readonly microsecondsPerRead: number;
  readonly microsecondsPerWrite: number;
  /** Bytes of control requests to members and their answers, per write. */
  readonly controlBytesPerWrite: number;
  /** Reads sent to a daemon that does not own the database: processor time there and at the owner. */
  readonly forwarded: {
    readonly result: ClosedLoopResult;
    readonly entryMicroseconds: number;
    readonly ownerMicroseconds: number;
  };
  /** Resident memory of the daemon without clients, and the addition per idle client, in bytes. */
  readonly idleBytes: number;
  readonly bytesPerIdleClient: number;
}

/** Runs the throughput experiment; each load takes `durationMs`. */
export async function runThroughput(durationMs: number): Promise<ThroughputResult> {
  const deployment = await Deployment.start({
    networkId: 103,
    zones: ['only'],
    databases: [DATABASE],
    daemonsPerZone: 2,
    policy: EXPERIMENT_POLICY,
    slots: 16,
    usesProxies: false,
  });
  try {
    return await measure(deployment, durationMs);
  } finally {
    await deployment.stop();
  }
}

async function measure(deployment: Deployment, durationMs: number): Promise<ThroughputResult> {
  const daemonId = await deployment.waitForOwner(DATABASE);
  const otherId = [...deployment.daemons.keys()].find((id) => id !== daemonId) ?? '';
  const daemonAddress = deployment.clientAddress(daemonId);
  const { pid } = deployment.child(daemonId);
  const setup = new pg.Client({ ...daemonAddress, database: DATABASE, user: 'bench' });
  await setup.connect();
  for (const statement of LOAD_SCHEMA) await setup.query(statement);
  await setup.query("INSERT INTO record VALUES ('k', 1, 'write/k')");
  await setup.end();
  const idleBytes = residentBytes(pid);
  const bytesPerIdleClient = await measureIdleClients(daemonAddress, pid, idleBytes);

  const memberAddress = deployment.memberAddress((await deployment.findPrimary(DATABASE)) ?? '');
  const common = { database: DATABASE, clients: CLIENTS, durationMs, thinkTimeMs: 0 };
  const readText = (): string => "SELECT version FROM record WHERE key = 'k'";
  const directReads = await runClosedLoop({ ...common, address: memberAddress, statementText: readText });
  const beforeReadsMs = processorMs(pid);
  const daemonReads = await runClosedLoop({ ...common, address: daemonAddress, statementText: readText });
  const readCostMs = processorMs(pid) - beforeReadsMs;
  const insertText = (client: number, round: number): string =>
    `INSERT INTO record VALUES ('d${client}', ${round}, 'w') ON CONFLICT (key) DO UPDATE SET version = excluded.version`;
  const directWrites = await runClosedLoop({ ...common, address: memberAddress, statementText: insertText });
  const bytesBefore = (await deployment.status(daemonId)).memberControlBytes;
  const beforeWritesMs = processorMs(pid);
  const daemonWrites = await runClosedLoop({ ...common, address: daemonAddress, statementText: insertText });
  const writeCostMs = processorMs(pid) - beforeWritesMs;
  const controlBytes = (await deployment.status(daemonId)).memberControlBytes - bytesBefore;
  const entryPid = deployment.child(otherId).pid;
  const [entryBeforeMs, ownerBeforeMs] = [processorMs(entryPid), processorMs(pid)];
  const otherAddress = deployment.clientAddress(otherId);
  const forwardedReads = await runClosedLoop({ ...common, address: otherAddress, statementText: readText });
  const perRead = (costMs: number): number => (costMs * 1000) / forwardedReads.latency.count;
  return {
    reads: { direct: directReads, daemon: daemonReads, ratio: daemonReads.perSecond / directReads.perSecond },
    writes: {
      direct: directWrites,
      daemon: daemonWrites,
      ratio: daemonWrites.perSecond / directWrites.perSecond,
    },
    microsecondsPerRead: (readCostMs * 1000) / daemonReads.latency.count,
    controlBytesPerWrite: controlBytes / daemonWrites.latency.count,
    forwarded: {
      result: forwardedReads,
      entryMicroseconds: perRead(processorMs(entryPid) - entryBeforeMs),
      ownerMicroseconds: perRead(processorMs(pid) - ownerBeforeMs),
    },
    microsecondsPerWrite: (writeCostMs * 1000) / daemonWrites.latency.count,
    idleBytes,
    bytesPerIdleClient,
  };
}

async function measureIdleClients(
  address: { readonly host: string; readonly port: number },
  pid: number,
  idleBytes: number,
): Promise<number> {
  const clients = Array.from(
    { length: IDLE_CLIENTS },
    () => new pg.Client({ ...address, database: DATABASE, user: 'idle' }),
  );
  for (let i = 0; i < clients.length; i += 100) {
    await Promise.all(clients.slice(i, i + 100).map((client) => client.connect()));
  }
  const bytes = residentBytes(pid);
  await Promise.all(clients.map((client) => client.end()));
  return (bytes - idleBytes) / IDLE_CLIENTS;
}

const PAGE_BYTES = 4096;
const CLOCK_TICK_MS = 10;

/** Resident memory of a process, in bytes. */
export function residentBytes(pid: number): number {
  return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * PAGE_BYTES;
}

/** Processor time of a process so far, in milliseconds. */
export function processorMs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
}
