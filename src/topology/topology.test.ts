/**
 * Order of configuration versions, and choice of a member for a read.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UNMEASURED_DISTANCE_COST_MS } from '../placement/distance-cost.js';
import { NO_TENANTS } from '../tenancy/tenant-registry.js';
import { Catalog, type CatalogDocument } from './catalog.js';
import { alternativeCandidates, selectReadMember, type ReadCandidate } from './select-member.js';

function version(number: number): CatalogDocument {
  return {
    version: number,
    routes: new Map(),
    groups: new Map(),
    tenants: NO_TENANTS,
    transactionIdleMs: 3000,
    maxMessageBytes: 1000,
  };
}

test('an older configuration never replaces a newer one', () => {
  const catalog = new Catalog();
  assert.ok(catalog.offer(version(5)));
  assert.ok(!catalog.offer(version(5)));
  assert.ok(!catalog.offer(version(4)));
  assert.equal(catalog.document?.version, 5);
  assert.ok(catalog.offer(version(60)));
});

const REPLICA: ReadCandidate = {
  memberId: 'r1',
  isLeader: false,
  distanceCostMs: 0,
  load: 0,
  isLoadReported: false,
  slots: 2,
  latencyMs: 20,
  failureShare: 0,
  isLeaving: false,
  isAvoided: false,
  isWithheld: false,
  isBehind: false,
};
const LEADER: ReadCandidate = { ...REPLICA, memberId: 'l', isLeader: true };
const FLOOR = { position: { term: 1, index: 1 }, reachedAtMs: 0 };
const NONE: ReadonlySet<string> = new Set();

function choose(
  candidates: readonly ReadCandidate[],
  floor: typeof FLOOR | null,
  excluded = NONE,
): string | null {
  return selectReadMember(candidates, { floor, excluded })?.memberId ?? null;
}

test('without a floor only the leader can serve a read', () => {
  assert.equal(choose([REPLICA, LEADER], null), 'l');
  assert.equal(choose([REPLICA], null), null);
});

test('prefers a replica to the leader, and a member in the same zone, until its queue costs more', () => {
  assert.equal(choose([LEADER, REPLICA], FLOOR), 'r1');
  const far = { ...REPLICA, memberId: 'r2', distanceCostMs: UNMEASURED_DISTANCE_COST_MS };
  assert.equal(choose([far, REPLICA], FLOOR), 'r1');
  assert.equal(choose([far, { ...REPLICA, load: 8 }], FLOOR), 'r2');
});

test('excludes replicas that are behind, leaving or have refused; uses an avoided one only as a last resort', () => {
  assert.equal(choose([{ ...REPLICA, isBehind: true }, LEADER], FLOOR), 'l');
  assert.equal(choose([{ ...REPLICA, isLeaving: true }], FLOOR), null);
  assert.equal(choose([REPLICA, LEADER], FLOOR, new Set(['r1'])), 'l');
  assert.equal(choose([{ ...REPLICA, isAvoided: true }, LEADER], FLOOR), 'l');
  assert.equal(choose([{ ...REPLICA, isAvoided: true }], FLOOR), 'r1');
});

test('a failing replica gets fewer reads, even from its own zone, and is tried again later', () => {
  const failing: ReadCandidate = { ...REPLICA, failureShare: 0.4 };
  const other: ReadCandidate = { ...REPLICA, memberId: 'r2', distanceCostMs: UNMEASURED_DISTANCE_COST_MS };
  assert.equal(choose([failing, other], FLOOR), 'r2');
  assert.equal(choose([{ ...failing, failureShare: 0.02 }, other], FLOOR), 'r1');
});

test('a read of a tenant goes to the replica that it prefers, unless that one is avoided, failing or behind', () => {
  const chosen = (candidates: readonly ReadCandidate[], tenant: string): string | null =>
    selectReadMember(
      candidates,
      { floor: FLOOR, excluded: NONE },
      { tenantName: tenant, random: Math.random },
    )?.memberId ?? null;
  const other: ReadCandidate = { ...REPLICA, memberId: 'r2' };
  const tenants = Array.from({ length: 40 }, (_, index) => `tenant-${index}`);
  const preferring = tenants.filter((tenant) => chosen([REPLICA, other, LEADER], tenant) === 'r2');
  assert.ok(preferring.length >= 10 && preferring.length <= 30, `${preferring.length} of 40`);
  for (const tenant of preferring) {
    assert.equal(chosen([REPLICA, { ...other, load: 1 }, LEADER], tenant), 'r2');
    assert.equal(chosen([REPLICA, { ...other, load: 8 }, LEADER], tenant), 'r1');
    for (const fault of [{ isAvoided: true }, { failureShare: 0.06 }, { isBehind: true }])
      assert.equal(chosen([REPLICA, { ...other, ...fault }, LEADER], tenant), 'r1');
  }
});

test('where loads are reported, one of the members within 10 % of the best is chosen at random', () => {
  const reported: ReadCandidate = { ...REPLICA, isLoadReported: true };
  const near: ReadCandidate = { ...reported, memberId: 'r2', distanceCostMs: 2 };
  const costly: ReadCandidate = { ...reported, memberId: 'r3', distanceCostMs: 4 };
  const chosen = (candidates: readonly ReadCandidate[], draw: number): string | undefined =>
    selectReadMember(candidates, { floor: FLOOR, excluded: NONE }, { tenantName: null, random: () => draw })
      ?.memberId;
  assert.deepEqual(
    [0, 0.49, 0.5, 0.99].map((draw) => chosen([costly, reported, near], draw)),
    ['r1', 'r1', 'r2', 'r2'],
  );
  const unreported = [costly, reported, near].map((member) => ({ ...member, isLoadReported: false }));
  for (const draw of [0, 0.5, 0.99]) assert.equal(chosen(unreported, draw), 'r1', 'no reports: as before');
});

test('a withheld member is chosen after all others except one that does not answer, and is no alternative', () => {
  const withheld: ReadCandidate = { ...REPLICA, isWithheld: true };
  const busy: ReadCandidate = { ...REPLICA, memberId: 'r2', load: 50 };
  assert.equal(choose([withheld, busy], FLOOR), 'r2');
  assert.equal(choose([withheld, { ...busy, isAvoided: true }], FLOOR), 'r1');
  assert.equal(choose([withheld], FLOOR), 'r1');
  const requirements = { floor: FLOOR, excluded: NONE };
  assert.deepEqual(alternativeCandidates(busy, [withheld, busy, LEADER], requirements), [LEADER]);
});
