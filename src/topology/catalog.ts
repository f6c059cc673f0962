/**
 * The configuration that the relay serves by: routes and groups, and the order of its versions.
 *
 * @packageDocumentation
 */

import { NO_TENANTS, type TenantRegister } from '../tenancy/tenant-register.js';

/** What a route promises of its reads. */
export type Consistency =
  /** Reads see every acknowledged commit. */
  | 'primary'
  /** Reads may be as old as the route allows. */
  | 'bounded_staleness'
  /** As bounded staleness, and a session sees its own commits. */
  | 'read_your_writes';

/** One database name, and how it is served. */
export interface Route {
  readonly database: string;
  readonly groupName: string;
  readonly consistency: Consistency;
  /** Longest time of one statement, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency that an operation should keep, in milliseconds. */
  readonly targetLatencyMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Oldest state that a read may see, in milliseconds; 0 on primary routes. */
  readonly maxStalenessMs: number;
  /** Anybody may use it; of other routes, only callers whose key a tenant holds. */
  readonly isPublic: boolean;
}

/** One group of members. */
export interface GroupSettings {
  readonly name: string;
  /** Connections that each member takes from all callers. */
  readonly maxConnections: number;
  /** Replicas that have to receive a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** A whole configuration. */
export interface CatalogDocument {
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupSettings>;
  readonly tenants: TenantRegister;
  /** Longest rest of a transaction between two statements, in milliseconds. */
  readonly transactionIdleMs: number;
  /** Longest message of a client, in bytes. */
  readonly maxMessageBytes: number;
}

/** Holds the newest configuration; an older one never replaces a newer one. */
export class Catalog {
  #document: CatalogDocument | null = null;

  /** The configuration in force, or `null` before the first. */
  get document(): CatalogDocument | null {
    return this.#document;
  }

  /** Takes a configuration if it is newer; true when it is now in force. */
  offer(document: CatalogDocument): boolean {
    if (this.#document !== null && document.version <= this.#document.version) return false;
    this.#document = document;
    return true;
  }

  /** The tenants of the configuration in force. */
  get tenants(): TenantRegister {
    return this.#document?.tenants ?? NO_TENANTS;
  }

  /** The route of a database name, or `null`. */
  route(database: string): Route | null {
    return this.#document?.routes.get(database) ?? null;
  }
}
