/**
 * Decides how long a request that could not be sent yet is held before it is refused as not run. Pure.
 *
 * A request waits for a leader that is being replaced: all daemons wait for the same change, which takes less
 * than a second. When this daemon alone cannot reach the leader, or has had no proven leader for long, the
 * request is refused early as not run, so that the client has time to retry at another daemon.
 *
 * @packageDocumentation
 */

/** Longest time for which a request is held that another daemon may serve, in milliseconds. */
const MAX_HOLD_MS = 300;
/** The same limit as a share of the request's time-out; the shorter of the two applies. */
const MAX_HOLD_SHARE = 0.35;
/**
 * Time without a proven leader beyond which the outage no longer counts as a change of leader, in
 * milliseconds.
 */
const MAX_LEADER_CHANGE_MS = 1500;

/** State of a request that could not be sent yet. */
export interface UnsentRequest {
  /**
   * Time since the daemon received the request, or began to wait for the leader on its behalf, in
   * milliseconds.
   */
  readonly heldMs: number;
  /** Time-out of the route, in milliseconds. */
  readonly timeoutMs: number;
  /** Time without a proven leader, in milliseconds; 0 while there is one. */
  readonly leaderlessMs: number;
  /** True when every member that may serve the request recently did not answer or refused connections. */
  readonly isUnreachable: boolean;
}

/** Longest time for which a request with this time-out is held that another daemon may serve, in milliseconds. */
export function maxHoldMs(timeoutMs: number): number {
  return Math.min(MAX_HOLD_MS, timeoutMs * MAX_HOLD_SHARE);
}

/** True when the request should be refused now as not run. */
export function shouldRefuseEarly({
  heldMs,
  timeoutMs,
  leaderlessMs,
  isUnreachable,
}: UnsentRequest): boolean {
  if (heldMs < maxHoldMs(timeoutMs)) return false;
  return leaderlessMs === 0 ? isUnreachable : leaderlessMs > MAX_LEADER_CHANGE_MS;
}
