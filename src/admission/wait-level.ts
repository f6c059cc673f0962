/**
 * Waiting requests of one priority, in the order of the shares of their tenants. Pure.
 *
 * @packageDocumentation
 */
import type { LinkDemand } from '../relay/link-queue.js';
import { NO_TENANT } from '../tenancy/tenant-registry.js';
import { FairShares } from './fair-shares.js';
import { LazyHeap } from './lazy-heap.js';
import { WAIT_CLASSES, WaitLane, byArrival, byDueTime } from './wait-lane.js';
import type { LaneKey, LanePart, WaitClass, WaitEntry } from './wait-lane.js';

/** The account that is charged for a demand: requests of the daemon itself belong to no tenant. */
export function accountNameOf({ tenantName }: Pick<LinkDemand, 'tenantName'>): string {
  return tenantName ?? NO_TENANT;
}

/** Requests of one priority. */
export class WaitLevel<T> {
  readonly #lanes = new Map<string | null, WaitLane<T>>();
  /** Lanes that have requests of a class, in the order in which they are served. */
  readonly #ready: Readonly<Record<WaitClass, LazyHeap<LaneKey<T>>>> = {
    onTime: createReady(),
    late: createReady(),
  };
  readonly #counts: Record<WaitClass, number> = { onTime: 0, late: 0 };
  readonly #shares: FairShares;

  constructor(
    readonly priority: number,
    weightOf: (tenantName: string) => number,
  ) {
    this.#shares = new FairShares(weightOf);
  }

  /** Number of waiting requests of a class. */
  count(waitClass: WaitClass): number {
    return this.#counts[waitClass];
  }

  /** Records that a request begins to wait; returns the lane to which it belongs. */
  join(demand: LinkDemand): WaitLane<T> {
    const account = this.#shares.join(accountNameOf(demand));
    let lane = this.#lanes.get(demand.tenantName);
    if (lane === undefined) {
      lane = new WaitLane<T>(demand.tenantName, account);
      this.#lanes.set(demand.tenantName, lane);
    }
    return lane;
  }

  /** Makes a request available in its class. */
  offer(entry: WaitEntry<T>): void {
    const { lane, waitClass } = entry;
    this.#counts[waitClass] += 1;
    lane.offer(entry);
    this.#refresh(lane, waitClass);
  }

  /** Counterpart of {@link WaitLevel.offer} for a request that has been removed or has changed its class. */
  withdraw(lane: WaitLane<T>, waitClass: WaitClass): void {
    this.#counts[waitClass] -= 1;
    lane.withdraw(waitClass);
    this.#refresh(lane, waitClass);
  }

  /** Records that a request, already withdrawn, no longer waits. */
  leave(lane: WaitLane<T>): void {
    this.#shares.leave(lane.account.tenantName);
    if (lane.size === 0) this.#lanes.delete(lane.tenantName);
  }

  /** Charges a tenant with the expected duration of a use. */
  charge(accountName: string, estimateMs: number): void {
    const leastWaitingTag = Math.min(
      ...WAIT_CLASSES.map((waitClass) => this.#ready[waitClass].peek()?.startTag ?? Number.POSITIVE_INFINITY),
    );
    this.#shares.charge(accountName, estimateMs, leastWaitingTag);
    this.#refreshLanesOf(accountName);
  }

  /** Corrects a charge when the use has ended. */
  settle(accountName: string, estimateMs: number, actualMs: number): void {
    this.#shares.settle(accountName, estimateMs, actualMs);
    this.#refreshLanesOf(accountName);
  }

  /** The next request of a class, apart from the given ones. */
  first(waitClass: WaitClass, excluded: readonly WaitEntry<T>[]): WaitEntry<T> | undefined {
    if (this.#counts[waitClass] === 0) return undefined;
    let best = this.#ready[waitClass].find(({ first }) => !excluded.includes(first))?.first;
    for (const { lane } of excluded) {
      if (this.#lanes.get(lane.tenantName) !== lane) continue;
      best = preceding(best, findFirst(lane, waitClass, excluded));
    }
    return best;
  }

  /** The next request of a class that a connection of a tenant can serve, apart from the given ones. */
  firstFor(
    tenantName: string,
    waitClass: WaitClass,
    excluded: readonly WaitEntry<T>[],
  ): WaitEntry<T> | undefined {
    if (this.#counts[waitClass] === 0) return undefined;
    const [own, any] = [this.#lanes.get(tenantName), this.#lanes.get(null)];
    return preceding(findFirst(own, waitClass, excluded), findFirst(any, waitClass, excluded));
  }

  /** The request that has waited longest of those that a connection of a tenant can serve. */
  oldestFor(tenantName: string): WaitEntry<T> | undefined {
    const own = this.#lanes.get(tenantName)?.arrivals.peek();
    const any = this.#lanes.get(null)?.arrivals.peek();
    if (own === undefined || any === undefined) return own ?? any;
    return byArrival(own, any) < 0 ? own : any;
  }

  /** The request of a class that would be served last. Scans the requests of one tenant. */
  last(waitClass: WaitClass, useMs: number): WaitEntry<T> | undefined {
    let lastPart: LanePart<T> | undefined;
    let lastTag = Number.NEGATIVE_INFINITY;
    for (const { parts, account } of this.#lanes.values()) {
      const part = parts[waitClass];
      const tag = account.startTag + ((part.count - 1) * useMs) / account.weight;
      if (part.count === 0 || tag < lastTag) continue;
      lastPart = part;
      lastTag = tag;
    }
    return lastPart?.heap.findLast();
  }

  /**
   * Estimated number of waiting requests of a class that would be served before a new one of this priority.
   *
   * @param useMs - expected time that a connection is in use for a request
   */
  countAhead(waitClass: WaitClass, demand: LinkDemand, useMs: number): number {
    if (this.#counts[waitClass] === 0) return 0;
    const accountName = accountNameOf(demand);
    const ownLanes = this.#lanesOf(accountName);
    let ahead = 0;
    for (const lane of ownLanes) ahead += lane.countDueBy(waitClass, demand.dueAtMs);
    if (ownLanes.length === this.#lanes.size) return ahead;
    const weight = ownLanes[0]?.account.weight ?? this.#shares.weightOf(accountName);
    const ownTag = this.#shares.startTagOf(accountName) + (ahead * useMs) / weight;
    for (const { parts, account } of this.#lanes.values()) {
      if (account.tenantName === accountName || account.startTag > ownTag) continue;
      const turns = Math.floor(((ownTag - account.startTag) * account.weight) / useMs) + 1;
      ahead += Math.min(parts[waitClass].count, turns);
    }
    return ahead;
  }

  /** Drops what removed requests have left behind; no request waits. */
  clear(): void {
    for (const waitClass of WAIT_CLASSES) this.#ready[waitClass].clear();
  }

  /** Updates the place of a lane after a change of its first request or its start tag. */
  #refresh({ parts, account }: WaitLane<T>, waitClass: WaitClass): void {
    const part = parts[waitClass];
    const first = part.heap.peek();
    const { startTag } = account;
    if (first === undefined) part.key = null;
    else if (part.key?.first !== first || part.key.startTag !== startTag) {
      part.key = { part, startTag, first };
      this.#ready[waitClass].push(part.key);
    }
    this.#ready[waitClass].compact(this.#lanes.size);
  }

  #refreshLanesOf(accountName: string): void {
    for (const lane of this.#lanesOf(accountName))
      for (const waitClass of WAIT_CLASSES) this.#refresh(lane, waitClass);
  }

  #lanesOf(accountName: string): WaitLane<T>[] {
    const own = this.#lanes.get(accountName);
    const any = accountName === NO_TENANT ? this.#lanes.get(null) : undefined;
    return [own, any].filter((lane) => lane !== undefined);
  }
}

function createReady<T>(): LazyHeap<LaneKey<T>> {
  return new LazyHeap<LaneKey<T>>(
    (one, other) => one.startTag - other.startTag || byDueTime(one.first, other.first),
    (key) => key.part.key === key,
  );
}

function findFirst<T>(
  lane: WaitLane<T> | undefined,
  waitClass: WaitClass,
  excluded: readonly WaitEntry<T>[],
): WaitEntry<T> | undefined {
  const heap = lane?.parts[waitClass].heap;
  return excluded.length === 0 ? heap?.peek() : heap?.find((entry) => !excluded.includes(entry));
}

/** The request of two of the same priority and class that is served first. */
function preceding<T>(
  one: WaitEntry<T> | undefined,
  other: WaitEntry<T> | undefined,
): WaitEntry<T> | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  const order = one.lane.account.startTag - other.lane.account.startTag || byDueTime(one, other);
  return order <= 0 ? one : other;
}
