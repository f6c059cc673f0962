/**
 * The quotas of one daemon: what it asks of the tenants' homes, and what it grants as one.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import type { Tenant } from '../tenancy/tenant-register.js';
import { GrantedQuotas, type Charge, type OperationQuotas } from './operation-quotas.js';
import { QuotaHome, type Grant, type GrantRequest } from './quota-home.js';

/** The home of a tenant, and the daemon that stands in for it. */
const DAEMONS_IN_LINE = 2;

/** What the service needs. */
export interface QuotaServiceOptions {
  readonly ownName: string;
  /** Daemons that take part in the work. */
  daemons(): readonly DaemonRecord[];
  /** A tenant of the configuration in force, or `null`. */
  tenant(name: string): Tenant | null;
  /** Asks another daemon; `null` when it does not answer in time, or has nothing to say. */
  ask(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null>;
  /** True when the process of a daemon has certainly ended. */
  isEnded(record: DaemonRecord): Promise<boolean>;
  now(): number;
  /** A number from 0 up to 1. */
  random(): number;
}

/** Wires the parts, and keeps who is asked for whom. */
export class QuotaService implements OperationQuotas {
  readonly #inLine = new Map<string, readonly DaemonRecord[]>();
  readonly #home: QuotaHome;
  readonly #quotas: GrantedQuotas;
  #lives: ReadonlySet<string> = new Set();
  #hasSeenOneGo = false;
  #isRetired = false;
  /** When a daemon was last seen to go: it may have been a home until then, and have granted all. */
  #leftAtMs: number;

  constructor(private readonly options: QuotaServiceOptions) {
    const { ownName, tenant, isEnded, now, random } = options;
    const ask = this.#ask.bind(this);
    this.#leftAtMs = now();
    const inLine = (tenantName: string): readonly DaemonRecord[] => this.#lineOf(tenantName);
    const sinceMs = (): number => this.#leftAtMs;
    const hasJustStarted = (): boolean => !this.#hasSeenOneGo;
    this.#home = new QuotaHome({ ownName, inLine, tenant, sinceMs, hasJustStarted, ask, isEnded, now });
    this.#quotas = new GrantedQuotas({ ownName, home: this.#home, inLine, ask, now, random });
  }

  charge(tenant: Tenant): Charge | Promise<Charge> {
    return this.#quotas.charge(tenant);
  }

  /** Grants operations to another daemon; `null` when this daemon is not the one to ask. */
  grant(request: GrantRequest): Promise<Grant | null> {
    return this.#home.grant(request);
  }

  /**
   * This daemon is about to stop: it is no home any more, and passes on what those ask who take it for one. Others may already do
   * without it, and two homes would grant the quota twice.
   */
  retire(): void {
    this.#isRetired = true;
    this.daemonsChanged();
  }

  /** Who has retired asks the next in line to grant in its place, whether that one has heard of it or not. */
  #ask(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null> {
    const asked = this.#isRetired ? { ...request, isForHome: true, hasHomeRetired: true } : request;
    return this.options.ask(record, asked, timeoutMs);
  }

  /** The daemons have changed. */
  daemonsChanged(): void {
    this.#inLine.clear();
    const lives = new Set(this.options.daemons().map(({ name, life }) => `${name} ${life}`));
    for (const life of this.#lives) if (!lives.has(life)) this.#oneHasGone();
    this.#lives = lives;
    this.#home.daemonsChanged();
  }

  #oneHasGone(): void {
    this.#leftAtMs = this.options.now();
    this.#hasSeenOneGo = true;
  }

  /** The daemons that may be homes; the last one is, though it is about to stop. */
  #candidates(): readonly DaemonRecord[] {
    const daemons = this.options.daemons();
    if (!this.#isRetired) return daemons;
    const others = daemons.filter(({ name }) => name !== this.options.ownName);
    return others.length > 0 ? others : daemons;
  }

  #lineOf(tenantName: string): readonly DaemonRecord[] {
    let line = this.#inLine.get(tenantName);
    if (line === undefined) {
      line = preferredDaemons(tenantName, this.#candidates(), DAEMONS_IN_LINE);
      this.#inLine.set(tenantName, line);
    }
    return line;
  }
}
