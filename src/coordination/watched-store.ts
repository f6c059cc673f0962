/**
 * Maintains a local copy of all keys of the store: reads them once, then applies their changes from a single
 * watch that serves all listeners.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { FaultLog, errorName } from '../observability/fault-log.js';
import type { ChangeFeed, FeedResponse } from './change-feed.js';
import { ChangeLog } from './change-log.js';
import type { StoredItem, StoreEvent } from './coordination-store.js';
import { formatRevision, isLater, isSameRevision, laterOf, NO_REVISION, type Revision } from './revision.js';
import type { StoreEra } from './store-era.js';

/**
 * Listener for the keys under a prefix. If it throws, other listeners are still notified, and so is it of the
 * next change.
 */
export interface WatchedPrefixListener {
  /** A key was created or changed. Also called after a full read, for each key that differs from the copy. */
  changed(item: StoredItem): void;
  /** A key was deleted. */
  removed(key: string): void;
  /** Called after all changes of one response, when the copy is consistent as of one revision. */
  settled(): void;
  /** The store has stopped answering the watch, or answers again. */
  availability(isAvailable: boolean): void;
}

/** Longest wait of one watch, in milliseconds: bounds the time until a broken connection is detected. */
const MAX_WATCH_MS = 2500;

/**
 * Wait of the first watch after a failure, in milliseconds: short, to detect at once that the store answers
 * again.
 */
const WATCH_AFTER_FAILURE_MS = 1;

/**
 * Base of the backoff after failures, in milliseconds: doubled with each consecutive failure, up to the
 * maximum.
 */
const MIN_BACKOFF_MS = 40;
/**
 * Longest backoff of a daemon that has not loaded the store yet and cannot serve, and of one that serves from
 * its local copy, in milliseconds. The latter is longer because the store charges rejected calls like others.
 */
const MAX_BACKOFF_UNLOADED_MS = 400;
const MAX_BACKOFF_MS = 1000;
/** Increase of `MAX_BACKOFF_MS` for each further daemon, in milliseconds; at most doubles it. */
const BACKOFF_MS_PER_WATCHER = 10;

/**
 * Pause after a response with changes, in milliseconds. Changes tend to come in groups, and the next response
 * then returns the rest of the group at once. The store charges every call and reports each change to every
 * daemon, so the pause grows with the number of daemons. It is limited because daemons must not use different
 * configurations for long. There is no pause after relayed changes: the delegate has already batched them.
 */
const MIN_BATCHING_MS = 50;
const BATCHING_MS_PER_WATCHER = 2;
const MAX_BATCHING_MS = 180;

/**
 * Daemons spread full reads after the first over this time for each daemon, in milliseconds: a restore
 * affects all of them at once.
 */
const RELOAD_SPREAD_MS_PER_WATCHER = 5;

/** A longer key is truncated in the log, in characters. */
const MAX_LOGGED_KEY_LENGTH = 100;

const ALL_KEYS_PREFIX = '';

export interface WatchedStoreOptions {
  readonly feed: ChangeFeed;
  /** The era of the store, updated by any of its responses. */
  readonly era: StoreEra;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  /** An item was rejected because the copy has the same or a later revision of its key. */
  itemNotNewer?(): void;
  now(): number;
  random(): number;
  /** Waits for `ms` milliseconds; replaced in tests. */
  sleep?(ms: number): Promise<void>;
}

/** A local copy of the store, kept up to date by a single watch. */
export class WatchedStore {
  /** Recent changes received from the store, to be relayed to other daemons. */
  readonly changes = new ChangeLog();
  /** Number of daemons that watch the store, including this one. */
  watcherCount = 1;
  readonly #items = new Map<string, StoredItem>();
  readonly #listeners: { readonly prefix: string; readonly listener: WatchedPrefixListener }[] = [];
  readonly #faults: FaultLog;
  #prefetched: ReturnType<ChangeFeed['list']> | null = null;
  #revision: Revision | null = null;
  /** Abandons the watch in progress, after which the store is read again. */
  #abandonWatch: () => void = () => undefined;
  #isStopped = false;
  #isAvailable = true;
  #failures = 0;

  constructor(private readonly options: WatchedStoreOptions) {
    this.#faults = new FaultLog(options.log, options.now);
    options.era.onIncrease(() => this.#abandonWatch());
  }

  /** Registers a listener for the keys under a prefix; to be called before {@link WatchedStore.run}. */
  subscribe(prefix: string, listener: WatchedPrefixListener): void {
    this.#listeners.push({ prefix, listener });
  }

  /** Revision of the copy; {@link NO_REVISION} before it is loaded. */
  get revision(): Revision {
    return this.#revision ?? NO_REVISION;
  }

  get items(): ReadonlyMap<string, StoredItem> {
    return this.#items;
  }

  /** Starts reading the keys before {@link WatchedStore.run}, while the process is still starting up. */
  prefetch(): void {
    this.#prefetched = this.options.feed.list(ALL_KEYS_PREFIX);
    // `run` handles a failure; if it is never called, the rejection must not be reported as unhandled.
    this.#prefetched.catch(() => undefined);
  }

  /** Loads and watches the keys until {@link WatchedStore.stop}. */
  async run(): Promise<void> {
    let mustLoad = true;
    while (!this.#isStopped) {
      try {
        if (mustLoad) await this.#loadStaggered();
        mustLoad = !(await this.#applyNextChanges());
        this.#recordSuccess();
      } catch (error) {
        await this.#backOff(String(error));
      }
    }
  }

  /** Adds an item that was received by other means; ignored unless it is later than the item of the copy. */
  offer(item: StoredItem): void {
    this.#put(item);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Reads the store. Later reads are delayed at random, since all daemons may have to read it again at the
   * same time.
   */
  async #loadStaggered(): Promise<void> {
    const { sleep: rest = delay, random } = this.options;
    if (this.#revision !== null) await rest(random() * RELOAD_SPREAD_MS_PER_WATCHER * this.watcherCount);
    await this.#load();
  }

  async #load(): Promise<void> {
    const listing = this.#prefetched ?? this.options.feed.list(ALL_KEYS_PREFIX);
    this.#prefetched = null;
    const { items, revision } = await listing;
    // Keys that a restored store lacks need not have been deleted: report an outage first, so that listeners
    // treat the listing like the first one after an outage.
    if (this.#revision !== null) this.#recordReload(this.#revision, revision, items.length);
    const present = new Set(items.map((item) => item.key));
    for (const key of [...this.#items.keys()]) if (!present.has(key)) this.#remove(key, revision);
    for (const item of items) this.#put(item);
    this.#revision = revision;
    this.changes.restart(revision, this.options.now());
    for (const { prefix, listener } of this.#listeners)
      this.#notify(prefix, 'settled', () => listener.settled());
  }

  #recordReload(before: Revision, revision: Revision, itemCount: number): void {
    this.options.log('store_read', { revision: formatRevision(revision), items: itemCount });
    if (revision.era > before.era) this.#recordFailure('came back from a copy');
  }

  /** Performs one watch; false if the whole store has to be read again. */
  async #applyNextChanges(): Promise<boolean> {
    const waitMs = this.#failures > 0 ? WATCH_AFTER_FAILURE_MS : MAX_WATCH_MS;
    const afterRevision = this.revision;
    // The era may have increased while no watch was in progress, and a delegate may not know of it yet.
    if (afterRevision.era < this.options.era.current) return false;
    const answer = await this.#watch(afterRevision, waitMs);
    if (answer.kind === 'compacted') return false;
    const previousItems: (StoredItem | null)[] = [];
    for (const event of answer.events) {
      previousItems.push(this.#items.get(event.key) ?? null);
      if (event.value === null) this.#remove(event.key, event.revision);
      else this.#put({ key: event.key, value: event.value, revision: event.revision });
    }
    this.#revision = laterOf(afterRevision, answer.revision);
    if (answer.isPassedOn) this.changes.suspend();
    else
      this.changes.append(afterRevision, answer.events, answer.revision, this.options.now(), previousItems);
    this.#notifySettled(answer.events);
    const { sleep: rest = delay } = this.options;
    if (answer.events.length > 0 && !answer.isPassedOn) await rest(this.#batchingMs());
    return true;
  }

  /**
   * Watches until the response or an increase of the era: a watch that waits during a restore may be the last
   * to report it.
   */
  #watch(afterRevision: Revision, waitMs: number): Promise<FeedResponse> {
    const watching = this.options.feed.watch(afterRevision, waitMs);
    // A failure after the watch was abandoned must not be reported as an unhandled rejection.
    watching.catch(() => undefined);
    const abandoned = new Promise<FeedResponse>((resolve) => {
      this.#abandonWatch = () => resolve({ kind: 'compacted', isPassedOn: false });
    });
    return Promise.race([watching, abandoned]);
  }

  #batchingMs(): number {
    return Math.min(MAX_BATCHING_MS, MIN_BATCHING_MS + BATCHING_MS_PER_WATCHER * (this.watcherCount - 1));
  }

  #maxBackoffMs(): number {
    return MAX_BACKOFF_MS + Math.min(MAX_BACKOFF_MS, BACKOFF_MS_PER_WATCHER * (this.watcherCount - 1));
  }

  #notifySettled(events: readonly StoreEvent[]): void {
    for (const { prefix, listener } of this.#listeners)
      if (events.some(({ key }) => key.startsWith(prefix)))
        this.#notify(prefix, 'settled', () => listener.settled());
  }

  #put(item: StoredItem): void {
    const known = this.#items.get(item.key);
    if (known !== undefined && !isLater(item.revision, known.revision))
      return this.#reportNotNewer(known, item);
    this.#items.set(item.key, item);
    for (const { prefix, listener } of this.#listeners)
      if (item.key.startsWith(prefix)) this.#notify(prefix, 'changed', () => listener.changed(item));
  }

  /**
   * Reports an item that is rejected only because of its revision though it differs from the copy: this would
   * otherwise go unnoticed.
   */
  #reportNotNewer(known: StoredItem, { key, value, revision }: StoredItem): void {
    if (isSameRevision(known.revision, revision) && known.value.equals(value)) return;
    this.options.itemNotNewer?.();
    const details = { key: key.slice(0, MAX_LOGGED_KEY_LENGTH), held: formatRevision(known.revision) };
    this.#faults.report('item_not_newer', key, `revision ${formatRevision(revision)}`, details);
  }

  #remove(key: string, revision: Revision): void {
    const known = this.#items.get(key);
    if (known === undefined || isLater(known.revision, revision)) return;
    this.#items.delete(key);
    for (const { prefix, listener } of this.#listeners)
      if (key.startsWith(prefix)) this.#notify(prefix, 'removed', () => listener.removed(key));
  }

  #recordSuccess(): void {
    this.#failures = 0;
    if (this.#isAvailable) return;
    this.#isAvailable = true;
    this.#notifyAvailability('answers again');
  }

  #notifyAvailability(reason: string): void {
    this.options.log(this.#isAvailable ? 'store_regained' : 'store_lost', { reason });
    for (const { prefix, listener } of this.#listeners)
      this.#notify(prefix, 'availability', () => listener.availability(this.#isAvailable));
  }

  /** Calls a listener. Its exceptions are logged and not treated as a failure of the store. */
  #notify(prefix: string, callback: keyof WatchedPrefixListener, invoke: () => void): void {
    try {
      invoke();
    } catch (error) {
      this.#faults.report('listener_failed', `${prefix} ${callback}`, errorName(error), {
        prefix,
        call: callback,
      });
    }
  }

  #recordFailure(reason: string): void {
    this.#failures += 1;
    this.changes.suspend();
    if (!this.#isAvailable) return;
    this.#isAvailable = false;
    this.#notifyAvailability(reason);
  }

  async #backOff(reason: string): Promise<void> {
    this.#recordFailure(reason);
    const maxMs = this.#revision === null ? MAX_BACKOFF_UNLOADED_MS : this.#maxBackoffMs();
    const backoffMs = Math.min(maxMs, MIN_BACKOFF_MS * 2 ** Math.min(this.#failures, 10));
    const { sleep: rest = delay } = this.options;
    await rest(backoffMs * (0.5 + this.options.random() / 2));
  }
}
