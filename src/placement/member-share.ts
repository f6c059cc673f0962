/**
 * Share of its usual requests that a member gets after it was slow or failed requests. Pure.
 *
 * @packageDocumentation
 */

/** Share while the member is degraded; these requests show when it has recovered. */
export const MIN_SHARE = 0.05;
/** Time in which the share rises back to 1, linearly, in milliseconds. */
export const RECOVERY_MS = 3000;

/** Share of one member. */
export class MemberShare {
  #degradedAtMs = Number.NEGATIVE_INFINITY;

  /** Records that the member is degraded now; true if it had its whole share before. */
  markDegraded(nowMs: number): boolean {
    const hadWholeShare = this.valueAt(nowMs) === 1;
    this.#degradedAtMs = nowMs;
    return hadWholeShare;
  }

  /** The share, from {@link MIN_SHARE} to 1. */
  valueAt(nowMs: number): number {
    const recoveredPart = (nowMs - this.#degradedAtMs) / RECOVERY_MS;
    return recoveredPart >= 1 ? 1 : MIN_SHARE + (1 - MIN_SHARE) * Math.max(0, recoveredPart);
  }
}
