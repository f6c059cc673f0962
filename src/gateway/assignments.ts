/**
 * Who connects to each member as this daemon computes it, and with how many connections.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { MemberEntry } from '../topology/member-group.js';
import { assignGateways, type Assignment } from './assign-gateways.js';
import { connectsItself } from './member-connections.js';

/** Connections of a member that no daemon plans with. */
const RESERVED_CONNECTIONS = 3;
/** Most connections of a member that are planned with, for each of its slots: opening one takes a slot for a while. */
const CONNECTIONS_PER_SLOT = 12;
/**
 * For how long a daemon that has just started keeps to a part of its connections: members may still count those
 * of daemons that lost power, in milliseconds.
 */
const YOUNG_MS = 3500;
const YOUNG_SHARE = 0.5;
/** Nobody is known who may connect: nobody does. */
const NOBODY: Assignment = { gateways: [], standbys: [], budget: 0 };

/** What the assignments depend on. */
export interface AssignmentsOptions {
  readonly ownName: string;
  /**
   * Daemons that take part in the work.
   *
   * @param isYoung - true while this daemon may not have heard yet of others that start at the same time
   */
  daemons(isYoung: boolean): readonly DaemonRecord[];
  /** Connections that each member of a group accepts. */
  connectionLimit(groupName: string): number;
  /** Whether connections belong to tenants. */
  hasTenants(): boolean;
  /** Since when this daemon runs, in monotonic milliseconds. */
  startedAtMs(): number;
  now(): number;
}

/** An assignment, and the entry for which it was computed. */
interface Known {
  readonly entry: MemberEntry;
  readonly assignment: Assignment;
}

/** The assignments of all members, until something changes that they depend on. */
export class Assignments {
  readonly #known = new Map<string, Known>();

  constructor(private readonly options: AssignmentsOptions) {}

  /** Computes all anew: the daemons or the limits have changed. */
  clear(): void {
    this.#known.clear();
  }

  /** Who connects to a member. */
  of(entry: MemberEntry): Assignment {
    const known = this.#known.get(entry.memberId);
    if (known !== undefined && isAssignedAlike(known.entry, entry)) return known.assignment;
    const assignment = this.#assign(entry);
    this.#known.set(entry.memberId, { entry, assignment });
    return assignment;
  }

  /** Connections that this daemon may have to a member now. */
  budget(entry: MemberEntry): number {
    const assignment = this.of(entry);
    if (!connectsItself(assignment, this.options.ownName)) return 0;
    return Math.max(1, Math.floor(this.isYoung ? assignment.budget * YOUNG_SHARE : assignment.budget));
  }

  /** True while this daemon has just started. */
  get isYoung(): boolean {
    return this.options.now() - this.options.startedAtMs() < YOUNG_MS;
  }

  /** True when this daemon connects to a member itself. */
  connects(entry: MemberEntry): boolean {
    return connectsItself(this.of(entry), this.options.ownName);
  }

  /** True when other daemons borrow connections to a member from this one. */
  isGateway(entry: MemberEntry): boolean {
    return this.of(entry).gateways !== null && this.connects(entry);
  }

  #assign({ memberId, groupName, zone, slots }: MemberEntry): Assignment {
    const limit = this.options.connectionLimit(groupName);
    const connections = Math.max(1, Math.min(limit - RESERVED_CONNECTIONS, slots * CONNECTIONS_PER_SLOT));
    const daemons = this.options.daemons(this.isYoung);
    if (daemons.length === 0) return NOBODY;
    const hasTenants = this.options.hasTenants();
    return assignGateways(daemons, { memberId, zone, connections, hasTenants });
  }
}

/** True when two entries of one id are assigned alike. */
function isAssignedAlike(one: MemberEntry, other: MemberEntry): boolean {
  return one.groupName === other.groupName && one.zone === other.zone && one.slots === other.slots;
}
