/**
 * Guards against wrong figures in the summaries of seed runs: a misread report, or a comparison of runs that
 * only one version has.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { compare, estimate, formatRuns, parseRunReport, type SeedRun } from './summarize.js';

const REPORT =
  'day score\nworth 0.682 = whole day 0.954 (weight 0.35) less prices\n  -0.0002 worth broken off early\n';

function seedRun(day: string, seed: number, worth: number | null): SeedRun {
  return { day, seed, worth, brokenRules: [] };
}

test('a report gives its worth and the rules that it names', () => {
  assert.deepEqual(parseRunReport('d', 1, REPORT), seedRun('d', 1, 0.682));
  assert.deepEqual(parseRunReport('d', 1, `${REPORT}STALE: a read missed a commit`).brokenRules, ['STALE']);
  assert.equal(parseRunReport('d', 1, 'abandoned').worth, null);
});

test('mean, spread and the differences of the pairs that both versions have', () => {
  assert.deepEqual(estimate([1, 3]), { mean: 2, deviation: Math.SQRT2, count: 2 });
  const before = [seedRun('a', 1, 0.5), seedRun('a', 2, 0.6), seedRun('b', 1, null)];
  const after = [seedRun('a', 1, 0.6), seedRun('a', 2, 0.7), seedRun('b', 1, 0.9), seedRun('c', 1, 0.1)];
  const { mean, count } = compare(before, after);
  assert.ok(Math.abs(mean - 0.1) < 1e-9);
  assert.equal(count, 2);
});

test('the table names what was broken', () => {
  const runs = [{ ...seedRun('a', 7, 0.5), brokenRules: ['ONE'] }];
  assert.match(formatRuns(runs, null), /BROKEN in a, seed 7: ONE/);
});
