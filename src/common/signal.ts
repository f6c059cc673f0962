/**
 * Timed waits: for a change of state, and for a delay.
 *
 * @packageDocumentation
 */

/** Wakes any number of waiters at a change of state; each wait has a time-out. */
export class ChangeSignal {
  readonly #waiters = new Set<() => void>();

  /** Wakes all waiters. */
  notify(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }

  /** Resolves at the next {@link ChangeSignal.notify}, or after `timeoutMs` milliseconds. */
  wait(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.max(0, timeoutMs));
      this.#waiters.add(wake);
    });
  }
}

/** Resolves after `ms` milliseconds. */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
