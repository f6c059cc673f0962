/**
 * Notices that the process was paused. Pure: the caller passes the time.
 *
 * What a resumed daemon reads first may have waited in a socket for the whole pause: its client may have given
 * up, and may have written something newer through another daemon since. Running it late would undo that.
 *
 * @packageDocumentation
 */

/** Settings of a detector; times in milliseconds. */
export interface PauseDetectorOptions {
  /** Time between two calls of {@link PauseDetector.tick} that counts as a pause. */
  readonly thresholdMs: number;
  /** Time after a pause in which what is read may be old. */
  readonly windowMs: number;
}

/**
 * Passes of the event loop after a pause in which what is read may be old. In the first, everything that had arrived
 * is read; the pause may be noticed in the middle of one.
 */
const OLD_PASSES = 2;

/**
 * Compares the times at which it is called; something has to call it regularly.
 *
 * On a busy machine the first pass of the event loop after a pause may take longer than any window, so the passes are
 * counted as well.
 */
export class PauseDetector {
  #lastTickMs: number;
  #suspectUntilMs = Number.NEGATIVE_INFINITY;
  #pausedUntilMs = Number.NEGATIVE_INFINITY;
  #oldPasses = 0;

  /** @param nowMs - monotonic time, in milliseconds */
  constructor(
    private readonly options: PauseDetectorOptions,
    nowMs: number,
  ) {
    this.#lastTickMs = nowMs;
  }

  /** Takes the time; true while what is read may have waited for a whole pause. */
  tick(nowMs: number): boolean {
    if (nowMs - this.#lastTickMs >= this.options.thresholdMs) {
      this.#suspectUntilMs = nowMs + this.options.windowMs;
      this.#pausedUntilMs = nowMs;
      this.#oldPasses = OLD_PASSES;
    }
    this.#lastTickMs = nowMs;
    return nowMs < this.#suspectUntilMs || this.#oldPasses > 0;
  }

  /** The event loop has read all that had arrived when its pass began; true while another pass has to be awaited. */
  passed(): boolean {
    if (this.#oldPasses > 0) this.#oldPasses -= 1;
    return this.#oldPasses > 0;
  }

  /** True when a pause has ended since `sinceMs`: what was taken then may have been given up by its client. */
  hasPausedSince(sinceMs: number, nowMs: number): boolean {
    this.tick(nowMs);
    return this.#pausedUntilMs > sinceMs;
  }
}
