/**
 * Guards against requests that an isolated daemon holds until their deadline although nothing in reach can serve
 * them, and against a write whose answer may still arrive being refused.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import type { MemberLink, MemberReply, MemberRequest, MemberResult } from '../relay/member-link.js';
import { ReadRunner } from '../relay/read-runner.js';
import { Refusal } from '../relay/refusal.js';
import type { RelayContext } from '../relay/relay-context.js';
import { Transaction } from '../relay/transaction.js';
import { WriteRunner } from '../relay/write-runner.js';
import { Catalog, type Route } from '../topology/catalog.js';
import type { MemberGroup } from '../topology/member-group.js';
import { CUT_OFF_REASON, type Isolation, type IsolationListener } from './isolation.js';

const POSITION = { term: 1, index: 5 };
const ROUTE: Route = {
  database: 'stock',
  groupName: 'g',
  consistency: 'bounded_staleness',
  timeoutMs: 1000,
  targetLatencyMs: 900,
  priority: 2,
  maxStalenessMs: 1500,
  isPublic: true,
};
const JOB = {
  requestId: 'r',
  statement: { kind: 'plain', payload: 'x' },
  tenantName: 'one',
  values: new Map<string, string>(),
  sessionFloor: null,
} as const;

/** A member that answers on demand. */
class FakeMember {
  readonly #pending: {
    resolve(reply: MemberReply): void;
    reject(error: Error): void;
  }[] = [];
  readonly requests: MemberRequest[] = [];
  #isOpen = true;

  dial(): Promise<MemberLink> {
    const isOpen = (): boolean => this.#isOpen;
    return Promise.resolve({
      get isOpen() {
        return isOpen();
      },
      openedAt: POSITION,
      lastReceivedMs: 0,
      send: (request: MemberRequest) => {
        this.requests.push(request);
        return new Promise<MemberReply>((resolve, reject) => this.#pending.push({ resolve, reject }));
      },
      close: () => {
        this.#isOpen = false;
        for (const { reject } of this.#pending.splice(0)) reject(new Error('closed'));
      },
      onClosed: () => undefined,
    });
  }

  answer(): void {
    this.#settle({ isComplete: true, signature: 's' });
  }

  /** Refuses the oldest request as not run. */
  refuse(): void {
    this.#settle({ isComplete: false, code: 'busy', text: 'BUSY' });
  }

  #settle(result: MemberResult): void {
    this.#pending.shift()?.resolve({ rows: [], result, state: 'idle', position: POSITION });
  }
}

class TestIsolation implements Isolation {
  isIsolated = false;
  readonly #listeners = new Set<IsolationListener>();

  add(listener: IsolationListener): void {
    this.#listeners.add(listener);
  }

  remove(listener: IsolationListener): void {
    this.#listeners.delete(listener);
  }

  begin(group: MemberGroup): void {
    this.isIsolated = true;
    group.changed.notify();
    for (const listener of [...this.#listeners]) listener.cutOff();
  }
}

/** A leader in another zone and a replica in the zone of the daemon. */
function scene(leaderZone = 'b') {
  const nowMs = performance.now();
  const now = (): number => nowMs;
  const [leader, replica] = [new FakeMember(), new FakeMember()];
  const group = createTestGroup({ leader, replica }, now, null, { leader: leaderZone });
  group.evidence.recordWitness(1, 0, nowMs);
  group.recordLeaderPosition(nowMs - 100, POSITION);
  const isolation = new TestIsolation();
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    isolation,
    observer: NOOP_OBSERVER,
    group: () => group,
    now,
    shutdownSchedule: () => null,
    readStatus: () => null,
    suspect: () => undefined,
  };
  const times = { receivedAtMs: nowMs, deadlineMs: nowMs + ROUTE.timeoutMs };
  const read = (route: Route): Promise<MemberReply> =>
    new ReadRunner(context, { ...JOB, ...times, route, group }).run();
  const write = (): Promise<MemberReply> =>
    new WriteRunner(context, { ...JOB, ...times, route: ROUTE, group }).run();
  const begin = (isReadOnly = false): Promise<MemberReply> =>
    new Transaction(context, { ...JOB, ...times, route: ROUTE, group, isReadOnly }).run({
      ...JOB,
      ...times,
      kind: isReadOnly ? 'read' : 'write',
    });
  return { leader, replica, group, isolation, read, write, begin };
}

const PRIMARY: Route = { ...ROUTE, consistency: 'primary' };

async function drainEventLoop(): Promise<void> {
  for (let round = 0; round < 20; round += 1) await new Promise((resolve) => setImmediate(resolve));
}

function refusal(code: Refusal['code'], verdict: Refusal['verdict']): (error: unknown) => boolean {
  return (error) => {
    assert.ok(error instanceof Refusal);
    assert.deepEqual({ code: error.code, verdict: error.verdict }, { code, verdict });
    assert.ok(error.message.includes(CUT_OFF_REASON), error.message);
    assert.equal(error.retryAfterMs, code === 'busy' ? 0 : null);
    assert.equal(error.details['cause'], 'isolated');
    return true;
  };
}

describe('an isolated daemon', () => {
  test('refuses what needs the leader of another zone at once, as not run', async () => {
    const { group, isolation, leader, read, write, begin } = scene();
    isolation.begin(group);
    await assert.rejects(read(PRIMARY), refusal('busy', 'not_run'));
    await assert.rejects(write(), refusal('busy', 'not_run'));
    await assert.rejects(begin(), refusal('busy', 'not_run'));
    assert.equal(leader.requests.length, 0);
  });

  test('serves reads at a replica of its own zone, until the floor of positions is too old', async () => {
    const { group, isolation, leader, replica, read } = scene();
    isolation.begin(group);
    const served = read(ROUTE);
    await drainEventLoop();
    assert.equal(leader.requests.length, 0);
    replica.answer();
    assert.ok((await served).result.isComplete);
    await assert.rejects(read({ ...ROUTE, maxStalenessMs: 100 }), refusal('busy', 'not_run'));
  });
});

describe('in an isolated daemon', () => {
  test('writes are refused also where the leader is in the own zone, since its replicas are not', async () => {
    const { group, isolation, leader, read, write, begin } = scene('a');
    isolation.begin(group);
    await assert.rejects(write(), refusal('busy', 'not_run'));
    await assert.rejects(begin(), refusal('busy', 'not_run'));
    assert.equal(leader.requests.length, 0);
    const served = read(PRIMARY);
    await drainEventLoop();
    leader.answer();
    assert.ok((await served).result.isComplete);
  });

  test('a read or read-only transaction that each replica in reach has refused is refused', async () => {
    const { group, isolation, replica, read, begin } = scene();
    isolation.begin(group);
    for (const run of [(): Promise<MemberReply> => read(ROUTE), (): Promise<MemberReply> => begin(true)]) {
      const outcome = assert.rejects(run(), refusal('busy', 'not_run'));
      await drainEventLoop();
      replica.refuse();
      await outcome;
    }
  });
});

describe('when the isolation begins', () => {
  test('a read that was sent over a silent path gets its final answer', async () => {
    const { group, isolation, leader, read } = scene();
    const outcome = assert.rejects(read(PRIMARY), refusal('timed_out', 'may_have_run'));
    await drainEventLoop();
    assert.equal(leader.requests.length, 1);
    isolation.begin(group);
    await outcome;
  });

  test('a read that a replica of the own zone can serve is sent there', async () => {
    const { group, isolation, leader, replica, read } = scene();
    group.members.delete('replica');
    const outcome = read(ROUTE);
    await drainEventLoop();
    assert.ok(leader.requests.length > 0);
    const { replica: member } = Object.fromEntries(createTestGroup({ replica }, () => 0).members);
    assert.ok(member !== undefined);
    group.members.set('replica', member);
    isolation.begin(group);
    await drainEventLoop();
    replica.answer();
    assert.ok((await outcome).result.isComplete);
  });

  test('a write that was sent waits for its answer', async () => {
    const { group, isolation, leader, write } = scene();
    const outcome = write();
    await drainEventLoop();
    assert.equal(leader.requests.length, 1);
    isolation.begin(group);
    await drainEventLoop();
    leader.answer();
    assert.ok((await outcome).result.isComplete);
  });

  test('a transaction that is being begun is refused as not run', async () => {
    const { group, isolation, leader, begin } = scene();
    const outcome = assert.rejects(begin(), refusal('busy', 'not_run'));
    await drainEventLoop();
    assert.deepEqual(
      leader.requests.map(({ kind }) => kind),
      ['begin'],
    );
    isolation.begin(group);
    await outcome;
  });
});
