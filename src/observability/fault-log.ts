/**
 * Logs recurring faults without flooding the log: one line per subject and reason until the subject recovers,
 * and a limited number of lines per period overall.
 *
 * @packageDocumentation
 */

/** Maximum number of lines in a period of {@link PERIOD_MS} milliseconds. */
const MAX_LINES_PER_PERIOD = 10;
const PERIOD_MS = 10_000;
/** Maximum number of subjects whose faults are tracked; beyond it the oldest is evicted. */
const MAX_SUBJECTS = 1000;
/** Maximum number of reasons logged for one subject; further reasons are not logged. */
const MAX_REASONS = 8;

/** Deduplicates and rate-limits log lines about faults. */
export class FaultLog {
  readonly #reasonsBySubject = new Map<string, Set<string>>();
  #periodStartMs = Number.NEGATIVE_INFINITY;
  #linesWritten = 0;
  /** Lines suppressed by the rate limit since the last line that was written. */
  #suppressedLines = 0;

  constructor(
    private readonly log: (event: string, details: Readonly<Record<string, unknown>>) => void,
    private readonly now: () => number,
  ) {}

  /**
   * Reports a fault of a subject; neither the reason nor the details may quote the data in which it was
   * found.
   */
  report(
    event: string,
    subject: string,
    reason: string,
    details: Readonly<Record<string, unknown>> = {},
  ): void {
    if (!this.#isNew(`${event} ${subject}`, reason)) return;
    if (!this.#mayWrite()) {
      this.#suppressedLines += 1;
      return;
    }
    const unsaid = this.#suppressedLines === 0 ? {} : { unsaid: this.#suppressedLines };
    this.#suppressedLines = 0;
    this.log(event, { ...details, reason, ...unsaid });
  }

  /** Forgets the faults of a subject that has recovered or no longer exists. */
  clear(event: string, subject: string): void {
    if (this.#reasonsBySubject.size > 0) this.#reasonsBySubject.delete(`${event} ${subject}`);
  }

  #isNew(subject: string, reason: string): boolean {
    const knownReasons = this.#reasonsBySubject.get(subject);
    if (knownReasons === undefined) {
      this.#remember(subject, reason);
      return true;
    }
    if (knownReasons.has(reason) || knownReasons.size >= MAX_REASONS) return false;
    knownReasons.add(reason);
    return true;
  }

  #remember(subject: string, reason: string): void {
    this.#reasonsBySubject.set(subject, new Set([reason]));
    if (this.#reasonsBySubject.size <= MAX_SUBJECTS) return;
    for (const oldest of this.#reasonsBySubject.keys()) {
      this.#reasonsBySubject.delete(oldest);
      return;
    }
  }

  #mayWrite(): boolean {
    const now = this.now();
    if (now - this.#periodStartMs >= PERIOD_MS) {
      this.#periodStartMs = now;
      this.#linesWritten = 0;
    }
    this.#linesWritten += 1;
    return this.#linesWritten <= MAX_LINES_PER_PERIOD;
  }
}

/** The name of an error, or the type of another thrown value; omits the message, which may quote a value. */
export function errorName(error: unknown): string {
  return error instanceof Error ? error.name : typeof error;
}
