/**
 * The registry of daemons in the store. Each daemon has a permanent record under `daemons/` and, while its
 * lease is valid, a key under `live/`.
 *
 * @packageDocumentation
 */
import { readDaemonRecord, type DaemonRecord } from '../cluster/daemon-record.js';
import { type CoordinationStore, StoreError, type StoredItem } from './coordination-store.js';
import { discardedFaults, type EntryFaults, type EntryKind } from './entry-faults.js';
import { readName, type ReadResult } from './stored-json.js';

/** Keys in the store. */
export const COORDINATION_PREFIX = 'sorrelladder/';
export const DAEMON_PREFIX = `${COORDINATION_PREFIX}daemons/`;
export const LIVE_PREFIX = `${COORDINATION_PREFIX}live/`;

/** The daemons registered in the store. */
export interface RegisteredDaemons {
  readonly registered: ReadonlyMap<string, DaemonRecord>;
  /** Names of the daemons whose lease is valid. */
  readonly leased: ReadonlySet<string>;
  /** Names of the daemons whose record cannot be read. */
  readonly unreadable: ReadonlySet<string>;
}

/** Reads the daemons from the items of the store. Unreadable entries are ignored and reported to `faults`. */
export function readDaemons(
  items: ReadonlyMap<string, StoredItem>,
  faults = discardedFaults(),
): RegisteredDaemons {
  const registered = new Map<string, DaemonRecord>();
  const leased = new Set<string>();
  const unreadable = new Set<string>();
  for (const item of items.values()) {
    if (item.key.startsWith(LIVE_PREFIX)) {
      const name = valueOrReport('lease', item, readName(item.key, LIVE_PREFIX), faults);
      if (name !== null) leased.add(name);
    } else if (item.key.startsWith(DAEMON_PREFIX)) {
      const record = valueOrReport('registration', item, readRegistration(item), faults);
      if (record === null) unreadable.add(item.key.slice(DAEMON_PREFIX.length));
      else registered.set(record.name, record);
    }
  }
  return { registered, leased, unreadable };
}

/** Results by item: the records of all daemons are read again with each change of any of them. */
const parsedRegistrations = new WeakMap<StoredItem, ReadResult<DaemonRecord>>();

/** Reads the record of a daemon; each item is parsed once. */
export function readRegistration(item: StoredItem): ReadResult<DaemonRecord> {
  const cached = parsedRegistrations.get(item);
  if (cached !== undefined) return cached;
  const name = readName(item.key, DAEMON_PREFIX);
  const reading = name.kind === 'read' ? readDaemonRecord(name.value, item.value) : name;
  parsedRegistrations.set(item, reading);
  return reading;
}

/** Returns the value that was read, or reports the fault and returns `null`. */
export function valueOrReport<T>(
  kind: EntryKind,
  item: StoredItem,
  reading: ReadResult<T>,
  faults: EntryFaults,
): T | null {
  if (reading.kind === 'read') {
    faults.reportReadable(kind, item.key);
    return reading.value;
  }
  faults.reportUnreadable({ kind, key: item.key, revision: item.revision }, reading.fault);
  return null;
}

/**
 * Reads the daemons whose lease is valid directly from the store.
 *
 * @throws StoreError also if one of them has an unreadable record: it may hold leadership evidence, and its
 * address is not known
 */
export async function listLeasedDaemons(
  store: Pick<CoordinationStore, 'list'>,
): Promise<readonly DaemonRecord[]> {
  const { items } = await store.list(COORDINATION_PREFIX);
  const { registered, leased, unreadable } = readDaemons(new Map(items.map((item) => [item.key, item])));
  if ([...leased].some((name) => unreadable.has(name)))
    throw new StoreError('the record of a daemon with a valid lease cannot be read', false);
  return [...registered.values()].filter(({ name }) => leased.has(name));
}
