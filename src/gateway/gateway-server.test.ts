/**
 * Shutdown of a gateway, and the end of a member's incarnation.
 *
 * Guards against lost requests and in-doubt transactions at running daemons whose gateway is told to stop. A
 * gateway that lets open loans continue and destroys its connections at 85 % of the grace time leaves in
 * doubt a write that still waits for a connection and a commit for an ended loan, although neither was sent
 * to the member. A reply that is still in the socket's buffer is lost with the process.
 *
 * The symptom is `code=in_doubt ... answer lost: LinkLostError: given up ... sentAgoMs=4999`, a full timeout
 * after the request was passed to the gateway.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { SlowLink } from '../../test/support/slow-link.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { LinkPool } from '../relay/link-pool.js';
import { LinkLostError, NotSentError, type MemberReply } from '../relay/member-link.js';
import { compareIncarnations } from '../topology/incarnation.js';
import type { BorrowedLink } from './borrowed-link.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer } from './gateway-server.js';
import { firstEraRevision } from '../../test/support/revisions.js';
import { createLenderPool, createLenderResources } from '../../test/support/lender.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.78.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('gateway', { host: HOST, gatewayPort: 23_881 });
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 60_000 };
const BEGIN = { kind: 'begin', isReadOnly: false, after: null } as const;
const WRITE = { kind: 'statement', requestId: 'w', payload: 'WRITE t d', after: null } as const;
const COMMIT = { kind: 'statement', requestId: 'c', payload: 'COMMIT', after: null } as const;

let server: GatewayServer;
let client: GatewayClient;
/** Connections that the member has accepted. */
let links: SlowLink[];
let pool: LinkPool;
/** Start of the member's incarnation that the gateway knows. */
let bornMs: number | null;

beforeEach(async () => {
  links = [];
  bornMs = null;
  pool = createLenderPool({
    dial: () => {
      const link = new SlowLink();
      links.push(link);
      return Promise.resolve(link);
    },
  });
  server = new GatewayServer(
    createLenderResources((_group, incarnation) =>
      compareIncarnations({ memberId: 'm', bornMs }, incarnation) === 'same' ? pool : null,
    ),
  );
  await server.listen(HOST, RECORD.gatewayPort);
  client = new GatewayClient(HOST, () => performance.now(), Math.random);
});
afterEach(() => {
  client.close();
  server.close();
});

/** The newest connection to the member. */
function memberLink(): SlowLink {
  const link = links.at(-1);
  assert.ok(link !== undefined);
  return link;
}

/** Makes the member reply to the next request. */
async function answerNext(): Promise<void> {
  await waitUntil('the member to receive the request', () => links.at(-1)?.answer() === true);
}

/** A loan that is idle in a transaction after a write. */
async function loanInTransaction(): Promise<BorrowedLink> {
  const loan = client.borrow(RECORD, TERMS);
  for (const request of [BEGIN, WRITE]) {
    const reply = loan.send(request);
    await answerNext();
    assert.equal((await reply).result.isComplete, true);
  }
  return loan;
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

test('a request that waits for a connection is refused as soon as the gateway is leaving', async () => {
  const holder = await loanInTransaction();
  const waiting = client.borrow(RECORD, TERMS);
  const outcome = outcomeOf(waiting.send(WRITE));
  await waitUntil('the request to wait', () => server.openLoans === 2);
  server.leave();
  assert.equal(await outcome, 'refused');
  assert.equal(client.choose([RECORD]), null, 'no new loans from this gateway');
  const commit = outcomeOf(holder.send(COMMIT));
  await answerNext();
  assert.equal(await commit, 'answered', 'loans that have a connection continue');
});

test('winding up ends a loan that is idle in a transaction, before its next request', async () => {
  const loan = await loanInTransaction();
  server.windUp();
  await waitUntil('the borrower to be notified', () => !loan.isOpen);
  assert.equal(memberLink().isOpen, false, 'the member rolls back');
  assert.equal(await outcomeOf(loan.send(COMMIT)), 'not sent');
  assert.equal(server.openLoans, 0);
});

test('winding up ends a loan with a statement in flight after the reply', async () => {
  const loan = await loanInTransaction();
  const outcome = outcomeOf(loan.send(WRITE));
  await waitUntil('the member to receive the request', () => memberLink().hasPendingRequest);
  server.windUp();
  assert.equal(loan.isOpen, true);
  memberLink().answer();
  assert.equal(await outcome, 'answered');
  await waitUntil('the borrower to be notified', () => !loan.isOpen);
  assert.equal(memberLink().isOpen, false);
});

test('a commit that crosses the message that ends its loan is not sent to the member', async () => {
  const loan = await loanInTransaction();
  server.windUp();
  assert.equal(await outcomeOf(loan.send(COMMIT)), 'not sent');
  assert.deepEqual(memberLink().executed, ['statement inside']);
});

test('a new request is refused as not run while the gateway is winding up', async () => {
  const loan = client.borrow(RECORD, TERMS);
  server.windUp();
  assert.equal(await outcomeOf(loan.send(BEGIN)), 'refused');
});

test('a request in flight when the gateway finishes is reported as lost, and its loan ends', async () => {
  const loan = await loanInTransaction();
  const outcome = outcomeOf(loan.send(COMMIT));
  await waitUntil('the member to receive the request', () => memberLink().hasPendingRequest);
  await server.finish();
  assert.equal(await outcome, 'lost');
  assert.equal(server.openLoans, 0);
});

test('a reply is delivered even if the connection ends right after it', async () => {
  const loan = await loanInTransaction();
  const outcome = outcomeOf(loan.send(COMMIT));
  await waitUntil('the member to receive the request', () => memberLink().hasPendingRequest);
  memberLink().answer();
  await new Promise((resolve) => setImmediate(resolve));
  await server.finish();
  assert.equal(await outcome, 'answered');
});

test('a request that crosses the end of the connection is not sent to the member', async () => {
  const first = client.borrow(RECORD, TERMS);
  const served = outcomeOf(first.send(WRITE));
  await answerNext();
  assert.equal(await served, 'answered');
  const finished = server.finish();
  const outcome = outcomeOf(client.borrow(RECORD, TERMS).send(WRITE));
  assert.equal(await outcome, 'not sent');
  await finished;
  assert.equal(memberLink().executed.length, 1);
});

test('a request for changes that is pending when the gateway finishes does not delay it', async () => {
  const startMs = performance.now();
  const answer = client.requestChanges(RECORD, firstEraRevision(0), 60_000, 60_000);
  await client.requestEvidence(RECORD, 1000);
  await server.finish();
  assert.equal(await answer, null);
  assert.ok(performance.now() - startMs < 10_000);
});

describe('a member whose incarnation has ended', () => {
  test('ends a loan that is idle in a transaction, before its next request', async () => {
    const loan = await loanInTransaction();
    server.endLoans(pool);
    pool.closePermanently();
    await waitUntil('the borrower to be notified', () => !loan.isOpen);
    assert.equal(memberLink().isOpen, false);
    assert.equal(await outcomeOf(loan.send(COMMIT)), 'not sent');
    assert.equal(server.openLoans, 0);
  });

  test('leaves the outcome of a request in flight unknown', async () => {
    const loan = await loanInTransaction();
    const outcome = outcomeOf(loan.send(COMMIT));
    await waitUntil('the member to receive the request', () => memberLink().hasPendingRequest);
    server.endLoans(pool);
    pool.closePermanently();
    assert.equal(await outcome, 'lost');
  });

  test('refuses requests that wait for a connection', async () => {
    const holder = await loanInTransaction();
    const outcome = outcomeOf(client.borrow(RECORD, TERMS).send(WRITE));
    await waitUntil('the request to wait', () => server.openLoans === 2);
    server.endLoans(pool);
    pool.closePermanently();
    assert.equal(await outcome, 'refused');
    await waitUntil('the borrower to be notified', () => !holder.isOpen);
  });

  test('does not affect loans of other members', async () => {
    const loan = await loanInTransaction();
    server.endLoans(new LinkPool({} as ConstructorParameters<typeof LinkPool>[0]));
    const outcome = outcomeOf(loan.send(COMMIT));
    await answerNext();
    assert.equal(await outcome, 'answered');
  });

  test('does not serve loans for another incarnation, older or newer', async () => {
    for (const [current, requested, expected] of [
      [2000, 1000, 'refused'],
      [1000, 2000, 'refused'],
      [2000, 2000, 'answered'],
      [2000, null, 'answered'],
      [null, 1000, 'answered'],
    ] as const) {
      bornMs = current;
      const outcome = outcomeOf(client.borrow(RECORD, { ...TERMS, bornMs: requested }).send(WRITE));
      if (expected === 'answered') await answerNext();
      assert.equal(await outcome, expected, `${current} ${requested}`);
    }
  });
});
