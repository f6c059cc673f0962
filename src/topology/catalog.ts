/**
 * The relay's configuration: routes, groups and tenants. Only newer versions replace the one in force.
 *
 * @packageDocumentation
 */

import { NO_TENANTS, type TenantRegistry } from '../tenancy/tenant-registry.js';

/** Read consistency that a route guarantees. */
export type Consistency =
  /** Reads see every acknowledged commit. */
  | 'primary'
  /** Reads may be stale up to the bound of the route. */
  | 'bounded_staleness'
  /** Bounded staleness; in addition, a session sees its own commits. */
  | 'read_your_writes';

/** How requests for one database name are served. */
export interface Route {
  readonly database: string;
  readonly groupName: string;
  readonly consistency: Consistency;
  /** Timeout of one statement, in milliseconds. */
  readonly timeoutMs: number;
  /** Target latency of an operation, in milliseconds. */
  readonly targetLatencyMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Maximum staleness of a read, in milliseconds; 0 on primary routes. */
  readonly maxStalenessMs: number;
  /** True if any caller may use the route; other routes require a key that belongs to a tenant. */
  readonly isPublic: boolean;
}

/** Settings of one group of members. */
export interface GroupSettings {
  readonly name: string;
  /** Connection limit of each member, over all callers together. */
  readonly maxConnections: number;
  /** Number of replicas that have to receive a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** A complete version of the configuration. */
export interface CatalogDocument {
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupSettings>;
  readonly tenants: TenantRegistry;
  /** Maximum idle time of a transaction between two statements, in milliseconds. */
  readonly transactionIdleMs: number;
  /** Maximum size of a client message, in bytes. */
  readonly maxMessageBytes: number;
}

/** Holds the configuration in force; an older version never replaces a newer one. */
export class Catalog {
  #document: CatalogDocument | null = null;

  /** The configuration in force, or `null` before the first one. */
  get document(): CatalogDocument | null {
    return this.#document;
  }

  /** Adopts a configuration if it is newer; true when it is now in force. */
  offer(document: CatalogDocument): boolean {
    if (this.#document !== null && document.version <= this.#document.version) return false;
    this.#document = document;
    return true;
  }

  /** The tenants of the configuration in force. */
  get tenants(): TenantRegistry {
    return this.#document?.tenants ?? NO_TENANTS;
  }

  /** The route of a database name, or `null`. */
  route(database: string): Route | null {
    return this.#document?.routes.get(database) ?? null;
  }
}
