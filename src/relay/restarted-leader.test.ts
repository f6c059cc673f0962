/**
 * Reads at a process that has restarted with an empty log under the id of the leader. Leadership evidence
 * names an id and a term, and the directory announces the restarted process some milliseconds after it
 * accepts connections.
 *
 * Guards against stale reads (soak profile `reborn`, seed 5001: `saw version 0, 2 was acknowledged in time`;
 * the position 0.0 of such an answer was then the floor of reads at replicas for the next second). Reads at a
 * leader that had been announced with an empty log, or had reported no position, required no position, so its
 * empty restarted process was taken for the leader. The log showed `order kind=leader held=0.0`, then
 * `read_at leader=true`, then `read_at leader=false floor=0.0`.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FakeProcess, PROCESS_TERM as TERM } from '../../test/support/fake-process.js';
import { begin, createLeaderScene, now, read, type LeaderScene } from '../../test/support/leader-scene.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import { ZERO_POSITION, type Position } from '../position/position.js';
import type { Decision } from './relay-context.js';

const COMMIT: Position = { term: TERM, index: 9 };

/** A group with valid evidence for its leader, which has reported the position `held`, or none. */
function scene(process: FakeProcess, held: Position | null): LeaderScene {
  return createLeaderScene(createTestGroup({ leader: process }, now), held);
}

/** The notable decisions on a read. */
async function decisionsOf(target: LeaderScene): Promise<readonly Decision[]> {
  const decisions: Decision[] = [];
  const observer = { ...NOOP_OBSERVER, notable: (decision: Decision) => void decisions.push(decision) };
  await read({ ...target, context: { ...target.context, observer } }).catch(() => undefined);
  return decisions;
}

for (const held of [null, ZERO_POSITION]) {
  const known = held === null ? 'that has reported no position' : 'that was announced with an empty log';

  describe(`a restarted, empty process under the id of a leader ${known}`, () => {
    /** Guards against reads that run on the empty log, even if their answers are dropped. */
    test('runs and answers no read', async () => {
      const process = new FakeProcess(ZERO_POSITION, false);
      await assert.rejects(read(scene(process, held)));
      assert.equal(process.statements, 0);
    });

    test('answers no read of a transaction', async () => {
      const process = new FakeProcess(ZERO_POSITION, false);
      await assert.rejects(begin(scene(process, held)));
      assert.equal(process.statements, 0);
    });

    test('is logged as the reason for which a read was not sent', async () => {
      const target = scene(new FakeProcess(ZERO_POSITION, false), held);
      const decisions = await decisionsOf(target);
      const elsewhere = decisions.find(({ decision }) => decision === 'read_elsewhere');
      assert.equal(elsewhere?.['member'], 'leader');
      assert.equal(elsewhere['outcome'], 'not_run');
      assert.equal(elsewhere['reason'], 'perhaps another life of the leader');
    });

    /** Guards against 0.0 as the floor of reads at replicas. */
    test('gives no floor', async () => {
      const target = scene(new FakeProcess(ZERO_POSITION, false), held);
      await read(target).catch(() => undefined);
      assert.equal(target.group.positions.floorSince(0), null);
    });
  });

  describe(`a leader ${known}`, () => {
    test('serves reads with an empty log when its status says that it leads', async () => {
      const process = new FakeProcess(ZERO_POSITION, true);
      const target = scene(process, held);
      assert.ok((await read(target)).result.isComplete);
      assert.ok((await begin(scene(new FakeProcess(ZERO_POSITION, true), held))).result.isComplete);
      assert.deepEqual(target.group.positions.floorSince(0)?.position, ZERO_POSITION);
    });

    /** A status request occupies a slot of the member and is charged. */
    test('is asked for its status once for each connection', async () => {
      const process = new FakeProcess(ZERO_POSITION, true);
      const target = scene(process, held);
      for (let count = 0; count < 3; count += 1) await read(target);
      assert.equal(process.statements, 3);
      assert.equal(process.statusRequests, 1);
    });

    test('serves reads without a status request when its log is not empty', async () => {
      const process = new FakeProcess(COMMIT, true);
      const target = scene(process, held);
      assert.ok((await read(target)).result.isComplete);
      assert.ok(process.requests.every(({ kind }) => kind !== 'status'));
      assert.deepEqual(target.group.positions.floorSince(0)?.position, COMMIT);
    });

    /**
     * A restarted process that copies the log of the new leader has a non-empty log, but may still lack
     * commits that the former leader had acknowledged.
     */
    test('is not read by an answer that comes when it may have been replaced', async () => {
      const process = new FakeProcess(COMMIT, true);
      const target = scene(process, held);
      process.beforeAnswer = () => target.group.evidence.revoke(TERM, performance.now());
      await assert.rejects(read(target));
      assert.equal(target.group.positions.floorSince(0), null);
    });

    /** Without the line, the log does not tell such an answer from one of the proven leader. */
    test('is logged with the position of an answer that comes when it may have been replaced', async () => {
      const process = new FakeProcess(COMMIT, true);
      const target = scene(process, held);
      process.beforeAnswer = () => target.group.evidence.revoke(TERM, performance.now());
      const answered = (await decisionsOf(target)).find(({ decision }) => decision === 'read_answered');
      assert.equal(answered?.['after'], held === null ? null : '0.0');
      assert.equal(answered['position'], '1.9');
      assert.equal(answered['proven'], false);
    });
  });
}

/**
 * The process copies the log of the next leader while the request waits in its queue, and holds the position
 * that the request names before it holds later commits.
 */
for (const [kind, run] of [
  ['read', read],
  ['transaction', begin],
] as const)
  test(`a ${kind} that names an older position is not queued at an empty, restarted process`, async () => {
    const process = new FakeProcess(ZERO_POSITION, false);
    const target = scene(process, COMMIT);
    process.beforeAnswer = () => (process.position = COMMIT);
    await assert.rejects(run(target));
    assert.equal(process.runs, 0);
  });

/** Without the report, the leader would be replaced only once it is noticed otherwise. */
test('an empty, restarted process is reported when the leader has had a log', async () => {
  const target = scene(new FakeProcess(ZERO_POSITION, false), COMMIT);
  const reasons: string[] = [];
  const suspect = (_group: unknown, _member: unknown, reason: string): void => void reasons.push(reason);
  await assert.rejects(read({ ...target, context: { ...target.context, suspect } }));
  assert.equal(reasons[0], 'lost_log');
});

/** Without the position, a primary that has restarted with a shorter log would be read. */
test('a read at the leader names the position that it has reported', async () => {
  const process = new FakeProcess(COMMIT, true);
  await read(scene(process, COMMIT));
  const sent = process.requests.find(({ kind }) => kind === 'statement');
  assert.deepEqual(sent?.kind === 'statement' ? sent.after : null, COMMIT);
});

describe('a position reported by a leader', () => {
  const LEADER = { memberId: 'leader', term: TERM };

  /**
   * Guards against a floor from an answer of the restarted process that arrives after the new leader was
   * announced: there was no position of the new leader yet to compare it with.
   */
  test('is no floor once another leads', () => {
    const { group } = scene(new FakeProcess(COMMIT, true), COMMIT);
    group.recordLeader({ memberId: 'other', term: TERM + 1 }, null);
    group.recordLeaderPosition(performance.now(), ZERO_POSITION, LEADER);
    assert.equal(group.positions.floorSince(0), null);
  });
});
