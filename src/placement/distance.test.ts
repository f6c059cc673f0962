/**
 * Measured round trips to other zones, and their cost.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { distanceCostMs, MIN_DISTANCE_COST_MS, UNMEASURED_DISTANCE_COST_MS } from './distance-cost.js';
import { RequestTimes } from './request-times.js';
import { ZoneLatency } from './zone-latency.js';

test('another zone costs two round trips but not less than the minimum, and 30 ms until it is measured', () => {
  assert.equal(distanceCostMs(null), UNMEASURED_DISTANCE_COST_MS);
  assert.equal(UNMEASURED_DISTANCE_COST_MS, 30);
  assert.equal(distanceCostMs(7.8), 15.6);
  assert.equal(distanceCostMs(1), MIN_DISTANCE_COST_MS);
});

test('the smallest round trip counts, so that waits at a gateway do not look like distance', () => {
  const latency = new ZoneLatency();
  assert.equal(latency.roundTripMs('b', 0), null);
  for (const ms of [40, 8, 90]) latency.record('b', ms, 1000);
  assert.equal(latency.roundTripMs('b', 1000), 8);
  assert.equal(latency.roundTripMs('c', 1000), null);
});

test('a longer route is noticed within two minutes, and without measurements the distance is unknown again', () => {
  const latency = new ZoneLatency();
  latency.record('b', 8, 0);
  latency.record('b', 50, 61_000);
  assert.equal(latency.roundTripMs('b', 61_000), 8);
  latency.record('b', 50, 122_000);
  assert.equal(latency.roundTripMs('b', 122_000), 50);
  assert.equal(latency.roundTripMs('b', 400_000), null);
});

test('an absurd round trip is not recorded', () => {
  const latency = new ZoneLatency();
  for (const ms of [-1, Number.NaN, Number.POSITIVE_INFINITY, 1e9]) latency.record('b', ms, 0);
  assert.equal(latency.roundTripMs('b', 0), null);
});

test('the time of a request is unknown while several are in flight, so no reply is matched with a later one', () => {
  const times = new RequestTimes();
  times.started(1, 100);
  assert.equal(times.finished(1, 108), 8);
  assert.equal(times.finished(1, 110), null, 'a reply without a request');
  times.started(1, 200);
  times.started(1, 250);
  assert.equal(times.finished(1, 251), null);
  times.started(1, 260);
  assert.equal(times.finished(1, 261), null);
  assert.equal(times.finished(1, 262), null);
  times.started(1, 300);
  assert.equal(times.finished(1, 305), 5);
  times.started(2, 300);
  times.forget(2);
  assert.equal(times.finished(2, 305), null);
});
