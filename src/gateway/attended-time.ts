/**
 * Time during which this process reads its input often enough that a missing reply says something about the sender.
 *
 * Timers that are due after a delay run before the input that has arrived meanwhile is read. So the time of a delay
 * counts little, and that of the first pause in a row not at all. Pure: times are passed in.
 *
 * @packageDocumentation
 */

/**
 * Interval between two checks above which this process counts as paused, in milliseconds. Replies that arrived
 * during a pause have not been read yet, so the silence of that time proves nothing.
 */
const PAUSED_CHECK_INTERVAL_MS = 250;
/**
 * The most that the interval between two checks counts, in milliseconds: the longer of the intervals at which a
 * daemon checks (50 and 100 ms). Input is read between two checks, so what arrived during a delay is read before
 * the delays in a row count as silence.
 */
const MAX_COUNTED_INTERVAL_MS = 100;

/** A clock that advances with each check. */
export class AttendedTime {
  #valueMs = 0;
  #checkedAtMs: number | null = null;
  #wasPaused = false;

  /** Time counted until the latest check, in milliseconds. */
  get valueMs(): number {
    return this.#valueMs;
  }

  /** Records a check; `nowMs` is in monotonic milliseconds. */
  check(nowMs: number): void {
    const intervalMs = nowMs - (this.#checkedAtMs ?? nowMs);
    this.#checkedAtMs = nowMs;
    const isPaused = intervalMs > PAUSED_CHECK_INTERVAL_MS;
    // A further pause counts as a delay: a process that is late at every check still has to detect silence.
    if (!isPaused || this.#wasPaused) this.#valueMs += Math.min(intervalMs, MAX_COUNTED_INTERVAL_MS);
    this.#wasPaused = isPaused;
  }
}
