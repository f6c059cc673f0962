/**
 * What tenants may still have run, as this daemon knows it: each operation needs a grant of the tenant's home.
 *
 * Grants are asked for together by all who wait, a few more than that where the tenant calls often, and end soon when they
 * are not used: what is granted and not run must not pile up and run later, beyond what the tenant may have at that time.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { Quota, Tenant } from '../tenancy/tenant-register.js';
import type { Grant, GrantRequest, QuotaHome } from './quota-home.js';

/** How long an unused grant holds from when it was asked for, in milliseconds: what a window may hold above the quota. */
const GRANT_MS = 200;
/** Longest wait for the home, in milliseconds: some round trips between zones, and a pause of its process. */
const HOME_MS = 150;
/** Rest between questions for a tenant that has no room, in milliseconds: doubled from the first to the second. */
const FIRST_REST_MS = 25;
const LAST_REST_MS = 400;
/** Advice while no home answers, in milliseconds. */
const NO_HOME_RETRY_MS = 200;
/** Time in which a call loses half of its weight in the estimate of how often a tenant calls here, in milliseconds. */
const HALF_LIFE_MS = 500;
/** Share of the expected calls for which grants are asked for ahead. */
const AHEAD_SHARE = 0.8;
/** Tenants that are kept in mind. */
const MAX_TENANTS = 10_000;

/** How an operation is charged. */
export type Charge =
  | { readonly kind: 'charged'; refund(): void }
  /** The tenant has used up its quota. */
  | { readonly kind: 'over_quota'; readonly retryAfterMs: number }
  /** Nobody says what the tenant may have. */
  | { readonly kind: 'no_home'; readonly retryAfterMs: number };

/** Charges operations to tenants. */
export interface OperationQuotas {
  /** Charges one operation; the tenant's limit is that of the configuration in force. */
  charge(tenant: Tenant): Charge | Promise<Charge>;
}

/** What the quotas of a daemon need. */
export interface GrantedQuotasOptions {
  readonly ownName: string;
  readonly home: QuotaHome;
  /** The daemons to ask for a tenant, the home first. */
  inLine(tenantName: string): readonly DaemonRecord[];
  /** Asks another daemon; `null` when it does not answer in time, or has nothing to say. */
  ask(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null>;
  now(): number;
  /** A number from 0 up to 1. */
  random(): number;
}

/** What is known of one tenant. */
class Account {
  /** When each unused grant ends, in monotonic milliseconds. */
  readonly grants: number[] = [];
  readonly waiting: ((charge: Charge) => void)[] = [];
  isAsking = false;
  refusals = 0;
  refusedUntilMs = Number.NEGATIVE_INFINITY;
  #level = 0;
  #levelAtMs = 0;

  /** A call has come. */
  called(nowMs: number): void {
    this.#level = this.#levelNow(nowMs) + 1;
    this.#levelAtMs = nowMs;
  }

  /** Calls to be expected within a time. */
  expected(ms: number, nowMs: number): number {
    return (this.#levelNow(nowMs) * Math.LN2 * ms) / HALF_LIFE_MS;
  }

  #levelNow(nowMs: number): number {
    return this.#level * 0.5 ** ((nowMs - this.#levelAtMs) / HALF_LIFE_MS);
  }
}

/** Quotas by grants of the tenants' homes. */
export class GrantedQuotas implements OperationQuotas {
  readonly #accounts = new Map<string, Account>();

  constructor(private readonly options: GrantedQuotasOptions) {}

  charge(tenant: Tenant): Charge | Promise<Charge> {
    const { name, quota } = tenant;
    if (quota === null) return FREE;
    const nowMs = this.options.now();
    const account = this.#account(name);
    account.called(nowMs);
    const grant = takeGrant(account, nowMs);
    if (grant !== null) return grant;
    if (nowMs < account.refusedUntilMs) return this.#overQuota(account.refusedUntilMs - nowMs);
    return new Promise((resolve) => {
      account.waiting.push(resolve);
      if (!account.isAsking) void this.#ask(name, quota, account);
    });
  }

  async #ask(tenantName: string, quota: Quota, account: Account): Promise<void> {
    account.isAsking = true;
    while (account.waiting.length > 0) {
      const askedAtMs = this.options.now();
      const ahead = Math.floor(account.expected(GRANT_MS, askedAtMs) * AHEAD_SHARE);
      const asking = account.waiting.splice(0);
      const grant = await this.#fromHome(tenantName, quota, asking.length + ahead);
      this.#settle(account, asking, grant, askedAtMs);
    }
    account.isAsking = false;
  }

  /** Gives those who have asked what was granted; the rest is kept for a short time. */
  #settle(
    account: Account,
    asking: readonly ((charge: Charge) => void)[],
    grant: Grant | null,
    askedAtMs: number,
  ): void {
    const endsAtMs = askedAtMs + GRANT_MS;
    for (let index = 0; index < (grant?.count ?? 0); index += 1) account.grants.push(endsAtMs);
    const nowMs = this.options.now();
    const isShort = grant !== null && grant.count < asking.length;
    account.refusals = isShort ? account.refusals + 1 : 0;
    if (isShort) account.refusedUntilMs = nowMs + this.#restMs(account.refusals, grant.roomInMs);
    for (const resolve of asking) resolve(takeGrant(account, nowMs) ?? this.#refusal(account, grant, nowMs));
  }

  #refusal(account: Account, grant: Grant | null, nowMs: number): Charge {
    if (grant === null) return { kind: 'no_home', retryAfterMs: this.#spread(NO_HOME_RETRY_MS) };
    return this.#overQuota(Math.max(0, account.refusedUntilMs - nowMs));
  }

  #overQuota(roomInMs: number): Charge {
    return { kind: 'over_quota', retryAfterMs: this.#spread(Math.max(FIRST_REST_MS, roomInMs)) };
  }

  /** Not before there is room; longer each time, since others ask too. */
  #restMs(refusals: number, roomInMs: number): number {
    const restMs = Math.min(LAST_REST_MS, FIRST_REST_MS * 2 ** Math.min(refusals - 1, 8));
    return Math.max(roomInMs, this.#spread(restMs));
  }

  /** Those who are sent away together are not to come back together. */
  #spread(ms: number): number {
    return Math.round(ms * (1 + this.options.random() / 2));
  }

  async #fromHome(tenantName: string, quota: Quota, count: number): Promise<Grant | null> {
    const [home, next] = this.options.inLine(tenantName);
    if (home === undefined) return null;
    const request = { tenantName, quota, count, isForHome: false, isPassedOn: false, hasHomeRetired: false };
    const grant = await this.#from(home, request);
    if (grant !== null || next === undefined) return grant;
    return this.#from(next, { ...request, isForHome: true });
  }

  #from(record: DaemonRecord, request: GrantRequest): Promise<Grant | null> {
    const { home, ask, ownName } = this.options;
    return record.name === ownName ? home.grant(request) : ask(record, request, HOME_MS);
  }

  #account(tenantName: string): Account {
    let account = this.#accounts.get(tenantName);
    if (account === undefined) {
      if (this.#accounts.size >= MAX_TENANTS) this.#accounts.clear();
      account = new Account();
      this.#accounts.set(tenantName, account);
    }
    return account;
  }
}

const FREE: Charge = { kind: 'charged', refund: () => undefined };

/** An unused grant, or `null`; it goes back where the operation is not run, for as long as it holds. */
function takeGrant(account: Account, nowMs: number): Charge | null {
  while (account.grants.length > 0 && (account.grants[0] ?? 0) <= nowMs) account.grants.shift();
  const endsAtMs = account.grants.shift();
  if (endsAtMs === undefined) return null;
  return { kind: 'charged', refund: () => void account.grants.push(endsAtMs) };
}
