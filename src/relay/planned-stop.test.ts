import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planStop } from './planned-stop.js';

test('a shutdown closes idle sessions, then stops statements, then ends all requests before the kill', () => {
  const plan = planStop(1000, 6000);
  assert.deepEqual(plan, {
    drainAtMs: 3200,
    lastStatementAtMs: 5200,
    lastAnswerAtMs: 6100,
    exitAtMs: 6640,
  });
});

test('a short grace period keeps the order', () => {
  const plan = planStop(0, 1000);
  assert.ok(plan.drainAtMs < plan.lastStatementAtMs);
  assert.ok(plan.lastStatementAtMs < plan.lastAnswerAtMs);
  assert.ok(plan.lastAnswerAtMs < plan.exitAtMs && plan.exitAtMs < 1000);
});
