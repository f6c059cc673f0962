/**
 * A gateway that is told to stop.
 *
 * Users lost requests, and had transactions in doubt, at daemons that went on, since the gateway whose connections they used
 * was told to stop. It told everybody to borrow elsewhere and let open loans go on; at 85 % of the grace time it destroyed its
 * connections, whatever they were at. A write that had waited there for a connection was in doubt though nothing was sent, and
 * so was a commit that came to an ended loan; an answer that stood in the socket's buffer was lost with the process.
 *
 * Evidence: `code=in_doubt ... answer lost: LinkLostError: given up ... sentAgoMs=4999`, a whole time-out after the request was
 * handed to the gateway.
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
import { at } from '../../test/support/revisions.js';

/** An address of this process's own, so that two runs do not meet. */
const HOST = `127.78.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('gateway', { host: HOST, gatewayPort: 23_881 });
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 60_000 };
const BEGIN = { kind: 'begin', isReadOnly: false, after: null } as const;
const WRITE = { kind: 'statement', requestId: 'w', payload: 'WRITE t d', after: null } as const;
const COMMIT = { kind: 'statement', requestId: 'c', payload: 'COMMIT', after: null } as const;

let server: GatewayServer;
let client: GatewayClient;
/** The connections that the member has accepted. */
let links: SlowLink[];
let pool: LinkPool;
/** When the member that the gateway knows started. */
let bornMs: number | null;

beforeEach(async () => {
  links = [];
  bornMs = null;
  pool = new LinkPool({
    dialer: {
      dial: () => {
        const link = new SlowLink();
        links.push(link);
        return Promise.resolve(link);
      },
    },
    address: { memberId: 'm', groupName: 'g', host: 'h', port: 1 },
    budget: () => 1,
    dialTimeoutMs: 100,
    limitBackoffMs: 10,
    idleTimeoutMs: 60_000,
    serviceMs: () => 10,
    onFailure: () => undefined,
    now: () => performance.now(),
    random: () => 0.5,
  });
  server = new GatewayServer({
    pool: (_group, life) => (compareIncarnations({ memberId: 'm', bornMs }, life) === 'same' ? pool : null),
    ownEvidence: () => ({ version: 1, leaders: [], agesMs: [] }),
    changes: () => new Promise<never>(() => undefined),
    configuration: () => ({ version: 0, proof: null, item: null }),
    grant: () => Promise.resolve(null),
  });
  await server.listen(HOST, RECORD.gatewayPort);
  client = new GatewayClient(HOST, () => performance.now(), Math.random);
});
afterEach(() => {
  client.close();
  server.close();
});

/** The newest connection of the member. */
function memberLink(): SlowLink {
  const link = links.at(-1);
  assert.ok(link !== undefined);
  return link;
}

/** Lets the member answer the next request. */
async function answerNext(): Promise<void> {
  await waitUntil('the member to be asked', () => links.at(-1)?.answer() === true);
}

/** A loan inside a transaction that has written, and rests. */
async function resting(): Promise<BorrowedLink> {
  const loan = client.borrow(RECORD, TERMS);
  for (const request of [BEGIN, WRITE]) {
    const reply = loan.send(request);
    await answerNext();
    assert.equal((await reply).result.isComplete, true);
  }
  return loan;
}

/** Whether a request was answered, and what is known of it when it was not. */
async function fateOf(reply: Promise<MemberReply>): Promise<'answered' | 'refused' | 'not sent' | 'lost'> {
  try {
    return (await reply).result.isComplete ? 'answered' : 'refused';
  } catch (error) {
    if (error instanceof NotSentError) return 'not sent';
    assert.ok(error instanceof LinkLostError, String(error));
    return 'lost';
  }
}

test('a request that waits for a connection is told to go elsewhere as soon as the gateway leaves', async () => {
  const holder = await resting();
  const waiting = client.borrow(RECORD, TERMS);
  const fate = fateOf(waiting.send(WRITE));
  await waitUntil('the request to wait', () => server.openLoans === 2);
  server.leave();
  assert.equal(await fate, 'refused');
  assert.equal(client.choose([RECORD]), null, 'nothing more is borrowed there');
  const commit = fateOf(holder.send(COMMIT));
  await answerNext();
  assert.equal(await commit, 'answered', 'loans that have a connection go on');
});

test('a loan that rests inside a transaction ends as the gateway winds up, before its next request', async () => {
  const loan = await resting();
  server.windUp();
  await waitUntil('the borrower to be told', () => !loan.isOpen);
  assert.equal(memberLink().isOpen, false, 'the member rolls back');
  assert.equal(await fateOf(loan.send(COMMIT)), 'not sent');
  assert.equal(server.openLoans, 0);
});

test('a statement that is under way as the gateway winds up is answered, and the loan ends then', async () => {
  const loan = await resting();
  const fate = fateOf(loan.send(WRITE));
  await waitUntil('the member to be asked', () => memberLink().isAsked);
  server.windUp();
  assert.equal(loan.isOpen, true);
  memberLink().answer();
  assert.equal(await fate, 'answered');
  await waitUntil('the borrower to be told', () => !loan.isOpen);
  assert.equal(memberLink().isOpen, false);
});

test('a commit that crosses the end of its loan was not sent', async () => {
  const loan = await resting();
  server.windUp();
  assert.equal(await fateOf(loan.send(COMMIT)), 'not sent');
  assert.deepEqual(memberLink().ran, ['statement inside']);
});

test('a new request is refused as not run while the gateway winds up', async () => {
  const loan = client.borrow(RECORD, TERMS);
  server.windUp();
  assert.equal(await fateOf(loan.send(BEGIN)), 'refused');
});

test('what is at the member as the gateway finishes is told to be lost, and is not left open', async () => {
  const loan = await resting();
  const fate = fateOf(loan.send(COMMIT));
  await waitUntil('the member to be asked', () => memberLink().isAsked);
  await server.finish();
  assert.equal(await fate, 'lost');
  assert.equal(server.openLoans, 0);
});

test('an answer is not lost with the connection that ends right after it', async () => {
  const loan = await resting();
  const fate = fateOf(loan.send(COMMIT));
  await waitUntil('the member to be asked', () => memberLink().isAsked);
  memberLink().answer();
  await new Promise((resolve) => setImmediate(resolve));
  await server.finish();
  assert.equal(await fate, 'answered');
});

test('a request that crosses the end of the connection was not sent', async () => {
  const first = client.borrow(RECORD, TERMS);
  const served = fateOf(first.send(WRITE));
  await answerNext();
  assert.equal(await served, 'answered');
  const finished = server.finish();
  const fate = fateOf(client.borrow(RECORD, TERMS).send(WRITE));
  assert.equal(await fate, 'not sent');
  await finished;
  assert.equal(memberLink().ran.length, 1);
});

test('a question that is open as the gateway finishes is not waited for', async () => {
  const startMs = performance.now();
  const answer = client.askChanges(RECORD, at(0), 60_000, 60_000);
  await client.askEvidence(RECORD, 1000);
  await server.finish();
  assert.equal(await answer, null);
  assert.ok(performance.now() - startMs < 10_000);
});

describe('a member whose life has ended', () => {
  test('ends a loan that rests inside a transaction, before its next request', async () => {
    const loan = await resting();
    server.endLoans(pool);
    pool.closePermanently();
    await waitUntil('the borrower to be told', () => !loan.isOpen);
    assert.equal(memberLink().isOpen, false);
    assert.equal(await fateOf(loan.send(COMMIT)), 'not sent');
    assert.equal(server.openLoans, 0);
  });

  test('leaves open what became of a request that it had been sent', async () => {
    const loan = await resting();
    const fate = fateOf(loan.send(COMMIT));
    await waitUntil('the member to be asked', () => memberLink().isAsked);
    server.endLoans(pool);
    pool.closePermanently();
    assert.equal(await fate, 'lost');
  });

  test('is waited for no longer', async () => {
    const holder = await resting();
    const fate = fateOf(client.borrow(RECORD, TERMS).send(WRITE));
    await waitUntil('the request to wait', () => server.openLoans === 2);
    server.endLoans(pool);
    pool.closePermanently();
    assert.equal(await fate, 'refused');
    await waitUntil('the borrower to be told', () => !holder.isOpen);
  });

  test('has no part in the loans of other members', async () => {
    const loan = await resting();
    server.endLoans(new LinkPool({} as ConstructorParameters<typeof LinkPool>[0]));
    const fate = fateOf(loan.send(COMMIT));
    await answerNext();
    assert.equal(await fate, 'answered');
  });

  test('is not taken for the one that a loan means, nor the other way round', async () => {
    for (const [known, meant, expected] of [
      [2000, 1000, 'refused'],
      [1000, 2000, 'refused'],
      [2000, 2000, 'answered'],
      [2000, null, 'answered'],
      [null, 1000, 'answered'],
    ] as const) {
      bornMs = known;
      const fate = fateOf(client.borrow(RECORD, { ...TERMS, bornMs: meant }).send(WRITE));
      if (expected === 'answered') await answerNext();
      assert.equal(await fate, expected, `${known} ${meant}`);
    }
  });
});
