/**
 * Guards against a wrong verdict for a write when the drain of a daemon times out.
 *
 * The daemon forwards the write to the owner of the database, and the drain ends while the owner's reply is
 * in transit. If the closing error does not depend on whether a request is outstanding, the client receives
 * `FATAL 57P01 verdict=not_run` as the only reply, although the member has stored the row.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import pg from 'pg';
import type { Deployment } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { connectTo, startDeployment } from '../support/experiment.js';

/** Longer than the drain timeout, in milliseconds. */
const ANSWER_DELAY_MS = 2000;

let deployment: Deployment;

before(async () => {
  deployment = await startDeployment({ networkId: 29, timing: { drainTimeoutMs: 300 } });
});
after(() => deployment.stop());

test('a write that the owner may have run is not reported as not run', async () => {
  const owner = await deployment.waitForOwner('quotes');
  const primary = (await deployment.findPrimary('quotes')) ?? '';
  const busyZones = [zoneOf(owner), deployment.members.get(primary)?.zone];
  const other = [...deployment.daemons.values()].find(({ zone }) => !busyZones.includes(zone))?.id ?? '';
  const client = await connectTo(deployment, other);
  const reader = await connectTo(deployment, owner);
  deployment.proxy.setDelay(zoneOf(owner), zoneOf(other), ANSWER_DELAY_MS);
  const written = client.query("INSERT INTO record VALUES ('handed', 1, 'write/handed')").then(
    () => assert.fail('answered'),
    (error: unknown) => error,
  );
  await waitUntil('the write to be stored', async () => {
    const { rowCount } = await reader.query("SELECT * FROM record WHERE key = 'handed'");
    return rowCount === 1;
  });
  deployment.child(other).signal('SIGTERM');
  const error = await written;
  assert.ok(error instanceof pg.DatabaseError, String(error));
  assert.equal(error.code, '57P01');
  assert.equal(error.detail, 'verdict=may_have_run');
  await reader.end();
});

function zoneOf(daemonId: string): string {
  return deployment.daemons.get(daemonId)?.zone ?? '';
}
