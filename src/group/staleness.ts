/**
 * Computes an upper bound of a replica's staleness from samples of the primary's log position.
 *
 * @packageDocumentation
 */
import { comparePositions, hasReached, type Position } from '../position/position.js';

interface Sample {
  /**
   * Time at which the status query was sent. It precedes the response, so staleness is never underestimated.
   */
  readonly sentAtMs: number;
  readonly position: Position;
}

const MAX_SAMPLES = 600;
/**
 * Minimum interval between samples, in milliseconds; a sample that came sooner is replaced by the next one.
 */
const MIN_SAMPLE_SPACING_MS = 50;

/**
 * Records the position of the primary over time.
 *
 * A replica that has applied the position of the primary at time t has everything that was committed before
 * t, so its staleness is at most `now - t`.
 */
export class StalenessEstimator {
  #samples: Sample[] = [];

  /** Records a position of the primary. */
  record(position: Position, sentAtMs: number): void {
    const last = this.#samples.at(-1);
    if (last !== undefined && comparePositions(position, last.position) < 0) this.#samples = [];
    if (this.#replacesLast(position)) this.#samples.pop();
    this.#samples.push({ sentAtMs, position });
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift();
  }

  /** Returns an upper bound of the staleness of data at `applied`, in milliseconds; infinite when unknown. */
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
    return newestReached === undefined ? Number.POSITIVE_INFINITY : nowMs - newestReached.sentAtMs;
  }

  /**
   * True when a new sample replaces the last one: a later sample of the same position gives a tighter bound,
   * and samples closer together than {@link MIN_SAMPLE_SPACING_MS} add little precision.
   */
  #replacesLast(position: Position): boolean {
    const last = this.#samples.at(-1);
    if (last === undefined) return false;
    if (comparePositions(position, last.position) === 0) return true;
    const previous = this.#samples.at(-2);
    return previous !== undefined && last.sentAtMs - previous.sentAtMs < MIN_SAMPLE_SPACING_MS;
  }
}
