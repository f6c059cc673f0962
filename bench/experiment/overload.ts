/**
 * Overload experiment: offers more load than a member can process, in two classes. The important class has to
 * keep its throughput.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import { Deployment } from '../../standin/rig/deployment.js';
import { LOAD_SCHEMA } from '../load/load-generator.js';
import { runClosedLoop, type ClosedLoopResult } from './closed-loop.js';
import { EXPERIMENT_POLICY } from './deployments.js';

const DATABASE = 'first';
const SLOTS = 4;
const SERVICE_TIME_MS = 4;
const IMPORTANT_CLIENTS = 8;
const BULK_CLIENTS = 200;
const IMPORTANT_THINK_TIME_MS = 12;

/** Result of the overload experiment. */
export interface OverloadResult {
  /** The important class without bulk load. */
  readonly alone: ClosedLoopResult;
  readonly important: ClosedLoopResult;
  readonly bulk: ClosedLoopResult;
  /** Throughput of the important class under overload, relative to `alone`. */
  readonly kept: number;
  readonly totalPerSecond: number;
  /** Bulk load alone, which gives the capacity of the member. */
  readonly capacity: ClosedLoopResult;
}

/** Runs the overload experiment; each load takes `durationMs`. */
export async function runOverload(durationMs: number): Promise<OverloadResult> {
  const deployment = await Deployment.start({
    networkId: 104,
    zones: ['only'],
    databases: [DATABASE],
    policy: EXPERIMENT_POLICY,
    slots: SLOTS,
    member: { serviceTimeMs: SERVICE_TIME_MS },
    limits: { maxQueueLength: 50 },
    usesProxies: false,
  });
  try {
    const [daemonId = ''] = deployment.daemons.keys();
    const address = deployment.clientAddress(daemonId);
    const setup = new pg.Client({ ...address, database: DATABASE, user: 'bench' });
    await setup.connect();
    for (const statement of LOAD_SCHEMA) await setup.query(statement);
    await setup.end();
    const common = { address, database: DATABASE, durationMs };
    const ofClass = (name: string) => (): string => `SELECT 1 /*class='${name}'*/`;
    const importantLoad = {
      ...common,
      clients: IMPORTANT_CLIENTS,
      thinkTimeMs: IMPORTANT_THINK_TIME_MS,
      statementText: ofClass('important'),
    };
    const bulkLoad = { ...common, clients: BULK_CLIENTS, thinkTimeMs: 0, statementText: ofClass('bulk') };
    const alone = await runClosedLoop(importantLoad);
    const capacity = await runClosedLoop({ ...bulkLoad, clients: SLOTS * 4 });
    const [important, bulk] = await Promise.all([runClosedLoop(importantLoad), runClosedLoop(bulkLoad)]);
    return {
      alone,
      important,
      bulk,
      capacity,
      kept: important.perSecond / alone.perSecond,
      totalPerSecond: important.perSecond + bulk.perSecond,
    };
  } finally {
    await deployment.stop();
  }
}
