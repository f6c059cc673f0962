/**
 * A question that many ask at once and that is put once for all of them.
 *
 * An answer is only good for those who asked before the question was put. So whoever comes while it is under way
 * shares the next one: however many ask, one question is under way and one waits.
 *
 * @packageDocumentation
 */

/** Puts one question on behalf of everybody who asks it. */
export class SharedQuestion<Answer> {
  #current: Promise<Answer> | null = null;
  #next: Promise<Answer> | null = null;

  /** @param put - puts the question */
  constructor(private readonly put: () => Promise<Answer>) {}

  /** The answer to a question that is put after this call. */
  ask(): Promise<Answer> {
    if (this.#current === null) return this.#begin();
    this.#next ??= this.#after(this.#current);
    return this.#next;
  }

  async #after(current: Promise<Answer>): Promise<Answer> {
    await current.catch(() => undefined);
    this.#next = null;
    return this.#begin();
  }

  #begin(): Promise<Answer> {
    const asking = this.put().finally(() => {
      if (this.#current === asking) this.#current = null;
    });
    this.#current = asking;
    return asking;
  }
}
