/**
 * Decides when a daemon that has just started reports itself ready for clients. Pure.
 *
 * One group may have no leader for seconds, which must not keep clients away from the other groups. But
 * directly after a start, leadership evidence arrives group by group. A short delay avoids sending clients to
 * groups whose leader is not yet known.
 *
 * @packageDocumentation
 */

/**
 * Time after the first group has a leader until the daemon is ready without the other groups, in
 * milliseconds: three rounds of status requests.
 */
const PARTIAL_READINESS_DELAY_MS = 1200;

/** Readiness of a daemon; never reverts to false. */
export class Readiness {
  #isReady = false;
  #firstLeaderAtMs: number | null = null;

  /** True once requests can be served. */
  get isReady(): boolean {
    return this.#isReady;
  }

  /**
   * Updates the readiness.
   *
   * @param groupsWithLeader - number of groups with evidence of a leader
   * @param groupCount - number of all groups; 0 without routes
   */
  update(groupsWithLeader: number, groupCount: number, nowMs: number): void {
    if (groupsWithLeader === groupCount) this.#isReady = true;
    if (groupsWithLeader === 0) return;
    this.#firstLeaderAtMs ??= nowMs;
    if (nowMs - this.#firstLeaderAtMs >= PARTIAL_READINESS_DELAY_MS) this.#isReady = true;
  }
}
