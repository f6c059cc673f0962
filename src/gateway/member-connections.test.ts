/**
 * Choice between a daemon's own connections and borrowed ones.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { LinkPool } from '../relay/link-pool.js';
import type { LinkDemand } from '../relay/link-queue.js';
import { PoolTimeoutError } from '../relay/link-acquisition.js';
import { DialError } from '../relay/member-link.js';
import { MemberLoads } from '../placement/member-load.js';
import { daemonRecord } from '../../test/support/daemon-records.js';
import type { SessionLink } from '../relay/session-link.js';
import type { GatewayClient } from './gateway-client.js';
import type { LoanTerms } from './gateway-connection.js';
import { MemberConnections } from './member-connections.js';

const DEMAND: LinkDemand = { tenantName: null, values: new Map(), isWrite: false, priority: 1, dueAtMs: 0 };
const LENT_LINK = { isOpen: true, close: () => undefined } as SessionLink;

/** Connections to a member that refuses all of them because it has too many. */
function setUp(
  others: readonly string[],
  lentLink = LENT_LINK,
): {
  connections: MemberConnections;
  borrowed: string[];
  terms: LoanTerms[];
  clock: { now: number };
} {
  const clock = { now: 0 };
  const borrowed: string[] = [];
  const terms: LoanTerms[] = [];
  const pool = new LinkPool({
    dialer: { dial: () => Promise.reject(new DialError('too_many_connections', 'full')) },
    address: { memberId: 'm', groupName: 'g', host: 'h', port: 1 },
    budget: () => 2,
    dialTimeoutMs: 100,
    limitBackoffMs: 100,
    idleTimeoutMs: 1000,
    serviceMs: () => 10,
    onFailure: () => undefined,
    random: () => 0.5,
    now: () => clock.now,
  });
  const gateways = {
    choose: (records: readonly DaemonRecord[]) => records[0] ?? null,
    borrow: ({ name }: DaemonRecord, loanTerms: LoanTerms) => {
      borrowed.push(name);
      terms.push(loanTerms);
      return lentLink;
    },
  };
  const connections = new MemberConnections({
    groupName: 'g',
    memberId: 'm',
    bornMs: () => 1000,
    pool,
    gatewayClient: gateways as unknown as GatewayClient,
    assignment: () => ({ gateways: null, standbys: [], budget: 2 }),
    tenantShare: () => 1,
    fallbackLenders: () => others.map((name) => ({ name }) as DaemonRecord),
    ownName: 'd1',
  });
  return { connections, borrowed, terms, clock };
}

test('a daemon that the member refuses borrows a connection, and tries the member again later', async () => {
  const { connections, borrowed, clock } = setUp(['d2']);
  assert.equal(connections.usesOwnPool, true);
  await assert.rejects(connections.acquire(DEMAND, 1000), DialError);
  assert.equal(connections.usesOwnPool, false);
  assert.equal(await connections.acquire(DEMAND, 1000), LENT_LINK);
  assert.deepEqual(borrowed, ['d2']);
  clock.now = 101;
  assert.equal(connections.usesOwnPool, true);
});

test('a daemon that the member refuses keeps trying if there is no other daemon', async () => {
  const { connections } = setUp([]);
  await assert.rejects(connections.acquire(DEMAND, 1000), DialError);
  assert.equal(connections.usesOwnPool, true);
});

test('the end of the member ends its loans, and no more are made', async () => {
  const { connections, borrowed } = setUp(['d2']);
  const closed: SessionLink[] = [];
  const lent = { isOpen: true, close: () => void closed.push(lent) } as unknown as SessionLink;
  const lending = setUp(['d2'], lent);
  await assert.rejects(lending.connections.acquire(DEMAND, 1000), DialError);
  assert.equal(await lending.connections.acquire(DEMAND, 1000), lent);
  lending.connections.end();
  assert.deepEqual(closed, [lent]);
  assert.equal(lending.connections.load, 0);
  assert.throws(() => lending.connections.borrow(DEMAND, 1000), PoolTimeoutError);
  await assert.rejects(lending.connections.acquire(DEMAND, 1000), PoolTimeoutError);
  connections.end();
  await assert.rejects(connections.acquire(DEMAND, 1000), PoolTimeoutError);
  assert.deepEqual(borrowed, []);
});

test('a loan states the requested incarnation of the member', () => {
  const { connections, terms } = setUp(['d2']);
  connections.borrow(DEMAND, 1000);
  assert.deepEqual(
    terms.map(({ memberId, bornMs }) => [memberId, bornMs]),
    [['m', 1000]],
  );
});

test('a loan states how long its reply may take by the latency objective, and whether it is a write', () => {
  const { connections, terms } = setUp(['d2']);
  const nowMs = performance.now();
  connections.borrow({ ...DEMAND, isWrite: true, dueAtMs: nowMs + 250 }, 1000);
  connections.borrow({ ...DEMAND, dueAtMs: nowMs - 400 }, 1000);
  connections.borrow({ ...DEMAND, dueAtMs: Number.POSITIVE_INFINITY }, 1000);
  const [write, late, unlimited] = terms;
  assert.ok(write?.dueInMs !== undefined && write.dueInMs > 150 && write.dueInMs <= 250);
  assert.equal(write.isWrite, true);
  assert.ok(late?.dueInMs !== undefined && late.dueInMs < -390, 'a request past its objective says so');
  assert.equal(late.isWrite, undefined);
  assert.equal(unlimited?.dueInMs, undefined);
});

test('the reported load is that of the tenant’s gateways, and follows a change of the gateways', () => {
  const loads = new MemberLoads();
  const names = ['g1', 'g2', 'g3', 'g4', 'g5', 'g6'];
  for (const [index, name] of names.entries())
    loads.entry('m', name).record({ inUse: index, waiting: 0, serviceMs: 0 }, false, 0);
  let gateways = names.map((name) => daemonRecord(name));
  const connections = new MemberConnections({
    groupName: 'g',
    memberId: 'm',
    bornMs: () => null,
    pool: { isUnavailable: false } as LinkPool,
    gatewayClient: { loads } as GatewayClient,
    assignment: () => ({ gateways, standbys: [], budget: 4 }),
    tenantShare: () => 0.01,
    fallbackLenders: () => [],
    ownName: 'borrower',
  });
  const tenants = Array.from({ length: 40 }, (_, index) => `tenant-${index}`);
  const seen = new Set(tenants.map((tenant) => connections.reportedLoad(tenant, 0).load));
  assert.deepEqual([...seen].sort(), [0, 1, 2, 3, 4, 5], 'one gateway a tenant');
  gateways = [daemonRecord('g6')];
  for (const tenant of tenants) assert.equal(connections.reportedLoad(tenant, 0).load, 5);
  gateways = [daemonRecord('borrower')];
  assert.equal(connections.reportedLoad('tenant-1', 0).weight, 0, 'a gateway knows the load of its own pool');
});
