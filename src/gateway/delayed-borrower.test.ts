/**
 * A borrower whose own process is delayed while gateways reply at once.
 *
 * Guards against gateways that are taken for silent, get no loans, or lose their connection because the borrower
 * has not read yet what they sent: timers that are due after a delay run before the input that arrived meanwhile.
 */
import assert from 'node:assert/strict';
import { createServer, type Server, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { GatewayClient } from './gateway-client.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.84.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('g1', { host: HOST, gatewayPort: 24_041 });
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 60_000 };
const BEGIN = { kind: 'begin', isReadOnly: false, after: null } as const;

let server: Server;
const sockets = new Set<Socket>();
let clock: { now: number };
let client: GatewayClient;
/** Why the loan of the test ended; `null` while it is open. */
let loan: { ended: unknown };

/** A client with a loan that awaits the reply to a `begin` from time 0 on. */
beforeEach(async () => {
  sockets.clear();
  server = createServer((socket) => sockets.add(socket.resume()));
  await new Promise<void>((resolve) => server.listen(RECORD.gatewayPort, HOST, resolve));
  clock = { now: 0 };
  client = new GatewayClient(HOST, () => clock.now, Math.random);
  const opened: typeof loan = { ended: null };
  loan = opened;
  client.check();
  const isConnected = new Promise((resolve) => server.once('connection', resolve));
  client
    .borrow(RECORD, TERMS)
    .send(BEGIN)
    .catch((error: unknown) => (opened.ended = error));
  await isConnected;
  await nextTurn();
});

afterEach(() => {
  client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
});

/** Waits until input has been read and rejections have been handled. */
async function nextTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
  await new Promise((resolve) => setImmediate(resolve));
}

/** Runs checks at the given times, without reading input between a delay and its check. */
async function checkAt(...timesMs: readonly number[]): Promise<void> {
  for (const timeMs of timesMs) {
    clock.now = timeMs;
    client.check();
    await nextTurn();
  }
}

test('two delays in a row, each too short for a pause, do not make a gateway silent', async () => {
  await checkAt(50, 290, 530);
  assert.equal(loan.ended, null);
  assert.equal(client.choose([RECORD]), RECORD);
});

test('a gateway gets loans after a pause of the borrower', async () => {
  await checkAt(50, 650);
  assert.equal(loan.ended, null);
  assert.equal(client.choose([RECORD]), RECORD);
});

test('the connection to a gateway stays open after a pause of the borrower', async () => {
  await checkAt(50, 2000);
  assert.equal(loan.ended, null);
  assert.equal([...sockets].filter((socket) => !socket.closed).length, 1);
});

test('a gateway that is silent for the time of several delays is detected', async () => {
  await checkAt(50, 250, 450, 650, 850, 1050);
  assert.match(String(loan.ended), /the gateway does not reply/);
  assert.equal(client.choose([RECORD]), null);
});

test('a silent gateway is detected even if the borrower is paused before each check', async () => {
  await checkAt(50, 350, 650, 950, 1250, 1550, 1850);
  assert.match(String(loan.ended), /the gateway does not reply/);
});
