/**
 * Tracks since when the process of the leader has been known to have ended.
 *
 * Its log may hold the only remaining copy of a commit, so a promotion waits for it. There is a single wait
 * per group: a member that restarts repeatedly while the group has no leader receives nothing that could be
 * acknowledged, and does not start another wait.
 *
 * @packageDocumentation
 */
import { formatIncarnation, type Incarnation } from '../topology/incarnation.js';

/**
 * How long to wait for a leader that has ended, in milliseconds: the same as for a member whose entry has been
 * removed.
 */
export const LEADER_WAIT_MS = 30_000;

/** The last leader that one supervisor found to have ended. */
export class LeaderLoss {
  #last: { readonly incarnation: string; readonly sinceMs: number } | null = null;

  /** Records that the incarnation was found to have ended at `nowMs`. */
  recordEnd(incarnation: Incarnation, nowMs: number): void {
    const formatted = formatIncarnation(incarnation);
    if (this.#last?.incarnation !== formatted) this.#last = { incarnation: formatted, sinceMs: nowMs };
  }

  /** Records that the incarnation answers after all. */
  recordAnswer(incarnation: Incarnation): void {
    if (this.#last?.incarnation === formatIncarnation(incarnation)) this.#last = null;
  }

  /** True when the wait for the incarnation is over. */
  isOver(incarnation: Incarnation, nowMs: number): boolean {
    return (
      this.#last?.incarnation === formatIncarnation(incarnation) &&
      nowMs - this.#last.sinceMs >= LEADER_WAIT_MS
    );
  }
}
