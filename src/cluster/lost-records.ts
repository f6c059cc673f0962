/**
 * Restores daemon records that the store has lost.
 *
 * A store restored from a backup lacks the records that daemons wrote after the backup was made. A daemon
 * that cannot reach the store continues to serve on its existing evidence and does not register again. A
 * daemon that starts after the restore would then not know that it has to ask that one before a promotion.
 * Therefore the daemons that know a missing record write it back unchanged.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { type CoordinationStore, StoreError } from '../coordination/coordination-store.js';
import { NO_REVISION } from '../coordination/revision.js';
import type { DaemonRecord } from './daemon-record.js';

/**
 * Maximum delay before a daemon restores the record of another, in milliseconds. A daemon that has only lost
 * its leases has registered again by then.
 */
const MAX_RESTORE_DELAY_MS = 2000;

/** What restoring records depends on. */
export interface LostRecordsPorts {
  readonly store: Pick<CoordinationStore, 'transact' | 'era'>;
  readonly ownName: string;
  /** Daemons that this daemon knows, whether or not the store has their records. */
  known(): readonly DaemonRecord[];
  /** True if this daemon's copy of the store has a record of that name. */
  isStored(name: string): boolean;
  keyOf(name: string): string;
  /** A random number in 0..1. */
  random(): number;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  sleep?(ms: number): Promise<void>;
}

/** Restores the records that are missing after the store was restored from a backup. */
export class LostRecords {
  /** Era of the store at the last check. */
  #lastSeenEra: number | null = null;

  constructor(private readonly ports: LostRecordsPorts) {}

  /** Notes the era of the local copy of the store; true when it is later than at the last check. */
  observeEra(era: number): boolean {
    const lastSeenEra = this.#lastSeenEra;
    this.#lastSeenEra = era;
    return lastSeenEra !== null && era > lastSeenEra;
  }

  /** Waits for a random delay, then writes the records that are still missing, one at a time. */
  async restore(): Promise<void> {
    const { store, random, sleep = delay } = this.ports;
    const era = store.era.current;
    await sleep((0.5 + random() / 2) * MAX_RESTORE_DELAY_MS);
    for (const record of this.ports.known()) {
      if (store.era.current !== era) return;
      if (record.name !== this.ports.ownName && !this.ports.isStored(record.name)) await this.#write(record);
    }
  }

  /** Writes only if the key does not exist: the daemon itself, or another, may already have written it. */
  async #write(record: DaemonRecord): Promise<void> {
    const key = this.ports.keyOf(record.name);
    const put = { key, value: Buffer.from(JSON.stringify(record)), leaseId: 0 };
    try {
      const conditions = [{ key, revision: NO_REVISION }];
      const answer = await this.ports.store.transact({ conditions, puts: [put], removes: [] });
      if (answer.kind === 'done') this.ports.log('record_restored', { daemon: record.name });
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
    }
  }
}
