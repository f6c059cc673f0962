/**
 * What refusals tell of the end of a daemon's process.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { absenceOf, DaemonEnds, endedBefore } from './daemon-ends.js';

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

test('an absence that another daemon tells of goes on where the own one began soon after, and else the later one counts', () => {
  const ends = new DaemonEnds();
  ends.refused(ADDRESS, 5000);
  ends.learn(ADDRESS, { sinceMs: 3000, lastMs: 4600 });
  assert.deepEqual(ends.of(ADDRESS), { sinceMs: 3000, lastMs: 5000 });
  ends.learn(ADDRESS, { sinceMs: 1000, lastMs: 1500 });
  assert.deepEqual(ends.of(ADDRESS), { sinceMs: 3000, lastMs: 5000 });
  ends.learn(ADDRESS, { sinceMs: 9000, lastMs: 9500 });
  assert.deepEqual(ends.of(ADDRESS), { sinceMs: 9000, lastMs: 9500 });
});

test('an absence is told as ages, and is taken to be as short as the way of the answer allows', () => {
  const ends = new DaemonEnds();
  ends.learn(ADDRESS, { sinceMs: 1000, lastMs: 3000 });
  const [told] = ends.tell(4000);
  assert.deepEqual(told, { address: ADDRESS, sinceAgoMs: 3000, lastAgoMs: 1000 });
  assert.deepEqual(absenceOf(told, 50_000, 50_200), { sinceMs: 47_200, lastMs: 49_000 });
});
