/**
 * Estimates how far a replica lags behind its leader in time, from whether it held the positions that reads
 * required. Pure.
 *
 * A read that a replica rejects occupies a connection, and on members that are told the tenant it often means
 * opening one. The leader is known to have reached the required position at a certain time. A replica that
 * was too far behind for a position of some age is expected to be too far behind for positions as recent as
 * that again.
 *
 * @packageDocumentation
 */

/**
 * Factor for the expected lag after an answer that held the position; a replica that has caught up is used
 * again after some answers.
 */
const HELD_DECAY = 0.9;
/** Half-life of the expected lag without new answers, in milliseconds, so that the replica is tried again. */
const HALF_LIFE_MS = 4000;

/** Lag estimate of one replica. */
export class ReplicaLag {
  #lagMs = 0;
  #updatedAtMs = 0;

  /** Records that the replica did not hold a position that the leader had reached `ageMs` ago. */
  recordBehind(ageMs: number, nowMs: number): void {
    this.#set(Math.max(this.expectedMs(nowMs), ageMs), nowMs);
  }

  /** Records that the replica held a position that the leader had reached `ageMs` ago. */
  recordHeld(ageMs: number, nowMs: number): void {
    const expectedMs = this.expectedMs(nowMs);
    if (ageMs <= expectedMs * 2) this.#set(Math.min(ageMs, expectedMs * HELD_DECAY), nowMs);
  }

  /** Expected lag, in milliseconds. */
  expectedMs(nowMs: number): number {
    return this.#lagMs * 0.5 ** ((nowMs - this.#updatedAtMs) / HALF_LIFE_MS);
  }

  #set(lagMs: number, nowMs: number): void {
    this.#lagMs = lagMs;
    this.#updatedAtMs = nowMs;
  }
}
