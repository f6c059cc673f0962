/**
 * The record of this daemon in the store, and the duty of promoting: one holder at a time, with a fence that
 * rises with each holder.
 *
 * The record stays until the daemon stops or starts anew, so that whoever promotes knows all who may hold evidence,
 * also those that the store has not heard of for long. That the daemon lives, and the duty, stand under a lease. The holder trusts its lease only for its length after the last renewal was sent,
 * by its own monotonic clock: one that was frozen, or cut off, knows that it may have been followed.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { type CoordinationStore, StoreError, type StoredItem } from './coordination-store.js';

/** Keys in the store. */
export const COORDINATION_PREFIX = 'sorrelladder/';
export const DAEMON_PREFIX = `${COORDINATION_PREFIX}daemons/`;
const LIVE_PREFIX = `${COORDINATION_PREFIX}live/`;
const DUTY_KEY = `${COORDINATION_PREFIX}duty`;
const FENCE_KEY = `${COORDINATION_PREFIX}fence`;

/** Length of the lease, in milliseconds. */
const LEASE_MS = 3000;
/** Time between renewals, in milliseconds. */
const RENEWAL_MS = 900;
/** The holder stops this long before the store may end its lease, in milliseconds. */
const SAFETY_MS = 250;
/** Time between attempts while the store does not answer, in milliseconds. */
const RETRY_MS = 200;

interface DutyRecord {
  readonly holder: string;
  readonly life: string;
  readonly fence: number;
  /** Lease under which the record stands: one of an earlier lease of the same daemon gives it nothing. */
  readonly leaseId: number;
}

/** The daemons as the store has them. */
export interface RegisteredDaemons {
  readonly registered: ReadonlyMap<string, DaemonRecord>;
  /** Names of those whose lease runs. */
  readonly leased: ReadonlySet<string>;
}

/** Reads the daemons out of the store's items. */
export function readDaemons(items: ReadonlyMap<string, StoredItem>): RegisteredDaemons {
  const registered = new Map<string, DaemonRecord>();
  const leased = new Set<string>();
  for (const [key, item] of items) {
    if (key.startsWith(LIVE_PREFIX)) leased.add(key.slice(LIVE_PREFIX.length));
    if (!key.startsWith(DAEMON_PREFIX)) continue;
    const record = JSON.parse(item.value.toString()) as DaemonRecord;
    registered.set(record.name, record);
  }
  return { registered, leased };
}

/** Who is told about the duty. */
export interface DutyListener {
  taken(fence: number): void;
  lost(reason: string): void;
}

/** Keeps this daemon's lease, its record and, where it is free, the duty. */
export class Duty {
  #leaseId = 0;
  #leaseUntilMs = Number.NEGATIVE_INFINITY;
  #isRegistered = false;
  #fence: number | null = null;
  #takenAtMs = 0;
  #isStopped = false;
  #isAcquiring = false;

  constructor(
    private readonly store: CoordinationStore,
    private readonly self: DaemonRecord,
    private readonly items: () => ReadonlyMap<string, StoredItem>,
    private readonly listener: DutyListener,
    private readonly now: () => number,
    private readonly random: () => number,
  ) {}

  /** The fence while this daemon holds the duty for at least `reserveMs` milliseconds more, or `null`. */
  heldFence(reserveMs: number): number | null {
    return this.#fence !== null && this.now() + reserveMs < this.#leaseUntilMs ? this.#fence : null;
  }

  /** Since when and until when the duty is held, or `null` while it is not; monotonic milliseconds. */
  get held(): { readonly takenAtMs: number; readonly untilMs: number } | null {
    if (this.heldFence(0) === null) return null;
    return { takenAtMs: this.#takenAtMs, untilMs: this.#leaseUntilMs };
  }

  /** Keeps the lease until {@link Duty.stop}. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isKept = await this.#keep();
      if (isKept && !this.#isStopped) await this.#acquire();
      await delay(isKept ? RENEWAL_MS * (0.9 + this.random() * 0.2) : RETRY_MS);
      this.#checkLapse();
    }
  }

  /** The coordination keys have changed. */
  async keysChanged(): Promise<void> {
    const duty = this.#dutyRecord();
    if (duty !== null && this.#isOurs(duty.record)) this.#take(duty.record.fence);
    else if (duty !== null && this.#fence !== null) this.#lose(`held by ${duty.record.holder}`);
    else if (duty === null && this.#isRegistered) await this.#acquire();
  }

  /** Gives up the duty and the record. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#lose('stopping');
    if (this.#leaseId !== 0) await this.store.endLease(this.#leaseId).catch(() => undefined);
  }

  #checkLapse(): void {
    if (this.#fence !== null && this.now() >= this.#leaseUntilMs) this.#lose('the lease may have lapsed');
  }

  async #keep(): Promise<boolean> {
    const sentAtMs = this.now();
    try {
      if (this.#leaseId !== 0 && (await this.store.keepLease(this.#leaseId))) {
        this.#leaseUntilMs = sentAtMs + LEASE_MS - SAFETY_MS;
        return this.#isRegistered || (await this.#register());
      }
      if (this.#leaseId !== 0) this.#lose('the lease is over');
      this.#isRegistered = false;
      const lease = await this.store.grantLease(LEASE_MS);
      this.#leaseId = lease.leaseId;
      this.#leaseUntilMs = sentAtMs + lease.ttlMs - SAFETY_MS;
      return await this.#register();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      return false;
    }
  }

  async #register(): Promise<boolean> {
    const { name, life } = this.self;
    const puts = [
      { key: DAEMON_PREFIX + name, value: Buffer.from(JSON.stringify(this.self)), leaseId: 0 },
      { key: LIVE_PREFIX + name, value: Buffer.from(life), leaseId: this.#leaseId },
    ];
    const answer = await this.store.transact({ conditions: [], puts, removes: [] });
    this.#isRegistered = answer.kind === 'done';
    return this.#isRegistered;
  }

  /** Takes the duty if nobody holds it, or if an earlier life of this very daemon did. */
  async #acquire(): Promise<void> {
    if (this.#isAcquiring || this.#isStopped || this.#fence !== null || this.#leaseId === 0) return;
    const duty = this.#dutyRecord();
    if (duty !== null && duty.record.holder !== this.self.name) return;
    this.#isAcquiring = true;
    try {
      await this.#tryAcquire(duty?.revision ?? 0);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
    } finally {
      this.#isAcquiring = false;
    }
  }

  async #tryAcquire(dutyRevision: number): Promise<void> {
    const leaseId = this.#leaseId;
    const fenceItem = this.items().get(FENCE_KEY);
    const fence = (fenceItem === undefined ? 0 : Number(fenceItem.value.toString())) + 1;
    const record: DutyRecord = { holder: this.self.name, life: this.self.life, fence, leaseId };
    const answer = await this.store.transact({
      conditions: [
        { key: DUTY_KEY, revision: dutyRevision },
        { key: FENCE_KEY, revision: fenceItem?.revision ?? 0 },
      ],
      puts: [
        { key: DUTY_KEY, value: Buffer.from(JSON.stringify(record)), leaseId },
        { key: FENCE_KEY, value: Buffer.from(String(fence)), leaseId: 0 },
      ],
      removes: [],
    });
    if (answer.kind === 'done' && leaseId === this.#leaseId) this.#take(fence);
    if (answer.kind === 'no_lease') this.#leaseId = 0;
  }

  #dutyRecord(): { record: DutyRecord; revision: number } | null {
    const item = this.items().get(DUTY_KEY);
    if (item === undefined) return null;
    return { record: JSON.parse(item.value.toString()) as DutyRecord, revision: item.revision };
  }

  #isOurs(record: DutyRecord): boolean {
    return record.life === this.self.life && record.leaseId === this.#leaseId;
  }

  #take(fence: number): void {
    if (this.#fence === fence || this.#isStopped || this.now() >= this.#leaseUntilMs) return;
    this.#fence = fence;
    this.#takenAtMs = this.now();
    this.listener.taken(fence);
  }

  #lose(reason: string): void {
    if (this.#fence === null) return;
    this.#fence = null;
    this.listener.lost(reason);
  }
}
