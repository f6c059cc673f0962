/**
 * Validation of load reports.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { InvalidReports } from './invalid-reports.js';
import { readLoadReport } from './load-report.js';

const REPORT = { inUse: 3, waiting: 1, serviceMs: 26 };

test('a report is read with and without the time that the gateway held the request', () => {
  assert.deepEqual(readLoadReport(REPORT), REPORT);
  assert.deepEqual(readLoadReport({ ...REPORT, heldMs: 2.5, later: 'field' }), { ...REPORT, heldMs: 2.5 });
  assert.deepEqual(readLoadReport({ ...REPORT, heldMs: null }), REPORT);
});

test('a report with an absurd field is ignored, whichever field it is', () => {
  const absurd = [-1, -0.5, Number.NaN, Number.POSITIVE_INFINITY, 1e12, '3', [3], {}, true, 3n];
  for (const field of ['inUse', 'waiting', 'serviceMs', 'heldMs'])
    for (const value of absurd) assert.equal(readLoadReport({ ...REPORT, [field]: value }), null, field);
  for (const field of ['inUse', 'waiting', 'serviceMs'])
    for (const value of [undefined, null]) assert.equal(readLoadReport({ ...REPORT, [field]: value }), null);
});

test('no value makes the reader throw', () => {
  fc.assert(
    fc.property(fc.anything(), (value) => void readLoadReport(value)),
    { seed: 20261203, numRuns: 500 },
  );
});

test('ignored reports are logged once in 10 s with their number', () => {
  const clock = { now: 0 };
  const lines: unknown[] = [];
  const faults = new InvalidReports(
    (event, details) => void lines.push([event, details]),
    () => clock.now,
  );
  for (; clock.now < 10_000; clock.now += 100) faults.record('d1');
  assert.deepEqual(lines, [['load_report_ignored', { gateway: 'd1', ignored: 1 }]]);
  faults.record('d2');
  assert.deepEqual(lines[1], ['load_report_ignored', { gateway: 'd2', ignored: 100 }]);
});
