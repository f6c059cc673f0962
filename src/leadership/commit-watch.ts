/**
 * What the commits of one daemon at one group's leader tell of it. Pure: times are passed in.
 *
 * A leader that does not reach its replicas goes on answering reads, while commits wait for ever. Each of those keeps a
 * connection, so the next writes wait until an overdue commit is answered: it tests the water for them, and reads keep the
 * other connections.
 *
 * @packageDocumentation
 */

/** Time for which a commit may go without an answer before commits count as stalled, in milliseconds. */
const STALL_MS = 350;
/** Times of what a commit usually takes after which it counts as slow. */
const SLOW_FACTOR = 4;
/** What a commit is taken to last before any has been answered, in milliseconds. */
const FIRST_USUAL_MS = 30;
/** Weight of what is known against the newest time. */
const MEMORY = 0.8;

/** A commit under way. */
export interface SentCommit {
  readonly sentAtMs: number;
}

/** Follows the commits of one group. */
export class CommitWatch {
  /** In the order in which they were sent. */
  readonly #open = new Set<SentCommit>();
  #usualMs = FIRST_USUAL_MS;

  /** A commit is sent. */
  sent(nowMs: number): SentCommit {
    const commit = { sentAtMs: nowMs };
    this.#open.add(commit);
    return commit;
  }

  /** Its answer has come, or is not waited for any more. */
  ended(commit: SentCommit, isAnswered: boolean, nowMs: number): void {
    this.#open.delete(commit);
    if (isAnswered) this.#usualMs = this.#usualMs * MEMORY + (nowMs - commit.sentAtMs) * (1 - MEMORY);
  }

  /** True while a commit goes without an answer: the leader may not reach its replicas. */
  isStalled(nowMs: number): boolean {
    return this.#oldestAgeMs(nowMs) >= STALL_MS;
  }

  /** True while a commit takes longer than most do: further writes should wait for its answer. */
  isSlow(nowMs: number): boolean {
    return this.#oldestAgeMs(nowMs) >= Math.min(STALL_MS, this.#usualMs * SLOW_FACTOR);
  }

  #oldestAgeMs(nowMs: number): number {
    const oldest = this.#open.values().next();
    return oldest.done === true ? Number.NEGATIVE_INFINITY : nowMs - oldest.value.sentAtMs;
  }
}
