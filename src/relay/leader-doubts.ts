/**
 * What this daemon finds wrong with members: it keeps requests away from them for a while, and tells the holder of the
 * promotion duty when a leader is concerned.
 *
 * @packageDocumentation
 */
import type { Suspicion, SuspicionReason } from '../cluster/peer-mesh.js';
import type { Member, MemberGroup } from '../topology/member-group.js';

/** Least time between two of the same doubts about a group, in milliseconds. */
const TELL_MS = 80;
/** Silence after which the holder of the duty is told to look at a leader, in milliseconds. */
const LEADER_SILENCE_MS = 200;
/** Share of failed requests from which on the holder of the duty is told of a leader. */
const FAILING_SHARE = 0.25;
/** Silence after which a member is avoided, in milliseconds. */
const SILENCE_MS = 350;
/** Silence after which its connections are ended, in milliseconds. */
const DEAD_MS = 1200;

/** Reasons that show that a member does not lead, or not any more. */
const DENIALS: ReadonlySet<string> = new Set(['read_only', 'lost_log']);

/** What the doubts need. */
export interface LeaderDoubtsOptions {
  readonly ownName: string;
  /** Time between two checks, in milliseconds. */
  readonly tickMs: number;
  /** Tells the holder of the duty, which may be this daemon. */
  tell(suspicion: Suspicion): void;
  /** The leader of a group has to be looked for anew. */
  wake(groupName: string): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** Doubts of one daemon. */
export class LeaderDoubts {
  readonly #toldAtMs = new Map<string, number>();

  constructor(private readonly options: LeaderDoubtsOptions) {}

  /** Looks at a group: commits that go without an answer, a leader that fails requests, members that are silent. */
  check(group: MemberGroup): void {
    const now = this.options.now();
    this.#checkStall(group, now);
    this.#checkFailures(group, now);
    for (const member of group.members.values()) this.#checkSilence(group, member, now);
  }

  /**
   * A member went silent, refused or ended connections, denied its lead (`read_only`), or lacks what the leader has said that it
   * holds (`lost_log`): another life goes by its id.
   */
  suspect(group: MemberGroup, member: Member, reason: string): void {
    // Its connections were ended on purpose, and another life goes by its id.
    if (member.hasEnded) return;
    const isLeader = isLeaderOf(group, member);
    const isDenial = DENIALS.has(reason);
    if (isDenial) {
      if (isLeader) group.evidence.loseLeader();
    } else {
      this.#avoid(group, member, reason);
    }
    if (!isLeader && !isDenial) return;
    this.options.wake(group.name);
    this.#tell(group, member, suspicionReason(reason));
  }

  #avoid(group: MemberGroup, member: Member, reason: string): void {
    const now = this.options.now();
    const { memberId } = member.entry;
    if (!member.isAvoided(now))
      this.options.log('member_suspected', { group: group.name, member: memberId, reason });
    member.avoid(now);
  }

  /** Commits at a leader that answers but cannot reach its replicas. */
  #checkStall(group: MemberGroup, now: number): void {
    if (!group.commits.isStalled(now)) return;
    const leader = group.leader(now);
    if (leader === null) return;
    this.#tell(group, leader, 'stalled');
    leader.pool.own.failWaiters('commits stall', ({ isWrite }) => isWrite);
  }

  /** A leader that fails requests though it seems well: another can take its place. */
  #checkFailures(group: MemberGroup, now: number): void {
    const leader = group.leader(now);
    if (leader !== null && leader.failureShare(now) > FAILING_SHARE) this.#tell(group, leader, 'failing');
  }

  #checkSilence(group: MemberGroup, member: Member, now: number): void {
    const { own } = member.pool;
    const silence = own.silenceMs(now);
    const isNew = silence >= LEADER_SILENCE_MS && silence < LEADER_SILENCE_MS + this.options.tickMs;
    if (isNew && isLeaderOf(group, member)) this.#tell(group, member, 'silent');
    if (silence < SILENCE_MS) return;
    this.suspect(group, member, 'silent');
    own.failWaiters('the member is silent');
    if (silence >= DEAD_MS) own.dropAll();
  }

  #tell(group: MemberGroup, member: Member, reason: SuspicionReason): void {
    const now = this.options.now();
    const key = `${group.name} ${reason}`;
    if (now - (this.#toldAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < TELL_MS) return;
    this.#toldAtMs.set(key, now);
    const { memberId } = member.entry;
    this.options.tell({ groupName: group.name, memberId, reason, reporter: this.options.ownName });
  }
}

function isLeaderOf(group: MemberGroup, member: Member): boolean {
  return group.evidence.leader?.memberId === member.entry.memberId;
}

function suspicionReason(reason: string): SuspicionReason {
  if (reason === 'silent') return 'silent';
  return DENIALS.has(reason) ? 'denied' : 'refused';
}
