/**
 * Planned departures: a member that leaves gets no new work, and a daemon that stops interrupts no request.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, afterEach, before, beforeEach, test } from 'node:test';
import type { LoadGenerator } from '../../bench/load/load-generator.js';
import type { Deployment } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import {
  assertNoViolations,
  connectTo,
  createLoad,
  startDeployment,
  waitForProgress,
} from '../support/experiment.js';
import { countStatements } from '../support/member-counters.js';

const PROGRESS_OPERATIONS = 10;

let deployment: Deployment;
let load: LoadGenerator;
let runNumber = 0;

before(async () => {
  deployment = await startDeployment({ networkId: 15, machineListLagMs: 1000 });
});
after(() => deployment.stop());
beforeEach(async () => {
  runNumber += 1;
  load = createLoad(deployment, { name: `run${runNumber}`, seed: 77 * runNumber });
  load.start();
  await waitForProgress(load, PROGRESS_OPERATIONS);
});
afterEach(() => load.stop());

/** Operations with an outcome that a planned stop must not cause. */
function interruptedOperations(): readonly string[] {
  return load.operations
    .filter(({ outcome }) => outcome === 'unknown' || outcome === 'may_have_run' || outcome === 'error')
    .map(({ operationId, outcome, sqlState }) => `${operationId} ${outcome} ${sqlState}`);
}

test('a stop of the owner drains transactions and forwarded requests and interrupts none', async () => {
  const owner = await deployment.waitForOwner('quotes');
  const other = [...deployment.daemons.keys()].find((daemonId) => daemonId !== owner) ?? '';
  const client = await connectTo(deployment, other);
  await client.query('BEGIN');
  await client.query("INSERT INTO record VALUES ('open', 1, 'write/open')");
  const slow = client.query('SELECT pg_sleep(0.5)');
  deployment.child(owner).signal('SIGTERM');
  deployment.child(owner).signal('SIGTERM');
  await slow;
  await client.query('COMMIT');
  await client.end();
  assert.equal(await deployment.child(owner).waitForExit(), 0);
  await deployment.waitForOwner('quotes', owner);
  await waitForProgress(load, PROGRESS_OPERATIONS);
  assert.deepEqual(interruptedOperations(), []);
  deployment.startDaemon(owner);
  await assertNoViolations(deployment, load);
});

test('a stop of a daemon while the store is down interrupts no request', async () => {
  await deployment.setStoreFaults({ down: true });
  const daemonId = 'zone-c-d1';
  deployment.child(daemonId).signal('SIGTERM');
  assert.equal(await deployment.child(daemonId).waitForExit(), 0);
  assert.deepEqual(interruptedOperations(), []);
  await deployment.setStoreFaults({ down: false });
  deployment.startDaemon(daemonId);
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await assertNoViolations(deployment, load);
});

test('a member that the machine list says is leaving gets no new work', async () => {
  await deployment.setMachineState('quotes-3', 'leaving');
  await waitForNoNewWork('quotes-3');
  await deployment.setMachineState('quotes-3', 'live');
  await assertNoViolations(deployment, load);
});

test('a primary that reports that it is leaving gets no new work, and another one is promoted', async () => {
  const primary = (await deployment.findPrimary('quotes')) ?? '';
  deployment.child(primary).signal('SIGTERM');
  await waitUntil('another primary', async () => {
    const found = await deployment.findPrimary('quotes');
    return found !== null && found !== primary;
  });
  await waitForNoNewWork(primary);
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await assertNoViolations(deployment, load);
});

/** Waits until a member executes no client statements while the load makes progress. */
async function waitForNoNewWork(memberId: string): Promise<void> {
  await waitUntil(`no new work at ${memberId}`, async () => {
    const before = await countStatements(deployment, memberId);
    await waitForProgress(load, PROGRESS_OPERATIONS);
    return (await countStatements(deployment, memberId)) === before;
  });
}
