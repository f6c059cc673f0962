/**
 * Writes while commits at the leader are not answered, and writes whose connection closes before they are
 * sent.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeLink } from '../../test/support/fake-link.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { NOT_ISOLATED } from '../../test/support/not-isolated.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { Catalog, type Route } from '../topology/catalog.js';
import { MemberGroup, type Member } from '../topology/member-group.js';
import { PooledLink } from './pooled-link.js';
import { Refusal } from './refusal.js';
import type { RelayContext } from './relay-context.js';
import { WriteRunner } from './write-runner.js';

const ROUTE: Route = {
  database: 'pay',
  groupName: 'g',
  consistency: 'primary',
  timeoutMs: 800,
  targetLatencyMs: 100,
  priority: 1,
  maxStalenessMs: 0,
  isPublic: true,
};
/** Time by which the clock advances with each reading, in milliseconds. */
const STEP_MS = 20;

test('is not sent to a leader whose commits stall, and is refused soon as not run', async () => {
  let now = 10_000;
  let acquired = 0;
  const group = new MemberGroup('g');
  const leader = {
    entry: { memberId: 'm' },
    isAvoided: () => false,
    pool: { acquire: () => Promise.reject(new Error(`unexpected connection request ${(acquired += 1)}`)) },
  };
  group.members.set('m', leader as unknown as Member);
  group.evidence.observeLeader({ memberId: 'm', term: 1 });
  group.evidence.recordWitness(1, 0, now);
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: NOOP_OBSERVER,
    group: () => group,
    now: () => (now += STEP_MS),
    shutdownSchedule: () => null,
    isolation: NOT_ISOLATED,
    readStatus: () => null,
    suspect: () => undefined,
  };
  const commit = group.commits.recordSent(now - 400);
  const job = {
    requestId: 'x',
    statement: { kind: 'plain', payload: 'WRITE k v' },
    route: ROUTE,
    group,
    tenantName: 'one',
    values: new Map(),
    deadlineMs: now + ROUTE.timeoutMs,
  } as const;
  const sentAtMs = now;
  await assert.rejects(new WriteRunner(context, job).run(), (error: unknown) => {
    assert.ok(error instanceof Refusal);
    assert.equal(error.code, 'busy');
    assert.equal(error.verdict, 'not_run');
    assert.ok(error.retryAfterMs !== null);
    return true;
  });
  assert.equal(acquired, 0);
  assert.ok(now - sentAtMs < ROUTE.timeoutMs / 2);
  group.commits.recordEnded(commit, true, now);
  const later = new WriteRunner(context, { ...job, deadlineMs: now + 100 }).run();
  await assert.rejects(later, Refusal);
  assert.ok(acquired > 0, 'sent again once commits are answered');
});

/** A group whose leader's pool hands out the given connections, and a runner of one write. */
function writeAtLeader(links: readonly FakeLink[]): {
  readonly group: MemberGroup;
  readonly runner: WriteRunner;
} {
  const handedOut = [...links];
  const group = new MemberGroup('g');
  const leader = {
    entry: { memberId: 'm' },
    isAvoided: () => false,
    recordAnswer: () => undefined,
    recordOutcome: () => undefined,
    pool: {
      acquire: () => Promise.resolve(new PooledLink(handedOut.shift() ?? new FakeLink(), 'one')),
      release: () => undefined,
    },
  };
  group.members.set('m', leader as unknown as Member);
  group.evidence.observeLeader({ memberId: 'm', term: 1 });
  group.evidence.recordWitness(1, 0, performance.now());
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: NOOP_OBSERVER,
    group: () => group,
    now: () => performance.now(),
    shutdownSchedule: () => null,
    isolation: NOT_ISOLATED,
    readStatus: () => null,
    suspect: () => undefined,
  };
  const runner = new WriteRunner(context, {
    requestId: 'x',
    statement: { kind: 'plain', payload: 'WRITE k v' },
    route: ROUTE,
    group,
    tenantName: 'one',
    values: new Map(),
    deadlineMs: performance.now() + ROUTE.timeoutMs,
  });
  return { group, runner };
}

test('is sent over another connection when the first one closed before the write was sent', async () => {
  const closed = new FakeLink();
  closed.close();
  const open = new FakeLink();
  const { runner } = writeAtLeader([closed, open]);
  const reply = await runner.run();
  assert.equal(reply.result.isComplete, true);
  assert.equal(closed.sent.length, 0);
  assert.equal(open.sent.length, 1);
});

/**
 * Guards against an acknowledged write that is lost after a network link of one machine fails. The daemon
 * that holds the promotion duty cannot pause one replica, learns from every daemon what that daemon has
 * acknowledged, and promotes another replica. The leader then answers a write in progress, acknowledged only
 * by the replica that was not paused.
 */
test('is in doubt when its answer comes after a promotion was told what has been acknowledged', async () => {
  const link = new FakeLink();
  const { group, runner } = writeAtLeader([link]);
  const before = group.acknowledged;
  const answer = link.send.bind(link);
  link.send = async (request) => {
    const reply = await answer(request);
    group.evidence.seal(1, performance.now());
    return { ...reply, position: { term: 1, index: 2 } };
  };
  await assert.rejects(runner.run(), (error: unknown) => {
    assert.ok(error instanceof Refusal);
    assert.equal(error.code, 'in_doubt');
    assert.equal(error.verdict, 'may_have_run');
    return true;
  });
  assert.equal(link.sent.length, 1);
  assert.deepEqual(group.acknowledged, before);
});
