/**
 * Measures the cost of key checks per statement and of quotas per operation, in a single process.
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

/** Revision of the configuration used in the measurement. */
const FIRST_REVISION: Revision = { era: 0, number: 1 };

/** Number of tenants and of keys per tenant in the largest known deployment. */
const TENANTS = 84;
const KEYS_PER_TENANT = 2;
const ROUNDS = 200_000;
/** Far above the measured rate, so that no operation is refused. */
const QUOTA = { ratePerS: 1e9, burst: 1e9 };

/** Mean costs, in microseconds. */
export interface TenancyCost {
  /** Digest of a key, computed once per session. */
  readonly digestUs: number;
  /** Authorization of a statement. A deployment without tenants does not incur it. */
  readonly authorizeUs: number;
  /** Charge of an operation when this daemon is the tenant's home daemon, including the grant request. */
  readonly chargeAtHomeUs: number;
  /** Charge of an operation that is covered by an existing grant. */
  readonly chargeGrantedUs: number;
}

/** Measures sequentially, so on one core. Each measurement is preceded by a warm-up of the same length. */
export async function measureTenancy(): Promise<TenancyCost> {
  const tenants = Array.from({ length: TENANTS }, (_, index): Tenant => {
    return { name: `tenant-${index}`, priority: 0, quota: QUOTA };
  });
  const entries = tenants.map((tenant) => ({ tenant, keys: keysOf(tenant.name) }));
  const registry = new TenantRegistry(entries);
  const keys = entries.flatMap((entry) => entry.keys);
  const lease = new ConfigurationLease(5000);
  lease.adopt(1, FIRST_REVISION, 0);
  lease.recordProof({ version: 1, provenAtMs: performance.now() + 1e9 });
  const quotas = new QuotaService({
    ownName: 'self',
    daemons: () => [daemonRecord('self')],
    findTenant: (name) => registry.findByName(name),
    requestGrant: () => Promise.resolve(null),
    hasProcessEnded: () => false,
    now: () => performance.now(),
    random: () => 0.5,
  });
  const route = { isPublic: false };
  return {
    digestUs: await measureCostUs((round) => digestKey(`key-${round}`)),
    authorizeUs: await measureCostUs((round) =>
      authorize(
        { tenants: registry },
        lease.isProven(performance.now()),
        route,
        keys[round % keys.length] ?? null,
      ),
    ),
    chargeAtHomeUs: await measureCostUs((round) =>
      quotas.charge(tenants[round % TENANTS] ?? FALLBACK_TENANT),
    ),
    chargeGrantedUs: await measureCostUs(async () => {
      const charge = await quotas.charge(tenants[0] ?? FALLBACK_TENANT);
      if (charge.kind === 'charged') charge.refund();
    }),
  };
}

const FALLBACK_TENANT: Tenant = { name: 'nobody', priority: 0, quota: null };

function keysOf(tenantName: string): KeyDigest[] {
  return Array.from({ length: KEYS_PER_TENANT }, (_, index) => digestKey(`${tenantName}-${index}`)).filter(
    (key) => key !== null,
  );
}

async function measureCostUs(work: (round: number) => unknown): Promise<number> {
  await runRounds(work);
  const startMs = performance.now();
  await runRounds(work);
  return ((performance.now() - startMs) * 1000) / ROUNDS;
}

async function runRounds(work: (round: number) => unknown): Promise<void> {
  for (let round = 0; round < ROUNDS; round += 1) {
    const pending = work(round);
    if (pending instanceof Promise) await pending;
  }
}
