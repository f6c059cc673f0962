/**
 * Decides which daemons hold connections to a member. A pure function: every daemon computes the same result
 * from the same list of daemons.
 *
 * Members accept few connections. While each daemon's share is at least one connection, all daemons connect
 * directly. Below that, only some daemons, the gateways of the member, connect and lend their connections to
 * the others. Gateways are chosen in the member's zone, so that lending adds no cross-zone traffic, and in
 * proportion to their capacity.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';

/** The member to which connections are assigned. */
export interface AssignmentTarget {
  readonly memberId: string;
  readonly zone: string;
  /** Connections that all daemons together may open. */
  readonly connections: number;
  /** Whether each connection belongs to one tenant; false if omitted. */
  readonly hasTenants?: boolean;
}

/** The daemons that connect to a member, and the number of connections of each. */
export interface Assignment {
  /** The gateways, or `null` if every daemon connects directly. */
  readonly gateways: readonly DaemonRecord[] | null;
  /**
   * Gateways in other zones. They lend only while no other gateway is available, since a whole zone may fail.
   */
  readonly standbys: readonly DaemonRecord[];
  /** Maximum number of connections of each daemon that connects. */
  readonly budget: number;
}

/**
 * Connections that each gateway should have at least; with fewer, idle transactions leave too few for
 * statements.
 */
const CONNECTIONS_PER_GATEWAY = 4;
/**
 * The same where each connection belongs to one tenant: with more of them, a gateway more often has an open
 * one for the requesting tenant. With 84 tenants and members of 53 connections, a day of about 36,000
 * requests opened 32,610 connections, 23,372 with `gatewaysOfTenant`, and 18,490 with this value as well.
 */
const TENANT_CONNECTIONS_PER_GATEWAY = 8;
/** Minimum daemons in the member's zone; with fewer, gateways are chosen from all zones. */
const MIN_DAEMONS_IN_ZONE = 2;

/** Number of gateways from which one of them is placed in another zone. */
const MIN_GATEWAYS_FOR_STANDBY = 4;

/** Assigns the connections of a member to daemons. */
export function assignGateways(
  daemons: readonly DaemonRecord[],
  { memberId, zone, connections, hasTenants = false }: AssignmentTarget,
): Assignment {
  const share = Math.floor(connections / Math.max(1, daemons.length));
  if (share >= 1) return { gateways: null, standbys: [], budget: share };
  const inZone = daemons.filter((daemon) => daemon.zone === zone);
  const candidates = inZone.length >= MIN_DAEMONS_IN_ZONE ? inZone : daemons;
  const perGateway = hasTenants ? TENANT_CONNECTIONS_PER_GATEWAY : CONNECTIONS_PER_GATEWAY;
  const gatewayCount = Math.max(1, Math.floor(connections / perGateway));
  const outsideZone = candidates === daemons ? [] : daemons.filter((daemon) => daemon.zone !== zone);
  const standbys = preferredDaemons(memberId, outsideZone, gatewayCount >= MIN_GATEWAYS_FOR_STANDBY ? 1 : 0);
  const gateways = preferredDaemons(memberId, candidates, gatewayCount - standbys.length);
  const connectingCount = gateways.length + standbys.length;
  return { gateways, standbys, budget: Math.max(1, Math.floor(connections / connectingCount)) };
}
