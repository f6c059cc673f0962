/**
 * Metrics whose module is loaded some time after the daemon's start, since loading it would take a tenth of
 * the start-up time. Calls made before that are buffered and replayed once the module is loaded.
 *
 * @packageDocumentation
 */
import type { PeerBuffer } from '../common/peer-buffer.js';
import type { RelayMetrics, RelayState } from './relay-metrics.js';

/** Maximum number of calls buffered before the metrics are loaded; further calls are discarded. */
const MAX_BUFFERED_CALLS = 20_000;

/** The recording half of {@link RelayMetrics}. */
export type MetricsRecorder = Pick<
  RelayMetrics,
  | 'requestEnded'
  | 'memberAnswered'
  | 'decided'
  | 'refused'
  | 'happened'
  | 'entryLeftOut'
  | 'itemNotNewer'
  | 'bufferOverrun'
  | 'admissionDecided'
  | 'waitMeasured'
  | 'retryDecided'
>;

/** Buffers recording calls until the metrics module is loaded. */
export class DeferredMetrics implements MetricsRecorder {
  readonly #bufferedCalls: ((metrics: MetricsRecorder) => void)[] = [];
  #metrics: RelayMetrics | null = null;
  #loading: Promise<RelayMetrics> | null = null;

  /**
   * @param delayMs - time in milliseconds after which the metrics are loaded, unless they are read earlier
   */
  constructor(delayMs: number) {
    setTimeout(() => void this.#load(), delayMs).unref();
  }

  requestEnded(statement: string, outcome: string, ms: number): void {
    this.#record((metrics) => metrics.requestEnded(statement, outcome, ms));
  }

  memberAnswered(statement: string, isLeader: boolean, ms: number): void {
    this.#record((metrics) => metrics.memberAnswered(statement, isLeader, ms));
  }

  decided(decision: string): void {
    this.#record((metrics) => metrics.decided(decision));
  }

  refused(cause: unknown): void {
    this.#record((metrics) => metrics.refused(cause));
  }

  happened(event: string): void {
    this.#record((metrics) => metrics.happened(event));
  }

  entryLeftOut(kind: string, fault: string): void {
    this.#record((metrics) => metrics.entryLeftOut(kind, fault));
  }

  itemNotNewer(): void {
    this.#record((metrics) => metrics.itemNotNewer());
  }

  bufferOverrun(buffer: PeerBuffer): void {
    this.#record((metrics) => metrics.bufferOverrun(buffer));
  }

  admissionDecided(decision: string): void {
    this.#record((metrics) => metrics.admissionDecided(decision));
  }

  waitMeasured(kind: string, ms: number): void {
    this.#record((metrics) => metrics.waitMeasured(kind, ms));
  }

  retryDecided(decision: string): void {
    this.#record((metrics) => metrics.retryDecided(decision));
  }

  /** All metrics in the Prometheus text format. */
  async text(state: RelayState): Promise<string> {
    return (await this.#load()).text(state);
  }

  #record(call: (metrics: MetricsRecorder) => void): void {
    if (this.#metrics !== null) call(this.#metrics);
    else if (this.#bufferedCalls.length < MAX_BUFFERED_CALLS) this.#bufferedCalls.push(call);
  }

  #load(): Promise<RelayMetrics> {
    this.#loading ??= import('./relay-metrics.js').then(({ RelayMetrics }) => {
      const metrics = new RelayMetrics();
      this.#metrics = metrics;
      for (const call of this.#bufferedCalls.splice(0)) call(metrics);
      return metrics;
    });
    return this.#loading;
  }
}
