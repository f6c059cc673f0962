/**
 * Requests whose members can't serve them before their deadline, by the expected wait for a connection.
 *
 * Guards against requests that are held until their deadline and then answered `TIMEOUT`, where an answer on
 * arrival leaves the client time to retry.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NOT_ISOLATED } from '../../test/support/not-isolated.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import { SlowLink } from '../../test/support/slow-link.js';
import { Catalog, type Route } from '../topology/catalog.js';
import type { MemberGroup } from '../topology/member-group.js';
import { AdmissionError } from '../admission/admission-error.js';
import type { LinkDemand } from './link-queue.js';
import type { MemberReply } from './member-link.js';
import { ReadRunner } from './read-runner.js';
import { Refusal } from './refusal.js';
import type { SessionFloor } from './session-commits.js';
import type { Decision, RelayContext } from './relay-context.js';
import { Transaction } from './transaction.js';
import { WriteRunner } from './write-runner.js';

const TIMEOUT_MS = 300;
/** For how long each request uses its connection; each member has one. */
const USE_MS = 100;
/** Waiting requests that need longer than the timeout. */
const BACKLOG = 4;
/** Requests that may wait at one pool. */
const MAX_WAITING = 2000;
const NO_VALUES = new Map<string, string>();
const ROUTE: Route = {
  database: 'stock',
  groupName: 'g',
  consistency: 'bounded_staleness',
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: 250,
  priority: 1,
  maxStalenessMs: 5000,
  isPublic: true,
};
/** A request that states no deadline, and so is never refused. */
const DEMAND: LinkDemand = {
  tenantName: 'one',
  values: NO_VALUES,
  isWrite: false,
  priority: 0,
  dueAtMs: 1e12,
};

class Scene {
  /** By how much the scene's clock is ahead of the real one, in milliseconds. */
  #aheadMs = 0;
  readonly notable: string[] = [];
  readonly links = { leader: [] as SlowLink[], replica: [] as SlowLink[] };
  readonly group: MemberGroup;
  readonly context: RelayContext;

  constructor() {
    const dialerOf = (id: 'leader' | 'replica'): { dial(): Promise<SlowLink> } => ({
      dial: () => {
        const link = new SlowLink();
        this.links[id].push(link);
        return Promise.resolve(link);
      },
    });
    this.group = createTestGroup(
      { leader: dialerOf('leader'), replica: dialerOf('replica') },
      () => this.nowMs,
    );
    this.context = {
      catalog: new Catalog(),
      configurationLease: ALWAYS_PROVEN,
      quotas: NO_QUOTAS,
      zone: 'a',
      isolation: NOT_ISOLATED,
      observer: {
        ...NOOP_OBSERVER,
        notable: ({ decision }: Decision) => void this.notable.push(decision),
      },
      group: () => this.group,
      now: () => this.nowMs,
      shutdownSchedule: () => null,
      readStatus: () => null,
      suspect: () => undefined,
    };
  }

  get nowMs(): number {
    return performance.now() + this.#aheadMs;
  }

  /** Uses the connection of a member a number of times, so that the time of a use is known. */
  async measure(id: 'leader' | 'replica', uses = 8): Promise<void> {
    const pool = this.group.members.get(id)?.pool.ownPool;
    assert.ok(pool !== undefined);
    for (let i = 0; i < uses; i += 1) {
      const link = await pool.acquire(DEMAND, TIMEOUT_MS);
      this.#aheadMs += USE_MS;
      pool.release(link);
    }
    this.group.evidence.recordWitness(1, 0, this.nowMs);
    this.group.recordLeaderPosition(this.nowMs, { term: 1, index: 5 });
  }

  /** Takes the connection of a member, and lets requests wait for it. */
  async load(id: 'leader' | 'replica', waiting = BACKLOG): Promise<void> {
    const pool = this.group.members.get(id)?.pool.ownPool;
    assert.ok(pool !== undefined);
    await pool.acquire(DEMAND, TIMEOUT_MS);
    for (let i = 0; i < waiting; i += 1) pool.acquire(DEMAND, TIMEOUT_MS * 5).catch(() => undefined);
  }

  read(route = ROUTE, sessionFloor: SessionFloor | null = null): Promise<MemberReply> {
    return new ReadRunner(this.context, {
      requestId: 'r',
      statement: { kind: 'plain', payload: 'READ r' },
      route,
      group: this.group,
      tenantName: 'one',
      values: NO_VALUES,
      sessionFloor,
      receivedAtMs: this.nowMs,
      deadlineMs: this.nowMs + TIMEOUT_MS,
    }).run();
  }

  write(): Promise<MemberReply> {
    return new WriteRunner(this.context, {
      requestId: 'w',
      statement: { kind: 'plain', payload: 'WRITE w' },
      route: ROUTE,
      group: this.group,
      tenantName: 'one',
      values: NO_VALUES,
      deadlineMs: this.nowMs + TIMEOUT_MS,
    }).run();
  }

  begin(isReadOnly: boolean): Promise<MemberReply> {
    const transaction = new Transaction(this.context, {
      route: ROUTE,
      group: this.group,
      isReadOnly,
      receivedAtMs: this.nowMs,
      tenantName: 'one',
      sessionFloor: null,
    });
    return transaction.run({
      requestId: 't',
      statement: { kind: 'plain', payload: 'READ t' },
      kind: 'read',
      values: NO_VALUES,
      deadlineMs: this.nowMs + TIMEOUT_MS,
    });
  }
}

/** Checks that a request is refused as not run, without any time passing; returns the refusal. */
async function refusedAtOnce(request: Promise<MemberReply>): Promise<Refusal> {
  const startedAtMs = performance.now();
  const refusal = await request.then(
    () => assert.fail('the request was served'),
    (error: unknown) => error,
  );
  assert.ok(refusal instanceof Refusal, String(refusal));
  assert.equal(refusal.code, 'busy');
  assert.equal(refusal.verdict, 'not_run');
  assert.ok(performance.now() - startedAtMs < 100, 'refused at once');
  return refusal;
}

test('a read that all members refuse is refused at once, with the inputs of the decision and no other line', async () => {
  const scene = new Scene();
  await scene.measure('leader');
  await scene.measure('replica');
  await scene.load('leader', BACKLOG + 6);
  await scene.load('replica');
  const refusal = await refusedAtOnce(scene.read());
  assert.ok(refusal.retryAfterMs !== null && refusal.retryAfterMs > 900, 'the largest retry time');
  assert.ok(Math.abs(Number(refusal.details.useMs) - USE_MS) < 20);
  assert.equal(refusal.details.ahead, BACKLOG + 6);
  assert.equal(refusal.details.connections, 1);
  assert.deepEqual(scene.notable, []);
});

test('a read goes to a member that does not refuse it', async () => {
  const scene = new Scene();
  await scene.measure('leader');
  await scene.measure('replica');
  await scene.load('leader');
  const read = scene.read();
  const answer = setInterval(() => scene.links.replica.forEach((link) => link.answer()), 1);
  assert.equal((await read).result.isComplete, true);
  clearInterval(answer);
});

test('a read of the leader alone, a write and a transaction are refused at once by the leader', async () => {
  const scene = new Scene();
  await scene.measure('leader');
  await scene.load('leader');
  const primary = { ...ROUTE, consistency: 'primary', maxStalenessMs: 0 } as const;
  for (const send of [() => scene.read(primary), () => scene.write(), () => scene.begin(false)]) {
    const refusal = await refusedAtOnce(send());
    assert.ok(refusal.retryAfterMs !== null && refusal.retryAfterMs > 400);
    assert.equal(refusal.details.ahead, BACKLOG);
  }
  assert.deepEqual(scene.notable, []);
});

test('a write that the full queue of its leader does not take is refused at once, without further attempts', async () => {
  // The failure guarded against: the write is sent to the full queue again every 15 ms until its deadline.
  const scene = new Scene();
  await scene.measure('leader', 0);
  await scene.load('leader', MAX_WAITING);
  const refusal = await refusedAtOnce(scene.write());
  assert.equal(refusal.message, 'too many requests wait for a connection');
  assert.ok(refusal.retryAfterMs !== null && refusal.retryAfterMs > 1000, String(refusal.retryAfterMs));
  assert.equal(refusal.details.waiting, MAX_WAITING);
  assert.deepEqual(scene.notable, []);
});

test('a read-only transaction goes to other members, and is refused when all have refused it', async () => {
  const scene = new Scene();
  await scene.measure('leader');
  await scene.measure('replica');
  await scene.load('leader');
  const begun = scene.begin(true);
  const answer = setInterval(() => scene.links.replica.forEach((link) => link.answer()), 1);
  assert.equal((await begun).result.isComplete, true);
  clearInterval(answer);
  const full = new Scene();
  await full.measure('leader');
  await full.measure('replica');
  await full.load('leader');
  await full.load('replica');
  await refusedAtOnce(full.begin(true));
  assert.deepEqual(full.notable, []);
});

test('nothing is refused by fewer than eight uses, nor a request of the daemon itself', async () => {
  const scene = new Scene();
  await scene.measure('leader', 7);
  await scene.load('leader');
  const pool = scene.group.members.get('leader')?.pool.ownPool;
  assert.ok(pool !== undefined);
  const demand = { ...DEMAND, priority: 1, deadlineMs: scene.nowMs + 1 };
  await assert.rejects(pool.acquire(demand, 20), { name: 'PoolTimeoutError' });
  const measured = new Scene();
  await measured.measure('leader', 8);
  await measured.load('leader');
  const measuredPool = measured.group.members.get('leader')?.pool.ownPool;
  assert.ok(measuredPool !== undefined);
  const inTime = { ...demand, deadlineMs: measured.nowMs + TIMEOUT_MS };
  await assert.rejects(measuredPool.acquire(inTime, 20), AdmissionError);
  await assert.rejects(measuredPool.acquire({ ...inTime, tenantName: null }, 20), {
    name: 'PoolTimeoutError',
  });
});

test('a read that its leader refuses waits for a replica that is about to reach its floor', async () => {
  const scene = new Scene();
  await scene.measure('leader');
  await scene.load('leader');
  const replica = scene.group.members.get('replica');
  assert.ok(replica !== undefined);
  replica.recordPosition({ term: 1, index: 4 }, scene.nowMs);
  const startedAtMs = scene.nowMs;
  const floor = { position: { term: 1, index: 5 }, reachedAtMs: startedAtMs };
  const sessionFloor = { kind: 'position', floor } as const;
  const read = scene.read(ROUTE, sessionFloor);
  setTimeout(() => replica.recordPosition({ term: 1, index: 5 }, scene.nowMs), 30);
  const answer = setInterval(() => scene.links.replica.forEach((link) => link.answer()), 1);
  assert.equal((await read).result.isComplete, true);
  clearInterval(answer);
  assert.ok(scene.nowMs - startedAtMs >= 25);
});
