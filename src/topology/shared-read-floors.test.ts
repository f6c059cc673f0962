/**
 * Read floors that other daemons share, in the records of a group.
 *
 * Guards against reads on a log that lacks an acknowledged commit, and against commits that a promotion loses
 * because another daemon's position was taken for one that the leader has reported to this daemon.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { Leader } from '../leadership/leadership-evidence.js';
import type { LeaderFloor } from '../leadership/shared-floor.js';
import { ZERO_POSITION, type Position } from '../position/position.js';
import { MemberGroup } from './member-group.js';

const NOW_MS = 10_000;
const LEADER: Leader = { memberId: 'old', term: 2 };
const NEXT: Leader = { memberId: 'new', term: 3 };

const at = (index: number, term = LEADER.term): Position => ({ term, index });

/** A group with evidence of its leader; this daemon may have acknowledged commits in an earlier process. */
function ledGroup(): MemberGroup {
  const group = new MemberGroup('g', undefined, () => true);
  prove(group, LEADER);
  return group;
}

function prove(group: MemberGroup, leader: Leader, askedAtMs = NOW_MS): void {
  group.recordLeader(leader, null);
  group.evidence.recordWitness(leader.term, 0, askedAtMs, { kind: 'daemon', isHolder: true });
}

function floorOf(position: Position, ageMs = 100, leader = LEADER): LeaderFloor {
  return { leader, position, askedAtMs: NOW_MS - ageMs };
}

/** The floor of a read with a staleness bound of 500 ms. */
function readFloorAt(group: MemberGroup, nowMs = NOW_MS): Position | null {
  return group.readFloorSince(nowMs - 500, nowMs)?.position ?? null;
}

describe('a shared floor', () => {
  test('serves reads that began no longer after it than their staleness bound', () => {
    const group = ledGroup();
    assert.equal(group.recordSharedFloor(floorOf(at(7), 100), NOW_MS), true);
    assert.deepEqual(readFloorAt(group), at(7));
    assert.deepEqual(readFloorAt(group, NOW_MS + 400), at(7));
    assert.equal(readFloorAt(group, NOW_MS + 401), null);
  });

  test('is no position that the leader has reported to this daemon', () => {
    const group = ledGroup();
    group.recordSharedFloor(floorOf(at(7)), NOW_MS);
    assert.equal(group.positions.floorSince(0), null, 'a promotion covers what the leader reported');
    assert.equal(group.positions.newest, null);
    assert.equal(group.leaderPosition, null);
    assert.equal(group.termStartPosition(LEADER.term), null);
    assert.deepEqual(group.acknowledged, { latest: ZERO_POSITION, limit: null });
    assert.equal(group.shareableFloor(NOW_MS), null, 'it is not passed on');
  });

  test('is not used once the leader has reported a position to this daemon', () => {
    const group = ledGroup();
    group.recordSharedFloor(floorOf(at(7), 50), NOW_MS);
    group.recordLeaderPosition(NOW_MS - 80, at(6));
    assert.deepEqual(readFloorAt(group), at(6));
  });

  test('wakes the reads that wait for one', async () => {
    const group = ledGroup();
    let isWoken = false;
    const waiting = group.changed.wait(60_000).then(() => (isWoken = true));
    group.recordSharedFloor(floorOf(at(7)), NOW_MS);
    await new Promise((resolve) => setImmediate(resolve));
    assert.ok(isWoken);
    await waiting;
  });
});

describe('a floor of a leader that was replaced', () => {
  test('is not used after the next leader is known', () => {
    const group = ledGroup();
    group.recordSharedFloor(floorOf(at(7)), NOW_MS);
    group.evidence.observeTerm(NEXT.term);
    assert.equal(readFloorAt(group), null, 'the leader of the next term is not known yet');
    prove(group, NEXT);
    assert.equal(readFloorAt(group), null);
  });

  test('is ignored when it arrives after that', () => {
    const group = ledGroup();
    prove(group, NEXT);
    assert.equal(group.recordSharedFloor(floorOf(at(7)), NOW_MS), false);
    assert.equal(readFloorAt(group), null);
  });

  test('is not used with one of the next leader', () => {
    const group = ledGroup();
    group.recordSharedFloor(floorOf(at(7), 200), NOW_MS);
    prove(group, NEXT);
    group.recordSharedFloor(floorOf(at(9, NEXT.term), 100, NEXT), NOW_MS);
    assert.deepEqual(readFloorAt(group), at(9, NEXT.term));
  });

  test('is not shared after that, nor when the same member leads again', () => {
    const group = ledGroup();
    group.recordLeaderPosition(NOW_MS - 50, at(7));
    assert.deepEqual(group.shareableFloor(NOW_MS)?.position, at(7));
    prove(group, NEXT);
    assert.equal(group.shareableFloor(NOW_MS), null);
    prove(group, { ...LEADER, term: NEXT.term + 1 });
    assert.equal(group.shareableFloor(NOW_MS), null);
  });

  test('of another member in the same term is ignored', () => {
    const group = ledGroup();
    const other = { memberId: 'other', term: LEADER.term };
    assert.equal(group.recordSharedFloor(floorOf(at(7), 100, other), NOW_MS), false);
    assert.equal(readFloorAt(group), null);
  });
});

describe('without valid evidence of the leader', () => {
  test('a floor is neither taken nor shared', () => {
    const group = ledGroup();
    group.recordLeaderPosition(NOW_MS - 50, at(7));
    group.evidence.revoke(LEADER.term, NOW_MS);
    assert.equal(group.shareableFloor(NOW_MS), null);
    const other = ledGroup();
    other.evidence.revoke(LEADER.term, NOW_MS);
    assert.equal(other.recordSharedFloor(floorOf(at(7)), NOW_MS), false);
    assert.equal(readFloorAt(other), null);
  });

  /** A daemon that was paused has evidence again only after it was renewed. */
  test('a floor that was taken is not used', () => {
    const group = ledGroup();
    group.recordSharedFloor(floorOf(at(7)), NOW_MS);
    const lapsedMs = group.evidence.validUntilMs;
    assert.equal(group.readFloorSince(0, lapsedMs), null);
    prove(group, LEADER, lapsedMs);
    assert.deepEqual(group.readFloorSince(0, lapsedMs)?.position, at(7));
    group.evidence.revoke(LEADER.term, lapsedMs);
    assert.equal(group.readFloorSince(0, lapsedMs), null);
  });
});

/** See docs/incidents/empty-next-life.md. */
describe('a process that has restarted under the id of the leader', () => {
  test('gives no floor that is shared while its log is empty', () => {
    const group = ledGroup();
    group.recordLeaderPosition(NOW_MS - 50, ZERO_POSITION);
    assert.equal(group.shareableFloor(NOW_MS), null);
  });

  test('gives no floor that replaces one of the process before', () => {
    const group = ledGroup();
    group.recordLeaderPosition(NOW_MS - 50, at(7));
    group.recordLeaderPosition(NOW_MS - 20, ZERO_POSITION);
    group.recordLeaderPosition(NOW_MS - 10, at(1));
    assert.deepEqual(group.shareableFloor(NOW_MS), floorOf(at(7), 50));
  });

  test('gives no floor to a daemon that knows that the leader held more', () => {
    const group = ledGroup();
    group.recordReplicaPosition(at(7));
    group.recordSharedFloor(floorOf(at(1)), NOW_MS);
    assert.equal(readFloorAt(group), null);
    group.recordSharedFloor(floorOf(at(7)), NOW_MS);
    assert.deepEqual(readFloorAt(group), at(7));
  });

  test('gives no floor below one that was shared before', () => {
    const group = ledGroup();
    group.recordSharedFloor(floorOf(at(7), 400), NOW_MS);
    group.recordSharedFloor(floorOf(at(1), 100), NOW_MS);
    assert.deepEqual(readFloorAt(group), at(7));
    assert.equal(readFloorAt(group, NOW_MS + 200), null);
  });
});

test('the floor that is shared is the one for which the leader was asked last', () => {
  const group = ledGroup();
  group.recordLeaderPosition(NOW_MS - 50, at(7));
  group.recordLeaderPosition(NOW_MS - 90, at(9));
  assert.deepEqual(group.shareableFloor(NOW_MS), floorOf(at(7), 50));
  group.recordLeaderPosition(NOW_MS - 10, at(9));
  assert.deepEqual(group.shareableFloor(NOW_MS), floorOf(at(9), 10));
});
