/**
 * When a request that could not be sent is left to another daemon.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { shouldAskElsewhere } from './patience.js';

const WAITING = { heldMs: 310, timeoutMs: 1000, leaderlessMs: 0, isUnreachable: true };

describe('a request that could not be sent', () => {
  test('is left to another daemon when a leader is proven that this one cannot reach', () => {
    assert.ok(shouldAskElsewhere(WAITING));
    assert.ok(!shouldAskElsewhere({ ...WAITING, isUnreachable: false }));
    assert.ok(!shouldAskElsewhere({ ...WAITING, heldMs: 290 }));
    assert.ok(shouldAskElsewhere({ ...WAITING, timeoutMs: 500, heldMs: 180 }));
  });

  test('waits for a leader that is being replaced, but not for one that nobody has heard of for long', () => {
    for (const leaderlessMs of [1, 700, 1500])
      assert.ok(!shouldAskElsewhere({ ...WAITING, heldMs: 900, leaderlessMs }), String(leaderlessMs));
    assert.ok(shouldAskElsewhere({ ...WAITING, leaderlessMs: 1501 }));
    assert.ok(shouldAskElsewhere({ ...WAITING, isUnreachable: false, leaderlessMs: 1501 }));
  });
});
