/**
 * Connections between daemons when a process ends.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test } from 'node:test';
import { waitUntil } from '../../standin/rig/wait-until.js';
import type { DaemonRecord } from './daemon-record.js';
import { PeerMesh, type OrderOutcome } from './peer-mesh.js';

const HOST = '127.0.0.1';
const ended: string[] = [];
const LISTENER = {
  daemonEnded: (name: string) => void ended.push(name),
  order: () => ({ latest: { term: 0, index: 0 }, limit: null }),
  suspicion: () => undefined,
  ownEvidence: () => ({ version: 0, leaders: null, agesMs: [] }),
};

function record(name: string, port: number): DaemonRecord {
  return { name, life: '1', host: HOST, port, gatewayPort: 1, zone: 'z', capacity: 1 };
}

async function listen(port: number, sockets: Set<Socket>): Promise<Server> {
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined).on('close', () => sockets.delete(socket));
  });
  server.listen(port, HOST);
  await once(server, 'listening');
  return server;
}

/**
 * The holder of the duty heard of an end with its next order, when the leader had been lost: 30 s without a leader, see `ended-daemon.test.ts`.
 */
test('the end of a process is seen when it comes, and not when the next order is given', async () => {
  const sockets = new Set<Socket>();
  const server = await listen(0, sockets);
  const { port } = server.address() as AddressInfo;
  const mesh = new PeerMesh(record('holder', 1), LISTENER);
  const other = record('other', port);
  mesh.connectAll([other]);
  await waitUntil('the connection', () => sockets.size === 1);
  const endedAtMs = performance.now();
  server.close();
  for (const socket of sockets) socket.destroy();
  await waitUntil('the end', () => sockets.size === 0);
  await waitUntil('the word of it', () => ended.length === 1);
  const REST_MS = 900;
  await new Promise((resolve) => setTimeout(resolve, REST_MS));
  const orderedAtMs = performance.now();
  const outcomes: ReadonlyMap<string, OrderOutcome> = await mesh.order(
    [other],
    { kind: 'revoke', groupName: 'g', term: 1 },
    100,
  );
  const outcome = outcomes.get('other');
  assert.equal(outcome?.kind, 'gone');
  assert.ok(outcome.absence);
  assert.ok(outcome.absence.sinceMs > endedAtMs && outcome.absence.sinceMs < orderedAtMs - REST_MS / 2);
  assert.ok(outcome.absence.lastMs >= orderedAtMs);
  assert.deepEqual(ended, ['other']);
  mesh.close();
});

/**
 * The holder that had seen the end was frozen when the leader was lost; the next holder knew of none. Evidence: soak reborn 6002, `daemon_ended` at the
 * first one, `limit=null` at the next for as long as the run lasted.
 */
test('the next holder hears of the ends that the last one has seen', async () => {
  const sockets = new Set<Socket>();
  const server = await listen(0, sockets);
  const other = record('other', (server.address() as AddressInfo).port);
  const [formerPort, nextPort] = [await freePort(), await freePort()];
  const former = new PeerMesh(record('former', formerPort), LISTENER);
  await former.listen(HOST, formerPort);
  former.connectAll([other]);
  await waitUntil('the connection', () => sockets.size === 1);
  ended.length = 0;
  server.close();
  for (const socket of sockets) socket.destroy();
  await waitUntil('the end', () => ended.length === 1);
  const seenAtMs = performance.now();
  const LATER_MS = 500;
  await new Promise((resolve) => setTimeout(resolve, LATER_MS));
  const next = new PeerMesh(record('next', nextPort), LISTENER);
  const records = [record('former', formerPort), other];
  const order = { kind: 'revoke', groupName: 'g', term: 1 } as const;
  await next.order(records, order, 1000);
  const outcome = (await next.order(records, order, 1000)).get('other');
  assert.equal(outcome?.kind, 'gone');
  assert.ok(outcome.absence && outcome.absence.sinceMs < seenAtMs + LATER_MS / 2);
  former.close();
  next.close();
});

async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
