/**
 * Circuit breaker for each database: when no owner has responded for a while, requests are rejected
 * immediately instead of waiting for their deadlines. Performs no I/O and reads no clock: the caller passes
 * the time.
 *
 * @packageDocumentation
 */

/** When requests are rejected and let through; times in milliseconds. */
export interface BreakerTiming {
  /**
   * Time without a response after which requests are rejected immediately; longer than a change of owner
   * takes.
   */
  readonly openAfterMs: number;
  /** Time between requests that are let through to probe whether an owner is reachable again. */
  readonly probeIntervalMs: number;
}

interface Outage {
  readonly sinceMs: number;
  nextProbeMs: number;
}

/** Tracks the outages by database. */
export class OwnerCircuitBreaker {
  readonly #outages = new Map<string, Outage>();

  constructor(private readonly timing: BreakerTiming) {}

  /** True when a request may search for an owner: no long outage is known, or a probe is due. */
  allowRequest(database: string, nowMs: number): boolean {
    const outage = this.#outages.get(database);
    if (outage === undefined || !this.#isOpen(outage, nowMs)) return true;
    if (nowMs < outage.nextProbeMs) return false;
    outage.nextProbeMs = nowMs + this.timing.probeIntervalMs;
    return true;
  }

  /** Records that no target was the owner; returns true when the search should be abandoned. */
  recordFailure(database: string, nowMs: number): boolean {
    const outage = this.#outages.get(database) ?? { sinceMs: nowMs, nextProbeMs: 0 };
    this.#outages.set(database, outage);
    return this.#isOpen(outage, nowMs);
  }

  /** Records that an owner has responded, which ends the outage. */
  recordSuccess(database: string): void {
    this.#outages.delete(database);
  }

  #isOpen(outage: Outage, nowMs: number): boolean {
    return nowMs - outage.sinceMs >= this.timing.openAfterMs;
  }
}
