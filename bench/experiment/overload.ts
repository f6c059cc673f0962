/**
 * More work than a member can do, in two classes: the important one is to keep its throughput.
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
const IMPORTANT_THINK_MS = 12;

/** Result of the measurement. */
export interface OverloadResult {
  /** The important class without other work. */
  readonly alone: ClosedLoopResult;
  readonly important: ClosedLoopResult;
  readonly bulk: ClosedLoopResult;
  /** Share of its throughput that the important class keeps. */
  readonly kept: number;
  readonly totalPerSecond: number;
  /** Bulk work alone: what the member can do. */
  readonly capacity: ClosedLoopResult;
}

/** Measures. */
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
      thinkTimeMs: IMPORTANT_THINK_MS,
      textOf: ofClass('important'),
    };
    const bulkLoad = { ...common, clients: BULK_CLIENTS, thinkTimeMs: 0, textOf: ofClass('bulk') };
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
