/**
 * Reads at the leader over a connection on loan, when its process may have restarted under its id.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { afterEach, describe, test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { FakeProcess, PROCESS_TERM, readFakeStatus } from '../../test/support/fake-process.js';
import { begin, createLeaderScene, now, read } from '../../test/support/leader-scene.js';
import { createTestGroup } from '../../test/support/relay-members.js';
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

/** Borrows as from a gateway of the build before, which ignores the leader that a request names. */
class FormerGateways extends GatewayClient {
  override borrow(...terms: Parameters<GatewayClient['borrow']>): BorrowedLink {
    const link = super.borrow(...terms);
    link.verifyLeader = () => Promise.resolve('leader');
    return link;
  }
}

async function borrowAndRead(): Promise<{ readonly link: BorrowedLink; readonly reply: MemberReply }> {
  const link = client.borrow(RECORD, TERMS);
  assert.equal(await link.verifyLeader(LEADER), 'leader');
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
      const { result } = (await borrowAndRead()).reply;
      assert.ok(!result.isComplete);
      assert.equal(result.code, 'busy');
      assert.equal(process.statements, 0);
    });

    test(`runs at an empty leader, asked once for its status, at a gateway ${known} evidence`, async () => {
      const process = new FakeProcess(ZERO_POSITION, true);
      await start(process, isProven);
      for (let count = 0; count < 3; count += 1) {
        const { link, reply } = await borrowAndRead();
        assert.ok(reply.result.isComplete);
        assert.ok(link.isVerifiedLeader(LEADER));
      }
      assert.equal(process.statusRequests, 1);
    });
  }

  /**
   * The connection was opened while the read waited, to a process that has restarted and has copied a part of
   * the log of the next leader. The position of the read is that of an earlier commit.
   */
  test('does not run at a process that has restarted while the read waited at the gateway', async () => {
    const process = new FakeProcess(ZERO_POSITION, false);
    await start(process, false);
    const gateway = { client, record: RECORD };
    const target = createLeaderScene(createTestGroup({ leader: process }, now, gateway), COMMIT);
    const dial = process.dial.bind(process);
    process.dial = async () => {
      target.group.evidence.revoke(PROCESS_TERM, now());
      process.position = COMMIT;
      return dial();
    };
    await assert.rejects(read(target));
    assert.equal(process.runs, 0);
  });

  /** Without the report, the leader would be replaced only once it is noticed otherwise. */
  test('that names a position is refused by an empty process so that the borrower reports its lost log', async () => {
    const process = new FakeProcess(ZERO_POSITION, false);
    await start(process, false);
    const target = createLeaderScene(
      createTestGroup({ leader: process }, now, { client, record: RECORD }),
      COMMIT,
    );
    const reasons: string[] = [];
    const suspect = (_group: unknown, _member: unknown, reason: string): void => void reasons.push(reason);
    await assert.rejects(read({ ...target, context: { ...target.context, suspect } }));
    assert.equal(reasons[0], 'lost_log');
    assert.equal(process.statements, 0);
  });

  test('runs without a status request at a process with a log while the leader is proven', async () => {
    const process = new FakeProcess(COMMIT, true);
    await start(process, true);
    assert.ok((await borrowAndRead()).reply.result.isComplete);
    assert.equal(process.statusRequests, 0);
  });

  /** The process may have restarted, and copied a part of the log of the next leader. */
  test('does not run at a process with a log that does not lead, at a gateway without evidence', async () => {
    const process = new FakeProcess(COMMIT, false);
    await start(process, false);
    assert.ok(!(await borrowAndRead()).reply.result.isComplete);
    assert.equal(process.statements, 0);
  });

  describe('of a gateway of the build before', () => {
    for (const [kind, run] of [
      ['answers no read', read],
      ['begins no transaction', begin],
    ] as const)
      test(`${kind} at an empty process`, async () => {
        const process = new FakeProcess(ZERO_POSITION, false);
        await start(process, true);
        client.close();
        client = new FormerGateways(HOST, now, Math.random);
        const group = createTestGroup({ leader: process }, now, { client, record: RECORD });
        await assert.rejects(run(createLeaderScene(group, null)));
        if (run === begin) assert.equal(process.statements, 0);
      });
  });
});
