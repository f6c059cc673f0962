/**
 * Keeps a copy of all keys under a prefix: reads them once, then follows their changes.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { CoordinationStore, StoredItem } from './coordination-store.js';

/** Who is told. */
export interface WatchedPrefixListener {
  /** A key has a value; also told for every key after each full read. */
  changed(item: StoredItem): void;
  /** A key is gone. */
  removed(key: string): void;
  /** All changes of one answer of the store have been told: the copy is as of one revision. */
  settled(): void;
  /** The store has stopped answering this watch, or answers again. */
  availability(isAvailable: boolean, reason: string): void;
}

/** Longest wait of one watch, in milliseconds: bounds how long a cut connection goes unnoticed. */
const WATCH_MS = 2500;

/** Pause after a failure, in milliseconds: doubled from the first to the second with each failure in a row. */
const FIRST_PAUSE_MS = 40;
const LAST_PAUSE_MS = 400;

/** A copy of the keys under a prefix. */
export class WatchedPrefix {
  readonly #items = new Map<string, StoredItem>();
  #revision: number | null = null;
  #isStopped = false;
  #isAvailable = true;
  #failures = 0;

  constructor(
    private readonly store: CoordinationStore,
    private readonly prefix: string,
    private readonly listener: WatchedPrefixListener,
    private readonly random: () => number,
  ) {}

  /** True once all keys have been read. */
  get isLoaded(): boolean {
    return this.#revision !== null;
  }

  /** True while the store answers this watch. */
  get isAvailable(): boolean {
    return this.#isAvailable;
  }

  /** The copy. */
  get items(): ReadonlyMap<string, StoredItem> {
    return this.#items;
  }

  /** Follows the keys until {@link WatchedPrefix.stop}. */
  async run(): Promise<void> {
    let mustLoad = true;
    while (!this.#isStopped) {
      try {
        if (mustLoad) await this.#load();
        mustLoad = !(await this.#follow());
        this.#succeeded();
      } catch (error) {
        await this.#failed(String(error));
      }
    }
  }

  /** Stops following. */
  stop(): void {
    this.#isStopped = true;
  }

  async #load(): Promise<void> {
    const { items, revision } = await this.store.list(this.prefix);
    const present = new Set(items.map((item) => item.key));
    for (const key of [...this.#items.keys()]) if (!present.has(key)) this.#remove(key);
    for (const item of items) this.#put(item);
    this.#revision = revision;
    this.listener.settled();
  }

  /** One watch; false when everything has to be read again. */
  async #follow(): Promise<boolean> {
    const answer = await this.store.watch(this.prefix, this.#revision ?? 0, WATCH_MS);
    if (answer.kind === 'compacted') return false;
    for (const event of answer.events) {
      if (event.value === null) this.#remove(event.key);
      else this.#put({ key: event.key, value: event.value, revision: event.revision });
    }
    this.#revision = Math.max(this.#revision ?? 0, answer.revision);
    if (answer.events.length > 0) this.listener.settled();
    return true;
  }

  #put(item: StoredItem): void {
    const known = this.#items.get(item.key);
    if (known !== undefined && known.revision >= item.revision) return;
    this.#items.set(item.key, item);
    this.listener.changed(item);
  }

  #remove(key: string): void {
    if (this.#items.delete(key)) this.listener.removed(key);
  }

  #succeeded(): void {
    this.#failures = 0;
    if (this.#isAvailable) return;
    this.#isAvailable = true;
    this.listener.availability(true, 'answers again');
  }

  async #failed(reason: string): Promise<void> {
    this.#failures += 1;
    if (this.#isAvailable) {
      this.#isAvailable = false;
      this.listener.availability(false, reason);
    }
    const ceiling = Math.min(LAST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(this.#failures, 10));
    await delay(ceiling * (0.5 + this.random() / 2));
  }
}
