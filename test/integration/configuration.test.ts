/**
 * An accepted configuration takes effect on every daemon within seconds and never reverts.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, afterEach, before, test } from 'node:test';
import type { Deployment } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { connectTo, startDeployment } from '../support/experiment.js';

let deployment: Deployment;

before(async () => {
  deployment = await startDeployment({ networkId: 14 });
});
after(() => deployment.stop());
afterEach(() => deployment.setStoreFaults({ down: false, loseAnswers: 0, staleReads: false, delayMs: 0 }));

function policy(name: string): string {
  return `rules:\n  - name: ${name}\n    when: class == "x"\n    refuse: ${name}\n`;
}

async function versionOf(daemonId: string): Promise<number> {
  return (await deployment.status(daemonId).catch(() => null))?.configurationVersion ?? 0;
}

async function waitForVersion(version: number): Promise<void> {
  await waitUntil(`version ${version} everywhere`, async () => {
    const versions = await Promise.all([...deployment.daemons.keys()].map(versionOf));
    return versions.every((known) => known >= version);
  });
}

/** Restarts a daemon and returns the versions that it applied, in order, until it has reached `version`. */
async function restartAndRecordVersions(daemonId: string, version: number): Promise<number[]> {
  await deployment.child(daemonId).kill();
  deployment.startDaemon(daemonId);
  const seen: number[] = [];
  await waitUntil(`version ${version} at ${daemonId}`, async () => {
    const known = await versionOf(daemonId);
    if (known > 0 && known !== seen.at(-1)) seen.push(known);
    return known >= version;
  });
  return seen;
}

test('a publication whose reply is lost is recognised by its identity and takes effect', async () => {
  await deployment.setStoreFaults({ loseAnswers: 1 });
  const version = await deployment.publish({ policy: policy('lost') });
  await waitForVersion(version);
  const client = await connectTo(deployment, 'zone-b-d1');
  await assert.rejects(client.query("SELECT 1 /*class='x'*/"), { message: 'refused by policy: lost' });
  await client.end();
});

test('of two concurrent publications, one is accepted and the other reports a conflict', async () => {
  const store = deployment.configurationStore;
  const before = (await store.read())?.version ?? 0;
  const options = { publishedBy: 'operator', expectedVersion: before, readBackAttempts: 3 };
  const results = await Promise.all(
    ['first', 'second'].map((name) => store.publish({ policy: policy(name) }, options)),
  );
  const accepted = results.flatMap((result) => (result.isRight() ? [result.extract()] : []));
  const refused = results.flatMap((result) => (result.isLeft() ? [result.extract()] : []));
  assert.equal(accepted.length, 1);
  assert.deepEqual(refused, [{ kind: 'conflict', currentVersion: before + 1 }]);
  await waitForVersion(before + 1);
  const identities = await Promise.all(
    [...deployment.daemons.keys()].map(async (id) => (await deployment.status(id)).configurationIdentity),
  );
  assert.deepEqual(new Set(identities), new Set([(accepted[0] as { identity: string }).identity]));
});

test('a daemon that restarts while the store returns stale reads starts with the newest version', async () => {
  await deployment.setStoreFaults({ staleReads: true });
  await deployment.configurationStore.read();
  const version = await deployment.publish({ policy: policy('newest') }).catch(() => 0);
  await deployment.setStoreFaults({ staleReads: false });
  const newest = version || (await deployment.publish({ policy: policy('newest') }));
  await waitForVersion(newest);
  await deployment.setStoreFaults({ staleReads: true });
  assert.deepEqual(await restartAndRecordVersions('zone-a-d1', newest), [newest]);
});

test('a daemon that restarts while the store is down adopts the version of a majority', async () => {
  const version = await deployment.publish({ policy: policy('majority') });
  await waitForVersion(version);
  await deployment.setStoreFaults({ down: true });
  assert.deepEqual(await restartAndRecordVersions('zone-b-d1', version), [version]);
});

test('with the store down and one other daemon left, a restarted daemon serves nothing until the store is back', async () => {
  const version = await deployment.publish({ policy: policy('alone') });
  await waitForVersion(version);
  await deployment.setStoreFaults({ down: true });
  await deployment.child('zone-c-d1').kill();
  await deployment.child('zone-b-d1').kill();
  deployment.startDaemon('zone-b-d1');
  await waitUntil('the restarted daemon to have asked the other daemon several times', () => {
    return deployment.child('zone-b-d1').log.split('store_unavailable').length > 5;
  });
  const refused = { code: '57P03', detail: 'verdict=not_run' };
  await assert.rejects(connectTo(deployment, 'zone-b-d1'), refused);
  assert.equal(await versionOf('zone-b-d1'), 0);
  await deployment.setStoreFaults({ down: false });
  await waitUntil('the restarted daemon to serve', async () => (await versionOf('zone-b-d1')) === version);
  deployment.startDaemon('zone-c-d1');
  await waitForVersion(version);
});

/**
 * Guards against publications that never take effect after the store was restored from a backup. The restored
 * store holds an older configuration than the daemons have applied. The next publication is based on it, so
 * it is accepted under a version that the daemons already know, and no daemon applies it. The daemons must
 * also not mistake a revision of the restored store for one from before the restore, and have to write the
 * lost configuration back: only they still have it.
 */
test('a daemon writes back a configuration that the store has lost, and the next one takes effect', async () => {
  const { configurationStore: store } = deployment;
  const older = await deployment.publish({ policy: policy('older') });
  const before = await store.readVersion(older);
  const newer = await deployment.publish({ policy: policy('newer') });
  await waitForVersion(newer);
  assert.ok(before !== null);
  const stored = await store.readStored();
  assert.equal(await store.restore(before, stored?.modRevision ?? 0), true);
  await waitUntil(
    'the newer configuration to be in the store',
    async () => (await store.read())?.version === newer,
  );
  await waitForVersion(await deployment.publish({ policy: policy('next') }));
});
