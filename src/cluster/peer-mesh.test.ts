/**
 * Connections between daemons when a process ends.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, test } from 'node:test';
import { waitUntil } from '../../standin/rig/wait-until.js';
import type { DaemonRecord } from './daemon-record.js';
import { PeerMesh, type OrderOutcome } from './peer-mesh.js';

const HOST = '127.0.0.1';
/** Closed after each test, also one that has failed: the file would not end. */
const open: { close(): unknown }[] = [];
afterEach(() => {
  for (const item of open.splice(0)) item.close();
});

function meshOf(self: DaemonRecord): PeerMesh {
  const mesh = new PeerMesh(self, LISTENER);
  open.push(mesh);
  return mesh;
}

const ended: string[] = [];
const left: string[] = [];
const LISTENER = {
  daemonEnded: (name: string) => void ended.push(name),
  holderLeft: (host: string) => void left.push(host),
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
  open.push(server);
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
  const mesh = meshOf(record('holder', 1));
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
  const former = meshOf(record('former', formerPort));
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
  const next = meshOf(record('next', nextPort));
  const records = [record('former', formerPort), other];
  const order = { kind: 'revoke', groupName: 'g', term: 1 } as const;
  await next.order(records, order, 1000);
  const outcome = (await next.order(records, order, 1000)).get('other');
  assert.equal(outcome?.kind, 'gone');
  assert.ok(outcome.absence && outcome.absence.sinceMs < seenAtMs + LATER_MS / 2);
});

/**
 * The holder itself was killed a moment before the leader was lost, and nobody had seen its end. Evidence: soak reborn 5001 with 4 daemons, `limit=null` at the
 * next holder, which took the duty 1.0 s after the kill.
 */
test('the end of the holder is seen by a daemon that it gave orders to, and told to the next one', async () => {
  const ports = [await freePort(), await freePort(), await freePort()];
  const [holder, watcher, next] = ports.map((port, index) => record(`d${index}`, port));
  assert.ok(holder && watcher && next);
  const meshes = [holder, watcher, next].map((self) => meshOf(self));
  const [ofHolder, ofWatcher, ofNext] = meshes;
  assert.ok(ofHolder && ofWatcher && ofNext);
  await ofHolder.listen(HOST, holder.port);
  await ofWatcher.listen(HOST, watcher.port);
  const order = { kind: 'revoke', groupName: 'g', term: 1 } as const;
  await ofHolder.order([watcher], order, 1000);
  left.length = 0;
  ofHolder.close();
  await waitUntil('the end of the connection', () => left.length === 1);
  assert.deepEqual(left, [HOST]);
  const seenAtMs = performance.now();
  void ofWatcher.lookForEnd(holder);
  const LATER_MS = 500;
  await new Promise((resolve) => setTimeout(resolve, LATER_MS));
  const records = [holder, watcher];
  await ofNext.order(records, order, 1000);
  const outcome = (await ofNext.order(records, order, 1000)).get(holder.name);
  assert.equal(outcome?.kind, 'gone');
  assert.ok(outcome.absence && outcome.absence.sinceMs < seenAtMs + LATER_MS / 2);
});

/** Two daemons would look at each other without end. */
test('a daemon that only looked whether another stands is no holder that has left', async () => {
  const ports = [await freePort(), await freePort()];
  const [one, other] = ports.map((port, index) => record(`d${index}`, port));
  assert.ok(one && other);
  const ofOne = meshOf(one);
  const ofOther = meshOf(other);
  await ofOther.listen(HOST, other.port);
  left.length = 0;
  await ofOne.lookForEnd(other);
  assert.equal(await ofOne.isGone(other), false);
  await new Promise((resolve) => setTimeout(resolve, 100));
  assert.deepEqual(left, []);
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
