/**
 * Reads that a member has not answered yet. Pure.
 *
 * @packageDocumentation
 */

/** A read that was sent. */
export interface PendingRead {
  readonly sentAtMs: number;
}

/** Reads of this daemon that are in flight at one member. */
export class PendingReads {
  /** In the order in which they were sent. */
  readonly #reads = new Set<PendingRead>();
  #answeredAtMs = Number.NEGATIVE_INFINITY;

  /** Records that a read is sent now; to be ended with {@link PendingReads.end} or {@link PendingReads.giveUp}. */
  start(nowMs: number): PendingRead {
    const read = { sentAtMs: nowMs };
    this.#reads.add(read);
    return read;
  }

  /** Records that a read was answered now. */
  end(read: PendingRead, nowMs: number): void {
    if (this.#reads.delete(read)) this.#answeredAtMs = nowMs;
  }

  /** Records that a read has ended without an answer, which says nothing about the others. */
  giveUp(read: PendingRead): void {
    this.#reads.delete(read);
  }

  /**
   * For how long reads have waited without any other read having been answered, in milliseconds; 0 without reads.
   *
   * @param sinceMs - waits before this time do not count, in monotonic milliseconds
   */
  unansweredMs(nowMs: number, sinceMs = Number.NEGATIVE_INFINITY): number {
    for (const { sentAtMs } of this.#reads)
      return Math.max(0, nowMs - Math.max(sentAtMs, this.#answeredAtMs, sinceMs));
    return 0;
  }
}
