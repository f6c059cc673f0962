/**
 * The members as the directory lists them: when one is given work, when one that leaves is given no more, and when an id goes
 * over from one life to the next.
 *
 * A directory that does not answer says nothing: entries that vanish meanwhile, or soon after, mean nothing.
 *
 * An entry with a younger start than the one known under its id is the end of one member and the arrival of another,
 * wherever and however it is listed. The life that ended is kept in mind for a while, since a commit may have been acknowledged
 * on its word alone. An entry with an older start is a late view, and changes nothing.
 *
 * @packageDocumentation
 */
import { compareIncarnations, type Succession } from './incarnation.js';
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
  /** A member's life has ended: nothing that this daemon does for others over its connections goes on. */
  ended(member: Member): void;
  /** The daemon's own connections to a member end. */
  forgotten(memberId: string): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** What is known of an id. */
interface Known {
  /** That of its youngest life. */
  entry: MemberEntry;
  /** Since when that life has been known, in monotonic milliseconds; see {@link Member.knownSinceMs}. */
  readonly sinceMs: number;
  /** Since when no entry has stood under the id, in monotonic milliseconds; `null` while one does. */
  unlistedSinceMs: number | null;
  /** False while what stands under the id is no entry. */
  isReadable: boolean;
  /** The life has left and must not be used, though its entry may still stand. */
  isRetired: boolean;
}

/** Why a member is given no more work. */
type Departure = 'left' | 'unreadable' | 'reborn' | 'moved';

/** Follows the directory. */
export class MemberDirectory {
  readonly #known = new Map<string, Known>();
  /** Ids under which no entry stands, those first that were unlisted first. */
  readonly #unlisted = new Set<string>();
  /** Ids whose entry says that a member which was leaving leaves no more, told while the directory may be behind. */
  readonly #unsettled = new Set<string>();
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
  listed(told: MemberEntry): void {
    const known = this.#remembered(told.memberId);
    if (known === null) {
      this.#arrives(told);
      return;
    }
    switch (successionOf(known.entry, told)) {
      case 'older':
        return;
      case 'younger':
        this.#reborn(known.entry, told);
        return;
      case 'same':
        this.#stands(known);
        known.entry = { ...told, bornMs: told.bornMs ?? known.entry.bornMs };
        this.#place(known);
    }
  }

  /** It lists a member no longer. */
  unlisted(memberId: string): void {
    const known = this.#known.get(memberId);
    if (known === undefined || known.unlistedSinceMs !== null) return;
    const now = this.options.now();
    known.unlistedSinceMs = now;
    known.isRetired = false;
    this.#unlisted.add(memberId);
    const member = this.#memberOf(known.entry);
    if (member !== null) member.missingSinceMs = now;
    this.#forgetIds();
  }

  /** What stands under an id that may have been a member's can't be read: it names no member to use until it can. */
  unreadable(memberId: string): void {
    const known = this.#remembered(memberId);
    if (known === null) return;
    this.#stands(known);
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

  /** Fills a group that is watched from now on. */
  fill(group: MemberGroup): void {
    for (const known of this.#known.values())
      if (known.entry.groupName === group.name && isListed(known)) this.#place(known);
  }

  /** Looks who has left; to be called every some ten milliseconds. */
  check(group: MemberGroup): void {
    const now = this.options.now();
    if (this.#isSettled) this.#placeUnsettled();
    for (const member of [...group.members.values()]) this.#checkDeparture(group, member, now);
    this.#forgetFormer(group, now);
  }

  /**
   * False while the directory is away, and until its members have had time to write again: a directory that comes back from a copy
   * shows older entries meanwhile, by which a member that leaves would be given its time anew.
   */
  get #isSettled(): boolean {
    return this.options.now() >= this.#trustedFromMs;
  }

  /** Takes at their word the entries that still stand. */
  #placeUnsettled(): void {
    for (const memberId of this.#unsettled) {
      const known = this.#known.get(memberId);
      if (known !== undefined && isListed(known)) this.#place(known);
    }
    this.#unsettled.clear();
  }

  /** What is known of an id; `null` when that was long ago. */
  #remembered(memberId: string): Known | null {
    const known = this.#known.get(memberId);
    if (known === undefined) return null;
    const { unlistedSinceMs, entry } = known;
    const isRecent = unlistedSinceMs === null || this.options.now() - unlistedSinceMs < FORMER_MS;
    return isRecent || this.#memberOf(entry) !== null ? known : null;
  }

  /** The member that lives the life of an entry, whether it is given work or not. */
  #memberOf({ groupName, memberId }: MemberEntry): Member | null {
    const group = this.options.group(groupName);
    return group?.members.get(memberId) ?? group?.formerOf(memberId) ?? null;
  }

  /** Forgets ids that were unlisted long ago. */
  #forgetIds(): void {
    for (const memberId of this.#unlisted) {
      if (this.#remembered(memberId) !== null) return;
      this.#unlisted.delete(memberId);
      this.#known.delete(memberId);
    }
  }

  /** An entry stands under an id. */
  #stands(known: Known): void {
    known.unlistedSinceMs = null;
    known.isReadable = true;
    this.#unlisted.delete(known.entry.memberId);
  }

  #arrives(entry: MemberEntry): void {
    const sinceMs = this.#isLoaded ? this.options.now() : Number.NEGATIVE_INFINITY;
    const known = { entry, sinceMs, unlistedSinceMs: null, isReadable: true, isRetired: false };
    this.#known.set(entry.memberId, known);
    this.#unlisted.delete(entry.memberId);
    this.#place(known);
  }

  /** Another life goes by an id. */
  #reborn(before: MemberEntry, entry: MemberEntry): void {
    const { groupName, memberId, bornMs } = entry;
    const group = this.options.group(before.groupName);
    if (group !== null) this.#end(group, memberId);
    if (group !== null || this.options.group(groupName) !== null) {
      const details = { group: groupName, member: memberId, born: bornMs, before: before.bornMs };
      this.options.log('member_reborn', details);
    }
    this.#arrives(entry);
    if (group !== null && group.name !== groupName) this.options.changed(group);
  }

  /** The life that goes by an id in a group is over, whether it is given work or not. */
  #end(group: MemberGroup, memberId: string): void {
    const used = group.members.get(memberId);
    const member = used ?? group.formerOf(memberId);
    if (member !== null) {
      group.members.delete(memberId);
      group.keepFormer(member);
      member.missingSinceMs = this.options.now();
      this.#cutOff(member);
    }
    if (used !== undefined) this.#logOut(group, used, 'reborn');
    if (group.evidence.leader?.memberId !== memberId) return;
    group.evidence.clearLeader();
    this.options.leaderInDoubt(group);
  }

  /** Ends everything that goes on with a member: whoever answers for it is another. */
  #cutOff(member: Member): void {
    member.hasEnded = true;
    this.options.ended(member);
    member.pool.end();
    this.options.forgotten(member.entry.memberId);
  }

  #place(known: Known): void {
    const { entry } = known;
    const group = this.options.group(entry.groupName);
    if (group === null) return;
    const member = this.#memberOf(entry);
    const isUsed = group.members.has(entry.memberId);
    if (!isUsed && known.isRetired) return;
    if (member === null) this.#add(group, known);
    else if (!isAtSameAddress(member.entry, entry)) this.#move(group, member, known);
    else if (isUsed) this.#update(group, member, entry);
    else if (!this.#isSettled && member.isLeaving) this.#unsettled.add(entry.memberId);
    else this.#takeBack(group, member, entry);
    if (entry.isDraining) this.#leaves(group, group.members.get(entry.memberId), 'draining');
    this.options.changed(group);
  }

  #add(group: MemberGroup, { entry, sinceMs }: Known): void {
    const member = this.options.create(entry);
    member.knownSinceMs = sinceMs;
    group.members.set(entry.memberId, member);
    this.#logIn(group, entry);
  }

  /** The life of a former member is given work again. If it still drains, it has no more time for it than before. */
  #takeBack(group: MemberGroup, member: Member, entry: MemberEntry): void {
    group.dropFormer(member);
    member.pool.own.reopen();
    group.members.set(entry.memberId, member);
    this.#logIn(group, entry);
    this.#update(group, member, entry);
  }

  #update(group: MemberGroup, member: Member, entry: MemberEntry): void {
    member.missingSinceMs = null;
    if (member.entry.saysPrimary !== entry.saysPrimary) this.#roleChanged(group, entry);
    member.entry = entry;
    if (entry.isDraining || !member.isLeaving) return;
    if (this.#isSettled) member.leavingSinceMs = null;
    else this.#unsettled.add(entry.memberId);
  }

  /** The same life is reached elsewhere: connections are bound to an address. */
  #move(group: MemberGroup, member: Member, known: Known): void {
    const { entry } = known;
    this.#cutOff(member);
    group.dropFormer(member);
    if (group.members.delete(entry.memberId)) this.#logOut(group, member, 'moved');
    this.#add(group, known);
    const moved = group.members.get(entry.memberId);
    if (moved !== undefined && entry.isDraining) moved.leavingSinceMs = member.leavingSinceMs;
    if (member.entry.saysPrimary !== entry.saysPrimary) this.#roleChanged(group, entry);
  }

  #roleChanged(group: MemberGroup, { memberId, bornMs, saysPrimary }: MemberEntry): void {
    const isLeader = group.evidence.leader?.memberId === memberId;
    const details = { group: group.name, member: memberId, born: bornMs, primary: saysPrimary };
    this.options.log('member_role', details);
    if (isLeader === saysPrimary) return;
    group.evidence.clearLeader();
    this.options.leaderInDoubt(group);
  }

  #leaves(group: MemberGroup, member: Member | undefined, reason: string): void {
    if (member === undefined || member.isLeaving) return;
    member.leavingSinceMs = this.options.now();
    const { memberId, bornMs } = member.entry;
    this.options.log('member_leaves', { group: group.name, member: memberId, born: bornMs, reason });
    this.options.leaderInDoubt(group);
  }

  #checkDeparture(group: MemberGroup, member: Member, now: number): void {
    const isGone =
      member.missingSinceMs !== null &&
      this.#isSettled &&
      now - member.missingSinceMs > GONE_HEARTBEATS * this.options.heartbeatMs;
    if (isGone) this.#leaves(group, member, 'unlisted');
    if (member.leavingSinceMs === null || now - member.leavingSinceMs < this.#serveLeavingMs()) return;
    const known = this.#known.get(member.entry.memberId);
    if (known !== undefined && isListed(known)) known.isRetired = true;
    this.#retire(group, member, 'left');
  }

  #retire(group: MemberGroup, member: Member, reason: Departure): void {
    const { memberId } = member.entry;
    group.members.delete(memberId);
    group.keepFormer(member);
    member.pool.own.close();
    if (group.evidence.leader?.memberId === memberId) group.evidence.clearLeader();
    this.#logOut(group, member, reason);
  }

  #logIn(group: MemberGroup, { memberId, bornMs, zone, saysPrimary }: MemberEntry): void {
    const details = { group: group.name, member: memberId, born: bornMs, zone, primary: saysPrimary };
    this.options.log('member_in', details);
  }

  #logOut(group: MemberGroup, { entry }: Member, reason: Departure): void {
    const { memberId, bornMs } = entry;
    this.options.log('member_out', { group: group.name, member: memberId, born: bornMs, reason });
  }

  /** For how long a leaving member is given work since this daemon heard of it, in milliseconds. */
  #serveLeavingMs(): number {
    const { leaveMs } = this.options;
    return Math.min(leaveMs * LEAVE_SHARE, leaveMs - LEAVE_MARGIN_MS - this.options.lagMs());
  }

  /** A former member whose entry has been gone for long, or that ended long ago, is kept in mind no longer. */
  #forgetFormer(group: MemberGroup, now: number): void {
    for (const [key, { entry, missingSinceMs, hasEnded }] of group.former) {
      if (missingSinceMs === null || now - missingSinceMs < FORMER_MS) continue;
      group.former.delete(key);
      // What goes by the id of a life that ended is the next one's.
      if (!hasEnded) this.options.forgotten(entry.memberId);
    }
  }
}

/** True while an entry that can be read stands under an id. */
function isListed({ unlistedSinceMs, isReadable }: Known): boolean {
  return unlistedSinceMs === null && isReadable;
}

function isAtSameAddress(known: MemberEntry, told: MemberEntry): boolean {
  return known.host === told.host && known.port === told.port;
}

/**
 * How an entry stands to the one that is known. A process stays in its group, whose log it holds, and where an entry does not say
 * when it started, also at its address.
 */
function successionOf(known: MemberEntry, told: MemberEntry): Succession {
  const succession = compareIncarnations(known, told);
  if (succession !== 'same') return succession;
  if (known.groupName !== told.groupName) return 'younger';
  const isCertain = known.bornMs !== null && told.bornMs !== null;
  return isCertain || isAtSameAddress(known, told) ? 'same' : 'younger';
}
