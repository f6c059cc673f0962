/**
 * The times of a planned stop, as shares of the grace time after which the process is killed. Pure.
 *
 * Each session is brought to its end by the daemon: who is not asked to end is cut at the kill, whatever it is doing then.
 *
 * @packageDocumentation
 */

/** Time in which the platform learns that no new connections are wanted, in milliseconds: two of its questions, one a second. */
const UNLIST_MS = 2200;
/** The same at most, as a share of the grace time. */
const UNLIST_SHARE = 0.5;
/**
 * Until when statements are still run, as a share: an open transaction is promised the first half of the grace time, and
 * what is begun then has 0.9 s of 6 s left for its answer.
 */
const LAST_STATEMENT_SHARE = 0.7;
/** Until when every request has its answer, as a share. */
const LAST_ANSWER_SHARE = 0.85;
/** Until when the answers may leave, as a share: a process of little processor time is late with its timers, too. */
const EXIT_SHARE = 0.94;

/** When a daemon that was told to stop does what; monotonic milliseconds. */
export interface PlannedStop {
  /** From then on sessions at rest are ended, and no new ones begun. */
  readonly drainAtMs: number;
  /** From then on nothing is run but the commits of open transactions. */
  readonly lastStatementAtMs: number;
  /** Every request has its answer by then, if only that it is in doubt. */
  readonly lastAnswerAtMs: number;
  /** The process ends by then. */
  readonly exitAtMs: number;
}

/**
 * The plan of a stop.
 *
 * @param nowMs - when the daemon was told to stop
 * @param graceMs - time until the process is killed
 */
export function planStop(nowMs: number, graceMs: number): PlannedStop {
  return {
    drainAtMs: nowMs + Math.min(UNLIST_MS, graceMs * UNLIST_SHARE),
    lastStatementAtMs: nowMs + graceMs * LAST_STATEMENT_SHARE,
    lastAnswerAtMs: nowMs + graceMs * LAST_ANSWER_SHARE,
    exitAtMs: nowMs + graceMs * EXIT_SHARE,
  };
}
