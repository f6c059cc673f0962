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
   * The first live element that satisfies a condition. The cost depends on how many elements that precede it
   * are dead or fail the condition.
   */
  find(accepts: (element: T) => boolean): T | undefined {
    return this.#findBelow(0, accepts);
  }

  /** The live element that all others precede. Scans the heap. */
  findLast(): T | undefined {
    let last: T | undefined;
    for (const element of this.#heap.data)
      if (this.isLive(element) && (last === undefined || this.compare(element, last) > 0)) last = element;
    return last;
  }

  /** Drops dead elements if there are more of them than live ones; constant time on average over removals. */
  compact(liveCount: number): void {
    if (this.#heap.length <= 2 * liveCount + DEAD_ALLOWANCE) return;
    this.#heap = new TinyQueue(
      this.#heap.data.filter((element) => this.isLive(element)),
      this.compare,
    );
  }

  clear(): void {
    if (this.#heap.length > 0) this.#heap = new TinyQueue<T>([], this.compare);
  }

  /** Searches the subtree of a position: an acceptable element precedes all elements below it. */
  #findBelow(position: number, accepts: (element: T) => boolean): T | undefined {
    const element = this.#heap.data[position];
    if (element === undefined) return undefined;
    if (this.isLive(element) && accepts(element)) return element;
    const left = this.#findBelow(2 * position + 1, accepts);
    const right = this.#findBelow(2 * position + 2, accepts);
    if (left === undefined || right === undefined) return left ?? right;
    return this.compare(right, left) < 0 ? right : left;
  }
}
