/**
 * Which replica a tenant's reads prefer.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_AFFINITY_EXCESS_MS, preferredReplica, type AffinityCandidate } from './tenant-affinity.js';

const LEADER: AffinityCandidate = {
  memberId: 'l',
  isLeader: true,
  isImpaired: false,
  costMs: 20,
  distanceCostMs: 0,
};
const ONE: AffinityCandidate = { ...LEADER, memberId: 'r1', isLeader: false };
const OTHER: AffinityCandidate = { ...ONE, memberId: 'r2' };
const TENANTS = Array.from({ length: 80 }, (_, index) => `tenant-${index}`);

/** A tenant for which a replica ranks first of the two. */
function tenantOf(memberId: string): string {
  const tenant = TENANTS.find((name) => preferredReplica(name, LEADER, [ONE, OTHER])?.memberId === memberId);
  assert.ok(tenant !== undefined);
  return tenant;
}

test('each replica is preferred by about half of the tenants, so it needs connections of half of them', () => {
  const count = TENANTS.filter((name) => preferredReplica(name, LEADER, [ONE, OTHER]) === ONE).length;
  assert.ok(count >= 30 && count <= 50, `${count} of 80`);
});

test('the order of the members does not matter, so all daemons prefer the same replica', () => {
  for (const name of TENANTS)
    assert.equal(
      preferredReplica(name, LEADER, [ONE, LEADER, OTHER]),
      preferredReplica(name, LEADER, [OTHER, ONE]),
    );
});

test('a busy replica is preferred until it costs more than the opening of a connection', () => {
  const tenant = tenantOf('r1');
  const busy = { ...ONE, costMs: OTHER.costMs + MAX_AFFINITY_EXCESS_MS };
  assert.equal(preferredReplica(tenant, OTHER, [busy, OTHER]), busy);
  const busier = { ...busy, costMs: busy.costMs + 1 };
  assert.equal(preferredReplica(tenant, OTHER, [busier, OTHER]), null);
});

test('an impaired replica is not preferred: its tenants go to the next one, the others stay', () => {
  const failing = { ...ONE, isImpaired: true };
  for (const name of TENANTS) assert.equal(preferredReplica(name, OTHER, [failing, OTHER, LEADER]), OTHER);
  assert.equal(preferredReplica('tenant-1', LEADER, [failing, LEADER]), null);
});

test('a member in the own zone is not left for one in another zone because of its distance alone', () => {
  const tenant = tenantOf('r1');
  const far = { ...ONE, costMs: OTHER.costMs + 6, distanceCostMs: 6 };
  assert.equal(preferredReplica(tenant, OTHER, [far, OTHER]), null);
  const busyOwn = { ...OTHER, costMs: OTHER.costMs + 1 };
  assert.equal(preferredReplica(tenant, busyOwn, [far, busyOwn]), far);
  const farBest = { ...OTHER, costMs: far.costMs - 10, distanceCostMs: 6 };
  assert.equal(preferredReplica(tenant, farBest, [far, farBest]), far);
});
