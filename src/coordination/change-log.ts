/**
 * The latest changes of the store, kept by a daemon that follows it for those who follow through this daemon.
 *
 * @packageDocumentation
 */
import { ChangeSignal } from '../common/signal.js';
import type { StoreEvent } from './coordination-store.js';

/** Most changes that are kept, and bytes of their values; who asks for older ones reads the store. */
const MAX_CHANGES = 2000;
const MAX_BYTES = 1024 * 1024;

/**
 * Largest value that is passed on, in bytes. Links of daemons are narrow: who needs a larger value reads it from the store,
 * whose link is not.
 */
export const MAX_PASSED_BYTES = 32 * 1024;

/** The value of a change as it is passed on; `large`: to be read from the store. */
export type PassedValue =
  { readonly kind: 'value'; readonly value: Buffer } | { readonly kind: 'gone' } | { readonly kind: 'large' };

/** A change as it is passed on. */
export interface PassedChange {
  readonly key: string;
  readonly revision: number;
  readonly content: PassedValue;
}

/** What the store itself has told of late. */
export class ChangeLog {
  /** Wakes whoever waits for a change, or for the end of the log. */
  readonly changed = new ChangeSignal();
  #changes: PassedChange[] = [];
  #bytes = 0;
  /** All changes after this revision are kept; `null` while the copy does not come from the store itself. */
  #completeAfter: number | null = null;
  #revision = 0;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** Revision up to which changes are known. */
  get revision(): number {
    return this.#revision;
  }

  /** Time since the store last answered, in milliseconds. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** The store was read whole. */
  restart(revision: number, nowMs: number): void {
    this.#clear(revision);
    this.#revision = revision;
    this.#confirmedAtMs = nowMs;
    this.changed.notify();
  }

  /** The store has told its changes after `afterRevision`, up to `revision`. */
  append(afterRevision: number, events: readonly StoreEvent[], revision: number, nowMs: number): void {
    if (this.#completeAfter === null) this.#clear(afterRevision);
    for (const event of events) this.#keep(toPassed(event));
    this.#revision = Math.max(this.#revision, revision);
    this.#confirmedAtMs = nowMs;
    if (events.length > 0) this.changed.notify();
  }

  #clear(completeAfter: number): void {
    this.#changes = [];
    this.#bytes = 0;
    this.#completeAfter = completeAfter;
  }

  #keep(change: PassedChange): void {
    this.#changes.push(change);
    this.#bytes += sizeOf(change);
    while (this.#changes.length > MAX_CHANGES || this.#bytes > MAX_BYTES) {
      const oldest = this.#changes.shift();
      if (oldest === undefined) return;
      this.#bytes -= sizeOf(oldest);
      this.#completeAfter = Math.max(this.#completeAfter ?? 0, oldest.revision);
    }
  }

  /** The store does not answer, or this daemon follows it through another one. */
  suspend(): void {
    this.#completeAfter = null;
    this.#confirmedAtMs = Number.NEGATIVE_INFINITY;
    this.changed.notify();
  }

  /** The changes after a revision, or `null` when some of them are not kept. */
  since(revision: number): readonly PassedChange[] | null {
    if (this.#completeAfter === null || revision < this.#completeAfter) return null;
    return this.#changes.filter((change) => change.revision > revision);
  }
}

function sizeOf({ content }: PassedChange): number {
  return content.kind === 'value' ? content.value.length : 0;
}

function toPassed({ key, revision, value }: StoreEvent): PassedChange {
  if (value === null) return { key, revision, content: { kind: 'gone' } };
  if (value.length > MAX_PASSED_BYTES) return { key, revision, content: { kind: 'large' } };
  return { key, revision, content: { kind: 'value', value } };
}
