/**
 * Status report of a daemon: its own state, its peers and its databases.
 *
 * @packageDocumentation
 */
import type { PeerRecord } from '../membership/peer-record.js';
import type { DatabaseController } from '../ownership/database-controller.js';

/** State of a database as seen by a daemon. */
export interface DatabaseStatus {
  readonly name: string;
  readonly owner: string | null;
  readonly term: number | null;
  readonly members: readonly DatabaseMemberStatus[];
}

/** State of a member at the daemon that owns its database. */
export interface DatabaseMemberStatus {
  readonly id: string;
  readonly zone: string;
  readonly role: string | null;
  readonly term: number | null;
  readonly received: number | null;
  readonly applied: number | null;
  readonly stalenessMs: number | null;
  readonly isLocked: boolean;
  readonly isLeaving: boolean;
  readonly connections: number;
  readonly waiting: number;
}

/** State of another daemon, or of this one, as known to this one. */
export interface PeerStatus extends PeerRecord {
  /** Configuration version that the daemon last reported; 0 for none. */
  readonly configurationVersion: number;
}

/** State of a daemon. */
export interface DaemonStatus {
  readonly daemon: { readonly id: string; readonly zone: string };
  readonly isStopping: boolean;
  readonly configurationVersion: number;
  readonly configurationIdentity: string | null;
  /** Time at which the configuration came into force here, in milliseconds since the epoch; 0 for never. */
  readonly configurationAdoptedAt: number;
  readonly clientConnections: number;
  readonly peerLinks: number;
  /** Number of daemon records that are still being gossiped. */
  readonly pendingNews: number;
  /** Bytes sent to and received from other daemons, forwarded requests included. */
  readonly peerTrafficBytes: number;
  /** Bytes sent to and received from members on control connections. */
  readonly memberControlBytes: number;
  /** Bytes sent to and received from the machine list. */
  readonly platformTrafficBytes: number;
  readonly peers: readonly PeerStatus[];
  readonly databases: readonly DatabaseStatus[];
}

/**
 * Describes a database.
 *
 * @param owner - id of the daemon that owns it, or `null`
 */
export function describeDatabase(
  { database, engine, monitor }: DatabaseController,
  owner: string | null,
): DatabaseStatus {
  const group = monitor?.describe();
  return {
    name: database.name,
    owner: owner,
    term: group?.term ?? null,
    members: (group?.members ?? []).map(({ address, status, isLocked, isLeaving, stalenessMs }) => ({
      id: address.memberId,
      zone: address.zone,
      role: status?.role ?? null,
      term: status?.term ?? null,
      received: status?.received.index ?? null,
      applied: status?.applied.index ?? null,
      stalenessMs: Number.isFinite(stalenessMs) ? Math.round(stalenessMs) : null,
      isLocked,
      isLeaving,
      connections: engine?.pools.get(address.memberId)?.connectionCount ?? 0,
      waiting: engine?.pools.get(address.memberId)?.queueLength ?? 0,
    })),
  };
}
