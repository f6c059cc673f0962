/**
 * Quotas of a fleet as a model: every daemon has its own view of who lives, messages take time, and time is moved by hand.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../../src/cluster/daemon-record.js';
import type { Grant, GrantRequest } from '../../src/quota/quota-home.js';
import { QuotaService } from '../../src/quota/quota-service.js';
import type { Tenant } from '../../src/tenancy/tenant-registry.js';

/** A fleet in modelled time: every daemon has its own view of who lives, and messages take time. */
export class ModelledFleet {
  nowMs = 0;
  readonly runs: number[] = [];
  refused = 0;
  readonly #services = new Map<string, QuotaService>();
  readonly #views = new Map<string, readonly DaemonRecord[]>();
  readonly #down = new Set<string>();
  readonly #due: { atMs: number; run: () => void }[] = [];
  readonly #cut = new Set<string>();

  constructor(
    readonly records: readonly DaemonRecord[],
    private readonly tenant: Tenant,
    private readonly delayMs: () => number,
    private readonly random: () => number,
  ) {
    for (const record of records) this.start(record);
  }

  /** A process starts anew, and knows nothing. */
  start(record: DaemonRecord): void {
    this.#down.delete(record.name);
    this.#views.set(record.name, this.#views.get(record.name) ?? this.records);
    const service = new QuotaService({
      ownName: record.name,
      daemons: () => this.#views.get(record.name) ?? [],
      findTenant: (name) => (name === this.tenant.name ? this.tenant : null),
      requestGrant: (other, request, timeoutMs) => this.#ask(record, other, request, timeoutMs),
      hasProcessEnded: (other) => Promise.resolve(this.#down.has(other.name) && !this.#isCut(record, other)),
      now: () => this.nowMs,
      random: this.random,
    });
    service.daemonsChanged();
    this.#services.set(record.name, service);
  }

  kill({ name }: DaemonRecord): void {
    this.#down.add(name);
    this.#services.delete(name);
  }

  /** A daemon was told to stop, and serves on for a while. */
  retire({ name }: DaemonRecord): void {
    this.#services.get(name)?.retire();
  }

  /** One daemon reaches no other any more, and the other way round. */
  cut({ name }: DaemonRecord): void {
    this.#cut.add(name);
  }

  /** What a daemon knows of who lives. */
  view({ name }: DaemonRecord, records: readonly DaemonRecord[]): void {
    this.#views.set(name, records);
    this.#services.get(name)?.daemonsChanged();
  }

  /** An operation comes in. */
  operation({ name }: DaemonRecord): void {
    const service = this.#services.get(name);
    if (service === undefined) return;
    void Promise.resolve(service.charge(this.tenant)).then((charge) => {
      if (charge.kind === 'charged') this.runs.push(this.nowMs);
      else this.refused += 1;
    });
  }

  /** Lets time pass. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.nowMs + ms;
    for (;;) {
      await settle();
      this.#due.sort((one, other) => one.atMs - other.atMs);
      const next = this.#due[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.#due.shift();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = untilMs;
  }

  #isCut(one: DaemonRecord, other: DaemonRecord): boolean {
    return this.#cut.has(one.name) || this.#cut.has(other.name);
  }

  #ask(
    from: DaemonRecord,
    to: DaemonRecord,
    request: GrantRequest,
    timeoutMs: number,
  ): Promise<Grant | null> {
    return new Promise((resolve) => {
      this.#later(timeoutMs, () => resolve(null));
      if (this.#isCut(from, to)) return;
      this.#later(this.delayMs(), () => {
        void this.#services
          .get(to.name)
          ?.grant(request)
          .then((grant) => this.#later(this.delayMs(), () => resolve(grant)));
      });
    });
  }

  #later(ms: number, run: () => void): void {
    this.#due.push({ atMs: this.nowMs + ms, run });
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 12; turn += 1) await Promise.resolve();
}
