/**
 * How far a replica is behind its leader in time, learned from whether it held what reads asked of it. Pure.
 *
 * A read that a replica turns down costs a connection, and on members that are told tenants often the opening of one. What a
 * read asks for is known to have been reached by the leader at some moment: a replica that was too far behind for a moment as
 * recent as this is expected to be so again.
 *
 * @packageDocumentation
 */

/** What is expected after an answer, as a share of what was: a replica that has caught up is used again after some answers. */
const ANSWERED_SHARE = 0.9;
/** Time in which the expected lag halves while nothing is heard, in milliseconds: it is tried again then. */
const HALF_LIFE_MS = 4000;

/** The lag of one replica. */
export class ReplicaLag {
  #lagMs = 0;
  #knownAtMs = 0;

  /** It did not hold what the leader had reached `ageMs` ago. */
  lacked(ageMs: number, nowMs: number): void {
    this.#set(Math.max(this.expectedMs(nowMs), ageMs), nowMs);
  }

  /** It held what the leader had reached `ageMs` ago. */
  held(ageMs: number, nowMs: number): void {
    const expectedMs = this.expectedMs(nowMs);
    if (ageMs <= expectedMs * 2) this.#set(Math.min(ageMs, expectedMs * ANSWERED_SHARE), nowMs);
  }

  /** Time by which it is expected to be behind, in milliseconds. */
  expectedMs(nowMs: number): number {
    return this.#lagMs * 0.5 ** ((nowMs - this.#knownAtMs) / HALF_LIFE_MS);
  }

  #set(lagMs: number, nowMs: number): void {
    this.#lagMs = lagMs;
    this.#knownAtMs = nowMs;
  }
}
