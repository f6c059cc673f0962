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
export interface LeftOutEntry {
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
const MAX_KEYS = 1000;
/** Characters of a key that a line shows. */
const SHOWN_KEY_CHARACTERS = 100;

/** Counts and tells. */
export class EntryFaults {
  readonly #lines: FaultLog;
  readonly #revisions = new Map<string, Revision>();

  constructor(private readonly ports: EntryFaultsPorts) {
    this.#lines = new FaultLog(ports.log, ports.now);
  }

  /** An entry is left out; looking at it again changes nothing. */
  leftOut({ kind, key, revision }: LeftOutEntry, fault: EntryFault): void {
    if (revision !== null && !this.#isNew(key, revision)) return;
    this.ports.count(kind, fault.kind);
    const details = {
      kind,
      key: key.slice(0, SHOWN_KEY_CHARACTERS),
      revision: revision && formatRevision(revision),
      fault: fault.kind,
    };
    this.#lines.tell(eventOf(kind), key, fault.reason, details);
  }

  /** A key can be read, or is gone. */
  good(kind: EntryKind, key: string): void {
    if (this.#revisions.size > 0) this.#revisions.delete(key);
    this.#lines.clear(eventOf(kind), key);
  }

  #isNew(key: string, revision: Revision): boolean {
    const known = this.#revisions.get(key);
    if (known !== undefined && isSameRevision(known, revision)) return false;
    this.#revisions.set(key, revision);
    if (this.#revisions.size > MAX_KEYS) this.#forgetOldest();
    return true;
  }

  #forgetOldest(): void {
    for (const oldest of this.#revisions.keys()) {
      this.#revisions.delete(oldest);
      return;
    }
  }
}

/** Faults that nobody asks about. */
export function untoldFaults(): EntryFaults {
  return new EntryFaults({ log: () => undefined, count: () => undefined, now: () => 0 });
}

function eventOf(kind: EntryKind): string {
  return kind === 'configuration' ? 'configuration_rejected' : 'entry_left_out';
}
