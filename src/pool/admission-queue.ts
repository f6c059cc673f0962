/**
 * Orders the requests that wait for a slot of a member: priority first, then arrival. Pure: the caller passes
 * the time.
 *
 * @packageDocumentation
 */

/** A waiting request. */
export interface Waiter {
  /** 0 (last) to 9 (first). */
  readonly priority: number;
  /** Monotonic time after which an answer is of no use, in milliseconds. */
  readonly deadlineMs: number;
}

/** Outcome of an offer to the queue. */
export type Admission<Item extends Waiter> =
  | { readonly kind: 'queued' }
  /** The queue is full and the offer ranks below all that wait. */
  | { readonly kind: 'refused' }
  /** The offer took the place of a waiter of lower priority, which is given up. */
  | { readonly kind: 'displaced'; readonly item: Item };

/** A bounded queue with priorities and deadlines. @public */
export class AdmissionQueue<Item extends Waiter> {
  readonly #byPriority = new Map<number, Item[]>();
  #size = 0;

  /** @param maxLength - most requests that wait at once */
  constructor(private readonly maxLength: number) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.#size;
  }

  /** Offers a request; a full queue gives up its lowest and youngest if the offer ranks above it. */
  offer(item: Item): Admission<Item> {
    if (this.#size < this.maxLength) {
      this.#add(item);
      return { kind: 'queued' };
    }
    const lowest = this.#lowestPriority();
    if (lowest === null || lowest >= item.priority) return { kind: 'refused' };
    const displaced = this.#byPriority.get(lowest)?.pop();
    if (displaced === undefined) return { kind: 'refused' };
    this.#size -= 1;
    this.#add(item);
    return { kind: 'displaced', item: displaced };
  }

  /** Takes the first request in order, or `null`. */
  take(): Item | null {
    for (const priority of this.#priorities()) {
      const item = this.#byPriority.get(priority)?.shift();
      if (item === undefined) continue;
      this.#size -= 1;
      return item;
    }
    return null;
  }

  /** Removes one request; false when it does not wait. */
  remove(item: Item): boolean {
    const list = this.#byPriority.get(item.priority);
    const position = list?.indexOf(item) ?? -1;
    if (list === undefined || position < 0) return false;
    list.splice(position, 1);
    this.#size -= 1;
    return true;
  }

  /** Removes and returns the requests whose deadline has passed. */
  takeExpired(nowMs: number): Item[] {
    const expired: Item[] = [];
    for (const list of this.#byPriority.values()) {
      for (const item of list) if (item.deadlineMs <= nowMs) expired.push(item);
    }
    for (const item of expired) this.remove(item);
    return expired;
  }

  /** Requests that stand before an arrival of this priority. */
  lengthAhead(priority: number): number {
    let ahead = 0;
    for (const [other, list] of this.#byPriority) if (other >= priority) ahead += list.length;
    return ahead;
  }

  #add(item: Item): void {
    const list = this.#byPriority.get(item.priority) ?? [];
    list.push(item);
    this.#byPriority.set(item.priority, list);
    this.#size += 1;
  }

  #priorities(): number[] {
    return [...this.#byPriority.keys()].sort((left, right) => right - left);
  }

  #lowestPriority(): number | null {
    const occupied = this.#priorities().filter(
      (priority) => (this.#byPriority.get(priority)?.length ?? 0) > 0,
    );
    return occupied.at(-1) ?? null;
  }
}
