/**
 * Decides which daemons hold connections to a member. Pure; the same everywhere for the same daemons.
 *
 * Members accept few connections. While each daemon's share is one or more, all of them connect. Below that, some
 * daemons, the gateways of the member, hold them all and lend them to the others; they stand in the member's zone,
 * so that nothing crosses zones that would not have to anyway, and are chosen in proportion to their capacity.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';

/** What is known of a member. */
export interface AssignmentQuestion {
  readonly memberId: string;
  readonly zone: string;
  /** Connections that the daemons may have together. */
  readonly connections: number;
  /** Whether each connection belongs to one tenant; not so where it is not given. */
  readonly hasTenants?: boolean;
}

/** Who connects, and with how many connections each. */
export interface Assignment {
  /** The gateways, or `null` when every daemon connects itself. */
  readonly gateways: readonly DaemonRecord[] | null;
  /** Gateways in other zones, which lend only while none of the others does: a zone may be lost as a whole. */
  readonly standbys: readonly DaemonRecord[];
  /** Most connections of each that connects. */
  readonly budget: number;
}

/** Connections that a gateway should have: fewer are shared badly between statements and resting transactions. */
const CONNECTIONS_PER_GATEWAY = 4;
/**
 * The same where each belongs to a tenant: a gateway that has more of them has one for the tenant that asks more often. With
 * 84 tenants before members of 53 connections, new connections in a day of some 36,000 requests went from 32,610 to 23,372 by
 * `gatewaysOfTenant`, and to 18,490 with this.
 */
const TENANT_CONNECTIONS_PER_GATEWAY = 8;
/** Fewest gateways in the member's zone; with fewer daemons there, others take part. */
const FEWEST_IN_ZONE = 2;

/** Gateways of a member from which on one of them stands in another zone. */
const ENOUGH_FOR_STANDBY = 4;

/** Assigns the connections to a member. */
export function assignGateways(
  daemons: readonly DaemonRecord[],
  { memberId, zone, connections, hasTenants = false }: AssignmentQuestion,
): Assignment {
  const share = Math.floor(connections / Math.max(1, daemons.length));
  if (share >= 1) return { gateways: null, standbys: [], budget: share };
  const inZone = daemons.filter((daemon) => daemon.zone === zone);
  const candidates = inZone.length >= FEWEST_IN_ZONE ? inZone : daemons;
  const perGateway = hasTenants ? TENANT_CONNECTIONS_PER_GATEWAY : CONNECTIONS_PER_GATEWAY;
  const wanted = Math.max(1, Math.floor(connections / perGateway));
  const elsewhere = candidates === daemons ? [] : daemons.filter((daemon) => daemon.zone !== zone);
  const standbys = preferredDaemons(memberId, elsewhere, wanted >= ENOUGH_FOR_STANDBY ? 1 : 0);
  const gateways = preferredDaemons(memberId, candidates, wanted - standbys.length);
  const connecting = gateways.length + standbys.length;
  return { gateways, standbys, budget: Math.max(1, Math.floor(connections / connecting)) };
}
