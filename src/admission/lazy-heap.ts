/**
 * Binary heap whose elements are removed lazily: an element that is no longer live is dropped when it reaches
 * the top, or when dead elements outnumber live ones. Pure.
 *
 * @packageDocumentation
 */
import TinyQueue from 'tinyqueue';

/** Dead elements that a heap may hold in addition to as many as it has live ones. */
const DEAD_ALLOWANCE = 8;

/** A priority queue over elements that become dead in place. An element that is dead never becomes live again. */
export class LazyHeap<T> {
  #heap: TinyQueue<T>;

  /**
   * @param compare - negative if the first element precedes the second; fixed for each pair of live elements
   * @param isLive - false once the element has been removed
   */
  constructor(
    private readonly compare: (one: T, other: T) => number,
    private readonly isLive: (element: T) => boolean,
  ) {
    this.#heap = new TinyQueue<T>([], compare);
  }

  /** Number of elements held, including dead ones. */
  get heldCount(): number {
    return this.#heap.length;
  }

  push(element: T): void {
    this.#heap.push(element);
  }

  /** The first live element. */
  peek(): T | undefined {
    for (;;) {
      const top = this.#heap.peek();
      if (top === undefined || this.isLive(top)) return top;
      this.#heap.pop();
    }
  }

  /** Removes the first live element and returns it. */
  pop(): T | undefined {
    this.peek();
    return this.#heap.pop();
  }

  /**
   * The first live element that satisfies a condition. The cost grows with the number of live elements that
   * precede it.
   */
  find(accepts: (element: T) => boolean): T | undefined {
    const passedOver: T[] = [];
    let top = this.peek();
    while (top !== undefined && !accepts(top)) {
      passedOver.push(top);
      this.#heap.pop();
      top = this.peek();
    }
    for (const element of passedOver) this.#heap.push(element);
    return top;
  }

  /** A heap of the same live elements in another order. */
  reordered(compare: (one: T, other: T) => number): LazyHeap<T> {
    const heap = new LazyHeap(compare, this.isLive);
    heap.#heap = new TinyQueue(this.#liveElements(), compare);
    return heap;
  }

  /** Drops dead elements if there are more of them than live ones; constant time on average over removals. */
  compact(liveCount: number): void {
    if (this.#heap.length <= 2 * liveCount + DEAD_ALLOWANCE) return;
    this.#heap = new TinyQueue(this.#liveElements(), this.compare);
  }

  clear(): void {
    if (this.#heap.length > 0) this.#heap = new TinyQueue<T>([], this.compare);
  }

  #liveElements(): T[] {
    return this.#heap.data.filter((element) => this.isLive(element));
  }
}
