/**
 * Grants operations to other daemons, for the tenants whose home this daemon is.
 *
 * Each tenant has one home, by rendezvous hashing over the daemons that live; its bucket is the tenant's quota, whole. A home
 * that has just come begins with an empty bucket, since the one before it may have granted all. While a home does not answer,
 * the next in line stands in for it: whole when the process of the home has certainly ended, else with a small share, since
 * the home may go on granting where it is reached.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { Quota, Tenant } from '../tenancy/tenant-register.js';
import { TokenBucket } from './token-bucket.js';

/** Operations that a daemon asks for. */
export interface GrantRequest {
  readonly tenantName: string;
  /** The tenant's quota as the asking daemon knows it, for a home that has not heard of the tenant yet. */
  readonly quota: Quota;
  /** Operations that it wants to run now or soon. */
  readonly count: number;
  /** True when the home did not answer, and this daemon is the next in line. */
  readonly isForHome: boolean;
  /** True when another daemon that took itself for no home passes it on: it is not passed on again. */
  readonly isPassedOn: boolean;
  /** True when it comes from a home that is about to stop, and grants no more. */
  readonly hasHomeRetired: boolean;
}

/** What is granted. */
export interface Grant {
  readonly count: number;
  /** Time until the tenant has room again, in milliseconds; 0 while it has. */
  readonly roomInMs: number;
}

/**
 * Share of a quota that is granted in place of a home that may still be granting. Together with what a grant may outlive its
 * second (see `GRANT_MS`) it stays within a tenth of the quota over five seconds, which limits are given as excess.
 */
const STAND_IN_SHARE = 0.05;
/**
 * What a home has for a tenant when its process starts, as a share of one second of its rate or of its burst, whichever is
 * less: when all daemons lose power, callers come back all at once, and buckets that begin empty refused 1,177 tries in the
 * first 3 s. With what grants may outlive their second it stays within the tenth of excess.
 */
const START_SHARE = 0.4;
/** Longest wait for a home to which a question is passed on, in milliseconds: less than whoever asked waits. */
const PASS_ON_MS = 100;
/** For how long it is remembered whether the process of a home has ended, in milliseconds: it may be started again. */
const ENDED_KNOWN_MS = 300;
/** Buckets that are kept; tenants come and go with the configuration. */
const MAX_BUCKETS = 10_000;

/** What the home needs. */
export interface QuotaHomeOptions {
  readonly ownName: string;
  /** The daemons to ask for a tenant, the home first. */
  inLine(tenantName: string): readonly DaemonRecord[];
  /** A tenant of the configuration in force, or `null`. */
  tenant(name: string): Tenant | null;
  /** Since when the buckets of tenants that are new here fill, in monotonic milliseconds. */
  sinceMs(): number;
  /** Asks another daemon; `null` when it does not answer in time, or has nothing to say. */
  ask(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null>;
  /** True while no daemon has been seen to go since this process started. */
  hasJustStarted(): boolean;
  /** True when the process of a daemon has certainly ended. */
  isEnded(record: DaemonRecord): Promise<boolean>;
  now(): number;
}

interface EndedHome {
  readonly isEnded: Promise<boolean>;
  readonly atMs: number;
}

/** The grants of one daemon. */
export class QuotaHome {
  readonly #buckets = new Map<string, TokenBucket>();
  readonly #standInBuckets = new Map<string, TokenBucket>();
  readonly #ended = new Map<string, EndedHome>();

  constructor(private readonly options: QuotaHomeOptions) {}

  /** Grants what the tenant has left; nothing where this daemon is not the one to ask. */
  async grant(request: GrantRequest): Promise<Grant | null> {
    const { ownName, inLine, ask } = this.options;
    const [home, next] = inLine(request.tenantName);
    if (home === undefined) return null;
    if (home.name === ownName) return this.#grantAsHome(request);
    if (!request.isForHome) {
      // Daemons hear of one another at different times: this one may know better who the home is.
      return request.isPassedOn ? null : ask(home, { ...request, isPassedOn: true }, PASS_ON_MS);
    }
    if (next?.name !== ownName) return null;
    // Before it is heard of everywhere that a home retires, a share alone would refuse what the tenant may have.
    const isEnded = request.hasHomeRetired || (await this.#isEnded(home));
    return this.#grantFor(home, isEnded ? 1 : STAND_IN_SHARE, request);
  }

  /** The daemons have changed: another home may grant what a bucket here would go on filling up with. */
  daemonsChanged(): void {
    const { inLine, ownName } = this.options;
    for (const tenantName of [...this.#buckets.keys()])
      if (inLine(tenantName)[0]?.name !== ownName) this.#buckets.delete(tenantName);
    this.#standInBuckets.clear();
    this.#ended.clear();
  }

  #grantAsHome(request: GrantRequest): Grant {
    const { tenantName, count } = request;
    const quota = this.#quotaOf(request);
    if (quota === null) return { count, roomInMs: 0 };
    const { now, sinceMs, hasJustStarted } = this.options;
    const tokens = hasJustStarted() ? START_SHARE * Math.min(quota.ratePerS, quota.burst) : 0;
    const bucket = bucketOf(this.#buckets, tenantName, sinceMs(), tokens);
    return bucket.take(count, quota, now());
  }

  /** Grants a share of the quota in place of a home: of nothing at first, since the home may have granted all. */
  #grantFor(home: DaemonRecord, share: number, request: GrantRequest): Grant {
    const { tenantName, count } = request;
    const quota = this.#quotaOf(request);
    if (quota === null) return { count, roomInMs: 0 };
    const nowMs = this.options.now();
    const bucket = bucketOf(this.#standInBuckets, `${share} ${home.name} ${home.life} ${tenantName}`, nowMs);
    return bucket.take(count, { ratePerS: quota.ratePerS * share, burst: quota.burst * share }, nowMs);
  }

  /** By the configuration in force here, where it has the tenant; `null` when nothing limits it. */
  #quotaOf({ tenantName, quota }: GrantRequest): Quota | null {
    const tenant = this.options.tenant(tenantName);
    return tenant === null ? quota : tenant.quota;
  }

  #isEnded(home: DaemonRecord): Promise<boolean> {
    const key = `${home.name} ${home.life}`;
    const known = this.#ended.get(key);
    const nowMs = this.options.now();
    if (known !== undefined && nowMs - known.atMs < ENDED_KNOWN_MS) return known.isEnded;
    const isEnded = this.options.isEnded(home);
    this.#ended.set(key, { isEnded, atMs: nowMs });
    return isEnded;
  }
}

/** The bucket of a key; a new one has filled since `sinceMs`, when it held some tokens. */
function bucketOf(buckets: Map<string, TokenBucket>, key: string, sinceMs: number, tokens = 0): TokenBucket {
  let bucket = buckets.get(key);
  if (bucket !== undefined) return bucket;
  if (buckets.size >= MAX_BUCKETS) buckets.clear();
  bucket = new TokenBucket(sinceMs, tokens);
  buckets.set(key, bucket);
  return bucket;
}
