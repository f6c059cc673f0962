/**
 * Charges operations to tenants: each operation needs a grant from the tenant's home daemon.
 *
 * Waiting operations share one request for grants, which asks for some extra ones when the tenant calls
 * often. Unused grants expire soon, so that they cannot accumulate and run later in excess of the quota at
 * that time.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { Quota, Tenant } from '../tenancy/tenant-registry.js';
import type { Grant, GrantRequest, QuotaHome } from './quota-home.js';

/**
 * Lifetime of an unused grant since its request, in milliseconds. It bounds by how much a time window may
 * exceed the quota.
 */
const GRANT_LIFETIME_MS = 200;
/**
 * Time-out of a grant request, in milliseconds: allows for some round trips between zones and a pause of the
 * home's process.
 */
const GRANT_REQUEST_TIMEOUT_MS = 150;
/**
 * Delay between grant requests for a tenant that is over its quota, in milliseconds: doubled from the minimum
 * to the maximum.
 */
const MIN_BACKOFF_MS = 25;
const MAX_BACKOFF_MS = 400;
/** Retry delay that callers are given while neither home nor backup answers, in milliseconds. */
const NO_HOME_RETRY_MS = 200;
/** Half-life of a call in the estimate of the tenant's call rate at this daemon, in milliseconds. */
const CALL_RATE_HALF_LIFE_MS = 500;
/** Share of the expected calls for which grants are requested in advance. */
const PREFETCH_SHARE = 0.8;
/** Most tenants with an account in memory. */
const MAX_ACCOUNTS = 10_000;

/** Result of charging an operation. */
export type Charge =
  | { readonly kind: 'charged'; refund(): void }
  /** The tenant has used up its quota. */
  | { readonly kind: 'over_quota'; readonly retryAfterMs: number }
  /** Neither the home nor the backup of the tenant answered. */
  | { readonly kind: 'no_home'; readonly retryAfterMs: number };

/** Charges operations to tenants. */
export interface OperationQuotas {
  /** Charges one operation, under the tenant's quota in the active configuration. */
  charge(tenant: Tenant): Charge | Promise<Charge>;
}

/** Settings and dependencies of {@link GrantedQuotas}. */
export interface GrantedQuotasOptions {
  readonly ownName: string;
  readonly home: QuotaHome;
  /** The home of a tenant, followed by its backup. */
  homeAndBackup(tenantName: string): readonly DaemonRecord[];
  /** Requests a grant from another daemon; `null` when it does not answer in time or is not responsible. */
  requestGrant(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null>;
  now(): number;
  /** Uniform random number in [0, 1). */
  random(): number;
}

/** Grants, waiting operations and call rate of one tenant at this daemon. */
class Account {
  /** Expiry time of each unused grant, in monotonic milliseconds. */
  readonly grants: number[] = [];
  readonly waiting: ((charge: Charge) => void)[] = [];
  isRequesting = false;
  consecutiveRefusals = 0;
  refusedUntilMs = Number.NEGATIVE_INFINITY;
  #callWeight = 0;
  #callWeightAtMs = 0;

  recordCall(nowMs: number): void {
    this.#callWeight = this.#decayedCallWeight(nowMs) + 1;
    this.#callWeightAtMs = nowMs;
  }

  /** Expected number of calls within a time span. */
  expectedCalls(ms: number, nowMs: number): number {
    return (this.#decayedCallWeight(nowMs) * Math.LN2 * ms) / CALL_RATE_HALF_LIFE_MS;
  }

  #decayedCallWeight(nowMs: number): number {
    return this.#callWeight * 0.5 ** ((nowMs - this.#callWeightAtMs) / CALL_RATE_HALF_LIFE_MS);
  }
}

/** Enforces quotas by grants from the home daemons of tenants. */
export class GrantedQuotas implements OperationQuotas {
  readonly #accounts = new Map<string, Account>();

  constructor(private readonly options: GrantedQuotasOptions) {}

  charge(tenant: Tenant): Charge | Promise<Charge> {
    const { name, quota } = tenant;
    if (quota === null) return UNLIMITED_CHARGE;
    const nowMs = this.options.now();
    const account = this.#account(name);
    account.recordCall(nowMs);
    const grant = takeGrant(account, nowMs);
    if (grant !== null) return grant;
    if (nowMs < account.refusedUntilMs) return this.#overQuota(account.refusedUntilMs - nowMs);
    return new Promise((resolve) => {
      account.waiting.push(resolve);
      if (!account.isRequesting) void this.#requestGrants(name, quota, account);
    });
  }

  async #requestGrants(tenantName: string, quota: Quota, account: Account): Promise<void> {
    account.isRequesting = true;
    while (account.waiting.length > 0) {
      const requestedAtMs = this.options.now();
      const prefetchCount = Math.floor(
        account.expectedCalls(GRANT_LIFETIME_MS, requestedAtMs) * PREFETCH_SHARE,
      );
      const waiters = account.waiting.splice(0);
      const grant = await this.#requestFromHomeOrBackup(tenantName, quota, waiters.length + prefetchCount);
      this.#distribute(account, waiters, grant, requestedAtMs);
    }
    account.isRequesting = false;
  }

  /** Hands the grants out to the waiting operations, and keeps the rest until they expire. */
  #distribute(
    account: Account,
    waiters: readonly ((charge: Charge) => void)[],
    grant: Grant | null,
    requestedAtMs: number,
  ): void {
    const expiresAtMs = requestedAtMs + GRANT_LIFETIME_MS;
    for (let index = 0; index < (grant?.count ?? 0); index += 1) account.grants.push(expiresAtMs);
    const nowMs = this.options.now();
    const isShort = grant !== null && grant.count < waiters.length;
    account.consecutiveRefusals = isShort ? account.consecutiveRefusals + 1 : 0;
    if (isShort)
      account.refusedUntilMs = nowMs + this.#backoffMs(account.consecutiveRefusals, grant.roomInMs);
    for (const resolve of waiters) resolve(takeGrant(account, nowMs) ?? this.#refusal(account, grant, nowMs));
  }

  #refusal(account: Account, grant: Grant | null, nowMs: number): Charge {
    if (grant === null) return { kind: 'no_home', retryAfterMs: this.#withJitter(NO_HOME_RETRY_MS) };
    return this.#overQuota(Math.max(0, account.refusedUntilMs - nowMs));
  }

  #overQuota(roomInMs: number): Charge {
    return { kind: 'over_quota', retryAfterMs: this.#withJitter(Math.max(MIN_BACKOFF_MS, roomInMs)) };
  }

  /**
   * Not before the bucket has a token again, and longer after each refusal, since other daemons request
   * grants too.
   */
  #backoffMs(refusals: number, roomInMs: number): number {
    const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** Math.min(refusals - 1, 8));
    return Math.max(roomInMs, this.#withJitter(backoffMs));
  }

  /** Adds jitter, so that callers refused at the same time do not retry at the same time. */
  #withJitter(ms: number): number {
    return Math.round(ms * (1 + this.options.random() / 2));
  }

  async #requestFromHomeOrBackup(tenantName: string, quota: Quota, count: number): Promise<Grant | null> {
    const [home, backup] = this.options.homeAndBackup(tenantName);
    if (home === undefined) return null;
    const request = { tenantName, quota, count, isForHome: false, isPassedOn: false, hasHomeRetired: false };
    const grant = await this.#requestFrom(home, request);
    if (grant !== null || backup === undefined) return grant;
    return this.#requestFrom(backup, { ...request, isForHome: true });
  }

  #requestFrom(record: DaemonRecord, request: GrantRequest): Promise<Grant | null> {
    const { home, requestGrant, ownName } = this.options;
    return record.name === ownName
      ? home.grant(request)
      : requestGrant(record, request, GRANT_REQUEST_TIMEOUT_MS);
  }

  #account(tenantName: string): Account {
    let account = this.#accounts.get(tenantName);
    if (account === undefined) {
      if (this.#accounts.size >= MAX_ACCOUNTS) this.#accounts.clear();
      account = new Account();
      this.#accounts.set(tenantName, account);
    }
    return account;
  }
}

const UNLIMITED_CHARGE: Charge = { kind: 'charged', refund: () => undefined };

/**
 * Takes an unused grant, or `null`. A refund returns it, with its expiry time, if the operation does not run.
 */
function takeGrant(account: Account, nowMs: number): Charge | null {
  while (account.grants.length > 0 && (account.grants[0] ?? 0) <= nowMs) account.grants.shift();
  const expiresAtMs = account.grants.shift();
  if (expiresAtMs === undefined) return null;
  return { kind: 'charged', refund: () => void account.grants.push(expiresAtMs) };
}
