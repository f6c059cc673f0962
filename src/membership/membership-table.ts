/**
 * The daemons that one daemon knows, merged from gossip after the SWIM paper (Das, Gupta and Motivala, 2002).
 * Pure: the caller passes the time.
 *
 * @packageDocumentation
 */
import { isReachableState, supersedes, type PeerRecord, type PeerState } from './peer-record.js';

/** Settings of the table. */
export interface MembershipTableOptions {
  /** Time between suspicion and death, in milliseconds. */
  readonly suspicionTimeoutMs: number;
  /** Time after which a dead daemon is forgotten, in milliseconds. */
  readonly forgetAfterMs: number;
  /** Most records in one message. */
  readonly maxUpdatesPerMessage: number;
}

interface Entry {
  record: PeerRecord;
  /** Monotonic time of the last change of state, in milliseconds. */
  changedAtMs: number;
}

const RETRANSMIT_FACTOR = 3;

/** FNV-1a (Fowler, Noll and Vo) over what tells versions of a record apart. */
function hashRecord({ daemonId, incarnation, sequence, state }: PeerRecord): number {
  let hash = 0x811c9dc5;
  for (const character of `${daemonId} ${incarnation} ${sequence} ${state}`) {
    hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x01000193);
  }
  return hash >>> 0;
}

/** Records of all known daemons and the queue of news to pass on. @public */
export class MembershipTable {
  readonly #entries = new Map<string, Entry>();
  readonly #news = new Map<string, number>();
  /** Daemons that say they own a database, by database. */
  readonly #claims = new Map<string, Set<string>>();
  #own: PeerRecord;

  constructor(
    own: PeerRecord,
    private readonly options: MembershipTableOptions,
  ) {
    this.#own = own;
    this.#queueNews(own.daemonId);
  }

  /** Number of records that are still being passed on. */
  get pendingNews(): number {
    return this.#news.size;
  }

  /** This daemon's own record. */
  get own(): PeerRecord {
    return this.#own;
  }

  /**
   * A sum over all records: two tables that agree have the same. It depends on neither order nor time.
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

  /** Ids of the daemons that may own databases: alive ones, and this daemon unless it leaves. */
  get candidateIds(): readonly string[] {
    return this.all
      .filter(({ state }) => state === 'alive' || state === 'suspect')
      .map(({ daemonId }) => daemonId);
  }

  /** Record of one other daemon, or `null`. */
  find(daemonId: string): PeerRecord | null {
    return this.#entries.get(daemonId)?.record ?? null;
  }

  /** The daemon that says it owns a database, or `null`; with several, the one heard of last. */
  ownerOf(database: string): PeerRecord | null {
    if (this.#own.ownedDatabases.includes(database)) return this.#own;
    let best: Entry | null = null;
    for (const daemonId of this.#claims.get(database) ?? []) {
      const entry = this.#entries.get(daemonId);
      if (entry === undefined || !isReachableState(entry.record.state)) continue;
      if (best === null || entry.changedAtMs > best.changedAtMs) best = entry;
    }
    return best?.record ?? null;
  }

  /** Changes this daemon's own record. */
  updateOwn(change: Partial<Pick<PeerRecord, 'state' | 'ownedDatabases'>>): void {
    this.#own = { ...this.#own, ...change, sequence: this.#own.sequence + 1 };
    this.#queueNews(this.#own.daemonId);
  }

  /** Merges a record; true when it was news, which is then passed on if `isPassedOn`. */
  merge(record: PeerRecord, nowMs: number, isPassedOn = true): boolean {
    if (record.daemonId === this.#own.daemonId) return this.#refute(record);
    const entry = this.#entries.get(record.daemonId);
    if (entry !== undefined && !supersedes(record, entry.record)) return false;
    this.#withdrawClaims(entry?.record);
    this.#entries.set(record.daemonId, { record, changedAtMs: nowMs });
    this.#recordClaims(record);
    if (isPassedOn) this.#queueNews(record.daemonId);
    return true;
  }

  /** Marks a daemon that missed its probes. */
  suspect(daemonId: string, nowMs: number): void {
    const entry = this.#entries.get(daemonId);
    if (entry === undefined || (entry.record.state !== 'alive' && entry.record.state !== 'leaving')) return;
    this.#setState(entry, 'suspect', nowMs);
  }

  /** Turns old suspicions into deaths and forgets the long dead; returns the newly dead. */
  expire(nowMs: number): readonly PeerRecord[] {
    const dead: PeerRecord[] = [];
    for (const [daemonId, entry] of this.#entries) {
      const ageMs = nowMs - entry.changedAtMs;
      if (entry.record.state === 'suspect' && ageMs >= this.options.suspicionTimeoutMs) {
        this.#setState(entry, 'dead', nowMs);
        dead.push(entry.record);
      } else if (entry.record.state === 'dead' && ageMs >= this.options.forgetAfterMs) {
        this.#withdrawClaims(entry.record);
        this.#entries.delete(daemonId);
      }
    }
    return dead;
  }

  /** News for one message; each record is passed on a number of times that grows with the logarithm of the size. */
  takeNews(): readonly PeerRecord[] {
    const limit = Math.ceil(RETRANSMIT_FACTOR * Math.log2(this.#entries.size + 2));
    const chosen = [...this.#news.entries()]
      .sort((a, b) => a[1] - b[1])
      .slice(0, this.options.maxUpdatesPerMessage);
    const records: PeerRecord[] = [];
    for (const [daemonId, sent] of chosen) {
      const record = daemonId === this.#own.daemonId ? this.#own : this.#entries.get(daemonId)?.record;
      if (record !== undefined) records.push(record);
      if (record === undefined || sent + 1 >= limit) this.#news.delete(daemonId);
      else this.#news.set(daemonId, sent + 1);
    }
    return records;
  }

  #recordClaims({ daemonId, ownedDatabases }: PeerRecord): void {
    for (const database of ownedDatabases) {
      const claimants = this.#claims.get(database) ?? new Set();
      claimants.add(daemonId);
      this.#claims.set(database, claimants);
    }
  }

  #withdrawClaims(record: PeerRecord | undefined): void {
    for (const database of record?.ownedDatabases ?? []) {
      const claimants = this.#claims.get(database);
      claimants?.delete(record?.daemonId ?? '');
      if (claimants?.size === 0) this.#claims.delete(database);
    }
  }

  #setState(entry: Entry, state: PeerState, nowMs: number): void {
    entry.record = { ...entry.record, state };
    entry.changedAtMs = nowMs;
    this.#queueNews(entry.record.daemonId);
  }

  #refute(record: PeerRecord): boolean {
    const isWrong = record.state === 'suspect' || record.state === 'dead';
    if (!isWrong || !supersedes(record, this.#own)) return false;
    this.#own = { ...this.#own, sequence: Math.max(this.#own.sequence, record.sequence) + 1 };
    this.#queueNews(this.#own.daemonId);
    return true;
  }

  #queueNews(daemonId: string): void {
    this.#news.set(daemonId, 0);
  }
}
