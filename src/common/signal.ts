/**
 * Wakes everyone who waits for a change of state.
 *
 * @packageDocumentation
 */

/** A change that any number of waiters can wait for, each with a time limit. */
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

/** Resolves after a time, in milliseconds. */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
