/**
 * Grants operations to other daemons, for the tenants whose home is this daemon.
 *
 * The home of a tenant is the one daemon that grants the tenant's operations. It is chosen by rendezvous
 * hashing over the live daemons, and its token bucket holds the whole quota. A new home begins with an empty
 * bucket, since its predecessor may have granted the whole quota. While the home does not answer, the daemon
 * that ranks second, its backup, grants in its place: the whole quota when the home has retired or its
 * process is known to have ended, otherwise a small share, since the home may still be granting to daemons
 * that can reach it.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { Quota, Tenant } from '../tenancy/tenant-registry.js';
import { TokenBucket } from './token-bucket.js';

/** Request of a daemon for grants of one tenant. */
export interface GrantRequest {
  readonly tenantName: string;
  /**
   * The tenant's quota as known to the requesting daemon, for a home whose configuration lacks the tenant.
   */
  readonly quota: Quota;
  /** Number of operations to be run now or soon. */
  readonly count: number;
  /** True when the home did not answer, and the request goes to its backup. */
  readonly isForHome: boolean;
  /** True when a daemon that is not the home has forwarded the request: it is not forwarded again. */
  readonly isPassedOn: boolean;
  /** True when the request comes from a home that is about to stop and no longer grants. */
  readonly hasHomeRetired: boolean;
}

/** Reply to a grant request. */
export interface Grant {
  readonly count: number;
  /** Time until the tenant may run another operation, in milliseconds; 0 if it may at once. */
  readonly roomInMs: number;
}

/**
 * Share of a quota that the backup grants while the home may still be granting. Together with grants that are
 * used after the second they count for (see `GRANT_LIFETIME_MS`), the excess stays within the permitted tenth
 * of the quota over five seconds.
 */
const BACKUP_SHARE = 0.05;
/**
 * Initial fill of a tenant's bucket after the start of the home's process, as a share of one second of its
 * rate or of its burst, whichever is less. After a power loss of all daemons the callers return all at once,
 * and initially empty buckets refused 1,177 attempts in the first 3 s. Together with grants that are used
 * after the second they count for, the excess stays within the permitted tenth.
 */
const INITIAL_FILL_SHARE = 0.4;
/** Time-out of a forwarded request, in milliseconds: shorter than the time-out of the daemon that sent it. */
const FORWARD_TIMEOUT_MS = 100;
/** Most buckets in memory; tenants are added and removed with the configuration. */
const MAX_BUCKETS = 10_000;

/** Settings and dependencies of {@link QuotaHome}. */
export interface QuotaHomeOptions {
  readonly ownName: string;
  /** The home of a tenant, followed by its backup. */
  homeAndBackup(tenantName: string): readonly DaemonRecord[];
  /** The tenant of this name in the active configuration, or `null`. */
  findTenant(name: string): Tenant | null;
  /** Time from which new buckets refill, in monotonic milliseconds. */
  bucketsStartMs(): number;
  /** Requests a grant from another daemon; `null` when it does not answer in time or is not responsible. */
  requestGrant(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null>;
  /** True while no departure of a daemon has been observed since this process started. */
  hasJustStarted(): boolean;
  /** True when the process of a daemon is known to have ended. */
  hasProcessEnded(record: DaemonRecord): boolean;
  now(): number;
}

/** Grants operations of tenants, as their home or as the backup of their home. */
export class QuotaHome {
  readonly #buckets = new Map<string, TokenBucket>();
  readonly #backupBuckets = new Map<string, TokenBucket>();

  constructor(private readonly options: QuotaHomeOptions) {}

  /**
   * Grants what is left of the tenant's quota, or forwards the request to the home; `null` when neither is
   * possible.
   */
  async grant(request: GrantRequest): Promise<Grant | null> {
    const { ownName, homeAndBackup, requestGrant, hasProcessEnded } = this.options;
    const [home, backup] = homeAndBackup(request.tenantName);
    if (home === undefined) return null;
    if (home.name === ownName) return this.#grantAsHome(request);
    if (!request.isForHome) {
      // Daemons learn of each other at different times: this one may know the present home.
      return request.isPassedOn
        ? null
        : requestGrant(home, { ...request, isPassedOn: true }, FORWARD_TIMEOUT_MS);
    }
    if (backup?.name !== ownName) return null;
    // Until all daemons know that a home has retired, the backup share would refuse permitted operations.
    const hasHomeStoppedGranting = request.hasHomeRetired || hasProcessEnded(home);
    return this.#grantAsBackup(home, hasHomeStoppedGranting ? 1 : BACKUP_SHARE, request);
  }

  /**
   * Updates the state after a change of the live daemons. Drops the buckets of tenants that have another home
   * now: that home grants the quota, while a bucket kept here would go on refilling.
   */
  daemonsChanged(): void {
    const { homeAndBackup, ownName } = this.options;
    for (const tenantName of [...this.#buckets.keys()])
      if (homeAndBackup(tenantName)[0]?.name !== ownName) this.#buckets.delete(tenantName);
    this.#backupBuckets.clear();
  }

  #grantAsHome(request: GrantRequest): Grant {
    const { tenantName, count } = request;
    const quota = this.#quotaOf(request);
    if (quota === null) return { count, roomInMs: 0 };
    const { now, bucketsStartMs, hasJustStarted } = this.options;
    const tokens = hasJustStarted() ? INITIAL_FILL_SHARE * Math.min(quota.ratePerS, quota.burst) : 0;
    const bucket = getOrCreateBucket(this.#buckets, tenantName, bucketsStartMs(), tokens);
    return bucket.take(count, quota, now());
  }

  /**
   * Grants a share of the quota in place of the home. The bucket begins empty, since the home may have
   * granted the whole quota.
   */
  #grantAsBackup(home: DaemonRecord, share: number, request: GrantRequest): Grant {
    const { tenantName, count } = request;
    const quota = this.#quotaOf(request);
    if (quota === null) return { count, roomInMs: 0 };
    const nowMs = this.options.now();
    const bucket = getOrCreateBucket(
      this.#backupBuckets,
      `${share} ${home.name} ${home.life} ${tenantName}`,
      nowMs,
    );
    return bucket.take(count, { ratePerS: quota.ratePerS * share, burst: quota.burst * share }, nowMs);
  }

  /**
   * The quota in the active configuration, or that of the request for an unknown tenant; `null` when
   * unlimited.
   */
  #quotaOf({ tenantName, quota }: GrantRequest): Quota | null {
    const tenant = this.options.findTenant(tenantName);
    return tenant === null ? quota : tenant.quota;
  }
}

/** The bucket of a key. A new one held `tokens` at `filledAtMs` and has refilled since. */
function getOrCreateBucket(
  buckets: Map<string, TokenBucket>,
  key: string,
  filledAtMs: number,
  tokens = 0,
): TokenBucket {
  let bucket = buckets.get(key);
  if (bucket !== undefined) return bucket;
  if (buckets.size >= MAX_BUCKETS) buckets.clear();
  bucket = new TokenBucket(filledAtMs, tokens);
  buckets.set(key, bucket);
  return bucket;
}
