/**
 * What becomes known of entries of the store that cannot be read: a count of all, and a few lines.
 *
 * @packageDocumentation
 */
import { FaultLog } from '../observability/fault-log.js';
import { formatRevision, isSameRevision, type Revision } from './revision.js';
import type { EntryFault, FaultKind } from './stored-json.js';

/** What an entry would have said, had it been readable. */
export type EntryKind = 'member' | 'configuration' | 'registration' | 'lease' | 'duty' | 'fence' | 'item';

/** An entry that was left out. */
export interface UnreadableEntry {
  readonly kind: EntryKind;
  readonly key: string;
  /** `null` where not even that can be read. */
  readonly revision: Revision | null;
}

/** What the faults are told to. */
export interface EntryFaultsPorts {
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  /** One more was left out. */
  count(kind: EntryKind, fault: FaultKind): void;
  now(): number;
}

/** Keys whose last unreadable revision is remembered, so that it counts once. */
const MAX_REMEMBERED_KEYS = 1000;
/** Characters of a key that a line shows. */
const MAX_LOGGED_KEY_LENGTH = 100;

/** Counts and tells. */
export class EntryFaults {
  readonly #faultLog: FaultLog;
  readonly #reportedRevisions = new Map<string, Revision>();

  constructor(private readonly ports: EntryFaultsPorts) {
    this.#faultLog = new FaultLog(ports.log, ports.now);
  }

  /** An entry is left out; looking at it again changes nothing. */
  leftOut({ kind, key, revision }: UnreadableEntry, fault: EntryFault): void {
    if (revision !== null && !this.#markReported(key, revision)) return;
    this.ports.count(kind, fault.kind);
    const details = {
      kind,
      key: key.slice(0, MAX_LOGGED_KEY_LENGTH),
      revision: revision && formatRevision(revision),
      fault: fault.kind,
    };
    this.#faultLog.tell(logEventOf(kind), key, fault.reason, details);
  }

  /** A key can be read, or is gone. */
  good(kind: EntryKind, key: string): void {
    if (this.#reportedRevisions.size > 0) this.#reportedRevisions.delete(key);
    this.#faultLog.clear(logEventOf(kind), key);
  }

  #markReported(key: string, revision: Revision): boolean {
    const known = this.#reportedRevisions.get(key);
    if (known !== undefined && isSameRevision(known, revision)) return false;
    this.#reportedRevisions.set(key, revision);
    if (this.#reportedRevisions.size > MAX_REMEMBERED_KEYS) this.#forgetOldest();
    return true;
  }

  #forgetOldest(): void {
    for (const oldest of this.#reportedRevisions.keys()) {
      this.#reportedRevisions.delete(oldest);
      return;
    }
  }
}

/** Faults that nobody asks about. */
export function untoldFaults(): EntryFaults {
  return new EntryFaults({ log: () => undefined, count: () => undefined, now: () => 0 });
}

function logEventOf(kind: EntryKind): string {
  return kind === 'configuration' ? 'configuration_rejected' : 'entry_left_out';
}
