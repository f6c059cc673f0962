/**
 * Order in which requests that wait for a member connection are served. Pure.
 *
 * If connections are scarce, serving in order of arrival delays all requests equally, beyond their latency
 * objectives. So requests that can still meet their objective go first, by priority and then by due time.
 * Requests that have missed it are served with the remaining capacity, in the same order.
 *
 * @packageDocumentation
 */
import type { Route } from '../topology/catalog.js';
import type { SessionValues } from './session-link.js';

/** The requirements of a request on its connection, and its place in the queue. */
export interface LinkDemand {
  /**
   * Name of the tenant that the connection has to belong to; `null` for requests of the daemon itself, which
   * can use any.
   */
  readonly tenantName: string | null;
  readonly values: SessionValues;
  /**
   * True if the request may have to wait for replicas at the leader: a write, or a transaction that may
   * contain one.
   */
  readonly isWrite: boolean;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** When the reply is due by the latency objective, in monotonic milliseconds. */
  readonly dueAtMs: number;
  /**
   * Until when the request can wait for a connection, in monotonic milliseconds. If not given, the request is
   * never refused because of the expected wait.
   */
  readonly deadlineMs?: number;
}

/**
 * When a request that must be answered by `deadlineMs` is due by its latency objective, in monotonic
 * milliseconds.
 */
export function dueAt(
  { targetLatencyMs, timeoutMs }: Pick<Route, 'targetLatencyMs' | 'timeoutMs'>,
  deadlineMs: number,
): number {
  return deadlineMs - timeoutMs + targetLatencyMs;
}

/**
 * Index of the waiting request to serve next; -1 if none waits.
 *
 * @param serviceMs - expected latency of the member's replies
 */
export function nextToServe(
  waiters: readonly { readonly demand: LinkDemand }[],
  nowMs: number,
  serviceMs: number,
): number {
  let best = -1;
  let bestDemand: LinkDemand | null = null;
  for (const [index, { demand }] of waiters.entries()) {
    if (bestDemand !== null && !precedes(demand, bestDemand, nowMs + serviceMs)) continue;
    best = index;
    bestDemand = demand;
  }
  return best;
}

/**
 * Number of waiting requests that would be served before one with the given demand.
 *
 * @param serviceMs - expected latency of the member's replies
 */
export function countAhead(
  waiters: readonly { readonly demand: LinkDemand }[],
  demand: LinkDemand,
  nowMs: number,
  serviceMs: number,
): number {
  let ahead = 0;
  for (const waiter of waiters) if (!precedes(demand, waiter.demand, nowMs + serviceMs)) ahead += 1;
  return ahead;
}

/** @param answeredAtMs - when a request that is served now is expected to be answered */
function precedes(one: LinkDemand, other: LinkDemand, answeredAtMs: number): boolean {
  const isLate = one.dueAtMs < answeredAtMs;
  if (isLate !== other.dueAtMs < answeredAtMs) return !isLate;
  if (one.priority !== other.priority) return one.priority < other.priority;
  return one.dueAtMs < other.dueAtMs;
}
