/**
 * A coordination store whose requests and responses are recorded as traffic with the outside of the zone.
 *
 * @packageDocumentation
 */
import type {
  ConditionalRead,
  CoordinationStore,
  GrantedLease,
  StoredItem,
  StoreTransaction,
  TransactionResult,
  WatchResponse,
} from '../coordination/coordination-store.js';
import type { Revision } from '../coordination/revision.js';
import type { StoreEra } from '../coordination/store-era.js';
import type { OutsideTraffic } from './outside-traffic.js';

/** Records the traffic of another store. */
export class ObservedStore implements CoordinationStore {
  constructor(
    private readonly store: CoordinationStore,
    private readonly traffic: OutsideTraffic,
    private readonly now: () => number,
  ) {}

  get era(): StoreEra {
    return this.store.era;
  }

  list(prefix: string): ReturnType<CoordinationStore['list']> {
    return this.#observe(this.store.list(prefix));
  }

  read(key: string, timeoutMs?: number): Promise<StoredItem | null> {
    return this.#observe(this.store.read(key, timeoutMs));
  }

  readIfChanged(key: string, knownRevision: Revision, timeoutMs: number): Promise<ConditionalRead> {
    return this.#observe(this.store.readIfChanged(key, knownRevision, timeoutMs));
  }

  /** A watch is not recorded as a request: the store answers it only after a change or a long wait. */
  async watch(prefix: string, afterRevision: Revision, waitMs: number): Promise<WatchResponse> {
    const response = await this.store.watch(prefix, afterRevision, waitMs);
    // `compacted` may be returned without a request.
    if (response.kind === 'events') this.traffic.recordReceived(this.now());
    return response;
  }

  transact(transaction: StoreTransaction): Promise<TransactionResult> {
    return this.#observe(this.store.transact(transaction));
  }

  grantLease(ttlMs: number): Promise<GrantedLease> {
    return this.#observe(this.store.grantLease(ttlMs));
  }

  renewLease(leaseId: number): Promise<boolean> {
    return this.#observe(this.store.renewLease(leaseId));
  }

  revokeLease(leaseId: number): Promise<void> {
    return this.#observe(this.store.revokeLease(leaseId));
  }

  async #observe<Response>(request: Promise<Response>): Promise<Response> {
    this.traffic.recordSent(this.now());
    const response = await request;
    this.traffic.recordReceived(this.now());
    return response;
  }
}
