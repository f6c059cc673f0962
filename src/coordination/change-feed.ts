/**
 * Where a daemon hears of the store's changes: from the store, or from a daemon of its zone that follows the store.
 *
 * In a large fleet each change would otherwise be asked for by every daemon, and the store prices and limits calls. A few
 * daemons of each zone follow the store; the others ask one of these. Whoever is asked says how old its last word of the
 * store is; one that is silent, or has not heard of the store for long, is left for another, or for the store.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { type PassedChanges, MAX_STORE_AGE_MS } from './change-relay.js';
import type { RelayedChange } from './change-log.js';
import { isSameRevision, type Revision } from './revision.js';
import { applyDelta } from './value-delta.js';
import type { CoordinationStore, StoredItem, StoreEvent, WatchAnswer } from './coordination-store.js';

/** Wait for a change at another daemon, and for its answer beyond that, in milliseconds. */
const DELEGATE_WAIT_MS = 700;
const DELEGATE_TIMEOUT_MARGIN_MS = 300;
/** Longest wait of a watch by a daemon that others follow: bounds how old its word is, in milliseconds. */
const DELEGATE_MAX_WATCH_MS = 1000;
/** For how long a daemon that did not serve is left alone, in milliseconds. */
const DELEGATE_BACKOFF_MS = 3000;

/** How much later a change may be heard of through another daemon than from the store, in milliseconds. */
export const WORST_LAG_MS = MAX_STORE_AGE_MS + DELEGATE_WAIT_MS + DELEGATE_TIMEOUT_MARGIN_MS;

/** What a change feed answers; `isPassedOn`: not by the store itself. */
export type FeedAnswer = WatchAnswer & { readonly isPassedOn: boolean };

/** Reads the store whole, and follows its changes. */
export interface ChangeFeed {
  list(prefix: string): ReturnType<CoordinationStore['list']>;
  /** Changes of all keys after a revision; waits for one for at most `waitMs` milliseconds. Rejects with StoreError. */
  watch(afterRevision: Revision, waitMs: number): Promise<FeedAnswer>;
}

/** What the feed needs. */
export interface ChangeFeedOptions {
  readonly store: CoordinationStore;
  readonly ownName: string;
  readonly zone: string;
  /** The daemons that follow the store for all; `null` when everybody does. */
  delegates(): readonly DaemonRecord[] | null;
  /** True when this daemon has to hear from the store itself, whoever else does. */
  mustBeDirect(): boolean;
  /** An item as this daemon's copy has it, or `null`. */
  held(key: string): StoredItem | null;
  /** Asks another daemon; `null` when it does not answer in time. */
  ask(
    record: DaemonRecord,
    afterRevision: Revision,
    waitMs: number,
    timeoutMs: number,
  ): Promise<PassedChanges | null>;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
  random(): number;
}

/** Follows the store itself, or through another daemon. */
export class DelegatedFeed implements ChangeFeed {
  readonly #backoffUntilMs = new Map<string, number>();
  /** The daemon that was asked last. */
  #source: string | null = null;

  constructor(private readonly options: ChangeFeedOptions) {}

  list(prefix: string): ReturnType<CoordinationStore['list']> {
    return this.options.store.list(prefix);
  }

  async watch(afterRevision: Revision, waitMs: number): Promise<FeedAnswer> {
    const delegates = this.options.delegates();
    const source = this.#chooseSource(delegates);
    this.#setSource(source);
    if (source !== null) {
      const answer = await this.#watchThrough(source, afterRevision, Math.min(waitMs, DELEGATE_WAIT_MS));
      if (answer !== null) return answer;
      this.#backoffUntilMs.set(processKey(source), this.options.now() + DELEGATE_BACKOFF_MS);
    }
    const isDelegate = delegates?.some(({ name }) => name === this.options.ownName) === true;
    const answer = await this.options.store.watch(
      '',
      afterRevision,
      isDelegate ? Math.min(waitMs, DELEGATE_MAX_WATCH_MS) : waitMs,
    );
    return { ...answer, isPassedOn: false };
  }

  /** The daemon to ask, or `null` when the store is to be asked itself. */
  #chooseSource(delegates: readonly DaemonRecord[] | null): DaemonRecord | null {
    const { options } = this;
    if (delegates === null || options.mustBeDirect()) return null;
    if (delegates.some(({ name }) => name === options.ownName)) return null;
    const now = options.now();
    const usable = delegates.filter(
      (record) => record.zone === options.zone && now >= (this.#backoffUntilMs.get(processKey(record)) ?? 0),
    );
    const current = usable.find((record) => processKey(record) === this.#source);
    return current ?? usable[Math.floor(options.random() * usable.length)] ?? null;
  }

  #setSource(source: DaemonRecord | null): void {
    const key = source === null ? null : processKey(source);
    if (key === this.#source) return;
    this.#source = key;
    this.options.log('changes_from', { source: source === null ? 'store' : source.name });
  }

  /** What another daemon tells, or `null` when it cannot serve. */
  async #watchThrough(
    source: DaemonRecord,
    afterRevision: Revision,
    waitMs: number,
  ): Promise<FeedAnswer | null> {
    const answer = await this.options.ask(source, afterRevision, waitMs, waitMs + DELEGATE_TIMEOUT_MARGIN_MS);
    if (answer === null) return null;
    switch (answer.kind) {
      case 'unavailable':
        return null;
      case 'forgotten':
        return { kind: 'compacted', isPassedOn: true };
      case 'changes': {
        if (answer.ageMs > MAX_STORE_AGE_MS) return null;
        const events = await this.#toEvents(answer.changes, answer.revision.era);
        return { kind: 'events', events, revision: answer.revision, isPassedOn: true };
      }
    }
  }

  /** In order: a change may be told as the difference to the one before it. */
  async #toEvents(changes: readonly RelayedChange[], era: number): Promise<readonly StoreEvent[]> {
    const events: StoreEvent[] = [];
    const latest = new Map<string, StoreEvent>();
    for (const change of changes) {
      const event = await this.#toEvent(change, era, latest.get(change.key) ?? this.options.held(change.key));
      latest.set(event.key, event);
      events.push(event);
    }
    return events;
  }

  async #toEvent(
    { key, number, content }: RelayedChange,
    era: number,
    previous: StoreEvent | null,
  ): Promise<StoreEvent> {
    const revision = { era, number };
    switch (content.kind) {
      case 'value':
        return { key, revision, value: content.value };
      case 'gone':
        return { key, revision, value: null };
      case 'delta': {
        const { baseNumber, delta } = content;
        if (
          previous === null ||
          previous.value === null ||
          !isSameRevision(previous.revision, { era, number: baseNumber })
        )
          return this.#readFromStore(key, revision);
        return { key, revision, value: applyDelta(previous.value, delta) };
      }
      case 'large':
        return this.#readFromStore(key, revision);
    }
  }

  /** The newest value, from the store. */
  async #readFromStore(key: string, revision: Revision): Promise<StoreEvent> {
    const item = await this.options.store.read(key);
    return item ?? { key, revision, value: null };
  }
}

function processKey(record: DaemonRecord): string {
  return `${record.name} ${record.life}`;
}
