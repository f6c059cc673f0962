/**
 * Row locks and advisory locks of the member stand-in.
 *
 * @packageDocumentation
 */

interface RowLock {
  readonly holder: number;
  readonly waiters: (() => void)[];
}

/** Locks of one member; a session is identified by its process id. */
export class LockTable {
  readonly #rows = new Map<string, RowLock>();
  readonly #advisory = new Map<string, number>();

  /** Acquires a row lock; resolves to false when it is not available within `timeoutMs`. */
  async acquireRow(name: string, session: number, timeoutMs: number): Promise<boolean> {
    const deadline = Date.now() + timeoutMs;
    for (;;) {
      const lock = this.#rows.get(name);
      if (lock === undefined) {
        this.#rows.set(name, { holder: session, waiters: [] });
        return true;
      }
      if (lock.holder === session) return true;
      if (Date.now() >= deadline) return false;
      await waitForRelease(lock, deadline - Date.now());
    }
  }

  /** Releases the row locks of a session. */
  releaseRows(session: number, names: Iterable<string>): void {
    for (const name of names) {
      const lock = this.#rows.get(name);
      if (lock?.holder !== session) continue;
      this.#rows.delete(name);
      for (const resolveWait of lock.waiters) resolveWait();
    }
  }

  /** Tries to acquire a session-level advisory lock; false when another session holds it. */
  tryAcquireAdvisory(key: string, session: number): boolean {
    const holder = this.#advisory.get(key);
    if (holder !== undefined && holder !== session) return false;
    this.#advisory.set(key, session);
    return true;
  }

  /** Releases one advisory lock; false when the session does not hold it. */
  releaseAdvisory(key: string, session: number): boolean {
    if (this.#advisory.get(key) !== session) return false;
    return this.#advisory.delete(key);
  }

  /** Releases all advisory locks of a session. */
  releaseAllAdvisory(session: number): void {
    for (const [key, holder] of this.#advisory) if (holder === session) this.#advisory.delete(key);
  }
}

function waitForRelease(lock: RowLock, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, timeoutMs);
    lock.waiters.push(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
