/**
 * Collects the suspicions that daemons report about the leader of one group. Pure: times are passed in, in
 * monotonic milliseconds.
 *
 * @packageDocumentation
 */
import type { Suspicion, SuspicionReason } from '../cluster/peer-mesh.js';

/** Time for which a reported suspicion counts, in milliseconds. */
const SUSPICION_TTL_MS = 500;
/**
 * Time for which a daemon has to be without the leader before that alone is a reason to replace it, in
 * milliseconds.
 */
const LASTING_SUSPICION_MS = 500;
/** Share of the connected daemons that has to be without the leader, and the least number of them. */
const REPORTER_SHARE = 0.3;
const MIN_REPORTERS = 2;

interface ReportedSuspicion {
  readonly memberId: string;
  readonly sinceMs: number;
  readonly lastMs: number;
}

/** Suspicions about the leader of one group, by reason and reporter. */
export class LeaderSuspicions {
  readonly #byReason = new Map<SuspicionReason, Map<string, ReportedSuspicion>>();

  add({ memberId, reason, reporter }: Suspicion, nowMs: number): void {
    let byReporter = this.#byReason.get(reason);
    if (byReporter === undefined) {
      byReporter = new Map();
      this.#byReason.set(reason, byReporter);
    }
    const known = byReporter.get(reporter);
    const isContinued =
      known !== undefined && known.memberId === memberId && nowMs - known.lastMs < SUSPICION_TTL_MS;
    byReporter.set(reporter, { memberId, sinceMs: isContinued ? known.sinceMs : nowMs, lastMs: nowMs });
  }

  /** True when at least one daemon suspects the leader for this reason. */
  has(reason: SuspicionReason, memberId: string, nowMs: number): boolean {
    return this.#recent(reason, memberId, nowMs).length > 0;
  }

  /** Number of daemons that suspect the leader for this reason. */
  count(reason: SuspicionReason, memberId: string, nowMs: number): number {
    return this.#recent(reason, memberId, nowMs).length;
  }

  /**
   * Number of daemons that have been without the leader for {@link LASTING_SUSPICION_MS}, if they are enough
   * to replace it; else 0.
   */
  lastingReporterCount(memberId: string, connectedDaemons: number, nowMs: number): number {
    const lasting = this.#recent('silent', memberId, nowMs).filter(
      ({ sinceMs, lastMs }) => lastMs - sinceMs >= LASTING_SUSPICION_MS,
    );
    const needed = Math.max(MIN_REPORTERS, Math.ceil(connectedDaemons * REPORTER_SHARE));
    return lasting.length >= needed ? lasting.length : 0;
  }

  /** Drops all suspicions: the leader is being replaced. */
  clear(): void {
    this.#byReason.clear();
  }

  #recent(reason: SuspicionReason, memberId: string, nowMs: number): readonly ReportedSuspicion[] {
    const reports = [...(this.#byReason.get(reason)?.values() ?? [])];
    return reports.filter(
      (report) => report.memberId === memberId && nowMs - report.lastMs < SUSPICION_TTL_MS,
    );
  }
}
