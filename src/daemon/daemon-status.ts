/**
 * What a daemon says of itself, of its peers and of the databases that it owns.
 *
 * @packageDocumentation
 */
import type { PeerRecord } from '../membership/peer-record.js';
import type { DatabaseController } from '../ownership/database-controller.js';

/** State of a database at a daemon. */
export interface DatabaseStatus {
  readonly name: string;
  readonly owner: string | null;
  readonly term: number | null;
  readonly members: readonly MemberStatusLine[];
}

/** State of a member at the daemon that owns its database. */
export interface MemberStatusLine {
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

/** Another daemon, or this one, as this one knows it. */
export interface PeerStatus extends PeerRecord {
  /** Version of the configuration in force there when it was last heard; 0 for none. */
  readonly configurationVersion: number;
}

/** State of a daemon. */
export interface DaemonStatus {
  readonly daemon: { readonly id: string; readonly zone: string };
  readonly isStopping: boolean;
  readonly configurationVersion: number;
  readonly configurationIdentity: string | null;
  /** When the configuration came into force here, in milliseconds since the epoch; 0 for never. */
  readonly configurationAdoptedAt: number;
  readonly clientConnections: number;
  readonly peerLinks: number;
  /** Records of daemons that are still being passed on. */
  readonly pendingNews: number;
  /** Bytes sent to and received from other daemons, forwarded requests included. */
  readonly peerTrafficBytes: number;
  /** Bytes sent to and received from members for watching them. */
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
