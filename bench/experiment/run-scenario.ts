/**
 * Runs one scenario on one deployment, together with its baselines, and summarises the results.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import { Deployment } from '../../standin/rig/deployment.js';
import { countViolations, findViolations, type Property } from '../history/checker.js';
import type { Operation, OperationKind } from '../history/history.js';
import { collectMembers } from '../load/collect-members.js';
import { LOAD_SCHEMA, LoadGenerator, type LoadOptions, type LoadTarget } from '../load/load-generator.js';
import { uniformInt } from '../load/random.js';
import { DEPLOYMENTS, type DeploymentName } from './deployments.js';
import { FailoverProbe } from './failover-probe.js';
import { watchElection } from './election-watch.js';
import { summariseLatency, type LatencySummary } from './latency.js';
import { readReplicaShare, readRefusals } from './metrics-reader.js';
import type { Scenario } from './scenarios.js';

/** Settings of a run. */
export interface RunOptions {
  readonly deployment: DeploymentName;
  readonly scenario: Scenario;
  readonly seed: number;
  readonly sessions: number;
  readonly thinkTimeMs: number;
  /** Length of each part of the run, in milliseconds. */
  readonly partMs: number;
}

/** Throughput, latencies and outcomes of one load. */
export interface LoadSummary {
  readonly operations: number;
  readonly perSecond: number;
  readonly read: LatencySummary;
  readonly write: LatencySummary;
  readonly outcomes: Readonly<Record<string, number>>;
}

/** Result of a run. */
export interface RunResult {
  readonly version: string;
  readonly deployment: DeploymentName;
  readonly scenario: string;
  readonly seed: number;
  readonly sessions: number;
  readonly load: LoadSummary;
  readonly replicaShare: number;
  /**
   * Share of reads that replicas could have served in the same run if sessions read from the primary for the
   * duration of the replication lag after each write.
   */
  readonly stickyShare: number;
  readonly failover: { readonly electionMs: number; readonly gapMs: number; readonly addedMs: number } | null;
  readonly refusals: Readonly<Record<string, number>>;
  readonly violations: Readonly<Record<Property, number>>;
  readonly baselines: {
    readonly primaryOnly: LoadSummary;
    readonly roundRobin: LoadSummary & { readonly staleReads: number };
  };
}

const VERSION = '0.1.0';
const LOAD_MIX = { write: 5, transaction: 0, once: 0 };
const SETTLE_MS = 1000;
const PROBE_WARM_UP_MS = 500;

/** Starts the deployment, runs the baselines and the scenario, and stops the deployment. */
export async function runScenario(options: RunOptions): Promise<RunResult> {
  const base = DEPLOYMENTS[options.deployment];
  const member = { ...base.member, ...options.scenario.member };
  const deployment = await Deployment.start({ ...base, member });
  try {
    await createTables(deployment);
    const baselines = await runBaselines(deployment, options);
    return await runThroughDaemons(deployment, options, baselines, member.applyLagMs ?? 0);
  } finally {
    await deployment.stop();
  }
}

async function runThroughDaemons(
  deployment: Deployment,
  options: RunOptions,
  baselines: RunResult['baselines'],
  lagMs: number,
): Promise<RunResult> {
  const load = new LoadGenerator(loadOptions(deployment, options, 'daemons'));
  load.start();
  await delay(options.partMs / 2);
  const failover = await injectFault(deployment, options);
  await load.stop();
  const replicaShare = await readReplicaShare(deployment);
  const refusals = await readRefusals(deployment);
  deployment.proxy.heal();
  await delay(SETTLE_MS + lagMs);
  const members = await collectMembers(deployment);
  const { operations } = load;
  return {
    version: VERSION,
    deployment: options.deployment,
    scenario: options.scenario.name,
    seed: options.seed,
    sessions: options.sessions,
    load: summarise(operations, options.partMs),
    replicaShare,
    stickyShare: stickyShare(operations, lagMs),
    failover,
    refusals,
    violations: countViolations(findViolations({ operations, members })),
    baselines,
  };
}

async function injectFault(deployment: Deployment, options: RunOptions): Promise<RunResult['failover']> {
  const { fault } = options.scenario;
  if (fault === null) {
    await delay(options.partMs / 2);
    return null;
  }
  const election = await watchElection(deployment);
  const probe = new FailoverProbe(deployment, fault.database ?? '');
  if (fault.database !== null) probe.start(await fault.cutZone(deployment));
  await delay(PROBE_WARM_UP_MS);
  await fault.begin(deployment);
  const startedMs = performance.now();
  await delay(options.partMs / 2);
  const electedMs = election.stop();
  await fault.end(deployment);
  await probe.stop();
  if (fault.database === null) return null;
  const electionMs = electedMs === null ? 0 : Math.max(0, electedMs - startedMs);
  const gapMs = probe.gapMs(startedMs);
  return { electionMs, gapMs, addedMs: gapMs - electionMs };
}

function loadOptions(deployment: Deployment, options: RunOptions, name: string): LoadOptions {
  const targets = [...deployment.daemons.keys()].map((daemonId) => ({
    daemonId,
    ...deployment.clientAddress(daemonId),
  }));
  const { sessions, seed, thinkTimeMs } = options;
  const { databases } = deployment.options;
  return { targets, databases, sessions, mix: LOAD_MIX, seed, thinkTimeMs, readClass: 'lookup', name };
}

async function runBaselines(deployment: Deployment, options: RunOptions): Promise<RunResult['baselines']> {
  const primaries = new Map<string, LoadTarget>();
  for (const database of deployment.options.databases) {
    const memberId = (await deployment.findPrimary(database)) ?? '';
    primaries.set(database, { daemonId: memberId, ...deployment.memberAddress(memberId) });
  }
  const primaryOnly = await runBaseline(deployment, options, 'primary', (database) =>
    primaries.get(database),
  );
  const roundRobin = await runBaseline(deployment, options, 'robin', (database, kind, pick) => {
    if (kind !== 'read') return primaries.get(database);
    const group = [...deployment.members.keys()].filter((id) => id.startsWith(`${database}-`));
    const memberId = group[pick(group.length)] ?? '';
    return { daemonId: memberId, ...deployment.memberAddress(memberId) };
  });
  const stale = countViolations(findViolations({ operations: roundRobin, members: [] })).readYourWrites;
  return {
    primaryOnly: summarise(primaryOnly, options.partMs),
    roundRobin: { ...summarise(roundRobin, options.partMs), staleReads: stale },
  };
}

type BaselineChoice = (
  database: string,
  kind: OperationKind,
  pick: (count: number) => number,
) => LoadTarget | undefined;

/** Runs one load per database directly on its members, since `chooseTarget` does not receive the database. */
async function runBaseline(
  deployment: Deployment,
  options: RunOptions,
  name: string,
  choose: BaselineChoice,
): Promise<Operation[]> {
  const { databases } = deployment.options;
  const loads = databases.map((database, i) => {
    const common = loadOptions(deployment, options, `${name}-${database}`);
    const sessions = Math.ceil(options.sessions / databases.length);
    return new LoadGenerator({
      ...common,
      databases: [database],
      sessions,
      seed: options.seed + i,
      chooseTarget: (kind, random) => {
        const target = choose(database, kind, (count) => uniformInt(random, 0, count - 1));
        if (target === undefined) throw new Error(`no member for ${database}`);
        return target;
      },
    });
  });
  for (const load of loads) load.start();
  await delay(options.partMs);
  await Promise.all(loads.map((load) => load.stop()));
  return loads.flatMap((load) => load.operations);
}

function summarise(operations: readonly Operation[], partMs: number): LoadSummary {
  const outcomes: Record<string, number> = {};
  for (const { outcome } of operations) outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  const latency = (kind: OperationKind): LatencySummary =>
    summariseLatency(
      operations.filter((o) => o.kind === kind && o.outcome === 'ok').map((o) => o.endedMs - o.startedMs),
    );
  return {
    operations: operations.length,
    perSecond: Math.round((operations.length / partMs) * 1000),
    read: latency('read'),
    write: latency('write'),
    outcomes,
  };
}

/** Share of reads whose session has not written during the preceding replication lag. */
function stickyShare(operations: readonly Operation[], lagMs: number): number {
  const lastWriteMs = new Map<string, number>();
  let eligibleReads = 0;
  let reads = 0;
  for (const { kind, session, startedMs, endedMs } of [...operations].sort(
    (a, b) => a.startedMs - b.startedMs,
  )) {
    if (kind === 'write') lastWriteMs.set(session, endedMs);
    if (kind !== 'read') continue;
    reads += 1;
    if (startedMs - (lastWriteMs.get(session) ?? Number.NEGATIVE_INFINITY) > lagMs) eligibleReads += 1;
  }
  return reads === 0 ? 0 : eligibleReads / reads;
}

async function createTables(deployment: Deployment): Promise<void> {
  const [daemonId = ''] = deployment.daemons.keys();
  for (const database of deployment.options.databases) {
    const client = new pg.Client({ ...deployment.clientAddress(daemonId), database, user: 'bench' });
    await client.connect();
    for (const statement of LOAD_SCHEMA) await client.query(statement);
    await client.end();
  }
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
