/**
 * Evidence that a commit was not acknowledged by a replaced primary. Pure.
 *
 * A commit may be acknowledged once a majority of the group, asked after the commit, is still in the term of
 * the primary that made it and has received its log position: any later primary then holds it, and no other
 * primary had been chosen when the commit was made.
 *
 * @packageDocumentation
 */
import { hasReached, type Position } from '../position/position.js';
import { majorityOf, type MemberStatus } from './group-description.js';

/** A status together with the time at which the question was sent. */
export interface TimedStatus {
  readonly status: MemberStatus;
  readonly askedAtMs: number;
}

/** What is known about a commit. */
export type EvidenceState = 'confirmed' | 'superseded' | 'pending';

/** Collects the evidence for one commit. @public */
export class CommitEvidence {
  readonly #confirming = new Set<string>();
  readonly #superseding = new Set<string>();

  /**
   * @param term - term in which the primary made the commit
   * @param position - log position of the commit
   * @param committedAtMs - monotonic time at which the commit was known to be made, in milliseconds
   * @param memberCount - size of the group
   */
  constructor(
    readonly term: number,
    readonly position: Position,
    readonly committedAtMs: number,
    private readonly memberCount: number,
  ) {}

  /** Takes a status into account; a question sent before the commit says nothing. */
  observe({ status, askedAtMs }: TimedStatus): void {
    if (askedAtMs < this.committedAtMs) return;
    if (status.term > this.term) this.#superseding.add(status.memberId);
    else if (status.term === this.term && this.#holdsCommit(status)) this.#confirming.add(status.memberId);
  }

  /** What the evidence amounts to. */
  get state(): EvidenceState {
    const majority = majorityOf(this.memberCount);
    if (this.#confirming.size >= majority) return 'confirmed';
    return this.#superseding.size >= majority ? 'superseded' : 'pending';
  }

  #holdsCommit(status: MemberStatus): boolean {
    return status.received.term === this.term && hasReached(status.received, this.position);
  }
}
