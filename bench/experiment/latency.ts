/**
 * Percentiles of latencies, computed with an HDR histogram.
 *
 * @packageDocumentation
 */
import { build } from 'hdr-histogram-js';

/** Percentiles of a latency, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

const MICROSECONDS_PER_MS = 1000;

/** Summarises latencies at a resolution of one microsecond. */
export function summariseLatency(latenciesMs: readonly number[]): LatencySummary {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000_000,
    numberOfSignificantValueDigits: 3,
  });
  for (const latencyMs of latenciesMs) histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  const percentile = (p: number): number => histogram.getValueAtPercentile(p) / MICROSECONDS_PER_MS;
  return { count: latenciesMs.length, p50: percentile(50), p99: percentile(99), max: percentile(100) };
}
