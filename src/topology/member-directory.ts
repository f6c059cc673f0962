/**
 * The members as the directory lists them, and when one that leaves is given no more work.
 *
 * A directory that does not answer says nothing: entries that vanish meanwhile, or soon after, mean nothing.
 *
 * @packageDocumentation
 */
import type { Member, MemberEntry, MemberGroup } from './member-group.js';

/** Part of the time to leave after which a leaving member is given no work at all. */
const LEAVE_SHARE = 0.75;
/** Least part of that time that is kept for requests under way, in milliseconds. */
const LEAVE_MARGIN_MS = 500;
/** For how long a member whose entry is gone may still run, in milliseconds. */
const FORMER_MS = 30_000;
/** Time after the directory is back in which vanished entries mean nothing, in heartbeats. */
const TRUST_HEARTBEATS = 4;
/** Time for which an entry is gone before its member counts as leaving, in heartbeats. */
const GONE_HEARTBEATS = 1.2;

/** What the directory needs. */
export interface MemberDirectoryOptions {
  /** How long a member that leaves may still be given work, in milliseconds. */
  readonly leaveMs: number;
  /** Time between two signs of life of a member, in milliseconds. */
  readonly heartbeatMs: number;
  /** How much later than the directory itself this daemon may hear of a change, in milliseconds. */
  lagMs(): number;
  /** A watched group, or `null`. */
  group(name: string): MemberGroup | null;
  /** A member that can be given work from now on. */
  create(entry: MemberEntry): Member;
  /** A group's members have changed. */
  changed(group: MemberGroup): void;
  /** The leader of a group leaves, or is said to lead no longer. */
  leaderInDoubt(group: MemberGroup): void;
  /** A member has ended for good. */
  forgotten(memberId: string): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** Follows the directory. */
export class MemberDirectory {
  readonly #entries = new Map<string, MemberEntry>();
  /** Members that left and must not be used, though their entries may still stand. */
  readonly #retired = new Set<string>();
  /** The last entries of members whose entries have vanished, or cannot be read any more. */
  readonly #lastEntries = new Map<string, MemberEntry>();
  #isLoaded = false;
  #isAvailable = false;
  #trustedFromMs = Number.POSITIVE_INFINITY;

  constructor(private readonly options: MemberDirectoryOptions) {}

  /** True once it has been read whole. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** It has been read whole. */
  loaded(): void {
    this.#isLoaded = true;
    this.availability(true);
  }

  /** It answers, or has stopped to. */
  availability(isAvailable: boolean): void {
    if (isAvailable === this.#isAvailable) return;
    this.#isAvailable = isAvailable;
    const trustMs = TRUST_HEARTBEATS * this.options.heartbeatMs;
    this.#trustedFromMs = isAvailable ? this.options.now() + trustMs : Number.POSITIVE_INFINITY;
  }

  /** It describes a member. */
  listed(entry: MemberEntry): void {
    this.#lastEntries.delete(entry.memberId);
    this.#entries.set(entry.memberId, entry);
    const group = this.options.group(entry.groupName);
    if (group !== null) this.#place(group, entry);
  }

  /** It lists a member no longer. */
  unlisted(memberId: string): void {
    const entry = this.#entries.get(memberId) ?? this.#lastEntries.get(memberId);
    if (entry === undefined) return;
    this.#entries.delete(memberId);
    this.#lastEntries.delete(memberId);
    this.#retired.delete(memberId);
    const group = this.options.group(entry.groupName);
    const member = group?.members.get(memberId);
    if (member !== undefined) {
      member.missingSinceMs = this.options.now();
      this.#lastEntries.set(memberId, entry);
    }
    const former = group?.former.get(memberId);
    if (former !== undefined) former.missingSinceMs = this.options.now();
  }

  /** Fills a group that is watched from now on. */
  fill(group: MemberGroup): void {
    for (const entry of this.#entries.values()) if (entry.groupName === group.name) this.#place(group, entry);
  }

  /** Looks who has left; to be called every some ten milliseconds. */
  check(group: MemberGroup): void {
    const now = this.options.now();
    for (const member of [...group.members.values()]) this.#checkDeparture(group, member, now);
    this.#forgetFormer(group, now);
  }

  #place(group: MemberGroup, entry: MemberEntry): void {
    const known = group.members.get(entry.memberId);
    if (known === undefined) {
      if (this.#retired.has(entry.memberId)) return;
      this.#add(group, entry);
    } else {
      known.missingSinceMs = null;
      if (known.entry.saysPrimary !== entry.saysPrimary) this.#roleChanged(group, entry);
      known.entry = entry;
      if (!entry.isDraining) known.leavingSinceMs = null;
    }
    if (entry.isDraining) this.#leaves(group, group.members.get(entry.memberId), 'draining');
    this.options.changed(group);
  }

  #add(group: MemberGroup, entry: MemberEntry): void {
    const { groupName, memberId, zone, saysPrimary } = entry;
    group.members.set(memberId, this.options.create(entry));
    group.former.delete(memberId);
    this.options.log('member_in', { group: groupName, member: memberId, zone, primary: saysPrimary });
  }

  #roleChanged(group: MemberGroup, { memberId, saysPrimary }: MemberEntry): void {
    const isLeader = group.evidence.leader?.memberId === memberId;
    this.options.log('member_role', { group: group.name, member: memberId, primary: saysPrimary });
    if (isLeader === saysPrimary) return;
    group.evidence.loseLeader();
    this.options.leaderInDoubt(group);
  }

  #leaves(group: MemberGroup, member: Member | undefined, reason: string): void {
    if (member === undefined || member.isLeaving) return;
    member.leavingSinceMs = this.options.now();
    this.options.log('member_leaves', { group: group.name, member: member.entry.memberId, reason });
    this.options.leaderInDoubt(group);
  }

  #checkDeparture(group: MemberGroup, member: Member, now: number): void {
    const isGone =
      member.missingSinceMs !== null &&
      now >= this.#trustedFromMs &&
      now - member.missingSinceMs > GONE_HEARTBEATS * this.options.heartbeatMs;
    if (isGone) this.#leaves(group, member, 'unlisted');
    if (member.leavingSinceMs === null || now - member.leavingSinceMs < this.#serveLeavingMs()) return;
    this.#retire(group, member);
  }

  #retire(group: MemberGroup, member: Member): void {
    const { memberId } = member.entry;
    group.members.delete(memberId);
    group.former.set(memberId, member);
    if (this.#entries.has(memberId)) this.#retired.add(memberId);
    member.pool.own.close();
    if (group.evidence.leader?.memberId === memberId) group.evidence.loseLeader();
    this.options.log('member_out', { group: group.name, member: memberId });
  }

  /** For how long a leaving member is given work since this daemon heard of it, in milliseconds. */
  #serveLeavingMs(): number {
    const { leaveMs } = this.options;
    return Math.min(leaveMs * LEAVE_SHARE, leaveMs - LEAVE_MARGIN_MS - this.options.lagMs());
  }

  /** A former member whose entry has been gone for long has ended. */
  #forgetFormer(group: MemberGroup, now: number): void {
    for (const [memberId, member] of group.former) {
      if (member.missingSinceMs === null || now - member.missingSinceMs < FORMER_MS) continue;
      group.former.delete(memberId);
      this.#lastEntries.delete(memberId);
      this.options.forgotten(memberId);
    }
  }

  /** A member's entry cannot be read, so nothing is known of it: it is out of use until it is listed again, but may run on. */
  unreadable(memberId: string): void {
    const entry = this.#entries.get(memberId) ?? this.#lastEntries.get(memberId);
    if (entry === undefined) return;
    this.#entries.delete(memberId);
    this.#lastEntries.set(memberId, entry);
    const group = this.options.group(entry.groupName);
    const member = group?.members.get(memberId);
    if (group === null || member === undefined) return;
    member.missingSinceMs = null;
    this.#leaves(group, member, 'unreadable');
    this.#retire(group, member);
    this.options.changed(group);
  }
}
