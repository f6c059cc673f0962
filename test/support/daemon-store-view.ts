/**
 * One daemon's view of a store in memory: its own known era and local copy; the test can disconnect it.
 *
 * @packageDocumentation
 */
import {
  StoreError,
  type ConditionalRead,
  type CoordinationStore,
  type GrantedLease,
  type StoredItem,
  type StoreTransaction,
  type TransactionResult,
  type WatchResponse,
} from '../../src/coordination/coordination-store.js';
import { NO_REVISION, type Revision } from '../../src/coordination/revision.js';
import { StoreEra } from '../../src/coordination/store-era.js';
import type { MemoryStore } from './memory-store.js';

/** One daemon's view of a store. */
export class DaemonStoreView implements CoordinationStore {
  readonly era = new StoreEra();
  isDisconnected = false;
  reads = 0;
  items: ReadonlyMap<string, StoredItem> = new Map();
  revision: Revision = NO_REVISION;

  constructor(private readonly store: MemoryStore) {}

  /** Refreshes the local copy. */
  refresh(): void {
    this.#contactStore();
    this.items = new Map(this.store.items);
    this.revision = this.store.revision;
  }

  list(): Promise<{ items: readonly StoredItem[]; revision: Revision }> {
    return this.#call(() => this.store.list());
  }

  read(key: string): Promise<StoredItem | null> {
    this.reads += 1;
    return this.#call(() => this.store.read(key));
  }

  readIfChanged(key: string, known: Revision): Promise<ConditionalRead> {
    return this.#call(() => this.store.readIfChanged(key, known));
  }

  watch(): Promise<WatchResponse> {
    return this.#call(() => this.store.watch());
  }

  transact(transaction: StoreTransaction): Promise<TransactionResult> {
    return this.#call(() => this.store.transact(transaction));
  }

  grantLease(ttlMs: number): Promise<GrantedLease> {
    return this.#call(() => this.store.grantLease(ttlMs));
  }

  renewLease(leaseId: number): Promise<boolean> {
    return this.#call(() => this.store.renewLease(leaseId));
  }

  revokeLease(leaseId: number): Promise<void> {
    return this.#call(() => this.store.revokeLease(leaseId));
  }

  async #call<T>(call: () => Promise<T>): Promise<T> {
    this.#contactStore();
    return call();
  }

  #contactStore(): void {
    if (this.isDisconnected) throw new StoreError('cut off', false);
    this.era.observe(this.store.era.current);
  }
}
