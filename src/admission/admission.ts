/**
 * Decides whether a request that finds no idle connection waits or is refused. Pure.
 *
 * The wait is estimated for the order in which a pool serves: a request that can't be served within its latency
 * objective falls behind all that still can, including those that arrive later. So under overload the requests
 * that would miss their objective, and then wait until their deadline, are refused at once.
 *
 * @packageDocumentation
 */

/**
 * Least share of the capacity that remains for requests which others precede. The order of service grants every
 * eighth connection to the request that has waited longest.
 */
const MIN_REMAINING_SHARE = 1 / 8;

/**
 * Time to open a connection, in milliseconds: members take 12 to 14 ms to accept one.
 */
const OPEN_MS = 14;

/** What the decision is based on. Times are in milliseconds. */
export interface AdmissionInputs {
  /** Waiting requests that would be served before this one. */
  readonly ahead: number;
  /** All waiting requests. */
  readonly waiting: number;
  /** Expected interval between two requests that leave the queue; `null` without an estimate. */
  readonly intervalMs: number | null;
  /** True if a connection is open. */
  readonly hasConnection: boolean;
  /** Requests that arrive per millisecond and are more urgent. */
  readonly urgentRate: number;
  /** Requests that arrive per millisecond. */
  readonly rate: number;
  /** Expected time of the member's reply once a connection is granted. */
  readonly serviceMs: number;
  /** Time until the reply is due by the latency objective; may be negative. */
  readonly dueInMs: number;
  /** Time until the request ends at its deadline. */
  readonly timeLeftMs: number;
}

/** Whether to let the request wait, and the expected wait in milliseconds; `null` if there is no estimate. */
export interface AdmissionDecision {
  readonly kind: 'wait' | 'refuse';
  readonly expectedWaitMs: number | null;
}

/** Decides about one request. */
export function decideAdmission(inputs: AdmissionInputs): AdmissionDecision {
  const expectedWaitMs = expectedWait(inputs);
  const isServable = expectedWaitMs === null || expectedWaitMs + inputs.serviceMs <= inputs.timeLeftMs;
  return { kind: isServable ? 'wait' : 'refuse', expectedWaitMs };
}

/** Expected wait for a connection, in milliseconds; `null` without an estimate. */
function expectedWait(inputs: AdmissionInputs): number | null {
  const { ahead, waiting, intervalMs, hasConnection, urgentRate, rate, serviceMs, dueInMs } = inputs;
  if (intervalMs === null) return null;
  const openMs = hasConnection ? 0 : OPEN_MS;
  const waitMs = openMs + ((ahead + 1) * intervalMs) / remainingShare(urgentRate, intervalMs);
  if (waitMs + serviceMs <= dueInMs) return waitMs;
  // It would miss its latency objective, and then it waits for all that wait now and for all that arrive.
  return Math.max(waitMs, openMs + ((waiting + 1) * intervalMs) / remainingShare(rate, intervalMs));
}

/** Share of the capacity that is not taken by requests that go first and arrive at the given rate. */
function remainingShare(ratePerMs: number, intervalMs: number): number {
  return Math.max(MIN_REMAINING_SHARE, 1 - ratePerMs * intervalMs);
}
