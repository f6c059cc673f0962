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
/**
 * Round trip of a client's connection up to which a shutdown loses none of its requests, in milliseconds: the
 * way there and back, with half a second of replies queued on the link.
 *
 * A request that crosses the shutdown notice needs it to reach this process, which must still run then.
 */
export const CLIENT_ROUND_TRIP_MS = 1000;
/**
 * Earliest time of the last shutdown notices, as a share, even where less than {@link CLIENT_ROUND_TRIP_MS} is
 * left after it: open transactions are guaranteed the first half of the grace period, and idle sessions are
 * closed before them.
 */
const MIN_NOTICE_SHARE = 0.55;
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
  /**
   * From then on a session is closed as soon as no request of it is being handled, even inside a transaction.
   * Its client has {@link CLIENT_ROUND_TRIP_MS} left before the process exits, if the grace period allows it.
   */
  readonly noticeDeadlineMs: number;
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
  const replyDeadlineMs = graceMs * REPLY_DEADLINE_SHARE;
  const exitDeadlineMs = graceMs * EXIT_SHARE;
  const lastNoticeMs = Math.max(graceMs * MIN_NOTICE_SHARE, exitDeadlineMs - CLIENT_ROUND_TRIP_MS);
  const noticeDeadlineMs = Math.min(lastNoticeMs, replyDeadlineMs);
  return {
    drainStartMs: nowMs + Math.min(DRAIN_DELAY_MS, graceMs * MAX_DRAIN_DELAY_SHARE),
    statementCutoffMs: nowMs + Math.min(graceMs * STATEMENT_CUTOFF_SHARE, noticeDeadlineMs),
    noticeDeadlineMs: nowMs + noticeDeadlineMs,
    replyDeadlineMs: nowMs + replyDeadlineMs,
    exitDeadlineMs: nowMs + exitDeadlineMs,
  };
}
