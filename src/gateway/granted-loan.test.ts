/**
 * Loans whose connection the gateway grants before the request is sent.
 *
 * Guards against writes that are reported as in doubt although they only waited for a connection at a gateway,
 * against connections that stay granted to a borrower which no longer uses them, and against a statement that
 * runs although its borrower was told that it was not sent.
 */
import assert from 'node:assert/strict';
import { connect, createServer, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, test } from 'node:test';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { LendingScene, type TestLender } from '../../test/support/lending-scene.js';
import { MessageChannel } from '../peer/message-channel.js';
import { PoolTimeoutError } from '../relay/link-acquisition.js';
import { LinkLostError, NotSentError, type MemberReply } from '../relay/member-link.js';
import type { SessionLink } from '../relay/session-link.js';
import type { BorrowedLink } from './borrowed-link.js';
import { GatewayClient } from './gateway-client.js';
import { MAX_GATEWAY_MESSAGE_BYTES, type GatewayMessage } from './gateway-messages.js';
import { notSentReply } from './loan.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.82.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const PORT = 24_011;
const OLD_PORT = 24_012;
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 60_000 };
const WRITE = { kind: 'statement', requestId: 'w', payload: 'WRITE t d', after: null } as const;
const NO_VALUES = new Map<string, string>();
/** Longer than a granted connection is kept, and shorter than a gateway may be silent, in milliseconds. */
const EXPIRY_MS = 200;

let scene: LendingScene;
let lender: TestLender;

beforeEach(async () => {
  scene = new LendingScene(HOST);
  lender = await scene.addLender('g1', PORT);
  await scene.client.requestEvidence(lender.record, 1000);
});
afterEach(() => scene.close());

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A loan for which the gateway has granted a connection. */
async function grantedLoan(): Promise<BorrowedLink> {
  const loan = scene.client.borrow(lender.record, TERMS);
  await loan.requestGrant(NO_VALUES);
  return loan;
}

/** A loan that waits at the gateway for a connection, and what becomes of the wait. */
async function waitingLoan(): Promise<{ loan: BorrowedLink; wait: Promise<string> }> {
  const openLoans = lender.server.openLoans;
  const loan = scene.client.borrow(lender.record, TERMS);
  const wait = loan.requestGrant(NO_VALUES).then(
    () => 'granted',
    (error: unknown) => (error instanceof PoolTimeoutError ? 'not granted' : String(error)),
  );
  await waitUntil('the loan to wait at the gateway', () => lender.server.openLoans > openLoans);
  return { loan, wait };
}

/** Outcome of a request: whether it got a reply, was refused, was not sent, or may have run. */
async function outcomeOf(reply: Promise<MemberReply>): Promise<'answered' | 'refused' | 'not sent' | 'lost'> {
  try {
    return (await reply).result.isComplete ? 'answered' : 'refused';
  } catch (error) {
    if (error instanceof NotSentError) return 'not sent';
    assert.ok(error instanceof LinkLostError, String(error));
    return 'lost';
  }
}

/** Asserts that the gateway's only connection can be lent to another loan. */
async function assertConnectionIsFree(): Promise<void> {
  const outcome = outcomeOf(scene.client.borrow(lender.record, TERMS).send({ ...WRITE, requestId: 'next' }));
  await waitUntil('the member to receive the next request', () => lender.answer());
  assert.equal(await outcome, 'answered');
}

test('a granted connection serves the request, and then the next loan that waits', async () => {
  const loan = await grantedLoan();
  const { loan: next, wait } = await waitingLoan();
  const outcome = outcomeOf(loan.send(WRITE));
  await waitUntil('the member to receive the request', () => lender.statements === 1);
  assert.equal(await Promise.race([wait, delay(EXPIRY_MS).then(() => 'waiting')]), 'waiting');
  lender.answer();
  assert.equal(await outcome, 'answered');
  assert.equal(await wait, 'granted');
  next.close();
  await assertConnectionIsFree();
});

test('a grant uses the session values that the borrower has sent with the loan', async () => {
  const loan = scene.client.borrow(lender.record, TERMS);
  const values = new Map([['zone', 'north']]);
  await loan.requestGrant(values);
  await loan.setSessionValues(values);
  const outcome = outcomeOf(loan.send(WRITE));
  await waitUntil('the value to be set', () => lender.answer());
  await waitUntil('the statement to be answered', () => lender.answer());
  assert.equal(await outcome, 'answered');
  assert.deepEqual(
    lender.links[0]?.received.map(({ kind }) => kind),
    ['set', 'statement'],
  );
});

test('a grant that is not used goes back to the pool, and a later request is refused as not sent', async () => {
  const loan = await grantedLoan();
  const { loan: next, wait } = await waitingLoan();
  assert.equal(await wait, 'granted', 'without waiting for the end of the first loan');
  next.close();
  assert.equal(await outcomeOf(loan.send(WRITE)), 'refused');
  assert.equal(lender.statements, 0);
});

test('a loan that waits for a grant until its deadline is not run, and ends at the gateway', async () => {
  const holder = await grantedLoan();
  const held = outcomeOf(holder.send(WRITE));
  const { group } = scene.leaderBehind([lender]);
  const demand = { tenantName: null, values: NO_VALUES, isWrite: true, priority: 1, dueAtMs: 0 };
  const member = group.members.get('leader');
  await assert.rejects(
    async () => member?.pool.acquire(demand, 30, { isGrantWanted: true }),
    PoolTimeoutError,
  );
  assert.equal(member?.pool.load, 0);
  await waitUntil('the gateway to end the loan', () => lender.server.openLoans === 1);
  lender.answer();
  assert.equal(await held, 'answered');
  assert.equal(lender.statements, 1);
});

describe('a message that crosses another one', () => {
  test('a grant that crosses the cancellation of the loan leaves the connection to other loans', async () => {
    scene.proxy.cutOneWay('g1', 'borrower');
    const { loan, wait } = await waitingLoan();
    await waitUntil('the connection to be granted', () => lender.pool.load === 1);
    loan.close();
    assert.equal(await wait, 'not granted');
    await waitUntil('the gateway to end the loan', () => lender.server.openLoans === 0);
    assert.equal(lender.pool.load, 0);
    scene.proxy.heal();
    await assertConnectionIsFree();
    assert.deepEqual(lender.statementIds, ['next']);
  });

  test('a statement that crosses the expiry of its grant does not run, and is refused as not sent', async () => {
    const loan = await grantedLoan();
    scene.proxy.cutOneWay('borrower', 'g1');
    const outcome = outcomeOf(loan.send(WRITE));
    await delay(EXPIRY_MS);
    assert.equal(lender.pool.load, 0);
    scene.proxy.heal();
    assert.equal(await outcome, 'refused');
    assert.equal(lender.statements, 0);
  });

  test('a statement that crosses the end of the loan at a gateway that winds up was not sent', async () => {
    const loan = await grantedLoan();
    lender.server.windUp();
    assert.equal(await outcomeOf(loan.send(WRITE)), 'not sent');
    assert.equal(lender.statements, 0);
  });

  test('a statement that crosses the last message of a gateway was not sent', async () => {
    const loan = await grantedLoan();
    const finished = lender.server.finish();
    assert.equal(await outcomeOf(loan.send(WRITE)), 'not sent');
    await finished;
    assert.equal(lender.statements, 0);
  });
});

describe('the connection between the daemons ends', () => {
  test('before the grant: the loan was not run', async () => {
    const holder = await grantedLoan();
    const held = outcomeOf(holder.send(WRITE));
    await waitUntil('the member to receive the request', () => lender.statements === 1);
    const { wait } = await waitingLoan();
    scene.client.close();
    assert.equal(await wait, 'not granted');
    assert.equal(await held, 'lost');
  });

  test('after the grant and before the statement: not sent, and the connection is free', async () => {
    const loan = await grantedLoan();
    scene.client.close();
    await waitUntil('the borrower to notice', () => !loan.isOpen);
    assert.equal(await outcomeOf(loan.send(WRITE)), 'not sent');
    await waitUntil('the gateway to release the connection', () => lender.pool.load === 0);
    assert.equal(lender.statements, 0);
  });

  test('after the statement and before its reply: it may have run', async () => {
    const loan = await grantedLoan();
    const outcome = outcomeOf(loan.send(WRITE));
    await waitUntil('the member to receive the request', () => lender.statements === 1);
    scene.client.close();
    assert.equal(await outcome, 'lost');
  });
});

describe('a gateway that is stopping', () => {
  test('refuses a loan that waits for a grant as soon as it is leaving, and completes a granted one', async () => {
    const loan = await grantedLoan();
    const { wait } = await waitingLoan();
    lender.server.leave();
    assert.equal(await wait, 'not granted');
    const outcome = outcomeOf(loan.send(WRITE));
    await waitUntil('the member to receive the request', () => lender.answer());
    assert.equal(await outcome, 'answered');
  });

  test('ends a loan whose grant is not used yet when it winds up, and grants nothing more', async () => {
    const loan = await grantedLoan();
    lender.server.windUp();
    const late = scene.client.borrow(lender.record, TERMS);
    await assert.rejects(late.requestGrant(NO_VALUES), PoolTimeoutError);
    assert.equal(loan.isOpen, false);
    assert.equal(lender.pool.load, 0);
    await waitUntil('the gateway to end the loans', () => lender.server.openLoans === 0);
  });

  test('reports a statement in flight as lost when it finishes, and a waiting loan as not granted', async () => {
    const loan = await grantedLoan();
    const outcome = outcomeOf(loan.send(WRITE));
    await waitUntil('the member to receive the request', () => lender.statements === 1);
    const { wait } = await waitingLoan();
    await lender.server.finish();
    assert.equal(await outcome, 'lost');
    assert.equal(await wait, 'not granted');
  });
});

test('a write over a new connection waits for a grant as well, and is not run if the gateway is silent', async () => {
  const fresh = new GatewayClient(HOST, () => performance.now(), Math.random);
  scene.silence(lender);
  const silent = fresh.borrow(lender.record, TERMS).requestGrant(NO_VALUES);
  const checks = setInterval(() => fresh.check(), 50);
  await assert.rejects(silent, PoolTimeoutError);
  clearInterval(checks);
  fresh.close();
  scene.proxy.heal();
  const other = new GatewayClient(HOST, () => performance.now(), Math.random);
  await other.borrow(lender.record, TERMS).requestGrant(NO_VALUES);
  assert.equal(lender.pool.load, 1, 'the gateway keeps a connection for the request');
  other.close();
});

test('a loan that waits for a grant at a gateway that becomes silent is not run', async () => {
  const holder = await grantedLoan();
  const held = outcomeOf(holder.send(WRITE));
  const { wait } = await waitingLoan();
  scene.silence(lender);
  assert.equal(await wait, 'not granted');
  assert.equal(holder.isOpen, true, 'the statement that was sent may still be answered');
  lender.answer();
  scene.proxy.heal();
  assert.equal(await held, 'answered');
  await waitUntil('the gateway to end the loans', () => lender.pool.load === 0);
  assert.deepEqual(lender.statementIds, ['w']);
});

describe('with a daemon of the build before', () => {
  test('as the gateway, the request is sent with the loan, without a request for a grant', async () => {
    const received: GatewayMessage[] = [];
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      const channel = new MessageChannel<GatewayMessage>(socket, MAX_GATEWAY_MESSAGE_BYTES, {
        message: (message) => {
          received.push(message);
          if (message.type === 'ping') channel.send({ type: 'pong' });
          if (message.type !== 'request') return;
          channel.send({ type: 'reply', loan: message.loan, reply: notSentReply('busy') });
        },
        closed: () => undefined,
      });
    });
    await new Promise<void>((resolve) => server.listen(OLD_PORT, HOST, resolve));
    const client = new GatewayClient(HOST, () => performance.now(), Math.random);
    for (let count = 0; count < 2; count += 1) {
      const loan: SessionLink = client.borrow(
        daemonRecord('old', { host: HOST, gatewayPort: OLD_PORT }),
        TERMS,
      );
      await (loan as BorrowedLink).requestGrant(NO_VALUES);
      assert.equal(await outcomeOf(loan.send(WRITE)), 'refused');
      loan.close();
    }
    const types = received.map(({ type }) => type).filter((type) => type !== 'ping');
    assert.deepEqual(types.slice(0, 4), ['borrow', 'request', 'return', 'borrow']);
    assert.ok(received.every((message) => !('isGrantWanted' in message)));
    client.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  });

  test('as the borrower, a request that comes with its loan is served, and nothing is granted', async () => {
    const types: string[] = [];
    const channel = new MessageChannel<GatewayMessage>(
      connect({ host: HOST, port: PORT }),
      MAX_GATEWAY_MESSAGE_BYTES,
      { message: ({ type }) => void types.push(type), closed: () => undefined },
    );
    channel.send({ type: 'borrow', loan: 1, ...TERMS });
    channel.send({ type: 'request', loan: 1, request: WRITE, prepared: null });
    await waitUntil('the member to receive the request', () => lender.answer());
    await waitUntil('the reply', () => types.includes('reply'));
    assert.deepEqual(types, ['hello', 'reply']);
    channel.destroy();
  });

  test('an announcement of features that is not a list of names is ignored', async () => {
    const server = createServer((socket) => {
      const channel = new MessageChannel<GatewayMessage>(socket, MAX_GATEWAY_MESSAGE_BYTES, {
        message: () => channel.send({ type: 'pong' }),
        closed: () => undefined,
      });
      channel.send({ type: 'hello', features: 7 } as unknown as GatewayMessage);
    });
    await new Promise<void>((resolve) => server.listen(OLD_PORT, HOST, resolve));
    const client = new GatewayClient(HOST, () => performance.now(), Math.random);
    const record = daemonRecord('odd', { host: HOST, gatewayPort: OLD_PORT });
    await client.requestEvidence(record, 50);
    await client.borrow(record, TERMS).requestGrant(NO_VALUES);
    client.close();
    server.close();
  });
});
