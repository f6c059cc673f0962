import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PositionHistory } from '../leadership/position-history.js';
import type { Position } from '../position/position.js';
import { floorWithOwnCommits, MAX_GROUPS, SessionCommits } from './session-commits.js';

const A = { name: 'a' };
const B = { name: 'b' };

const at = (index: number, term = 1): Position => ({ term, index });

/** A history of samples, given as pairs of a time in milliseconds and an index. */
function historyOf(...samples: readonly (readonly [number, number])[]): PositionHistory {
  const positions = new PositionHistory();
  for (const [askedAtMs, index] of samples) positions.record(askedAtMs, at(index));
  return positions;
}

describe('what the commits of a session require', () => {
  test('nothing before the first commit, and nothing at a group without one', () => {
    const commits = new SessionCommits();
    assert.equal(commits.floorFor(A), null);
    commits.record(A, at(6), 100);
    assert.equal(commits.floorFor(B), null);
  });

  test('the position of the latest commit at each group', () => {
    const commits = new SessionCommits();
    commits.record(A, at(6), 100);
    commits.record(B, at(3), 200);
    commits.record(A, at(8), 300);
    assert.deepEqual(commits.floorFor(A), {
      kind: 'position',
      floor: { position: at(8), reachedAtMs: 300 },
    });
    assert.deepEqual(commits.floorFor(B), {
      kind: 'position',
      floor: { position: at(3), reachedAtMs: 200 },
    });
  });

  test('still the later position after a commit at a lower one', () => {
    const commits = new SessionCommits();
    commits.record(A, at(8), 100);
    commits.record(A, at(6), 200);
    assert.deepEqual(commits.floorFor(A), {
      kind: 'position',
      floor: { position: at(8), reachedAtMs: 200 },
    });
  });

  test('a later query of the leader while the position of the latest commit is not known', () => {
    const commits = new SessionCommits();
    commits.record(A, at(6), 100);
    commits.record(A, null, 200);
    assert.deepEqual(commits.floorFor(A), { kind: 'since', acknowledgedAtMs: 200 });
    commits.record(A, at(8), 300);
    assert.deepEqual(commits.floorFor(A), {
      kind: 'position',
      floor: { position: at(8), reachedAtMs: 300 },
    });
  });

  test('a later query of the leader when the group was removed and added again', () => {
    const commits = new SessionCommits();
    commits.record(A, at(60), 100);
    const again = { name: 'a' };
    assert.deepEqual(commits.floorFor(again), { kind: 'since', acknowledgedAtMs: 100 });
    commits.record(again, at(4), 200);
    assert.deepEqual(commits.floorFor(again), {
      kind: 'position',
      floor: { position: at(4), reachedAtMs: 200 },
    });
  });

  test('a later query of the leader at a group of which the commits are forgotten', () => {
    const commits = new SessionCommits();
    commits.record(A, at(6), 100);
    commits.record(B, at(3), 200);
    commits.record(A, at(7), 300);
    for (let count = 0; count < MAX_GROUPS - 1; count += 1)
      commits.record({ name: `c${count}` }, at(1), 400 + count);
    assert.deepEqual(commits.floorFor(B), { kind: 'since', acknowledgedAtMs: 200 });
    assert.deepEqual(commits.floorFor(A), {
      kind: 'position',
      floor: { position: at(7), reachedAtMs: 300 },
    });
    commits.record(B, at(9), 500);
    assert.deepEqual(commits.floorFor(A), { kind: 'since', acknowledgedAtMs: 300 });
    assert.deepEqual(commits.floorFor(B), {
      kind: 'position',
      floor: { position: at(9), reachedAtMs: 500 },
    });
  });
});

describe('the floor of a read', () => {
  const positions = historyOf([0, 5], [100, 6], [200, 9]);

  test('is that of the staleness bound for a session without commits', () => {
    assert.deepEqual(floorWithOwnCommits(positions, 0, null), { position: at(5), reachedAtMs: 0 });
    assert.equal(floorWithOwnCommits(positions, 201, null), null);
  });

  test('is the later of the staleness bound and the own commit', () => {
    const own = (index: number) => ({
      kind: 'position' as const,
      floor: { position: at(index), reachedAtMs: 50 },
    });
    assert.deepEqual(floorWithOwnCommits(positions, 0, own(6))?.position, at(6));
    assert.deepEqual(floorWithOwnCommits(positions, 150, own(6))?.position, at(9));
    assert.equal(floorWithOwnCommits(positions, 201, own(6)), null);
  });

  test('is taken from a query of the leader after the acknowledgement of own commits without a position', () => {
    const own = (acknowledgedAtMs: number) => ({ kind: 'since' as const, acknowledgedAtMs });
    assert.deepEqual(floorWithOwnCommits(positions, 0, own(50))?.position, at(6));
    assert.deepEqual(floorWithOwnCommits(positions, 150, own(50))?.position, at(9));
    assert.equal(floorWithOwnCommits(positions, 0, own(201)), null);
  });
});
