/**
 * Decides whether a caller may use a route, by the configuration in force. Pure.
 *
 * Sessions live long, and keys are taken away beneath them: so the question is asked when a session opens, and again for each
 * statement that a member is to run.
 *
 * @packageDocumentation
 */
import type { CatalogDocument, Route } from '../topology/catalog.js';
import type { KeyDigest } from './key-digest.js';
import { NO_TENANT, type Tenant } from './tenant-register.js';

/** Who calls, as far as a route asks for it. */
export interface Caller {
  /** Name of the tenant that members are told. */
  readonly tenantName: string;
  /** The tenant to whose account the caller's operations go; `null` on public routes. */
  readonly account: Tenant | null;
}

/** What is decided. */
export type Authorization =
  | { readonly kind: 'granted'; readonly caller: Caller }
  /** No tenant holds the key. */
  | { readonly kind: 'unknown_key' }
  /** The configuration may have been replaced by one without the key: whoever can show that it was not may serve. */
  | { readonly kind: 'unproven' };

const ANYBODY: Authorization = { kind: 'granted', caller: { tenantName: NO_TENANT, account: null } };

/**
 * Decides for one caller.
 *
 * @param isProven - whether the configuration can be shown to have been the newest a short time ago
 */
export function authorize(
  { tenants }: Pick<CatalogDocument, 'tenants'>,
  isProven: boolean,
  route: Pick<Route, 'isPublic'>,
  key: KeyDigest | null,
): Authorization {
  const tenant = tenants.holderOf(key);
  if (route.isPublic) {
    if (tenant === null || !isProven) return ANYBODY;
    return { kind: 'granted', caller: { tenantName: tenant.name, account: null } };
  }
  if (!isProven) return { kind: 'unproven' };
  if (tenant === null) return { kind: 'unknown_key' };
  return { kind: 'granted', caller: { tenantName: tenant.name, account: tenant } };
}
