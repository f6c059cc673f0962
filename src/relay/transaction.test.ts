/**
 * Transactions whose client disconnects at any point of a statement: none of their statements may run outside
 * the transaction. And transactions whose connection closes: the refusal states what is known of their
 * effect.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { delay } from '../common/signal.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { NOT_ISOLATED } from '../../test/support/not-isolated.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { SlowLink } from '../../test/support/slow-link.js';
import { Catalog, type Route } from '../topology/catalog.js';
import { Member, MemberGroup } from '../topology/member-group.js';
import { GatewayClient } from '../gateway/gateway-client.js';
import { MemberConnections } from '../gateway/member-connections.js';
import { LinkPool } from './link-pool.js';
import type { MemberReply } from './member-link.js';
import { Refusal } from './refusal.js';
import type { RelayContext } from './relay-context.js';
import { Transaction } from './transaction.js';

const ROUTE: Route = {
  database: 'pay',
  groupName: 'g',
  consistency: 'primary',
  timeoutMs: 60_000,
  targetLatencyMs: 100,
  priority: 1,
  maxStalenessMs: 0,
  isPublic: true,
};

/** @param links - the connections that the member accepts, in order */
function scene(links: readonly SlowLink[] = [new SlowLink()]): { link: SlowLink; transaction: Transaction } {
  const [link] = links;
  assert.ok(link !== undefined);
  let dials = 0;
  const group = new MemberGroup('g');
  const pool = new LinkPool({
    dialer: { dial: () => Promise.resolve(links[dials++] ?? link) },
    address: { memberId: 'm', groupName: 'g', host: 'h', port: 1 },
    budget: () => 1,
    dialTimeoutMs: 100,
    limitBackoffMs: 10,
    serviceMs: () => 10,
    idleTimeoutMs: 1000,
    onFailure: () => undefined,
    random: () => 0.5,
    now: () => 0,
  });
  const entry = {
    memberId: 'm',
    groupName: 'g',
    host: 'h',
    port: 1,
    zone: 'a',
    slots: 2,
    isDraining: false,
    saysPrimary: true,
    bornMs: null,
  };
  const connections = new MemberConnections({
    groupName: 'g',
    memberId: 'm',
    bornMs: () => null,
    pool,
    gatewayClient: new GatewayClient(
      '127.0.0.1',
      () => 0,
      () => 0,
    ),
    tenantShare: () => 1,
    fallbackLenders: () => [],
    assignment: () => ({ gateways: null, standbys: [], budget: 1 }),
    ownName: 'd',
  });
  group.members.set('m', new Member(entry, connections));
  group.evidence.observeLeader({ memberId: 'm', term: 1 });
  group.evidence.confirm();
  group.evidence.renewUnderDuty(1e9, 0);
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: NOOP_OBSERVER,
    group: () => group,
    now: () => 0,
    shutdownSchedule: () => null,
    isolation: NOT_ISOLATED,
    readStatus: () => null,
    suspect: () => undefined,
  };
  const options = {
    route: ROUTE,
    group,
    isReadOnly: false,
    receivedAtMs: 0,
    tenantName: 'one',
    sessionFloor: null,
  };
  return { link, transaction: new Transaction(context, options) };
}

async function drainEventLoop(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

const STEP = {
  requestId: 'x',
  statement: { kind: 'prepared', prepared: { isWrite: true, shape: 'q' }, operands: 't d' },
  kind: 'write',
  values: new Map([['lang', 'ur']]),
  deadlineMs: 60_000,
} as const;

/** Ends the transaction after the given number of member answers, then answers the remaining requests. */
async function disconnectAfter(answers: number): Promise<readonly string[]> {
  const { link, transaction } = scene();
  const first = { ...STEP, statement: { kind: 'plain', payload: 'READ t' }, kind: 'read' } as const;
  const work = transaction
    .run(first)
    .then(() => transaction.run(STEP))
    .catch(() => undefined);
  await drainEventLoop();
  for (let count = 0; count < answers; count += 1) {
    link.answer();
    await drainEventLoop();
  }
  transaction.end();
  await drainEventLoop();
  while (link.answer()) await drainEventLoop();
  await work;
  return link.executed;
}

test('when a client disconnects at any point, no statement runs outside its transaction', async () => {
  for (let answers = 0; answers <= 6; answers += 1) {
    const ran = await disconnectAfter(answers);
    assert.ok(
      !ran.some((statement) => statement.endsWith('outside')),
      `after ${answers} answers: ${ran.join()}`,
    );
  }
});

const NO_VALUES = new Map<string, string>();
const WRITE = { ...STEP, statement: { kind: 'plain', payload: 'WRITE t d' }, values: NO_VALUES } as const;
const COMMIT = { ...WRITE, statement: { kind: 'plain', payload: 'COMMIT' }, kind: 'commit' } as const;

/** An idle transaction that has written. */
async function writtenTransaction(): Promise<ReturnType<typeof scene>> {
  const opened = scene();
  const work = opened.transaction.run(WRITE);
  for (let answers = 0; answers < 2; answers += 1) {
    await drainEventLoop();
    opened.link.answer();
  }
  await work;
  return opened;
}

/** The refusal that a statement ends with. */
async function refusalOf(work: Promise<MemberReply>): Promise<Refusal> {
  const error = await work.then(
    () => assert.fail('not refused'),
    (reason: unknown) => reason,
  );
  assert.ok(error instanceof Refusal, String(error));
  return error;
}

/*
 * Guards against a commit that is reported as in doubt though it was never sent: its connection had closed
 * while the transaction was idle, and every connection loss during a commit was treated as a lost answer to
 * the commit.
 */
test('a commit whose connection closed before it was sent is refused as not run', async () => {
  const { link, transaction } = await writtenTransaction();
  link.close();
  const refusal = await refusalOf(transaction.run(COMMIT));
  assert.equal(refusal.code, 'aborted');
  assert.equal(refusal.verdict, 'not_run');
  assert.ok(refusal.retryAfterMs !== null, 'has a retry delay');
  assert.deepEqual(link.executed, ['statement inside']);
});

test('a commit that the member refused as not run, and that cannot be sent again, is refused as not run', async () => {
  const { link, transaction } = await writtenTransaction();
  const work = refusalOf(transaction.run(COMMIT));
  await drainEventLoop();
  link.refuse();
  link.close();
  const refusal = await work;
  assert.equal(refusal.code, 'aborted');
  assert.equal(refusal.verdict, 'not_run');
});

test('a commit that was sent and whose answer is lost is in doubt', async () => {
  const { link, transaction } = await writtenTransaction();
  const work = refusalOf(transaction.run(COMMIT));
  await drainEventLoop();
  link.close();
  const refusal = await work;
  assert.equal(refusal.code, 'in_doubt');
  assert.equal(refusal.verdict, 'may_have_run');
});

test('a transaction whose connection closed before its first statement was sent begins on another', async () => {
  const first = new SlowLink();
  const second = new SlowLink();
  const { transaction } = scene([first, second]);
  const work = transaction.run(WRITE);
  await drainEventLoop();
  first.answer();
  first.close();
  while (second.executed.length === 0) {
    await delay(1);
    second.answer();
  }
  assert.equal((await work).result.isComplete, true);
  assert.deepEqual([...first.executed, ...second.executed], ['statement inside']);
});
