/**
 * Tells a pending request that its caller has given up. Lighter than `AbortSignal`, since there is one for
 * every request.
 *
 * @packageDocumentation
 */

/** A cancellation signal that fires at most once. */
export class CancelSignal {
  #isCanceled = false;
  #listener: (() => void) | null = null;

  get isCanceled(): boolean {
    return this.#isCanceled;
  }

  /** Cancels the request and calls the listener; later calls have no effect. */
  cancel(): void {
    if (this.#isCanceled) return;
    this.#isCanceled = true;
    this.#listener?.();
  }

  /**
   * Replaces the listener; `null` removes it. One is enough, since a request waits in one place at a time.
   */
  setListener(listener: (() => void) | null): void {
    this.#listener = listener;
  }
}
