/**
 * What keys and quotas cost for each statement and operation, in this process alone.
 *
 * @packageDocumentation
 */
import { daemonRecord } from '../../test/support/daemon-records.js';
import { QuotaService } from '../../src/quota/quota-service.js';
import { authorize } from '../../src/tenancy/authorize.js';
import { ConfigurationLease } from '../../src/tenancy/configuration-lease.js';
import { digestKey, type KeyDigest } from '../../src/tenancy/key-digest.js';
import { TenantRegistry, type Tenant } from '../../src/tenancy/tenant-registry.js';
import type { Revision } from '../../src/coordination/revision.js';

/** Revision of the only configuration. */
const FIRST: Revision = { era: 0, number: 1 };

/** Tenants, and keys of each: what the largest user has. */
const TENANTS = 84;
const KEYS_EACH = 2;
const ROUNDS = 200_000;
/** Far more than is asked for, so that nothing is refused. */
const QUOTA = { ratePerS: 1e9, burst: 1e9 };

/** Costs, in microseconds. */
export interface TenancyCost {
  /** Digest of a key: once a session. */
  readonly digestUs: number;
  /** Each statement; without tenants there is nothing to do. */
  readonly authorizeUs: number;
  /** Each operation of a tenant whose home is this daemon, the question and the grant included. */
  readonly chargeAtHomeUs: number;
  /** Each operation for which a grant is at hand. */
  readonly chargeGrantedUs: number;
}

/** Measures on one core; a first round of each warms the code up. */
export async function measureTenancy(): Promise<TenancyCost> {
  const tenants = Array.from({ length: TENANTS }, (_, index): Tenant => {
    return { name: `tenant-${index}`, priority: 0, quota: QUOTA };
  });
  const entries = tenants.map((tenant) => ({ tenant, keys: keysOf(tenant.name) }));
  const register = new TenantRegistry(entries);
  const keys = entries.flatMap((entry) => entry.keys);
  const lease = new ConfigurationLease(5000);
  lease.adopt(1, FIRST, 0);
  lease.recordProof({ version: 1, provenAtMs: performance.now() + 1e9 });
  const quotas = new QuotaService({
    ownName: 'self',
    daemons: () => [daemonRecord('self')],
    findTenant: (name) => register.findByName(name),
    requestGrant: () => Promise.resolve(null),
    hasProcessEnded: () => Promise.resolve(false),
    now: () => performance.now(),
    random: () => 0.5,
  });
  const route = { isPublic: false };
  return {
    digestUs: await costUs((round) => digestKey(`key-${round}`)),
    authorizeUs: await costUs((round) =>
      authorize(
        { tenants: register },
        lease.isProven(performance.now()),
        route,
        keys[round % keys.length] ?? null,
      ),
    ),
    chargeAtHomeUs: await costUs((round) => quotas.charge(tenants[round % TENANTS] ?? NOBODY)),
    chargeGrantedUs: await costUs(async () => {
      const charge = await quotas.charge(tenants[0] ?? NOBODY);
      if (charge.kind === 'charged') charge.refund();
    }),
  };
}

const NOBODY: Tenant = { name: 'nobody', priority: 0, quota: null };

function keysOf(tenantName: string): KeyDigest[] {
  return Array.from({ length: KEYS_EACH }, (_, index) => digestKey(`${tenantName}-${index}`)).filter(
    (key) => key !== null,
  );
}

async function costUs(work: (round: number) => unknown): Promise<number> {
  await rounds(work);
  const startMs = performance.now();
  await rounds(work);
  return ((performance.now() - startMs) * 1000) / ROUNDS;
}

async function rounds(work: (round: number) => unknown): Promise<void> {
  for (let round = 0; round < ROUNDS; round += 1) {
    const pending = work(round);
    if (pending instanceof Promise) await pending;
  }
}
