/**
 * The terms of groups that are not watched of which this daemon must not gather evidence. The configuration may
 * add a group at any time, while the holder of the promotion duty counts on the answer that the daemon has given
 * to an order. Pure: times are passed in.
 *
 * @packageDocumentation
 */
import type { MemberGroup } from '../topology/member-group.js';

/** Evidence for terms up to this one is revoked. */
interface RevokedTerm {
  readonly term: number;
  /** When it was revoked last, in monotonic milliseconds. */
  readonly revokedAtMs: number;
}

/** The revoked terms of the groups that are not watched, by group name. */
export class RevokedTerms {
  readonly #byGroup = new Map<string, RevokedTerm>();

  /** Records that evidence for terms up to `term` is revoked. */
  revoke(groupName: string, term: number, nowMs: number): void {
    const earlier = this.#byGroup.get(groupName);
    this.#byGroup.set(groupName, { term: Math.max(term, earlier?.term ?? term), revokedAtMs: nowMs });
  }

  /** Records that the promotion over the latest term was abandoned; earlier terms have no leader any more. */
  lift(groupName: string): void {
    const revoked = this.#byGroup.get(groupName);
    if (revoked !== undefined) this.#byGroup.set(groupName, { ...revoked, term: revoked.term - 1 });
  }

  /** Retains what has been revoked for a group that is not watched any more. */
  retain({ name, evidence }: MemberGroup, nowMs: number): void {
    this.revoke(name, Math.max(evidence.minimumTerm - 1, evidence.revokedUpToTerm ?? -1), nowMs);
  }

  /** Revokes the evidence of a group that is watched from now on. */
  applyTo({ name, evidence }: MemberGroup): void {
    const revoked = this.#byGroup.get(name);
    if (revoked !== undefined && revoked.term >= 0) evidence.seal(revoked.term, revoked.revokedAtMs);
    this.#byGroup.delete(name);
  }
}
