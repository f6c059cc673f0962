/**
 * Validation of read floors that other daemons have sent.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MAX_FLOOR_AGE_MS, readSharedFloor } from './shared-floor.js';

const FLOOR = { groupName: 'g', memberId: 'm', term: 2, position: { term: 2, index: 7 }, ageMs: 30 };

test('a floor is read without fields of later builds', () => {
  assert.deepEqual(readSharedFloor({ ...FLOOR, later: 1 }), FLOOR);
  assert.deepEqual(readSharedFloor({ ...FLOOR, ageMs: MAX_FLOOR_AGE_MS })?.ageMs, MAX_FLOOR_AGE_MS);
});

/** Guards against an age that makes the floor newer than it is, or a position that every replica has reached. */
test('a floor with an absurd field is ignored, whichever field it is', () => {
  const absurd = [undefined, null, -1, Number.NaN, Number.POSITIVE_INFINITY, 1e300, '3', [3], {}, true, 3n];
  for (const value of absurd) {
    for (const field of ['term', 'position', 'ageMs'])
      assert.equal(readSharedFloor({ ...FLOOR, [field]: value }), null, `${field} ${String(value)}`);
    for (const field of ['term', 'index'])
      assert.equal(readSharedFloor({ ...FLOOR, position: { ...FLOOR.position, [field]: value } }), null);
  }
  for (const field of ['groupName', 'memberId'])
    for (const value of [undefined, null, 3, {}])
      assert.equal(readSharedFloor({ ...FLOOR, [field]: value }), null);
  assert.equal(readSharedFloor({ ...FLOOR, ageMs: MAX_FLOOR_AGE_MS + 1 }), null);
  assert.equal(readSharedFloor({ ...FLOOR, term: 1.5 }), null);
});

/** Guards against reads on the empty log of a process that has restarted under the leader's id. */
test('an empty position is no floor', () => {
  assert.equal(readSharedFloor({ ...FLOOR, position: { term: 0, index: 0 } }), null);
  assert.equal(readSharedFloor({ ...FLOOR, position: { term: 2, index: 0 } }), null);
});

test('a position of a later term than that of the leader is no floor', () => {
  assert.equal(readSharedFloor({ ...FLOOR, position: { term: 3, index: 7 } }), null);
});

test('no value makes the reader throw', () => {
  fc.assert(
    fc.property(fc.anything(), (value) => void readSharedFloor(value)),
    { seed: 20261203, numRuns: 500 },
  );
});
