/**
 * Summaries of plays.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { compare, estimate, formatPlays, readPlay, type Play } from './summarize.js';

const REPORT =
  'day score\nworth 0.682 = whole day 0.954 (weight 0.35) less prices\n  -0.0002 worth broken off early\n';

function play(day: string, seed: number, worth: number | null): Play {
  return { day, seed, worth, brokenRules: [] };
}

test('a report gives its worth and the rules that it names', () => {
  assert.deepEqual(readPlay('d', 1, REPORT), play('d', 1, 0.682));
  assert.deepEqual(readPlay('d', 1, `${REPORT}STALE: a read missed a commit`).brokenRules, ['STALE']);
  assert.equal(readPlay('d', 1, 'abandoned').worth, null);
});

test('mean, spread and the differences of the pairs that both versions have', () => {
  assert.deepEqual(estimate([1, 3]), { mean: 2, deviation: Math.SQRT2, count: 2 });
  const before = [play('a', 1, 0.5), play('a', 2, 0.6), play('b', 1, null)];
  const after = [play('a', 1, 0.6), play('a', 2, 0.7), play('b', 1, 0.9), play('c', 1, 0.1)];
  const { mean, count } = compare(before, after);
  assert.ok(Math.abs(mean - 0.1) < 1e-9);
  assert.equal(count, 2);
});

test('the table names what was broken', () => {
  const plays = [{ ...play('a', 7, 0.5), brokenRules: ['ONE'] }];
  assert.match(formatPlays(plays, null), /BROKEN in a, seed 7: ONE/);
});
