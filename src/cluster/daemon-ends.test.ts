/**
 * What refusals tell of the end of a daemon's process.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DaemonEnds, endedBefore } from './daemon-ends.js';

const ADDRESS = '10.1.0.8:7440';

test('refusals that follow each other closely are one absence', () => {
  const ends = new DaemonEnds();
  for (const atMs of [1000, 1300, 1600]) ends.refused(ADDRESS, atMs);
  assert.deepEqual(ends.of(ADDRESS), { sinceMs: 1000, lastMs: 1600 });
  assert.equal(ends.of('10.1.0.9:7440'), null);
});

test('a process may have stood, and acknowledged, between two refusals with more time between', () => {
  const ends = new DaemonEnds();
  ends.refused(ADDRESS, 1000);
  ends.refused(ADDRESS, 1800);
  assert.deepEqual(ends.of(ADDRESS), { sinceMs: 1800, lastMs: 1800 });
});

test('the former process had ended by the first refusal when the present one began soon after the last', () => {
  const absence = { sinceMs: 1000, lastMs: 1600 };
  assert.equal(endedBefore(absence, 1900), 1000);
  assert.equal(endedBefore(absence, 2400), null);
});

test('what is long over is forgotten', () => {
  const ends = new DaemonEnds();
  ends.refused(ADDRESS, 1000);
  ends.trim(1001);
  assert.equal(ends.of(ADDRESS), null);
});
