/**
 * Decides with which replies a gateway sends a load report.
 *
 * @packageDocumentation
 */

/** Minimum interval between reports on one member over one connection, in milliseconds. */
export const REPORT_INTERVAL_MS = 250;
/**
 * Reports that a daemon sends per second at most, over all connections: a report takes about 20 bytes, and load
 * messages may take 1 kB/s per daemon whatever the number of daemons.
 */
export const MAX_REPORTS_PER_S = 40;

/** Limits the reports of one daemon over all its connections. */
export class ReportBudget {
  #periodStartMs = Number.NEGATIVE_INFINITY;
  #sent = 0;

  /** True if a report may be sent now; it is then counted. */
  take(nowMs: number): boolean {
    if (nowMs - this.#periodStartMs >= 1000) {
      this.#periodStartMs = nowMs;
      this.#sent = 0;
    }
    if (this.#sent >= MAX_REPORTS_PER_S) return false;
    this.#sent += 1;
    return true;
  }
}

/** The reports sent over one connection. */
export class ReportSchedule {
  readonly #sentAtMs = new Map<string, number>();

  constructor(private readonly budget: ReportBudget) {}

  /** True if a report on the member is due; it is then taken as sent. */
  take(memberId: string, nowMs: number): boolean {
    const sentAtMs = this.#sentAtMs.get(memberId) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - sentAtMs < REPORT_INTERVAL_MS || !this.budget.take(nowMs)) return false;
    this.#sentAtMs.set(memberId, nowMs);
    return true;
  }
}
