/**
 * Pauses the replicas of a group: while all pauses hold, no further commit can be acknowledged.
 *
 * @packageDocumentation
 */
import type { MemberStatus } from '../relay/member-link.js';
import type { Incarnation } from '../topology/incarnation.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import type { EndedMembers } from './ended-members.js';
import type { LostIncarnations } from './lost-incarnations.js';
import type { MemberControl } from './member-control.js';
import { describeAnswer, type MissingIncarnation } from './missing-incarnation.js';

/** Time limit for a member to confirm a pause, in milliseconds. */
const PAUSE_TIMEOUT_MS = 300;
/** Time limit for a member to report its status or to confirm that it has resumed, in milliseconds. */
const STATUS_TIMEOUT_MS = 200;

/** A paused replica, with its status. */
export interface PausedReplica {
  readonly member: Member;
  readonly status: MemberStatus;
}

/** Result of pausing several members. */
export interface PauseSummary {
  readonly paused: readonly PausedReplica[];
  /** Members that may return with more than the paused ones hold. */
  readonly missing: readonly MissingIncarnation[];
  /**
   * Ended incarnations that may have received more: what remains of that is held by the next incarnation of
   * the member.
   */
  readonly ended: readonly Incarnation[];
}

/** Result of checking paused replicas again. */
export interface PauseRecheck {
  /** Those still paused, with their present status. */
  readonly stillPaused: readonly PausedReplica[];
  /** Those that are not paused any more. */
  readonly unpaused: readonly Incarnation[];
  /** Those that did not answer the status request. */
  readonly missing: readonly MissingIncarnation[];
  /** Ended incarnations that may have received more. */
  readonly ended: readonly Incarnation[];
}

/**
 * Result of pausing one member. `gone`: it has left or ended, and refuses connections; `replaced`: its next
 * incarnation is known.
 */
type PauseResult =
  | { readonly kind: 'paused'; readonly paused: PausedReplica }
  | { readonly kind: 'missing'; readonly reason: string }
  | { readonly kind: 'gone' }
  | { readonly kind: 'replaced' };

/** Pauses members, checks that they are still paused, and resumes them. */
export class ReplicaPauses {
  /** Members that were ordered to step down: the term in their status may be the one of that order. */
  readonly #demoted = new WeakSet<Member>();
  #latestTerm = 0;

  constructor(
    private readonly control: MemberControl,
    private readonly group: MemberGroup,
    private readonly ended: EndedMembers,
    private readonly lost: LostIncarnations,
    private readonly now: () => number,
  ) {}

  /** The latest term that a member was found to follow or lead. */
  get latestTerm(): number {
    return this.#latestTerm;
  }

  /** Records that a member was found to follow or lead a term. */
  observeTerm(term: number): void {
    this.#latestTerm = Math.max(this.#latestTerm, term);
  }

  /**
   * Pauses members. A member that has ended counts as missing unless a paused one is known to hold all that
   * it had received.
   *
   * @param alsoPaused - further paused replicas that may hold it
   */
  async pauseAll(
    members: readonly Member[],
    term: number,
    alsoPaused: readonly PausedReplica[],
  ): Promise<PauseSummary> {
    const results = await Promise.all(members.map((member) => this.#pause(member, term + 1)));
    const paused = results.flatMap((result) => (result.kind === 'paused' ? [result.paused] : []));
    const covering = [...alsoPaused, ...paused].map(({ member, status }) => ({
      entry: member.entry,
      received: status.received,
    }));
    const uncovered = (kind: 'gone' | 'replaced'): readonly Member[] => {
      const ended = members.filter((_, index) => results[index]?.kind === kind);
      return this.ended.uncovered(ended, covering);
    };
    const missing = members.flatMap((member, index) => {
      const result = results[index];
      return result?.kind === 'missing' ? [this.#toMissing(member, result.reason)] : [];
    });
    const gone = uncovered('gone').map((member) => this.#toMissing(member, this.#goneReason(member)));
    return {
      paused,
      missing: [...missing, ...gone],
      ended: uncovered('replaced').map(({ entry }) => entry),
    };
  }

  /**
   * Pauses one member; one that still leads is demoted first. A former member that refuses connections is
   * `gone`.
   */
  async #pause(member: Member, term: number): Promise<PauseResult> {
    const { control } = this;
    if (member.hasEnded) return { kind: 'replaced' };
    let reason = '';
    for (let attempt = 0; attempt < 2; attempt += 1) {
      let answer = await control.ask(member, { kind: 'pause', term }, PAUSE_TIMEOUT_MS);
      if (answer.kind === 'answered' && answer.status.isPrimary) {
        if (answer.status.term < term) this.#demoted.add(member);
        await control.ask(member, { kind: 'demote', term }, PAUSE_TIMEOUT_MS);
        answer = await control.ask(member, { kind: 'pause', term }, PAUSE_TIMEOUT_MS);
      }
      if (answer.kind === 'answered') {
        const paused = this.#recordStatus(member, answer.status, term);
        return paused === null
          ? { kind: 'missing', reason: describeAnswer(answer) }
          : { kind: 'paused', paused };
      }
      reason = describeAnswer(answer);
      if (answer.kind !== 'refused') continue;
      return this.#isKnownToEnd(member) ? { kind: 'gone' } : { kind: 'missing', reason };
    }
    return { kind: 'missing', reason };
  }

  /**
   * Checks paused replicas again. One that has lost its pause in a restart may have received commits since,
   * and may have given evidence to a daemon that was not sent the revoke order; so may one that does not
   * answer.
   *
   * @param leaderId - the member that led the term
   */
  async recheck(
    paused: readonly PausedReplica[],
    term: number,
    leaderId: string | null,
  ): Promise<PauseRecheck> {
    const answers = await Promise.all(
      paused.map(({ member }) => this.control.ask(member, { kind: 'status' }, STATUS_TIMEOUT_MS)),
    );
    const stillPaused: PausedReplica[] = [];
    const unpaused: Incarnation[] = [];
    const unanswered: MissingIncarnation[] = [];
    const replaced: Incarnation[] = [];
    paused.forEach(({ member }, index) => {
      const answer = answers[index];
      // An answer at its address comes from another incarnation, which is a member of its own.
      if (member.hasEnded) return void replaced.push(member.entry);
      if (answer?.kind !== 'answered') {
        const reason = answer === undefined ? 'not asked' : describeAnswer(answer);
        return void unanswered.push(this.#toMissing(member, reason));
      }
      const current = this.#recordStatus(member, answer.status, term);
      if (current === null) unpaused.push(member.entry);
      else stillPaused.push(current);
    });
    const received = stillPaused.map(({ status }) => status.received);
    const ended = [...replaced, ...this.lost.uncovered(received, leaderId, this.now())];
    return { stillPaused, unpaused, missing: unanswered, ended };
  }

  #toMissing({ entry, answeredAtMs }: Member, reason: string): MissingIncarnation {
    const { memberId, bornMs } = entry;
    const silentMs = Number.isFinite(answeredAtMs) ? this.now() - answeredAtMs : null;
    return { memberId, bornMs, reason, silentMs };
  }

  /** Why a member that refuses connections is not covered by the paused ones. */
  #goneReason(member: Member): string {
    return this.ended.hasLimit(member)
      ? 'ended, and no paused replica has reached its limit'
      : 'refuses, and is not known to have ended';
  }

  /**
   * True for a former member, and for one that ended while the leader could still report the position of the
   * log.
   */
  #isKnownToEnd(member: Member): boolean {
    return this.ended.hasLimit(member) || [...this.group.former.values()].includes(member);
  }

  /** Records the status of a member; returns `null` for a member that is not paused. */
  #recordStatus(member: Member, status: MemberStatus, term: number): PausedReplica | null {
    if (!this.#demoted.has(member)) this.observeTerm(status.term);
    if (!status.isPrimary) this.lost.recordStatus(member, status, this.now());
    return toPaused(member, status, term);
  }

  /** Ends the pause of members, so that they receive again. */
  async resumeAll(members: readonly Member[]): Promise<void> {
    await Promise.all(
      members.map((member) => this.control.ask(member, { kind: 'resume' }, STATUS_TIMEOUT_MS)),
    );
  }
}

function toPaused(member: Member, status: MemberStatus, term: number): PausedReplica | null {
  const isStopped = !status.isPrimary && (status.pausedForTerm >= term || status.term >= term);
  return isStopped ? { member, status } : null;
}
