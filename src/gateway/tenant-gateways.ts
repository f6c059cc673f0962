/**
 * Which of a member's gateways lend to a tenant. Pure; the same everywhere for the same daemons.
 *
 * A connection belongs to one tenant, and a gateway has few: where each gateway lends to all tenants, it has seldom one for the
 * tenant that asks, and opens it at the cost of a slot of the member. So a tenant's work meets at few gateways, as many as its
 * share of the work needs.
 *
 * @packageDocumentation
 */
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';

/** Gateways for each one that the tenant's share of the work would keep busy: it comes in bursts. */
const HEADROOM = 3;

/**
 * The gateways to ask for a tenant, in order.
 *
 * @param share - of the tenant in all work, 0 to 1
 */
export function gatewaysOfTenant(
  tenantName: string,
  share: number,
  memberId: string,
  gateways: readonly DaemonRecord[],
): readonly DaemonRecord[] {
  const count = Math.min(gateways.length, Math.max(1, Math.ceil(share * gateways.length * HEADROOM)));
  if (count === gateways.length) return gateways;
  return preferredDaemons(`${memberId} ${tenantName}`, gateways, count);
}
