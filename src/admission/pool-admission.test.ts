/**
 * Refusals of a pool whose queue is full.
 *
 * Guards against refused clients that come back at once, all together, to a queue that is still full.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PoolAdmission } from './pool-admission.js';

test('before the first answer of the member, a full queue gives clients a long time until their retry', () => {
  const admission = new PoolAdmission({ observer: undefined, random: () => 0.5 });
  const { retryAfterMs, details } = admission.refuseOverflow(
    { waiting: 2000, connections: 4 },
    { nowMs: 0, serviceMs: 0 },
  );
  assert.ok(retryAfterMs > 1000 && retryAfterMs <= 2000, `${retryAfterMs} ms`);
  assert.deepEqual(details, { waiting: 2000, connections: 4 });
});

test('without connections, the retry time is that of one connection', () => {
  const admission = new PoolAdmission({ observer: undefined, random: () => 0.5 });
  const { retryAfterMs } = admission.refuseOverflow(
    { waiting: 99, connections: 0 },
    { nowMs: 0, serviceMs: 10 },
  );
  assert.equal(retryAfterMs, 1000);
});
