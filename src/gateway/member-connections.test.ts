/**
 * Whose connections a request uses.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { LinkPool } from '../relay/link-pool.js';
import type { LinkDemand } from '../relay/link-queue.js';
import { DialError } from '../relay/member-link.js';
import type { SessionLink } from '../relay/session-link.js';
import type { GatewayClient } from './gateway-client.js';
import { MemberConnections } from './member-connections.js';

const DEMAND: LinkDemand = { tenantName: null, values: new Map(), isWrite: false, priority: 1, dueAtMs: 0 };
const LENT = { isOpen: true } as SessionLink;

/** Connections to a member that refuses them all since it has too many. */
function scene(others: readonly string[]): {
  connections: MemberConnections;
  borrowed: string[];
  clock: { now: number };
} {
  const clock = { now: 0 };
  const borrowed: string[] = [];
  const pool = new LinkPool({
    dialer: { dial: () => Promise.reject(new DialError('too_many_connections', 'full')) },
    address: { memberId: 'm', groupName: 'g', host: 'h', port: 1 },
    budget: () => 2,
    dialTimeoutMs: 100,
    limitBackoffMs: 100,
    idleMs: 1000,
    serviceMs: () => 10,
    onTrouble: () => undefined,
    random: () => 0.5,
    now: () => clock.now,
  });
  const gateways = {
    choose: (records: readonly DaemonRecord[]) => records[0] ?? null,
    borrow: ({ name }: DaemonRecord) => {
      borrowed.push(name);
      return LENT;
    },
  };
  const connections = new MemberConnections({
    groupName: 'g',
    memberId: 'm',
    bornMs: () => null,
    pool,
    gateways: gateways as unknown as GatewayClient,
    assignment: () => ({ gateways: null, standbys: [], budget: 2 }),
    tenantShare: () => 1,
    others: () => others.map((name) => ({ name }) as DaemonRecord),
    ownName: 'd1',
  });
  return { connections, borrowed, clock };
}

test('a daemon to which the member gives none borrows one, and asks the member again later', async () => {
  const { connections, borrowed, clock } = scene(['d2']);
  assert.equal(connections.isDirect, true);
  await assert.rejects(connections.acquire(DEMAND, 1000), DialError);
  assert.equal(connections.isDirect, false);
  assert.equal(await connections.acquire(DEMAND, 1000), LENT);
  assert.deepEqual(borrowed, ['d2']);
  clock.now = 101;
  assert.equal(connections.isDirect, true);
});

test('without another daemon it goes on asking the member', async () => {
  const { connections } = scene([]);
  await assert.rejects(connections.acquire(DEMAND, 1000), DialError);
  assert.equal(connections.isDirect, true);
});
