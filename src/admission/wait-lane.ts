/**
 * Waiting requests of one tenant and one priority. Pure.
 *
 * @packageDocumentation
 */
import type { LinkDemand } from '../relay/link-queue.js';
import type { ShareAccount } from './fair-shares.js';
import { LazyHeap } from './lazy-heap.js';

/** The classes of requests, in the order in which they are served. */
export const WAIT_CLASSES = ['onTime', 'late'] as const;

/** Whether a request can still meet its latency objective. */
export type WaitClass = (typeof WAIT_CLASSES)[number];

/** A request in the queue. */
export interface WaitEntry<T> {
  readonly item: T;
  readonly demand: LinkDemand;
  /** Since when it waits, in monotonic milliseconds. */
  readonly sinceMs: number;
  /** Position in the order of arrival. */
  readonly sequence: number;
  readonly lane: WaitLane<T>;
  waitClass: WaitClass;
  isRemoved: boolean;
}

/** Place of a lane among the others; replaced when its rank or its first request changes. */
export interface LaneKey<T> {
  readonly part: LanePart<T>;
  /** The lane with the smallest rank is served first. */
  readonly rank: number;
  readonly first: WaitEntry<T>;
}

/** The requests of one class in a lane. */
export interface LanePart<T> {
  /** By due time. */
  readonly heap: LazyHeap<WaitEntry<T>>;
  /** In the opposite order; `null` until the last request is asked for, which only a full queue does. */
  reversed: LazyHeap<WaitEntry<T>> | null;
  count: number;
  /** Latest due time of a request added since the part was last empty, in monotonic milliseconds. */
  lastDueAtMs: number;
  /** `null` while the part is empty. */
  key: LaneKey<T> | null;
}

/** What the order of two requests of the same tenant depends on. */
type WaitPlace = Pick<WaitEntry<unknown>, 'sequence' | 'demand'>;

/** Negative if the first request arrived before the second. */
export function byArrival(one: WaitPlace, other: WaitPlace): number {
  return one.sequence - other.sequence;
}

/** Negative if the first request is due before the second, or is due as early and arrived before it. */
export function byDueTime(one: WaitPlace, other: WaitPlace): number {
  // Not the difference, which is not a number for two requests without a due time.
  if (one.demand.dueAtMs < other.demand.dueAtMs) return -1;
  if (one.demand.dueAtMs > other.demand.dueAtMs) return 1;
  return byArrival(one, other);
}

/** Requests of one tenant and one priority, by class and by arrival. */
export class WaitLane<T> {
  readonly arrivals = new LazyHeap<WaitEntry<T>>(byArrival, (entry) => !entry.isRemoved);
  readonly parts: Readonly<Record<WaitClass, LanePart<T>>> = {
    onTime: createPart('onTime'),
    late: createPart('late'),
  };

  /** @param tenantName - `null` for requests that can use a connection of any tenant */
  constructor(
    readonly tenantName: string | null,
    readonly priority: number,
    readonly account: ShareAccount,
  ) {}

  get size(): number {
    return this.parts.onTime.count + this.parts.late.count;
  }

  /** Makes a request available in its class. */
  offer(entry: WaitEntry<T>): void {
    const part = this.parts[entry.waitClass];
    const { dueAtMs } = entry.demand;
    part.lastDueAtMs = part.count === 0 ? dueAtMs : Math.max(part.lastDueAtMs, dueAtMs);
    part.count += 1;
    part.heap.push(entry);
    part.reversed?.push(entry);
  }

  /** Counterpart of {@link WaitLane.offer} for a request that has been removed or has changed its class. */
  withdraw(waitClass: WaitClass): void {
    const part = this.parts[waitClass];
    part.count -= 1;
    part.heap.compact(part.count);
    if (part.count === 0) part.reversed = null;
    else part.reversed?.compact(part.count);
    this.arrivals.compact(this.size);
  }

  /** The request of a class that is due last. */
  last(waitClass: WaitClass): WaitEntry<T> | undefined {
    const part = this.parts[waitClass];
    if (part.count === 0) return undefined;
    part.reversed ??= part.heap.reordered((one, other) => byDueTime(other, one));
    return part.reversed.peek();
  }

  /**
   * Number of requests of a class that are due before a given time or then, estimated as if due times were
   * evenly distributed.
   */
  countDueBy(waitClass: WaitClass, dueAtMs: number): number {
    const { heap, count, lastDueAtMs } = this.parts[waitClass];
    const first = heap.peek();
    if (first === undefined || dueAtMs < first.demand.dueAtMs) return 0;
    if (dueAtMs >= lastDueAtMs) return count;
    const position = (dueAtMs - first.demand.dueAtMs) / (lastDueAtMs - first.demand.dueAtMs);
    return Math.max(1, Math.floor(position * count));
  }
}

function createPart<T>(waitClass: WaitClass): LanePart<T> {
  const isLive = (entry: WaitEntry<T>): boolean => !entry.isRemoved && entry.waitClass === waitClass;
  return {
    heap: new LazyHeap<WaitEntry<T>>(byDueTime, isLive),
    reversed: null,
    count: 0,
    lastDueAtMs: 0,
    key: null,
  };
}
