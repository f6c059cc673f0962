/**
 * Queue of requests that wait for an execution slot of a member, ordered by priority and then by arrival.
 * Pure: the caller passes the time.
 *
 * @packageDocumentation
 */

/** A waiting request. */
export interface Waiter {
  /** Priority from 0 (lowest) to 9 (highest). */
  readonly priority: number;
  /** Monotonic deadline of the request, in milliseconds. */
  readonly deadlineMs: number;
}

/** Result of offering a request to the queue. */
export type Admission<Item extends Waiter> =
  | { readonly kind: 'queued' }
  /** The queue is full and no waiting request has a lower priority. */
  | { readonly kind: 'refused' }
  /** The request was queued in place of `item`, a request of lower priority that was removed. */
  | { readonly kind: 'displaced'; readonly item: Item };

/** Bounded queue with priorities and deadlines. @public */
export class AdmissionQueue<Item extends Waiter> {
  readonly #waitersByPriority = new Map<number, Item[]>();
  #size = 0;

  /** @param maxLength - maximum number of waiting requests */
  constructor(private readonly maxLength: number) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.#size;
  }

  /**
   * Offers a request. A full queue removes the newest request of its lowest priority if that is lower than
   * the priority of the new request.
   */
  offer(item: Item): Admission<Item> {
    if (this.#size < this.maxLength) {
      this.#add(item);
      return { kind: 'queued' };
    }
    const lowest = this.#lowestPriority();
    if (lowest === null || lowest >= item.priority) return { kind: 'refused' };
    const displaced = this.#waitersByPriority.get(lowest)?.pop();
    if (displaced === undefined) return { kind: 'refused' };
    this.#size -= 1;
    this.#add(item);
    return { kind: 'displaced', item: displaced };
  }

  /** Removes and returns the first request in order, or `null` if the queue is empty. */
  take(): Item | null {
    for (const priority of this.#priorities()) {
      const item = this.#waitersByPriority.get(priority)?.shift();
      if (item === undefined) continue;
      this.#size -= 1;
      return item;
    }
    return null;
  }

  /** Removes a request; returns false when it is not in the queue. */
  remove(item: Item): boolean {
    const list = this.#waitersByPriority.get(item.priority);
    const position = list?.indexOf(item) ?? -1;
    if (list === undefined || position < 0) return false;
    list.splice(position, 1);
    this.#size -= 1;
    return true;
  }

  /** Removes and returns all requests whose deadline has passed. */
  takeExpired(nowMs: number): Item[] {
    const expired: Item[] = [];
    for (const list of this.#waitersByPriority.values()) {
      for (const item of list) if (item.deadlineMs <= nowMs) expired.push(item);
    }
    for (const item of expired) this.remove(item);
    return expired;
  }

  /** Returns the number of requests ahead of a new request of this priority. */
  lengthAhead(priority: number): number {
    let ahead = 0;
    for (const [other, list] of this.#waitersByPriority) if (other >= priority) ahead += list.length;
    return ahead;
  }

  #add(item: Item): void {
    const list = this.#waitersByPriority.get(item.priority) ?? [];
    list.push(item);
    this.#waitersByPriority.set(item.priority, list);
    this.#size += 1;
  }

  #priorities(): number[] {
    return [...this.#waitersByPriority.keys()].sort((left, right) => right - left);
  }

  #lowestPriority(): number | null {
    const occupied = this.#priorities().filter(
      (priority) => (this.#waitersByPriority.get(priority)?.length ?? 0) > 0,
    );
    return occupied.at(-1) ?? null;
  }
}
