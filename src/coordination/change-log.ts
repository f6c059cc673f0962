/**
 * The latest changes of the store, kept by a daemon that watches the store to relay them to other daemons.
 *
 * @packageDocumentation
 */
import { ChangeSignal } from '../common/signal.js';
import type { StoredItem, StoreEvent } from './coordination-store.js';
import { isLater, laterOf, NO_REVISION, type Revision } from './revision.js';
import { diffValues, estimateDeltaBytes, type ValueDelta } from './value-delta.js';

/**
 * Largest number of changes kept, and total size of their values in bytes; older ones have to be read from
 * the store.
 */
const MAX_CHANGES = 2000;
const MAX_BYTES = 1024 * 1024;

/**
 * Largest value that is relayed, in bytes. Larger values are read from the store, since links between daemons
 * have less bandwidth than the link to the store.
 */
export const MAX_RELAYED_BYTES = 32 * 1024;

/** Values up to this size are relayed whole, without delta encoding, in bytes. */
const DELTA_THRESHOLD_BYTES = 1024;

/** The value of a change as it is relayed. */
export type RelayedValue =
  | { readonly kind: 'value'; readonly value: Buffer }
  /** Delta against the value that the key had at the revision `baseNumber` of the same era. */
  | { readonly kind: 'delta'; readonly baseNumber: number; readonly delta: ValueDelta }
  | { readonly kind: 'gone' }
  /** Too large to be relayed; the receiver reads it from the store. */
  | { readonly kind: 'large' };

/** A change in the log. Its delta against the previous value is computed on the first request. */
interface LoggedChange {
  readonly event: StoreEvent;
  readonly previous: StoredItem | null;
  relayed: RelayedChange | null;
}

/** A change as it is relayed; all changes of one response belong to the same era. */
export interface RelayedChange {
  readonly key: string;
  /** Number of its revision; the era is that of the response. */
  readonly number: number;
  readonly content: RelayedValue;
}

/** Recent changes that this daemon received from the store itself. */
export class ChangeLog {
  /** Notified of each change, and when the log is restarted or suspended. */
  readonly changed = new ChangeSignal();
  #changes: LoggedChange[] = [];
  #bytes = 0;
  /**
   * The log has all changes after this revision; `null` while the local copy is not fed by the store itself.
   */
  #completeAfter: Revision | null = null;
  #revision = NO_REVISION;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Revision up to which the changes are known. */
  get revision(): Revision {
    return this.#revision;
  }

  /** Time since the last response of the store, in milliseconds. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** Starts an empty log after a full read of the store. */
  restart(revision: Revision, nowMs: number): void {
    this.#clear(revision);
    this.#revision = revision;
    this.#confirmedAtMs = nowMs;
    this.changed.notify();
  }

  /**
   * Appends the changes that the store reported after `afterRevision`, up to `revision`.
   *
   * @param previousItems - the items replaced by the changes, in the same order; `null` if there was none
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

  /**
   * Suspends the log while the store does not answer, or while this daemon receives changes from a delegate.
   */
  suspend(): void {
    this.#completeAfter = null;
    this.#confirmedAtMs = Number.NEGATIVE_INFINITY;
    this.changed.notify();
  }

  /**
   * The changes after a revision, or `null` if the log lacks some of them. Changes across two eras are never
   * kept.
   */
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
