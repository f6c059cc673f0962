/**
 * The daemon processes that are known to have ended. Pure: times are passed in, in monotonic milliseconds.
 *
 * A daemon process loses its record of acknowledged commits when it ends. All of them precede the end, so any
 * position that the leader reports later is an upper bound for them. A process is identified by the name of its
 * daemon and its `life`. An address that refuses connections, or does not answer, shows nothing: a cut network
 * may do the same.
 *
 * @packageDocumentation
 */

/**
 * What an end was concluded from. `end_of_stream`: the process closed a connection in order, which one that runs
 * on never does; `replaced`: another process of the daemon answers at its address; `reported`: another daemon knows
 * of it.
 */
export type ExitSign = 'end_of_stream' | 'replaced' | 'reported';

/** A process of a daemon. */
export interface DaemonProcess {
  readonly name: string;
  readonly life: string;
}

/** An end as one daemon reports it to another; an age, because the daemons' clocks differ. */
export interface ReportedExit extends DaemonProcess {
  /** Time since the process was known to have ended, in milliseconds. */
  readonly ageMs: number;
}

/**
 * How long an end is kept, in milliseconds: longer than the record of a daemon without a lease counts as one of a
 * daemon that may run.
 */
export const EXIT_RETENTION_MS = 660_000;
/** Most ends that are kept; the oldest are discarded first. */
const MAX_EXITS = 1024;
/** Most ends in one report: some 6 kB. */
export const MAX_REPORTED_EXITS = 64;

interface Exit extends DaemonProcess {
  readonly endedAtMs: number;
}

/** Keeps the ends, by process. */
export class ProcessExits {
  /** In the order in which they became known. */
  readonly #exits = new Map<string, Exit>();

  /**
   * Records that a process had ended by a time; the earliest time is kept.
   *
   * @returns true if the end was not known before
   */
  record({ name, life }: DaemonProcess, endedAtMs: number): boolean {
    const key = keyOf(name, life);
    const known = this.#exits.get(key);
    const exit = { name, life, endedAtMs: Math.min(endedAtMs, known?.endedAtMs ?? endedAtMs) };
    this.#exits.set(key, exit);
    this.#discardExcess();
    return known === undefined;
  }

  /** Time by which a process had ended; `null` if it may run. */
  endedAtMs(name: string, life: string): number | null {
    return this.#exits.get(keyOf(name, life))?.endedAtMs ?? null;
  }

  /** The ends that became known last, as ages at `nowMs`. */
  report(nowMs: number): readonly ReportedExit[] {
    const latest = [...this.#exits.values()].slice(-MAX_REPORTED_EXITS);
    return latest.map(({ name, life, endedAtMs }) => ({ name, life, ageMs: nowMs - endedAtMs }));
  }

  /** Discards ends before a time. */
  discardBefore(ms: number): void {
    for (const [key, { endedAtMs }] of this.#exits) if (endedAtMs < ms) this.#exits.delete(key);
  }

  #discardExcess(): void {
    for (const key of this.#exits.keys()) {
      if (this.#exits.size <= MAX_EXITS) return;
      this.#exits.delete(key);
    }
  }
}

/**
 * The ends of a report that can be used; a report with entries of another shape or too many is cut, since it comes
 * from another process.
 */
export function readReportedExits(reported: unknown): readonly ReportedExit[] {
  if (!Array.isArray(reported)) return [];
  return reported.slice(0, MAX_REPORTED_EXITS).filter(isReportedExit);
}

function isReportedExit(entry: unknown): entry is ReportedExit {
  if (typeof entry !== 'object' || entry === null) return false;
  const { name, life, ageMs } = entry as Partial<Record<keyof ReportedExit, unknown>>;
  if (typeof name !== 'string' || typeof life !== 'string' || typeof ageMs !== 'number') return false;
  return ageMs >= 0 && ageMs < EXIT_RETENTION_MS;
}

function keyOf(name: string, life: string): string {
  return `${name} ${life}`;
}
