import assert from 'node:assert/strict';
import { test } from 'node:test';
import { scheduleShutdown } from './shutdown-schedule.js';

test('a shutdown closes idle sessions, then stops statements, then ends all requests before the kill', () => {
  const plan = scheduleShutdown(1000, 6000);
  assert.deepEqual(plan, {
    drainStartMs: 3200,
    statementCutoffMs: 5200,
    replyDeadlineMs: 6100,
    exitDeadlineMs: 6640,
  });
});

test('a short grace period keeps the order', () => {
  const plan = scheduleShutdown(0, 1000);
  assert.ok(plan.drainStartMs < plan.statementCutoffMs);
  assert.ok(plan.statementCutoffMs < plan.replyDeadlineMs);
  assert.ok(plan.replyDeadlineMs < plan.exitDeadlineMs && plan.exitDeadlineMs < 1000);
});
