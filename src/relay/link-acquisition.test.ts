/**
 * Acquiring one connection from several pools.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LinkAcquisition, PoolTimeoutError, type PoolWaiter, type LinkSource } from './link-acquisition.js';
import type { SessionLink } from './session-link.js';

const DEMAND = {
  tenantName: null,
  values: new Map<string, string>(),
  isWrite: false,
  priority: 1,
  dueAtMs: 0,
};
const LINK = {} as SessionLink;

class FakeSource implements LinkSource {
  readonly waiters: PoolWaiter[] = [];

  enqueue(waiter: PoolWaiter): void {
    this.waiters.push(waiter);
  }

  dequeue(waiter: PoolWaiter): void {
    this.waiters.splice(this.waiters.indexOf(waiter), 1);
  }
}

function createWait(): { wait: LinkAcquisition<string>; leader: FakeSource; replica: FakeSource } {
  const wait = new LinkAcquisition<string>(DEMAND, 1000);
  const leader = new FakeSource();
  const replica = new FakeSource();
  wait.enqueueAll([
    { source: leader, member: 'leader' },
    { source: replica, member: 'replica' },
  ]);
  return { wait, leader, replica };
}

test('the first pool with a connection serves the request, and the others dequeue it', async () => {
  const { wait, leader, replica } = createWait();
  wait.grant(LINK, replica);
  assert.deepEqual(await wait.granted, { link: LINK, member: 'replica' });
  assert.equal(leader.waiters.length, 0);
  assert.equal(wait.isWaiting, false);
});

test('the wait continues when one pool fails and ends when the last one fails', async () => {
  const { wait, leader, replica } = createWait();
  const granted = assert.rejects(wait.granted, /no way/);
  wait.fail(new Error('refused'), leader);
  assert.equal(wait.isWaiting, true);
  wait.fail(new Error('no way'), replica);
  await granted;
  assert.deepEqual([...wait.failures.keys()], ['leader', 'replica']);
});

test('a pool that fails immediately does not prevent the next one from being asked', async () => {
  const refusing: LinkSource = {
    enqueue: (waiter) => waiter.fail(new Error('refused'), refusing),
    dequeue: () => undefined,
  };
  const granting: LinkSource = {
    enqueue: (waiter) => waiter.grant(LINK, granting),
    dequeue: () => undefined,
  };
  const wait = new LinkAcquisition<string>(DEMAND, 1000);
  wait.enqueueAll([
    { source: refusing, member: 'refusing' },
    { source: granting, member: 'granting' },
  ]);
  assert.equal((await wait.granted).member, 'granting');
});

test('adding pools to a finished wait, or failing it, has no effect', async () => {
  const { wait, leader, replica } = createWait();
  wait.grant(LINK, leader);
  const late = new FakeSource();
  wait.enqueueAll([{ source: late, member: 'late' }]);
  wait.fail(new Error('too late'), replica);
  assert.equal(late.waiters.length, 0);
  assert.equal((await wait.granted).member, 'leader');
});

test('a wait that is cancelled is removed from all pools, and one without time left fails', async () => {
  const setup = createWait();
  const rejected = assert.rejects(setup.wait.granted, PoolTimeoutError);
  setup.wait.cancel();
  await rejected;
  assert.equal(setup.leader.waiters.length + setup.replica.waiters.length, 0);
  await assert.rejects(new LinkAcquisition<string>(DEMAND, 0).granted, PoolTimeoutError);
});
