/**
 * Computes, on the receiver's clock, the deadline until which the sender of a request waits for the response.
 * Pure.
 *
 * A request may arrive after its sender has closed the link and reported to its client that the request may
 * have run. The client may have written a newer value through another daemon by then, and running the late
 * request would overwrite it. Every request therefore carries the deadline by which it must be started, and
 * keep-alive messages extend that deadline.
 *
 * @packageDocumentation
 */

/** Translates the sender's deadline to the receiver's clock. */
export class DeadlineTranslator {
  /**
   * Lower bound of the offset from the local clock to the receiver's. A clock reading is already old when it
   * arrives, so the largest difference received is the closest to the true offset and never exceeds it.
   */
  #offsetMs: number | null = null;

  /**
   * @param silenceTimeoutMs - time without any message after which the sender closes the link, in
   * milliseconds
   */
  constructor(private readonly silenceTimeoutMs: number) {}

  /** True once a clock reading of the receiver has arrived. */
  get isClockKnown(): boolean {
    return this.#offsetMs !== null;
  }

  /**
   * Records a reading of the receiver's clock that arrived at `nowMs` local time; both monotonic, in
   * milliseconds.
   */
  recordRemoteClock(remoteNowMs: number, nowMs: number): void {
    const offsetMs = remoteNowMs - nowMs;
    this.#offsetMs = Math.max(this.#offsetMs ?? offsetMs, offsetMs);
  }

  /**
   * Time on the receiver's clock before which the sender does not close the link; never later than the real
   * one.
   *
   * @param unansweredSinceMs - local time since which a response is pending and nothing was received, in ms
   */
  remoteDeadlineMs(unansweredSinceMs: number): number {
    return unansweredSinceMs + this.silenceTimeoutMs + (this.#offsetMs ?? Number.NEGATIVE_INFINITY);
  }
}
