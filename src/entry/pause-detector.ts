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

/** Compares the times at which it is called; something has to call it regularly. */
export class PauseDetector {
  #lastTickMs: number;
  #suspectUntilMs = Number.NEGATIVE_INFINITY;

  /** @param nowMs - monotonic time, in milliseconds */
  constructor(
    private readonly options: PauseDetectorOptions,
    nowMs: number,
  ) {
    this.#lastTickMs = nowMs;
  }

  /** Takes the time; true while what is read may have waited for a whole pause. */
  tick(nowMs: number): boolean {
    if (nowMs - this.#lastTickMs >= this.options.thresholdMs)
      this.#suspectUntilMs = nowMs + this.options.windowMs;
    this.#lastTickMs = nowMs;
    return nowMs < this.#suspectUntilMs;
  }
}
