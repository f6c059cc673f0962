/**
 * Estimate of the wait for a connection of one pool, from the time for which requests use its connections.
 * Pure: times are passed in.
 *
 * @packageDocumentation
 */

/** Uses of a connection that have to be measured before there is an estimate. */
const MIN_USES = 8;
/**
 * Weight of the latest use once enough are measured. The estimate follows a change of the member's speed within
 * about 16 uses, 40 ms for 4 connections that are in use for 10 ms each.
 */
const LATEST_WEIGHT = 1 / 16;
/**
 * Age of the latest measurement beyond which the estimate is no longer used, in milliseconds: a member that was
 * slow before a quiet period may have recovered.
 */
const MAX_AGE_MS = 2000;
/**
 * An interval in which connections are in use and none is released counts as a pause of the member or the daemon
 * if it is longer than both: a time in milliseconds, and a multiple of the mean use. Uses during a pause say
 * nothing about the speed after it.
 */
const MIN_PAUSE_MS = 60;
const MIN_PAUSE_USES = 4;
/** Interval between two pauses, in milliseconds; further ones mean that the member has become slower. */
const PAUSE_INTERVAL_MS = 2000;
/** Weight of the latest request that left the queue, for the share that this pool serves itself. */
const LATEST_DEPARTURE_WEIGHT = 1 / 32;

/** Measures the use of connections, and derives the expected wait from it. */
export class WaitEstimator {
  #useMs = 0;
  #uses = 0;
  #measuredAtMs = Number.NEGATIVE_INFINITY;
  /** End of the latest pause, in monotonic milliseconds. */
  #pauseEndedAtMs = Number.NEGATIVE_INFINITY;
  /** Smoothed share of the waiting requests that this pool serves itself, not another at which they wait as well. */
  #ownShare = 1;
  /** Time spent on opening connections since the last use, in milliseconds. */
  #openingMs = 0;

  /** Records for how long one request has used a connection, in milliseconds. */
  recordUse(ms: number, nowMs: number): void {
    if (!Number.isFinite(ms) || ms < 0) return;
    this.#detectPause(ms, nowMs);
    if (this.#isOutdated(nowMs)) {
      this.#uses = 0;
      this.#openingMs = 0;
    }
    this.#measuredAtMs = nowMs;
    const grantedAtMs = nowMs - ms;
    if (grantedAtMs < this.#pauseEndedAtMs) return;
    this.#uses += 1;
    const weight = Math.max(1 / this.#uses, LATEST_WEIGHT);
    const spentMs = ms + this.#openingMs;
    this.#openingMs = 0;
    this.#useMs = this.#uses === 1 ? spentMs : this.#useMs + (spentMs - this.#useMs) * weight;
  }

  /**
   * Records the time, in milliseconds, for which a connection could serve no request because it was opened in
   * place of one of another tenant. It counts as part of the next use, unless it began before the end of a pause.
   */
  recordOpening(ms: number, nowMs: number): void {
    if (!Number.isFinite(ms) || ms <= 0 || nowMs - ms < this.#pauseEndedAtMs) return;
    this.#openingMs += ms;
  }

  /**
   * Records that a waiting request has been served, by this pool or by that of another member at which it
   * waited as well.
   */
  recordDeparture(isServedHere: boolean): void {
    this.#ownShare += ((isServedHere ? 1 : 0) - this.#ownShare) * LATEST_DEPARTURE_WEIGHT;
  }

  /** Smoothed use of a connection for one request, in milliseconds; `null` without recent measurements. */
  useMs(nowMs: number): number | null {
    return this.#uses < MIN_USES || this.#isOutdated(nowMs) ? null : this.#useMs;
  }

  /**
   * Expected time until one more of the waiting requests is served, in milliseconds; `null` if it can't be
   * estimated. Requests that also wait at other pools count by the share that is served here.
   */
  intervalMs(connections: number, nowMs: number): number | null {
    const useMs = this.useMs(nowMs);
    return useMs === null || connections <= 0 ? null : (useMs * this.#ownShare) / connections;
  }

  /**
   * Detects at the release of a connection that none has been released for unusually long.
   *
   * @param ms - for how long the connection was in use; shorter than the interval if it was idle meanwhile
   */
  #detectPause(ms: number, nowMs: number): void {
    const quietMs = nowMs - this.#measuredAtMs;
    const isInUseThroughout = ms >= quietMs;
    if (this.#uses < MIN_USES || !isInUseThroughout || nowMs - this.#pauseEndedAtMs < PAUSE_INTERVAL_MS)
      return;
    if (quietMs <= Math.max(MIN_PAUSE_MS, MIN_PAUSE_USES * this.#useMs)) return;
    this.#pauseEndedAtMs = nowMs;
    this.#openingMs = 0;
  }

  #isOutdated(nowMs: number): boolean {
    return nowMs - this.#measuredAtMs > MAX_AGE_MS;
  }
}
