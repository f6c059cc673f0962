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
import type { LeaderFloor } from '../leadership/shared-floor.js';
import { Catalog, type Route } from '../topology/catalog.js';
import type { MemberGroup } from '../topology/member-group.js';
import { LinkLostError, type MemberLink, type MemberReply, type MemberRequest } from './member-link.js';
import { ReadRunner } from './read-runner.js';
import { Refusal } from './refusal.js';
import type { RelayContext } from './relay-context.js';
import type { SessionFloor } from './session-commits.js';

/** A member whose replies the test triggers. */
class FakeMember {
  readonly requests: MemberRequest[] = [];
  readonly #pendingReplies: ((reply: MemberReply) => void)[] = [];

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
  read(id: string, sessionFloor?: SessionFloor): Promise<MemberReply>;
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
  const read = (requestId: string, sessionFloor: SessionFloor | null = null): Promise<MemberReply> =>
    new ReadRunner(context, {
      requestId,
      statement: { kind: 'plain', payload: `READ ${requestId}` },
      route,
      group,
      tenantName: 'one',
      values: new Map(),
      sessionFloor,
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

/** The floor that another daemon shares, for which the leader was asked 100 ms ago. */
function sharedFloor({ clock }: Scene): LeaderFloor {
  return {
    leader: { memberId: 'leader', term: 1 },
    position: { term: 1, index: 5 },
    askedAtMs: clock.now - 100,
  };
}

/**
 * Guards against reads that wait for a connection to the leader after a start of all daemons, while the replicas
 * are idle.
 */
test('a daemon without an answer of the leader serves reads at a replica by a shared floor', async () => {
  for (const consistency of ['bounded_staleness', 'read_your_writes'] as const) {
    const started = scene({ ...ROUTE, consistency });
    const { group, clock, leader, replica, read } = started;
    group.recordSharedFloor(sharedFloor(started), clock.now);
    const served = read('a');
    await drainEventLoop();
    assert.deepEqual([leader.requests.length, replica.requests.length], [0, 1]);
    const [request] = replica.requests;
    assert.deepEqual(request?.kind === 'statement' && request.after, { term: 1, index: 5 });
    replica.answer('one');
    await served;
  }
});

test('a read that waits for the leader goes to a replica when another daemon shares a floor', async () => {
  const waiting = scene();
  const { group, clock, leader, replica, read } = waiting;
  const first = read('a');
  await drainEventLoop();
  const second = read('b');
  await drainEventLoop();
  assert.deepEqual([leader.requests.length, replica.requests.length], [1, 0]);
  group.recordSharedFloor(sharedFloor(waiting), clock.now);
  await drainEventLoop();
  assert.deepEqual([leader.requests.length, replica.requests.length], [1, 1]);
  leader.answer('one');
  replica.answer('two');
  await Promise.all([first, second]);
});

test("a session's own commits raise a shared floor, or make it unusable where it is older", async () => {
  const position = { term: 1, index: 9 };
  const own = scene();
  own.group.recordSharedFloor(sharedFloor(own), own.clock.now);
  const served = own.read('a', { kind: 'position', floor: { position, reachedAtMs: own.clock.now - 10 } });
  await drainEventLoop();
  const [request] = own.replica.requests;
  assert.deepEqual(request?.kind === 'statement' && request.after, position);
  own.replica.answer('one');
  await served;

  const unknown = scene();
  unknown.group.recordSharedFloor(sharedFloor(unknown), unknown.clock.now);
  const led = unknown.read('a', { kind: 'since', acknowledgedAtMs: unknown.clock.now - 10 });
  await drainEventLoop();
  assert.deepEqual([unknown.leader.requests.length, unknown.replica.requests.length], [1, 0]);
  unknown.leader.answer('one');
  await led;
});

/** See docs/incidents/stale-reads.md: the floor of a leader that may have been replaced is not used. */
test('a shared floor serves no read without valid evidence of its leader', async () => {
  const revoked = scene({ ...ROUTE, timeoutMs: 200 });
  const { group, clock, leader, replica, read } = revoked;
  group.recordSharedFloor(sharedFloor(revoked), clock.now);
  group.evidence.revoke(1, clock.now);
  const refused = assert.rejects(read('a'), /no member can serve/);
  await drainEventLoop();
  clock.now += 300;
  group.changed.notify();
  await refused;
  assert.deepEqual([leader.requests.length, replica.requests.length], [0, 0]);
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
