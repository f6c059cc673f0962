/**
 * Which waiting request is granted the next connection, and how many are ahead of another one.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { LinkDemand } from '../relay/link-queue.js';
import { WaitQueue, type WaitQueueOptions } from './wait-queue.js';

const SERVICE_MS = 20;
const GRANTS_PER_OLDEST = 8;

interface Wish {
  readonly tenantName?: string | null;
  readonly priority?: number;
  readonly dueAtMs?: number;
}

function demandOf({ tenantName = '', priority = 0, dueAtMs = 1e6 }: Wish): LinkDemand {
  return { tenantName, values: new Map(), isWrite: false, priority, dueAtMs };
}

/** A queue at time 0 with the given requests, each named by its position. */
function queueOf(wishes: readonly Wish[], options: WaitQueueOptions = {}): WaitQueue<number> {
  const queue = new WaitQueue<number>(options);
  for (const [index, wish] of wishes.entries()) queue.add(index, demandOf(wish), 0, SERVICE_MS);
  return queue;
}

function waiting(...demands: readonly (readonly [priority: number, dueAtMs: number])[]): WaitQueue<number> {
  return queueOf(demands.map(([priority, dueAtMs]) => ({ priority, dueAtMs })));
}

/** Takes all requests in the order in which connections of a tenant serve them. */
function takeAll(queue: WaitQueue<number>, nowMs = 0, tenantName = ''): number[] {
  const taken: number[] = [];
  for (;;) {
    const next = queue.takeFor(tenantName, nowMs, SERVICE_MS);
    if (next === undefined) return taken;
    taken.push(next);
  }
}

test('without waiting requests there is none to serve', () => {
  const queue = queueOf([]);
  assert.equal(queue.peek(0, SERVICE_MS), undefined);
  assert.equal(queue.peekFor('', 0, SERVICE_MS), undefined);
  assert.equal(queue.takeFor('', 0, SERVICE_MS), undefined);
  assert.equal(queue.countAhead(demandOf({}), 0, SERVICE_MS), 0);
  assert.equal(queue.remove(0), false);
});

test('the most urgent request goes first, then the one that is due first', () => {
  assert.equal(waiting([2, 100], [1, 500]).peek(0, SERVICE_MS)?.item, 1);
  assert.equal(waiting([2, 500], [2, 100]).peek(0, SERVICE_MS)?.item, 1);
});

test('requests that are due at the same time, or never, are served in order of arrival', () => {
  assert.deepEqual(takeAll(waiting([1, 500], [1, 500], [1, 500])), [0, 1, 2]);
  assert.deepEqual(takeAll(waiting([1, Infinity], [1, Infinity], [1, 500])), [2, 0, 1]);
});

test('late requests are served after those that can meet their objective, whatever their priority', () => {
  assert.equal(waiting([1, 110], [2, 200]).peek(100, SERVICE_MS)?.item, 1);
  assert.deepEqual(takeAll(waiting([1, 110], [2, 200]), 100), [1, 0]);
});

test('late requests are served by priority and then by due time', () => {
  assert.equal(waiting([2, 10], [1, 50], [1, 40]).peek(1000, SERVICE_MS)?.item, 2);
  assert.deepEqual(takeAll(waiting([2, 10], [1, 50], [1, 40]), 1000), [2, 1, 0]);
});

test('a request that has become late remains so if the member becomes faster', () => {
  const queue = waiting([0, 100], [1, 1000]);
  assert.equal(queue.peek(0, 200)?.item, 1, 'expected to be answered too late');
  assert.equal(queue.peek(0, 1)?.item, 1);
});

test('a request that can meet its objective is never passed over for one that cannot', () => {
  const demand = fc.tuple(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 1000 }));
  fc.assert(
    fc.property(
      fc.array(demand, { minLength: 1, maxLength: 30 }),
      fc.integer({ min: 0, max: 1000 }),
      (all, now) => {
        const waiters = all.map(([priority, dueAtMs]) => ({ demand: demandOf({ priority, dueAtMs }) }));
        const chosen = waiting(...all).peek(now, SERVICE_MS)?.demand;
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

test('every eighth grant goes to the request that has waited longest', () => {
  // The failure guarded against: a low priority waits as long as requests of a higher one keep arriving.
  const queue = new WaitQueue<string>();
  queue.add('old', demandOf({ priority: 3, dueAtMs: 1e9 }), 0, SERVICE_MS);
  for (let index = 0; index < 20; index += 1)
    queue.add(`urgent ${index}`, demandOf({ priority: 0 }), 1, SERVICE_MS);
  const taken = Array.from({ length: GRANTS_PER_OLDEST }, () => queue.takeFor('', 1, SERVICE_MS));
  assert.deepEqual(
    taken.slice(0, 7),
    [0, 1, 2, 3, 4, 5, 6].map((index) => `urgent ${index}`),
  );
  assert.equal(taken[7], 'old');
  assert.equal(queue.takeFor('', 1, SERVICE_MS), 'urgent 7');
});

test('a connection of a tenant serves this tenant, or a request that can use any', () => {
  const queue = queueOf([
    { tenantName: 'amber' },
    { tenantName: 'birch' },
    { tenantName: null, priority: 1 },
  ]);
  assert.equal(queue.takeFor('birch', 0, SERVICE_MS), 1);
  assert.equal(queue.takeFor('birch', 0, SERVICE_MS), 2);
  assert.equal(queue.takeFor('birch', 0, SERVICE_MS), undefined);
  assert.equal(queue.takeFor('amber', 0, SERVICE_MS), 0);
});

test('requests of the daemon itself take their place among those without a tenant', () => {
  const queue = queueOf([{ dueAtMs: 300 }, { tenantName: null, dueAtMs: 200 }, { dueAtMs: 100 }]);
  const order: number[] = [];
  for (let turn = 0; turn < 3; turn += 1) {
    const next = queue.peek(0, SERVICE_MS);
    assert.ok(next !== undefined);
    queue.endUse(queue.beginUse(next.demand, 0, SERVICE_MS), 5);
    order.push(queue.takeFor('', 0, SERVICE_MS) ?? -1);
  }
  assert.deepEqual(order, [2, 1, 0], 'by due time, as without shares');
});

test('the oldest request is first in line once others were served in its turn eight times', () => {
  // The failure guarded against: connections of one tenant use up every eighth grant, so that no connection is
  // ever opened for the request of another one.
  const queue = new WaitQueue<string>();
  queue.add('old', demandOf({ tenantName: 'birch', priority: 9, dueAtMs: 5000 }), 0, SERVICE_MS);
  queue.add('new', demandOf({ tenantName: 'birch', priority: 0 }), 0, SERVICE_MS);
  for (let index = 0; index < 100; index += 1)
    queue.add(`urgent ${index}`, demandOf({ tenantName: 'amber', dueAtMs: 1e5 }), 1, SERVICE_MS);
  for (let turn = 1; turn < 8 * GRANTS_PER_OLDEST; turn += 1) queue.takeFor('amber', 1, SERVICE_MS);
  assert.equal(queue.peek(1, SERVICE_MS)?.item, 'urgent 63');
  queue.takeFor('amber', 1, SERVICE_MS);
  assert.equal(queue.peek(1, SERVICE_MS)?.item, 'old');
  assert.equal(queue.peekWithoutDial(['birch'], 1, SERVICE_MS)?.item, 'urgent 64', 'not also the next one');
  assert.equal(queue.takeFor('birch', 1, SERVICE_MS), 'old');
  assert.equal(queue.peek(1, SERVICE_MS)?.item, 'urgent 64');
});

test('requests for which connections are being opened are passed over', () => {
  const queue = queueOf([
    { tenantName: 'amber', dueAtMs: 300 },
    { tenantName: 'amber', dueAtMs: 400 },
    { tenantName: 'birch', dueAtMs: 500 },
  ]);
  const next = (...dialing: string[]): number | undefined =>
    queue.peekWithoutDial(dialing, 0, SERVICE_MS)?.item;
  assert.equal(next(), 0);
  assert.equal(next('amber'), 1);
  assert.equal(next('amber', 'amber'), 2);
  assert.equal(next('birch'), 0);
  assert.equal(next('amber', 'birch'), 1);
  assert.equal(next('cedar'), 0, 'a connection that none of them can use');
  assert.equal(next('amber', 'amber', 'birch'), undefined);
});

test('the bound rejects the request that would be served last, which may be the new one', () => {
  const full = queueOf(
    [
      { priority: 1, dueAtMs: 300 },
      { priority: 2, dueAtMs: 200 },
    ],
    { maxWaiting: 2 },
  );
  const add = (item: number, wish: Wish): number | null => full.add(item, demandOf(wish), 0, SERVICE_MS);
  assert.equal(add(2, { priority: 0 }), 1, 'the least urgent one');
  assert.equal(add(3, { priority: 1, dueAtMs: 400 }), 3, 'the new one is due last');
  assert.equal(add(4, { priority: 1, dueAtMs: 200 }), 0);
  assert.equal(add(5, { priority: 0, dueAtMs: 10 }), 5, 'late ones are served last');
  assert.equal(full.size, 2);
});

test('the bound rejects a request of the tenant with the most of them', () => {
  const queue = queueOf(
    [{ tenantName: 'amber' }, { tenantName: 'amber' }, { tenantName: 'amber' }, { tenantName: 'birch' }],
    { maxWaiting: 4 },
  );
  assert.equal(queue.add(4, demandOf({ tenantName: 'cedar' }), 0, SERVICE_MS), 2);
});

test('requests that satisfy a condition are removed together', () => {
  const queue = queueOf([{ priority: 1 }, { priority: 2 }, { priority: 1 }]);
  assert.deepEqual(
    queue.removeWhere(({ priority }) => priority === 1),
    [0, 2],
  );
  assert.deepEqual(takeAll(queue), [1]);
});

test('the requests ahead are those of more urgent classes, priorities and due times', () => {
  const queue = waiting([0, 10], [0, 100], [1, 100], [1, 200], [1, 300], [2, 100]);
  const ahead = (priority: number, dueAtMs: number): number =>
    queue.countAhead(demandOf({ priority, dueAtMs }), 0, SERVICE_MS);
  assert.equal(ahead(0, 50), 0);
  assert.equal(ahead(0, 100), 1);
  assert.equal(ahead(1, 50), 1);
  assert.equal(ahead(1, 300), 4);
  assert.equal(ahead(2, 300), 5);
  assert.equal(ahead(0, 15), 6, 'late: after those on time and the late one that is due earlier');
});

test('the requests ahead of a tenant are as many as it has itself, of each other one', () => {
  const wishes: Wish[] = Array.from({ length: 5 }, () => ({ tenantName: 'amber' }));
  const queue = queueOf([...wishes, { tenantName: 'birch' }]);
  assert.equal(queue.countAhead(demandOf({ tenantName: 'cedar' }), 0, SERVICE_MS), 2, 'one of each');
  assert.equal(queue.countAhead(demandOf({ tenantName: 'birch' }), 0, SERVICE_MS), 3, 'its own and two');
  assert.equal(queue.countAhead(demandOf({ tenantName: 'amber' }), 0, SERVICE_MS), 6);
});

test('the requests ahead include grants to the longest waiting one', () => {
  const wishes: Wish[] = Array.from({ length: 21 }, () => ({ priority: 0 }));
  const queue = queueOf([...wishes, { priority: 5 }, { priority: 5 }, { priority: 5 }, { priority: 5 }]);
  assert.equal(queue.countAhead(demandOf({ priority: 0, dueAtMs: 2e6 }), 0, SERVICE_MS), 24);
});
