/**
 * The tenants of one configuration, and which of them holds a key. Pure.
 *
 * @packageDocumentation
 */
import type { KeyDigest } from './key-digest.js';

/** Whom members are told when no tenant is known: callers of public routes, and questions of the daemon's own. */
export const NO_TENANT = '';

/** How many operations a tenant may have run. */
export interface Quota {
  /** Operations a second, over all daemons. */
  readonly ratePerS: number;
  /** Operations that may come at once after a rest. */
  readonly burst: number;
}

/** One tenant. */
export interface Tenant {
  readonly name: string;
  /** 0 is the highest. */
  readonly priority: number;
  /** `null` when its operations are not limited. */
  readonly quota: Quota | null;
}

/** A tenant, and the digests of its keys. */
export interface TenantEntry {
  readonly tenant: Tenant;
  readonly keys: readonly KeyDigest[];
}

/** Looks tenants up by key. */
export class TenantRegister {
  readonly #holders = new Map<KeyDigest, Tenant>();
  readonly #byName = new Map<string, Tenant>();
  /** Operations a second that all tenants with a limit may have run together. */
  #ratePerS = 0;
  /** Tenants that list a key which another holds, by name: the key stays with the tenant that is listed first. */
  readonly disputes: readonly { readonly holder: string; readonly claimant: string }[];

  constructor(entries: readonly TenantEntry[]) {
    const disputes: { holder: string; claimant: string }[] = [];
    for (const { tenant, keys } of entries) {
      this.#ratePerS += tenant.quota?.ratePerS ?? 0;
      this.#byName.set(tenant.name, tenant);
      for (const key of keys) {
        const holder = this.#holders.get(key);
        if (holder === undefined) this.#holders.set(key, tenant);
        else if (holder.name !== tenant.name) disputes.push({ holder: holder.name, claimant: tenant.name });
      }
    }
    this.disputes = disputes;
  }

  /** Share of a tenant in what all may have run together, 0 to 1; 1 where nothing says. */
  shareOf(name: string): number {
    const quota = this.#byName.get(name)?.quota ?? null;
    return quota === null || this.#ratePerS === 0 ? 1 : quota.ratePerS / this.#ratePerS;
  }

  /** Number of tenants. */
  get size(): number {
    return this.#byName.size;
  }

  /** The tenant that holds a key, or `null`. */
  holderOf(key: KeyDigest | null): Tenant | null {
    return key === null ? null : (this.#holders.get(key) ?? null);
  }

  /** A tenant by its name, or `null`. */
  find(name: string): Tenant | null {
    return this.#byName.get(name) ?? null;
  }
}

/** A configuration without tenants. */
export const NO_TENANTS = new TenantRegister([]);
