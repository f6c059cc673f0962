/**
 * When a daemon that has started asks for clients. Pure.
 *
 * A group may have no leader for seconds, for reasons of its own: that is no reason to keep clients of the other groups
 * away. But right after a start evidence arrives group by group, so a little patience spares clients the wait.
 *
 * @packageDocumentation
 */

/** Wait for the evidence of the last groups after that of the first, in milliseconds: three rounds of questions. */
const LAST_GROUPS_MS = 1200;

/** Whether a daemon can serve; once it can, it stays so. */
export class Readiness {
  #isReady = false;
  #firstProvenAtMs: number | null = null;

  /** True once requests can be served. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /**
   * Takes what is known.
   *
   * @param proven - groups whose leader there is evidence of
   * @param groups - all groups; 0 where no route leads to any
   */
  look(proven: number, groups: number, nowMs: number): void {
    if (proven === groups) this.#isReady = true;
    if (proven === 0) return;
    this.#firstProvenAtMs ??= nowMs;
    if (nowMs - this.#firstProvenAtMs >= LAST_GROUPS_MS) this.#isReady = true;
  }
}
