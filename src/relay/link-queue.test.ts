/**
 * Who gets the next connection.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { nextToServe, type LinkDemand } from './link-queue.js';

const SERVICE_MS = 20;

function waiting(
  ...demands: readonly (readonly [priority: number, dueAtMs: number])[]
): { demand: LinkDemand }[] {
  return demands.map(([priority, dueAtMs]) => ({
    demand: { tenantName: null, values: new Map(), isWrite: false, priority, dueAtMs },
  }));
}

test('nobody waits', () => {
  assert.equal(nextToServe([], 0, SERVICE_MS), -1);
});

test('the most urgent goes first, then the one whose objective ends soonest', () => {
  assert.equal(nextToServe(waiting([2, 100], [1, 500]), 0, SERVICE_MS), 1);
  assert.equal(nextToServe(waiting([2, 500], [2, 100]), 0, SERVICE_MS), 1);
});

test('what cannot be in time any more waits behind what can, however urgent it is', () => {
  assert.equal(nextToServe(waiting([1, 110], [2, 200]), 100, SERVICE_MS), 1);
});

test('late ones are served among themselves by priority and age', () => {
  assert.equal(nextToServe(waiting([2, 10], [1, 50], [1, 40]), 1000, SERVICE_MS), 2);
});

test('nobody who can still be in time is passed over for somebody who cannot', () => {
  const demand = fc.tuple(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 1000 }));
  fc.assert(
    fc.property(
      fc.array(demand, { minLength: 1, maxLength: 30 }),
      fc.integer({ min: 0, max: 1000 }),
      (all, now) => {
        const waiters = waiting(...all);
        const chosen = waiters[nextToServe(waiters, now, SERVICE_MS)]?.demand;
        assert.ok(chosen !== undefined);
        const canBeInTime = (demand: LinkDemand): boolean => demand.dueAtMs >= now + SERVICE_MS;
        const rivals = waiters.filter(({ demand }) => canBeInTime(demand) === canBeInTime(chosen));
        if (waiters.some((waiter) => canBeInTime(waiter.demand))) assert.ok(canBeInTime(chosen));
        for (const rival of rivals) assert.ok(rival.demand.priority >= chosen.priority);
      },
    ),
    { seed: 1 },
  );
});
