/**
 * Which waiting request is granted the next connection.
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

test('without waiting requests there is none to serve', () => {
  assert.equal(nextToServe([], 0, SERVICE_MS), -1);
});

test('the most urgent request goes first, then the one that is due first', () => {
  assert.equal(nextToServe(waiting([2, 100], [1, 500]), 0, SERVICE_MS), 1);
  assert.equal(nextToServe(waiting([2, 500], [2, 100]), 0, SERVICE_MS), 1);
});

test('late requests are served after those that can meet their objective, whatever their priority', () => {
  assert.equal(nextToServe(waiting([1, 110], [2, 200]), 100, SERVICE_MS), 1);
});

test('late requests are served by priority and then by due time', () => {
  assert.equal(nextToServe(waiting([2, 10], [1, 50], [1, 40]), 1000, SERVICE_MS), 2);
});

test('a request that can meet its objective is never passed over for one that cannot', () => {
  const demand = fc.tuple(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 1000 }));
  fc.assert(
    fc.property(
      fc.array(demand, { minLength: 1, maxLength: 30 }),
      fc.integer({ min: 0, max: 1000 }),
      (all, now) => {
        const waiters = waiting(...all);
        const chosen = waiters[nextToServe(waiters, now, SERVICE_MS)]?.demand;
        assert.ok(chosen !== undefined);
        const canMeetObjective = (demand: LinkDemand): boolean => demand.dueAtMs >= now + SERVICE_MS;
        const others = waiters.filter(({ demand }) => canMeetObjective(demand) === canMeetObjective(chosen));
        if (waiters.some((waiter) => canMeetObjective(waiter.demand))) assert.ok(canMeetObjective(chosen));
        for (const other of others) assert.ok(other.demand.priority >= chosen.priority);
      },
    ),
    { seed: 1 },
  );
});
