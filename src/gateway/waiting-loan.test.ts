/**
 * A request that waits at a gateway for a connection until its time is over.
 *
 * Users were told that a write is in doubt though it had never left the gateway. The gateway was to wait as long as the daemon
 * that had asked it, so that daemon gave the loan up first, with no word of whether anything was sent.
 *
 * Evidence: `code=in_doubt ... answer lost: LinkLostError: given up`, with `sentAgoMs` the whole time-out of the route.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { LinkPool } from '../relay/link-pool.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer } from './gateway-server.js';
import { MemberConnections } from './member-connections.js';

/** An address of this process's own, so that two runs do not meet. */
const HOST = `127.79.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('gateway', { host: HOST, gatewayPort: 23_891 });
const WAIT_MS = 400;

/** A pool that may have no connection. */
const pool = new LinkPool({
  dialer: { dial: () => assert.fail('no connection is to be opened') },
  address: { memberId: 'm', groupName: 'g', host: 'h', port: 1 },
  budget: () => 0,
  dialTimeoutMs: 100,
  limitBackoffMs: 10,
  idleTimeoutMs: 1000,
  serviceMs: () => 10,
  onFailure: () => undefined,
  now: () => performance.now(),
  random: () => 0.5,
});
const server = new GatewayServer({
  pool: () => pool,
  ownEvidence: () => ({ version: 1, leaders: [], agesMs: [] }),
  changes: () => new Promise<never>(() => undefined),
  configuration: () => ({ version: 0, proof: null, item: null }),
  grant: () => Promise.resolve(null),
});
const client = new GatewayClient(HOST, () => performance.now(), Math.random);

before(() => server.listen(HOST, RECORD.gatewayPort));
after(() => {
  client.close();
  server.close();
});

test('is told that nothing was sent before the loan is given up', async () => {
  const connections = new MemberConnections({
    groupName: 'g',
    memberId: 'm',
    bornMs: () => null,
    pool,
    gateways: client,
    assignment: () => ({ gateways: [RECORD], standbys: [], budget: 0 }),
    tenantShare: () => 1,
    others: () => [RECORD],
    ownName: 'borrower',
  });
  const demand = { tenantName: null, values: new Map(), isWrite: true, priority: 1, dueAtMs: 0 };
  const link = connections.borrow(demand, WAIT_MS);
  const overdue = setTimeout(() => link.close(), WAIT_MS);
  const reply = await link.send({ kind: 'statement', requestId: 'w', payload: 'WRITE t d', after: null });
  clearTimeout(overdue);
  assert.ok(!reply.result.isComplete);
  assert.equal(reply.result.code, 'busy');
});
