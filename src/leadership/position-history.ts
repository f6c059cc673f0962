/**
 * Positions that a proven leader gave, by the time at which it was asked. Pure: times are passed in.
 *
 * Every commit acknowledged before the leader was asked is at or before the position that it gave.
 *
 * @packageDocumentation
 */
import { comparePositions, type Position } from '../position/position.js';

/** A position that the proven leader gave. */
export interface LedSample {
  /** Monotonic time at which it was asked, in milliseconds. */
  readonly askedAtMs: number;
  readonly position: Position;
}

/** What a replica has to hold for a read. */
export interface ReadFloor {
  readonly position: Position;
  /** About when the leader had reached it, in monotonic milliseconds. */
  readonly reachedAtMs: number;
}

/** The one that holds both. */
export function laterFloor(one: ReadFloor, other: ReadFloor): ReadFloor {
  return comparePositions(one.position, other.position) < 0 ? other : one;
}

/** Least time between two samples that are kept, in milliseconds. */
const SAMPLE_SPACING_MS = 20;

/** How long samples are kept, in milliseconds; no staleness bound above this is used in full. */
const KEEP_MS = 5000;

/** The positions of one group's leader over the last seconds. */
export class PositionHistory {
  #samples: LedSample[] = [];

  /** Takes a position that the leader gave when it was asked at `askedAtMs` under valid evidence. */
  record(askedAtMs: number, position: Position): void {
    const last = this.#samples.at(-1);
    if (last !== undefined && askedAtMs - last.askedAtMs < SAMPLE_SPACING_MS) return;
    this.#samples.push({ askedAtMs, position });
    const oldest = askedAtMs - KEEP_MS;
    const keepFrom = this.#samples.findIndex((sample) => sample.askedAtMs >= oldest);
    if (keepFrom > 64) this.#samples = this.#samples.slice(keepFrom);
  }

  /** The newest position, with the time at which the leader was asked; `null` before the first. */
  get newest(): LedSample | null {
    return this.#samples.at(-1) ?? null;
  }

  /**
   * The lowest known floor that holds every commit acknowledged before `sinceMs`, or `null` when the leader
   * was not asked since.
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
