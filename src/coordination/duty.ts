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
  valueOrReport,
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
const LIVENESS_LEASE: LeaseTimes = { lengthMs: 6000, safetyMs: 250, renewalMs: 2000 };
/**
 * Time between attempts to keep the lease while the store does not answer, in milliseconds: doubled from the first to the
 * second with each failure in a row, and over once the store is heard of again. A daemon that was never registered keeps to
 * the first.
 */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 2000;
/** Least time between two attempts to keep the lease, in milliseconds. */
const MIN_RENEWAL_GAP_MS = 200;
/** Longest wait for the sight of the duty's record, in milliseconds: an answer that is lost must not use up the lease. */
const CONFIRM_TIMEOUT_MS = 400;
/**
 * Time from the first sight of a new era of the store until all daemons that reach it have registered again, in milliseconds: a renewal
 * and its longest spread, the longest pause before the next attempt, and the two calls.
 */
const REREGISTRATION_MS = 5000;
/** Time between attempts of the holder of the duty, in milliseconds. */
const DUTY_RENEWAL_RETRY_MS = 60;

/** A copy of the store, which may be behind. */
export interface LocalCopy {
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
  readonly #livenessLease: StoreLease;
  readonly #dutyLease: StoreLease;
  #isRegistered = false;
  #fence: number | null = null;
  /** Time from which this holder may act: no earlier one does any more. */
  #actsFromMs = 0;
  /** Until when the record as last written counts, by this daemon's clock. */
  #recordTrustedUntilMs = Number.NEGATIVE_INFINITY;
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
  #isAcquisitionDelayed = false;
  /** Told when the record of this daemon's lease is gone, or the store answers again. */
  readonly #renewalRequest = new ChangeSignal();
  #isRenewalRequested = false;
  /** The lease asked for before the store was read, while nobody has used it. */
  #pendingGrant: Promise<void> | null = null;

  constructor(
    private readonly store: CoordinationStore,
    private readonly self: DaemonRecord,
    private readonly localCopy: () => LocalCopy,
    private readonly listener: DutyListener,
    /** Whether the process of a former holder has certainly ended. */
    private readonly isEnded: (holder: DutyHolder) => Promise<boolean>,
    private readonly now: () => number,
    private readonly random: () => number,
    /** How long this daemon leaves a free duty to others before it asks for it, in milliseconds. */
    private readonly acquisitionDelayMs: () => number = () => 0,
    /** Told of records that cannot be read. */
    private readonly faults = untoldFaults(),
  ) {
    this.#livenessLease = new StoreLease(store, LIVENESS_LEASE, now);
    this.#dutyLease = new StoreLease(store, DUTY_LEASE, now);
    store.era.onRise(() => this.#onEraIncrease());
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
    return this.#history.sinceNewEraMs(this.now()) < REREGISTRATION_MS;
  }

  /** Asks for a lease, so that it is there when {@link Duty.run} registers. */
  prepare(): void {
    this.#pendingGrant = this.#livenessLease.grant().catch(() => undefined);
  }

  /** Keeps the lease until {@link Duty.stop}. */
  async run(): Promise<void> {
    let failures = 0;
    while (!this.#isStopped) {
      const isRegistered = await this.#renewRegistration();
      failures = isRegistered ? 0 : failures + 1;
      if (isRegistered && !this.#isStopped) void this.#acquireAfterDelay();
      const pauseMs = isRegistered ? this.#livenessLease.times.renewalMs : this.#backoffMs(failures);
      await this.#waitForNextRenewal(pauseMs * (0.9 + this.random() * 0.2));
    }
  }

  /** The store answers again: the lease may have run out. */
  storeRegained(): void {
    this.#requestRenewal();
  }

  /** Waits for the next attempt, or less when there is a reason to make it soon. */
  async #waitForNextRenewal(ms: number): Promise<void> {
    await delay(Math.min(ms, MIN_RENEWAL_GAP_MS));
    if (!this.#isRenewalRequested && ms > MIN_RENEWAL_GAP_MS)
      await this.#renewalRequest.wait(ms - MIN_RENEWAL_GAP_MS);
    this.#isRenewalRequested = false;
  }

  #requestRenewal(): void {
    this.#isRenewalRequested = true;
    this.#renewalRequest.notify();
  }

  #backoffMs(failures: number): number {
    if (isSameRevision(this.#ownRevision, NO_REVISION)) return MIN_RETRY_MS;
    return Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** Math.min(failures - 1, 8));
  }

  /** Takes what the copy shows of the duty, before anything is decided by it. */
  look(): void {
    if (this.#isCopyOfCurrentEra()) this.#history.observe(this.#observeCopy(), this.now());
  }

  /** The coordination keys have changed. */
  async keysChanged(): Promise<void> {
    if (!this.#isCopyOfCurrentEra()) return;
    this.look();
    const { items, revision } = this.localCopy();
    const observation = this.#observeCopy();
    if (isLater(this.#ownRevision, revision)) return;
    const record = presentRecord(observation);
    if (record !== null && this.#isOurs(record)) this.#becomeHolder(record.fence, observation.revision);
    else this.#loseDuty(record?.state === 'held' ? `held by ${record.holder}` : 'the record is gone');
    if (!items.has(LIVE_PREFIX + this.self.name) || this.#isRegistrationUnreadable()) {
      this.#isRegistered = false;
      this.#requestRenewal();
    }
    if (record?.state !== 'held' && this.#isRegistered) await this.#acquireAfterDelay();
  }

  /** Gives up the duty and the record. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const fence = this.#fence;
    this.#loseDuty('stopping');
    if (fence !== null) await this.#release(fence).catch(() => undefined);
    await Promise.all(
      [this.#dutyLease, this.#livenessLease].map((lease) => lease.revoke().catch(() => undefined)),
    );
  }

  /** Keeps the lease of the duty, and looks at its record, while it is held with a fence. */
  async #renewWhileHeld(fence: number): Promise<void> {
    let isStoreAnswering = true;
    for (;;) {
      await delay(isStoreAnswering ? DUTY_LEASE.renewalMs : DUTY_RENEWAL_RETRY_MS);
      if (this.#fence !== fence || this.#isStopped) return;
      if (this.now() >= this.#untilMs) return this.#loseDuty('the lease may have lapsed');
      isStoreAnswering = await this.#renewDutyLease();
    }
  }

  /** False when the store did not answer. */
  async #renewDutyLease(): Promise<boolean> {
    try {
      if (await this.#dutyLease.renew()) await this.#confirmRecord();
      else this.#loseDuty('the lease is over');
      return true;
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      return false;
    }
  }

  async #renewRegistration(): Promise<boolean> {
    try {
      if (this.#pendingGrant !== null) {
        await this.#pendingGrant;
        this.#pendingGrant = null;
        if (this.#livenessLease.isHeld) return await this.#register();
      }
      if (await this.#livenessLease.renew()) return this.#isRegistered || (await this.#register());
      this.#isRegistered = false;
      await this.#livenessLease.grant();
      return await this.#register();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      return false;
    }
  }

  async #register(): Promise<boolean> {
    // Its number may be another's by now.
    if (!this.#livenessLease.isHeld) return false;
    const { name, life } = this.self;
    const puts = [
      { key: DAEMON_PREFIX + name, value: Buffer.from(JSON.stringify(this.self)), leaseId: 0 },
      { key: LIVE_PREFIX + name, value: Buffer.from(life), leaseId: this.#livenessLease.id },
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
  async #acquireAfterDelay(): Promise<void> {
    if (this.#isAcquisitionDelayed || !this.#mayAcquire()) return;
    const delayMs = this.acquisitionDelayMs();
    if (delayMs > 0) {
      this.#isAcquisitionDelayed = true;
      await delay(delayMs);
      this.#isAcquisitionDelayed = false;
    }
    await this.#acquire();
  }

  /** Takes the duty if nobody holds it, or if an earlier life of this very daemon did. */
  async #acquire(): Promise<void> {
    if (this.#isAcquiring || !this.#mayAcquire()) return;
    const observation = this.#observeCopy();
    const record = presentRecord(observation);
    const endedLife = record?.state === 'held' ? record.life : this.self.life;
    this.#freeFromMs = this.#history.freeFromMs(endedLife);
    this.#isAcquiring = true;
    try {
      await this.#tryAcquire(observation);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
    } finally {
      this.#isAcquiring = false;
    }
  }

  /** True when this daemon does not hold the duty and, as far as it knows, nobody else does. */
  #mayAcquire(): boolean {
    if (this.#isStopped || this.#fence !== null || !this.#isRegistered) return false;
    if (!this.#isCopyOfCurrentEra()) return false;
    const record = presentRecord(this.#observeCopy());
    return record?.state !== 'held' || record.holder === this.self.name;
  }

  async #tryAcquire(observation: DutySight): Promise<void> {
    await this.#dutyLease.grant();
    const leaseId = this.#dutyLease.id;
    this.#askedAtMs = this.now();
    if (!this.#isCopyOfCurrentEra() || !this.#dutyLease.isHeld) return;
    const fenceItem = this.localCopy().items.get(FENCE_KEY) ?? null;
    const fence = nextFence(fenceItem, observation.record, this.#era);
    const answer = await this.store.transact({
      conditions: [
        { key: DUTY_KEY, revision: observation.revision },
        { key: FENCE_KEY, revision: fenceItem?.revision ?? NO_REVISION },
      ],
      puts: [
        { key: DUTY_KEY, value: formatDutyRecord(this.#heldRecord(fence)), leaseId },
        { key: FENCE_KEY, value: Buffer.from(String(fence)), leaseId: 0 },
      ],
      removes: [],
    });
    if (answer.kind !== 'done') this.#dutyLease.forget();
    if (answer.kind !== 'done' || leaseId !== this.#dutyLease.id || !this.#dutyLease.isHeld) return;
    this.#becomeHolder(fence, answer.revision);
  }

  /** Looks whether the record still stands: the lease alone does not show that it was taken away. */
  async #confirmRecord(): Promise<void> {
    const sentAtMs = this.now();
    const item = await this.store.read(DUTY_KEY, CONFIRM_TIMEOUT_MS);
    const record = item === null ? null : this.#readDuty(item);
    if (record !== null && this.#isOurs(record))
      this.#recordTrustedUntilMs = this.#dutyLease.trustedUntilMs(sentAtMs);
    else this.#loseDuty('the record is gone');
  }

  /** Need not wait for an earlier holder whose process has ended. */
  async #skipWaitIfHolderEnded(fence: number): Promise<void> {
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
      leaseId: this.#dutyLease.id,
      actsInMs,
      era: this.#era,
    };
  }

  get #untilMs(): number {
    return Math.min(this.#dutyLease.untilMs, this.#recordTrustedUntilMs);
  }

  /** The era of the copy. */
  get #era(): number {
    return this.localCopy().revision.era;
  }

  /** False while the store is known to have come back, and the copy has not been read again. */
  #isCopyOfCurrentEra(): boolean {
    return this.#era === this.store.era.current;
  }

  /** The store has come back from a copy: what was written since is gone, leases too, whose numbers may be given to others. */
  #onEraIncrease(): void {
    this.#loseDuty('the store came back from a copy');
    this.#isRegistered = false;
    this.#requestRenewal();
  }

  /** A record that cannot be read says as little as one that is gone. */
  #observeCopy(): DutySight {
    const { items } = this.localCopy();
    const duty = items.get(DUTY_KEY) ?? null;
    const fence = items.get(FENCE_KEY) ?? null;
    return {
      era: this.#era,
      record: duty === null ? null : this.#readDuty(duty),
      revision: duty?.revision ?? NO_REVISION,
      fence: fence === null ? 0 : valueOrReport('fence', fence, readFence(fence.value), this.faults),
    };
  }

  #readDuty(item: StoredItem): DutyRecord | null {
    return valueOrReport('duty', item, readDutyRecord(item.value), this.faults);
  }

  /** True when somebody has written over this daemon's record what cannot be read: whoever promotes would not know of it. */
  #isRegistrationUnreadable(): boolean {
    const item = this.localCopy().items.get(DAEMON_PREFIX + this.self.name);
    return item !== undefined && readRegistration(item).kind === 'unreadable';
  }

  #isOurs(record: DutyRecord): boolean {
    if (record.state !== 'held' || record.era !== this.#era || !this.#dutyLease.isHeld) return false;
    return record.life === this.self.life && record.leaseId === this.#dutyLease.id;
  }

  #becomeHolder(fence: number, revision: Revision): void {
    this.#dutyRevision = laterOf(this.#dutyRevision, revision);
    this.#ownRevision = laterOf(this.#ownRevision, revision);
    if (this.#fence === fence || this.#isStopped) return;
    this.#recordTrustedUntilMs = this.#dutyLease.trustedUntilMs(this.#askedAtMs);
    if (this.now() >= this.#untilMs) return;
    this.#fence = fence;
    this.#actsFromMs = Math.max(this.#actsFromMs, this.now(), this.#freeFromMs);
    this.listener.taken(fence);
    void this.#skipWaitIfHolderEnded(fence);
    void this.#renewWhileHeld(fence);
  }

  #loseDuty(reason: string): void {
    if (this.#fence === null) return;
    this.#fence = null;
    this.#recordTrustedUntilMs = Number.NEGATIVE_INFINITY;
    this.listener.lost(reason);
  }
}
