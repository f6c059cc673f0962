import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CLIENT_ROUND_TRIP_MS, scheduleShutdown } from './shutdown-schedule.js';

test('a shutdown closes idle sessions, then stops statements, then ends all requests before the kill', () => {
  const plan = scheduleShutdown(1000, 6000);
  assert.deepEqual(plan, {
    drainStartMs: 3200,
    statementCutoffMs: 5200,
    noticeDeadlineMs: 5640,
    replyDeadlineMs: 6100,
    exitDeadlineMs: 6640,
  });
});

test('a short grace period keeps the order', () => {
  const plan = scheduleShutdown(0, 1000);
  assert.ok(plan.drainStartMs < plan.statementCutoffMs);
  assert.ok(plan.statementCutoffMs < plan.replyDeadlineMs);
  assert.ok(plan.statementCutoffMs <= plan.noticeDeadlineMs && plan.noticeDeadlineMs < plan.replyDeadlineMs);
  assert.ok(plan.replyDeadlineMs < plan.exitDeadlineMs && plan.exitDeadlineMs < 1000);
});

test('after the last notice a client has a round trip, unless open transactions need half of the grace period', () => {
  for (let graceMs = 500; graceMs <= 60_000; graceMs += 100) {
    const plan = scheduleShutdown(0, graceMs);
    const leftMs = plan.exitDeadlineMs - plan.noticeDeadlineMs;
    assert.ok(
      leftMs > CLIENT_ROUND_TRIP_MS - 1 || graceMs < 2.6 * CLIENT_ROUND_TRIP_MS,
      `${graceMs}: ${leftMs}`,
    );
    assert.ok(plan.noticeDeadlineMs > graceMs / 2);
    assert.ok(plan.drainStartMs < plan.statementCutoffMs);
    assert.ok(plan.statementCutoffMs <= plan.noticeDeadlineMs);
    assert.ok(plan.noticeDeadlineMs <= plan.replyDeadlineMs);
  }
});
