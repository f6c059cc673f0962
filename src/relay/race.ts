/**
 * Waits for the first of several promises, or for a time limit.
 *
 * @packageDocumentation
 */

/** The first value, or `null` when `timeoutMs` milliseconds pass before any of them. */
export function firstWithin<Value>(
  promises: Iterable<Promise<Value>>,
  timeoutMs: number,
): Promise<Value | null> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(null), Math.max(0, timeoutMs));
    for (const promise of promises) {
      promise.then(
        (value) => {
          clearTimeout(timer);
          resolve(value);
        },
        (error: unknown) => {
          clearTimeout(timer);
          reject(error instanceof Error ? error : new Error(String(error)));
        },
      );
    }
  });
}
