/**
 * Since when the process of a leader has been known not to run.
 *
 * Its log may hold the only copy that is left of a commit, so it is waited for. There is one wait for the group: a member
 * that starts again and again while nobody leads receives nothing that could be acknowledged, and begins no wait of its own.
 *
 * @packageDocumentation
 */
import { formatIncarnation, type Incarnation } from '../topology/incarnation.js';

/** For how long a leader that does not run is waited for, in milliseconds: as long as a member whose entry is gone. */
export const AWAITED_MS = 30_000;

/** The last leader that one supervisor found not to run. */
export class LeaderLoss {
  #last: { readonly life: string; readonly sinceMs: number } | null = null;

  /** The life refused a connection that was asked for at `nowMs`. */
  refused(incarnation: Incarnation, nowMs: number): void {
    const life = formatIncarnation(incarnation);
    if (this.#last?.life !== life) this.#last = { life, sinceMs: nowMs };
  }

  /** The life answers after all. */
  answered(incarnation: Incarnation): void {
    if (this.#last?.life === formatIncarnation(incarnation)) this.#last = null;
  }

  /** True when the life has been waited for long enough. */
  isOver(incarnation: Incarnation, nowMs: number): boolean {
    return this.#last?.life === formatIncarnation(incarnation) && nowMs - this.#last.sinceMs >= AWAITED_MS;
  }
}
