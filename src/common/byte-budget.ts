/**
 * A bound on the bytes that all holders of one kind of buffer keep together. Each holder has a reserve that is always
 * granted, so holders of large buffers cannot take it from the others.
 *
 * @packageDocumentation
 */

/** Bytes that are shared by the holders beyond the reserve of each. */
export class ByteBudget {
  #usedBytes = 0;

  constructor(
    private readonly maxBytes: number,
    private readonly reserveBytes: number,
  ) {}

  /** Bytes in use beyond the reserves. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Changes the size of one holder's buffer; false, without a change, if the budget does not suffice. A buffer can
   * always shrink.
   */
  resize(fromBytes: number, toBytes: number): boolean {
    const change = this.#beyondReserve(toBytes) - this.#beyondReserve(fromBytes);
    if (change > 0 && this.#usedBytes + change > this.maxBytes) return false;
    this.#usedBytes += change;
    return true;
  }

  #beyondReserve(bytes: number): number {
    return Math.max(0, bytes - this.reserveBytes);
  }
}
