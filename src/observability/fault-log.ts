/**
 * Lines about faults that may come again and again: one for each subject and reason until the subject is good again, and few in
 * any time, whatever there is to say.
 *
 * @packageDocumentation
 */

/** Lines in a period at most, and the period in milliseconds. */
const LINES_PER_PERIOD = 10;
const PERIOD_MS = 10_000;
/** Subjects whose faults are remembered; the oldest are forgotten beyond that. */
const MAX_SUBJECTS = 1000;
/** Reasons that are remembered of one subject; others are not said. */
const MAX_REASONS = 8;

/** Writes such lines. */
export class FaultLog {
  readonly #reasons = new Map<string, Set<string>>();
  #periodStartMs = Number.NEGATIVE_INFINITY;
  #written = 0;
  /** Lines left out of the log for their number alone, since the last that was written. */
  #unsaid = 0;

  constructor(
    private readonly log: (event: string, details: Readonly<Record<string, unknown>>) => void,
    private readonly now: () => number,
  ) {}

  /** A subject has a fault; neither the reason nor the details may quote what was found. */
  tell(
    event: string,
    subject: string,
    reason: string,
    details: Readonly<Record<string, unknown>> = {},
  ): void {
    if (!this.#isNew(`${event} ${subject}`, reason)) return;
    if (!this.#mayWrite()) {
      this.#unsaid += 1;
      return;
    }
    const unsaid = this.#unsaid === 0 ? {} : { unsaid: this.#unsaid };
    this.#unsaid = 0;
    this.log(event, { ...details, reason, ...unsaid });
  }

  /** A subject is good again, or gone. */
  clear(event: string, subject: string): void {
    if (this.#reasons.size > 0) this.#reasons.delete(`${event} ${subject}`);
  }

  #isNew(subject: string, reason: string): boolean {
    const known = this.#reasons.get(subject);
    if (known === undefined) {
      this.#remember(subject, reason);
      return true;
    }
    if (known.has(reason) || known.size >= MAX_REASONS) return false;
    known.add(reason);
    return true;
  }

  #remember(subject: string, reason: string): void {
    this.#reasons.set(subject, new Set([reason]));
    if (this.#reasons.size <= MAX_SUBJECTS) return;
    for (const oldest of this.#reasons.keys()) {
      this.#reasons.delete(oldest);
      return;
    }
  }

  #mayWrite(): boolean {
    const now = this.now();
    if (now - this.#periodStartMs >= PERIOD_MS) {
      this.#periodStartMs = now;
      this.#written = 0;
    }
    this.#written += 1;
    return this.#written <= LINES_PER_PERIOD;
  }
}

/** What an exception is, without its message, which may quote a value. */
export function nameFault(error: unknown): string {
  return error instanceof Error ? error.name : typeof error;
}
