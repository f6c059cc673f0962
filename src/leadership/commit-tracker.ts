/**
 * Detects slow and stalled commits of one daemon at the leader of one group. Pure: times are passed in.
 *
 * A leader that does not reach its replicas still answers reads, while commits wait without limit. Each
 * waiting commit occupies a connection. Further writes therefore wait until an overdue commit is answered,
 * which leaves the other connections to reads.
 *
 * @packageDocumentation
 */

/** Time without an answer after which a commit counts as stalled, in milliseconds. */
const STALL_MS = 350;
/** A commit counts as slow after this multiple of the typical time. */
const SLOW_FACTOR = 4;
/** Typical time of a commit before any has been answered, in milliseconds. */
const INITIAL_TYPICAL_MS = 30;
/** Weight of the previous average against the newest time. */
const SMOOTHING_FACTOR = 0.8;

/** A commit without an answer yet. */
export interface PendingCommit {
  readonly sentAtMs: number;
}

/** Tracks the commits of one group. */
export class CommitTracker {
  /** In the order in which they were sent. */
  readonly #pending = new Set<PendingCommit>();
  #typicalMs = INITIAL_TYPICAL_MS;

  /** Records that a commit is sent. */
  recordSent(nowMs: number): PendingCommit {
    const commit = { sentAtMs: nowMs };
    this.#pending.add(commit);
    return commit;
  }

  /** Records that a commit was answered, or is not waited for any more. */
  recordEnded(commit: PendingCommit, isAnswered: boolean, nowMs: number): void {
    this.#pending.delete(commit);
    if (isAnswered)
      this.#typicalMs =
        this.#typicalMs * SMOOTHING_FACTOR + (nowMs - commit.sentAtMs) * (1 - SMOOTHING_FACTOR);
  }

  /** True while a commit counts as stalled: the leader may not reach its replicas. */
  isStalled(nowMs: number): boolean {
    return this.#oldestAgeMs(nowMs) >= STALL_MS;
  }

  /** True while a commit takes longer than usual: further writes should wait for its answer. */
  isSlow(nowMs: number): boolean {
    return this.#oldestAgeMs(nowMs) >= Math.min(STALL_MS, this.#typicalMs * SLOW_FACTOR);
  }

  #oldestAgeMs(nowMs: number): number {
    const oldest = this.#pending.values().next();
    return oldest.done === true ? Number.NEGATIVE_INFINITY : nowMs - oldest.value.sentAtMs;
  }
}
