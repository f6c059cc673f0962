/**
 * How long a request that could not be sent yet is kept here, while other daemons may be able to serve it. Pure.
 *
 * A leader that is being replaced is worth waiting for: all daemons wait for the same thing, and it takes less than a
 * second. Where this daemon alone cannot reach a leader, or has heard of none for long, the client is told soon that nothing
 * was run, so that it has the time to ask another daemon.
 *
 * @packageDocumentation
 */

/** Longest time for which a request is kept that another daemon may serve, in milliseconds. */
const PATIENCE_MS = 300;
/** The same as a share of the time that the request has. */
const PATIENCE_SHARE = 0.35;
/** Time without a proven leader from which on it is not taken for a change of leader, in milliseconds. */
const LONG_OUTAGE_MS = 1500;

/** What is known when a request could not be sent. */
export interface Waiting {
  /** Time since the daemon has the request, in milliseconds. */
  readonly heldMs: number;
  /** Time that its route gives it, in milliseconds. */
  readonly timeoutMs: number;
  /** Time for which no leader has been proven, in milliseconds; 0 while one is. */
  readonly leaderlessMs: number;
  /** True when every member that may serve it was silent, or refused connections, a short time ago. */
  readonly isUnreachable: boolean;
}

/** True when the client should be told now that nothing was run. */
export function shouldAskElsewhere({ heldMs, timeoutMs, leaderlessMs, isUnreachable }: Waiting): boolean {
  if (heldMs < Math.min(PATIENCE_MS, timeoutMs * PATIENCE_SHARE)) return false;
  return leaderlessMs === 0 ? isUnreachable : leaderlessMs > LONG_OUTAGE_MS;
}
