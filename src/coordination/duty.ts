/**
 * Registers this daemon in the store and acquires the promotion duty: the exclusive right to promote members,
 * with a fencing token (the fence) that increases with each holder.
 *
 * The record of a daemon has no lease and remains until a new process of the daemon overwrites it, so that
 * the holder of the duty knows all daemons that may hold leadership evidence, also those that have been
 * disconnected from the store for long. A second key under the liveness lease shows that the daemon is
 * running. The record of the duty is attached to a shorter lease, because no member is promoted between the
 * failure of the holder and the expiry of its lease. By its own monotonic clock, the holder relies on a lease
 * only for its duration after the last renewal was sent. A holder that was frozen or disconnected thereby
 * knows that another daemon may hold the duty.
 *
 * @packageDocumentation
 */
import { ChangeSignal, delay } from '../common/signal.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import {
  DutyHistory,
  type DutyHolder,
  type DutyObservation,
  formatDutyRecord,
  DUTY_LEASE,
  nextFence,
  currentRecord,
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
import { discardedFaults } from './entry-faults.js';
import { type CoordinationStore, StoreError, type StoredItem } from './coordination-store.js';
import { isLater, isSameRevision, laterOf, NO_REVISION, type Revision } from './revision.js';
import { StoreLease, type LeaseTimes } from './store-lease.js';

/** Keys in the store. */
const DUTY_KEY = `${COORDINATION_PREFIX}duty`;
const FENCE_KEY = `${COORDINATION_PREFIX}fence`;

/**
 * Times of the lease that shows that a daemon is running. It need not be short, since other daemons detect
 * the failure of a daemon on their own when they contact it. Each renewal is charged, and each daemon renews
 * such a lease.
 */
const LIVENESS_LEASE: LeaseTimes = { lengthMs: 6000, safetyMs: 250, renewalMs: 2000 };
/**
 * Shortest and longest time between attempts to renew the liveness lease while the store does not answer, in
 * milliseconds. The time doubles with each consecutive failure and ends early when the store answers again. A
 * daemon that has never registered always uses the shortest.
 */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 2000;
/** Shortest time between two renewals of the liveness lease, in milliseconds. */
const MIN_RENEWAL_GAP_MS = 200;
/**
 * Time-out of the read that confirms the record of the duty, in milliseconds: a lost response must not use up
 * the lease.
 */
const CONFIRM_TIMEOUT_MS = 400;
/**
 * Time from the first observation of a new era until all daemons that reach the store have registered again,
 * in milliseconds: a renewal interval with its jitter, the longest pause before the next attempt, and the two
 * calls.
 */
const REREGISTRATION_MS = 5000;
/** Time between attempts to renew the lease of the duty while the store does not answer, in milliseconds. */
const DUTY_RENEWAL_RETRY_MS = 60;

/** The local copy of the store, which may be out of date. */
export interface LocalCopy {
  readonly items: ReadonlyMap<string, StoredItem>;
  /** Revision of the copy. */
  readonly revision: Revision;
}

export interface DutyListener {
  /** The daemon was registered in the store. */
  registered(): void;
  taken(fence: number): void;
  lost(reason: string): void;
}

/** Maintains the registration of this daemon, and acquires and holds the duty when it is free. */
export class Duty {
  readonly #livenessLease: StoreLease;
  readonly #dutyLease: StoreLease;
  #isRegistered = false;
  #fence: number | null = null;
  /** Time from which this holder may act, since no earlier holder acts any more. */
  #actsFromMs = 0;
  /** Time until which this daemon relies on the record of the duty as last confirmed or written. */
  #recordTrustedUntilMs = Number.NEGATIVE_INFINITY;
  #dutyRevision = NO_REVISION;
  /** Revision of this daemon's last change. An earlier local copy does not show what this daemon holds. */
  #ownRevision = NO_REVISION;
  /** Time from which no earlier holder acts any more, as known at the last request for the duty. */
  #freeFromMs = Number.NEGATIVE_INFINITY;
  /** Time of the last request for the duty. */
  #askedAtMs = Number.NEGATIVE_INFINITY;
  readonly #history = new DutyHistory();
  /** The holder before this one that may still act, as known at the last request for the duty. */
  #formerHolder: { readonly holder: DutyHolder; readonly actsFromMs: number } | null = null;
  #isStopped = false;
  #isAcquiring = false;
  #isAcquisitionDelayed = false;
  /** Notified when the registration of this daemon was lost, or the store answers again. */
  readonly #renewalRequest = new ChangeSignal();
  #isRenewalRequested = false;
  /** Request for a liveness lease before the store was read, until the lease is used. */
  #pendingGrant: Promise<void> | null = null;

  constructor(
    private readonly store: CoordinationStore,
    private readonly self: DaemonRecord,
    private readonly localCopy: () => LocalCopy,
    private readonly listener: DutyListener,
    /** True if the process of a former holder is known to have ended. */
    private readonly isEnded: (holder: DutyHolder) => Promise<boolean>,
    private readonly now: () => number,
    private readonly random: () => number,
    /**
     * Time for which this daemon leaves a free duty to other daemons before it requests it, in milliseconds.
     */
    private readonly acquisitionDelayMs: () => number = () => 0,
    /** Reports records that cannot be read. */
    private readonly faults = discardedFaults(),
  ) {
    this.#livenessLease = new StoreLease(store, LIVENESS_LEASE, now);
    this.#dutyLease = new StoreLease(store, DUTY_LEASE, now);
    store.era.onIncrease(() => this.#onEraIncrease());
  }

  /**
   * The fence if this daemon may act on the duty now and holds it for more than `reserveMs` further
   * milliseconds, otherwise `null`.
   */
  heldFence(reserveMs: number): number | null {
    const now = this.now();
    return now >= this.#actsFromMs && now + reserveMs < this.#untilMs ? this.#fence : null;
  }

  /** True while this daemon holds the duty, though it may have to wait before it acts on it. */
  get isHolder(): boolean {
    return this.#fence !== null && this.now() < this.#untilMs;
  }

  /**
   * Times from and until which this daemon may act on the duty, in monotonic milliseconds; `null` if it may
   * not now.
   */
  get held(): { readonly takenAtMs: number; readonly untilMs: number } | null {
    if (this.heldFence(0) === null) return null;
    return { takenAtMs: this.#actsFromMs, untilMs: this.#untilMs };
  }

  /** A condition that the store fulfils as long as no other daemon has taken the duty; `null` without it. */
  get condition(): { readonly key: string; readonly revision: Revision } | null {
    return this.isHolder ? { key: DUTY_KEY, revision: this.#dutyRevision } : null;
  }

  /**
   * True while the store may lack records of running daemons, because it was restored from a backup and they
   * may not have registered again.
   */
  get isRegistryIncomplete(): boolean {
    return this.#history.sinceNewEraMs(this.now()) < REREGISTRATION_MS;
  }

  /** Requests the liveness lease ahead of {@link Duty.run}, which registers under it. */
  requestLivenessLease(): void {
    this.#pendingGrant = this.#livenessLease.grant().catch(() => undefined);
  }

  /** Renews the registration, and requests the duty when it is free, until {@link Duty.stop}. */
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

  /** To be called when the store answers again: the lease may have expired and is renewed at once. */
  storeRegained(): void {
    this.#requestRenewal();
  }

  /** Waits for the next renewal, which may be requested earlier. */
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

  /** Records the duty as shown by the local copy; to be called before any decision that depends on it. */
  observe(): void {
    if (this.#isCopyOfCurrentEra()) this.#history.observe(this.#observeCopy(), this.now());
  }

  /** To be called when the coordination keys have changed in the local copy. */
  async keysChanged(): Promise<void> {
    if (!this.#isCopyOfCurrentEra()) return;
    this.observe();
    const { items, revision } = this.localCopy();
    const observation = this.#observeCopy();
    if (isLater(this.#ownRevision, revision)) return;
    const record = currentRecord(observation);
    if (record !== null && this.#isOurs(record)) this.#becomeHolder(record.fence, observation.revision);
    else
      this.#loseDuty(
        record?.state === 'held' ? `held by ${record.holder}` : 'the duty record was deleted or replaced',
      );
    if (!items.has(LIVE_PREFIX + this.self.name) || this.#isRegistrationUnreadable()) {
      this.#isRegistered = false;
      this.#requestRenewal();
    }
    if (record?.state !== 'held' && this.#isRegistered) await this.#acquireAfterDelay();
  }

  /** Releases the duty and revokes both leases. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    const fence = this.#fence;
    this.#loseDuty('stopping');
    if (fence !== null) await this.#release(fence).catch(() => undefined);
    await Promise.all(
      [this.#dutyLease, this.#livenessLease].map((lease) => lease.revoke().catch(() => undefined)),
    );
  }

  /**
   * Renews the lease of the duty and confirms its record, while this daemon holds the duty with the given
   * fence.
   */
  async #renewWhileHeld(fence: number): Promise<void> {
    let isStoreAnswering = true;
    for (;;) {
      await delay(isStoreAnswering ? DUTY_LEASE.renewalMs : DUTY_RENEWAL_RETRY_MS);
      if (this.#fence !== fence || this.#isStopped) return;
      if (this.now() >= this.#untilMs) return this.#loseDuty('the duty lease may have expired');
      isStoreAnswering = await this.#renewDutyLease();
    }
  }

  /** False if the store did not answer. */
  async #renewDutyLease(): Promise<boolean> {
    try {
      if (await this.#dutyLease.renew()) await this.#confirmRecord();
      else this.#loseDuty('the duty lease has expired');
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
    // After a restore of the store, the id may belong to the lease of another daemon.
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

  /**
   * Requests the duty after this daemon's delay: a request takes two calls of the store, and one daemon is
   * enough.
   */
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

  /**
   * Requests the duty if it is free, or if it is held by this daemon's own name, as by an earlier process of
   * it.
   */
  async #acquire(): Promise<void> {
    if (this.#isAcquiring || !this.#mayAcquire()) return;
    const observation = this.#observeCopy();
    const record = currentRecord(observation);
    const endedLife = record?.state === 'held' ? record.life : this.self.life;
    this.#freeFromMs = this.#history.freeFromMs(endedLife);
    const { holder, holderActsFromMs } = this.#history;
    this.#formerHolder = holder === null ? null : { holder, actsFromMs: holderActsFromMs };
    this.#isAcquiring = true;
    try {
      await this.#tryAcquire(observation);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
    } finally {
      this.#isAcquiring = false;
    }
  }

  /**
   * True if this daemon does not hold the duty and, by the local copy, neither does a daemon of another name.
   */
  #mayAcquire(): boolean {
    if (this.#isStopped || this.#fence !== null || !this.#isRegistered) return false;
    if (!this.#isCopyOfCurrentEra()) return false;
    const record = currentRecord(this.#observeCopy());
    return record?.state !== 'held' || record.holder === this.self.name;
  }

  async #tryAcquire(observation: DutyObservation): Promise<void> {
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

  /** Reads the record of the duty: a renewed lease alone does not show whether the record was deleted. */
  async #confirmRecord(): Promise<void> {
    const sentAtMs = this.now();
    const item = await this.store.read(DUTY_KEY, CONFIRM_TIMEOUT_MS);
    const record = item === null ? null : this.#readDuty(item);
    if (record !== null && this.#isOurs(record))
      this.#recordTrustedUntilMs = this.#dutyLease.trustedUntilMs(sentAtMs);
    else this.#loseDuty('the duty record was deleted or replaced');
  }

  /** To be called when the process of an earlier holder may have become known to have ended. */
  processEnded(): void {
    if (this.#fence !== null) void this.#skipWaitIfHolderEnded(this.#fence);
  }

  /** Ends the wait for an earlier holder if its process has ended. */
  async #skipWaitIfHolderEnded(fence: number): Promise<void> {
    const former = this.#formerHolder;
    if (former === null || this.now() >= this.#actsFromMs) return;
    if (!(await this.isEnded(former.holder)) || this.#fence !== fence) return;
    this.#actsFromMs = Math.max(this.now(), former.actsFromMs);
  }

  /** Marks the duty as released, so that the next holder need not wait for this one. */
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

  /** Era of the local copy. */
  get #era(): number {
    return this.localCopy().revision.era;
  }

  /** False after a restore of the store, until the local copy was read again. */
  #isCopyOfCurrentEra(): boolean {
    return this.#era === this.store.era.current;
  }

  /**
   * Handles a restore of the store: writes since the backup are lost, as are leases, whose ids may be
   * assigned to other daemons.
   */
  #onEraIncrease(): void {
    this.#loseDuty('the store was restored from a backup');
    this.#isRegistered = false;
    this.#requestRenewal();
  }

  /** The duty as shown by the local copy. A record that cannot be read is treated like one that is absent. */
  #observeCopy(): DutyObservation {
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

  /**
   * True if another client overwrote this daemon's record with an unreadable value: the holder of the duty
   * would not know this daemon.
   */
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
