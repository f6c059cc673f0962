/**
 * Classification of input read after a pause of the process, in different orders of timers and reads.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PauseDetector } from './pause-detector.js';

const OPTIONS = { thresholdMs: 1000, windowMs: 250 };

test('input read right after a pause may predate it', () => {
  const detector = new PauseDetector(OPTIONS, 0);
  assert.equal(detector.tick(100), false);
  assert.equal(detector.tick(2000), true);
});

test('input of the first iteration after a pause may predate it, however long that iteration takes', () => {
  const detector = new PauseDetector(OPTIONS, 0);
  // A timer detects the pause; because the machine is busy, the first socket is read only 600 ms later.
  assert.equal(detector.tick(2000), true);
  assert.equal(detector.tick(2600), true);
  assert.equal(detector.completeIteration(), true);
  assert.equal(detector.tick(2700), true);
  assert.equal(detector.completeIteration(), false);
  assert.equal(detector.tick(2800), false);
});

test('a request received before a pause is distinguished from one received after it', () => {
  const detector = new PauseDetector(OPTIONS, 0);
  assert.equal(detector.hasPausedSince(50, 100), false);
  assert.equal(detector.hasPausedSince(50, 2000), true);
  assert.equal(detector.hasPausedSince(2100, 2200), false);
});
