/**
 * Guards against an isolation that is concluded from a single zone or daemon.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { choosePingTargets } from './ping-targets.js';

test('three daemons in as many zones as there are', () => {
  const records = ['b', 'b', 'b', 'b', 'c', 'd'].map((zone, index) => daemonRecord(`d${index}`, { zone }));
  for (let round = 0; round < 50; round += 1) {
    const zones = choosePingTargets(records, Math.random).map(({ zone }) => zone);
    assert.deepEqual(zones.toSorted(), ['b', 'c', 'd']);
  }
});

test('several daemons of one zone if there is only one, each of them once', () => {
  const records = [1, 2, 3, 4].map((index) => daemonRecord(`d${index}`, { zone: 'b' }));
  const names = choosePingTargets(records, Math.random).map(({ name }) => name);
  assert.equal(new Set(names).size, 3);
  assert.deepEqual(choosePingTargets([], Math.random), []);
});
