/**
 * Waiting requests of all tenants and priorities, in the order of priority and of the shares of tenants. Pure.
 *
 * A lane's rank is the start tag of its tenant plus a fixed amount for each step of its priority value. So an
 * urgent request precedes others, but not those of a tenant that has received far less of its share: with a
 * strict order of priorities, a tenant that floods an urgent route would take all connections from the other
 * routes of all tenants. Within one tenant the order of priorities is strict.
 *
 * @packageDocumentation
 */
import type { LinkDemand } from '../relay/link-queue.js';
import { NO_TENANT } from '../tenancy/tenant-registry.js';
import { FairShares, type ShareAccount } from './fair-shares.js';
import { LazyHeap } from './lazy-heap.js';
import { WAIT_CLASSES, WaitLane, byArrival, byDueTime } from './wait-lane.js';
import type { LaneKey, WaitClass, WaitEntry } from './wait-lane.js';

/**
 * How much more connection time a tenant may have received than another one and still precede it with a
 * request whose priority value is smaller by 1, in milliseconds for a tenant of weight 1.
 */
const PRIORITY_ADVANTAGE_MS = 100;

/** The account that is charged for a demand: requests of the daemon itself belong to no tenant. */
export function accountNameOf({ tenantName }: Pick<LinkDemand, 'tenantName'>): string {
  return tenantName ?? NO_TENANT;
}

/** The lanes that share an account, by ascending priority value. */
interface AccountLanes<T> {
  readonly account: ShareAccount;
  readonly lanes: WaitLane<T>[];
  readonly counts: Record<WaitClass, number>;
}

/**
 * Orders the lanes of all tenants and priorities. A request joins its lane and is offered in its class; one that
 * becomes late is withdrawn from its class and offered in the other; one that is removed is withdrawn and leaves.
 */
export class WaitLanes<T> {
  readonly #accounts = new Map<string, AccountLanes<T>>();
  /** Lanes that have requests of a class, in the order in which they are served. */
  readonly #ready: Readonly<Record<WaitClass, LazyHeap<LaneKey<T>>>> = {
    onTime: createReady(),
    late: createReady(),
  };
  readonly #counts: Record<WaitClass, number> = { onTime: 0, late: 0 };
  readonly #shares: FairShares;
  #laneCount = 0;

  /** @param weightOf - size of a tenant's share relative to others, above 0 */
  constructor(weightOf: (tenantName: string) => number) {
    this.#shares = new FairShares(weightOf);
  }

  /** Number of waiting requests of a class. */
  count(waitClass: WaitClass): number {
    return this.#counts[waitClass];
  }

  /** Records that a request begins to wait; returns the lane to which it belongs. */
  join(demand: LinkDemand): WaitLane<T> {
    const { tenantName, priority } = demand;
    const accountName = accountNameOf(demand);
    const account = this.#shares.join(accountName);
    const { lanes } = this.#open(accountName, account);
    const existing = lanes.find((lane) => lane.priority === priority && lane.tenantName === tenantName);
    if (existing !== undefined) return existing;
    const lane = new WaitLane<T>(tenantName, priority, account);
    const next = lanes.findIndex((other) => other.priority > priority);
    lanes.splice(next < 0 ? lanes.length : next, 0, lane);
    this.#laneCount += 1;
    return lane;
  }

  /** Makes a request available in its class. */
  offer(entry: WaitEntry<T>): void {
    const { lane, waitClass } = entry;
    this.#count(lane, waitClass, 1);
    lane.offer(entry);
    this.#refresh(lane, waitClass);
  }

  /** Counterpart of {@link WaitLanes.offer} for a request that has been removed or has changed its class. */
  withdraw(lane: WaitLane<T>, waitClass: WaitClass): void {
    this.#count(lane, waitClass, -1);
    lane.withdraw(waitClass);
    this.#refresh(lane, waitClass);
  }

  /** Records that a request, already withdrawn, no longer waits. */
  leave(lane: WaitLane<T>): void {
    const { tenantName: accountName } = lane.account;
    this.#shares.leave(accountName);
    if (lane.size > 0) return;
    const lanes = this.#lanesOf(accountName);
    lanes.splice(lanes.indexOf(lane), 1);
    this.#laneCount -= 1;
    if (lanes.length === 0) this.#accounts.delete(accountName);
  }

  /** Charges a tenant with the expected duration of a use. */
  charge(accountName: string, estimateMs: number): void {
    const next = (this.#ready.onTime.peek() ?? this.#ready.late.peek())?.first;
    const nextTag = next?.lane.account.startTag ?? Number.POSITIVE_INFINITY;
    this.#shares.charge(accountName, estimateMs, nextTag);
    this.#refreshAll(accountName);
  }

  /** Corrects a charge when the use has ended. */
  settle(accountName: string, estimateMs: number, actualMs: number): void {
    this.#shares.settle(accountName, estimateMs, actualMs);
    this.#refreshAll(accountName);
  }

  /** The next request of a class, apart from the given ones. */
  first(waitClass: WaitClass, excluded: readonly WaitEntry<T>[]): WaitEntry<T> | undefined {
    let best = this.#ready[waitClass].find(({ first }) => !excluded.includes(first))?.first;
    for (const { lane } of excluded) best = preceding(best, findFirst(lane, waitClass, excluded));
    return best;
  }

  /** The next request of a class that a connection of a tenant can serve, apart from the given ones. */
  firstFor(
    tenantName: string,
    waitClass: WaitClass,
    excluded: readonly WaitEntry<T>[],
  ): WaitEntry<T> | undefined {
    let best: WaitEntry<T> | undefined;
    for (const lane of this.#lanesFor(tenantName))
      best = preceding(best, findFirst(lane, waitClass, excluded));
    return best;
  }

  /** The request that has waited longest of those that a connection of a tenant can serve. */
  oldestFor(tenantName: string): WaitEntry<T> | undefined {
    let oldest: WaitEntry<T> | undefined;
    for (const { arrivals } of this.#lanesFor(tenantName)) {
      const entry = arrivals.peek();
      if (entry !== undefined && (oldest === undefined || byArrival(entry, oldest) < 0)) oldest = entry;
    }
    return oldest;
  }

  /** The request of a class that would be served last. */
  last(waitClass: WaitClass, useMs: number): WaitEntry<T> | undefined {
    let last: AccountLanes<T> | undefined;
    let lastRank = Number.NEGATIVE_INFINITY;
    for (const candidate of this.#accounts.values()) {
      const { account, lanes, counts } = candidate;
      const lane = counts[waitClass] === 0 ? undefined : lastLaneOf(lanes, waitClass);
      if (lane === undefined) continue;
      const rank = rankOf(lane) + ((counts[waitClass] - 1) * useMs) / account.weight;
      if (rank < lastRank) continue;
      if (rank === lastRank && last !== undefined && account.tenantName < last.account.tenantName) continue;
      last = candidate;
      lastRank = rank;
    }
    return last === undefined ? undefined : lastOf(last.lanes, waitClass);
  }

  /**
   * Estimated number of waiting requests of a class that would be served before a new one.
   *
   * @param useMs - expected time that a connection is in use for a request
   */
  countAhead(waitClass: WaitClass, demand: LinkDemand, useMs: number): number {
    if (this.#counts[waitClass] === 0) return 0;
    const accountName = accountNameOf(demand);
    const own = this.#accounts.get(accountName);
    let ahead = 0;
    for (const lane of own?.lanes ?? []) {
      if (lane.priority < demand.priority) ahead += lane.parts[waitClass].count;
      else if (lane.priority === demand.priority) ahead += lane.countDueBy(waitClass, demand.dueAtMs);
    }
    const weight = own?.account.weight ?? this.#shares.weightOf(accountName);
    const tag = this.#shares.startTagOf(accountName) + (ahead * useMs) / weight;
    const rank = tag + demand.priority * PRIORITY_ADVANTAGE_MS;
    for (const other of this.#accounts.values())
      if (other !== own) ahead += countUpToRank(other, waitClass, rank, useMs);
    return ahead;
  }

  /** Drops what removed requests have left behind; no request waits. */
  clear(): void {
    for (const waitClass of WAIT_CLASSES) this.#ready[waitClass].clear();
  }

  #open(accountName: string, account: ShareAccount): AccountLanes<T> {
    const existing = this.#accounts.get(accountName);
    if (existing !== undefined) return existing;
    const opened: AccountLanes<T> = { account, lanes: [], counts: { onTime: 0, late: 0 } };
    this.#accounts.set(accountName, opened);
    return opened;
  }

  #count({ account }: WaitLane<T>, waitClass: WaitClass, change: 1 | -1): void {
    this.#counts[waitClass] += change;
    this.#open(account.tenantName, account).counts[waitClass] += change;
  }

  /** Updates the place of a lane after a change of its first request or its start tag. */
  #refresh(lane: WaitLane<T>, waitClass: WaitClass): void {
    const part = lane.parts[waitClass];
    const first = part.heap.peek();
    const rank = rankOf(lane);
    if (first === undefined) part.key = null;
    else if (part.key?.first !== first || part.key.rank !== rank) {
      part.key = { part, rank, first };
      this.#ready[waitClass].push(part.key);
    }
    this.#ready[waitClass].compact(this.#laneCount);
  }

  #refreshAll(accountName: string): void {
    for (const lane of this.#lanesOf(accountName))
      for (const waitClass of WAIT_CLASSES) this.#refresh(lane, waitClass);
  }

  #lanesOf(accountName: string): WaitLane<T>[] {
    return this.#accounts.get(accountName)?.lanes ?? [];
  }

  /** The lanes whose requests a connection of a tenant can serve. */
  #lanesFor(tenantName: string): readonly WaitLane<T>[] {
    const own = this.#lanesOf(tenantName);
    if (tenantName === NO_TENANT) return own;
    const any = this.#lanesOf(NO_TENANT).filter((lane) => lane.tenantName === null);
    return any.length === 0 ? own : [...own, ...any];
  }
}

function createReady<T>(): LazyHeap<LaneKey<T>> {
  return new LazyHeap<LaneKey<T>>(
    (one, other) => one.rank - other.rank || byDueTime(one.first, other.first),
    (key) => key.part.key === key,
  );
}

function rankOf({ account, priority }: Pick<WaitLane<unknown>, 'account' | 'priority'>): number {
  return account.startTag + priority * PRIORITY_ADVANTAGE_MS;
}

/** Number of requests of an account that would be served before a request of another account at a rank. */
function countUpToRank<T>(
  { account, lanes, counts }: AccountLanes<T>,
  waitClass: WaitClass,
  rank: number,
  useMs: number,
): number {
  const count = counts[waitClass];
  const { weight, startTag } = account;
  if (count === 0) return 0;
  const tagPerTurn = useMs / weight;
  const mostUrgent = lanes[0]?.priority ?? 0;
  const leastUrgent = lanes[lanes.length - 1]?.priority ?? 0;
  if (startTag + (count - 1) * tagPerTurn + leastUrgent * PRIORITY_ADVANTAGE_MS <= rank) return count;
  if (startTag + mostUrgent * PRIORITY_ADVANTAGE_MS > rank) return 0;
  let ahead = 0;
  for (const { priority, parts } of lanes) {
    const laneRank = startTag + ahead * tagPerTurn + priority * PRIORITY_ADVANTAGE_MS;
    if (laneRank > rank) break;
    ahead += Math.min(parts[waitClass].count, Math.floor((rank - laneRank) / tagPerTurn) + 1);
  }
  return ahead;
}

/** The least urgent lane that has requests of a class. */
function lastLaneOf<T>(lanes: readonly WaitLane<T>[], waitClass: WaitClass): WaitLane<T> | undefined {
  for (let index = lanes.length - 1; index >= 0; index -= 1) {
    const lane = lanes[index];
    if (lane !== undefined && lane.parts[waitClass].count > 0) return lane;
  }
  return undefined;
}

/** The request of a class that is served last within an account. */
function lastOf<T>(lanes: readonly WaitLane<T>[], waitClass: WaitClass): WaitEntry<T> | undefined {
  const priority = lastLaneOf(lanes, waitClass)?.priority;
  let last: WaitEntry<T> | undefined;
  // Requests of the daemon itself have a lane beside those without a tenant.
  for (const lane of lanes) {
    if (lane.priority !== priority) continue;
    const entry = lane.last(waitClass);
    if (entry !== undefined && (last === undefined || byDueTime(entry, last) > 0)) last = entry;
  }
  return last;
}

function findFirst<T>(
  lane: WaitLane<T>,
  waitClass: WaitClass,
  excluded: readonly WaitEntry<T>[],
): WaitEntry<T> | undefined {
  const { heap } = lane.parts[waitClass];
  return excluded.length === 0 ? heap.peek() : heap.find((entry) => !excluded.includes(entry));
}

/** The request of two of the same class that is served first. */
function preceding<T>(
  one: WaitEntry<T> | undefined,
  other: WaitEntry<T> | undefined,
): WaitEntry<T> | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  const order = rankOf(one.lane) - rankOf(other.lane) || byDueTime(one, other);
  return order <= 0 ? one : other;
}
