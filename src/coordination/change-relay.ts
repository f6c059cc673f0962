/**
 * Serves the changes of the store to daemons that do not watch the store themselves.
 *
 * @packageDocumentation
 */
import type { ChangeLog, RelayedChange } from './change-log.js';
import type { Revision } from './revision.js';

/**
 * Response to a daemon that requests changes. `forgotten`: the log no longer has some of the requested
 * changes. `unavailable`: this daemon has no recent response of the store, or is in an earlier era than the
 * requesting daemon.
 */
export type RelayResponse =
  | {
      readonly kind: 'changes';
      readonly changes: readonly RelayedChange[];
      readonly revision: Revision;
      /** Time since the last response of the store to this daemon, in milliseconds. */
      readonly ageMs: number;
    }
  | { readonly kind: 'forgotten' }
  | { readonly kind: 'unavailable' };

/** Changes are not relayed if the last response of the store is older than this, in milliseconds. */
export const MAX_STORE_AGE_MS = 1500;
/** Longest time for which a request is held open, in milliseconds. */
const MAX_WAIT_MS = 2000;

/** Relays the changes of a {@link ChangeLog}. */
export class ChangeRelay {
  constructor(
    private readonly log: ChangeLog,
    private readonly now: () => number,
  ) {}

  /** The changes after a revision; if there are none, waits for one for at most `waitMs` milliseconds. */
  async changesAfter(afterRevision: Revision, waitMs: number): Promise<RelayResponse> {
    const immediate = this.#answer(afterRevision);
    if (immediate.kind !== 'changes' || immediate.changes.length > 0) return immediate;
    await this.log.changed.wait(Math.min(waitMs, MAX_WAIT_MS));
    return this.#answer(afterRevision);
  }

  #answer(afterRevision: Revision): RelayResponse {
    const ageMs = this.log.ageMs(this.now());
    if (ageMs > MAX_STORE_AGE_MS) return { kind: 'unavailable' };
    // The requesting daemon knows a later era, of which this log has no changes.
    if (afterRevision.era > this.log.revision.era) return { kind: 'unavailable' };
    const changes = this.log.since(afterRevision);
    if (changes === null) return { kind: 'forgotten' };
    return { kind: 'changes', changes, revision: this.log.revision, ageMs };
  }
}
