/**
 * Chooses which of a member's gateways lend connections to a tenant. A pure function: every daemon computes
 * the same result from the same list of daemons.
 *
 * A connection belongs to one tenant, and a gateway has few. If every gateway lent to all tenants, it would
 * seldom have an open connection for the requesting tenant, and opening one occupies a slot of the member.
 * Requests of a tenant therefore go to only as many gateways as its share of the load needs.
 *
 * @packageDocumentation
 */
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';

/** Factor by which a tenant's gateways exceed its average share of the load, to absorb bursts. */
const BURST_HEADROOM = 3;

/**
 * The gateways from which to borrow for a tenant, in order of preference.
 *
 * @param share - the tenant's share of the total load, 0 to 1
 */
export function gatewaysOfTenant(
  tenantName: string,
  share: number,
  memberId: string,
  gateways: readonly DaemonRecord[],
): readonly DaemonRecord[] {
  const count = Math.min(gateways.length, Math.max(1, Math.ceil(share * gateways.length * BURST_HEADROOM)));
  if (count === gateways.length) return gateways;
  return preferredDaemons(`${memberId} ${tenantName}`, gateways, count);
}
