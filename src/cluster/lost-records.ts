/**
 * Writes records of daemons again that the store has lost.
 *
 * A store that comes back from a copy lacks what daemons wrote of themselves since. One that cannot reach it goes on serving by the
 * evidence that it has, and does not register again: whoever starts after the return would not know that it has to be asked before a
 * promotion. So those who know it write its record, as it stood.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { type CoordinationStore, StoreError } from '../coordination/coordination-store.js';
import { NO_REVISION } from '../coordination/revision.js';
import type { DaemonRecord } from './daemon-record.js';

/**
 * Longest time that a daemon leaves a record to the one that it is of, and to others who know it, in milliseconds: one that has only
 * lost its leases has registered by then.
 */
const LONGEST_TURN_MS = 2000;

/** What writing records again needs. */
export interface LostRecordsPorts {
  readonly store: Pick<CoordinationStore, 'transact' | 'era'>;
  readonly ownName: string;
  /** Daemons that this one knows, whether the store has their records or not. */
  known(): readonly DaemonRecord[];
  /** True while a record stands in this daemon's copy of the store. */
  stands(name: string): boolean;
  keyOf(name: string): string;
  /** A number from 0 up to 1. */
  random(): number;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  /** Waits, in milliseconds. */
  rest?(ms: number): Promise<void>;
}

/** The records that a return of the store has taken away. */
export class LostRecords {
  /** Era of the store in which they were last looked at. */
  #era: number | null = null;

  constructor(private readonly ports: LostRecordsPorts) {}

  /** True when the copy of the store is of a later era than at the last look. */
  isDue(era: number): boolean {
    const before = this.#era;
    this.#era = era;
    return before !== null && era > before;
  }

  /** Writes again, one after the other, what is still missing after a while. */
  async restore(): Promise<void> {
    const { store, random, rest = delay } = this.ports;
    const era = store.era.current;
    await rest((0.5 + random() / 2) * LONGEST_TURN_MS);
    for (const record of this.ports.known()) {
      if (store.era.current !== era) return;
      if (record.name !== this.ports.ownName && !this.ports.stands(record.name)) await this.#write(record);
    }
  }

  /** Only where nothing stands: the daemon itself, or another, may have been faster. */
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
