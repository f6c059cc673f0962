/**
 * Immutable description of a database group, put together from what its members report.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';

/** A member as the configuration names it. */
export interface MemberAddress {
  readonly memberId: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
}

/** What a member reports about itself. */
export interface MemberStatus {
  readonly memberId: string;
  readonly role: 'primary' | 'replica';
  /** Highest term the member has taken part in. */
  readonly term: number;
  /** Last log entry it has received, not necessarily applied. */
  readonly received: Position;
  /** Last log entry that its reads see. */
  readonly applied: Position;
  /** True once the member has been told to leave. */
  readonly leaving: boolean;
}

/** A member as this daemon knows it. @public */
export interface MemberDescription {
  readonly address: MemberAddress;
  /** Last status, or `null` before the first and after the member stopped answering. */
  readonly status: MemberStatus | null;
  /** Monotonic time at which the question for `status` was sent, in milliseconds. */
  readonly askedAtMs: number;
  /** True while this daemon holds its lock on the member. */
  readonly isLocked: boolean;
  /** True when the machine list or the member itself says that it leaves. */
  readonly isLeaving: boolean;
  /** Upper bound of the age of what its reads see, in milliseconds; infinite when unknown. */
  readonly stalenessMs: number;
}

/** A group as this daemon knows it. @public */
export interface GroupDescription {
  readonly members: readonly MemberDescription[];
  /** Highest term reported by any member. */
  readonly term: number;
  /** The member that leads in that term, or `null`. */
  readonly primary: MemberDescription | null;
}

/** Puts a group together: the primary is the one that leads in the highest term reported. */
export function describeGroup(members: readonly MemberDescription[]): GroupDescription {
  const term = members.reduce((highest, { status }) => Math.max(highest, status?.term ?? 0), 0);
  const primary = members.find(({ status }) => status?.role === 'primary' && status.term === term) ?? null;
  return { members, term, primary };
}

/** Smallest number of members that is a majority. */
export function majorityOf(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}
