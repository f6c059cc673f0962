/**
 * Pauses of the replicas of a group: while they stand, nothing more can be acknowledged.
 *
 * @packageDocumentation
 */
import type { MemberStatus } from '../relay/member-link.js';
import type { Incarnation } from '../topology/incarnation.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import type { EndedMembers } from './ended-members.js';
import type { LostIncarnations } from './lost-incarnations.js';
import type { MemberControl } from './member-control.js';
import { describeAnswer, type MissingLife } from './missing-life.js';

/** Longest wait for a pause, in milliseconds. */
const PAUSE_MS = 300;
/** Longest wait for a member's status, or until it has resumed, in milliseconds. */
const STATUS_MS = 200;

/** A paused replica. */
export interface Paused {
  readonly member: Member;
  readonly status: MemberStatus;
}

/** How the pauses went. */
export interface Pauses {
  readonly paused: readonly Paused[];
  /** Members that may come back with more than the paused ones hold. */
  readonly missing: readonly MissingLife[];
  /** Lives that have ended, and may have received more: the next life of each has what is left of it. */
  readonly ended: readonly Incarnation[];
}

/** What a second look at paused replicas has found. */
export interface SecondLook {
  /** With what they have received by now. */
  readonly standing: readonly Paused[];
  readonly lost: readonly Incarnation[];
  /** Those that did not answer. */
  readonly missing: readonly MissingLife[];
  /** Those whose earlier life may have received more. */
  readonly ended: readonly Incarnation[];
}

/** How the pause of one member went. `gone`: its process has ended, and may come back; `replaced`: its next life is known. */
type PauseResult =
  | { readonly kind: 'paused'; readonly paused: Paused }
  | { readonly kind: 'missing'; readonly reason: string }
  | { readonly kind: 'gone' }
  | { readonly kind: 'replaced' };

/** Pauses members, looks whether the pauses stand, and lifts them. */
export class ReplicaPauses {
  /** Members that were told to step down: the term that they name may be the one of that order. */
  readonly #demoted = new WeakSet<Member>();
  #latestTerm = 0;

  constructor(
    private readonly control: MemberControl,
    private readonly group: MemberGroup,
    private readonly ended: EndedMembers,
    private readonly lost: LostIncarnations,
    private readonly now: () => number,
  ) {}

  /** The latest term that a member was seen to follow. */
  get latestTerm(): number {
    return this.#latestTerm;
  }

  /** A member was seen to follow, or lead, a term. */
  noteTerm(term: number): void {
    this.#latestTerm = Math.max(this.#latestTerm, term);
  }

  /**
   * Pauses members. One that has ended is missing unless another is known to hold what it had.
   *
   * @param pausedBefore - others that may
   */
  async pauseAll(members: readonly Member[], term: number, pausedBefore: readonly Paused[]): Promise<Pauses> {
    const results = await Promise.all(members.map((member) => this.#pause(member, term + 1)));
    const paused = results.flatMap((result) => (result.kind === 'paused' ? [result.paused] : []));
    const covering = [...pausedBefore, ...paused].map(({ member, status }) => ({
      entry: member.entry,
      received: status.received,
    }));
    const uncovered = (kind: 'gone' | 'replaced'): readonly Member[] => {
      const ended = members.filter((_, index) => results[index]?.kind === kind);
      return this.ended.uncovered(ended, covering);
    };
    const missing = members.flatMap((member, index) => {
      const result = results[index];
      return result?.kind === 'missing' ? [this.#missingLife(member, result.reason)] : [];
    });
    const gone = uncovered('gone').map((member) => this.#missingLife(member, this.#whyGone(member)));
    return {
      paused,
      missing: [...missing, ...gone],
      ended: uncovered('replaced').map(({ entry }) => entry),
    };
  }

  /** Pauses one member; one that still leads is demoted. A former member that does not run is gone. */
  async #pause(member: Member, term: number): Promise<PauseResult> {
    const { control } = this;
    if (member.hasEnded) return { kind: 'replaced' };
    let reason = '';
    for (let attempt = 0; attempt < 2; attempt += 1) {
      let answer = await control.ask(member, { kind: 'pause', term }, PAUSE_MS);
      if (answer.kind === 'answered' && answer.status.isPrimary) {
        if (answer.status.term < term) this.#demoted.add(member);
        await control.ask(member, { kind: 'demote', term }, PAUSE_MS);
        answer = await control.ask(member, { kind: 'pause', term }, PAUSE_MS);
      }
      if (answer.kind === 'answered') {
        const paused = this.#take(member, answer.status, term);
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
   * Looks at paused replicas once more. One that has lost its pause, by a restart, may have received commits since, and have given
   * evidence to a daemon that was not asked to let go; one that does not answer may have, too.
   *
   * @param leaderId - who led the term
   */
  async lookAt(paused: readonly Paused[], term: number, leaderId: string | null): Promise<SecondLook> {
    const answers = await Promise.all(
      paused.map(({ member }) => this.control.ask(member, { kind: 'status' }, STATUS_MS)),
    );
    const standing: Paused[] = [];
    const lost: Incarnation[] = [];
    const silent: MissingLife[] = [];
    const replaced: Incarnation[] = [];
    paused.forEach(({ member }, index) => {
      const answer = answers[index];
      // Whoever answers in its place is another life, which is asked for itself.
      if (member.hasEnded) return void replaced.push(member.entry);
      if (answer?.kind !== 'answered') {
        const reason = answer === undefined ? 'not asked' : describeAnswer(answer);
        return void silent.push(this.#missingLife(member, reason));
      }
      const now = this.#take(member, answer.status, term);
      if (now === null) lost.push(member.entry);
      else standing.push(now);
    });
    const received = standing.map(({ status }) => status.received);
    const ended = [...replaced, ...this.lost.uncovered(received, leaderId, this.now())];
    return { standing, lost, missing: silent, ended };
  }

  #missingLife({ entry, answeredAtMs }: Member, reason: string): MissingLife {
    const { memberId, bornMs } = entry;
    const silentMs = Number.isFinite(answeredAtMs) ? this.now() - answeredAtMs : null;
    return { memberId, bornMs, reason, silentMs };
  }

  /** Why one that does not run is not covered by those that were paused. */
  #whyGone(member: Member): string {
    return this.ended.has(member) ? 'ended, and nobody has come as far' : 'ended, unknown how far';
  }

  /** True for a former member, and for one that was found to have ended while the leader could say how far the log had come. */
  #isKnownToEnd(member: Member): boolean {
    return this.ended.has(member) || [...this.group.former.values()].includes(member);
  }

  /** `null` for one that is not paused. */
  #take(member: Member, status: MemberStatus, term: number): Paused | null {
    if (!this.#demoted.has(member)) this.noteTerm(status.term);
    if (!status.isPrimary) this.lost.recordStatus(member, status, this.now());
    return toPaused(member, status, term);
  }

  /** Lets members receive again. */
  async resumeAll(members: readonly Member[]): Promise<void> {
    await Promise.all(members.map((member) => this.control.ask(member, { kind: 'resume' }, STATUS_MS)));
  }
}

function toPaused(member: Member, status: MemberStatus, term: number): Paused | null {
  const isStopped = !status.isPrimary && (status.pausedForTerm >= term || status.term >= term);
  return isStopped ? { member, status } : null;
}
