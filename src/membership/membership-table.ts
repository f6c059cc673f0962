/**
 * Membership table of one daemon, merged from gossip after the SWIM paper (Das, Gupta and Motivala, 2002).
 * Pure: the caller passes the time.
 *
 * @packageDocumentation
 */
import { isReachableState, supersedes, type PeerRecord, type PeerState } from './peer-record.js';

/** Settings of the table. */
export interface MembershipTableOptions {
  /** Time after which a suspected daemon is declared dead, in milliseconds. */
  readonly suspicionTimeoutMs: number;
  /** Time after which the record of a dead daemon is removed, in milliseconds. */
  readonly forgetAfterMs: number;
  /** Maximum number of records in one message. */
  readonly maxUpdatesPerMessage: number;
}

interface Entry {
  record: PeerRecord;
  /** Monotonic time of the last change of the record, in milliseconds. */
  changedAtMs: number;
}

/** Number of times an update is sent, per binary logarithm of the table size. */
const RETRANSMIT_FACTOR = 3;

/** FNV-1a hash (Fowler, Noll and Vo) of the fields that distinguish versions of a record. */
function hashRecord({ daemonId, incarnation, sequence, state }: PeerRecord): number {
  let hash = 0x811c9dc5;
  for (const character of `${daemonId} ${incarnation} ${sequence} ${state}`) {
    hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x01000193);
  }
  return hash >>> 0;
}

/** Records of all known daemons and the queue of updates to disseminate. @public */
export class MembershipTable {
  readonly #entries = new Map<string, Entry>();
  /** Number of times that each pending update was sent, by daemon. */
  readonly #updateSends = new Map<string, number>();
  /** Daemons that report owning a database, by database. */
  readonly #reportedOwners = new Map<string, Set<string>>();
  #own: PeerRecord;

  constructor(
    own: PeerRecord,
    private readonly options: MembershipTableOptions,
  ) {
    this.#own = own;
    this.#queueUpdate(own.daemonId);
  }

  /** Number of records that are still being disseminated. */
  get pendingNews(): number {
    return this.#updateSends.size;
  }

  /** This daemon's own record. */
  get own(): PeerRecord {
    return this.#own;
  }

  /**
   * Sum of the record hashes: equal for tables with equal records, and independent of order and time.
   */
  digest(): number {
    return this.all.reduce((sum, record) => (sum + hashRecord(record)) >>> 0, 0);
  }

  /** Records of the other daemons that are not dead. */
  get others(): readonly PeerRecord[] {
    return [...this.#entries.values()]
      .map(({ record }) => record)
      .filter(({ state }) => isReachableState(state));
  }

  /** Every record, this daemon's and dead ones included. */
  get all(): readonly PeerRecord[] {
    return [this.#own, ...[...this.#entries.values()].map(({ record }) => record)];
  }

  /** Ids of the daemons that may own databases: `alive` and `suspect` ones, this daemon included. */
  get candidateIds(): readonly string[] {
    return this.all
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .map(({ daemonId }) => daemonId);
  }

  /** Record of another daemon, or `null`. */
  find(daemonId: string): PeerRecord | null {
    return this.#entries.get(daemonId)?.record ?? null;
  }

  /**
   * The daemon that reports owning a database, or `null`. This daemon takes precedence; among several others,
   * the one whose record changed last does.
   */
  ownerOf(database: string): PeerRecord | null {
    if (this.#own.ownedDatabases.includes(database)) return this.#own;
    let best: Entry | null = null;
    for (const daemonId of this.#reportedOwners.get(database) ?? []) {
      const entry = this.#entries.get(daemonId);
      if (entry === undefined || !isReachableState(entry.record.state)) continue;
      if (best === null || entry.changedAtMs > best.changedAtMs) best = entry;
    }
    return best?.record ?? null;
  }

  /** Changes this daemon's own record. */
  updateOwn(change: Partial<Pick<PeerRecord, 'state' | 'ownedDatabases'>>): void {
    this.#own = { ...this.#own, ...change, sequence: this.#own.sequence + 1 };
    this.#queueUpdate(this.#own.daemonId);
  }

  /**
   * Merges a record; true when it changed the table. The change is queued for dissemination if
   * `isDisseminated`.
   */
  merge(record: PeerRecord, nowMs: number, isDisseminated = true): boolean {
    if (record.daemonId === this.#own.daemonId) return this.#refute(record);
    const entry = this.#entries.get(record.daemonId);
    if (entry !== undefined && !supersedes(record, entry.record)) return false;
    this.#removeReportedOwnership(entry?.record);
    this.#entries.set(record.daemonId, { record, changedAtMs: nowMs });
    this.#addReportedOwnership(record);
    if (isDisseminated) this.#queueUpdate(record.daemonId);
    return true;
  }

  /** Marks a daemon that did not acknowledge its probes as suspect. */
  suspect(daemonId: string, nowMs: number): void {
    const entry = this.#entries.get(daemonId);
    if (entry === undefined || (entry.record.state !== 'alive' && entry.record.state !== 'leaving')) return;
    this.#setState(entry, 'suspect', nowMs);
  }

  /**
   * Declares daemons dead that were suspect for too long, and removes old dead records; returns the newly
   * dead.
   */
  expire(nowMs: number): readonly PeerRecord[] {
    const dead: PeerRecord[] = [];
    for (const [daemonId, entry] of this.#entries) {
      const ageMs = nowMs - entry.changedAtMs;
      if (entry.record.state === 'suspect' && ageMs >= this.options.suspicionTimeoutMs) {
        this.#setState(entry, 'dead', nowMs);
        dead.push(entry.record);
      } else if (entry.record.state === 'dead' && ageMs >= this.options.forgetAfterMs) {
        this.#removeReportedOwnership(entry.record);
        this.#entries.delete(daemonId);
      }
    }
    return dead;
  }

  /**
   * Updates for one message; each is sent a number of times that grows with the logarithm of the table size.
   */
  takeNews(): readonly PeerRecord[] {
    const limit = Math.ceil(RETRANSMIT_FACTOR * Math.log2(this.#entries.size + 2));
    const selected = [...this.#updateSends.entries()]
      .sort((a, b) => a[1] - b[1])
      .slice(0, this.options.maxUpdatesPerMessage);
    const records: PeerRecord[] = [];
    for (const [daemonId, sent] of selected) {
      const record = daemonId === this.#own.daemonId ? this.#own : this.#entries.get(daemonId)?.record;
      if (record !== undefined) records.push(record);
      if (record === undefined || sent + 1 >= limit) this.#updateSends.delete(daemonId);
      else this.#updateSends.set(daemonId, sent + 1);
    }
    return records;
  }

  #addReportedOwnership({ daemonId, ownedDatabases }: PeerRecord): void {
    for (const database of ownedDatabases) {
      const owners = this.#reportedOwners.get(database) ?? new Set();
      owners.add(daemonId);
      this.#reportedOwners.set(database, owners);
    }
  }

  #removeReportedOwnership(record: PeerRecord | undefined): void {
    for (const database of record?.ownedDatabases ?? []) {
      const owners = this.#reportedOwners.get(database);
      owners?.delete(record?.daemonId ?? '');
      if (owners?.size === 0) this.#reportedOwners.delete(database);
    }
  }

  #setState(entry: Entry, state: PeerState, nowMs: number): void {
    entry.record = { ...entry.record, state };
    entry.changedAtMs = nowMs;
    this.#queueUpdate(entry.record.daemonId);
  }

  #refute(record: PeerRecord): boolean {
    const isWrong = record.state === 'suspect' || record.state === 'dead';
    if (!isWrong || !supersedes(record, this.#own)) return false;
    this.#own = { ...this.#own, sequence: Math.max(this.#own.sequence, record.sequence) + 1 };
    this.#queueUpdate(this.#own.daemonId);
    return true;
  }

  #queueUpdate(daemonId: string): void {
    this.#updateSends.set(daemonId, 0);
  }
}
