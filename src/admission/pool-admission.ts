/**
 * Admission to the queue of one connection pool: measures the use of its connections, and refuses requests that
 * can't be served before their deadline.
 *
 * @packageDocumentation
 */
import type { LinkDemand } from '../relay/link-queue.js';
import { decideAdmission } from './admission.js';
import { AdmissionError, type AdmissionDetails } from './admission-error.js';
import { ArrivalMeter } from './arrival-meter.js';
import { RetrySchedule } from './retry-schedule.js';
import { WaitEstimator } from './wait-estimator.js';

/** Why a request is refused by a full queue. */
export const OVERFLOW_REASON = 'too many requests wait for a connection';

/** Counts decisions and records waits. */
export interface AdmissionObserver {
  /** A request got an idle connection, waits for one, or was refused on arrival or while it waited. */
  admissionDecided(decision: 'idle' | 'waiting' | 'refused'): void;
  /** A wait for a connection, in milliseconds: as predicted on arrival, or as it was. */
  waitMeasured(kind: 'predicted' | 'actual', ms: number): void;
}

/** Dependencies of {@link PoolAdmission}. */
export interface PoolAdmissionPorts {
  readonly observer: AdmissionObserver | undefined;
  /** A number from 0 up to 1. */
  random(): number;
}

/** The moment of a decision. */
export interface AdmissionTime {
  /** Monotonic time, in milliseconds. */
  readonly nowMs: number;
  /** Expected latency of the member's replies, in milliseconds. */
  readonly serviceMs: number;
}

/** The queue that a request would join. */
export interface QueueState {
  /** Number of waiting requests. */
  readonly waiting: number;
  /** Connections that are open or being opened. */
  readonly connections: number;
  /** True if at least one of them is open. */
  readonly hasConnection: boolean;
  /** Number of waiting requests that would be served before one with this demand. */
  countAhead(demand: LinkDemand, nowMs: number, serviceMs: number): number;
}

/** Decision about a request that finds no idle connection. */
export interface ArrivalDecision {
  /** The refusal; `null` if the request may wait. */
  readonly refusal: AdmissionError | null;
  /** Expected wait, in milliseconds; `null` without an estimate. */
  readonly expectedWaitMs: number | null;
}

/** What a refusal is based on; times in milliseconds. */
interface RefusalBasis {
  readonly expectedWaitMs: number;
  readonly ahead: number;
  readonly waiting: number;
  readonly connections: number;
  readonly intervalMs: number;
  readonly now: number;
}

/**
 * Shortest use of a connection that the retry times of a full queue assume before uses have been measured, in
 * milliseconds: the expected latency is 0 before the member's first answer, and with it all refused clients
 * would come back at once. The shortest statements of the deployments take 3 to 5 ms.
 */
const MIN_ASSUMED_USE_MS = 5;

const MAY_WAIT: ArrivalDecision = { refusal: null, expectedWaitMs: null };

/** Decides about the requests of one pool. Requests of the daemon itself are neither measured nor refused. */
export class PoolAdmission {
  readonly #estimator = new WaitEstimator();
  readonly #arrivals = new ArrivalMeter();
  readonly #retries = new RetrySchedule();

  constructor(private readonly ports: PoolAdmissionPorts) {}

  /** Records that a request got an idle connection. */
  grantedIdle({ tenantName, priority }: LinkDemand, nowMs: number): void {
    if (tenantName === null) return;
    this.#arrivals.record(priority, nowMs);
    this.ports.observer?.admissionDecided('idle');
  }

  /** Records that a request got a connection after it had waited since `sinceMs`, in monotonic milliseconds. */
  grantedAfterWait({ tenantName }: LinkDemand, sinceMs: number, nowMs: number): void {
    if (tenantName === null) return;
    this.#estimator.recordDeparture(true);
    this.ports.observer?.waitMeasured('actual', nowMs - sinceMs);
  }

  /** Records that a waiting request was served by another pool at which it waited as well. */
  servedElsewhere({ tenantName }: LinkDemand): void {
    if (tenantName !== null) this.#estimator.recordDeparture(false);
  }

  /** Records for how long a request has used a connection, in milliseconds. */
  used({ tenantName }: LinkDemand, ms: number, nowMs: number): void {
    if (tenantName !== null) this.#estimator.recordUse(ms, nowMs);
  }

  /** Records that a connection was opened in place of one of another tenant, which took `ms` milliseconds. */
  replaced(ms: number, nowMs: number): void {
    this.#estimator.recordOpening(ms, nowMs);
  }

  /** Decides about a request that finds no idle connection; counts it if it is refused. */
  decideOnArrival(
    demand: LinkDemand,
    queue: QueueState,
    { nowMs: now, serviceMs }: AdmissionTime,
  ): ArrivalDecision {
    const { tenantName, priority, dueAtMs, deadlineMs } = demand;
    if (tenantName === null) return MAY_WAIT;
    const intervalMs = this.#estimator.intervalMs(queue.connections, now);
    const urgentRate = this.#arrivals.rateAbove(priority, now);
    const rate = this.#arrivals.rate(now);
    // Only now, so that the request does not count among those that precede it.
    this.#arrivals.record(priority, now);
    if (intervalMs === null || deadlineMs === undefined) return MAY_WAIT;
    const ahead = queue.countAhead(demand, now, serviceMs);
    const { waiting, hasConnection } = queue;
    const dueInMs = dueAtMs - now;
    const timeLeftMs = deadlineMs - now;
    const { kind, expectedWaitMs } = decideAdmission({
      ahead,
      waiting,
      intervalMs,
      hasConnection,
      urgentRate,
      rate,
      serviceMs,
      dueInMs,
      timeLeftMs,
    });
    if (kind === 'wait' || expectedWaitMs === null) return { refusal: null, expectedWaitMs };
    const basis = { expectedWaitMs, ahead, waiting, connections: queue.connections, intervalMs, now };
    return { refusal: this.#refuseUnservable(basis), expectedWaitMs };
  }

  /** Records that a request begins to wait, with the expected wait of its decision, in milliseconds. */
  beganToWait({ tenantName }: LinkDemand, expectedWaitMs: number | null): void {
    if (tenantName === null) return;
    this.ports.observer?.admissionDecided('waiting');
    if (expectedWaitMs !== null) this.ports.observer?.waitMeasured('predicted', expectedWaitMs);
  }

  /**
   * The refusal of a request that a full queue has removed, or has not taken. Before uses have been measured,
   * the retry time assumes that a connection is in use for as long as the member takes to reply.
   */
  refuseOverflow(
    { waiting, connections }: Pick<QueueState, 'waiting' | 'connections'>,
    { nowMs: now, serviceMs }: AdmissionTime,
  ): AdmissionError {
    const assumedUseMs = Math.max(MIN_ASSUMED_USE_MS, serviceMs);
    const intervalMs =
      this.#estimator.intervalMs(connections, now) ?? assumedUseMs / Math.max(1, connections);
    const useMs = this.#estimator.useMs(now);
    const details = { waiting, connections, ...(useMs === null ? {} : { useMs: Math.round(useMs) }) };
    return this.#refuse(OVERFLOW_REASON, (waiting + 1) * intervalMs, intervalMs, now, details);
  }

  /**
   * Refusals of waiting requests that have missed their latency objective and can't be served before their
   * deadline any more, because connections were lost, the member has become slower or others precede them.
   *
   * @param late - the waiting requests that have missed their objective
   */
  refusalsOfLate<Request extends { readonly demand: LinkDemand }>(
    late: readonly Request[],
    { waiting, connections }: Pick<QueueState, 'waiting' | 'connections'>,
    { nowMs: now, serviceMs }: AdmissionTime,
  ): readonly { readonly request: Request; readonly refusal: AdmissionError }[] {
    const intervalMs = late.length === 0 ? null : this.#estimator.intervalMs(connections, now);
    if (intervalMs === null) return [];
    const rate = this.#arrivals.rate(now);
    const refusals: { request: Request; refusal: AdmissionError }[] = [];
    // All requests that are not late, and all that arrive, precede the late ones, which follow in their own order.
    let ahead = waiting - late.length;
    for (const request of [...late].sort(compareLate)) {
      const { tenantName, deadlineMs, dueAtMs } = request.demand;
      const { kind, expectedWaitMs } = decideAdmission({
        ahead,
        waiting: ahead,
        intervalMs,
        hasConnection: true,
        urgentRate: rate,
        rate,
        serviceMs,
        dueInMs: dueAtMs - now,
        timeLeftMs: (deadlineMs ?? Number.POSITIVE_INFINITY) - now,
      });
      if (kind === 'refuse' && expectedWaitMs !== null && tenantName !== null) {
        const basis = { expectedWaitMs, ahead, waiting, connections, intervalMs, now };
        refusals.push({ request, refusal: this.#refuseUnservable(basis) });
      } else ahead += 1;
    }
    return refusals;
  }

  #refuseUnservable(basis: RefusalBasis): AdmissionError {
    const { expectedWaitMs, ahead, waiting, connections, intervalMs, now } = basis;
    const details = {
      expectedWaitMs: Math.round(expectedWaitMs),
      ahead,
      connections,
      useMs: Math.round(this.#estimator.useMs(now) ?? 0),
    };
    return this.#refuse(undefined, (waiting + 1) * intervalMs, intervalMs, now, details);
  }

  /** Counts a refusal, and assigns it the next retry time behind the backlog; times in milliseconds. */
  #refuse(
    reason: string | undefined,
    backlogMs: number,
    intervalMs: number,
    nowMs: number,
    details: AdmissionDetails,
  ): AdmissionError {
    this.ports.observer?.admissionDecided('refused');
    const retryAfterMs = this.#retries.next(backlogMs, intervalMs, nowMs, this.ports.random());
    return AdmissionError.withoutStack(retryAfterMs, details, reason);
  }
}

/** Order of requests that have missed their latency objective: by priority, then by due time. */
function compareLate(
  { demand: one }: { readonly demand: LinkDemand },
  { demand: other }: { readonly demand: LinkDemand },
): number {
  return one.priority - other.priority || one.dueAtMs - other.dueAtMs;
}
