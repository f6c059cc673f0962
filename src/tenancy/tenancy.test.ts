/**
 * Who may call: keys, tenants, and the lease under which a configuration is acted on.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { authorize } from './authorize.js';
import { ConfigurationLease } from './configuration-lease.js';
import { digestKey } from './key-digest.js';
import { NO_TENANT, TenantRegister, type Tenant } from './tenant-register.js';
import { at as revisionAt } from '../../test/support/revisions.js';

const AMBER: Tenant = { name: 'amber', priority: 0, quota: null };
const BIRCH: Tenant = { name: 'birch', priority: 0, quota: null };

function keysOf(...keys: string[]): NonNullable<ReturnType<typeof digestKey>>[] {
  return keys.flatMap((key) => digestKey(key) ?? []);
}

const TENANTS = new TenantRegister([
  { tenant: AMBER, keys: keysOf('a1', 'a2', 'shared') },
  { tenant: BIRCH, keys: keysOf('b1', 'shared') },
]);

describe('keys', () => {
  test('are held as digests; what cannot be a key has none', () => {
    assert.equal(digestKey('a1')?.includes('a1'), false);
    assert.equal(digestKey('a1'), digestKey('a1'));
    assert.notEqual(digestKey('a1'), digestKey('a2'));
    assert.equal(digestKey(''), null);
    assert.equal(digestKey('x'.repeat(1024 * 1024)), null);
  });

  test('a key of two tenants stays with the one listed first, and the dispute is known', () => {
    assert.equal(TENANTS.holderOf(digestKey('shared')), AMBER);
    assert.deepEqual(TENANTS.disputes, [{ holder: 'amber', claimant: 'birch' }]);
  });
});

describe('authorization', () => {
  const keyed = { isPublic: false };
  const open = { isPublic: true };

  test('asks for a key that a tenant holds, and for a proof', () => {
    const granted = authorize({ tenants: TENANTS }, true, keyed, digestKey('b1'));
    assert.deepEqual(granted, { kind: 'granted', caller: { tenantName: 'birch', account: BIRCH } });
    assert.equal(authorize({ tenants: TENANTS }, true, keyed, digestKey('c1')).kind, 'unknown_key');
    assert.equal(authorize({ tenants: TENANTS }, true, keyed, null).kind, 'unknown_key');
    assert.equal(authorize({ tenants: TENANTS }, false, keyed, digestKey('b1')).kind, 'unproven');
    assert.equal(authorize({ tenants: TENANTS }, false, keyed, digestKey('c1')).kind, 'unproven');
  });

  test('of a public route asks for neither, and charges nobody', () => {
    const anybody = { kind: 'granted', caller: { tenantName: NO_TENANT, account: null } };
    assert.deepEqual(authorize({ tenants: TENANTS }, true, open, null), anybody);
    assert.deepEqual(authorize({ tenants: TENANTS }, false, open, digestKey('a1')), anybody);
    const known = authorize({ tenants: TENANTS }, true, open, digestKey('a1'));
    assert.deepEqual(known, { kind: 'granted', caller: { tenantName: 'amber', account: null } });
  });
});

describe('the lease on the configuration', () => {
  test('holds for the bound from before the question, not from the answer', () => {
    const lease = new ConfigurationLease(5000);
    lease.adopt(7, revisionAt(7), 0);
    assert.equal(lease.isProven(0), false);
    lease.prove({ version: 7, provenAtMs: 1000 });
    assert.equal(lease.isProven(5900), true);
    assert.equal(lease.isProven(6000), false);
  });

  test('is not renewed by a proof of a configuration that has not come', () => {
    const lease = new ConfigurationLease(5000);
    lease.adopt(7, revisionAt(7), 0);
    lease.prove({ version: 7, provenAtMs: 0 });
    lease.prove({ version: 9, provenAtMs: 3000 });
    assert.equal(lease.isProven(4900), true);
    assert.equal(lease.isProven(5000), false);
    lease.adopt(9, revisionAt(9), 0);
    assert.equal(lease.isProven(5000), true);
  });

  test('is not needed where no bound is strict', () => {
    const lease = new ConfigurationLease(null);
    assert.equal(lease.isProven(1e9), true);
    assert.equal(lease.handOn(0), null);
  });

  /**
   * A store in which a configuration is replaced at some moments, and daemons that prove theirs to each other: whatever
   * answers are late, lost or handed on, none acts on a configuration that was replaced more than the bound ago.
   */
  test('never outlives a replacement by more than the bound, whatever is late, lost or handed on', () => {
    const BOUND_MS = 1000;
    const step = fc.record({
      kind: fc.constantFrom('replace', 'ask_store', 'ask_daemon', 'fetch', 'rest'),
      daemon: fc.nat(1),
      other: fc.nat(1),
      /** Way of the question, way of the answer, pause before the answer is looked at. */
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
        const at = (atMs: number, run: () => void): void => void pending.push({ atMs, run });
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
          const [there, back, pause] = delaysMs;
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
              at(nowMs + there, () => {
                const newest = revision;
                at(nowMs + back + pause, () => lease.prove({ version: newest, provenAtMs: askedAtMs }));
              });
              break;
            case 'ask_daemon':
              at(nowMs + there, () => {
                const proof = daemons[other]?.handOn(nowMs) ?? null;
                if (proof === null) return;
                const provenAtMs = askedAtMs - proof.ageMs;
                at(nowMs + back + pause, () => lease.prove({ version: proof.version, provenAtMs }));
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
