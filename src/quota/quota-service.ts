/**
 * The quotas of one daemon: requests grants from the home daemons of tenants, and grants operations as a
 * home.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import type { Tenant } from '../tenancy/tenant-registry.js';
import { GrantedQuotas, type Charge, type OperationQuotas } from './operation-quotas.js';
import { QuotaHome, type Grant, type GrantRequest } from './quota-home.js';

/** The home of a tenant and its backup. */
const HOME_AND_BACKUP_COUNT = 2;

/** Settings and dependencies of {@link QuotaService}. */
export interface QuotaServiceOptions {
  readonly ownName: string;
  /** Live daemons. */
  daemons(): readonly DaemonRecord[];
  /** The tenant of this name in the active configuration, or `null`. */
  findTenant(name: string): Tenant | null;
  /** Requests a grant from another daemon; `null` when it does not answer in time or is not responsible. */
  requestGrant(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null>;
  /** True when the process of a daemon is known to have ended. */
  hasProcessEnded(record: DaemonRecord): boolean;
  now(): number;
  /** Uniform random number in [0, 1). */
  random(): number;
}

/** Wires the parts together, and caches the home and the backup of each tenant. */
export class QuotaService implements OperationQuotas {
  readonly #homeAndBackupByTenant = new Map<string, readonly DaemonRecord[]>();
  readonly #home: QuotaHome;
  readonly #quotas: GrantedQuotas;
  #incarnations: ReadonlySet<string> = new Set();
  #hasSeenDeparture = false;
  #isRetired = false;
  /**
   * Time of the last observed departure of a daemon, which may have been a home and have granted the whole
   * quota until then.
   */
  #lastDepartureMs: number;

  constructor(private readonly options: QuotaServiceOptions) {
    const { ownName, findTenant, hasProcessEnded, now, random } = options;
    const requestGrant = this.#requestGrant.bind(this);
    this.#lastDepartureMs = now();
    const homeAndBackup = (tenantName: string): readonly DaemonRecord[] => this.#homeAndBackupOf(tenantName);
    const bucketsStartMs = (): number => this.#lastDepartureMs;
    const hasJustStarted = (): boolean => !this.#hasSeenDeparture;
    this.#home = new QuotaHome({
      ownName,
      homeAndBackup,
      findTenant,
      bucketsStartMs,
      hasJustStarted,
      requestGrant,
      hasProcessEnded,
      now,
    });
    this.#quotas = new GrantedQuotas({ ownName, home: this.#home, homeAndBackup, requestGrant, now, random });
  }

  charge(tenant: Tenant): Charge | Promise<Charge> {
    return this.#quotas.charge(tenant);
  }

  /** Grants operations to another daemon; `null` when this daemon is not responsible for the tenant. */
  grant(request: GrantRequest): Promise<Grant | null> {
    return this.#home.grant(request);
  }

  /**
   * Retires this daemon, which is about to stop: it no longer acts as a home, and forwards the requests of
   * daemons that still regard it as one. Other daemons may already have chosen a new home, and two homes
   * would grant the quota twice.
   */
  retire(): void {
    this.#isRetired = true;
    this.daemonsChanged();
  }

  /**
   * Requests a grant from another daemon. A retired daemon asks its successor to grant in place of a retired
   * home, because the successor may not know of the retirement yet.
   */
  #requestGrant(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null> {
    const marked = this.#isRetired ? { ...request, isForHome: true, hasHomeRetired: true } : request;
    return this.options.requestGrant(record, marked, timeoutMs);
  }

  /** Updates the state after a change of the live daemons. */
  daemonsChanged(): void {
    this.#homeAndBackupByTenant.clear();
    const incarnations = new Set(this.options.daemons().map(({ name, life }) => `${name} ${life}`));
    for (const incarnation of this.#incarnations) if (!incarnations.has(incarnation)) this.#recordDeparture();
    this.#incarnations = incarnations;
    this.#home.daemonsChanged();
  }

  #recordDeparture(): void {
    this.#lastDepartureMs = this.options.now();
    this.#hasSeenDeparture = true;
  }

  /** Daemons that may be a home. A retired daemon leaves itself out, unless it is the only one. */
  #candidates(): readonly DaemonRecord[] {
    const daemons = this.options.daemons();
    if (!this.#isRetired) return daemons;
    const others = daemons.filter(({ name }) => name !== this.options.ownName);
    return others.length > 0 ? others : daemons;
  }

  #homeAndBackupOf(tenantName: string): readonly DaemonRecord[] {
    let preferred = this.#homeAndBackupByTenant.get(tenantName);
    if (preferred === undefined) {
      preferred = preferredDaemons(tenantName, this.#candidates(), HOME_AND_BACKUP_COUNT);
      this.#homeAndBackupByTenant.set(tenantName, preferred);
    }
    return preferred;
  }
}
