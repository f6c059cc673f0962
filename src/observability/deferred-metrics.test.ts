/**
 * Calls recorded before the metrics module is loaded must not be lost.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DeferredMetrics } from './deferred-metrics.js';

const STATE = {
  clientConnections: 0,
  configurationVersion: 1,
  storeEra: 0,
  storeRevision: 0,
  holdsDuty: false,
  liveDaemons: 1,
  openLoans: 0,
  zoneRoundTrips: [],
  isIsolated: false,
  groups: [],
};

test('calls made before the metrics are loaded are counted', async () => {
  const metrics = new DeferredMetrics(60_000);
  metrics.requestEnded('read', 'served', 5);
  metrics.happened('started');
  metrics.decided('read_elsewhere');
  metrics.entryLeftOut('member', 'json');
  metrics.memberAnswered('read', true, 5);
  const text = await metrics.text(STATE);
  assert.match(text, /requests_total\{statement="read",outcome="served"\} 1/);
  assert.match(text, /entries_left_out_total\{kind="member",fault="json"\} 1/);
  assert.match(text, /events_total\{event="started"\} 1/);
  metrics.requestEnded('read', 'served', 5);
  assert.match(await metrics.text(STATE), /requests_total\{statement="read",outcome="served"\} 2/);
});
