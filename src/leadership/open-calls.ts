/**
 * Open calls: promotion calls that the platform may still execute, although an earlier call has already taken
 * effect or the daemon that made them does not hold the promotion duty any more.
 *
 * A call for the member that leads changes nothing. But if that member is replaced while a call for it is
 * open, the call would make it lead again, without the commits since. So the daemons are informed of each
 * call before it is made, and report it to the next duty holder.
 *
 * @packageDocumentation
 */

/** An open call, as it is sent to and reported by daemons. */
export interface OpenCall {
  /** The member to be promoted. */
  readonly memberId: string;
  /** Fencing token of the duty holder that makes the call. */
  readonly fence: number;
  /** For how long the platform may execute the call, counted from when this is sent, in milliseconds. */
  readonly leftMs: number;
}

/**
 * The last call for one group that a daemon has been informed of. Times are passed in, in monotonic
 * milliseconds.
 */
export class OpenCallRecord {
  #last: { readonly memberId: string; readonly fence: number; readonly untilMs: number } | null = null;

  /** Records a call that the duty holder is about to make or that may still be open. */
  record({ memberId, fence, leftMs }: OpenCall, nowMs: number): void {
    this.#last = { memberId, fence, untilMs: nowMs + leftMs };
  }

  /** Records that no call is open any more. */
  clear(): void {
    this.#last = null;
  }

  /** The last recorded call, if the platform may still execute it. */
  open(nowMs: number): OpenCall | null {
    if (this.#last === null || nowMs >= this.#last.untilMs) return null;
    const { memberId, fence, untilMs } = this.#last;
    return { memberId, fence, leftMs: untilMs - nowMs };
  }
}

/** Open calls that a supervisor must wait out before it calls the platform for another member. */
export class OpenCalls {
  #untilMs = Number.NEGATIVE_INFINITY;
  /** The member in a call of an earlier duty holder, which may start to lead at any time. */
  #earlierSuccessorId: string | null = null;

  /**
   * Records until when calls may still be executed after one of several took effect, in monotonic
   * milliseconds.
   */
  record(openUntilMs: number | null): void {
    if (openUntilMs !== null) this.#untilMs = Math.max(this.#untilMs, openUntilMs);
  }

  /** Records a call of an earlier duty holder. */
  recordEarlier({ memberId, leftMs }: OpenCall, nowMs: number): void {
    this.#earlierSuccessorId = memberId;
    this.record(nowMs + leftMs);
  }

  /** Until when the platform must not be called for another member, in monotonic milliseconds. */
  get untilMs(): number {
    return this.#untilMs;
  }

  /** The member in a call of an earlier duty holder, or `null`. */
  get earlierSuccessorId(): string | null {
    return this.#earlierSuccessorId;
  }
}
