/**
 * Daemons whose process is stopped by a signal and later continues.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type pg from 'pg';
import { serialize } from 'pg-protocol';
import type { Deployment } from '../../standin/rig/deployment.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { connectTo, startDeployment } from '../support/experiment.js';
import { askMember, readCounters } from '../support/member-counters.js';
import { errorField, RawClient } from '../support/raw-client.js';

const CONNECTION_LIMIT = 9;
/** Connections for clients: the limit less the three that are reserved for control. */
const POOL_SIZE = 6;
/** Longer than the gap from which a daemon detects a pause, in milliseconds. */
const PAUSE_MS = 1500;

let deployment: Deployment;

before(async () => {
  deployment = await startDeployment({ networkId: 18, connectionLimit: CONNECTION_LIMIT, slots: POOL_SIZE });
});
after(() => deployment.stop());

async function openTransactions(daemonId: string): Promise<pg.Client[]> {
  const clients = await Promise.all(Array.from({ length: POOL_SIZE }, () => connectTo(deployment, daemonId)));
  await Promise.all(clients.map((client) => client.query('BEGIN')));
  await Promise.all(clients.map((client) => client.query('SELECT 1')));
  return clients;
}

test('the connections of a paused owner are ended before its successor opens its own', async () => {
  const owner = await deployment.waitForOwner('quotes');
  await openTransactions(owner);
  deployment.child(owner).signal('SIGSTOP');
  try {
    const successor = await deployment.waitForOwner('quotes', owner);
    const clients = await openTransactions(successor);
    await Promise.all(clients.map((client) => client.query('COMMIT')));
    await Promise.all(clients.map((client) => client.end()));
  } finally {
    deployment.child(owner).signal('SIGCONT');
  }
  for (const memberId of deployment.members.keys()) {
    const { highestConnections, refusedConnections } = await readCounters(deployment, memberId);
    assert.equal(refusedConnections, 0, memberId);
    assert.ok(highestConnections <= CONNECTION_LIMIT, `${memberId} had ${highestConnections}`);
  }
});

test('a request that waited in a paused daemon is not run after something newer', async () => {
  const owner = await deployment.waitForOwner('quotes');
  const paused = [...deployment.daemons.keys()].find((daemonId) => daemonId !== owner) ?? '';
  const other = await connectTo(deployment, owner);
  await other.query("INSERT INTO record VALUES ('paused', 1)");
  const waiting = await RawClient.start(deployment.clientAddress(paused));
  deployment.child(paused).signal('SIGSTOP');
  try {
    waiting.socket.write(serialize.query("UPDATE record SET version = 2 WHERE key = 'paused'"));
    await other.query("UPDATE record SET version = 3 WHERE key = 'paused'");
    await delay(PAUSE_MS);
  } finally {
    deployment.child(paused).signal('SIGCONT');
  }
  await waiting.waitForClose();
  assert.equal(errorField(waiting.ofType('E')[0], 'C'), '57P01');
  assert.equal(errorField(waiting.ofType('E')[0], 'D'), 'verdict=not_run');
  const result = await other.query<{ version: number }>("SELECT version FROM record WHERE key = 'paused'");
  assert.equal(result.rows[0]?.version, 3);
  await other.end();
});

test('a transaction that its paused owner has lost is not continued outside a transaction', async () => {
  const singleDaemon = await startDeployment({ networkId: 19, zones: ['only'] });
  try {
    const client = await connectTo(singleDaemon, 'only-d1');
    await client.query('BEGIN');
    await client.query("INSERT INTO record VALUES ('first half', 1)");
    singleDaemon.child('only-d1').signal('SIGSTOP');
    await waitUntil(
      'the member to end the session of the stopped owner',
      async () => !(await hasControlSession(singleDaemon, 'quotes-1')),
    );
    singleDaemon.child('only-d1').signal('SIGCONT');
    await waitUntil('the daemon to own the database again', async () => {
      return singleDaemon.child('only-d1').log.split('event=lease_acquired').length === 3;
    });
    const lost = { code: '08006', detail: 'verdict=not_run' };
    await assert.rejects(client.query("INSERT INTO record VALUES ('second half', 1)"), lost);
    await client.query('ROLLBACK');
    const result = await client.query('SELECT key FROM record');
    assert.deepEqual(result.rows, []);
    await client.end();
  } finally {
    await singleDaemon.stop();
  }
});

/** True while an owner has a control session on the member. */
async function hasControlSession(target: Deployment, memberId: string): Promise<boolean> {
  const text = "SELECT pid FROM pg_stat_activity WHERE application_name = 'sorrelladder-control'";
  return (await askMember(target, memberId, text)).rows.length > 0;
}
