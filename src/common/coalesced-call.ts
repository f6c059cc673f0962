/**
 * Coalesces concurrent calls of an asynchronous operation.
 *
 * A result may be used only by callers that called before the operation began. Callers that arrive while a
 * run is in progress therefore share the next run: for any number of callers, at most one run is in progress
 * and one is queued.
 *
 * @packageDocumentation
 */

/** Runs one operation on behalf of all concurrent callers. */
export class CoalescedCall<Result> {
  #current: Promise<Result> | null = null;
  #next: Promise<Result> | null = null;

  /** @param run - starts the operation */
  constructor(private readonly run: () => Promise<Result>) {}

  /** The result of a run that begins after this call. */
  call(): Promise<Result> {
    if (this.#current === null) return this.#start();
    this.#next ??= this.#startAfter(this.#current);
    return this.#next;
  }

  async #startAfter(current: Promise<Result>): Promise<Result> {
    await current.catch(() => undefined);
    this.#next = null;
    return this.#start();
  }

  #start(): Promise<Result> {
    const running = this.run().finally(() => {
      if (this.#current === running) this.#current = null;
    });
    this.#current = running;
    return running;
  }
}
