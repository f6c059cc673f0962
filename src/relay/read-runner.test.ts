/**
 * Which member serves a read when connections are in use or the leader has no valid evidence.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { NOT_ISOLATED } from '../../test/support/not-isolated.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import { Catalog, type Route } from '../topology/catalog.js';
import type { MemberGroup } from '../topology/member-group.js';
import { LinkLostError, type MemberLink, type MemberReply, type MemberRequest } from './member-link.js';
import { ReadRunner } from './read-runner.js';
import { Refusal } from './refusal.js';
import type { RelayContext } from './relay-context.js';

/** A member whose replies the test triggers. */
class FakeMember {
  readonly requests: MemberRequest[] = [];
  readonly #pendingReplies: ((reply: MemberReply | Promise<never>) => void)[] = [];

  dial(): Promise<MemberLink> {
    return Promise.resolve({
      isOpen: true,
      openedAt: { term: 1, index: 5 },
      lastReceivedMs: 0,
      send: (request: MemberRequest) => {
        this.requests.push(request);
        return new Promise<MemberReply>((resolve) => this.#pendingReplies.push(resolve));
      },
      close: () => undefined,
      onClosed: () => undefined,
    });
  }

  /** Refuses the oldest request as not run. */
  refuse(): void {
    this.#pendingReplies.shift()?.({
      rows: [],
      result: { isComplete: false, code: 'busy', text: 'BUSY' },
      state: 'idle',
      position: null,
    });
  }

  /** Fails the oldest request, which the member has run. */
  fail(): void {
    this.#pendingReplies.shift()?.({
      rows: [],
      result: { isComplete: false, code: 'failed', text: 'FAILED' },
      state: 'idle',
      position: null,
    });
  }

  /** Loses the connection of the oldest request. */
  lose(): void {
    this.#pendingReplies.shift()?.(Promise.reject(new LinkLostError('lost')));
  }

  /** Answers the oldest request. */
  answer(signature: string): void {
    const resolve = this.#pendingReplies.shift();
    if (resolve === undefined) throw new LinkLostError('no request is pending');
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

/** A group of a leader and a replica, with one connection to each. */
function scene(route: Route = ROUTE): Scene {
  const clock = { now: performance.now() };
  const fakes = { leader: new FakeMember(), replica: new FakeMember() };
  const group = createTestGroup(fakes, () => clock.now);
  group.evidence.recordWitness(1, 0, clock.now);
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: NOOP_OBSERVER,
    group: () => group,
    now: () => clock.now,
    shutdownSchedule: () => null,
    isolation: NOT_ISOLATED,
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

/** Runs the event loop until pending work that needs no timer is done. */
async function drainEventLoop(): Promise<void> {
  for (let round = 0; round < 20; round += 1) await new Promise((resolve) => setImmediate(resolve));
}

test('a waiting read is served by the member that has a free connection first', async () => {
  const { group, clock, leader, replica, read } = scene();
  group.recordLeaderPosition(clock.now - 100, { term: 1, index: 5 });
  const first = [read('a'), read('b')];
  await drainEventLoop();
  assert.equal(leader.requests.length + replica.requests.length, 2);
  const waiting = read('c');
  await drainEventLoop();
  assert.equal(leader.requests.length + replica.requests.length, 2, 'both connections are taken');
  leader.answer('one');
  await drainEventLoop();
  assert.equal(leader.requests.length, 2, 'the leader was free first');
  leader.answer('two');
  replica.answer('three');
  assert.ok((await waiting).result.isComplete);
  await Promise.all(first);
});

test('a read that only the leader could serve goes to a replica once a position of the leader is known', async () => {
  const { leader, replica, read } = scene();
  const first = read('a');
  await drainEventLoop();
  const second = read('b');
  await drainEventLoop();
  assert.deepEqual([leader.requests.length, replica.requests.length], [1, 0]);
  leader.answer('one');
  await first;
  const third = read('c');
  await drainEventLoop();
  assert.equal(replica.requests.length, 1);
  leader.answer('two');
  replica.answer('three');
  await Promise.all([second, third]);
});

test('a leader without valid evidence serves reads by their floor, as a replica would', async () => {
  const { group, clock, leader, replica, read } = scene();
  group.recordLeaderPosition(clock.now - 100, { term: 1, index: 5 });
  group.evidence.revoke(1, clock.now);
  const reads = [read('a'), read('b')];
  await drainEventLoop();
  const [request] = leader.requests;
  assert.ok(request?.kind === 'statement');
  assert.deepEqual(
    request.after,
    { term: 1, index: 5 },
    'the member refuses if it has not reached the floor',
  );
  leader.answer('one');
  replica.answer('two');
  await Promise.all(reads);
});

test('a leader without valid evidence serves no read of a primary route, and none without a floor', async () => {
  for (const consistency of ['primary', 'bounded_staleness'] as const) {
    const { group, clock, leader, replica, read } = scene({ ...ROUTE, consistency, timeoutMs: 200 });
    if (consistency === 'primary') group.recordLeaderPosition(clock.now - 100, { term: 1, index: 5 });
    group.evidence.revoke(1, clock.now);
    const refused = assert.rejects(read('a'), /no member can serve/);
    await drainEventLoop();
    clock.now += 300;
    group.changed.notify();
    await refused;
    assert.deepEqual([leader.requests.length, replica.requests.length], [0, 0]);
  }
});

test('a read that every member has refused as not run is refused as not run when it times out', async () => {
  const { clock, leader, read } = scene({ ...ROUTE, consistency: 'primary', timeoutMs: 200 });
  const refused = assert.rejects(read('a'), (error: unknown) => {
    assert.ok(error instanceof Refusal);
    assert.equal(error.code, 'busy');
    assert.equal(error.verdict, 'not_run');
    return true;
  });
  await drainEventLoop();
  assert.equal(leader.requests.length, 1);
  clock.now += 300;
  leader.refuse();
  await refused;
});

// A member that hangs loses one read after the other. If a lost read counted as an answer, the member would seem to
// answer, and would get its usual share of the reads.
test('a read whose connection is lost is no sign that the member answers other reads', async () => {
  const { group, clock, leader, replica, read } = scene();
  group.recordLeaderPosition(clock.now - 100, { term: 1, index: 5 });
  const outcomes = [read('a'), read('b')];
  await drainEventLoop();
  const pendingReads = group.members.get('replica')?.pendingReads;
  assert.equal(replica.requests.length, 1);
  pendingReads?.start(clock.now);
  clock.now += 500;
  replica.lose();
  await drainEventLoop();
  // Rounded, since the clock is a sum of fractions.
  const unansweredMs = Math.round(pendingReads?.unansweredMs(clock.now) ?? 0);
  clock.now += ROUTE.timeoutMs;
  leader.answer('one');
  group.changed.notify();
  await Promise.allSettled(outcomes);
  assert.equal(unansweredMs, 500);
});

// An attempt that fails and the answer of a hedged request can arrive in the same turn of the event loop. If the
// deadline has passed then, the read must not end with the failure while the answer is there.
test('an answer that is there at the deadline is delivered, although another attempt has failed before', async () => {
  const { group, clock, leader, replica, read } = scene({ ...ROUTE, targetLatencyMs: 1 });
  group.recordLeaderPosition(clock.now - 100, { term: 1, index: 5 });
  const outcome = read('a');
  await drainEventLoop();
  const [first, second] = leader.requests.length > 0 ? [leader, replica] : [replica, leader];
  clock.now += 10;
  while (second.requests.length === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  clock.now += ROUTE.timeoutMs;
  first.fail();
  second.answer('one');
  assert.deepEqual((await outcome).result, { isComplete: true, signature: 'one' });
});
