/**
 * A write while commits at the leader go without an answer, and one whose connection has ended before it leaves.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeLink } from '../../test/support/fake-link.js';
import { QUIET_OBSERVER } from '../../test/support/quiet-observer.js';
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
/** Time that passes with each look at the clock, in milliseconds. */
const STEP_MS = 20;

test('is not sent to a leader whose commits stall, and is refused soon as not run', async () => {
  let now = 10_000;
  let acquired = 0;
  const group = new MemberGroup('g');
  const leader = {
    entry: { memberId: 'm' },
    isAvoided: () => false,
    pool: { acquire: () => Promise.reject(new Error(`not to be asked: ${(acquired += 1)}`)) },
  };
  group.members.set('m', leader as unknown as Member);
  group.evidence.believe({ memberId: 'm', term: 1 });
  group.evidence.witness(1, 0, now);
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: QUIET_OBSERVER,
    group: () => group,
    now: () => (now += STEP_MS),
    plannedStop: () => null,
    suspect: () => undefined,
  };
  const commit = group.commits.sent(now - 400);
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
  group.commits.ended(commit, true, now);
  const later = new WriteRunner(context, { ...job, deadlineMs: now + 100 }).run();
  await assert.rejects(later, Refusal);
  assert.ok(acquired > 0, 'sent again once commits are answered');
});

test('is sent again over another connection when its own had ended before it left', async () => {
  const ended = new FakeLink();
  ended.close();
  const open = new FakeLink();
  const links = [ended, open];
  const group = new MemberGroup('g');
  const leader = {
    entry: { memberId: 'm' },
    isAvoided: () => false,
    trust: () => undefined,
    recordOutcome: () => undefined,
    pool: {
      acquire: () => Promise.resolve(new PooledLink(links.shift() ?? open, 'one')),
      release: () => undefined,
    },
  };
  group.members.set('m', leader as unknown as Member);
  group.evidence.believe({ memberId: 'm', term: 1 });
  group.evidence.witness(1, 0, performance.now());
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: QUIET_OBSERVER,
    group: () => group,
    now: () => performance.now(),
    plannedStop: () => null,
    suspect: () => undefined,
  };
  const reply = await new WriteRunner(context, {
    requestId: 'x',
    statement: { kind: 'plain', payload: 'WRITE k v' },
    route: ROUTE,
    group,
    tenantName: 'one',
    values: new Map(),
    deadlineMs: performance.now() + ROUTE.timeoutMs,
  }).run();
  assert.equal(reply.result.isComplete, true);
  assert.equal(ended.sent.length, 0);
  assert.equal(open.sent.length, 1);
});
