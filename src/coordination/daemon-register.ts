/**
 * The register of daemons in the store: a record of each, which stays, and under a lease that it lives.
 *
 * @packageDocumentation
 */
import { readDaemonRecord, type DaemonRecord } from '../cluster/daemon-record.js';
import { type CoordinationStore, StoreError, type StoredItem } from './coordination-store.js';
import { untoldFaults, type EntryFaults, type EntryKind } from './entry-faults.js';
import { readName, type Reading } from './stored-json.js';

/** Keys in the store. */
export const COORDINATION_PREFIX = 'sorrelladder/';
export const DAEMON_PREFIX = `${COORDINATION_PREFIX}daemons/`;
export const LIVE_PREFIX = `${COORDINATION_PREFIX}live/`;

/** The daemons as the store has them. */
export interface RegisteredDaemons {
  readonly registered: ReadonlyMap<string, DaemonRecord>;
  /** Names of those whose lease runs. */
  readonly leased: ReadonlySet<string>;
  /** Names of those that have a record which cannot be read. */
  readonly unreadable: ReadonlySet<string>;
}

/** Reads the daemons out of the store's items; what cannot be read is left out, and told to `faults`. */
export function readDaemons(
  items: ReadonlyMap<string, StoredItem>,
  faults = untoldFaults(),
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

/** What was read before: the records of all daemons are looked at with each change of any. */
const parsedRegistrations = new WeakMap<StoredItem, Reading<DaemonRecord>>();

/** Reads the record of a daemon, once for each item. */
export function readRegistration(item: StoredItem): Reading<DaemonRecord> {
  const cached = parsedRegistrations.get(item);
  if (cached !== undefined) return cached;
  const name = readName(item.key, DAEMON_PREFIX);
  const reading = name.kind === 'read' ? readDaemonRecord(name.value, item.value) : name;
  parsedRegistrations.set(item, reading);
  return reading;
}

/** What was read, or `null` where the entry is left out. */
export function valueOrReport<T>(
  kind: EntryKind,
  item: StoredItem,
  reading: Reading<T>,
  faults: EntryFaults,
): T | null {
  if (reading.kind === 'read') {
    faults.good(kind, item.key);
    return reading.value;
  }
  faults.leftOut({ kind, key: item.key, revision: item.revision }, reading.fault);
  return null;
}

/**
 * Reads the daemons whose lease runs from the store itself.
 *
 * @throws StoreError also when one of them has a record that cannot be read: it may hold evidence, and nobody could ask it
 */
export async function listLeasedDaemons(
  store: Pick<CoordinationStore, 'list'>,
): Promise<readonly DaemonRecord[]> {
  const { items } = await store.list(COORDINATION_PREFIX);
  const { registered, leased, unreadable } = readDaemons(new Map(items.map((item) => [item.key, item])));
  if ([...leased].some((name) => unreadable.has(name)))
    throw new StoreError('the record of a daemon that lives cannot be read', false);
  return [...registered.values()].filter(({ name }) => leased.has(name));
}
