/**
 * Immutable description of a database group, built from the statuses that its members report.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';

/** Address of a member, from the configuration. */
export interface MemberAddress {
  readonly memberId: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
}

/** Status that a member reports. */
export interface MemberStatus {
  readonly memberId: string;
  readonly role: 'primary' | 'replica';
  /** Highest term in which the member has taken part. */
  readonly term: number;
  /** Position of the last log entry that the member has received, though perhaps not yet applied. */
  readonly received: Position;
  /** Position of the last log entry that is visible to reads on the member. */
  readonly applied: Position;
  /** True once the member has been told to leave the group. */
  readonly leaving: boolean;
}

/** State of a member as known to this daemon. @public */
export interface MemberDescription {
  readonly address: MemberAddress;
  /** Last status, or `null` before the first one and after the connection to the member was lost. */
  readonly status: MemberStatus | null;
  /** Monotonic time at which the query for `status` was sent, in milliseconds. */
  readonly askedAtMs: number;
  /** True while this daemon holds its lock on the member. */
  readonly isLocked: boolean;
  /** True when the machine list or the member itself reports that the member is leaving. */
  readonly isLeaving: boolean;
  /** Upper bound of the staleness of reads on the member, in milliseconds; infinite when unknown. */
  readonly stalenessMs: number;
}

/** State of a group as known to this daemon. @public */
export interface GroupDescription {
  readonly members: readonly MemberDescription[];
  /** Highest term reported by any member. */
  readonly term: number;
  /** The primary of that term, or `null` if none is known. */
  readonly primary: MemberDescription | null;
}

/**
 * Builds the description of a group. Its primary is the member that reports itself primary of the highest
 * term.
 */
export function describeGroup(members: readonly MemberDescription[]): GroupDescription {
  const term = members.reduce((highest, { status }) => Math.max(highest, status?.term ?? 0), 0);
  const primary = members.find(({ status }) => status?.role === 'primary' && status.term === term) ?? null;
  return { members, term, primary };
}

/** Returns the smallest number of members that is a majority. */
export function majorityOf(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}
