/**
 * What this daemon knows of the terms of groups that it does not watch. The configuration may add a group at any
 * time, while the holder of the promotion duty counts on the answer that the daemon has given to an order. Pure:
 * times are passed in.
 *
 * @packageDocumentation
 */
import type { MemberGroup } from '../topology/member-group.js';

/**
 * For how long terms that have ended are remembered, in milliseconds: as long as a member without an entry may
 * still run. A group that is added again may have another log, whose terms begin again.
 */
const ENDED_TERMS_RETENTION_MS = 30_000;

/** A promotion may replace, or may have replaced, the leaders of terms up to this one. */
interface Revocation {
  readonly term: number;
  /** When it was ordered last, in monotonic milliseconds. */
  readonly revokedAtMs: number;
}

/** No term below this one has a leader any more. */
interface EndedTerms {
  readonly belowTerm: number;
  /** Until when this is remembered, in monotonic milliseconds. */
  readonly untilMs: number;
}

/** The revoked and ended terms of the groups that are not watched, by group name. */
export class RevokedTerms {
  readonly #revocations = new Map<string, Revocation>();
  readonly #ended = new Map<string, EndedTerms>();

  /** Records that evidence for terms up to `term` is revoked. */
  revoke(groupName: string, term: number, nowMs: number): void {
    const earlier = this.#revocations.get(groupName);
    this.#revocations.set(groupName, { term: Math.max(term, earlier?.term ?? term), revokedAtMs: nowMs });
    this.endBelow(groupName, term, nowMs);
  }

  /** Records that no term below `term` has a leader any more. */
  endBelow(groupName: string, term: number, nowMs: number): void {
    const earlier = this.#endedAt(groupName, nowMs);
    const untilMs = nowMs + ENDED_TERMS_RETENTION_MS;
    this.#ended.set(groupName, { belowTerm: Math.max(term, earlier?.belowTerm ?? term), untilMs });
  }

  /** Records that the promotion for which evidence was revoked was abandoned. */
  lift(groupName: string): void {
    this.#revocations.delete(groupName);
  }

  /** Retains what is known of a group that is not watched any more. */
  retain({ name, evidence }: MemberGroup, nowMs: number): void {
    const { minimumTerm, revokedUpToTerm, revokedAtMs } = evidence;
    if (revokedUpToTerm !== null) this.#revocations.set(name, { term: revokedUpToTerm, revokedAtMs });
    this.endBelow(name, minimumTerm, nowMs);
  }

  /** Applies what is known to a group that is watched from now on. */
  applyTo({ name, evidence }: MemberGroup, nowMs: number): void {
    const ended = this.#endedAt(name, nowMs);
    if (ended !== null) evidence.endBelow(ended.belowTerm, ended.untilMs);
    const revocation = this.#revocations.get(name);
    if (revocation !== undefined) evidence.seal(revocation.term, revocation.revokedAtMs);
    this.#revocations.delete(name);
  }

  #endedAt(groupName: string, nowMs: number): EndedTerms | null {
    const ended = this.#ended.get(groupName);
    return ended === undefined || nowMs >= ended.untilMs ? null : ended;
  }
}
