/**
 * Evidence that a member leads its group. Pure: the caller passes monotonic times.
 *
 * Evidence is the word of somebody without whom no promotion succeeds:
 *
 * - the store: a promotion records there that the term may be replaced before it does anything else;
 * - the holder of the promotion duty, which alone calls the platform;
 * - all members but the leader: the successor is paused from before evidence is waited out until it leads.
 *
 * One replica that is not paused proves nothing: the promotion may not reach it, a restart or the platform's act
 * may have ended its pause, and it follows the old term until it hears from the new leader.
 *
 * Evidence asked for at time *s* is valid until *s* + {@link EVIDENCE_VALIDITY_MS}. A promotion waits that long
 * after its pauses for every daemon that has not confirmed that it revoked its evidence.
 *
 * @packageDocumentation
 */

/** Validity of evidence, from the time at which it was asked for, in milliseconds. */
export const EVIDENCE_VALIDITY_MS = 1600;

/** Age of evidence at which a daemon that supplies others with evidence renews it, in milliseconds. */
export const HOLDER_RENEWAL_MS = 500;

/**
 * Time after the duty was acquired from which the members confirm a leader for as long as the duty is held, in
 * milliseconds: before that, a call of the former holder may still take effect.
 */
export const DUTY_SETTLE_MS = 5000;

/** Time between two requests to the holder of the duty for its evidence, in milliseconds. */
export const EVIDENCE_REQUEST_INTERVAL_MS = 400;

/**
 * Age of evidence at which a daemon that was not supplied in time asks the store or the members itself, in
 * milliseconds: both may be asked, one after the other, before the evidence expires.
 */
export const OWN_RENEWAL_MS = 1000;

/**
 * Time after the registration of a daemon from which the answers of members are valid for it, in milliseconds. A
 * promotion reads the register of daemons when it begins, and pauses the members within less than this time, so
 * it knows all daemons that may hold evidence.
 */
export const REGISTRATION_SETTLE_MS = 1000;

/**
 * Time for which a daemon has to have known a member's incarnation, and have had no sign of a restart, before its
 * answer is valid, in milliseconds: longer than a promotion takes from its final check until the platform has
 * acted. A member that starts in between is not paused.
 */
export const WITNESS_KNOWN_MS = 2000;

/**
 * Time for which a revocation prevents a daemon from gathering evidence of the same term, in milliseconds. The
 * promotion has paused the replicas that it reaches by then, or waits until later evidence has expired.
 */
export const REVOCATION_MS = 1500;

/** A member that leads a term. */
export interface Leader {
  readonly memberId: string;
  readonly term: number;
}

/**
 * What is known of a commit that a leader has answered. `proven`: no member can have been promoted over the
 * leader without taking the commit into account; `replaced`: a later term has a leader; `unproven`: neither
 * is known.
 */
export type CommitStatus = 'proven' | 'unproven' | 'replaced';

/**
 * Who has given the evidence: the store, by its record of replaced terms; every member but the leader; another
 * daemon, which has it from one of these; or this daemon, which holds the promotion duty.
 */
export type EvidenceSource =
  | { readonly kind: 'store' }
  | { readonly kind: 'members' }
  | {
      readonly kind: 'daemon';
      /** True for the holder of the duty, which knows how each of its promotions ended. */
      readonly isHolder: boolean;
    }
  | { readonly kind: 'duty' };

const MEMBERS: EvidenceSource = { kind: 'members' };

/** A short form of the source of evidence, for the log. */
export function formatEvidenceSource(source: EvidenceSource): string {
  return source.kind;
}

/**
 * True when evidence from this source, asked for after a revocation has expired, shows how the promotion ended
 * for which it was revoked.
 */
function knowsOutcome(source: EvidenceSource): boolean {
  switch (source.kind) {
    case 'daemon':
      return source.isHolder;
    case 'store':
    case 'members':
    case 'duty':
      return true;
  }
}

/** What one daemon knows about the leadership of one group. */
export class LeadershipEvidence {
  #leader: Leader | null = null;
  #validUntilMs = Number.NEGATIVE_INFINITY;
  #revokedUpToTerm = -1;
  #revokedUntilMs = Number.NEGATIVE_INFINITY;
  #revokedAtMs = Number.NEGATIVE_INFINITY;
  /** Terms below this one ended before this record of the group began, as far as is remembered until then. */
  #endedTerms = { belowTerm: 0, untilMs: Number.NEGATIVE_INFINITY };
  /** The promotion for which the evidence was revoked is not known to have been abandoned. */
  #mayBeReplaced = false;
  #source: EvidenceSource | null = null;
  /**
   * The term of the last revocation, and until when its commits are acknowledged: for as long as the revoked
   * evidence was valid.
   */
  #revocationGrace: { readonly term: number; readonly untilMs: number } | null = null;
  /** No earlier term has a leader any more: this term was announced or observed. */
  #minimumTerm = 0;
  #isConfirmed = false;

  /**
   * @param countsFromMs - time from which evidence from a source is valid: before it, a promotion may not know
   *   this daemon
   */
  constructor(
    private readonly countsFromMs: (source: EvidenceSource) => number = () => Number.NEGATIVE_INFINITY,
  ) {}

  /** The last known leader, with or without evidence that is still valid. */
  get leader(): Leader | null {
    return this.#leader;
  }

  /** Lowest term that may still have a leader. */
  get minimumTerm(): number {
    return this.#minimumTerm;
  }

  /** When the present evidence expires. */
  get validUntilMs(): number {
    return this.#validUntilMs;
  }

  /** What the latest evidence rests on; `null` before the first. */
  get source(): EvidenceSource | null {
    return this.#source;
  }

  /** When evidence was last revoked, in monotonic milliseconds; negative infinity if it never was. */
  get revokedAtMs(): number {
    return this.#revokedAtMs;
  }

  /** Latest term for which evidence has been revoked; `null` if it never was, or the revocation was lifted. */
  get revokedUpToTerm(): number | null {
    return this.#revokedUntilMs === Number.NEGATIVE_INFINITY ? null : this.#revokedUpToTerm;
  }

  /** True when the leader was confirmed since this daemon holds the duty. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Called on the holder of the duty when it has verified the leader, or has promoted it itself. */
  confirm(): void {
    this.#isConfirmed = this.#leader !== null;
  }

  /** The duty has changed hands: a confirmation under it is no longer valid. */
  clearConfirmation(): void {
    this.#isConfirmed = false;
  }

  /**
   * Renews the evidence of a confirmed leader by the duty alone: no other daemon can promote before
   * `untilMs`.
   */
  renewUnderDuty(untilMs: number, nowMs: number): void {
    if (!this.#isConfirmed) return;
    this.#extend(Math.min(untilMs, nowMs + EVIDENCE_VALIDITY_MS), { kind: 'duty' });
  }

  /** The leader, if there is valid evidence at `nowMs`. */
  current(nowMs: number): Leader | null {
    return nowMs < this.#validUntilMs ? this.#leader : null;
  }

  /**
   * Records that a member has reported to lead a term.
   *
   * @returns true when the leader or its term has changed
   */
  observeLeader(leader: Leader): boolean {
    if (leader.term < this.#minimumTerm) return false;
    if (this.#leader !== null && leader.term < this.#leader.term) return false;
    if (this.#leader?.memberId === leader.memberId && this.#leader.term === leader.term) return false;
    this.#leader = leader;
    this.#minimumTerm = leader.term;
    this.#isConfirmed = false;
    this.#validUntilMs = Number.NEGATIVE_INFINITY;
    return true;
  }

  /**
   * Records that a source, asked at `askedAtMs`, has given `term` as the latest one.
   *
   * @param pausedForTerm - with `members`, the highest term for which one of them is paused; 0 if none is
   * @returns true when that is evidence for the leader
   */
  recordWitness(
    term: number,
    pausedForTerm: number,
    askedAtMs: number,
    source: EvidenceSource = MEMBERS,
  ): boolean {
    const leader = this.#leader;
    if (term > this.#minimumTerm) this.#minimumTerm = term;
    if (leader === null || leader.term !== term) {
      if (leader !== null && leader.term < term) this.clearLeader();
      return false;
    }
    if (pausedForTerm > term || !this.counts(source, askedAtMs)) return false;
    if (this.#isRevoked(term, askedAtMs)) return false;
    const mayBeReplaced = this.#isOpenPromotion(term) || this.#hasEnded(term, askedAtMs);
    if (mayBeReplaced && !knowsOutcome(source)) return false;
    this.#extend(askedAtMs + EVIDENCE_VALIDITY_MS, source);
    return true;
  }

  /** True when evidence of the known leader may be had: there is one, and no revocation prevents it. */
  mayBeGathered(nowMs: number): boolean {
    return this.#leader !== null && !this.#isRevoked(this.#leader.term, nowMs);
  }

  /** True when evidence from a source that is asked at this time is valid for this daemon. */
  counts(source: EvidenceSource, atMs: number): boolean {
    return atMs >= this.countsFromMs(source);
  }

  /** True while a revocation prevents evidence of the term. */
  #isRevoked(term: number, atMs: number): boolean {
    return term <= this.#revokedUpToTerm && atMs < this.#revokedUntilMs;
  }

  /** True when the term had ended before this record of the group began. */
  #hasEnded(term: number, atMs: number): boolean {
    return term < this.#endedTerms.belowTerm && atMs < this.#endedTerms.untilMs;
  }

  /** True when a promotion over this term may have succeeded, or may still succeed. */
  #isOpenPromotion(term: number): boolean {
    return this.#mayBeReplaced && term <= this.#revokedUpToTerm;
  }

  #extend(untilMs: number, source: EvidenceSource): void {
    if (untilMs <= this.#validUntilMs) return;
    this.#validUntilMs = untilMs;
    this.#source = source;
  }

  /**
   * Records that terms below `belowTerm` had ended when the group was last watched. Holds until `untilMs`, since
   * the terms of a group that is added again may begin again.
   */
  endBelow(belowTerm: number, untilMs: number): void {
    this.#endedTerms = { belowTerm, untilMs };
  }

  /** Records that a member follows this term: no earlier term has a leader any more. */
  observeTerm(term: number): void {
    if (term <= this.#minimumTerm) return;
    this.#minimumTerm = term;
    if (this.#leader !== null && this.#leader.term < term) this.clearLeader();
  }

  /**
   * Revokes the evidence because a promotion over `term` is about to begin, and prevents new evidence for
   * {@link REVOCATION_MS}, and after that evidence relayed by a daemon that does not hold the duty until
   * {@link LeadershipEvidence.liftRevocation}. Commits under way are still acknowledged until the revoked
   * evidence would have expired, unless the term is sealed.
   */
  revoke(term: number, nowMs: number): void {
    if (this.#leader !== null && this.#leader.term > term) return;
    if (nowMs < this.#validUntilMs) this.#revocationGrace = { term, untilMs: this.#validUntilMs };
    this.#invalidate(term, nowMs);
  }

  #invalidate(term: number, nowMs: number): void {
    this.#isConfirmed = false;
    this.#validUntilMs = Number.NEGATIVE_INFINITY;
    this.#revokedUpToTerm = Math.max(this.#revokedUpToTerm, term);
    this.#revokedUntilMs = nowMs + REVOCATION_MS;
    this.#revokedAtMs = nowMs;
    this.#mayBeReplaced = true;
  }

  /**
   * Revokes the evidence, and acknowledges nothing of the term any more without new evidence: this daemon
   * reports its final acknowledged position to the promotion. A commit that is answered after that may have
   * been received by none of the members that may lead next.
   */
  seal(term: number, nowMs: number): void {
    if (this.#leader !== null && this.#leader.term > term) return;
    this.#revocationGrace = null;
    this.#invalidate(term, nowMs);
  }

  /**
   * What is known at `nowMs` of a commit that a leader of `term` has answered. The evidence has to be valid
   * at that moment, not only when the commit was sent: a promotion takes into account the commits that were
   * acknowledged before the evidence expired.
   */
  commitStatus(term: number, nowMs: number): CommitStatus {
    if (term < this.#minimumTerm) return 'replaced';
    if (this.#leader?.term === term && nowMs < this.#validUntilMs) return 'proven';
    if (this.#revocationGrace?.term === term && nowMs < this.#revocationGrace.untilMs) return 'proven';
    return 'unproven';
  }

  /** The promotion was abandoned, and its pauses are lifted: evidence may be gathered again. */
  liftRevocation(): void {
    this.#revokedUntilMs = Number.NEGATIVE_INFINITY;
    this.#mayBeReplaced = false;
  }

  /** The leader has reported, or another member has shown, that it no longer leads. */
  clearLeader(): void {
    this.#leader = null;
    this.#isConfirmed = false;
    this.#validUntilMs = Number.NEGATIVE_INFINITY;
  }
}
