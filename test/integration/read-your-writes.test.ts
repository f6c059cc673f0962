/**
 * A session's next read returns its write, with a large replication lag, also through daemons that do not
 * know the session.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import type { Deployment } from '../../standin/rig/deployment.js';
import { connectTo, startDeployment } from '../support/experiment.js';

/** Longer than any failover in these tests, in milliseconds. */
const REPLICA_LAG_MS = 20_000;
const SESSION = '-c sorrelladder.session=agent-1 -c sorrelladder.class=lookup';

let deployment: Deployment;
let version = 0;

before(async () => {
  deployment = await startDeployment({
    networkId: 17,
    member: { applyLagMs: REPLICA_LAG_MS },
    policy: 'rules:\n  - name: lookups\n    when: kind == "read"\n    replica: true\n',
  });
});
after(() => deployment.stop());

async function writeThrough(daemonId: string): Promise<void> {
  version += 1;
  const client = await connectTo(deployment, daemonId, 'quotes', SESSION);
  const text =
    'INSERT INTO record VALUES ($1, $2::int) ON CONFLICT (key) DO UPDATE SET version = excluded.version';
  await client.query(text, ['mine', version]);
  await client.end();
}

async function assertWriteVisibleThrough(daemonId: string): Promise<void> {
  const client = await connectTo(deployment, daemonId, 'quotes', SESSION);
  const result = await client.query<{ version: number }>("SELECT version FROM record WHERE key = 'mine'");
  await client.end();
  assert.equal(result.rows[0]?.version, version);
}

test('the next read through every daemon returns the write', async () => {
  for (const daemonId of deployment.daemons.keys()) {
    await writeThrough(daemonId);
    for (const other of deployment.daemons.keys()) await assertWriteVisibleThrough(other);
  }
});

test('the owner, which alone knew the session, is killed: its successor does not serve older data', async () => {
  const owner = await deployment.waitForOwner('quotes');
  await writeThrough(owner);
  await deployment.child(owner).kill();
  const rest = [...deployment.daemons.keys()].filter((daemonId) => daemonId !== owner);
  for (const other of rest) await assertWriteVisibleThrough(other);
  await deployment.restartDaemon(owner);
  await assertWriteVisibleThrough(owner);
});

test('the store is down, and the daemon that reads has just started', async () => {
  await deployment.setStoreFaults({ down: true });
  const owner = await deployment.waitForOwner('quotes');
  const restarted = [...deployment.daemons.keys()].find((daemonId) => daemonId !== owner) ?? '';
  await writeThrough(owner);
  await deployment.child(restarted).kill();
  await deployment.restartDaemon(restarted);
  await assertWriteVisibleThrough(restarted);
  await deployment.setStoreFaults({ down: false });
});

test('the primary is killed: the next read returns what it had acknowledged', async () => {
  await writeThrough('zone-a-d1');
  const primary = (await deployment.findPrimary('quotes')) ?? '';
  await deployment.child(primary).kill();
  for (const daemonId of deployment.daemons.keys()) await assertWriteVisibleThrough(daemonId);
});
