/**
 * Schedule of a graceful shutdown, as shares of the grace period after which the process is killed. Pure.
 *
 * The daemon ends each session itself. A session that is still open when the process is killed loses its
 * connection, whatever is running on it.
 *
 * @packageDocumentation
 */

/**
 * Time for the platform to learn that this daemon accepts no new connections, in milliseconds: two of its
 * readiness checks, which it sends once a second.
 */
const DRAIN_DELAY_MS = 2200;
/** Upper limit of this time, as a share of the grace period. */
const MAX_DRAIN_DELAY_SHARE = 0.5;
/**
 * Until when statements are run, as a share. Open transactions are guaranteed the first half of the grace
 * period, and a statement that starts at the cutoff has 0.9 s of a 6 s grace period left for its reply.
 */
const STATEMENT_CUTOFF_SHARE = 0.7;
/** Until when every request has been answered, as a share. */
const REPLY_DEADLINE_SHARE = 0.85;
/**
 * Until when replies may be sent, as a share; the rest is a margin for timers that fire late when CPU time is
 * scarce.
 */
const EXIT_SHARE = 0.94;

/** The times of a shutdown, in monotonic milliseconds. */
export interface ShutdownSchedule {
  /** From then on idle sessions are closed and new ones are rejected. */
  readonly drainStartMs: number;
  /** From then on only commits and rollbacks of open transactions are run. */
  readonly statementCutoffMs: number;
  /** By then every request has been answered, if necessary with an unknown outcome (`in_doubt`). */
  readonly replyDeadlineMs: number;
  /** By then the process has exited. */
  readonly exitDeadlineMs: number;
}

/**
 * Computes the schedule of a shutdown.
 *
 * @param nowMs - when the daemon was asked to stop
 * @param graceMs - time until the process is killed
 */
export function scheduleShutdown(nowMs: number, graceMs: number): ShutdownSchedule {
  return {
    drainStartMs: nowMs + Math.min(DRAIN_DELAY_MS, graceMs * MAX_DRAIN_DELAY_SHARE),
    statementCutoffMs: nowMs + graceMs * STATEMENT_CUTOFF_SHARE,
    replyDeadlineMs: nowMs + graceMs * REPLY_DEADLINE_SHARE,
    exitDeadlineMs: nowMs + graceMs * EXIT_SHARE,
  };
}
