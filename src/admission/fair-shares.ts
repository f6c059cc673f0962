/**
 * Shares of tenants in the time that connections are in use, by start-time fair queueing (Goyal, Vin and
 * Cheng, SIGCOMM 1996). Pure.
 *
 * Each tenant has a start tag: the connection time that it has been charged, divided by its weight. The tenant
 * with the smallest tag has received the least of its share. A tenant that begins to wait has its tag raised
 * to the virtual time, so it gets no credit for the time in which it was idle.
 *
 * @packageDocumentation
 */

/** Connection time charged to one tenant. */
export interface ShareAccount {
  readonly tenantName: string;
  /** Size of the tenant's share relative to others. */
  readonly weight: number;
  /** Charged connection time divided by the weight, in milliseconds. It never decreases. */
  readonly startTag: number;
}

interface Account extends ShareAccount {
  weight: number;
  startTag: number;
  /** Time charged in excess of the actual use, in milliseconds. Later charges are reduced by it. */
  creditMs: number;
  waitingCount: number;
  inUseCount: number;
}

/** Start tags of the tenants that compete for the same connections. */
export class FairShares {
  readonly #accounts = new Map<string, Account>();
  #virtualTime = 0;
  /** Number of waiting requests plus connections in use, of all tenants. */
  #activeCount = 0;

  /** @param weightOf - size of a tenant's share relative to others; has to be positive */
  constructor(readonly weightOf: (tenantName: string) => number) {}

  /** Number of tenants for which an account is kept. */
  get accountCount(): number {
    return this.#accounts.size;
  }

  /** The start tag that the next request of a tenant gets. */
  startTagOf(tenantName: string): number {
    const account = this.#accounts.get(tenantName);
    if (account === undefined) return this.#virtualTime;
    return account.waitingCount > 0 ? account.startTag : Math.max(account.startTag, this.#virtualTime);
  }

  /** Records that a request of the tenant begins to wait. */
  join(tenantName: string): ShareAccount {
    const account = this.#open(tenantName);
    account.waitingCount += 1;
    this.#activeCount += 1;
    return account;
  }

  /** Records that a request of the tenant no longer waits. */
  leave(tenantName: string): void {
    const account = this.#accounts.get(tenantName);
    if (account === undefined) return;
    account.waitingCount -= 1;
    this.#becomeLessActive(account);
  }

  /**
   * Charges a tenant at the start of a use.
   *
   * @param estimateMs - expected duration of the use
   * @param nextTag - the start tag of the tenant whose waiting request is served next; infinite without any
   */
  charge(tenantName: string, estimateMs: number, nextTag: number): void {
    const account = this.#open(tenantName);
    // A grant out of order must not raise newcomers above tenants that have waited in order.
    this.#virtualTime = Math.max(this.#virtualTime, Math.min(account.startTag, nextTag));
    account.inUseCount += 1;
    this.#activeCount += 1;
    this.#add(account, estimateMs);
  }

  /** Ends a use and corrects its charge. */
  settle(tenantName: string, estimateMs: number, actualMs: number): void {
    const account = this.#accounts.get(tenantName);
    if (account === undefined) return;
    if (actualMs >= estimateMs) this.#add(account, actualMs - estimateMs);
    else account.creditMs += estimateMs - actualMs;
    account.inUseCount -= 1;
    this.#becomeLessActive(account);
  }

  #open(tenantName: string): Account {
    let account = this.#accounts.get(tenantName);
    if (account === undefined) {
      account = { tenantName, weight: 1, startTag: 0, creditMs: 0, waitingCount: 0, inUseCount: 0 };
      this.#accounts.set(tenantName, account);
    }
    if (account.waitingCount > 0) return account;
    account.weight = this.weightOf(tenantName);
    if (this.#isForgettable(account)) account.creditMs = 0;
    account.startTag = Math.max(account.startTag, this.#virtualTime);
    return account;
  }

  /** True if the account would be the same if it were opened again. */
  #isForgettable({ waitingCount, inUseCount, startTag }: Account): boolean {
    return waitingCount === 0 && inUseCount === 0 && startTag <= this.#virtualTime;
  }

  #add(account: Account, chargeMs: number): void {
    const paidMs = Math.min(account.creditMs, chargeMs);
    account.creditMs -= paidMs;
    account.startTag += (chargeMs - paidMs) / account.weight;
  }

  #becomeLessActive(account: Account): void {
    this.#activeCount -= 1;
    if (this.#activeCount === 0) {
      this.#accounts.clear();
      this.#virtualTime = 0;
    } else if (this.#isForgettable(account)) {
      this.#accounts.delete(account.tenantName);
    }
  }
}
