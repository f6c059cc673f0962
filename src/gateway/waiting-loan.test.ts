/**
 * A request that waits at a gateway for a connection until its timeout.
 *
 * Guards against a write being reported as in doubt although the gateway never sent it to the member. This
 * happens if the gateway waits as long as the borrower: the borrower then ends the loan first, without
 * knowing whether the write was sent.
 *
 * The symptom is `code=in_doubt ... answer lost: LinkLostError: given up`, with `sentAgoMs` equal to the full
 * timeout of the route.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer } from './gateway-server.js';
import { MemberConnections } from './member-connections.js';
import { createLenderPool, createLenderResources } from '../../test/support/lender.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.79.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('gateway', { host: HOST, gatewayPort: 23_891 });
const WAIT_MS = 400;

/** A pool that may not open any connection. */
const pool = createLenderPool(
  { dial: () => assert.fail('no connection is to be opened') },
  { budget: () => 0, idleTimeoutMs: 1000 },
);
const server = new GatewayServer(createLenderResources(() => pool));
const client = new GatewayClient(HOST, () => performance.now(), Math.random);

before(() => server.listen(HOST, RECORD.gatewayPort));
after(() => {
  client.close();
  server.close();
});

test('a waiting request gets the reply that nothing was sent before the borrower ends the loan', async () => {
  const connections = new MemberConnections({
    groupName: 'g',
    memberId: 'm',
    bornMs: () => null,
    pool,
    gatewayClient: client,
    assignment: () => ({ gateways: [RECORD], standbys: [], budget: 0 }),
    tenantShare: () => 1,
    fallbackLenders: () => [RECORD],
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
