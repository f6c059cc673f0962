/**
 * Requests that wait for a connection to one member, in the order in which they are served. Pure.
 *
 * If connections are scarce, serving in order of arrival delays all requests equally, beyond their latency
 * objectives. So requests that can still meet their objective go first, by the priority of the route and the
 * share that the tenant has received; within a tenant, by priority and then by due time. Requests that have
 * missed their objective are served with the remaining capacity, in the same order. Every eighth grant goes to
 * the request that has waited longest, so that none starves.
 *
 * A request is late when its due time precedes the time at which it would be answered. It remains classified
 * as late, also if the member becomes faster.
 *
 * @packageDocumentation
 */
import { acceptsTenant, type LinkDemand } from '../relay/link-queue.js';
import { LazyHeap } from './lazy-heap.js';
import { byArrival, byDueTime, type WaitClass, type WaitEntry } from './wait-lane.js';
import { WaitLanes, accountNameOf } from './wait-lanes.js';

/** Requests that may wait at one pool. */
const MAX_WAITING = 2000;
/** One grant in this many goes to the request that has waited longest. */
const OLDEST_GRANT_INTERVAL = 8;
/**
 * A turn of the oldest request goes to the oldest that the released connection can serve, which may be another
 * one because of the tenants. After this many such turns, the next connection is opened for the oldest of all.
 * It isn't opened earlier, since opening one costs the member as much as a request, and the oldest request is
 * usually late.
 */
const MAX_OLDEST_PASSED_OVER = 8;
/** Weight of a new measurement in the mean time that a connection is in use. */
const USE_SMOOTHING = 1 / 16;
/** Smallest charge for a use, in milliseconds, so that uses shorter than the clock's resolution count. */
const MIN_USE_MS = 0.1;

/** A waiting request. */
export interface WaitingRequest<T> {
  readonly item: T;
  readonly demand: LinkDemand;
  /** Since when it waits, in monotonic milliseconds. */
  readonly sinceMs: number;
}

/** A connection in use, charged to a tenant; end it with {@link WaitQueue.endUse}. */
export interface ConnectionUse {
  readonly accountName: string;
  readonly startedAtMs: number;
  /** The time charged in advance, in milliseconds. */
  readonly estimateMs: number;
}

/** Settings of a {@link WaitQueue}. */
export interface WaitQueueOptions {
  /** Requests that may wait at once. */
  readonly maxWaiting?: number;
  /** Size of a tenant's share relative to others, above 0. Without it all shares are equal. */
  weightOf?(tenantName: string): number;
}

/**
 * Orders waiting requests by latency objective, priority and shares of tenants. In its methods, `serviceMs` is
 * the expected latency of the member's replies, in milliseconds.
 */
export class WaitQueue<T> {
  readonly #entries = new Map<T, WaitEntry<T>>();
  readonly #lanes: WaitLanes<T>;
  readonly #arrivals = new LazyHeap<WaitEntry<T>>(byArrival, (entry) => !entry.isRemoved);
  /** Requests that may become late. */
  readonly #dueTimes = new LazyHeap<WaitEntry<T>>(
    byDueTime,
    (entry) => !entry.isRemoved && entry.waitClass === 'onTime',
  );
  readonly #maxWaiting: number;
  #nextSequence = 0;
  /** Grants since the last turn of the oldest request. */
  #grantsSinceOldest = 0;
  /** Turns of the oldest request that have gone to others since the oldest of all was last served. */
  #oldestPassedOverCount = 0;
  /** Smoothed time that a connection is in use, in milliseconds; `null` before the first measurement. */
  #meanUseMs: number | null = null;

  constructor({ maxWaiting = MAX_WAITING, weightOf = () => 1 }: WaitQueueOptions = {}) {
    this.#maxWaiting = maxWaiting;
    this.#lanes = new WaitLanes(weightOf);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Adds a request. If too many wait, the one that would be served last is removed and returned, which may be
   * the new one.
   *
   * @param item - identifies the request; not yet in the queue
   */
  add(item: T, demand: LinkDemand, nowMs: number, serviceMs: number): T | null {
    this.#classify(nowMs + serviceMs);
    const waitClass = classOf(demand, nowMs + serviceMs);
    const lane = this.#lanes.join(demand);
    const sequence = this.#nextSequence++;
    const entry = { item, demand, sinceMs: nowMs, sequence, lane, waitClass, isRemoved: false };
    this.#entries.set(item, entry);
    lane.arrivals.push(entry);
    this.#arrivals.push(entry);
    if (waitClass === 'onTime') this.#dueTimes.push(entry);
    this.#lanes.offer(entry);
    return this.size > this.#maxWaiting ? this.#removeLast(serviceMs) : null;
  }

  /** Removes a request; returns false if it does not wait. */
  remove(item: T): boolean {
    const entry = this.#entries.get(item);
    if (entry !== undefined) this.#delete(entry);
    return entry !== undefined;
  }

  /** Removes all requests that satisfy a condition and returns them in order of arrival. Scans the queue. */
  removeWhere(isAffected: (demand: LinkDemand) => boolean): T[] {
    const affected = [...this.#entries.values()].filter(({ demand }) => isAffected(demand));
    for (const entry of affected) this.#delete(entry);
    return affected.map(({ item }) => item);
  }

  /** Requests that have missed their latency objective, in order of arrival. Scans the queue. */
  late(nowMs: number, serviceMs: number): WaitingRequest<T>[] {
    this.#classify(nowMs + serviceMs);
    if (this.#lanes.count('late') === 0) return [];
    return [...this.#entries.values()].filter(({ waitClass }) => waitClass === 'late');
  }

  /** The next request to serve. */
  peek(nowMs: number, serviceMs: number): WaitingRequest<T> | undefined {
    return this.peekWithoutDial([], nowMs, serviceMs);
  }

  /** The next request that a connection of a tenant would serve. */
  peekFor(tenantName: string, nowMs: number, serviceMs: number): WaitingRequest<T> | undefined {
    this.#classify(nowMs + serviceMs);
    return this.#isOldestNext ? this.#lanes.oldestFor(tenantName) : this.#nextFor(tenantName, []);
  }

  /**
   * The next request to serve among those for which no connection is being opened. Each of these connections
   * is expected to serve the next request of its tenant.
   *
   * @param dialing - tenant names of the connections that are being opened; the cost grows with their number
   */
  peekWithoutDial(
    dialing: readonly string[],
    nowMs: number,
    serviceMs: number,
  ): WaitingRequest<T> | undefined {
    this.#classify(nowMs + serviceMs);
    const covered: WaitEntry<T>[] = [];
    for (const tenantName of dialing) {
      const entry = this.#nextFor(tenantName, covered);
      if (entry !== undefined) covered.push(entry);
    }
    if (covered.length === this.size) return undefined;
    const oldest = this.#passedOverOldest;
    return oldest !== undefined && !covered.includes(oldest) ? oldest : this.#first(covered);
  }

  /** Removes the next request that a connection of a tenant serves, because it is granted to it. */
  takeFor(tenantName: string, nowMs: number, serviceMs: number): T | undefined {
    this.#classify(nowMs + serviceMs);
    const isOldestNext = this.#isOldestNext;
    const entry = isOldestNext ? this.#lanes.oldestFor(tenantName) : this.#nextFor(tenantName, []);
    if (entry === undefined) return undefined;
    if (entry === this.#arrivals.peek()) this.#oldestPassedOverCount = 0;
    else if (isOldestNext) this.#oldestPassedOverCount += 1;
    this.#grantsSinceOldest = isOldestNext ? 0 : this.#grantsSinceOldest + 1;
    this.#delete(entry);
    return entry.item;
  }

  /**
   * Estimated number of waiting requests that would be served before a new one if each connection could serve
   * every request. Within a tenant, due times are assumed to be evenly distributed.
   */
  countAhead(demand: LinkDemand, nowMs: number, serviceMs: number): number {
    this.#classify(nowMs + serviceMs);
    const waitClass = classOf(demand, nowMs + serviceMs);
    const isLate = waitClass === 'late';
    const ahead =
      (isLate ? this.#lanes.count('onTime') : 0) +
      this.#lanes.countAhead(waitClass, demand, this.#expectedUseMs(serviceMs));
    const oldestGrants = Math.floor(ahead / (OLDEST_GRANT_INTERVAL - 1));
    return ahead + Math.min(this.size - ahead, oldestGrants);
  }

  /** Charges the tenant of a request for a connection that is granted to it. */
  beginUse(demand: LinkDemand, nowMs: number, serviceMs: number): ConnectionUse {
    const accountName = accountNameOf(demand);
    const estimateMs = this.#expectedUseMs(serviceMs);
    this.#lanes.charge(accountName, estimateMs);
    return { accountName, startedAtMs: nowMs, estimateMs };
  }

  /** Corrects the charge for a connection when its use has ended. */
  endUse({ accountName, startedAtMs, estimateMs }: ConnectionUse, nowMs: number): void {
    const usedMs = Math.max(MIN_USE_MS, nowMs - startedAtMs);
    this.#meanUseMs ??= usedMs;
    this.#meanUseMs += (usedMs - this.#meanUseMs) * USE_SMOOTHING;
    this.#lanes.settle(accountName, estimateMs, usedMs);
  }

  #expectedUseMs(serviceMs: number): number {
    return this.#meanUseMs ?? Math.max(MIN_USE_MS, serviceMs);
  }

  get #isOldestNext(): boolean {
    return this.#grantsSinceOldest >= OLDEST_GRANT_INTERVAL - 1;
  }

  /** The oldest request, if it was passed over too often. */
  get #passedOverOldest(): WaitEntry<T> | undefined {
    return this.#oldestPassedOverCount >= MAX_OLDEST_PASSED_OVER ? this.#arrivals.peek() : undefined;
  }

  /** Moves requests that would be answered after their due time to the late ones. */
  #classify(answeredAtMs: number): void {
    for (;;) {
      const entry = this.#dueTimes.peek();
      if (entry === undefined || entry.demand.dueAtMs >= answeredAtMs) return;
      this.#dueTimes.pop();
      entry.waitClass = 'late';
      this.#lanes.withdraw(entry.lane, 'onTime');
      this.#lanes.offer(entry);
    }
  }

  #delete(entry: WaitEntry<T>): void {
    const { lane, item, waitClass } = entry;
    this.#entries.delete(item);
    entry.isRemoved = true;
    this.#lanes.withdraw(lane, waitClass);
    this.#lanes.leave(lane);
    this.#arrivals.compact(this.size);
    this.#dueTimes.compact(this.size);
    if (this.size > 0) return;
    this.#arrivals.clear();
    this.#dueTimes.clear();
    this.#lanes.clear();
    this.#oldestPassedOverCount = 0;
  }

  /** Removes the request that would be served last. */
  #removeLast(serviceMs: number): T | null {
    const useMs = this.#expectedUseMs(serviceMs);
    const last = this.#lanes.last('late', useMs) ?? this.#lanes.last('onTime', useMs);
    if (last === undefined) return null;
    this.#delete(last);
    return last.item;
  }

  #first(excluded: readonly WaitEntry<T>[]): WaitEntry<T> | undefined {
    return this.#lanes.first('onTime', excluded) ?? this.#lanes.first('late', excluded);
  }

  /** The next request that a connection of a tenant serves, unless it is the turn of its oldest one. */
  #nextFor(tenantName: string, excluded: readonly WaitEntry<T>[]): WaitEntry<T> | undefined {
    const oldest = this.#passedOverOldest;
    if (oldest !== undefined && acceptsTenant(oldest.demand, tenantName) && !excluded.includes(oldest))
      return oldest;
    return (
      this.#lanes.firstFor(tenantName, 'onTime', excluded) ??
      this.#lanes.firstFor(tenantName, 'late', excluded)
    );
  }
}

function classOf(demand: LinkDemand, answeredAtMs: number): WaitClass {
  return demand.dueAtMs < answeredAtMs ? 'late' : 'onTime';
}
