/**
 * Consistency under faults: a load that moves between daemons, and an independent checker of its history.
 *
 * @packageDocumentation
 */
import { after, afterEach, before, beforeEach, test } from 'node:test';
import type { Deployment } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { assertNoViolations, createLoad, startDeployment, waitForProgress } from '../support/experiment.js';
import type { LoadGenerator } from '../../bench/load/load-generator.js';

const REPLICA_LAG_MS = 300;
const PROGRESS_OPERATIONS = 15;

let deployment: Deployment;
let load: LoadGenerator;
let runNumber = 0;

before(async () => {
  deployment = await startDeployment({
    networkId: 13,
    member: { applyLagMs: REPLICA_LAG_MS, electionTimeoutMs: 800 },
  });
});
after(() => deployment.stop());

beforeEach(async () => {
  runNumber += 1;
  load = createLoad(deployment, { name: `run${runNumber}`, seed: 1000 * runNumber });
  load.start();
  await waitForProgress(load, PROGRESS_OPERATIONS);
});

afterEach(async () => {
  await load.stop();
  deployment.proxy.heal();
});

test('replicas behind, no further fault', async () => {
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await assertNoViolations(deployment, load);
});

test('the owner of the database is killed', async () => {
  const owner = await deployment.waitForOwner('quotes');
  await deployment.child(owner).kill();
  await deployment.waitForOwner('quotes', owner);
  await waitForProgress(load, PROGRESS_OPERATIONS);
  deployment.startDaemon(owner);
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await assertNoViolations(deployment, load);
});

test('the owner is paused until another has taken over, then resumed', async () => {
  const owner = await deployment.waitForOwner('quotes');
  deployment.child(owner).signal('SIGSTOP');
  try {
    await deployment.waitForOwner('quotes', owner);
    await waitForProgress(load, PROGRESS_OPERATIONS);
  } finally {
    deployment.child(owner).signal('SIGCONT');
  }
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await assertNoViolations(deployment, load);
});

test('the zone of the primary is cut off', async () => {
  const primary = (await deployment.findPrimary('quotes')) ?? '';
  const zone = deployment.members.get(primary)?.zone ?? '';
  deployment.proxy.isolate(zone, deployment.zones);
  await waitUntil('another primary', async () => {
    const found = await deployment.findPrimary('quotes');
    return found !== null && found !== primary;
  });
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await assertNoViolations(deployment, load);
});

test('the primary hears nothing from its group but goes on answering', async () => {
  const primary = (await deployment.findPrimary('quotes')) ?? '';
  const zone = deployment.members.get(primary)?.zone ?? '';
  for (const other of deployment.zones) if (other !== zone) deployment.proxy.cutOneWay(zone, other);
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await assertNoViolations(deployment, load);
});

test('the store is down and the owner is killed', async () => {
  await deployment.setStoreFaults({ down: true });
  const owner = await deployment.waitForOwner('quotes');
  await deployment.child(owner).kill();
  await deployment.waitForOwner('quotes', owner);
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await deployment.setStoreFaults({ down: false });
  deployment.startDaemon(owner);
  await assertNoViolations(deployment, load);
});

test('replies are delayed by seconds between two zones', async () => {
  const [first = '', second = ''] = deployment.zones;
  deployment.proxy.setDelay(first, second, 1500);
  deployment.proxy.setDelay(second, first, 1500);
  await waitForProgress(load, PROGRESS_OPERATIONS);
  await assertNoViolations(deployment, load);
});
