/**
 * Coalescing of concurrent calls.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CoalescedCall } from './coalesced-call.js';

/** An operation whose runs are resolved manually, in order. */
function createFixture(): {
  sharedCall: CoalescedCall<number>;
  resolveRun: (value: number) => void;
  runCount: () => number;
} {
  const pending: ((value: number) => void)[] = [];
  let count = 0;
  const sharedCall = new CoalescedCall<number>(() => {
    count += 1;
    return new Promise((resolve) => pending.push(resolve));
  });
  return { sharedCall, resolveRun: (value) => pending.shift()?.(value), runCount: () => count };
}

test('callers that arrive during a run get the result of the next run', async () => {
  const { sharedCall, resolveRun, runCount } = createFixture();
  const first = sharedCall.call();
  const others = Array.from({ length: 200 }, () => sharedCall.call());
  assert.equal(runCount(), 1);
  resolveRun(1);
  assert.equal(await first, 1);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(runCount(), 2);
  resolveRun(2);
  assert.deepEqual(new Set(await Promise.all(others)), new Set([2]));
  assert.equal(runCount(), 2);
});

test('a failed run does not fail later callers', async () => {
  let count = 0;
  const sharedCall = new CoalescedCall<number>(() => {
    count += 1;
    return count === 1 ? Promise.reject(new Error('lost')) : Promise.resolve(count);
  });
  const first = sharedCall.call();
  const second = sharedCall.call();
  await assert.rejects(first, /lost/);
  assert.equal(await second, 2);
});
