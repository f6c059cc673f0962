/**
 * Tracks since when no daemon process has listened at an address. Pure: times are passed in, in monotonic
 * milliseconds.
 *
 * A daemon process loses its record of acknowledged commits when it exits. All of them precede the exit, so
 * any position that the leader reports later is an upper bound for them. A refused connection proves that no
 * process listens at the address at that moment. Refusals in close succession prove the same for the time
 * between them, because a process acknowledges nothing in its first second.
 *
 * @packageDocumentation
 */
import { REGISTRATION_SETTLE_MS } from '../leadership/leadership-evidence.js';

export const PROBE_TIMEOUT_MS = 250;
/**
 * Gap between two refusals below which a process that started and exited unobserved between them cannot have
 * acknowledged anything. The duration of a probe is subtracted.
 */
const MAX_REFUSAL_GAP_MS = REGISTRATION_SETTLE_MS - PROBE_TIMEOUT_MS - 50;

/** An interval in which no process at an address acknowledged a commit. */
export interface Absence {
  /** When the first refusal of the interval was received. */
  readonly sinceMs: number;
  /** When the last refusal was received. */
  readonly lastMs: number;
}

/** An absence as one daemon reports it to another; ages, because the daemons' clocks differ. */
export interface ReportedAbsence {
  readonly address: string;
  /** Time since the first and the last refusal, in milliseconds. */
  readonly sinceAgoMs: number;
  readonly lastAgoMs: number;
}

/** Keeps the latest absence for each address. */
export class AbsenceTracker {
  readonly #absences = new Map<string, Absence>();

  /** Records that a connection to the address was refused. */
  recordRefusal(address: string, nowMs: number): void {
    const known = this.#absences.get(address);
    const isContinuation = known !== undefined && nowMs - known.lastMs < MAX_REFUSAL_GAP_MS;
    this.#absences.set(address, { sinceMs: isContinuation ? known.sinceMs : nowMs, lastMs: nowMs });
  }

  /**
   * Merges an absence that another daemon has observed. Absences separated by less than the maximum gap are
   * joined; otherwise the later one is kept.
   */
  merge(address: string, reported: Absence): void {
    const known = this.#absences.get(address);
    if (known === undefined) return void this.#absences.set(address, reported);
    const [earlier, later] = known.sinceMs <= reported.sinceMs ? [known, reported] : [reported, known];
    const isContinuation = later.sinceMs - earlier.lastMs < MAX_REFUSAL_GAP_MS;
    const lastMs = Math.max(earlier.lastMs, later.lastMs);
    this.#absences.set(address, isContinuation ? { sinceMs: earlier.sinceMs, lastMs } : later);
  }

  /** All known absences, as ages at `nowMs`. */
  report(nowMs: number): readonly ReportedAbsence[] {
    return [...this.#absences].map(([address, { sinceMs, lastMs }]) => ({
      address,
      sinceAgoMs: nowMs - sinceMs,
      lastAgoMs: nowMs - lastMs,
    }));
  }

  /** The latest absence at an address, or `null`. */
  find(address: string): Absence | null {
    return this.#absences.get(address) ?? null;
  }

  /** Discards absences that ended before `sinceMs`. */
  discardBefore(sinceMs: number): void {
    for (const [address, { lastMs }] of this.#absences) if (lastMs < sinceMs) this.#absences.delete(address);
  }
}

/**
 * Converts an absence reported in an answer to this daemon's clock. The time that the answer was under way is
 * unknown, so the result is the shortest interval that fits.
 *
 * @param sentAtMs - when the request was sent
 * @param receivedAtMs - when the answer was received
 */
export function toLocalAbsence(
  { sinceAgoMs, lastAgoMs }: ReportedAbsence,
  sentAtMs: number,
  receivedAtMs: number,
): Absence {
  const sinceMs = receivedAtMs - sinceAgoMs;
  return { sinceMs, lastMs: Math.max(sinceMs, sentAtMs - lastAgoMs) };
}

/**
 * Time by which all earlier processes at an address had exited, or `null` when their exit was not observed.
 *
 * @param beganMs - when the current process was at the address already
 */
export function predecessorExitMs({ sinceMs, lastMs }: Absence, beganMs: number): number | null {
  return beganMs - lastMs < MAX_REFUSAL_GAP_MS ? sinceMs : null;
}
