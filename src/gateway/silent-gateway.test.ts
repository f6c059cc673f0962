/**
 * Requests through a gateway that no longer replies although its connection is open.
 *
 * Guards against reads that wait for the end of the connection, or for their deadline, while another gateway
 * of the same member could serve them, and against requests that are reported as in doubt although no message
 * about them has left the borrower.
 */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import { afterEach, beforeEach, describe, test } from 'node:test';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { LendingScene, type TestLender } from '../../test/support/lending-scene.js';
import { LinkLostError, NotSentError, type MemberReply } from '../relay/member-link.js';
import { ReadRunner } from '../relay/read-runner.js';
import { Transaction } from '../relay/transaction.js';
import { GatewayClient } from './gateway-client.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.81.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 60_000 };
const BEGIN = { kind: 'begin', isReadOnly: false, after: null } as const;
const WRITE = { kind: 'statement', requestId: 'w', payload: 'WRITE t d', after: null } as const;
const ROUTE = {
  database: 'stock',
  groupName: 'g',
  consistency: 'primary',
  timeoutMs: 10_000,
  targetLatencyMs: 10_000,
  priority: 1,
  maxStalenessMs: 0,
  isPublic: true,
} as const;

let scene: LendingScene;
let lenders: readonly [TestLender, TestLender, TestLender];

beforeEach(async () => {
  scene = new LendingScene(HOST);
  lenders = [
    await scene.addLender('g1', 24_001),
    await scene.addLender('g2', 24_002),
    await scene.addLender('g3', 24_003),
  ];
});
afterEach(() => scene.close());

/** Starts a read that only the leader may serve. */
function startRead(gateways: readonly TestLender[]): Promise<MemberReply> {
  const { context, group } = scene.leaderBehind(gateways);
  return new ReadRunner(context, {
    requestId: 'r',
    statement: { kind: 'plain', payload: 'READ r' },
    route: ROUTE,
    group,
    tenantName: 'one',
    values: new Map(),
    sessionFloor: null,
    receivedAtMs: context.now(),
    deadlineMs: context.now() + ROUTE.timeoutMs,
  }).run();
}

/** Resolves once the member has received a statement through the gateway. */
function statementAt(lender: TestLender): Promise<void> {
  return waitUntil(`a statement at ${lender.record.name}`, () => lender.statements > 0);
}

describe('a read that waits for its answer through a gateway that becomes silent', () => {
  test('is sent to the same member through another gateway, long before its deadline', async () => {
    const [first, second] = lenders;
    const reply = startRead([first, second]);
    await statementAt(first);
    assert.equal(second.statements, 0);
    const silentAtMs = performance.now();
    scene.silence(first);
    await statementAt(second);
    assert.ok(performance.now() - silentAtMs < ROUTE.timeoutMs / 2);
    second.answer();
    assert.equal((await reply).result.isComplete, true);
  });

  test('is answered by the first attempt if that answer arrives first', async () => {
    const [first, second] = lenders;
    const reply = startRead([first, second]);
    await statementAt(first);
    scene.silence(first);
    first.answer();
    await statementAt(second);
    scene.proxy.heal();
    assert.equal((await reply).result.isComplete, true);
    assert.equal(second.links[0]?.hasPendingRequest, true, 'the second attempt has no answer');
  });

  test('is sent no third time while both gateways are silent', async () => {
    const [first, second, third] = lenders;
    const reply = startRead([first, second, third]);
    await statementAt(first);
    scene.silence(first);
    await statementAt(second);
    scene.silence(second);
    const probe = scene.client.borrow(second.record, TERMS).send(BEGIN);
    await assert.rejects(probe, LinkLostError);
    await new Promise((resolve) => setTimeout(resolve, 150));
    assert.equal(third.statements, 0);
    scene.proxy.heal();
    second.answer();
    first.answer();
    assert.equal((await reply).result.isComplete, true);
  });

  test('waits for the answer if there is no other gateway', async () => {
    const [first] = lenders;
    const reply = startRead([first]);
    await statementAt(first);
    scene.silence(first);
    await new Promise((resolve) => setTimeout(resolve, 700));
    scene.proxy.heal();
    first.answer();
    assert.equal((await reply).result.isComplete, true);
    assert.equal(first.statements, 1);
  });
});

test('a transaction that waits for its begin at a gateway that becomes silent begins through another', async () => {
  const [first, second] = lenders;
  const { context, group } = scene.leaderBehind([first, second]);
  const transaction = new Transaction(context, {
    route: ROUTE,
    group,
    isReadOnly: false,
    receivedAtMs: context.now(),
    tenantName: 'one',
    sessionFloor: null,
  });
  const reply = transaction.run({
    requestId: 't',
    statement: { kind: 'plain', payload: 'WRITE t d' },
    kind: 'write',
    values: new Map(),
    deadlineMs: context.now() + ROUTE.timeoutMs,
  });
  await waitUntil('the begin at the first gateway', () => first.links[0]?.hasPendingRequest === true);
  scene.silence(first);
  await waitUntil('the begin at the second gateway', () => second.answer());
  await waitUntil('the statement at the second gateway', () => second.answer());
  assert.equal((await reply).result.isComplete, true);
  assert.equal(first.statements, 0);
  scene.proxy.heal();
  await waitUntil('the first gateway to end the loan', () => first.server.openLoans === 0);
  transaction.end();
});

test('a silent gateway whose loans have ended gets no new ones until it has replied', async () => {
  const [first, second] = lenders;
  const begin = scene.client.borrow(first.record, TERMS).send(BEGIN);
  await waitUntil('the begin at the first gateway', () => first.links[0]?.hasPendingRequest === true);
  scene.silence(first);
  await assert.rejects(begin, LinkLostError);
  const untilMs = performance.now() + 800;
  while (performance.now() < untilMs) {
    assert.equal(scene.client.choose([first.record, second.record])?.name, 'g2');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  scene.proxy.heal();
  await waitUntil(
    'the first gateway to be used again',
    () => scene.client.choose([first.record, second.record])?.name === 'g1',
  );
});

test('a write that was sent to a gateway that becomes silent may have run', async () => {
  const [first] = lenders;
  const outcome = scene.client.borrow(first.record, TERMS).send(WRITE);
  const refused = assert.rejects(
    outcome,
    (error) => error instanceof LinkLostError && !(error instanceof NotSentError),
  );
  await statementAt(first);
  scene.silence(first);
  await refused;
});

describe('a loan that the borrower ends at the deadline of its request', () => {
  test('was not run if no message about it has left the borrower, and is never run', async () => {
    const [first] = lenders;
    const loan = scene.client.borrow(first.record, TERMS);
    const outcome = assert.rejects(loan.send(WRITE), NotSentError);
    loan.close();
    await outcome;
    const later = scene.client.borrow(first.record, TERMS).send(WRITE);
    await statementAt(first);
    first.answer();
    await later;
    assert.equal(first.statements, 1);
  });

  test('may have run if its request was sent', async () => {
    const [first] = lenders;
    const loan = scene.client.borrow(first.record, TERMS);
    const refused = assert.rejects(
      loan.send(WRITE),
      (error) => error instanceof LinkLostError && !(error instanceof NotSentError),
    );
    await statementAt(first);
    loan.close();
    await refused;
  });
});

test('the silence during a pause of the own process ends no loan', async () => {
  const record = daemonRecord('g4', { host: HOST, gatewayPort: 24_004 });
  const server = createServer((socket) => socket.resume());
  await new Promise<void>((resolve) => server.listen(record.gatewayPort, HOST, resolve));
  const clock = { now: 0 };
  const client = new GatewayClient(HOST, () => clock.now, Math.random);
  client.check();
  let isEnded = false;
  const loan = client.borrow(record, TERMS);
  const ended = assert.rejects(loan.send(BEGIN), LinkLostError).then(() => (isEnded = true));
  await new Promise<void>((resolve) => server.once('connection', () => resolve()));
  await new Promise((resolve) => setImmediate(resolve));
  for (clock.now = 600; clock.now <= 1000; clock.now += 100) {
    client.check();
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(isEnded, false, `after ${clock.now} ms`);
  }
  client.check();
  await ended;
  client.close();
  server.close();
});
