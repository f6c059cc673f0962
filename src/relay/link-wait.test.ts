/**
 * A wait at several pools.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LinkWait, PoolTimeoutError, type PoolWaiter, type WaitingPlace } from './link-wait.js';
import type { SessionLink } from './session-link.js';

const DEMAND = {
  tenantName: null,
  values: new Map<string, string>(),
  isWrite: false,
  priority: 1,
  dueAtMs: 0,
};
const LINK = {} as SessionLink;

class Place implements WaitingPlace {
  readonly waiters: PoolWaiter[] = [];

  join(waiter: PoolWaiter): void {
    this.waiters.push(waiter);
  }

  leave(waiter: PoolWaiter): void {
    this.waiters.splice(this.waiters.indexOf(waiter), 1);
  }
}

function scene(): { wait: LinkWait<string>; leader: Place; replica: Place } {
  const wait = new LinkWait<string>(DEMAND, 1000);
  const leader = new Place();
  const replica = new Place();
  wait.joinAll([
    { place: leader, member: 'leader' },
    { place: replica, member: 'replica' },
  ]);
  return { wait, leader, replica };
}

test('the first pool with a connection serves it, and the others forget it', async () => {
  const { wait, leader, replica } = scene();
  wait.grant(LINK, replica);
  assert.deepEqual(await wait.granted, { link: LINK, member: 'replica' });
  assert.equal(leader.waiters.length, 0);
  assert.equal(wait.isWaiting, false);
});

test('a pool that fails leaves it to the others; the last one ends the wait', async () => {
  const { wait, leader, replica } = scene();
  const granted = assert.rejects(wait.granted, /no way/);
  wait.fail(new Error('refused'), leader);
  assert.equal(wait.isWaiting, true);
  wait.fail(new Error('no way'), replica);
  await granted;
  assert.deepEqual([...wait.failures.keys()], ['leader', 'replica']);
});

test('a pool that fails at once does not keep the next from being asked', async () => {
  const refusing: WaitingPlace = {
    join: (waiter) => waiter.fail(new Error('refused'), refusing),
    leave: () => undefined,
  };
  const giving: WaitingPlace = { join: (waiter) => waiter.grant(LINK, giving), leave: () => undefined };
  const wait = new LinkWait<string>(DEMAND, 1000);
  wait.joinAll([
    { place: refusing, member: 'refusing' },
    { place: giving, member: 'giving' },
  ]);
  assert.equal((await wait.granted).member, 'giving');
});

test('a wait that is over is joined and failed to no effect', async () => {
  const { wait, leader, replica } = scene();
  wait.grant(LINK, leader);
  const late = new Place();
  wait.joinAll([{ place: late, member: 'late' }]);
  wait.fail(new Error('too late'), replica);
  assert.equal(late.waiters.length, 0);
  assert.equal((await wait.granted).member, 'leader');
});

test('its time passes, or it is needed no more: all pools forget it', async () => {
  const patient = scene();
  const given = assert.rejects(patient.wait.granted, PoolTimeoutError);
  patient.wait.cancel();
  await given;
  assert.equal(patient.leader.waiters.length + patient.replica.waiters.length, 0);
  await assert.rejects(new LinkWait<string>(DEMAND, 0).granted, PoolTimeoutError);
});
