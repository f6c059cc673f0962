/**
 * The port to the key-value store that daemons coordinate through: compare-and-swap, leases, watches.
 *
 * @packageDocumentation
 */

import type { Revision } from './revision.js';
import type { StoreEra } from './store-era.js';

/** A key with its value and revision. */
export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of its last change. */
  readonly revision: Revision;
}

/** A change that a watch tells. */
export interface StoreEvent {
  readonly key: string;
  readonly revision: Revision;
  /** The new value, or `null` when the key is gone. */
  readonly value: Buffer | null;
}

/** What a watch answers: changes, or that the store no longer remembers them, or is in a later era. */
export type WatchAnswer =
  | { readonly kind: 'events'; readonly events: readonly StoreEvent[]; readonly revision: Revision }
  | { readonly kind: 'compacted' };

/** Whether an item still has a known revision, and the item where it has another; `null` when it is gone. */
export type ConditionalRead =
  { readonly kind: 'unchanged' } | { readonly kind: 'changed'; readonly item: StoredItem | null };

/** A change under conditions. */
export interface StoreTransaction {
  /** Keys with the revision that each must have; {@link NO_REVISION}: absent. */
  readonly conditions: readonly { readonly key: string; readonly revision: Revision }[];
  readonly puts: readonly { readonly key: string; readonly value: Buffer; readonly leaseId: number }[];
  readonly removes: readonly string[];
}

/** How a transaction ended. */
export type TransactionAnswer =
  | { readonly kind: 'done'; readonly revision: Revision }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'no_lease' };

/** A lease as granted. */
export interface GrantedLease {
  readonly leaseId: number;
  readonly ttlMs: number;
}

/** The store did not answer as it should. */
export class StoreError extends Error {
  override readonly name = 'StoreError';

  /** @param mayHaveRun - whether a change may have been made, or may still be made later */
  constructor(
    message: string,
    readonly mayHaveRun: boolean,
  ) {
    super(message);
  }
}

/**
 * The store. Every method rejects with {@link StoreError} when it cannot answer, also when an answer comes from another era than the
 * one that its question was about.
 */
export interface CoordinationStore {
  /** The era that its answers have told. */
  readonly era: StoreEra;
  /** All items under a prefix, read linearizably, and the revision to watch from. */
  list(prefix: string): Promise<{ readonly items: readonly StoredItem[]; readonly revision: Revision }>;
  /** One item, read linearizably, or `null`; waits for the answer for at most `timeoutMs` milliseconds, where given. */
  read(key: string, timeoutMs?: number): Promise<StoredItem | null>;
  /**
   * One item, read linearizably, unless it still has a known revision ({@link NO_REVISION}: is absent): a question that is put often about
   * an item that is large and seldom changes. Waits for the answer for at most `timeoutMs` milliseconds.
   */
  readIfChanged(key: string, knownRevision: Revision, timeoutMs: number): Promise<ConditionalRead>;
  /** Changes under a prefix after a revision; waits for one for at most `waitMs` milliseconds. */
  watch(prefix: string, afterRevision: Revision, waitMs: number): Promise<WatchAnswer>;
  transact(transaction: StoreTransaction): Promise<TransactionAnswer>;
  grantLease(ttlMs: number): Promise<GrantedLease>;
  /** False when the lease is over. */
  keepLease(leaseId: number): Promise<boolean>;
  endLease(leaseId: number): Promise<void>;
}
