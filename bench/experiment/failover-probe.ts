/**
 * Measures the write outage of a failover: writes to one database through every daemon that stays reachable
 * during the fault.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import type { Deployment } from '../../standin/rig/deployment.js';

const WRITE_INTERVAL_MS = 5;
const RECONNECT_DELAY_MS = 20;

interface SuccessfulWrite {
  readonly startedMs: number;
  readonly endedMs: number;
}

/** Runs probes until it is stopped. */
export class FailoverProbe {
  readonly #successfulWrites: SuccessfulWrite[] = [];
  readonly #probes: Promise<void>[] = [];
  #isStopped = false;

  constructor(
    private readonly deployment: Deployment,
    private readonly database: string,
  ) {}

  /** Starts a probe at each daemon outside the given zone. */
  start(excludedZone: string | null): void {
    for (const { id, zone } of this.deployment.daemons.values()) {
      if (zone !== excludedZone) this.#probes.push(this.#run(id));
    }
  }

  /**
   * Time from the fault to the first successful write that started after it, in milliseconds; infinity for
   * none.
   */
  gapMs(faultMs: number): number {
    const ends = this.#successfulWrites
      .filter(({ startedMs }) => startedMs >= faultMs)
      .map(({ endedMs }) => endedMs);
    return Math.min(...ends) - faultMs;
  }

  /** Stops all probes. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#probes);
  }

  async #run(daemonId: string): Promise<void> {
    for (let round = 0; !this.#isStopped;) {
      const client = new pg.Client({
        ...this.deployment.clientAddress(daemonId),
        database: this.database,
        user: 'probe',
      });
      client.on('error', () => undefined);
      try {
        await client.connect();
        for (; !this.#isStopped; round += 1) await this.#write(client, daemonId, round);
      } catch {
        await new Promise((resolve) => setTimeout(resolve, RECONNECT_DELAY_MS));
      }
      await client.end().catch(() => undefined);
    }
  }

  async #write(client: pg.Client, daemonId: string, round: number): Promise<void> {
    const startedMs = performance.now();
    await client.query(
      `INSERT INTO record VALUES ('probe-${daemonId}', ${round}) ON CONFLICT (key) DO UPDATE SET version = excluded.version`,
    );
    this.#successfulWrites.push({ startedMs, endedMs: performance.now() });
    await new Promise((resolve) => setTimeout(resolve, WRITE_INTERVAL_MS));
  }
}
