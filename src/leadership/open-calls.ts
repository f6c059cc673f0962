/**
 * Calls of the platform that may act though a member leads by an earlier one, or though their holder of the duty is one no more.
 *
 * A call for the member that leads changes nothing; once that member is replaced, one that is open still would make it lead again, without the
 * commits since. So the daemons are told of each call before it is made, and tell the next holder.
 *
 * @packageDocumentation
 */

/** A call that may still act, as daemons are told of it. */
export interface OpenCall {
  /** Whom it names. */
  readonly memberId: string;
  /** Fence of the holder that makes it. */
  readonly fence: number;
  /** For how long it may act from when this is told, in milliseconds. */
  readonly leftMs: number;
}

/** What one daemon has been told of calls for one group. Times are passed in, in monotonic milliseconds. */
export class CallNote {
  #last: { readonly memberId: string; readonly fence: number; readonly untilMs: number } | null = null;

  /** The holder of the duty is about to make a call, or may have open ones still. */
  note({ memberId, fence, leftMs }: OpenCall, nowMs: number): void {
    this.#last = { memberId, fence, untilMs: nowMs + leftMs };
  }

  /** No call is open any more. */
  clear(): void {
    this.#last = null;
  }

  /** The last call that was told, if it may still act. */
  open(nowMs: number): OpenCall | null {
    if (this.#last === null || nowMs >= this.#last.untilMs) return null;
    const { memberId, fence, untilMs } = this.#last;
    return { memberId, fence, leftMs: untilMs - nowMs };
  }
}

/** Calls that keep one supervisor from naming anybody. */
export class OpenCalls {
  #untilMs = Number.NEGATIVE_INFINITY;
  /** Whom a call of an earlier holder names, which may come to lead at any time. */
  #awaitedId: string | null = null;

  /** A member leads by one of several calls; the others may act until then, in monotonic milliseconds. */
  record(openUntilMs: number | null): void {
    if (openUntilMs !== null) this.#untilMs = Math.max(this.#untilMs, openUntilMs);
  }

  /** An earlier holder of the duty has made a call. */
  recordEarlier({ memberId, leftMs }: OpenCall, nowMs: number): void {
    this.#awaitedId = memberId;
    this.record(nowMs + leftMs);
  }

  /** Until when no member may be named, in monotonic milliseconds. */
  get untilMs(): number {
    return this.#untilMs;
  }

  /** The member that an earlier holder's call names, or `null`. */
  get awaitedId(): string | null {
    return this.#awaitedId;
  }
}
