/**
 * Logs load reports that were ignored, at a limited rate.
 *
 * @packageDocumentation
 */

/** Minimum interval between two lines, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

/** Counts ignored reports and logs them. */
export class InvalidReports {
  #loggedAtMs = Number.NEGATIVE_INFINITY;
  /** Reports ignored since the last line. */
  #ignored = 0;

  constructor(
    private readonly log: (event: string, details: Readonly<Record<string, unknown>>) => void,
    private readonly now: () => number,
  ) {}

  /** Records that a report of a gateway was ignored. The line does not quote the report. */
  record(gatewayName: string): void {
    this.#ignored += 1;
    const nowMs = this.now();
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    this.log('load_report_ignored', { gateway: gatewayName, ignored: this.#ignored });
    this.#loggedAtMs = nowMs;
    this.#ignored = 0;
  }
}
