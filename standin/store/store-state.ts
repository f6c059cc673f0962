/**
 * In-memory keys, revisions and leases of the store stand-in.
 *
 * @packageDocumentation
 */
import { EventEmitter } from 'node:events';

/** A key as in responses of etcd's JSON gateway, which encodes numbers as strings. */
export interface StoredKey {
  readonly key: string;
  readonly value: string;
  readonly create_revision: string;
  readonly mod_revision: string;
  readonly version: string;
}

/** Versioned keys; each write increments the store revision and emits `put` for each key. */
export class StoreState extends EventEmitter {
  readonly #keys = new Map<string, StoredKey>();
  readonly #leases = new Map<
    string,
    { readonly ttlMs: number; expiresAtMs: number; readonly keys: Set<string> }
  >();
  revision = 1;

  constructor() {
    super();
    this.setMaxListeners(0);
  }

  /** One key, or the keys from `key` up to, not including, `rangeEnd`, in byte order. Keys are in base64. */
  range(key: string, rangeEnd: string | undefined): StoredKey[] {
    this.#expireLeases();
    if (rangeEnd === undefined) {
      const found = this.#keys.get(key);
      return found === undefined ? [] : [found];
    }
    const from = Buffer.from(key, 'base64');
    const to = Buffer.from(rangeEnd, 'base64');
    return [...this.#keys.values()]
      .filter((stored) => {
        const name = Buffer.from(stored.key, 'base64');
        return name.compare(from) >= 0 && name.compare(to) < 0;
      })
      .sort((left, right) => Buffer.from(left.key, 'base64').compare(Buffer.from(right.key, 'base64')));
  }

  /** Writes keys at one new revision, attaching them to their leases. */
  put(changes: readonly { readonly key: string; readonly value: string; readonly lease?: string }[]): void {
    this.revision += 1;
    for (const { key, value, lease } of changes) {
      const previous = this.#keys.get(key);
      const stored: StoredKey = {
        key,
        value,
        create_revision: previous?.create_revision ?? String(this.revision),
        mod_revision: String(this.revision),
        version: String(Number(previous?.version ?? 0) + 1),
      };
      this.#keys.set(key, stored);
      if (lease !== undefined) this.#leases.get(lease)?.keys.add(key);
      this.emit('put', stored);
    }
  }

  /** Grants a lease. */
  grantLease(id: string, ttlSeconds: number): void {
    const ttlMs = ttlSeconds * 1000;
    this.#leases.set(id, { ttlMs, expiresAtMs: Date.now() + ttlMs, keys: new Set() });
  }

  /** Renews a lease; false when it has expired. */
  keepAlive(id: string): boolean {
    this.#expireLeases();
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.expiresAtMs = Date.now() + lease.ttlMs;
    return true;
  }

  #expireLeases(): void {
    const now = Date.now();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAtMs > now) continue;
      this.#leases.delete(id);
      for (const key of lease.keys) this.#keys.delete(key);
    }
  }
}
