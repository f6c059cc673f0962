/**
 * Tells a request under way that its caller has given up. Lighter than `AbortSignal`, since there is one for
 * every request.
 *
 * @packageDocumentation
 */

/** A signal that is given at most once. */
export class CancelSignal {
  #isCanceled = false;
  #listener: (() => void) | null = null;

  /** True once the caller has given up. */
  get isCanceled(): boolean {
    return this.#isCanceled;
  }

  /** Gives the signal. */
  cancel(): void {
    if (this.#isCanceled) return;
    this.#isCanceled = true;
    this.#listener?.();
  }

  /** Sets who is told, in place of whoever was; `null` for nobody. A request waits in one place at a time. */
  setListener(listener: (() => void) | null): void {
    this.#listener = listener;
  }
}
