/**
 * The order in which requests that wait for a member connection get one. Pure.
 *
 * Where connections are short, serving in order of arrival makes everybody late by the same time. So those that can still
 * be answered within their latency objective go first, by priority and then by how soon their objective ends; those that
 * cannot be any more get what is left.
 *
 * @packageDocumentation
 */
import type { Route } from '../topology/catalog.js';
import type { SessionValues } from './session-link.js';

/** What a request wants of a connection. */
export interface LinkDemand {
  /**
   * Name of the tenant that the connection has to belong to; `null` where any will do, for questions of the daemon's own.
   */
  readonly tenantName: string | null;
  readonly values: SessionValues;
  /** It may wait for replicas at the leader: a write, or a transaction that may hold one. */
  readonly isWrite: boolean;
  /** Of its route; 0 is the most urgent. */
  readonly priority: number;
  /** When its latency objective ends, in monotonic milliseconds. */
  readonly dueAtMs: number;
}

/** When the latency objective of a request ends that has to be answered by `deadlineMs`, in monotonic milliseconds. */
export function dueAt(
  { targetLatencyMs, timeoutMs }: Pick<Route, 'targetLatencyMs' | 'timeoutMs'>,
  deadlineMs: number,
): number {
  return deadlineMs - timeoutMs + targetLatencyMs;
}

/**
 * Where the next to be served stands among those that wait; -1 when nobody does.
 *
 * @param serviceMs - time that the member takes for an answer
 */
export function nextToServe(
  waiters: readonly { readonly demand: LinkDemand }[],
  nowMs: number,
  serviceMs: number,
): number {
  let best = -1;
  let bestDemand: LinkDemand | null = null;
  for (const [index, { demand }] of waiters.entries()) {
    if (bestDemand !== null && !goesBefore(demand, bestDemand, nowMs + serviceMs)) continue;
    best = index;
    bestDemand = demand;
  }
  return best;
}

/** @param answeredAtMs - when a request that is served now is answered */
function goesBefore(one: LinkDemand, other: LinkDemand, answeredAtMs: number): boolean {
  const isLate = one.dueAtMs < answeredAtMs;
  if (isLate !== other.dueAtMs < answeredAtMs) return !isLate;
  if (one.priority !== other.priority) return one.priority < other.priority;
  return one.dueAtMs < other.dueAtMs;
}
