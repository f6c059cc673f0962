/**
 * The tenants of one configuration, with lookup by API key. Pure.
 *
 * @packageDocumentation
 */
import type { KeyDigest } from './key-digest.js';

/**
 * Tenant name passed to members when there is no tenant: callers of public routes, and requests of the daemon
 * itself.
 */
export const NO_TENANT = '';

/** Limit on the operations of a tenant. */
export interface Quota {
  /** Operations per second, over all daemons. */
  readonly ratePerS: number;
  /** Operations that may run at once after an idle time. */
  readonly burst: number;
}

/** One tenant. */
export interface Tenant {
  readonly name: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** `null` when the tenant is not limited. */
  readonly quota: Quota | null;
}

/** A tenant and the digests of its keys. */
export interface TenantEntry {
  readonly tenant: Tenant;
  readonly keys: readonly KeyDigest[];
}

/**
 * Smallest weight of a tenant. One with a quota near 0 would otherwise be charged so much for a single request
 * that its next one waits for seconds.
 */
const MIN_SHARE_WEIGHT = 0.05;

/** Looks up tenants by key and by name. */
export class TenantRegistry {
  readonly #tenantByKey = new Map<KeyDigest, Tenant>();
  readonly #tenantByName = new Map<string, Tenant>();
  /** Sum of the rates of all limited tenants, in operations per second. */
  #totalRatePerS = 0;
  #limitedCount = 0;
  /**
   * Keys listed by more than one tenant, by tenant name: the key belongs to the tenant that is listed first.
   */
  readonly disputes: readonly { readonly holder: string; readonly claimant: string }[];

  constructor(entries: readonly TenantEntry[]) {
    const disputes: { holder: string; claimant: string }[] = [];
    for (const { tenant, keys } of entries) {
      this.#totalRatePerS += tenant.quota?.ratePerS ?? 0;
      this.#limitedCount += tenant.quota === null ? 0 : 1;
      this.#tenantByName.set(tenant.name, tenant);
      for (const key of keys) {
        const holder = this.#tenantByKey.get(key);
        if (holder === undefined) this.#tenantByKey.set(key, tenant);
        else if (holder.name !== tenant.name) disputes.push({ holder: holder.name, claimant: tenant.name });
      }
    }
    this.disputes = disputes;
  }

  /**
   * Share of a tenant in the summed rate of all limited tenants, 0 to 1; 1 for unknown and unlimited tenants
   * and when the sum is 0.
   */
  rateShareOf(name: string): number {
    const quota = this.#tenantByName.get(name)?.quota ?? null;
    return quota === null || this.#totalRatePerS === 0 ? 1 : quota.ratePerS / this.#totalRatePerS;
  }

  /**
   * Size of a tenant's share of scarce connections: its rate relative to the mean of all limited tenants; 1 for
   * unknown and unlimited tenants.
   */
  shareWeightOf(name: string): number {
    const quota = this.#tenantByName.get(name)?.quota ?? null;
    if (quota === null || this.#totalRatePerS === 0) return 1;
    return Math.max(MIN_SHARE_WEIGHT, (quota.ratePerS * this.#limitedCount) / this.#totalRatePerS);
  }

  get size(): number {
    return this.#tenantByName.size;
  }

  /** The tenant that a key belongs to, or `null`. */
  findByKey(key: KeyDigest | null): Tenant | null {
    return key === null ? null : (this.#tenantByKey.get(key) ?? null);
  }

  /** The tenant of this name, or `null`. */
  findByName(name: string): Tenant | null {
    return this.#tenantByName.get(name) ?? null;
  }
}

/** The registry of a configuration without tenants. */
export const NO_TENANTS = new TenantRegistry([]);
