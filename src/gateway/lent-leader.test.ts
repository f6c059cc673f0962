/**
 * Reads at the leader over a connection on loan, when its process may have restarted under its id.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { afterEach, describe, test } from 'node:test';
import { setTimeout } from 'node:timers/promises';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { FakeProcess, PROCESS_TERM, readFakeStatus } from '../../test/support/fake-process.js';
import { begin, createLeaderScene, now, read } from '../../test/support/leader-scene.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import { ZERO_POSITION } from '../position/position.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { MemberReply } from '../relay/member-link.js';
import type { LeaderCheck } from '../relay/session-link.js';
import type { BorrowedLink } from './borrowed-link.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer } from './gateway-server.js';
import { createLenderPool, createLenderResources } from '../../test/support/lender.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.77.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('gateway', { host: HOST, gatewayPort: 23_871 });
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 1000 };
const LEADER = { memberId: 'm', term: PROCESS_TERM };
const COMMIT = { term: PROCESS_TERM, index: 9 };
const READ = { kind: 'statement', requestId: 'r', payload: 'READ t', after: null } as const;

let pool: LinkPool;
let server: GatewayServer;
let client: GatewayClient;
/** What the gateway knows of the leader. */
let known: { isProven: boolean; isReplaced: boolean };
/** Runs before the gateway evaluates a status. */
let beforeStatus: () => void;

afterEach(() => {
  client.close();
  server.close();
});

const CHECK: LeaderCheck = {
  isProven: () => known.isProven,
  isReplaced: () => known.isReplaced,
  readStatus: (reply) => {
    beforeStatus();
    return readFakeStatus(reply);
  },
};

/** @param isProven - whether the gateway has evidence of the leader */
async function start(process: FakeProcess, isProven: boolean): Promise<void> {
  known = { isProven, isReplaced: false };
  beforeStatus = () => undefined;
  pool = createLenderPool(process);
  server = new GatewayServer({ ...createLenderResources(() => pool), leaderCheck: () => CHECK });
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

/** Sends a read that gets the only connection, verified before that, when `change` has run after `waitMs`. */
async function readAfterWait(waitMs: number, change: () => void): Promise<MemberReply> {
  const demand = { tenantName: null, values: new Map(), isWrite: false, priority: 1, dueAtMs: now() + 1000 };
  const held = await pool.acquire(demand, 1000);
  assert.equal(await held.verifyLeader(LEADER, CHECK), 'leader');
  const link = client.borrow(RECORD, TERMS);
  await link.verifyLeader(LEADER);
  const reply = link.send(READ);
  await setTimeout(waitMs);
  change();
  pool.release(held);
  return reply;
}

describe('a read at the leader over a connection on loan', () => {
  for (const isProven of [true, false]) {
    const evidence = isProven ? 'with' : 'without';

    test(`does not run at an empty process that does not lead, at a gateway ${evidence} evidence`, async () => {
      const process = new FakeProcess(ZERO_POSITION, false);
      await start(process, isProven);
      const { result } = (await borrowAndRead()).reply;
      assert.ok(!result.isComplete);
      assert.equal(result.code, 'busy');
      assert.equal(process.statements, 0);
    });

    test(`runs at an empty leader, asked once for its status, at a gateway ${evidence} evidence`, async () => {
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

  test('does not run at a leader that was replaced while the read waited at the gateway', async () => {
    const process = new FakeProcess(COMMIT, true);
    await start(process, true);
    const { result } = await readAfterWait(20, () => {
      known = { isProven: false, isReplaced: true };
      process.isPrimary = false;
    });
    assert.ok(!result.isComplete);
    assert.equal(result.code, 'busy');
    assert.equal(process.runs, 0);
  });

  test('does not run after a long wait at a gateway whose evidence has expired', async () => {
    const process = new FakeProcess(COMMIT, true);
    await start(process, true);
    const { result } = await readAfterWait(250, () => (known.isProven = false));
    assert.ok(!result.isComplete);
    assert.equal(result.code, 'busy');
    assert.equal(process.runs, 0);
  });

  test('runs after a long wait at a gateway with evidence', async () => {
    const process = new FakeProcess(COMMIT, true);
    await start(process, true);
    assert.ok((await readAfterWait(250, () => undefined)).result.isComplete);
    assert.equal(process.runs, 1);
  });

  test('does not run at a leader that is replaced while the gateway asks for its status', async () => {
    const process = new FakeProcess(ZERO_POSITION, true);
    await start(process, true);
    beforeStatus = () => (known = { isProven: false, isReplaced: true });
    assert.ok(!(await borrowAndRead()).reply.result.isComplete);
    assert.equal(process.statusRequests, 1);
    assert.equal(process.runs, 0);
  });

  test('does not end an open transaction when the leader is replaced', async () => {
    const process = new FakeProcess(COMMIT, true);
    await start(process, true);
    const link = client.borrow(RECORD, TERMS);
    await link.verifyLeader(LEADER);
    await link.send({ kind: 'begin', isReadOnly: true, after: null });
    known = { isProven: false, isReplaced: true };
    assert.ok((await link.send(READ)).result.isComplete);
    assert.equal(link.state, 'open');
  });

  for (const isReadOnly of [true, false])
    test(`does not begin a ${isReadOnly ? 'read-only' : 'plain'} transaction at a replaced leader`, async () => {
      const process = new FakeProcess(COMMIT, true);
      await start(process, true);
      known = { isProven: false, isReplaced: true };
      const group = createTestGroup({ leader: process }, now, { client, record: RECORD });
      await assert.rejects(begin(createLeaderScene(group, COMMIT), isReadOnly));
      assert.ok(!process.requests.some(({ kind }) => kind === 'begin'));
    });

  test('begins a plain transaction over an own connection without a status request', async () => {
    const process = new FakeProcess(ZERO_POSITION, true);
    await start(process, true);
    const group = createTestGroup({ leader: process }, now);
    assert.ok((await begin(createLeaderScene(group, null), false)).result.isComplete);
    assert.equal(process.statusRequests, 0);
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
