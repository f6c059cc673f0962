/**
 * Tracks the members listed in the directory: when a member starts to receive requests, when a leaving member
 * stops receiving them, and when a member id passes from one incarnation to the next.
 *
 * Entries that disappear while the directory is unavailable, or soon after, are not taken as removed.
 *
 * An entry with a later start time than the known one under its id ends the known incarnation and adds a new
 * member, whatever else the entry contains. The ended incarnation is retained for a while, because a commit
 * may have been acknowledged only because that one received it. An entry with an earlier start time is
 * outdated and changes nothing.
 *
 * @packageDocumentation
 */
import { compareIncarnations, type IncarnationOrder } from './incarnation.js';
import type { Member, MemberEntry, MemberGroup } from './member-group.js';
import { ProcessContinuity } from './process-continuity.js';

/** Share of the leave time during which a leaving member may still receive requests. */
const LEAVE_SERVING_SHARE = 0.75;
/** Minimum part of the leave time reserved for requests in progress, in milliseconds. */
const MIN_LEAVE_MARGIN_MS = 500;
/** For how long a member without an entry may still run, in milliseconds. */
const FORMER_RETENTION_MS = 30_000;
/** Time after the directory becomes available in which missing entries are ignored, in heartbeats. */
const SETTLE_HEARTBEATS = 4;
/** Time for which an entry may be missing before its member counts as leaving, in heartbeats. */
const UNLISTED_GRACE_HEARTBEATS = 1.2;

/** Settings and callbacks of the directory. */
export interface MemberDirectoryOptions {
  /** Leave time: how long a leaving member may still be sent requests, in milliseconds. */
  readonly leaveMs: number;
  /** Interval between the heartbeats of a member, in milliseconds. */
  readonly heartbeatMs: number;
  /** Maximum delay with which this daemon learns of a change in the directory, in milliseconds. */
  lagMs(): number;
  /** The group of that name if it is watched, or `null`. */
  group(name: string): MemberGroup | null;
  /** Creates a member that receives requests from now on. */
  create(entry: MemberEntry): Member;
  /** The members of a group have changed. */
  changed(group: MemberGroup): void;
  /** The leader of a group is leaving, has ended, or is reported to lead no longer. */
  leaderInDoubt(group: MemberGroup): void;
  /**
   * An incarnation has ended: requests that this daemon runs for other daemons over its connections must
   * stop.
   */
  incarnationEnded(member: Member): void;
  /** The daemon's control connections to a member have to be closed. */
  closeControlConnections(memberId: string): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** What is known of a member id. */
interface KnownMember {
  /** Entry of its latest incarnation. */
  entry: MemberEntry;
  /**
   * Since when that incarnation has been known, in monotonic milliseconds; see {@link Member.knownSinceMs}.
   */
  readonly knownSinceMs: number;
  /** Signs that another process answers for it; kept while its group is not watched. */
  readonly continuity: ProcessContinuity;
  /** Since when the id has had no entry, in monotonic milliseconds; `null` while it has one. */
  unlistedSinceMs: number | null;
  /** False while the value stored under the id cannot be parsed as an entry. */
  isReadable: boolean;
  /** True if the incarnation has left and must not be used, although its entry may still exist. */
  isRetired: boolean;
}

/** Why a member no longer receives requests. */
type RemovalReason = 'left' | 'unreadable' | 'reborn' | 'moved';

/** Applies the contents of the directory to the watched groups. */
export class MemberDirectory {
  readonly #known = new Map<string, KnownMember>();
  /** Ids without an entry, in the order in which they became unlisted. */
  readonly #unlisted = new Set<string>();
  /**
   * Ids of leaving members whose entries say that they no longer leave, received while the directory may be
   * outdated.
   */
  readonly #deferred = new Set<string>();
  #isLoaded = false;
  #isAvailable = false;
  #settledFromMs = Number.POSITIVE_INFINITY;

  constructor(private readonly options: MemberDirectoryOptions) {}

  /** True once the directory has been read completely. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** The directory has been read completely. */
  loaded(): void {
    this.#isLoaded = true;
    this.availability(true);
  }

  /** The directory has become available or unavailable. */
  availability(isAvailable: boolean): void {
    if (isAvailable === this.#isAvailable) return;
    this.#isAvailable = isAvailable;
    const settleMs = SETTLE_HEARTBEATS * this.options.heartbeatMs;
    this.#settledFromMs = isAvailable ? this.options.now() + settleMs : Number.POSITIVE_INFINITY;
  }

  /** The directory lists a member with this entry. */
  listed(reported: MemberEntry): void {
    const known = this.#findKnown(reported.memberId);
    if (known === null) {
      this.#addIncarnation(reported);
      return;
    }
    switch (compareEntries(known.entry, reported)) {
      case 'older':
        return;
      case 'younger':
        this.#replaceIncarnation(known.entry, reported);
        return;
      case 'same':
        this.#markListed(known);
        known.entry = { ...reported, bornMs: reported.bornMs ?? known.entry.bornMs };
        this.#applyEntry(known);
    }
  }

  /** The directory no longer lists a member. */
  unlisted(memberId: string): void {
    const known = this.#known.get(memberId);
    if (known === undefined || known.unlistedSinceMs !== null) return;
    const now = this.options.now();
    known.unlistedSinceMs = now;
    known.isRetired = false;
    this.#unlisted.add(memberId);
    const member = this.#memberOf(known.entry);
    if (member !== null) member.missingSinceMs = now;
    this.#discardUnlisted();
  }

  /**
   * The value stored under an id cannot be parsed; its member, if any, is not used until there is a readable
   * entry.
   */
  unreadable(memberId: string): void {
    const known = this.#findKnown(memberId);
    if (known === null) return;
    this.#markListed(known);
    known.isReadable = false;
    const member = this.#memberOf(known.entry);
    if (member !== null) member.missingSinceMs = null;
    const group = this.options.group(known.entry.groupName);
    const used = group?.members.get(memberId);
    if (group === null || used === undefined) return;
    const hasLed = group.evidence.leader?.memberId === memberId;
    this.#retire(group, used, 'unreadable');
    if (hasLed) this.options.leaderInDoubt(group);
    this.options.changed(group);
  }

  /** Adds the listed members to a group that is watched from now on. */
  addListedMembers(group: MemberGroup): void {
    for (const known of this.#known.values())
      if (known.entry.groupName === group.name && isListed(known)) this.#applyEntry(known);
  }

  /** Removes members that have left; to be called at intervals of some tens of milliseconds. */
  check(group: MemberGroup): void {
    const now = this.options.now();
    if (this.#isSettled) this.#applyDeferred();
    for (const member of [...group.members.values()]) this.#checkDeparture(group, member, now);
    this.#discardFormer(group, now);
  }

  /**
   * False while the directory is unavailable, and until the members have had time to update their entries. A
   * directory restored from a backup contains older entries until then, which would give a leaving member its
   * full leave time again.
   */
  get #isSettled(): boolean {
    return this.options.now() >= this.#settledFromMs;
  }

  /** Applies the deferred entries that still exist. */
  #applyDeferred(): void {
    for (const memberId of this.#deferred) {
      const known = this.#known.get(memberId);
      if (known !== undefined && isListed(known)) this.#applyEntry(known);
    }
    this.#deferred.clear();
  }

  /**
   * What is known of an id, or `null` if it is unknown or has been unlisted for longer than the retention
   * time.
   */
  #findKnown(memberId: string): KnownMember | null {
    const known = this.#known.get(memberId);
    if (known === undefined) return null;
    const { unlistedSinceMs, entry } = known;
    const isRecent = unlistedSinceMs === null || this.options.now() - unlistedSinceMs < FORMER_RETENTION_MS;
    return isRecent || this.#memberOf(entry) !== null ? known : null;
  }

  /** The current or former member of an entry's incarnation, or `null`. */
  #memberOf({ groupName, memberId }: MemberEntry): Member | null {
    const group = this.options.group(groupName);
    return group?.members.get(memberId) ?? group?.findFormer(memberId) ?? null;
  }

  /** Discards ids that have been unlisted for longer than the retention time. */
  #discardUnlisted(): void {
    for (const memberId of this.#unlisted) {
      if (this.#findKnown(memberId) !== null) return;
      this.#unlisted.delete(memberId);
      this.#known.delete(memberId);
    }
  }

  #markListed(known: KnownMember): void {
    known.unlistedSinceMs = null;
    known.isReadable = true;
    this.#unlisted.delete(known.entry.memberId);
  }

  #addIncarnation(entry: MemberEntry): void {
    const knownSinceMs = this.#isLoaded ? this.options.now() : Number.NEGATIVE_INFINITY;
    const continuity = new ProcessContinuity();
    const known = {
      entry,
      knownSinceMs,
      continuity,
      unlistedSinceMs: null,
      isReadable: true,
      isRetired: false,
    };
    this.#known.set(entry.memberId, known);
    this.#unlisted.delete(entry.memberId);
    this.#applyEntry(known);
  }

  /** An id has passed to another incarnation. */
  #replaceIncarnation(before: MemberEntry, entry: MemberEntry): void {
    const { groupName, memberId, bornMs } = entry;
    const group = this.options.group(before.groupName);
    if (group !== null) this.#endIncarnation(group, memberId);
    if (group !== null || this.options.group(groupName) !== null) {
      const details = { group: groupName, member: memberId, born: bornMs, before: before.bornMs };
      this.options.log('member_reborn', details);
    }
    this.#addIncarnation(entry);
    if (group !== null && group.name !== groupName) this.options.changed(group);
  }

  /** Ends the incarnation that has an id in a group, whether it receives requests or not. */
  #endIncarnation(group: MemberGroup, memberId: string): void {
    const used = group.members.get(memberId);
    const member = used ?? group.findFormer(memberId);
    if (member !== null) {
      group.members.delete(memberId);
      group.addFormer(member);
      member.missingSinceMs = this.options.now();
      this.#closeConnections(member);
    }
    if (used !== undefined) this.#logRemoved(group, used, 'reborn');
    if (group.evidence.leader?.memberId !== memberId) return;
    group.evidence.clearLeader();
    this.options.leaderInDoubt(group);
  }

  /**
   * Closes all connections to a member whose incarnation has ended; any further answer would come from
   * another one.
   */
  #closeConnections(member: Member): void {
    member.hasEnded = true;
    this.options.incarnationEnded(member);
    member.pool.end();
    this.options.closeControlConnections(member.entry.memberId);
  }

  #applyEntry(known: KnownMember): void {
    const { entry } = known;
    const group = this.options.group(entry.groupName);
    if (group === null) return;
    const member = this.#memberOf(entry);
    const isUsed = group.members.has(entry.memberId);
    if (!isUsed && known.isRetired) return;
    if (member === null) this.#add(group, known);
    else if (!isAtSameAddress(member.entry, entry)) this.#move(group, member, known);
    else if (isUsed) this.#update(group, member, entry);
    else if (!this.#isSettled && member.isLeaving) this.#deferred.add(entry.memberId);
    else this.#readmit(group, member, entry);
    if (entry.isDraining) this.#markLeaving(group, group.members.get(entry.memberId), 'draining');
    this.options.changed(group);
  }

  #add(group: MemberGroup, { entry, knownSinceMs, continuity }: KnownMember): void {
    const member = this.options.create(entry);
    member.knownSinceMs = knownSinceMs;
    member.continuity = continuity;
    group.members.set(entry.memberId, member);
    this.#logAdded(group, entry);
  }

  /** A former member receives requests again. If it is still draining, its leave time is not extended. */
  #readmit(group: MemberGroup, member: Member, entry: MemberEntry): void {
    group.removeFormer(member);
    member.pool.ownPool.reopen();
    group.members.set(entry.memberId, member);
    this.#logAdded(group, entry);
    this.#update(group, member, entry);
  }

  #update(group: MemberGroup, member: Member, entry: MemberEntry): void {
    member.missingSinceMs = null;
    if (member.entry.saysPrimary !== entry.saysPrimary) this.#handleRoleChange(group, entry);
    member.entry = entry;
    if (entry.isDraining || !member.isLeaving) return;
    if (this.#isSettled) member.leavingSinceMs = null;
    else this.#deferred.add(entry.memberId);
  }

  /**
   * Replaces a member whose incarnation has moved to another address, because connections are bound to an
   * address.
   */
  #move(group: MemberGroup, member: Member, known: KnownMember): void {
    const { entry } = known;
    this.#closeConnections(member);
    group.removeFormer(member);
    if (group.members.delete(entry.memberId)) this.#logRemoved(group, member, 'moved');
    this.#add(group, known);
    const moved = group.members.get(entry.memberId);
    if (moved !== undefined && entry.isDraining) moved.leavingSinceMs = member.leavingSinceMs;
    if (member.entry.saysPrimary !== entry.saysPrimary) this.#handleRoleChange(group, entry);
  }

  #handleRoleChange(group: MemberGroup, { memberId, bornMs, saysPrimary }: MemberEntry): void {
    const isLeader = group.evidence.leader?.memberId === memberId;
    const details = { group: group.name, member: memberId, born: bornMs, primary: saysPrimary };
    this.options.log('member_role', details);
    if (isLeader === saysPrimary) return;
    group.evidence.clearLeader();
    this.options.leaderInDoubt(group);
  }

  #markLeaving(group: MemberGroup, member: Member | undefined, reason: string): void {
    if (member === undefined || member.isLeaving) return;
    member.leavingSinceMs = this.options.now();
    const { memberId, bornMs } = member.entry;
    this.options.log('member_leaves', { group: group.name, member: memberId, born: bornMs, reason });
    this.options.leaderInDoubt(group);
  }

  #checkDeparture(group: MemberGroup, member: Member, now: number): void {
    const isUnlistedTooLong =
      member.missingSinceMs !== null &&
      this.#isSettled &&
      now - member.missingSinceMs > UNLISTED_GRACE_HEARTBEATS * this.options.heartbeatMs;
    if (isUnlistedTooLong) this.#markLeaving(group, member, 'unlisted');
    if (member.leavingSinceMs === null || now - member.leavingSinceMs < this.#leavingServiceMs()) return;
    const known = this.#known.get(member.entry.memberId);
    if (known !== undefined && isListed(known)) known.isRetired = true;
    this.#retire(group, member, 'left');
  }

  #retire(group: MemberGroup, member: Member, reason: RemovalReason): void {
    const { memberId } = member.entry;
    group.members.delete(memberId);
    group.addFormer(member);
    member.pool.ownPool.close();
    if (group.evidence.leader?.memberId === memberId) group.evidence.clearLeader();
    this.#logRemoved(group, member, reason);
  }

  #logAdded(group: MemberGroup, { memberId, bornMs, zone, saysPrimary }: MemberEntry): void {
    const details = { group: group.name, member: memberId, born: bornMs, zone, primary: saysPrimary };
    this.options.log('member_in', details);
  }

  #logRemoved(group: MemberGroup, { entry }: Member, reason: RemovalReason): void {
    const { memberId, bornMs } = entry;
    this.options.log('member_out', { group: group.name, member: memberId, born: bornMs, reason });
  }

  /**
   * For how long a leaving member receives requests, from when this daemon learned that it leaves, in
   * milliseconds.
   */
  #leavingServiceMs(): number {
    const { leaveMs } = this.options;
    return Math.min(leaveMs * LEAVE_SERVING_SHARE, leaveMs - MIN_LEAVE_MARGIN_MS - this.options.lagMs());
  }

  /** Discards former members that have been unlisted, or have ended, for longer than the retention time. */
  #discardFormer(group: MemberGroup, now: number): void {
    for (const [key, { entry, missingSinceMs, hasEnded }] of group.former) {
      if (missingSinceMs === null || now - missingSinceMs < FORMER_RETENTION_MS) continue;
      group.former.delete(key);
      // After an incarnation has ended, the control connections under its id belong to the next one.
      if (!hasEnded) this.options.closeControlConnections(entry.memberId);
    }
  }
}

/** True while the id has a readable entry. */
function isListed({ unlistedSinceMs, isReadable }: KnownMember): boolean {
  return unlistedSinceMs === null && isReadable;
}

function isAtSameAddress(known: MemberEntry, reported: MemberEntry): boolean {
  return known.host === reported.host && known.port === reported.port;
}

/**
 * Compares the incarnations of a reported entry and the known one. A process never changes its group, whose
 * log it holds. If an entry has no start time, a changed address also means another process.
 */
function compareEntries(known: MemberEntry, reported: MemberEntry): IncarnationOrder {
  const order = compareIncarnations(known, reported);
  if (order !== 'same') return order;
  if (known.groupName !== reported.groupName) return 'younger';
  const isCertain = known.bornMs !== null && reported.bornMs !== null;
  return isCertain || isAtSameAddress(known, reported) ? 'same' : 'younger';
}
