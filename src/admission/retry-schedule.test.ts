/**
 * Retry times of refused requests.
 *
 * Guards against refused clients that come back together and are refused again.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetrySchedule } from './retry-schedule.js';

test('requests that are refused together retry one after the other behind the backlog', () => {
  const schedule = new RetrySchedule();
  const times = Array.from({ length: 100 }, () => schedule.next(200, 5, 1000, 0.5));
  assert.deepEqual(times.slice(0, 3), [200, 205, 210]);
  assert.equal(times.at(-1), 695);
});

test('the place moves closer as time passes, and is free again once it has passed', () => {
  const schedule = new RetrySchedule();
  for (let i = 0; i < 100; i += 1) schedule.next(0, 5, 1000, 0.5);
  assert.equal(schedule.next(0, 5, 1300, 0.5), 200);
  assert.equal(schedule.next(50, 5, 9000, 0.5), 50);
});

test('the time varies by an eighth in each direction, between 20 ms and 2 s', () => {
  assert.equal(new RetrySchedule().next(400, 5, 0, 0), 350);
  assert.equal(new RetrySchedule().next(400, 5, 0, 0.999), 450);
  assert.equal(new RetrySchedule().next(0, 5, 0, 0.5), 20);
  const full = new RetrySchedule();
  const times = Array.from({ length: 2000 }, (_, index) => full.next(100, 10, 0, (index % 100) / 100));
  assert.ok(Math.max(...times) <= 2000);
  const last = times.slice(-100);
  assert.ok(Math.max(...last) - Math.min(...last) > 400, 'spread even where the limit applies');
});
