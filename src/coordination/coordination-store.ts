/**
 * Interface of the key-value store through which daemons coordinate: compare-and-swap transactions, leases
 * and watches.
 *
 * @packageDocumentation
 */

import type { Revision } from './revision.js';
import type { StoreEra } from './store-era.js';

/** A key with its value and revision. */
export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the last change of the key. */
  readonly revision: Revision;
}

/** A change reported by a watch. */
export interface StoreEvent {
  readonly key: string;
  readonly revision: Revision;
  /** The new value, or `null` if the key was deleted. */
  readonly value: Buffer | null;
}

/** Response of a watch: changes, or `compacted` if the store no longer has them or is in a later era. */
export type WatchResponse =
  | { readonly kind: 'events'; readonly events: readonly StoreEvent[]; readonly revision: Revision }
  | { readonly kind: 'compacted' };

/** Result of a conditional read; `item` is `null` if the key is absent. */
export type ConditionalRead =
  { readonly kind: 'unchanged' } | { readonly kind: 'changed'; readonly item: StoredItem | null };

/** Changes that are applied together if all conditions hold. */
export interface StoreTransaction {
  /** Keys with their expected revisions; `NO_REVISION` requires the key to be absent. */
  readonly conditions: readonly { readonly key: string; readonly revision: Revision }[];
  readonly puts: readonly { readonly key: string; readonly value: Buffer; readonly leaseId: number }[];
  readonly removes: readonly string[];
}

/** Outcome of a transaction. */
export type TransactionResult =
  | { readonly kind: 'done'; readonly revision: Revision }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'no_lease' };

export interface GrantedLease {
  readonly leaseId: number;
  readonly ttlMs: number;
}

/** The store did not answer, or its answer was not valid. */
export class StoreError extends Error {
  override readonly name = 'StoreError';

  /** @param mayHaveRun - whether the requested change may have been applied, or may still be applied later */
  constructor(
    message: string,
    readonly mayHaveRun: boolean,
  ) {
    super(message);
  }
}

/**
 * The store. Every method rejects with {@link StoreError} if the request fails, and also if the response
 * belongs to another era than the request.
 */
export interface CoordinationStore {
  /** The era reported by its responses. */
  readonly era: StoreEra;
  /** Linearizable read of all items under a prefix, with the revision to watch from. */
  list(prefix: string): Promise<{ readonly items: readonly StoredItem[]; readonly revision: Revision }>;
  /**
   * Linearizable read of one item, `null` if it is absent; fails after `timeoutMs` milliseconds, if given.
   */
  read(key: string, timeoutMs?: number): Promise<StoredItem | null>;
  /**
   * Linearizable read of one item that returns the value only if its revision differs from `knownRevision`
   * (`NO_REVISION`: absent). For large items that are polled often and seldom change. Fails after `timeoutMs`
   * milliseconds.
   */
  readIfChanged(key: string, knownRevision: Revision, timeoutMs: number): Promise<ConditionalRead>;
  /**
   * Changes under a prefix after a revision; if there are none, waits for one for at most `waitMs`
   * milliseconds.
   */
  watch(prefix: string, afterRevision: Revision, waitMs: number): Promise<WatchResponse>;
  transact(transaction: StoreTransaction): Promise<TransactionResult>;
  grantLease(ttlMs: number): Promise<GrantedLease>;
  /** Renews a lease; false if it has expired. */
  renewLease(leaseId: number): Promise<boolean>;
  revokeLease(leaseId: number): Promise<void>;
}
