/**
 * Reports entries of the store that cannot be read: each one is counted, and a limited number is logged.
 *
 * @packageDocumentation
 */
import { FaultLog } from '../observability/fault-log.js';
import { formatRevision, isSameRevision, type Revision } from './revision.js';
import type { EntryFault, FaultKind } from './stored-json.js';

/** What an entry would have contained, had it been readable. */
export type EntryKind =
  'member' | 'configuration' | 'registration' | 'lease' | 'duty' | 'fence' | 'replaced_term' | 'item';

/** An entry that was ignored because it cannot be read. */
export interface UnreadableEntry {
  readonly kind: EntryKind;
  readonly key: string;
  /** `null` if the revision cannot be read either. */
  readonly revision: Revision | null;
}

/** Writes reports to the log and counts them. */
export interface FaultReporter {
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  /** Counts an entry that was ignored. */
  count(kind: EntryKind, fault: FaultKind): void;
  now(): number;
}

/** Number of keys whose last unreadable revision is remembered, so that each revision is counted once. */
const MAX_REMEMBERED_KEYS = 1000;
/** A longer key is truncated in the log, in characters. */
const MAX_LOGGED_KEY_LENGTH = 100;

/** Counts and logs unreadable entries. */
export class EntryFaults {
  readonly #faultLog: FaultLog;
  readonly #reportedRevisions = new Map<string, Revision>();

  constructor(private readonly reporter: FaultReporter) {
    this.#faultLog = new FaultLog(reporter.log, reporter.now);
  }

  /** Reports an ignored entry. A revision that was already reported for its key is not reported again. */
  reportUnreadable({ kind, key, revision }: UnreadableEntry, fault: EntryFault): void {
    if (revision !== null && !this.#markReported(key, revision)) return;
    this.reporter.count(kind, fault.kind);
    const details = {
      kind,
      key: key.slice(0, MAX_LOGGED_KEY_LENGTH),
      revision: revision && formatRevision(revision),
      fault: fault.kind,
    };
    this.#faultLog.report(logEventOf(kind), key, fault.reason, details);
  }

  /** Clears the fault of a key that can be read again or was deleted. */
  reportReadable(kind: EntryKind, key: string): void {
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

/** Reports that are neither counted nor logged. */
export function discardedFaults(): EntryFaults {
  return new EntryFaults({ log: () => undefined, count: () => undefined, now: () => 0 });
}

function logEventOf(kind: EntryKind): string {
  return kind === 'configuration' ? 'configuration_rejected' : 'entry_left_out';
}
