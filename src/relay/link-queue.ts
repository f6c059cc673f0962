/**
 * What a request that waits for a member connection requires, and the values that determine its place in the
 * queue. The order itself is in `src/admission/wait-queue.ts`.
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

/** True if a connection of the tenant satisfies the demand. */
export function acceptsTenant(demand: LinkDemand, tenantName: string): boolean {
  return demand.tenantName === null || demand.tenantName === tenantName;
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
