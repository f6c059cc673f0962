/**
 * Log positions that a proven leader reported, by the time at which it was queried. Pure: times are passed
 * in.
 *
 * Every commit acknowledged before the leader was queried is at or before the position that it reported.
 *
 * @packageDocumentation
 */
import { comparePositions, type Position } from '../position/position.js';

/** A position that the proven leader reported. */
export interface LeaderPositionSample {
  /** Monotonic time at which the leader was queried, in milliseconds. */
  readonly askedAtMs: number;
  readonly position: Position;
}

/** The least position that a replica has to have reached to serve a read. */
export interface ReadFloor {
  readonly position: Position;
  /** About when the leader had reached it, in monotonic milliseconds. */
  readonly reachedAtMs: number;
}

/** The later floor, which satisfies both. */
export function laterFloor(one: ReadFloor, other: ReadFloor): ReadFloor {
  return comparePositions(one.position, other.position) < 0 ? other : one;
}

/** Least time between two samples that are kept, in milliseconds. */
const SAMPLE_SPACING_MS = 20;

/** Time for which samples are kept, in milliseconds. A staleness bound above this is not used in full. */
const RETENTION_MS = 5000;

/** The recent positions of the leader of one group. */
export class PositionHistory {
  #samples: LeaderPositionSample[] = [];

  /** Records a position that the leader reported under valid evidence when it was queried at `askedAtMs`. */
  record(askedAtMs: number, position: Position): void {
    const last = this.#samples.at(-1);
    if (last !== undefined && askedAtMs - last.askedAtMs < SAMPLE_SPACING_MS) return;
    this.#samples.push({ askedAtMs, position });
    const oldest = askedAtMs - RETENTION_MS;
    const keepFrom = this.#samples.findIndex((sample) => sample.askedAtMs >= oldest);
    if (keepFrom > 64) this.#samples = this.#samples.slice(keepFrom);
  }

  /** The newest position, with the time at which the leader was queried; `null` before the first. */
  get newest(): LeaderPositionSample | null {
    return this.#samples.at(-1) ?? null;
  }

  /**
   * The lowest known floor that covers every commit acknowledged before `sinceMs`, or `null` when the leader
   * has not been queried since then.
   */
  floorSince(sinceMs: number): ReadFloor | null {
    let floor: ReadFloor | null = null;
    for (let index = this.#samples.length - 1; index >= 0; index -= 1) {
      const sample = this.#samples[index];
      if (sample === undefined || sample.askedAtMs < sinceMs) break;
      const { position, askedAtMs } = sample;
      if (floor === null || comparePositions(position, floor.position) <= 0)
        floor = { position, reachedAtMs: askedAtMs };
    }
    return floor;
  }
}
