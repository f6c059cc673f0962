/**
 * Order in which a gateway serves the waiting requests of other daemons.
 *
 * Guards against capacity being spent on requests that have missed their latency objective: without the due
 * time, a gateway takes the end of the wait for it, and a request that has waited elsewhere for its whole
 * objective precedes one that can still meet it.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { SlowLink } from '../../test/support/slow-link.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { BorrowedLink } from './borrowed-link.js';
import { GatewayClient } from './gateway-client.js';
import type { LoanTerms } from './gateway-connection.js';
import { GatewayServer } from './gateway-server.js';
import { createLenderPool, createLenderResources } from '../../test/support/lender.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.77.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('gateway', { host: HOST, gatewayPort: 23_871 });
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 60_000 };

let link: SlowLink;
let pool: LinkPool;
let server: GatewayServer;
let client: GatewayClient;

beforeEach(async () => {
  link = new SlowLink();
  pool = createLenderPool({ dial: () => Promise.resolve(link) });
  server = new GatewayServer(createLenderResources(() => pool));
  await server.listen(HOST, RECORD.gatewayPort);
  client = new GatewayClient(HOST, () => performance.now(), Math.random);
});
afterEach(() => {
  client.close();
  server.close();
});

/** Runs reads with these terms while the only connection is in use; returns their names in the order served. */
async function servedOrder(terms: Readonly<Record<string, Partial<LoanTerms>>>): Promise<readonly string[]> {
  const order: string[] = [];
  const send = (loan: BorrowedLink, name: string): Promise<unknown> =>
    loan.send({ kind: 'statement', requestId: name, payload: `READ ${name}`, after: null });
  const holder = send(client.borrow(RECORD, TERMS), 'holder');
  await waitUntil('the connection to be in use', () => link.hasPendingRequest);
  const waiting = Object.entries(terms).map(([name, own]) =>
    send(client.borrow(RECORD, { ...TERMS, ...own }), name).then(() => order.push(name)),
  );
  await waitUntil('all requests to wait', () => pool.load === 1 + waiting.length);
  for (let served = 0; served <= waiting.length; served += 1) {
    await waitUntil('a request to be sent', () => link.answer());
    if (served > 0) await waitUntil('its reply to arrive', () => order.length === served);
  }
  await Promise.all([holder, ...waiting]);
  return order;
}

test('a request that can still meet its latency objective precedes one that has missed it', async () => {
  const order = await servedOrder({
    missed: { dueInMs: -300 },
    late: { dueInMs: 5000 },
    soon: { dueInMs: 900 },
  });
  assert.deepEqual(order, ['soon', 'late', 'missed']);
});

test('without a valid due time the end of the wait counts, as for daemons of earlier builds', async () => {
  const order = await servedOrder({
    old: { waitMs: 30_000 },
    invalid: { waitMs: 20_000, dueInMs: Number.NaN },
    due: { dueInMs: 2000 },
  });
  assert.deepEqual(order, ['due', 'invalid', 'old']);
});

test('a waiting write is marked as one, so that it can be rejected when commits stall', async () => {
  const holder = client.borrow(RECORD, TERMS).send({ kind: 'status' });
  await waitUntil('the connection to be in use', () => link.hasPendingRequest);
  const request = { kind: 'statement', requestId: 'w', payload: 'WRITE t d', after: null } as const;
  const write = client.borrow(RECORD, { ...TERMS, isWrite: true }).send(request);
  const read = client.borrow(RECORD, TERMS).send({ ...request, requestId: 'r', payload: 'READ t' });
  await waitUntil('both to wait', () => pool.load === 3);
  pool.rejectWaiters('commits stall', ({ isWrite }) => isWrite);
  assert.equal((await write).result.isComplete, false);
  await waitUntil('the status request to be answered', () => link.answer());
  await waitUntil('the read to be sent', () => link.answer());
  assert.equal((await read).result.isComplete, true);
  await holder;
});
