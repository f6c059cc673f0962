/**
 * Choice of a gateway while some gateways are unavailable.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { after, before, test } from 'node:test';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { OutsideTraffic } from '../isolation/outside-traffic.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer } from './gateway-server.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.77.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const ports = {
  pool: () => null,
  leaderCheck: () => null,
  ownEvidence: () => ({ version: 1, leaders: [], agesMs: [] }),
  changes: () => new Promise<never>(() => undefined),
  configuration: () => ({ version: 0, proof: null, item: null }),
  grant: () => Promise.resolve(null),
};
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 100 };

let availableServer: GatewayServer;
const available = recordOf('alive', 23_871);
const unavailable = recordOf('gone', 23_872);

before(async () => {
  availableServer = new GatewayServer(ports);
  await availableServer.listen(HOST, available.gatewayPort);
});
after(() => availableServer.close());

function recordOf(name: string, gatewayPort: number): DaemonRecord {
  return daemonRecord(name, { host: HOST, gatewayPort });
}

/** A client for which one gateway is unavailable. */
async function clientWithUnavailable(clock: { now: number }): Promise<GatewayClient> {
  const client = new GatewayClient(HOST, () => clock.now, Math.random);
  const reply = await client.borrow(unavailable, TERMS).send({ kind: 'status' });
  assert.equal(reply.result.isComplete, false, 'nothing was sent');
  return client;
}

test('an unavailable gateway is not used for requests while another is available', async () => {
  const clock = { now: 0 };
  const client = await clientWithUnavailable(clock);
  for (clock.now = 0; clock.now < 5000; clock.now += 50) {
    assert.equal(client.choose([available, unavailable])?.name, 'alive');
    await new Promise((resolve) => setImmediate(resolve));
  }
  client.close();
});

test('an unavailable gateway is used again once it has replied', async () => {
  const clock = { now: 0 };
  const client = await clientWithUnavailable(clock);
  const restarted = new GatewayServer(ports);
  await restarted.listen(HOST, unavailable.gatewayPort);
  clock.now = 1000;
  await waitUntil('the gateway to be used again', () => {
    clock.now += 1;
    const names = new Set(Array.from({ length: 40 }, () => client.choose([available, unavailable])?.name));
    return Promise.resolve(names.has('gone'));
  });
  client.close();
  restarted.close();
});

test('a standby is used only while all gateways are unavailable', async () => {
  const clock = { now: 0 };
  const client = await clientWithUnavailable(clock);
  const standby = recordOf('standby', available.gatewayPort);
  assert.equal(client.choose([available, unavailable], [standby])?.name, 'alive');
  assert.equal(client.choose([unavailable], [standby])?.name, 'standby');
  clock.now = 700;
  assert.equal(client.choose([unavailable], [standby])?.name, 'standby', 'the gateway has not replied yet');
  client.close();
});

test('an unavailable gateway is tried by requests if there is no other', async () => {
  const clock = { now: 0 };
  const client = await clientWithUnavailable(clock);
  assert.equal(client.choose([unavailable]), null);
  clock.now = 700;
  assert.equal(client.choose([unavailable])?.name, 'gone');
  client.close();
});

test('an unresponsive daemon delays no further requests for grants or configuration proofs', async () => {
  const clock = { now: 0 };
  const unresponsive = recordOf('silent', 23_873);
  const server = createServer((socket) => socket.resume());
  await new Promise<void>((resolve) => server.listen(unresponsive.gatewayPort, HOST, resolve));
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
  assert.equal(await client.requestGrant(unresponsive, request, 20), null);
  clock.now = 500;
  const startMs = performance.now();
  assert.equal(await client.requestGrant(unresponsive, request, 60_000), null);
  assert.equal(await client.requestConfiguration(unresponsive, 0, 60_000), null);
  assert.ok(performance.now() - startMs < 10_000);
  client.close();
  server.close();
});

test('while restricted to a zone, only available gateways of the zone lend', async () => {
  const clock = { now: 0 };
  const client = await clientWithUnavailable(clock);
  clock.now = 700;
  const outside = daemonRecord('outside', { host: HOST, gatewayPort: available.gatewayPort, zone: 'b' });
  client.restrictToZone('a');
  assert.equal(client.choose([outside, available])?.name, 'alive');
  assert.equal(client.choose([outside], [available])?.name, 'alive');
  assert.equal(client.choose([outside]), null);
  assert.equal(client.choose([unavailable], [outside]), null);
  client.restrictToZone(null);
  assert.equal(client.choose([outside])?.name, 'outside');
  client.close();
});

test('traffic of other zones: an awaited reply, its bytes, and a refused connection', async () => {
  const client = new GatewayClient(HOST, () => performance.now(), Math.random);
  const traffic = new OutsideTraffic();
  const poll = (): void => {
    traffic.beginPoll();
    client.recordTraffic('b', traffic);
  };
  const startMs = performance.now();
  client.ping(available);
  poll();
  assert.ok(traffic.silentSinceMs !== null && traffic.silentSinceMs >= startMs);
  const own = new OutsideTraffic();
  client.recordTraffic('a', own);
  assert.equal(own.silentSinceMs, null, 'connections within the zone do not count');
  await waitUntil('the reply to the ping', () => {
    poll();
    return traffic.lastReceivedMs > startMs && traffic.silentSinceMs === null;
  });
  const refusedFromMs = performance.now();
  client.ping(unavailable);
  await waitUntil('the refusal', () => {
    poll();
    return traffic.lastReceivedMs > refusedFromMs;
  });
  client.close();
});

// Guards against a gateway that stays out of use after it has recovered, as long as one of its replies is awaited.
test('a gateway that was silent is used again after its next message, also while a reply is awaited', async () => {
  const clock = { now: 0 };
  const slow = recordOf('slow', 23_876);
  const server = new GatewayServer({ ...ports, grant: () => new Promise<never>(() => undefined) });
  await server.listen(HOST, slow.gatewayPort);
  const client = new GatewayClient(
    HOST,
    () => clock.now,
    () => 0,
  );
  await client.requestEvidence(slow, 10_000);
  const request = {
    tenantName: 'amber',
    quota: { ratePerS: 1, burst: 1 },
    count: 1,
    isForHome: false,
    isPassedOn: false,
    hasHomeRetired: false,
  };
  const granted = client.requestGrant(slow, request, 60_000);
  for (; clock.now <= 600; clock.now += 50) client.check();
  assert.equal(client.choose([slow, available])?.name, 'alive', 'while it is silent');
  clock.now += 900;
  // A reply arrives, but not the one to the first request.
  await client.requestEvidence(slow, 10_000);
  clock.now += 1;
  assert.equal(client.choose([slow, available])?.name, 'slow', 'after its message');
  client.close();
  assert.equal(await granted, null);
  server.close();
});
