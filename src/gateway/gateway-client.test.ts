/**
 * Which gateway requests are sent to when some are gone.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { after, before, test } from 'node:test';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer } from './gateway-server.js';

/** An address of this process's own, so that two runs do not meet. */
const HOST = `127.77.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const ports = {
  pool: () => null,
  ownEvidence: () => ({ version: 1, leaders: [], agesMs: [] }),
  changes: () => new Promise<never>(() => undefined),
  configuration: () => ({ version: 0, proof: null, item: null }),
  grant: () => Promise.resolve(null),
};
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 100 };

let running: GatewayServer;
const alive = recordOf('alive', 23_871);
const gone = recordOf('gone', 23_872);

before(async () => {
  running = new GatewayServer(ports);
  await running.listen(HOST, alive.gatewayPort);
});
after(() => running.close());

function recordOf(name: string, gatewayPort: number): DaemonRecord {
  return daemonRecord(name, { host: HOST, gatewayPort });
}

/** A client that has lost a gateway. */
async function clientWithoutGone(clock: { now: number }): Promise<GatewayClient> {
  const client = new GatewayClient(HOST, () => clock.now, Math.random);
  const reply = await client.borrow(gone, TERMS).send({ kind: 'status' });
  assert.equal(reply.result.isComplete, false, 'nothing was sent');
  return client;
}

test('a gateway that was lost is not tried again by requests while there is another', async () => {
  const clock = { now: 0 };
  const client = await clientWithoutGone(clock);
  for (clock.now = 0; clock.now < 5000; clock.now += 50) {
    assert.equal(client.choose([alive, gone])?.name, 'alive');
    await new Promise((resolve) => setImmediate(resolve));
  }
  client.close();
});

test('it is once it has answered', async () => {
  const clock = { now: 0 };
  const client = await clientWithoutGone(clock);
  const back = new GatewayServer(ports);
  await back.listen(HOST, gone.gatewayPort);
  clock.now = 1000;
  await waitUntil('the gateway to be used again', () => {
    clock.now += 1;
    const names = new Set(Array.from({ length: 40 }, () => client.choose([alive, gone])?.name));
    return Promise.resolve(names.has('gone'));
  });
  client.close();
  back.close();
});

test('a standby is used once all gateways were lost, and only then', async () => {
  const clock = { now: 0 };
  const client = await clientWithoutGone(clock);
  const standby = recordOf('standby', alive.gatewayPort);
  assert.equal(client.choose([alive, gone], [standby])?.name, 'alive');
  assert.equal(client.choose([gone], [standby])?.name, 'standby');
  clock.now = 700;
  assert.equal(client.choose([gone], [standby])?.name, 'standby', 'the gateway has not answered yet');
  client.close();
});

test('where all were lost, requests try them', async () => {
  const clock = { now: 0 };
  const client = await clientWithoutGone(clock);
  assert.equal(client.choose([gone]), null);
  clock.now = 700;
  assert.equal(client.choose([gone])?.name, 'gone');
  client.close();
});

test('a daemon that is silent is not waited for by others too, for grants and proofs', async () => {
  const clock = { now: 0 };
  const silent = recordOf('silent', 23_873);
  const server = createServer((socket) => socket.resume());
  await new Promise<void>((resolve) => server.listen(silent.gatewayPort, HOST, resolve));
  const client = new GatewayClient(HOST, () => clock.now, Math.random);
  const quota = { ratePerS: 1, burst: 1 };
  const request = {
    tenantName: 'amber',
    quota,
    count: 1,
    isForHome: false,
    isPassedOn: false,
    hasHomeRetired: false,
  };
  assert.equal(await client.askGrant(silent, request, 20), null);
  clock.now = 500;
  const startMs = performance.now();
  assert.equal(await client.askGrant(silent, request, 60_000), null);
  assert.equal(await client.askConfiguration(silent, 0, 60_000), null);
  assert.ok(performance.now() - startMs < 10_000);
  client.close();
  server.close();
});
