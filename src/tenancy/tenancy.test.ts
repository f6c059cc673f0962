/**
 * API keys, tenants, authorization, and the configuration lease.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { authorize } from './authorize.js';
import { ConfigurationLease } from './configuration-lease.js';
import { digestKey } from './key-digest.js';
import { NO_TENANT, TenantRegistry, type Tenant } from './tenant-registry.js';
import { firstEraRevision as revisionAt } from '../../test/support/revisions.js';

const AMBER: Tenant = { name: 'amber', priority: 0, quota: null };
const BIRCH: Tenant = { name: 'birch', priority: 0, quota: null };

function keysOf(...keys: string[]): NonNullable<ReturnType<typeof digestKey>>[] {
  return keys.flatMap((key) => digestKey(key) ?? []);
}

const TENANTS = new TenantRegistry([
  { tenant: AMBER, keys: keysOf('a1', 'a2', 'shared') },
  { tenant: BIRCH, keys: keysOf('b1', 'shared') },
]);

describe('keys', () => {
  test('are stored as digests; an empty or oversized string has none', () => {
    assert.equal(digestKey('a1')?.includes('a1'), false);
    assert.equal(digestKey('a1'), digestKey('a1'));
    assert.notEqual(digestKey('a1'), digestKey('a2'));
    assert.equal(digestKey(''), null);
    assert.equal(digestKey('x'.repeat(1024 * 1024)), null);
  });

  test('a key listed by two tenants belongs to the first one, and the dispute is reported', () => {
    assert.equal(TENANTS.findByKey(digestKey('shared')), AMBER);
    assert.deepEqual(TENANTS.disputes, [{ holder: 'amber', claimant: 'birch' }]);
  });
});

test('shares of connections follow quotas, relative to their mean, and none is 0', () => {
  const limited = (name: string, ratePerS: number): Tenant => {
    return { name, priority: 0, quota: { ratePerS, burst: 1 } };
  };
  const tenants = [limited('large', 29), limited('small', 1), limited('blocked', 0), AMBER];
  const registry = new TenantRegistry(tenants.map((tenant) => ({ tenant, keys: [] })));
  assert.equal(registry.shareWeightOf('large'), 2.9);
  assert.equal(registry.shareWeightOf('small'), 0.1);
  assert.equal(registry.shareWeightOf('blocked'), 0.05);
  assert.equal(registry.shareWeightOf('amber'), 1, 'a tenant without a quota');
  assert.equal(registry.shareWeightOf(NO_TENANT), 1);
  assert.equal(TENANTS.shareWeightOf('amber'), 1, 'no tenant has a quota');
});

describe('authorization', () => {
  const keyedRoute = { isPublic: false };
  const publicRoute = { isPublic: true };

  test('requires a key of a known tenant, and a valid proof', () => {
    const granted = authorize({ tenants: TENANTS }, true, keyedRoute, digestKey('b1'));
    assert.deepEqual(granted, { kind: 'granted', caller: { tenantName: 'birch', account: BIRCH } });
    assert.equal(authorize({ tenants: TENANTS }, true, keyedRoute, digestKey('c1')).kind, 'unknown_key');
    assert.equal(authorize({ tenants: TENANTS }, true, keyedRoute, null).kind, 'unknown_key');
    assert.equal(authorize({ tenants: TENANTS }, false, keyedRoute, digestKey('b1')).kind, 'unproven');
    assert.equal(authorize({ tenants: TENANTS }, false, keyedRoute, digestKey('c1')).kind, 'unproven');
  });

  test('of a public route requires neither, and charges no tenant', () => {
    const anonymous = { kind: 'granted', caller: { tenantName: NO_TENANT, account: null } };
    assert.deepEqual(authorize({ tenants: TENANTS }, true, publicRoute, null), anonymous);
    assert.deepEqual(authorize({ tenants: TENANTS }, false, publicRoute, digestKey('a1')), anonymous);
    const known = authorize({ tenants: TENANTS }, true, publicRoute, digestKey('a1'));
    assert.deepEqual(known, { kind: 'granted', caller: { tenantName: 'amber', account: null } });
  });
});

describe('the configuration lease', () => {
  test('runs from the time before the request, not from the reply', () => {
    const lease = new ConfigurationLease(5000);
    lease.adopt(7, revisionAt(7), 0);
    assert.equal(lease.isProven(0), false);
    lease.recordProof({ version: 7, provenAtMs: 1000 });
    assert.equal(lease.isProven(5900), true);
    assert.equal(lease.isProven(6000), false);
  });

  test('is not renewed by a proof of a configuration that has not been received', () => {
    const lease = new ConfigurationLease(5000);
    lease.adopt(7, revisionAt(7), 0);
    lease.recordProof({ version: 7, provenAtMs: 0 });
    lease.recordProof({ version: 9, provenAtMs: 3000 });
    assert.equal(lease.isProven(4900), true);
    assert.equal(lease.isProven(5000), false);
    lease.adopt(9, revisionAt(9), 0);
    assert.equal(lease.isProven(5000), true);
  });

  test('is not required when the bound is not strict', () => {
    const lease = new ConfigurationLease(null);
    assert.equal(lease.isProven(1e9), true);
    assert.equal(lease.shareableProof(0), null);
  });

  /**
   * Models a store in which the configuration is replaced at random times, and daemons that exchange proofs.
   * Replies may be delayed, lost or forwarded; no daemon may act on a configuration that was replaced longer
   * ago than the bound.
   */
  test('never outlives a replacement by more than the bound, whatever is late, lost or handed on', () => {
    const BOUND_MS = 1000;
    const step = fc.record({
      kind: fc.constantFrom('replace', 'ask_store', 'ask_daemon', 'fetch', 'rest'),
      daemon: fc.nat(1),
      other: fc.nat(1),
      /** Delay of the request, delay of the reply, pause before the reply is processed. */
      delaysMs: fc.tuple(fc.nat(400), fc.nat(400), fc.nat(1500)),
      restMs: fc.nat(600),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 12, maxLength: 60, size: 'max' }), (steps) => {
        let nowMs = 0;
        let revision = 1;
        const replacedAtMs = new Map<number, number>();
        const daemons = Array.from({ length: 2 }, () => new ConfigurationLease(BOUND_MS));
        const pending: { atMs: number; run: () => void }[] = [];
        const schedule = (atMs: number, run: () => void): void => void pending.push({ atMs, run });
        const advance = (untilMs: number): void => {
          for (;;) {
            const due = pending.filter(({ atMs }) => atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)[0];
            if (due === undefined) break;
            pending.splice(pending.indexOf(due), 1);
            nowMs = Math.max(nowMs, due.atMs);
            due.run();
          }
          nowMs = Math.max(nowMs, untilMs);
        };
        const check = (): void => {
          for (const lease of daemons) {
            const replaced = replacedAtMs.get(lease.heldVersion);
            if (replaced === undefined || !lease.isProven(nowMs)) continue;
            assert.ok(nowMs - replaced < BOUND_MS, `acted on ${nowMs - replaced} ms after it was replaced`);
          }
        };
        for (const { kind, daemon, other, delaysMs, restMs } of steps) {
          const lease = daemons[daemon] ?? new ConfigurationLease(BOUND_MS);
          const [requestDelayMs, replyDelayMs, pauseMs] = delaysMs;
          const askedAtMs = nowMs;
          switch (kind) {
            case 'replace':
              replacedAtMs.set(revision, nowMs);
              revision += 1;
              break;
            case 'fetch':
              lease.adopt(revision, revisionAt(revision), nowMs);
              break;
            case 'ask_store':
              schedule(nowMs + requestDelayMs, () => {
                const newest = revision;
                schedule(nowMs + replyDelayMs + pauseMs, () =>
                  lease.recordProof({ version: newest, provenAtMs: askedAtMs }),
                );
              });
              break;
            case 'ask_daemon':
              schedule(nowMs + requestDelayMs, () => {
                const proof = daemons[other]?.shareableProof(nowMs) ?? null;
                if (proof === null) return;
                const provenAtMs = askedAtMs - proof.ageMs;
                schedule(nowMs + replyDelayMs + pauseMs, () =>
                  lease.recordProof({ version: proof.version, provenAtMs }),
                );
              });
              break;
            case 'rest':
              break;
          }
          check();
          advance(nowMs + restMs);
          check();
        }
      }),
      { seed: 20_261, numRuns: 3000 },
    );
  });
});
