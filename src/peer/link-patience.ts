/**
 * Until when the sender of a request surely waits for its answer, by the receiver's clock. Pure.
 *
 * A request may arrive after its sender has given up on the link and told its client that the request may have
 * run. The client may have written something newer through another daemon since, and running the request then
 * would undo that. So every request says how long it may be begun, and signs of life extend that.
 *
 * @packageDocumentation
 */

/** Translates the sender's patience into the receiver's clock. */
export class LinkPatience {
  /**
   * What to add to the own clock to get the receiver's, or less. What the receiver tells is old on arrival, so the
   * largest difference heard is the nearest to the truth, and never above it.
   */
  #offsetMs: number | null = null;

  /** @param silenceTimeoutMs - silence after which the sender gives the link up, in milliseconds */
  constructor(private readonly silenceTimeoutMs: number) {}

  /** True once the receiver has told its clock. */
  get isClockKnown(): boolean {
    return this.#offsetMs !== null;
  }

  /** Takes the receiver's clock, heard at `nowMs` by the own one; monotonic, in milliseconds. */
  hearClock(theirNowMs: number, nowMs: number): void {
    const offsetMs = theirNowMs - nowMs;
    this.#offsetMs = Math.max(this.#offsetMs ?? offsetMs, offsetMs);
  }

  /**
   * Time by the receiver's clock before which the sender does not give up.
   *
   * @param owedSinceMs - own time since which an answer is owed and nothing has come, in milliseconds
   */
  waitsUntilMs(owedSinceMs: number): number {
    return owedSinceMs + this.silenceTimeoutMs + (this.#offsetMs ?? Number.NEGATIVE_INFINITY);
  }
}
