/**
 * Computes and caches, for each member, which daemons connect to it and with how many connections.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { MemberEntry } from '../topology/member-group.js';
import { assignGateways, type Assignment } from './assign-gateways.js';
import { isAssigned } from './member-connections.js';

/** Connections of a member that are not assigned to any daemon. */
const RESERVED_CONNECTIONS = 3;
/** Maximum assigned connections for each slot of a member, since opening one occupies a slot for a while. */
const CONNECTIONS_PER_SLOT = 12;
/**
 * Time after its start during which a daemon uses only a part of its connection budget, in milliseconds:
 * members may still count the connections of daemons that lost power.
 */
const STARTUP_PERIOD_MS = 3500;
const STARTUP_BUDGET_SHARE = 0.5;
/** Assignment while no daemon is known: no daemon connects. */
const UNASSIGNED: Assignment = { gateways: [], standbys: [], budget: 0 };

/** What the assignments are computed from. */
export interface AssignmentBasis {
  readonly ownName: string;
  /**
   * Daemons among which connections are assigned.
   *
   * @param isStartingUp - true while this daemon may not know yet of others that are starting at the same
   *   time
   */
  daemons(isStartingUp: boolean): readonly DaemonRecord[];
  /** Number of connections that each member of a group accepts. */
  connectionLimit(groupName: string): number;
  /** Whether each connection belongs to one tenant. */
  hasTenants(): boolean;
  /** Start of this daemon, in monotonic milliseconds. */
  startedAtMs(): number;
  now(): number;
}

/** An assignment, and the directory entry from which it was computed. */
interface CachedAssignment {
  readonly entry: MemberEntry;
  readonly assignment: Assignment;
}

/** The assignments of all members, cached until one of their inputs changes. */
export class Assignments {
  readonly #cache = new Map<string, CachedAssignment>();

  constructor(private readonly basis: AssignmentBasis) {}

  /** Discards all cached assignments, after a change of the daemons or of the connection limits. */
  clear(): void {
    this.#cache.clear();
  }

  /** The daemons that connect to a member. */
  of(entry: MemberEntry): Assignment {
    const cached = this.#cache.get(entry.memberId);
    if (cached !== undefined && hasSameAssignmentInputs(cached.entry, entry)) return cached.assignment;
    const assignment = this.#assign(entry);
    this.#cache.set(entry.memberId, { entry, assignment });
    return assignment;
  }

  /** Number of connections that this daemon may currently hold to a member. */
  budget(entry: MemberEntry): number {
    const assignment = this.of(entry);
    if (!isAssigned(assignment, this.basis.ownName)) return 0;
    return Math.max(
      1,
      Math.floor(this.isStartingUp ? assignment.budget * STARTUP_BUDGET_SHARE : assignment.budget),
    );
  }

  /** True during the startup period of this daemon. */
  get isStartingUp(): boolean {
    return this.basis.now() - this.basis.startedAtMs() < STARTUP_PERIOD_MS;
  }

  /** True if this daemon is one of those that connect to a member. */
  isAssigned(entry: MemberEntry): boolean {
    return isAssigned(this.of(entry), this.basis.ownName);
  }

  /** True if this daemon lends connections to a member to other daemons. */
  isGateway(entry: MemberEntry): boolean {
    return this.of(entry).gateways !== null && this.isAssigned(entry);
  }

  #assign({ memberId, groupName, zone, slots }: MemberEntry): Assignment {
    const limit = this.basis.connectionLimit(groupName);
    const connections = Math.max(1, Math.min(limit - RESERVED_CONNECTIONS, slots * CONNECTIONS_PER_SLOT));
    const daemons = this.basis.daemons(this.isStartingUp);
    if (daemons.length === 0) return UNASSIGNED;
    const hasTenants = this.basis.hasTenants();
    return assignGateways(daemons, { memberId, zone, connections, hasTenants });
  }
}

/** True if two entries of the same member id lead to the same assignment. */
function hasSameAssignmentInputs(one: MemberEntry, other: MemberEntry): boolean {
  return one.groupName === other.groupName && one.zone === other.zone && one.slots === other.slots;
}
