/**
 * Authorizes callers for routes under the active configuration. Pure.
 *
 * A key can be revoked while a session that uses it is open, so authorization is checked when a session opens
 * and again for each statement that is sent to a member.
 *
 * @packageDocumentation
 */
import type { CatalogDocument, Route } from '../topology/catalog.js';
import type { KeyDigest } from './key-digest.js';
import { NO_TENANT, type Tenant } from './tenant-registry.js';

/** The identity that a caller was authorized under. */
export interface Caller {
  /** Tenant name that is passed to members. */
  readonly tenantName: string;
  /** The tenant whose quota the caller's operations are charged to; `null` on public routes. */
  readonly account: Tenant | null;
}

/** Result of an authorization check. */
export type Authorization =
  | { readonly kind: 'granted'; readonly caller: Caller }
  /** No tenant holds the key. */
  | { readonly kind: 'unknown_key' }
  /**
   * The configuration may have been replaced by one without the key. A daemon that holds a valid proof for
   * its configuration may still serve the request.
   */
  | { readonly kind: 'unproven' };

const ANONYMOUS: Authorization = { kind: 'granted', caller: { tenantName: NO_TENANT, account: null } };

/**
 * Checks one caller.
 *
 * @param isProven - whether the configuration lease is valid: the configuration was the newest a short time
 * ago
 */
export function authorize(
  { tenants }: Pick<CatalogDocument, 'tenants'>,
  isProven: boolean,
  route: Pick<Route, 'isPublic'>,
  key: KeyDigest | null,
): Authorization {
  const tenant = tenants.findByKey(key);
  if (route.isPublic) {
    if (tenant === null || !isProven) return ANONYMOUS;
    return { kind: 'granted', caller: { tenantName: tenant.name, account: null } };
  }
  if (!isProven) return { kind: 'unproven' };
  if (tenant === null) return { kind: 'unknown_key' };
  return { kind: 'granted', caller: { tenantName: tenant.name, account: tenant } };
}
