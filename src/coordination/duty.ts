/**
 * The record of this daemon in the store, and the duty of promoting: one holder at a time, with a fence that
 * rises with each holder.
 *
 * The record stays until the daemon stops or starts anew, so that whoever promotes knows all who may hold evidence,
 * also those that the store has not heard of for long. That the daemon lives stands under a lease; the duty stands under a
 * shorter one, since nobody is promoted while its holder is gone and its lease runs. The holder trusts its lease only for
 * its length after the last renewal was sent, by its own monotonic clock: one that was frozen, or cut off, knows that it
 * may have been followed.
 *
 * @packageDocumentation
 */
import { ChangeSignal, delay } from '../common/signal.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import {
  DutyHistory,
  type DutyHolder,
  type DutySight,
  formatDutyRecord,
  DUTY_LEASE,
  nextFence,
  presentRecord,
  readDutyRecord,
  readFence,
  type DutyRecord,
} from './duty-record.js';
import {
  accept,
  COORDINATION_PREFIX,
  DAEMON_PREFIX,
  LIVE_PREFIX,
  readRegistration,
} from './daemon-register.js';
import { untoldFaults } from './entry-faults.js';
import { type CoordinationStore, StoreError, type StoredItem } from './coordination-store.js';
import { isLater, isSameRevision, laterOf, NO_REVISION, type Revision } from './revision.js';
import { StoreLease, type LeaseTimes } from './store-lease.js';

/** Keys in the store. */
const DUTY_KEY = `${COORDINATION_PREFIX}duty`;
const FENCE_KEY = `${COORDINATION_PREFIX}fence`;

/**
 * Times of the lease under which a daemon is said to live. Whoever meets a daemon that is gone finds out by itself, so the
 * lease need not be short; each renewal is priced, and there is one for each daemon.
 */
const LIFE_LEASE: LeaseTimes = { lengthMs: 6000, safetyMs: 250, renewalMs: 2000 };
/**
 * Time between attempts to keep the lease while the store does not answer, in milliseconds: doubled from the first to the
 * second with each failure in a row, and over once the store is heard of again. A daemon that was never registered keeps to
 * the first.
 */
const RETRY_MS = 200;
const LAST_RETRY_MS = 2000;
/** Least time between two attempts to keep the lease, in milliseconds. */
const LEAST_REST_MS = 200;
/** Longest wait for the sight of the duty's record, in milliseconds: an answer that is lost must not use up the lease. */
const CONFIRM_MS = 400;
/**
 * Time from the first sight of a new era of the store until all daemons that reach it have registered again, in milliseconds: a renewal
 * and its longest spread, the longest pause before the next attempt, and the two calls.
 */
const REGISTERED_AGAIN_MS = 5000;
/** Time between attempts of the holder of the duty, in milliseconds. */
const HOLDER_RETRY_MS = 60;

/** A copy of the store, which may be behind. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoredItem>;
  /** Revision as of which the copy is. */
  readonly revision: Revision;
}

/** Who is told about the duty. */
export interface DutyListener {
  /** The store has this daemon's record. */
  registered(): void;
  taken(fence: number): void;
  lost(reason: string): void;
}

/** Keeps this daemon's lease, its record and, where it is free, the duty. */
export class Duty {
  readonly #life: StoreLease;
  readonly #lease: StoreLease;
  #isRegistered = false;
  #fence: number | null = null;
  /** Time from which this holder may act: no earlier one does any more. */
  #actsFromMs = 0;
  /** Until when the record as last written counts, by this daemon's clock. */
  #dutyUntilMs = Number.NEGATIVE_INFINITY;
  #dutyRevision = NO_REVISION;
  /** Revision of this daemon's last change: an older copy of the store says nothing of what it has. */
  #ownRevision = NO_REVISION;
  /** From when no earlier holder acts any more, as known when the duty was asked for. */
  #freeFromMs = Number.NEGATIVE_INFINITY;
  /** When the duty was last asked for. */
  #askedAtMs = Number.NEGATIVE_INFINITY;
  readonly #history = new DutyHistory();
  #isStopped = false;
  #isAcquiring = false;
  #awaitsTurn = false;
  /** Told when the record of this daemon's lease is gone, or the store answers again. */
  readonly #keepSoon = new ChangeSignal();
  #mustKeepSoon = false;
  /** The lease asked for before the store was read, while nobody has used it. */
  #granting: Promise<void> | null = null;

  constructor(
    private readonly store: CoordinationStore,
    private readonly self: DaemonRecord,
    private readonly copy: () => StoreCopy,
    private readonly listener: DutyListener,
    /** Whether the process of a former holder has certainly ended. */
    private readonly isEnded: (holder: DutyHolder) => Promise<boolean>,
    private readonly now: () => number,
    private readonly random: () => number,
    /** How long this daemon leaves a free duty to others before it asks for it, in milliseconds. */
    private readonly turnMs: () => number = () => 0,
    /** Told of records that cannot be read. */
    private readonly faults = untoldFaults(),
  ) {
    this.#life = new StoreLease(store, LIFE_LEASE, now);
    this.#lease = new StoreLease(store, DUTY_LEASE, now);
    store.era.onRise(() => this.#eraHasRisen());
  }

  /**
   * The fence while this daemon holds the duty for at least `reserveMs` milliseconds more and may act on it, or `null`.
   */
  heldFence(reserveMs: number): number | null {
    const now = this.now();
    return now >= this.#actsFromMs && now + reserveMs < this.#untilMs ? this.#fence : null;
  }

  /** True while this daemon has the duty, though it may have to wait before it acts. */
  get isHolder(): boolean {
    return this.#fence !== null && this.now() < this.#untilMs;
  }

  /** Since when and until when the duty is held, or `null` while it is not; monotonic milliseconds. */
  get held(): { readonly takenAtMs: number; readonly untilMs: number } | null {
    if (this.heldFence(0) === null) return null;
    return { takenAtMs: this.#actsFromMs, untilMs: this.#untilMs };
  }

  /**
   * True while the store may lack records of daemons that run: it has come back from a copy, and not all of them have had time to
   * register again.
   */
  get isRegisterBehind(): boolean {
    return this.#history.sinceNewEraMs(this.now()) < REGISTERED_AGAIN_MS;
  }

  /** Asks for a lease, so that it is there when {@link Duty.run} registers. */
  prepare(): void {
    this.#granting = this.#life.grant().catch(() => undefined);
  }

  /** Keeps the lease until {@link Duty.stop}. */
  async run(): Promise<void> {
    let failures = 0;
    while (!this.#isStopped) {
      const isKept = await this.#keep();
      failures = isKept ? 0 : failures + 1;
      if (isKept && !this.#isStopped) void this.#acquireInTurn();
      const pauseMs = isKept ? this.#life.times.renewalMs : this.#retryMs(failures);
      await this.#rest(pauseMs * (0.9 + this.random() * 0.2));
    }
  }

  /** The store answers again: the lease may have run out. */
  storeRegained(): void {
    this.#askToKeepSoon();
  }

  /** Waits for the next attempt, or less when there is a reason to make it soon. */
  async #rest(ms: number): Promise<void> {
    await delay(Math.min(ms, LEAST_REST_MS));
    if (!this.#mustKeepSoon && ms > LEAST_REST_MS) await this.#keepSoon.wait(ms - LEAST_REST_MS);
    this.#mustKeepSoon = false;
  }

  #askToKeepSoon(): void {
    this.#mustKeepSoon = true;
    this.#keepSoon.notify();
  }

  #retryMs(failures: number): number {
    if (isSameRevision(this.#ownRevision, NO_REVISION)) return RETRY_MS;
    return Math.min(LAST_RETRY_MS, RETRY_MS * 2 ** Math.min(failures - 1, 8));
  }

  /** Takes what the copy shows of the duty, before anything is decided by it. */
  look(): void {
    if (this.#isCopyOfThisEra()) this.#history.observe(this.#sight(), this.now());
  }

  /** The coordination keys have changed. */
  async keysChanged(): Promise<void> {
    if (!this.#isCopyOfThisEra()) return;
    this.look();
    const { items, revision } = this.copy();
    const sight = this.#sight();
    if (isLater(this.#ownRevision, revision)) return;
    const record = presentRecord(sight);
    if (record !== null && this.#isOurs(record)) this.#take(record.fence, sight.revision);
    else this.#lose(record?.state === 'held' ? `held by ${record.holder}` : 'the record is gone');
    if (!items.has(LIVE_PREFIX + this.self.name) || this.#isRecordSpoilt()) {
      this.#isRegistered = false;
      this.#askToKeepSoon();
    }
    if (record?.state !== 'held' && this.#isRegistered) await this.#acquireInTurn();
  }

  /** Gives up the duty and the record. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const fence = this.#fence;
    this.#lose('stopping');
    if (fence !== null) await this.#release(fence).catch(() => undefined);
    await Promise.all([this.#lease, this.#life].map((lease) => lease.end().catch(() => undefined)));
  }

  /** Keeps the lease of the duty, and looks at its record, while it is held with a fence. */
  async #hold(fence: number): Promise<void> {
    let isKept = true;
    for (;;) {
      await delay(isKept ? DUTY_LEASE.renewalMs : HOLDER_RETRY_MS);
      if (this.#fence !== fence || this.#isStopped) return;
      if (this.now() >= this.#untilMs) return this.#lose('the lease may have lapsed');
      isKept = await this.#renew();
    }
  }

  /** False when the store did not answer. */
  async #renew(): Promise<boolean> {
    try {
      if (await this.#lease.keep()) await this.#confirm();
      else this.#lose('the lease is over');
      return true;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      return false;
    }
  }

  async #keep(): Promise<boolean> {
    try {
      if (this.#granting !== null) {
        await this.#granting;
        this.#granting = null;
        if (this.#life.isHeld) return await this.#register();
      }
      if (await this.#life.keep()) return this.#isRegistered || (await this.#register());
      this.#isRegistered = false;
      await this.#life.grant();
      return await this.#register();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      return false;
    }
  }

  async #register(): Promise<boolean> {
    // Its number may be another's by now.
    if (!this.#life.isHeld) return false;
    const { name, life } = this.self;
    const puts = [
      { key: DAEMON_PREFIX + name, value: Buffer.from(JSON.stringify(this.self)), leaseId: 0 },
      { key: LIVE_PREFIX + name, value: Buffer.from(life), leaseId: this.#life.id },
    ];
    const answer = await this.store.transact({ conditions: [], puts, removes: [] });
    this.#isRegistered = answer.kind === 'done';
    if (answer.kind === 'done') {
      this.#ownRevision = laterOf(this.#ownRevision, answer.revision);
      this.listener.registered();
    }
    return this.#isRegistered;
  }

  /** Asks for the duty when it is this daemon's turn: whoever asks makes two calls of the store, and one is enough. */
  async #acquireInTurn(): Promise<void> {
    if (this.#awaitsTurn || !this.#mayAcquire()) return;
    const turnMs = this.turnMs();
    if (turnMs > 0) {
      this.#awaitsTurn = true;
      await delay(turnMs);
      this.#awaitsTurn = false;
    }
    await this.#acquire();
  }

  /** Takes the duty if nobody holds it, or if an earlier life of this very daemon did. */
  async #acquire(): Promise<void> {
    if (this.#isAcquiring || !this.#mayAcquire()) return;
    const sight = this.#sight();
    const record = presentRecord(sight);
    const endedLife = record?.state === 'held' ? record.life : this.self.life;
    this.#freeFromMs = this.#history.freeFromMs(endedLife);
    this.#isAcquiring = true;
    try {
      await this.#tryAcquire(sight);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
    } finally {
      this.#isAcquiring = false;
    }
  }

  /** True when this daemon does not hold the duty and, as far as it knows, nobody else does. */
  #mayAcquire(): boolean {
    if (this.#isStopped || this.#fence !== null || !this.#isRegistered) return false;
    if (!this.#isCopyOfThisEra()) return false;
    const record = presentRecord(this.#sight());
    return record?.state !== 'held' || record.holder === this.self.name;
  }

  async #tryAcquire(sight: DutySight): Promise<void> {
    await this.#lease.grant();
    const leaseId = this.#lease.id;
    this.#askedAtMs = this.now();
    if (!this.#isCopyOfThisEra() || !this.#lease.isHeld) return;
    const fenceItem = this.copy().items.get(FENCE_KEY) ?? null;
    const fence = nextFence(fenceItem, sight.record, this.#era);
    const answer = await this.store.transact({
      conditions: [
        { key: DUTY_KEY, revision: sight.revision },
        { key: FENCE_KEY, revision: fenceItem?.revision ?? NO_REVISION },
      ],
      puts: [
        { key: DUTY_KEY, value: formatDutyRecord(this.#heldRecord(fence)), leaseId },
        { key: FENCE_KEY, value: Buffer.from(String(fence)), leaseId: 0 },
      ],
      removes: [],
    });
    if (answer.kind !== 'done') this.#lease.drop();
    if (answer.kind !== 'done' || leaseId !== this.#lease.id || !this.#lease.isHeld) return;
    this.#take(fence, answer.revision);
  }

  /** Looks whether the record still stands: the lease alone does not show that it was taken away. */
  async #confirm(): Promise<void> {
    const sentAtMs = this.now();
    const item = await this.store.read(DUTY_KEY, CONFIRM_MS);
    const record = item === null ? null : this.#readDuty(item);
    if (record !== null && this.#isOurs(record)) this.#dutyUntilMs = this.#lease.trustedUntilMs(sentAtMs);
    else this.#lose('the record is gone');
  }

  /** Need not wait for an earlier holder whose process has ended. */
  async #hasten(fence: number): Promise<void> {
    const { holder, holderActsFromMs } = this.#history;
    if (holder === null || this.now() >= this.#actsFromMs) return;
    if (!(await this.isEnded(holder)) || this.#fence !== fence) return;
    this.#actsFromMs = Math.max(this.now(), holderActsFromMs);
  }

  /** Says that the duty is free: the next holder need not wait. */
  async #release(fence: number): Promise<void> {
    await this.store.transact({
      conditions: [{ key: DUTY_KEY, revision: this.#dutyRevision }],
      puts: [{ key: DUTY_KEY, value: formatDutyRecord(this.#releasedRecord(fence)), leaseId: 0 }],
      removes: [],
    });
  }

  #releasedRecord(fence: number): DutyRecord {
    const actsInMs = Math.max(0, Math.ceil(this.#actsFromMs - this.now()));
    return { state: 'released', fence, actsInMs, era: this.#era };
  }

  #heldRecord(fence: number): DutyRecord {
    const { name, life } = this.self;
    const actsFromMs = this.#fence === fence ? this.#actsFromMs : this.#freeFromMs;
    const actsInMs = Math.max(0, Math.ceil(actsFromMs - this.now()));
    return {
      state: 'held',
      holder: name,
      life,
      fence,
      leaseId: this.#lease.id,
      actsInMs,
      era: this.#era,
    };
  }

  get #untilMs(): number {
    return Math.min(this.#lease.untilMs, this.#dutyUntilMs);
  }

  /** The era of the copy. */
  get #era(): number {
    return this.copy().revision.era;
  }

  /** False while the store is known to have come back, and the copy has not been read again. */
  #isCopyOfThisEra(): boolean {
    return this.#era === this.store.era.current;
  }

  /** The store has come back from a copy: what was written since is gone, leases too, whose numbers may be given to others. */
  #eraHasRisen(): void {
    this.#lose('the store came back from a copy');
    this.#isRegistered = false;
    this.#askToKeepSoon();
  }

  /** A record that cannot be read says as little as one that is gone. */
  #sight(): DutySight {
    const { items } = this.copy();
    const duty = items.get(DUTY_KEY) ?? null;
    const fence = items.get(FENCE_KEY) ?? null;
    return {
      era: this.#era,
      record: duty === null ? null : this.#readDuty(duty),
      revision: duty?.revision ?? NO_REVISION,
      fence: fence === null ? 0 : accept('fence', fence, readFence(fence.value), this.faults),
    };
  }

  #readDuty(item: StoredItem): DutyRecord | null {
    return accept('duty', item, readDutyRecord(item.value), this.faults);
  }

  /** True when somebody has written over this daemon's record what cannot be read: whoever promotes would not know of it. */
  #isRecordSpoilt(): boolean {
    const item = this.copy().items.get(DAEMON_PREFIX + this.self.name);
    return item !== undefined && readRegistration(item).kind === 'unreadable';
  }

  #isOurs(record: DutyRecord): boolean {
    if (record.state !== 'held' || record.era !== this.#era || !this.#lease.isHeld) return false;
    return record.life === this.self.life && record.leaseId === this.#lease.id;
  }

  #take(fence: number, revision: Revision): void {
    this.#dutyRevision = laterOf(this.#dutyRevision, revision);
    this.#ownRevision = laterOf(this.#ownRevision, revision);
    if (this.#fence === fence || this.#isStopped) return;
    this.#dutyUntilMs = this.#lease.trustedUntilMs(this.#askedAtMs);
    if (this.now() >= this.#untilMs) return;
    this.#fence = fence;
    this.#actsFromMs = Math.max(this.#actsFromMs, this.now(), this.#freeFromMs);
    this.listener.taken(fence);
    void this.#hasten(fence);
    void this.#hold(fence);
  }

  #lose(reason: string): void {
    if (this.#fence === null) return;
    this.#fence = null;
    this.#dutyUntilMs = Number.NEGATIVE_INFINITY;
    this.listener.lost(reason);
  }
}
