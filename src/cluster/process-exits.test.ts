/**
 * Tracking of daemon processes that have exited, by refused connections.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toLocalAbsence, AbsenceTracker, predecessorExitMs } from './absence-tracker.js';

const ADDRESS = '10.1.0.8:7440';

test('refusals in close succession are one absence', () => {
  const ends = new AbsenceTracker();
  for (const atMs of [1000, 1300, 1600]) ends.recordRefusal(ADDRESS, atMs);
  assert.deepEqual(ends.find(ADDRESS), { sinceMs: 1000, lastMs: 1600 });
  assert.equal(ends.find('10.1.0.9:7440'), null);
});

test('a process may have run, and acknowledged commits, between two refusals that are far apart', () => {
  const ends = new AbsenceTracker();
  ends.recordRefusal(ADDRESS, 1000);
  ends.recordRefusal(ADDRESS, 1800);
  assert.deepEqual(ends.find(ADDRESS), { sinceMs: 1800, lastMs: 1800 });
});

test('the earlier process had exited by the first refusal if the current one started soon after the last', () => {
  const absence = { sinceMs: 1000, lastMs: 1600 };
  assert.equal(predecessorExitMs(absence, 1900), 1000);
  assert.equal(predecessorExitMs(absence, 2400), null);
});

test('an absence that ended before the cut-off is discarded', () => {
  const ends = new AbsenceTracker();
  ends.recordRefusal(ADDRESS, 1000);
  ends.discardBefore(1001);
  assert.equal(ends.find(ADDRESS), null);
});

test('an absence that another daemon tells of is joined with one that began soon after it, else the later one is kept', () => {
  const ends = new AbsenceTracker();
  ends.recordRefusal(ADDRESS, 5000);
  ends.merge(ADDRESS, { sinceMs: 3000, lastMs: 4600 });
  assert.deepEqual(ends.find(ADDRESS), { sinceMs: 3000, lastMs: 5000 });
  ends.merge(ADDRESS, { sinceMs: 1000, lastMs: 1500 });
  assert.deepEqual(ends.find(ADDRESS), { sinceMs: 3000, lastMs: 5000 });
  ends.merge(ADDRESS, { sinceMs: 9000, lastMs: 9500 });
  assert.deepEqual(ends.find(ADDRESS), { sinceMs: 9000, lastMs: 9500 });
});

test('an absence is reported as ages, and converted to the shortest interval that the round trip allows', () => {
  const ends = new AbsenceTracker();
  ends.merge(ADDRESS, { sinceMs: 1000, lastMs: 3000 });
  const [reported] = ends.report(4000);
  assert.deepEqual(reported, { address: ADDRESS, sinceAgoMs: 3000, lastAgoMs: 1000 });
  assert.deepEqual(toLocalAbsence(reported, 50_000, 50_200), { sinceMs: 47_200, lastMs: 49_000 });
});
