/**
 * When bytes were last received from outside the daemon's own zone, and since when something sent there has
 * been waiting for an answer.
 *
 * @packageDocumentation
 */

/** Two times for the whole daemon: recording costs no allocation, whatever the amount of traffic. */
export class OutsideTraffic {
  #lastReceivedMs = Number.NEGATIVE_INFINITY;
  /** The first request since the last received byte, in monotonic milliseconds. */
  #sentSinceMs = Number.NEGATIVE_INFINITY;
  /** The oldest request that a connection still waits for, as of the last poll, in monotonic milliseconds. */
  #waitingSinceMs = Number.POSITIVE_INFINITY;

  /** When bytes were last received, in monotonic milliseconds; negative infinity before the first ones. */
  get lastReceivedMs(): number {
    return this.#lastReceivedMs;
  }

  /**
   * Since when something has waited for an answer without any byte received, in monotonic milliseconds; `null`
   * if nothing waits.
   */
  get silentSinceMs(): number | null {
    const sentSinceMs = this.#sentSinceMs > this.#lastReceivedMs ? this.#sentSinceMs : Infinity;
    const waitingSinceMs = Math.min(sentSinceMs, this.#waitingSinceMs);
    return waitingSinceMs === Infinity ? null : Math.max(waitingSinceMs, this.#lastReceivedMs);
  }

  /** Records that bytes were received; the time may lie in the past. */
  recordReceived(atMs: number): void {
    if (atMs > this.#lastReceivedMs) this.#lastReceivedMs = atMs;
  }

  /** Records a request that is not found by polling connections. */
  recordSent(nowMs: number): void {
    if (this.#sentSinceMs <= this.#lastReceivedMs) this.#sentSinceMs = nowMs;
  }

  /** Starts a poll: every connection that waits for an answer has to be recorded again. */
  beginPoll(): void {
    this.#waitingSinceMs = Number.POSITIVE_INFINITY;
  }

  /** Records that a connection has waited for an answer since the given time, in monotonic milliseconds. */
  recordWaiting(sinceMs: number): void {
    if (sinceMs < this.#waitingSinceMs) this.#waitingSinceMs = sinceMs;
  }
}
