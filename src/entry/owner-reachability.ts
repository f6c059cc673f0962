/**
 * Remembers for which databases no owner has answered for a while, so that requests are refused at once instead of
 * waiting for their deadlines. Pure: the caller passes the time.
 *
 * @packageDocumentation
 */

/** Settings; times in milliseconds. */
export interface OwnerReachabilityOptions {
  /** Time without an answer after which requests are refused at once; longer than a change of owner takes. */
  readonly giveUpAfterMs: number;
  /** Time between requests that are let through to find out whether an owner is back. */
  readonly probeIntervalMs: number;
}

interface Outage {
  readonly sinceMs: number;
  nextProbeMs: number;
}

/** Outages by database. */
export class OwnerReachability {
  readonly #outages = new Map<string, Outage>();

  constructor(private readonly options: OwnerReachabilityOptions) {}

  /** True when a request may look for an owner. */
  mayTry(database: string, nowMs: number): boolean {
    const outage = this.#outages.get(database);
    if (outage === undefined || !this.#isLong(outage, nowMs)) return true;
    if (nowMs < outage.nextProbeMs) return false;
    outage.nextProbeMs = nowMs + this.options.probeIntervalMs;
    return true;
  }

  /** Records that no target was the owner; true when there is no use in waiting on. */
  recordFailure(database: string, nowMs: number): boolean {
    const outage = this.#outages.get(database) ?? { sinceMs: nowMs, nextProbeMs: 0 };
    this.#outages.set(database, outage);
    return this.#isLong(outage, nowMs);
  }

  /** Records that an owner has answered. */
  recordSuccess(database: string): void {
    this.#outages.delete(database);
  }

  #isLong(outage: Outage, nowMs: number): boolean {
    return nowMs - outage.sinceMs >= this.options.giveUpAfterMs;
  }
}
