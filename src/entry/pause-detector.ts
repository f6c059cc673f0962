/**
 * Detects that the process was paused, that is stopped or not scheduled. Performs no I/O and reads no clock:
 * the caller passes the time.
 *
 * The first input that a resumed daemon reads may have waited in a socket during the whole pause. Its client
 * may have given up and written a newer value through another daemon; running the old request late would undo
 * that.
 *
 * @packageDocumentation
 */

/** What counts as a pause, and for how long; in milliseconds. */
export interface PauseTiming {
  /** Time between two calls of {@link PauseDetector.tick} that counts as a pause. */
  readonly thresholdMs: number;
  /** Time after a pause during which input may predate the pause. */
  readonly windowMs: number;
}

/**
 * Event-loop iterations after a pause during which input may predate the pause. One iteration reads
 * everything that had arrived before; two are counted because the pause may be detected in the middle of an
 * iteration.
 */
const ITERATIONS_AFTER_PAUSE = 2;

/**
 * Detects a pause from the time between two calls of {@link PauseDetector.tick}, which must be called
 * regularly.
 *
 * On a busy machine the first event-loop iteration after a pause may take longer than any time window, so the
 * iterations are counted as well.
 */
export class PauseDetector {
  #lastTickMs: number;
  #windowEndMs = Number.NEGATIVE_INFINITY;
  #lastPauseEndMs = Number.NEGATIVE_INFINITY;
  #iterationsLeft = 0;

  /** @param nowMs - monotonic time, in milliseconds */
  constructor(
    private readonly timing: PauseTiming,
    nowMs: number,
  ) {
    this.#lastTickMs = nowMs;
  }

  /** Records the current time; returns true while input may have waited in its socket during a pause. */
  tick(nowMs: number): boolean {
    if (nowMs - this.#lastTickMs >= this.timing.thresholdMs) {
      this.#windowEndMs = nowMs + this.timing.windowMs;
      this.#lastPauseEndMs = nowMs;
      this.#iterationsLeft = ITERATIONS_AFTER_PAUSE;
    }
    this.#lastTickMs = nowMs;
    return nowMs < this.#windowEndMs || this.#iterationsLeft > 0;
  }

  /**
   * Records the end of an event-loop iteration, which has read everything that had arrived when it began;
   * returns true while another iteration has to be awaited.
   */
  completeIteration(): boolean {
    if (this.#iterationsLeft > 0) this.#iterationsLeft -= 1;
    return this.#iterationsLeft > 0;
  }

  /**
   * True when a pause has ended after `sinceMs`: clients may have abandoned the requests received until then.
   */
  hasPausedSince(sinceMs: number, nowMs: number): boolean {
    this.tick(nowMs);
    return this.#lastPauseEndMs > sinceMs;
  }
}
