/**
 * A daemon whose drain is over before the answer to a request has come.
 *
 * Users were told "the daemon is stopping" with the verdict `not_run` for a write that was then found to be kept. The daemon had
 * handed it to the owner of the database, whose answer was on its way when the drain ended, and the goodbye was the same whether
 * something ran or not.
 *
 * Evidence: `FATAL 57P01 verdict=not_run` as the only answer, and the row at the member.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import pg from 'pg';
import type { Deployment } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { connectTo, startDeployment } from '../support/experiment.js';

/** Longer than the drain, in milliseconds. */
const ANSWER_DELAY_MS = 2000;

let deployment: Deployment;

before(async () => {
  deployment = await startDeployment({ networkId: 29, timing: { drainTimeoutMs: 300 } });
});
after(() => deployment.stop());

test('a write that the owner has run is not promised to be undone', async () => {
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
  await waitUntil('the write to be kept', async () => {
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
