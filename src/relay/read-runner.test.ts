/**
 * Where reads go when connections or evidence are short.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QUIET_OBSERVER } from '../../test/support/quiet-observer.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { testGroup } from '../../test/support/relay-members.js';
import { Catalog, type Route } from '../topology/catalog.js';
import type { MemberGroup } from '../topology/member-group.js';
import { LinkLostError, type MemberLink, type MemberReply, type MemberRequest } from './member-link.js';
import { ReadRunner } from './read-runner.js';
import { Refusal } from './refusal.js';
import type { RelayContext } from './relay-context.js';

/** A member that answers when the test says so. */
class FakeMember {
  readonly asked: MemberRequest[] = [];
  readonly #waiting: ((reply: MemberReply) => void)[] = [];

  dial(): Promise<MemberLink> {
    return Promise.resolve({
      isOpen: true,
      lastReceivedMs: 0,
      send: (request: MemberRequest) => {
        this.asked.push(request);
        return new Promise<MemberReply>((resolve) => this.#waiting.push(resolve));
      },
      close: () => undefined,
      onClosed: () => undefined,
    });
  }

  /** Refuses the oldest request: not run. */
  refuse(): void {
    this.#waiting.shift()?.({
      rows: [],
      result: { isComplete: false, code: 'busy', text: 'BUSY' },
      state: 'idle',
      position: null,
    });
  }

  /** Answers the oldest request. */
  answer(signature: string): void {
    const resolve = this.#waiting.shift();
    if (resolve === undefined) throw new LinkLostError('nothing is asked');
    resolve({
      rows: [],
      result: { isComplete: true, signature },
      state: 'idle',
      position: { term: 1, index: 5 },
    });
  }
}

const ROUTE: Route = {
  database: 'stock',
  groupName: 'g',
  consistency: 'bounded_staleness',
  timeoutMs: 10_000,
  targetLatencyMs: 5000,
  priority: 2,
  maxStalenessMs: 1500,
  isPublic: true,
};

interface Scene {
  readonly clock: { now: number };
  readonly group: MemberGroup;
  readonly leader: FakeMember;
  readonly replica: FakeMember;
  read(id: string): Promise<MemberReply>;
}

/** A group of a leader and a replica to which this daemon has one connection each. */
function scene(route: Route = ROUTE): Scene {
  const clock = { now: performance.now() };
  const fakes = { leader: new FakeMember(), replica: new FakeMember() };
  const group = testGroup(fakes, () => clock.now);
  group.evidence.witness(1, 0, clock.now);
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: QUIET_OBSERVER,
    group: () => group,
    now: () => clock.now,
    plannedStop: () => null,
    readStatus: () => null,
    suspect: () => undefined,
  };
  const read = (requestId: string): Promise<MemberReply> =>
    new ReadRunner(context, {
      requestId,
      statement: { kind: 'plain', payload: `READ ${requestId}` },
      route,
      group,
      tenantName: 'one',
      values: new Map(),
      sessionFloor: null,
      receivedAtMs: clock.now,
      deadlineMs: clock.now + route.timeoutMs,
    }).run();
  return { clock, group, ...fakes, read };
}

/** Lets everything that can go on go on. */
async function settle(): Promise<void> {
  for (let round = 0; round < 20; round += 1) await new Promise((resolve) => setImmediate(resolve));
}

test('a read that waits is served by whichever member has a connection free first', async () => {
  const { group, clock, leader, replica, read } = scene();
  group.recordLed(clock.now - 100, { term: 1, index: 5 });
  const first = [read('a'), read('b')];
  await settle();
  assert.equal(leader.asked.length + replica.asked.length, 2);
  const waiting = read('c');
  await settle();
  assert.equal(leader.asked.length + replica.asked.length, 2, 'both connections are taken');
  leader.answer('one');
  await settle();
  assert.equal(leader.asked.length, 2, 'the leader was free first');
  leader.answer('two');
  replica.answer('three');
  assert.ok((await waiting).result.isComplete);
  await Promise.all(first);
});

test('a read that only the leader could serve goes to a replica once a position of the leader is known', async () => {
  const { leader, replica, read } = scene();
  const first = read('a');
  await settle();
  const second = read('b');
  await settle();
  assert.deepEqual([leader.asked.length, replica.asked.length], [1, 0]);
  leader.answer('one');
  await first;
  const third = read('c');
  await settle();
  assert.equal(replica.asked.length, 1);
  leader.answer('two');
  replica.answer('three');
  await Promise.all([second, third]);
});

test('a leader without valid evidence serves reads by their floor, as a replica would', async () => {
  const { group, clock, leader, replica, read } = scene();
  group.recordLed(clock.now - 100, { term: 1, index: 5 });
  group.evidence.revoke(1, clock.now);
  const reads = [read('a'), read('b')];
  await settle();
  const [asked] = leader.asked;
  assert.ok(asked?.kind === 'statement');
  assert.deepEqual(asked.after, { term: 1, index: 5 }, 'it refuses by itself if it does not hold the floor');
  leader.answer('one');
  replica.answer('two');
  await Promise.all(reads);
});

test('a leader without valid evidence serves no read of a primary route, and none without a floor', async () => {
  for (const consistency of ['primary', 'bounded_staleness'] as const) {
    const { group, clock, leader, replica, read } = scene({ ...ROUTE, consistency, timeoutMs: 200 });
    if (consistency === 'primary') group.recordLed(clock.now - 100, { term: 1, index: 5 });
    group.evidence.revoke(1, clock.now);
    const refused = assert.rejects(read('a'), /no member can serve/);
    await settle();
    clock.now += 300;
    group.changed.notify();
    await refused;
    assert.deepEqual([leader.asked.length, replica.asked.length], [0, 0]);
  }
});

test('a read that every member has refused as not run is refused as not run when its time is over', async () => {
  const { clock, leader, read } = scene({ ...ROUTE, consistency: 'primary', timeoutMs: 200 });
  const refused = assert.rejects(read('a'), (error: unknown) => {
    assert.ok(error instanceof Refusal);
    assert.equal(error.code, 'busy');
    assert.equal(error.verdict, 'not_run');
    return true;
  });
  await settle();
  assert.equal(leader.asked.length, 1);
  clock.now += 300;
  leader.refuse();
  await refused;
});
