/**
 * Guards against a silence that goes unnoticed because a request was sent before the last byte was received, and
 * against one that is counted although nothing is awaited.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OutsideTraffic } from './outside-traffic.js';

test('silence begins with the first request after the last byte', () => {
  const traffic = new OutsideTraffic();
  assert.equal(traffic.silentSinceMs, null);
  traffic.recordReceived(100);
  assert.equal(traffic.silentSinceMs, null);
  traffic.recordSent(150);
  traffic.recordSent(200);
  assert.equal(traffic.silentSinceMs, 150);
  traffic.recordReceived(210);
  assert.equal(traffic.silentSinceMs, null);
  traffic.recordReceived(180);
  assert.equal(traffic.lastReceivedMs, 210, 'an older time changes nothing');
});

test('a connection that still waits counts from the last byte of any connection', () => {
  const traffic = new OutsideTraffic();
  traffic.beginPoll();
  traffic.recordWaiting(50);
  traffic.recordReceived(100);
  assert.equal(traffic.silentSinceMs, 100);
  traffic.beginPoll();
  assert.equal(traffic.silentSinceMs, null, 'no connection waits any more');
});
