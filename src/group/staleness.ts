/**
 * Bounds how old the data of a replica is, from samples of the primary's log position.
 *
 * @packageDocumentation
 */
import { comparePositions, hasReached, type Position } from '../position/position.js';

interface Sample {
  /** When the question was sent, so that the bound errs to the old side. */
  readonly askedAtMs: number;
  readonly position: Position;
}

const MAX_SAMPLES = 600;
/** Samples closer together than this replace one another, in milliseconds. */
const SAMPLE_SPACING_MS = 50;

/**
 * Remembers when the primary was at which position.
 *
 * A replica that has applied the position which the primary had at time t holds everything committed before
 * t, so its data is at most `now - t` old.
 */
export class StalenessEstimator {
  #samples: Sample[] = [];

  /** Records a position of the primary. */
  record(position: Position, askedAtMs: number): void {
    const last = this.#samples.at(-1);
    if (last !== undefined && comparePositions(position, last.position) < 0) this.#samples = [];
    if (this.#replacesLast(position)) this.#samples.pop();
    this.#samples.push({ askedAtMs, position });
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift();
  }

  /** Upper bound of the age of data at `applied`, in milliseconds; infinite when nothing is known. */
  estimate(applied: Position, nowMs: number): number {
    let low = 0;
    let high = this.#samples.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const sample = this.#samples[middle];
      if (sample !== undefined && hasReached(applied, sample.position)) low = middle + 1;
      else high = middle;
    }
    const newestReached = this.#samples[low - 1];
    return newestReached === undefined ? Number.POSITIVE_INFINITY : nowMs - newestReached.askedAtMs;
  }

  /** A later sample of the same position is the better bound; one that comes soon after adds little. */
  #replacesLast(position: Position): boolean {
    const last = this.#samples.at(-1);
    if (last === undefined) return false;
    if (comparePositions(position, last.position) === 0) return true;
    const previous = this.#samples.at(-2);
    return previous !== undefined && last.askedAtMs - previous.askedAtMs < SAMPLE_SPACING_MS;
  }
}
