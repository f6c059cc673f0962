/**
 * Runs a load on a deployment while a test injects faults, then checks the history.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import pg from 'pg';
import { findViolations } from '../../bench/history/checker.js';
import { LOAD_SCHEMA, LoadGenerator, type LoadOptions } from '../../bench/load/load-generator.js';
import { collectMembers } from '../../bench/load/collect-members.js';
import { Deployment, type DeploymentOptions } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';

/** Routes lookups to replicas. Short deadlines keep a partition from blocking the load for long. */
export const LOOKUP_POLICY = `
rules:
  - name: lookups
    when: class == "lookup" && kind == "read"
    replica: true
    deadlineMs: 1500
  - name: others
    when: "true"
    deadlineMs: 1500
`;

/** Starts a deployment with the tables of the load. */
export async function startDeployment(options: Partial<DeploymentOptions>): Promise<Deployment> {
  const deployment = await Deployment.start({ policy: LOOKUP_POLICY, ...options });
  for (const database of deployment.options.databases) {
    const client = await connectTo(deployment, [...deployment.daemons.keys()][0] ?? '', database);
    for (const statement of LOAD_SCHEMA) await client.query(statement);
    await client.end();
  }
  return deployment;
}

/** Connects a client to a daemon. */
export async function connectTo(
  deployment: Deployment,
  daemonId: string,
  database = 'quotes',
  options = '',
): Promise<pg.Client> {
  const address = deployment.clientAddress(daemonId);
  const client = new pg.Client({ ...address, database, user: 'agent', options, query_timeout: 30_000 });
  client.on('error', () => undefined);
  await client.connect();
  return client;
}

/** Creates a load that uses all daemons of a deployment. */
export function createLoad(deployment: Deployment, options: Partial<LoadOptions>): LoadGenerator {
  const targets = [...deployment.daemons.keys()].map((daemonId) => ({
    daemonId,
    ...deployment.clientAddress(daemonId),
  }));
  return new LoadGenerator({
    targets,
    databases: deployment.options.databases,
    sessions: 12,
    mix: { write: 25, transaction: 15, once: 10 },
    seed: 42,
    thinkTimeMs: 2,
    readClass: 'lookup',
    name: 'load',
    ...options,
  });
}

/** Waits until `count` further operations of each kind have been acknowledged. */
export async function waitForProgress(load: LoadGenerator, count: number): Promise<void> {
  const sinceMs = performance.now();
  await waitUntil(`${count} acknowledged operations of each kind`, () =>
    (['write', 'read', 'transaction', 'once'] as const).every(
      (kind) => load.acknowledged(kind, sinceMs) >= count,
    ),
  );
}

/**
 * Stops the load, heals the network, waits until the groups converge, and asserts a history without
 * violations.
 */
export async function assertNoViolations(deployment: Deployment, load: LoadGenerator): Promise<void> {
  await load.stop();
  deployment.proxy.heal();
  await waitForConvergence(deployment);
  const members = await collectMembers(deployment);
  const violations = findViolations({ operations: load.operations, members });
  assert.deepEqual(
    violations.slice(0, 5),
    [],
    `${violations.length} violations in ${load.operations.length} operations`,
  );
}

/** Waits until the running members of each group hold the same log. */
export async function waitForConvergence(deployment: Deployment): Promise<void> {
  await waitUntil('the members to converge', async () => {
    const members = await collectMembers(deployment);
    return deployment.options.databases.every((database) => {
      const group = members.filter((member) => member.database === database);
      const ends = new Set(group.map(({ log }) => `${log.at(-1)?.term}/${log.length}`));
      return ends.size === 1 && group.filter(({ isPrimary }) => isPrimary).length === 1;
    });
  });
}
