/**
 * The figures of a daemon, loaded some time after its start: loading them would take a tenth of the time until it serves.
 * What happens before is kept, and counted then.
 *
 * @packageDocumentation
 */
import type { RelayMetrics, RelayState } from './relay-metrics.js';

/** Calls that are kept before the figures are loaded; more are not counted. */
const MAX_KEPT = 20_000;

/** What is counted while requests are served. */
export type MetricsRecorder = Pick<
  RelayMetrics,
  'requestEnded' | 'memberAnswered' | 'decided' | 'happened' | 'entryLeftOut' | 'itemNotNewer'
>;

/** Figures that are loaded late. */
export class DeferredMetrics implements MetricsRecorder {
  readonly #kept: ((metrics: MetricsRecorder) => void)[] = [];
  #metrics: RelayMetrics | null = null;
  #loading: Promise<RelayMetrics> | null = null;

  /** @param delayMs - time until they are loaded unless somebody asks for them first, in milliseconds */
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

  happened(event: string): void {
    this.#record((metrics) => metrics.happened(event));
  }

  entryLeftOut(kind: string, fault: string): void {
    this.#record((metrics) => metrics.entryLeftOut(kind, fault));
  }

  itemNotNewer(): void {
    this.#record((metrics) => metrics.itemNotNewer());
  }

  /** All figures as text. */
  async text(state: RelayState): Promise<string> {
    return (await this.#load()).text(state);
  }

  #record(call: (metrics: MetricsRecorder) => void): void {
    if (this.#metrics !== null) call(this.#metrics);
    else if (this.#kept.length < MAX_KEPT) this.#kept.push(call);
  }

  #load(): Promise<RelayMetrics> {
    this.#loading ??= import('./relay-metrics.js').then(({ RelayMetrics }) => {
      const metrics = new RelayMetrics();
      this.#metrics = metrics;
      for (const call of this.#kept.splice(0)) call(metrics);
      return metrics;
    });
    return this.#loading;
  }
}
