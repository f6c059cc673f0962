/**
 * Evidence that a member leads its group. Pure: the caller passes monotonic times.
 *
 * A promotion pauses every replica of the group before it makes one of them lead. A replica that says, asked at
 * time *s*, that it follows term *t* and is not paused therefore proves that nobody had been promoted over the
 * leader of *t* at *s*. Such an answer counts until *s* + {@link EVIDENCE_MS}; who promotes waits that long
 * after its pauses for every daemon that has not confirmed that it let go.
 *
 * The holder of the promotion duty needs no witness for a leader that it has confirmed, by a witness or by its own
 * promotion, since it holds the duty: nobody else can promote while its lease runs.
 *
 * @packageDocumentation
 */

/** How long an answer of a witness counts, from the time at which it was asked, in milliseconds. */
export const EVIDENCE_MS = 1600;

/** Age of evidence at which a daemon on whose evidence others live renews it, in milliseconds. */
export const HOLDER_RENEWAL_MS = 500;

/**
 * Time after the duty was taken from which a witness confirms a leader for as long as the duty is held, in
 * milliseconds: a call of the former holder may still take effect before.
 */
export const DUTY_SETTLE_MS = 1500;

/** Time between two questions to the holder for its evidence, in milliseconds. */
export const SHARING_MS = 400;

/** Age of evidence at which a daemon that was given none in time asks a witness itself, in milliseconds. */
export const OWN_RENEWAL_MS = 1200;

/**
 * Time after a daemon has been registered from which an answer of a witness counts for it, in milliseconds. Who promotes
 * reads the register when it begins, and pauses the witnesses within less than this: so it knows all who hold evidence.
 */
export const REGISTRATION_SETTLE_MS = 1000;

/**
 * Time for which a daemon has to have known the life of a member before its answers count, in milliseconds. Who promotes looks for members that
 * have started until the platform is called, at most 1.3 s before (as long as its duty is trusted), and from then on each 0.1 s; the platform
 * acts 0.3 s after the call or later. A member that started after the last look, and is not paused, would be evidence for the old leader at a
 * daemon that the holder does not reach: 1.6 s of reads and commits at a leader that has been replaced.
 */
export const WITNESS_KNOWN_MS = 2000;

/** How long a revocation keeps a daemon from gathering evidence of the same term, in milliseconds. */
export const REVOCATION_MS = 1500;

/** A member that leads a term. */
export interface Leader {
  readonly memberId: string;
  readonly term: number;
}

/**
 * What is known of a commit that a leader has answered. `proven`: nobody can have been promoted over the leader without counting it;
 * `replaced`: a later term leads; `unproven`: neither is known.
 */
export type CommitStanding = 'proven' | 'unproven' | 'replaced';

/** What one daemon believes of the leadership of one group. */
export class LeadershipEvidence {
  #leader: Leader | null = null;
  #validUntilMs = Number.NEGATIVE_INFINITY;
  #revokedUpToTerm = -1;
  #revokedUntilMs = Number.NEGATIVE_INFINITY;
  /** The leader of the last revocation, and until when what it answers is acknowledged: as long as the dropped evidence ran. */
  #yielded: { readonly term: number; readonly untilMs: number } | null = null;
  /** No term below this one leads any more: a later one was announced or seen. */
  #minimumTerm = 0;
  #isConfirmed = false;

  /** @param countsFromMs - from when on answers of witnesses count: before, nobody who promotes may know this daemon */
  constructor(private readonly countsFromMs: () => number = () => Number.NEGATIVE_INFINITY) {}

  /** The member that is believed to lead, with or without evidence that is still valid. */
  get leader(): Leader | null {
    return this.#leader;
  }

  /** Lowest term that may still lead. */
  get minimumTerm(): number {
    return this.#minimumTerm;
  }

  /** When the present evidence lapses. */
  get validUntilMs(): number {
    return this.#validUntilMs;
  }

  /** True when the leader was confirmed under the present duty of this daemon. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** The holder of the duty has seen, or has itself brought about, that the leader leads. */
  confirm(): void {
    this.#isConfirmed = this.#leader !== null;
  }

  /** The duty has changed hands: what was confirmed under it counts no more. */
  unconfirm(): void {
    this.#isConfirmed = false;
  }

  /** Renews the evidence of a confirmed leader: nobody can promote another before `untilMs`. */
  vouch(untilMs: number, nowMs: number): void {
    if (!this.#isConfirmed) return;
    this.#validUntilMs = Math.max(this.#validUntilMs, Math.min(untilMs, nowMs + EVIDENCE_MS));
  }

  /** The leader, if there is evidence at `nowMs`. */
  current(nowMs: number): Leader | null {
    return nowMs < this.#validUntilMs ? this.#leader : null;
  }

  /** A member has said that it leads a term. True when that is news. */
  believe(leader: Leader): boolean {
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
   * A witness, asked at `askedAtMs`, follows `term` and is paused for `pausedForTerm` (0: not paused).
   *
   * @returns true when that is evidence for the leader
   */
  witness(term: number, pausedForTerm: number, askedAtMs: number): boolean {
    const leader = this.#leader;
    if (term > this.#minimumTerm) this.#minimumTerm = term;
    if (leader === null || leader.term !== term) {
      if (leader !== null && leader.term < term) this.loseLeader();
      return false;
    }
    if (pausedForTerm > term || askedAtMs < this.countsFromMs()) return false;
    if (term <= this.#revokedUpToTerm && askedAtMs < this.#revokedUntilMs) return false;
    this.#validUntilMs = Math.max(this.#validUntilMs, askedAtMs + EVIDENCE_MS);
    return true;
  }

  /** A member follows this term: no earlier one leads any more. */
  noteTerm(term: number): void {
    if (term <= this.#minimumTerm) return;
    this.#minimumTerm = term;
    if (this.#leader !== null && this.#leader.term < term) this.loseLeader();
  }

  /**
   * A promotion over `term` is about to begin: evidence is dropped, and not gathered again for a while. What is under way may
   * still end well: it is acknowledged for as long as the evidence would have lasted, unless the term is sealed.
   */
  revoke(term: number, nowMs: number): void {
    if (this.#leader !== null && this.#leader.term > term) return;
    if (nowMs < this.#validUntilMs) this.#yielded = { term, untilMs: this.#validUntilMs };
    this.#drop(term, nowMs);
  }

  #drop(term: number, nowMs: number): void {
    this.#isConfirmed = false;
    this.#validUntilMs = Number.NEGATIVE_INFINITY;
    this.#revokedUpToTerm = Math.max(this.#revokedUpToTerm, term);
    this.#revokedUntilMs = nowMs + REVOCATION_MS;
  }

  /**
   * The same, and nothing of the term is acknowledged any more without new evidence: this daemon says for good what it has
   * acknowledged. A commit that is answered after that was perhaps received by none of those who may lead next.
   */
  seal(term: number, nowMs: number): void {
    if (this.#leader !== null && this.#leader.term > term) return;
    this.#yielded = null;
    this.#drop(term, nowMs);
  }

  /**
   * What is known at `nowMs` of a commit that a leader of `term` has answered. Evidence has to hold at that moment, not only when the
   * commit was sent: whoever promotes counts the commits that were acknowledged by the time at which evidence ends.
   */
  standing(term: number, nowMs: number): CommitStanding {
    if (term < this.#minimumTerm) return 'replaced';
    if (this.#leader?.term === term && nowMs < this.#validUntilMs) return 'proven';
    if (this.#yielded?.term === term && nowMs < this.#yielded.untilMs) return 'proven';
    return 'unproven';
  }

  /** The promotion was given up, and its pauses are lifted: evidence may be gathered again. */
  allowAgain(): void {
    this.#revokedUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** The leader has said, or another member has shown, that it leads no longer. */
  loseLeader(): void {
    this.#leader = null;
    this.#isConfirmed = false;
    this.#validUntilMs = Number.NEGATIVE_INFINITY;
  }
}
