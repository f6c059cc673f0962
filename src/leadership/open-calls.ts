/**
 * Calls of the platform that may act though a member leads by an earlier one.
 *
 * A call for the member that leads changes nothing; once that member is replaced, one that is open still would make it lead again, without the
 * commits since.
 *
 * @packageDocumentation
 */

/** What one supervisor has called for. */
export class OpenCalls {
  #untilMs = Number.NEGATIVE_INFINITY;

  /** A member leads by one of several calls; the others may act until then, in monotonic milliseconds. */
  record(openUntilMs: number | null): void {
    if (openUntilMs !== null) this.#untilMs = Math.max(this.#untilMs, openUntilMs);
  }

  /** Until when no member may be named, in monotonic milliseconds. */
  get untilMs(): number {
    return this.#untilMs;
  }
}
