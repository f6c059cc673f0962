/**
 * Evidence that a commit was made by a primary that had not been replaced. Pure.
 *
 * A commit may be acknowledged once a majority of the group, queried after the commit, reports the term of
 * the primary that made it and has received its log position: any later primary then has the commit, and no
 * other primary had been elected when the commit was made.
 *
 * @packageDocumentation
 */
import { hasReached, type Position } from '../position/position.js';
import { majorityOf, type MemberStatus } from './group-description.js';

/** A member status together with the time at which the status query was sent. */
export interface TimedStatus {
  readonly status: MemberStatus;
  readonly askedAtMs: number;
}

/**
 * State of the evidence for a commit: a majority confirms it (`confirmed`), a majority reports a later term
 * (`superseded`), or neither yet (`pending`).
 */
export type EvidenceState = 'confirmed' | 'superseded' | 'pending';

/** Collects member statuses as evidence for one commit. @public */
export class CommitEvidence {
  readonly #confirmingMemberIds = new Set<string>();
  readonly #supersedingMemberIds = new Set<string>();

  /**
   * @param term - term in which the primary made the commit
   * @param position - log position of the commit
   * @param committedAtMs - monotonic time at which the response to the commit had been received, in
   *   milliseconds
   * @param memberCount - number of members in the group
   */
  constructor(
    readonly term: number,
    readonly position: Position,
    readonly committedAtMs: number,
    private readonly memberCount: number,
  ) {}

  /** Records a status. A status whose query was sent before the commit is no evidence and is ignored. */
  observe({ status, askedAtMs }: TimedStatus): void {
    if (askedAtMs < this.committedAtMs) return;
    if (status.term > this.term) this.#supersedingMemberIds.add(status.memberId);
    else if (status.term === this.term && this.#holdsCommit(status))
      this.#confirmingMemberIds.add(status.memberId);
  }

  /** State according to the statuses observed so far. */
  get state(): EvidenceState {
    const majority = majorityOf(this.memberCount);
    if (this.#confirmingMemberIds.size >= majority) return 'confirmed';
    return this.#supersedingMemberIds.size >= majority ? 'superseded' : 'pending';
  }

  #holdsCommit(status: MemberStatus): boolean {
    return status.received.term === this.term && hasReached(status.received, this.position);
  }
}
