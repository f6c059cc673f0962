import assert from 'node:assert/strict';
import { test } from 'node:test';
import { planStop } from './planned-stop.js';

test('a stop ends the sessions at rest, then the statements, then all requests, before the kill', () => {
  const plan = planStop(1000, 6000);
  assert.deepEqual(plan, {
    drainAtMs: 3200,
    lastStatementAtMs: 5200,
    lastAnswerAtMs: 6100,
    exitAtMs: 6640,
  });
});

test('a short grace time keeps the order', () => {
  const plan = planStop(0, 1000);
  assert.ok(plan.drainAtMs < plan.lastStatementAtMs);
  assert.ok(plan.lastStatementAtMs < plan.lastAnswerAtMs);
  assert.ok(plan.lastAnswerAtMs < plan.exitAtMs && plan.exitAtMs < 1000);
});
