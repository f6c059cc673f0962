/**
 * Daemon processes that are known to have ended.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EXIT_RETENTION_MS, MAX_REPORTED_EXITS, ProcessExits, readReportedExits } from './process-exits.js';

const ENDED = { name: 'd1', life: 'a' };

test('an end is that of one process, not of the next one of the same daemon', () => {
  const exits = new ProcessExits();
  assert.equal(exits.record(ENDED, 1000), true);
  assert.equal(exits.endedAtMs('d1', 'a'), 1000);
  assert.equal(exits.endedAtMs('d1', 'b'), null);
  assert.equal(exits.endedAtMs('d2', 'a'), null);
});

test('the earliest time by which a process had ended is kept', () => {
  const exits = new ProcessExits();
  exits.record(ENDED, 1000);
  assert.equal(exits.record(ENDED, 900), false);
  assert.equal(exits.record(ENDED, 1100), false);
  assert.equal(exits.endedAtMs('d1', 'a'), 900);
});

test('an end is reported as an age, and discarded once it is old', () => {
  const exits = new ProcessExits();
  exits.record(ENDED, 1000);
  assert.deepEqual(exits.report(4000), [{ ...ENDED, ageMs: 3000 }]);
  exits.discardBefore(1001);
  assert.deepEqual(exits.report(4000), []);
});

test('the ends kept and reported are bounded in number, the latest ones first', () => {
  const exits = new ProcessExits();
  const ENDS = 5000;
  for (let end = 0; end < ENDS; end += 1) exits.record({ name: 'd', life: String(end) }, end);
  assert.equal(exits.endedAtMs('d', '0'), null);
  const reported = exits.report(ENDS);
  assert.equal(reported.length, MAX_REPORTED_EXITS);
  assert.equal(reported.at(-1)?.life, String(ENDS - 1));
});

test('a report of another shape, too old or too long is not used', () => {
  const exit = { ...ENDED, ageMs: 5 };
  const ages = [-1, Number.NaN, EXIT_RETENTION_MS, '5', undefined];
  const bad = [null, 'd1', {}, { ...exit, name: 1 }, ...ages.map((ageMs) => ({ ...exit, ageMs }))];
  assert.deepEqual(readReportedExits([...bad, exit]), [exit]);
  assert.deepEqual(readReportedExits(undefined), []);
  assert.deepEqual(readReportedExits({ length: 1 }), []);
  assert.equal(readReportedExits(new Array(1000).fill(exit)).length, MAX_REPORTED_EXITS);
});
