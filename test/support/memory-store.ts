/**
 * A coordination store in memory, for tests.
 *
 * @packageDocumentation
 */
import {
  StoreError,
  type ConditionalRead,
  type CoordinationStore,
  type StoredItem,
  type StoreTransaction,
  type TransactionResult,
  type WatchResponse,
} from '../../src/coordination/coordination-store.js';
import { isSameRevision, NO_REVISION, type Revision } from '../../src/coordination/revision.js';
import { StoreEra } from '../../src/coordination/store-era.js';

function createFirstEra(): StoreEra {
  const era = new StoreEra();
  era.observe(0);
  return era;
}

/** A store in memory; leases end only when the test revokes or deletes them. */
export class MemoryStore implements CoordinationStore {
  readonly items = new Map<string, StoredItem & { leaseId: number }>();
  readonly leases = new Set<number>();
  readonly era = createFirstEra();
  /** Number of the current revision. */
  number = 1;
  isDown = false;
  watchAnswers: WatchResponse[] = [];
  lists = 0;
  reads = 0;

  /** The current revision. */
  get revision(): Revision {
    return { era: this.era.current, number: this.number };
  }

  list(prefix = ''): Promise<{ items: readonly StoredItem[]; revision: Revision }> {
    this.lists += 1;
    const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
    return Promise.resolve({ items, revision: this.revision });
  }

  read(key: string): Promise<StoredItem | null> {
    this.reads += 1;
    if (this.isDown) return Promise.reject(new StoreError('down', true));
    return Promise.resolve(this.items.get(key) ?? null);
  }

  async readIfChanged(key: string, known: Revision): Promise<ConditionalRead> {
    const item = await this.read(key);
    return isSameRevision(item?.revision ?? NO_REVISION, known)
      ? { kind: 'unchanged' }
      : { kind: 'changed', item };
  }

  async watch(): Promise<WatchResponse> {
    const next = this.watchAnswers.shift();
    if (next !== undefined) return next;
    await new Promise((resolve) => setTimeout(resolve, 1));
    return { kind: 'events', events: [], revision: this.revision };
  }

  transact({ conditions, puts }: StoreTransaction): Promise<TransactionResult> {
    if (this.isDown) return Promise.reject(new StoreError('down', true));
    const isMet = conditions.every(({ key, revision }) =>
      isSameRevision(this.items.get(key)?.revision ?? NO_REVISION, revision),
    );
    if (!isMet) return Promise.resolve({ kind: 'conflict' });
    if (puts.some(({ leaseId }) => leaseId !== 0 && !this.leases.has(leaseId)))
      return Promise.resolve({ kind: 'no_lease' });
    this.number += 1;
    for (const { key, value, leaseId } of puts)
      this.items.set(key, { key, value, revision: this.revision, leaseId });
    return Promise.resolve({ kind: 'done', revision: this.revision });
  }

  /** Takes a backup for {@link MemoryStore.restoreBackup}. */
  createBackup(): {
    readonly items: ReadonlyMap<string, StoredItem & { leaseId: number }>;
    readonly number: number;
  } {
    return { items: new Map(this.items), number: this.number };
  }

  /** Restores a backup: the era increases, revision numbers go back, and all leases are lost. */
  restoreBackup(copy: ReturnType<MemoryStore['createBackup']>): void {
    const era = this.era.current + 1;
    this.items.clear();
    for (const [key, item] of copy.items)
      if (item.leaseId === 0)
        this.items.set(key, { ...item, revision: { era, number: item.revision.number } });
    this.leases.clear();
    this.number = copy.number;
    this.era.observe(era);
  }

  grantLease(ttlMs: number): Promise<{ leaseId: number; ttlMs: number }> {
    if (this.isDown) return Promise.reject(new StoreError('down', true));
    const leaseId = 100 + this.leases.size;
    this.leases.add(leaseId);
    return Promise.resolve({ leaseId, ttlMs });
  }

  renewLease(leaseId: number): Promise<boolean> {
    if (this.isDown) return Promise.reject(new StoreError('down', true));
    return Promise.resolve(this.leases.has(leaseId));
  }

  revokeLease(leaseId: number): Promise<void> {
    this.leases.delete(leaseId);
    for (const item of [...this.items.values()]) if (item.leaseId === leaseId) this.items.delete(item.key);
    return Promise.resolve();
  }
}

/** Lets pending promise callbacks and immediates run. */
export async function runPendingCallbacks(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}
