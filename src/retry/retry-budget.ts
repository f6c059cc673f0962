/**
 * Limits retries to a share of the requests, so that they cannot multiply a load that already fails. Pure.
 *
 * @packageDocumentation
 */

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each request; 0.1 allows one retry for ten requests. */
  readonly retriesPerRequest: number;
  /** Most retries that can be saved up. */
  readonly maxSaved: number;
}

/** A token bucket that is filled by requests and emptied by retries. @public */
export class RetryBudget {
  #saved: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.#saved = options.maxSaved;
  }

  /** Records a request. */
  recordRequest(): void {
    this.#saved = Math.min(this.options.maxSaved, this.#saved + this.options.retriesPerRequest);
  }

  /** Takes a retry out of the budget; false when there is none left. */
  tryRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
