/**
 * Limits retries to a share of the requests, so that they cannot multiply the load on a failing system. Pure.
 *
 * @packageDocumentation
 */

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries added by each request; 0.1 allows one retry for ten requests. */
  readonly retriesPerRequest: number;
  /** Maximum balance of unused retries. */
  readonly maxSaved: number;
}

/** A token bucket that is filled by requests and emptied by retries. @public */
export class RetryBudget {
  #balance: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.#balance = options.maxSaved;
  }

  recordRequest(): void {
    this.#balance = Math.min(this.options.maxSaved, this.#balance + this.options.retriesPerRequest);
  }

  /** Takes one retry from the budget; false when none is left. */
  tryRetry(): boolean {
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
