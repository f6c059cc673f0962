/**
 * Source of a daemon's updates: the store itself, or a delegate, which is a daemon of the same zone that
 * watches the store.
 *
 * The store limits and charges calls, so in a large cluster only a few delegates of each zone watch it, and
 * the other daemons request the changes from a delegate. A response states the age of the delegate's last
 * response from the store. A delegate that does not answer, or whose information is too old, is replaced by
 * another one or by the store for a while. Each daemon prefers one of the delegates, so that they share the
 * others' requests also after one of them was away.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import { type RelayResponse, MAX_STORE_AGE_MS } from './change-relay.js';
import type { RelayedChange } from './change-log.js';
import { isSameRevision, type Revision } from './revision.js';
import { applyDelta } from './value-delta.js';
import type { CoordinationStore, StoredItem, StoreEvent, WatchResponse } from './coordination-store.js';

/**
 * Time for which a delegate may hold a request open, and additional time allowed for its response, in
 * milliseconds.
 */
const DELEGATE_WAIT_MS = 700;
const DELEGATE_TIMEOUT_MARGIN_MS = 300;
/** Longest watch of a delegate, in milliseconds: bounds the age of the information that it relays. */
const DELEGATE_MAX_WATCH_MS = 1000;
/**
 * Time for which a delegate is not asked again after a failure, in milliseconds; doubles from the first to the second
 * value with each consecutive failure.
 */
const MIN_DELEGATE_BACKOFF_MS = 3000;
const MAX_DELEGATE_BACKOFF_MS = 24_000;

/**
 * Longest additional delay of a change that arrives through a delegate instead of the store, in milliseconds.
 */
export const MAX_RELAY_LAG_MS = MAX_STORE_AGE_MS + DELEGATE_WAIT_MS + DELEGATE_TIMEOUT_MARGIN_MS;

/** Response of a change feed. `isPassedOn`: it came from a delegate and not from the store. */
export type FeedResponse = WatchResponse & { readonly isPassedOn: boolean };

/** Reads the store and watches its changes. */
export interface ChangeFeed {
  list(prefix: string): ReturnType<CoordinationStore['list']>;
  /**
   * Changes of all keys after a revision; if there are none, waits for one for at most `waitMs` milliseconds.
   * Rejects with `StoreError`.
   */
  watch(afterRevision: Revision, waitMs: number): Promise<FeedResponse>;
}

/** The store and the delegates that a daemon receives changes from. */
export interface ChangeSources {
  readonly store: CoordinationStore;
  readonly ownName: string;
  readonly zone: string;
  /** The daemons that watch the store for the others; `null` if all daemons watch it. */
  delegates(): readonly DaemonRecord[] | null;
  /** True if this daemon has to watch the store itself, regardless of who the delegates are. */
  mustWatchStore(): boolean;
  /** An item of this daemon's local copy, or `null`. */
  localItem(key: string): StoredItem | null;
  /** Requests changes from a delegate; `null` if it does not answer in time. */
  askDelegate(
    record: DaemonRecord,
    afterRevision: Revision,
    waitMs: number,
    timeoutMs: number,
  ): Promise<RelayResponse | null>;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** Until when a delegate that has failed is not asked; times in milliseconds. */
interface Backoff {
  readonly untilMs: number;
  readonly durationMs: number;
}

/** Watches the store itself or through a delegate. */
export class DelegatedFeed implements ChangeFeed {
  readonly #backoffs = new Map<string, Backoff>();
  /** Process key of the delegate in use; `null` for the store. */
  #source: string | null = null;

  constructor(private readonly sources: ChangeSources) {}

  list(prefix: string): ReturnType<CoordinationStore['list']> {
    return this.sources.store.list(prefix);
  }

  async watch(afterRevision: Revision, waitMs: number): Promise<FeedResponse> {
    const delegates = this.sources.delegates();
    const source = this.#chooseSource(delegates);
    this.#setSource(source);
    if (source !== null) {
      const answer = await this.#watchThrough(source, afterRevision, Math.min(waitMs, DELEGATE_WAIT_MS));
      if (answer !== null) {
        this.#backoffs.delete(processKey(source));
        return answer;
      }
      this.#backOff(source);
    }
    const isDelegate = delegates?.some(({ name }) => name === this.sources.ownName) === true;
    const answer = await this.sources.store.watch(
      '',
      afterRevision,
      isDelegate ? Math.min(waitMs, DELEGATE_MAX_WATCH_MS) : waitMs,
    );
    return { ...answer, isPassedOn: false };
  }

  #backOff(source: DaemonRecord): void {
    const key = processKey(source);
    const earlierMs = this.#backoffs.get(key)?.durationMs ?? MIN_DELEGATE_BACKOFF_MS / 2;
    const durationMs = Math.min(MAX_DELEGATE_BACKOFF_MS, earlierMs * 2);
    this.#backoffs.set(key, { untilMs: this.sources.now() + durationMs, durationMs });
  }

  /** The delegate to ask, or `null` to watch the store itself: of those that are usable, the preferred one. */
  #chooseSource(delegates: readonly DaemonRecord[] | null): DaemonRecord | null {
    const { sources } = this;
    if (delegates === null || sources.mustWatchStore()) return null;
    if (delegates.some(({ name }) => name === sources.ownName)) return null;
    const now = sources.now();
    const usable = delegates.filter(
      (record) =>
        record.zone === sources.zone && now >= (this.#backoffs.get(processKey(record))?.untilMs ?? 0),
    );
    return preferredDaemons(sources.ownName, usable, 1)[0] ?? null;
  }

  #setSource(source: DaemonRecord | null): void {
    const key = source === null ? null : processKey(source);
    if (key === this.#source) return;
    this.#source = key;
    this.sources.log('changes_from', { source: source === null ? 'store' : source.name });
  }

  /** The response of a delegate, or `null` if it cannot serve the request. */
  async #watchThrough(
    source: DaemonRecord,
    afterRevision: Revision,
    waitMs: number,
  ): Promise<FeedResponse | null> {
    const answer = await this.sources.askDelegate(
      source,
      afterRevision,
      waitMs,
      waitMs + DELEGATE_TIMEOUT_MARGIN_MS,
    );
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

  /** Decodes in order: a change may be encoded as a delta against an earlier change of the same response. */
  async #toEvents(changes: readonly RelayedChange[], era: number): Promise<readonly StoreEvent[]> {
    const events: StoreEvent[] = [];
    const latest = new Map<string, StoreEvent>();
    for (const change of changes) {
      const event = await this.#toEvent(
        change,
        era,
        latest.get(change.key) ?? this.sources.localItem(change.key),
      );
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

  /** Reads the newest value from the store; it may be later than the relayed change. */
  async #readFromStore(key: string, revision: Revision): Promise<StoreEvent> {
    const item = await this.sources.store.read(key);
    return item ?? { key, revision, value: null };
  }
}

function processKey(record: DaemonRecord): string {
  return `${record.name} ${record.life}`;
}
