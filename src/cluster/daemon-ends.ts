/**
 * Since when no process has stood at the address of a daemon. Pure: times are passed in, in monotonic milliseconds.
 *
 * A daemon whose process ends forgets what it has acknowledged. Whatever that was, it was before its end, so a position that the leader gave
 * later bounds it. A host that refuses a connection shows that no process stands there at that moment; refusals that follow each other closely show
 * the same of the time between, since a process acknowledges nothing in its first second.
 *
 * @packageDocumentation
 */
import { REGISTRATION_SETTLE_MS } from '../leadership/leadership-evidence.js';

/** Longest time of a question whether a process stands at an address, in milliseconds. */
export const END_DIAL_MS = 250;
/** Time in which a process that started and ended unseen cannot have acknowledged anything, with that of a question taken off. */
const UNSEEN_MS = REGISTRATION_SETTLE_MS - END_DIAL_MS - 50;

/** A time in which nothing was acknowledged at an address. */
export interface Absence {
  /** When the first refusal of this time had come. */
  readonly sinceMs: number;
  /** When the last one had come. */
  readonly lastMs: number;
}

/** An absence as one daemon tells another of it. */
export interface ToldAbsence {
  readonly address: string;
  /** Time since its first and its last refusal, in milliseconds. */
  readonly sinceAgoMs: number;
  readonly lastAgoMs: number;
}

/** The absences at some addresses. */
export class DaemonEnds {
  readonly #absences = new Map<string, Absence>();

  /** The host of an address has refused a connection. */
  refused(address: string, nowMs: number): void {
    const known = this.#absences.get(address);
    const goesOn = known !== undefined && nowMs - known.lastMs < UNSEEN_MS;
    this.#absences.set(address, { sinceMs: goesOn ? known.sinceMs : nowMs, lastMs: nowMs });
  }

  /** Another daemon has seen an absence; the one that is known is kept where it is the later of two. */
  learn(address: string, told: Absence): void {
    const known = this.#absences.get(address);
    if (known === undefined) return void this.#absences.set(address, told);
    const [earlier, later] = known.sinceMs <= told.sinceMs ? [known, told] : [told, known];
    const goesOn = later.sinceMs - earlier.lastMs < UNSEEN_MS;
    const lastMs = Math.max(earlier.lastMs, later.lastMs);
    this.#absences.set(address, goesOn ? { sinceMs: earlier.sinceMs, lastMs } : later);
  }

  /** All that are known, as ages. */
  tell(nowMs: number): readonly ToldAbsence[] {
    return [...this.#absences].map(([address, { sinceMs, lastMs }]) => ({
      address,
      sinceAgoMs: nowMs - sinceMs,
      lastAgoMs: nowMs - lastMs,
    }));
  }

  /** The last absence at an address, or `null`. */
  of(address: string): Absence | null {
    return this.#absences.get(address) ?? null;
  }

  /** Forgets absences that ended before `sinceMs`. */
  trim(sinceMs: number): void {
    for (const [address, { lastMs }] of this.#absences) if (lastMs < sinceMs) this.#absences.delete(address);
  }
}

/**
 * An absence that was told in an answer, by this daemon's clock: as short as it may have been.
 *
 * @param askedAtMs - when the question was sent
 * @param heardAtMs - when its answer was there
 */
export function absenceOf(
  { sinceAgoMs, lastAgoMs }: ToldAbsence,
  askedAtMs: number,
  heardAtMs: number,
): Absence {
  const sinceMs = heardAtMs - sinceAgoMs;
  return { sinceMs, lastMs: Math.max(sinceMs, askedAtMs - lastAgoMs) };
}

/**
 * When the processes at an address had ended that stood there before the present one, or `null` where that was not seen.
 *
 * @param beganMs - when the present one had taken the address
 */
export function endedBefore({ sinceMs, lastMs }: Absence, beganMs: number): number | null {
  return beganMs - lastMs < UNSEEN_MS ? sinceMs : null;
}
