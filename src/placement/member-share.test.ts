/**
 * Which members lose requests because they are slow or fail, and how they regain them.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { degradedMembers, type MemberHealth } from './degraded-members.js';
import { MemberShare, MIN_SHARE, RECOVERY_MS } from './member-share.js';
import { RecentLatency } from './recent-latency.js';

const HEALTHY: MemberHealth = { latencyMs: 26, recentMs: 26, failureShare: 0 };

function degraded(...members: readonly Partial<MemberHealth>[]): readonly boolean[] {
  return degradedMembers(members.map((member) => ({ ...HEALTHY, ...member })));
}

test('a member is slow above three times the median of its group', () => {
  assert.deepEqual(degraded({ recentMs: 78 }, {}, {}), [false, false, false]);
  assert.deepEqual(degraded({ recentMs: 79 }, {}, {}), [true, false, false]);
  assert.deepEqual(degraded({ recentMs: 130, latencyMs: 130 }, { latencyMs: 130 }, {}), [
    false,
    false,
    false,
  ]);
});

test('a member is not slow without a recent answer, by a few milliseconds, or compared with one other', () => {
  assert.deepEqual(degraded({ latencyMs: 130, recentMs: null }, {}, {}), [false, false, false]);
  const short = { latencyMs: 2, recentMs: 2 };
  assert.deepEqual(degraded({ ...short, recentMs: 20 }, short, short), [false, false, false]);
  assert.deepEqual(degraded({ recentMs: 500 }, {}), [false, false]);
  assert.deepEqual(degraded({ recentMs: 500 }, {}, { latencyMs: 0, recentMs: null }), [false, false, false]);
});

test('a member fails if it fails more than the others: statements that fail everywhere degrade none', () => {
  assert.deepEqual(degraded({ failureShare: 0.1 }, {}, {}), [true, false, false]);
  assert.deepEqual(degraded({ failureShare: 0.1 }, { failureShare: 0.1 }, { failureShare: 0.1 }), [
    false,
    false,
    false,
  ]);
  assert.deepEqual(degraded({ failureShare: 0.5 }), [false], 'the only member');
});

test('the share drops at once and rises linearly', () => {
  const share = new MemberShare();
  assert.equal(share.valueAt(0), 1);
  assert.equal(share.markDegraded(1000), true);
  assert.equal(share.valueAt(1000), MIN_SHARE);
  assert.equal(share.valueAt(1000 + RECOVERY_MS / 2), (1 + MIN_SHARE) / 2);
  assert.equal(share.markDegraded(2000), false, 'it had not regained its share');
  assert.equal(share.valueAt(2000), MIN_SHARE);
  assert.equal(share.valueAt(2000 + RECOVERY_MS), 1);
});

test('one late answer after a second without any counts almost fully, and expires after another second', () => {
  const latency = new RecentLatency();
  assert.equal(latency.valueMs(0), null);
  latency.record(26, 0);
  assert.equal(latency.valueMs(0), 26);
  latency.record(130, 1000);
  assert.equal(latency.valueMs(1000), 117);
  assert.equal(latency.valueMs(2001), null);
});
