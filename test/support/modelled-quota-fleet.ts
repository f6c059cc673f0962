/**
 * A model of the quotas of a fleet: each daemon has its own view of the live daemons, and messages are
 * delayed.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../../src/cluster/daemon-record.js';
import type { Grant, GrantRequest } from '../../src/quota/quota-home.js';
import { QuotaService } from '../../src/quota/quota-service.js';
import type { Tenant } from '../../src/tenancy/tenant-registry.js';

/** A fleet with simulated time, which the test advances. */
export class ModelledFleet {
  nowMs = 0;
  readonly grantedAtMs: number[] = [];
  refusedCount = 0;
  readonly #services = new Map<string, QuotaService>();
  readonly #views = new Map<string, readonly DaemonRecord[]>();
  readonly #down = new Set<string>();
  readonly #scheduled: { atMs: number; run: () => void }[] = [];
  readonly #disconnected = new Set<string>();

  constructor(
    readonly records: readonly DaemonRecord[],
    private readonly tenant: Tenant,
    private readonly delayMs: () => number,
    private readonly random: () => number,
  ) {
    for (const record of records) this.start(record);
  }

  /** Starts a daemon process without any state. */
  start(record: DaemonRecord): void {
    this.#down.delete(record.name);
    this.#views.set(record.name, this.#views.get(record.name) ?? this.records);
    const service = new QuotaService({
      ownName: record.name,
      daemons: () => this.#views.get(record.name) ?? [],
      findTenant: (name) => (name === this.tenant.name ? this.tenant : null),
      requestGrant: (other, request, timeoutMs) => this.#sendGrantRequest(record, other, request, timeoutMs),
      hasProcessEnded: (other) => this.#down.has(other.name) && !this.#isDisconnected(record, other),
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

  /** Tells a daemon to stop; it keeps serving for some time. */
  retire({ name }: DaemonRecord): void {
    this.#services.get(name)?.retire();
  }

  /** Disconnects a daemon from all others, in both directions. */
  disconnect({ name }: DaemonRecord): void {
    this.#disconnected.add(name);
  }

  /** Sets the daemons that a daemon knows to be live. */
  setLiveDaemons({ name }: DaemonRecord, records: readonly DaemonRecord[]): void {
    this.#views.set(name, records);
    this.#services.get(name)?.daemonsChanged();
  }

  /** Submits an operation to a daemon. */
  submitOperation({ name }: DaemonRecord): void {
    const service = this.#services.get(name);
    if (service === undefined) return;
    void Promise.resolve(service.charge(this.tenant)).then((charge) => {
      if (charge.kind === 'charged') this.grantedAtMs.push(this.nowMs);
      else this.refusedCount += 1;
    });
  }

  /** Advances the time, and runs what is due. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.nowMs + ms;
    for (;;) {
      await runPendingTasks();
      this.#scheduled.sort((one, other) => one.atMs - other.atMs);
      const next = this.#scheduled[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.#scheduled.shift();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = untilMs;
  }

  #isDisconnected(one: DaemonRecord, other: DaemonRecord): boolean {
    return this.#disconnected.has(one.name) || this.#disconnected.has(other.name);
  }

  #sendGrantRequest(
    from: DaemonRecord,
    to: DaemonRecord,
    request: GrantRequest,
    timeoutMs: number,
  ): Promise<Grant | null> {
    return new Promise((resolve) => {
      this.#schedule(timeoutMs, () => resolve(null));
      if (this.#isDisconnected(from, to)) return;
      this.#schedule(this.delayMs(), () => {
        void this.#services
          .get(to.name)
          ?.grant(request)
          .then((grant) => this.#schedule(this.delayMs(), () => resolve(grant)));
      });
    });
  }

  #schedule(ms: number, run: () => void): void {
    this.#scheduled.push({ atMs: this.nowMs + ms, run });
  }
}

async function runPendingTasks(): Promise<void> {
  for (let turn = 0; turn < 12; turn += 1) await Promise.resolve();
}
