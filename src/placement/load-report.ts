/**
 * What a gateway reports about its connections to a member, and the validation of such a report. Pure.
 *
 * @packageDocumentation
 */

/** Load of a gateway's pool of connections to one member. */
export interface LoadReport {
  /** Connections in use or being opened. */
  readonly inUse: number;
  /** Requests that wait for a connection. */
  readonly waiting: number;
  /** Recent response time at the gateway, in milliseconds; 0 if there was no recent answer. */
  readonly serviceMs: number;
  /**
   * Time from the receipt of the request to the sending of its reply, in milliseconds; missing if it is not known
   * for this reply. The borrower subtracts it to get the round-trip time to the gateway.
   */
  readonly heldMs?: number;
}

/** Upper bound for the counts of a report: far above the limits of pools and queues. */
const MAX_COUNT = 100_000;
/** Upper bound for the times of a report, in milliseconds: longer than any request may take. */
const MAX_TIME_MS = 600_000;

/** The report in a received message, or `null` if a field is missing, not a number or out of range. */
export function readLoadReport(value: unknown): LoadReport | null {
  if (typeof value !== 'object' || value === null) return null;
  const { inUse, waiting, serviceMs, heldMs } = value as Readonly<Record<string, unknown>>;
  if (!isBetween(inUse, MAX_COUNT) || !isBetween(waiting, MAX_COUNT)) return null;
  if (!isBetween(serviceMs, MAX_TIME_MS)) return null;
  if (heldMs === undefined || heldMs === null) return { inUse, waiting, serviceMs };
  return isBetween(heldMs, MAX_TIME_MS) ? { inUse, waiting, serviceMs, heldMs } : null;
}

/** True for a number from 0 to `maximum`; false for NaN and infinities. */
function isBetween(value: unknown, maximum: number): value is number {
  return typeof value === 'number' && value >= 0 && value <= maximum;
}
