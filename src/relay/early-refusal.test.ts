/**
 * When a request that could not be sent is refused early, so that the client can retry at another daemon.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { shouldRefuseEarly } from './early-refusal.js';

const UNSENT = { heldMs: 310, timeoutMs: 1000, leaderlessMs: 0, isUnreachable: true };

describe('a request that could not be sent', () => {
  test('is refused early when this daemon cannot reach a proven leader', () => {
    assert.ok(shouldRefuseEarly(UNSENT));
    assert.ok(!shouldRefuseEarly({ ...UNSENT, isUnreachable: false }));
    assert.ok(!shouldRefuseEarly({ ...UNSENT, heldMs: 290 }));
    assert.ok(shouldRefuseEarly({ ...UNSENT, timeoutMs: 500, heldMs: 180 }));
  });

  test('waits while the leader is being replaced, but is refused after a long time without a proven leader', () => {
    for (const leaderlessMs of [1, 700, 1500])
      assert.ok(!shouldRefuseEarly({ ...UNSENT, heldMs: 900, leaderlessMs }), String(leaderlessMs));
    assert.ok(shouldRefuseEarly({ ...UNSENT, leaderlessMs: 1501 }));
    assert.ok(shouldRefuseEarly({ ...UNSENT, isUnreachable: false, leaderlessMs: 1501 }));
  });
});
