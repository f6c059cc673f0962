/**
 * Answers daemons that follow the store through this one.
 *
 * @packageDocumentation
 */
import type { ChangeLog, RelayedChange } from './change-log.js';
import type { Revision } from './revision.js';

/**
 * What a daemon is told. `forgotten`: changes that it needs are not kept here; `unavailable`: this daemon does not hear from the
 * store itself at present.
 */
export type PassedChanges =
  | {
      readonly kind: 'changes';
      readonly changes: readonly RelayedChange[];
      readonly revision: Revision;
      /** Time since the store answered this daemon, in milliseconds. */
      readonly ageMs: number;
    }
  | { readonly kind: 'forgotten' }
  | { readonly kind: 'unavailable' };

/** Age of the store's last answer from which on nothing is passed on, in milliseconds. */
export const MAX_STORE_AGE_MS = 1500;
/** Longest wait for a change, in milliseconds. */
const MAX_WAIT_MS = 2000;

/** Passes on what the store has told. */
export class ChangeRelay {
  constructor(
    private readonly log: ChangeLog,
    private readonly now: () => number,
  ) {}

  /** The changes after a revision; waits for one for at most `waitMs` milliseconds. */
  async ask(afterRevision: Revision, waitMs: number): Promise<PassedChanges> {
    const known = this.#answer(afterRevision);
    if (known.kind !== 'changes' || known.changes.length > 0) return known;
    await this.log.changed.wait(Math.min(waitMs, MAX_WAIT_MS));
    return this.#answer(afterRevision);
  }

  #answer(afterRevision: Revision): PassedChanges {
    const ageMs = this.log.ageMs(this.now());
    if (ageMs > MAX_STORE_AGE_MS) return { kind: 'unavailable' };
    // Whoever asks knows of a later era: what is kept here says nothing of it.
    if (afterRevision.era > this.log.revision.era) return { kind: 'unavailable' };
    const changes = this.log.since(afterRevision);
    if (changes === null) return { kind: 'forgotten' };
    return { kind: 'changes', changes, revision: this.log.revision, ageMs };
  }
}
