/**
 * What is read after a pause, in every order of timers and reads.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PauseDetector } from './pause-detector.js';

const OPTIONS = { thresholdMs: 1000, windowMs: 250 };

test('what is read right after a pause may be old', () => {
  const pauses = new PauseDetector(OPTIONS, 0);
  assert.equal(pauses.tick(100), false);
  assert.equal(pauses.tick(2000), true);
});

test('what the first pass after a pause reads may be old, however long that pass takes', () => {
  const pauses = new PauseDetector(OPTIONS, 0);
  // A timer notices the pause; the machine is busy, so the first socket is read only 600 ms later.
  assert.equal(pauses.tick(2000), true);
  assert.equal(pauses.tick(2600), true);
  assert.equal(pauses.passed(), true);
  assert.equal(pauses.tick(2700), true);
  assert.equal(pauses.passed(), false);
  assert.equal(pauses.tick(2800), false);
});

test('a request taken before a pause is told from one taken after it', () => {
  const pauses = new PauseDetector(OPTIONS, 0);
  assert.equal(pauses.hasPausedSince(50, 100), false);
  assert.equal(pauses.hasPausedSince(50, 2000), true);
  assert.equal(pauses.hasPausedSince(2100, 2200), false);
});
