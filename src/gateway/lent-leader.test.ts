/**
 * Reads at the leader over a connection on loan, when its process may have restarted under its id.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { afterEach, describe, test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { FakeProcess, PROCESS_TERM, readFakeStatus } from '../../test/support/fake-process.js';
import { ZERO_POSITION } from '../position/position.js';
import { LinkPool } from '../relay/link-pool.js';
import type { MemberReply } from '../relay/member-link.js';
import type { BorrowedLink } from './borrowed-link.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer } from './gateway-server.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.77.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('gateway', { host: HOST, gatewayPort: 23_871 });
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 1000 };
const LEADER = { memberId: 'm', term: PROCESS_TERM };
const COMMIT = { term: PROCESS_TERM, index: 9 };
const READ = { kind: 'statement', requestId: 'r', payload: 'READ t', after: null } as const;

let server: GatewayServer;
let client: GatewayClient;

afterEach(() => {
  client.close();
  server.close();
});

/** @param isProven - whether the gateway has evidence of the leader */
async function start(process: FakeProcess, isProven: boolean): Promise<void> {
  const pool = new LinkPool({
    dialer: process,
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
    pool: () => pool,
    leaderCheck: () => ({ isProven: () => isProven, readStatus: readFakeStatus }),
    ownEvidence: () => ({ version: 1, leaders: [], agesMs: [] }),
    changes: () => new Promise<never>(() => undefined),
    configuration: () => ({ version: 0, proof: null, item: null }),
    grant: () => Promise.resolve(null),
  });
  await server.listen(HOST, RECORD.gatewayPort);
  client = new GatewayClient(HOST, () => performance.now(), Math.random);
}

async function read(): Promise<{ readonly link: BorrowedLink; readonly reply: MemberReply }> {
  const link = client.borrow(RECORD, TERMS);
  assert.ok(await link.verifyLeader(LEADER));
  const reply = await link.send(READ);
  link.close();
  return { link, reply };
}

describe('a read at the leader over a connection on loan', () => {
  for (const isProven of [true, false]) {
    const known = isProven ? 'with' : 'without';

    test(`does not run at an empty process that does not lead, at a gateway ${known} evidence`, async () => {
      const process = new FakeProcess(ZERO_POSITION, false);
      await start(process, isProven);
      const { result } = (await read()).reply;
      assert.ok(!result.isComplete);
      assert.equal(result.code, 'busy');
      assert.equal(process.statements, 0);
    });

    test(`runs at an empty leader, asked once for its status, at a gateway ${known} evidence`, async () => {
      const process = new FakeProcess(ZERO_POSITION, true);
      await start(process, isProven);
      for (let count = 0; count < 3; count += 1) {
        const { link, reply } = await read();
        assert.ok(reply.result.isComplete);
        assert.ok(link.isVerifiedLeader(LEADER));
      }
      assert.equal(process.statusRequests, 1);
    });
  }

  test('runs without a status request at a process with a log while the leader is proven', async () => {
    const process = new FakeProcess(COMMIT, true);
    await start(process, true);
    assert.ok((await read()).reply.result.isComplete);
    assert.equal(process.statusRequests, 0);
  });

  /** The process may have restarted, and copied a part of the log of the next leader. */
  test('does not run at a process with a log that does not lead, at a gateway without evidence', async () => {
    const process = new FakeProcess(COMMIT, false);
    await start(process, false);
    assert.ok(!(await read()).reply.result.isComplete);
    assert.equal(process.statements, 0);
  });
});
