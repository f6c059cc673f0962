/**
 * The latest changes of the store, kept by a daemon that follows it for those who follow through this daemon.
 *
 * @packageDocumentation
 */
import { ChangeSignal } from '../common/signal.js';
import type { StoredItem, StoreEvent } from './coordination-store.js';
import { isLater, laterOf, NO_REVISION, type Revision } from './revision.js';
import { diffValues, estimateDeltaBytes, type ValueDelta } from './value-delta.js';

/** Most changes that are kept, and bytes of their values; who asks for older ones reads the store. */
const MAX_CHANGES = 2000;
const MAX_BYTES = 1024 * 1024;

/**
 * Largest value that is passed on, in bytes. Links of daemons are narrow: who needs a larger value reads it from the store,
 * whose link is not.
 */
export const MAX_RELAYED_BYTES = 32 * 1024;

/** Values up to this length are passed on whole, in bytes. */
const DELTA_THRESHOLD_BYTES = 1024;

/** The value of a change as it is passed on. */
export type RelayedValue =
  | { readonly kind: 'value'; readonly value: Buffer }
  /** The difference to the value that the key had at a revision of the same era. */
  | { readonly kind: 'delta'; readonly baseNumber: number; readonly delta: ValueDelta }
  | { readonly kind: 'gone' }
  /** To be read from the store. */
  | { readonly kind: 'large' };

/** A change as it is kept; its difference to the value before is found when somebody asks for it. */
interface LoggedChange {
  readonly event: StoreEvent;
  readonly previous: StoredItem | null;
  relayed: RelayedChange | null;
}

/** A change as it is passed on, with all others of its era. */
export interface RelayedChange {
  readonly key: string;
  /** Number of its revision. */
  readonly number: number;
  readonly content: RelayedValue;
}

/** What the store itself has told of late. */
export class ChangeLog {
  /** Wakes whoever waits for a change, or for the end of the log. */
  readonly changed = new ChangeSignal();
  #changes: LoggedChange[] = [];
  #bytes = 0;
  /** All changes after this revision are kept; `null` while the copy does not come from the store itself. */
  #completeAfter: Revision | null = null;
  #revision = NO_REVISION;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Revision up to which changes are known. */
  get revision(): Revision {
    return this.#revision;
  }

  /** Time since the store last answered, in milliseconds. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** The store was read whole. */
  restart(revision: Revision, nowMs: number): void {
    this.#clear(revision);
    this.#revision = revision;
    this.#confirmedAtMs = nowMs;
    this.changed.notify();
  }

  /**
   * The store has told its changes after `afterRevision`, up to `revision`.
   *
   * @param previousItems - the items that the changes replace, in the same order; `null` where there was none
   */
  append(
    afterRevision: Revision,
    events: readonly StoreEvent[],
    revision: Revision,
    nowMs: number,
    previousItems: readonly (StoredItem | null)[] = [],
  ): void {
    if (this.#completeAfter === null) this.#clear(afterRevision);
    for (const [index, event] of events.entries())
      this.#push({ event, previous: previousItems[index] ?? null, relayed: null });
    this.#revision = laterOf(this.#revision, revision);
    this.#confirmedAtMs = nowMs;
    if (events.length > 0) this.changed.notify();
  }

  #clear(completeAfter: Revision): void {
    this.#changes = [];
    this.#bytes = 0;
    this.#completeAfter = completeAfter;
  }

  #push(change: LoggedChange): void {
    this.#changes.push(change);
    this.#bytes += sizeOf(change);
    while (this.#changes.length > MAX_CHANGES || this.#bytes > MAX_BYTES) {
      const oldest = this.#changes.shift();
      if (oldest === undefined) return;
      this.#bytes -= sizeOf(oldest);
      this.#completeAfter = laterOf(this.#completeAfter ?? NO_REVISION, oldest.event.revision);
    }
  }

  /** The store does not answer, or this daemon follows it through another one. */
  suspend(): void {
    this.#completeAfter = null;
    this.#confirmedAtMs = Number.NEGATIVE_INFINITY;
    this.changed.notify();
  }

  /** The changes after a revision, or `null` when some of them are not kept, as those between two eras never are. */
  since(revision: Revision): readonly RelayedChange[] | null {
    if (this.#completeAfter === null || isLater(this.#completeAfter, revision)) return null;
    return this.#changes
      .filter(({ event }) => isLater(event.revision, revision))
      .map((change) => (change.relayed ??= toRelayed(change)));
  }
}

function sizeOf({ event }: LoggedChange): number {
  return event.value?.length ?? 0;
}

function toRelayed({ event, previous: before }: LoggedChange): RelayedChange {
  const { key, revision, value } = event;
  const base = before?.revision.era === revision.era ? before : null;
  return {
    key,
    number: revision.number,
    content: value === null ? { kind: 'gone' } : encodeValue(value, base),
  };
}

function encodeValue(value: Buffer, previous: StoredItem | null): RelayedValue {
  if (value.length <= DELTA_THRESHOLD_BYTES) return { kind: 'value', value };
  if (previous !== null) {
    const delta = diffValues(previous.value, value);
    const isSmaller = estimateDeltaBytes(delta) <= Math.min(value.length / 2, MAX_RELAYED_BYTES);
    if (isSmaller) return { kind: 'delta', baseNumber: previous.revision.number, delta };
  }
  return value.length <= MAX_RELAYED_BYTES ? { kind: 'value', value } : { kind: 'large' };
}
