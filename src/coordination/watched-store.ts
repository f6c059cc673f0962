/**
 * Keeps a copy of the store's keys: reads them once, then follows their changes, by one watch for all who want
 * to know.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { FaultLog, nameFault } from '../observability/fault-log.js';
import type { ChangeFeed, FeedAnswer } from './change-feed.js';
import { ChangeLog } from './change-log.js';
import type { StoredItem, StoreEvent } from './coordination-store.js';
import { formatRevision, isLater, isSameRevision, laterOf, NO_REVISION, type Revision } from './revision.js';
import type { StoreEra } from './store-era.js';

/** Who is told. One that throws is told of the next change all the same, and keeps nobody else from being told. */
export interface WatchedPrefixListener {
  /** A key has a value; also told for every key after each full read. */
  changed(item: StoredItem): void;
  /** A key is gone. */
  removed(key: string): void;
  /** All changes of one answer of the store have been told: the copy is as of one revision. */
  settled(): void;
  /** The store has stopped answering the watch, or answers again. */
  availability(isAvailable: boolean): void;
}

/** Longest wait of one watch, in milliseconds: bounds how long a cut connection goes unnoticed. */
const MAX_WATCH_MS = 2500;

/** Wait of the first watch after a failure, in milliseconds: shows soon that the store answers again. */
const WATCH_AFTER_FAILURE_MS = 1;

/** Pause after a failure, in milliseconds: doubled from the first to the longest with each failure in a row. */
const MIN_BACKOFF_MS = 40;
/**
 * Longest pause of a daemon that has read nothing yet, and cannot serve, and of one that goes on from memory: calls that the
 * store turns away are priced like others.
 */
const MAX_BACKOFF_UNLOADED_MS = 400;
const MAX_BACKOFF_MS = 1000;
/** The latter grows with the number of daemons, in milliseconds for each, up to twice its length. */
const BACKOFF_MS_PER_WATCHER = 10;

/**
 * Rest after an answer with changes, in milliseconds: a change seldom comes alone, and those that follow it are told
 * by one answer. The store prices every call, and each change is told to every daemon: so the rest grows with their
 * number, up to a limit: daemons are not to differ for long in what configuration they follow. What another daemon passes
 * on has rested there.
 */
const MIN_BATCHING_MS = 50;
const BATCHING_MS_PER_WATCHER = 2;
const MAX_BATCHING_MS = 180;

/** Time for each daemon within which all read the store whole again, in milliseconds: a return concerns all of them at once. */
const RELOAD_SPREAD_MS_PER_WATCHER = 5;

/** Characters of a key that a line shows. */
const MAX_LOGGED_KEY_LENGTH = 100;

/** Where changes are followed from. */
const ALL_KEYS_PREFIX = '';

/** What a copy needs. */
export interface WatchedStoreOptions {
  readonly feed: ChangeFeed;
  /** The era of the store, which any of its answers may tell. */
  readonly era: StoreEra;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  /** An item was not taken: a later one is held. */
  itemNotNewer?(): void;
  now(): number;
  random(): number;
  /** Waits, in milliseconds. */
  rest?(ms: number): Promise<void>;
}

/** A copy of the store, followed by one watch for all who listen. */
export class WatchedStore {
  /** What the store has told of late, for daemons that follow it through this one. */
  readonly changes = new ChangeLog();
  /** How many follow the store, this one included. */
  watchers = 1;
  readonly #items = new Map<string, StoredItem>();
  readonly #listeners: { readonly prefix: string; readonly listener: WatchedPrefixListener }[] = [];
  readonly #faults: FaultLog;
  #prefetched: ReturnType<ChangeFeed['list']> | null = null;
  #revision: Revision | null = null;
  /** Ends the present watch: the copy has to be read again. */
  #abandonWatch: () => void = () => undefined;
  #isStopped = false;
  #isAvailable = true;
  #failures = 0;

  constructor(private readonly options: WatchedStoreOptions) {
    this.#faults = new FaultLog(options.log, options.now);
    options.era.onRise(() => this.#abandonWatch());
  }

  /** Tells a listener of the keys under a prefix; to be called before {@link WatchedStore.run}. */
  subscribe(prefix: string, listener: WatchedPrefixListener): void {
    this.#listeners.push({ prefix, listener });
  }

  /** Revision as of which the copy is; {@link NO_REVISION} before it is loaded. */
  get revision(): Revision {
    return this.#revision ?? NO_REVISION;
  }

  /** The copy. */
  get items(): ReadonlyMap<string, StoredItem> {
    return this.#items;
  }

  /** Asks for the keys ahead of {@link WatchedStore.run}, while the process is still getting ready. */
  prefetch(): void {
    this.#prefetched = this.options.feed.list(ALL_KEYS_PREFIX);
    // Whoever runs the copy hears of a failure; nobody may do so.
    this.#prefetched.catch(() => undefined);
  }

  /** Follows the keys until {@link WatchedStore.stop}. */
  async run(): Promise<void> {
    let mustLoad = true;
    while (!this.#isStopped) {
      try {
        if (mustLoad) await this.#loadStaggered();
        mustLoad = !(await this.#follow());
        this.#recordSuccess();
      } catch (error) {
        await this.#backOff(String(error));
      }
    }
  }

  /** Takes an item that was heard of by another way; an older one than the copy's changes nothing. */
  offer(item: StoredItem): void {
    this.#put(item);
  }

  /** Stops following. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Reads the store; again, where it was read before: all daemons may have to then, and do so one after the other. */
  async #loadStaggered(): Promise<void> {
    const { rest = delay, random } = this.options;
    if (this.#revision !== null) await rest(random() * RELOAD_SPREAD_MS_PER_WATCHER * this.watchers);
    await this.#load();
  }

  async #load(): Promise<void> {
    const listing = this.#prefetched ?? this.options.feed.list(ALL_KEYS_PREFIX);
    this.#prefetched = null;
    const { items, revision } = await listing;
    // What the copy of the store lacks is not gone: listeners are to take it as the first word after an outage.
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

  /** One watch; false when everything has to be read again. */
  async #follow(): Promise<boolean> {
    const waitMs = this.#failures > 0 ? WATCH_AFTER_FAILURE_MS : MAX_WATCH_MS;
    const afterRevision = this.revision;
    // The rise may have been heard of while nothing was watched, and a daemon that passes changes on may not know of it yet.
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
    const { rest = delay } = this.options;
    if (answer.events.length > 0 && !answer.isPassedOn) await rest(this.#batchingMs());
    return true;
  }

  /** A watch that waits while the store comes back may be told of it last. */
  #watch(afterRevision: Revision, waitMs: number): Promise<FeedAnswer> {
    const watching = this.options.feed.watch(afterRevision, waitMs);
    // Nobody hears of a failure after the watch was given up.
    watching.catch(() => undefined);
    const abandoned = new Promise<FeedAnswer>((resolve) => {
      this.#abandonWatch = () => resolve({ kind: 'compacted', isPassedOn: false });
    });
    return Promise.race([watching, abandoned]);
  }

  #batchingMs(): number {
    return Math.min(MAX_BATCHING_MS, MIN_BATCHING_MS + BATCHING_MS_PER_WATCHER * (this.watchers - 1));
  }

  #maxBackoffMs(): number {
    return MAX_BACKOFF_MS + Math.min(MAX_BACKOFF_MS, BACKOFF_MS_PER_WATCHER * (this.watchers - 1));
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

  /** An item that differs from the one held is not taken for its revision alone: nobody else would tell. */
  #reportNotNewer(known: StoredItem, { key, value, revision }: StoredItem): void {
    if (isSameRevision(known.revision, revision) && known.value.equals(value)) return;
    this.options.itemNotNewer?.();
    const details = { key: key.slice(0, MAX_LOGGED_KEY_LENGTH), held: formatRevision(known.revision) };
    this.#faults.tell('item_not_newer', key, `revision ${formatRevision(revision)}`, details);
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

  /** A fault of a listener is not one of the store. */
  #notify(prefix: string, callback: keyof WatchedPrefixListener, notify: () => void): void {
    try {
      notify();
    } catch (error) {
      this.#faults.tell('listener_failed', `${prefix} ${callback}`, nameFault(error), {
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
    const { rest = delay } = this.options;
    await rest(backoffMs * (0.5 + this.options.random() / 2));
  }
}
