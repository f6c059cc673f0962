/**
 * Monitors all members of one database group, holds the owner's lease and collects evidence for commits.
 *
 * @packageDocumentation
 */
import type { DatabaseConfiguration } from '../configuration/configuration.js';
import { MemberMonitor, type MemberMonitorOptions } from '../member/member-monitor.js';
import { QuorumLease } from '../ownership/quorum-lease.js';
import { laterPosition, ZERO_POSITION, type Position } from '../position/position.js';
import { CommitEvidence, type EvidenceState, type TimedStatus } from './commit-evidence.js';
import {
  describeGroup,
  majorityOf,
  type GroupDescription,
  type MemberDescription,
  type MemberStatus,
} from './group-description.js';
import { StalenessEstimator } from './staleness.js';

/** Settings of a group monitor; times in milliseconds. */
export interface GroupMonitorOptions extends MemberMonitorOptions {
  /** Interval between status queries. */
  readonly statusIntervalMs: number;
  /** Part of the lease that the owner does not use, as a margin for clocks that run at different rates. */
  readonly leaseMarginMs: number;
  /** True when the machine list reports that a member is leaving. */
  readonly isListedAsLeaving: (memberId: string) => boolean;
}

/** Interval between status queries while a commit waits for its evidence, in milliseconds. */
const EVIDENCE_POLL_INTERVAL_MS = 2;
/**
 * Interval between status queries after a read had to use the primary instead of a replica, in milliseconds.
 */
const POSITION_POLL_INTERVAL_MS = 10;
/** Time for which one such read shortens the interval between status queries, in milliseconds. */
const POSITION_POLL_DURATION_MS = 200;
/** Interval between status queries while a request waits for a member, in milliseconds. */
const CHANGE_POLL_INTERVAL_MS = 25;

/** Age up to which a cached description is reused, in milliseconds; far below the margin of the lease. */
const MAX_DESCRIPTION_AGE_MS = 5;

interface MemberState {
  readonly monitor: MemberMonitor;
  status: MemberStatus | null;
  askedAtMs: number;
}

interface EvidenceWaiter {
  readonly evidence: CommitEvidence;
  readonly resolve: (state: EvidenceState) => void;
}

/** Monitors a group for the daemon that owns its database or is trying to acquire it. */
export class GroupMonitor {
  /** Called when the control connection to a member, and with it the lock on the member, was lost. */
  onMemberLost: (memberId: string) => void = () => undefined;
  readonly #members = new Map<string, MemberState>();
  readonly #lease: QuorumLease;
  readonly #staleness = new StalenessEstimator();
  readonly #evidenceWaiters = new Set<EvidenceWaiter>();
  readonly #changeWaiters = new Set<() => void>();
  #floorStatusNotBeforeMs: number | null = null;
  #description: GroupDescription | null = null;
  #describedAtMs = 0;
  #positionPollUntilMs = 0;
  /** Term, primary and usability of the primary at the last notification of waiting requests. */
  #primarySignature = '';

  constructor(
    readonly database: DatabaseConfiguration,
    private readonly options: GroupMonitorOptions,
  ) {
    this.#lease = new QuorumLease(database.members.length, {
      leaseMs: options.leaseMs,
      marginMs: options.leaseMarginMs,
    });
    for (const member of database.members) {
      const { id, zone, host, port } = member;
      const monitor = new MemberMonitor({ memberId: id, zone, host, port }, options, {
        status: (memberId, status, askedAtMs) => this.#handleStatus(memberId, status, askedAtMs),
        locked: (memberId, sentAtMs) => {
          this.#lease.renew(memberId, sentAtMs);
          this.#description = null;
        },
        lost: (memberId) => this.#handleLost(memberId),
        pollIntervalMs: () => this.#pollIntervalMs(),
      });
      this.#members.set(id, { monitor, status: null, askedAtMs: 0 });
    }
  }

  /** Starts monitoring the members and acquiring their locks. */
  start(): void {
    for (const { monitor } of this.#members.values()) monitor.start();
  }

  /** Stops monitoring and releases all locks. */
  stop(): void {
    for (const { monitor } of this.#members.values()) monitor.stop();
    for (const waiter of this.#evidenceWaiters) waiter.resolve('pending');
    this.#evidenceWaiters.clear();
    this.#notifyChange();
  }

  /** Number of bytes sent and received on the control connections. */
  get controlTrafficBytes(): number {
    let bytes = 0;
    for (const { monitor } of this.#members.values()) bytes += monitor.trafficBytes;
    return bytes;
  }

  /** True while this daemon is certain to own the database. */
  isLeaseHeld(): boolean {
    return this.#lease.isHeld(performance.now());
  }

  /** True while this daemon is certain to hold its lock on the member. */
  isMemberLocked(memberId: string): boolean {
    return this.#lease.holdsMember(memberId, performance.now());
  }

  /** Returns the state of the group, at most {@link MAX_DESCRIPTION_AGE_MS} old. */
  describe(): GroupDescription {
    const nowMs = performance.now();
    if (this.#description !== null && nowMs - this.#describedAtMs < MAX_DESCRIPTION_AGE_MS)
      return this.#description;
    const members = [...this.#members.values()].map((state) => this.#describeMember(state, nowMs));
    this.#description = describeGroup(members);
    this.#describedAtMs = nowMs;
    return this.#description;
  }

  /** Queries the members more often for a short time, because a read had to use the primary. */
  pollPositionsFrequently(): void {
    const nowMs = performance.now();
    const isNew = nowMs >= this.#positionPollUntilMs;
    this.#positionPollUntilMs = nowMs + POSITION_POLL_DURATION_MS;
    if (isNew) for (const { monitor } of this.#members.values()) monitor.pollNow();
  }

  /** Resolves when the term, the primary or the primary's state changes, or after `timeoutMs`. */
  waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.#changeWaiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, Math.max(0, timeoutMs));
      this.#changeWaiters.add(finish);
    });
  }

  /**
   * Waits until the evidence for a commit is decided; resolves to `pending` if it is not within `timeoutMs`.
   */
  waitForEvidence(evidence: CommitEvidence, timeoutMs: number): Promise<EvidenceState> {
    return new Promise((resolve) => {
      const finish = (state: EvidenceState): void => {
        clearTimeout(timer);
        this.#evidenceWaiters.delete(waiter);
        resolve(state);
      };
      const waiter: EvidenceWaiter = { evidence, resolve: finish };
      const timer = setTimeout(() => finish('pending'), timeoutMs);
      this.#evidenceWaiters.add(waiter);
      for (const { monitor } of this.#members.values()) monitor.pollNow();
    });
  }

  /**
   * Returns the read floor of a new owner: the highest position received by any member of a majority, each
   * locked and queried after the connections of the previous owner to it were closed, or `null` while fewer
   * have responded. No write that a previous owner acknowledged has a higher position.
   */
  readFloor(): Position | null {
    if (!this.isLeaseHeld()) {
      this.#floorStatusNotBeforeMs = null;
      return null;
    }
    this.#floorStatusNotBeforeMs ??= performance.now();
    const nowMs = performance.now();
    let floor = ZERO_POSITION;
    let count = 0;
    for (const [memberId, { status, askedAtMs }] of this.#members) {
      if (status === null || askedAtMs < this.#floorStatusNotBeforeMs) continue;
      if (!this.#lease.holdsMember(memberId, nowMs)) continue;
      floor = laterPosition(floor, status.received);
      count += 1;
    }
    return count >= majorityOf(this.#members.size) ? floor : null;
  }

  /** Position that every member has applied; the zero position while the status of any member is unknown. */
  appliedEverywhere(): Position {
    const applied = [...this.#members.values()].map(({ status }) => status?.applied ?? ZERO_POSITION);
    return applied.reduce((lowest, position) =>
      laterPosition(lowest, position) === lowest ? position : lowest,
    );
  }

  #pollIntervalMs(): number {
    if (this.#evidenceWaiters.size > 0) return EVIDENCE_POLL_INTERVAL_MS;
    if (performance.now() < this.#positionPollUntilMs) return POSITION_POLL_INTERVAL_MS;
    if (this.#changeWaiters.size > 0) return CHANGE_POLL_INTERVAL_MS;
    return this.options.statusIntervalMs;
  }

  #handleStatus(memberId: string, status: MemberStatus, sentAtMs: number): void {
    const state = this.#members.get(memberId);
    if (state === undefined) return;
    state.status = status;
    state.askedAtMs = sentAtMs;
    if (status.role === 'primary') this.#staleness.record(status.applied, sentAtMs);
    this.#observeForEvidence({ status: { ...status, memberId }, askedAtMs: sentAtMs });
    this.#notifyChange();
  }

  #handleLost(memberId: string): void {
    this.#lease.drop(memberId);
    const state = this.#members.get(memberId);
    if (state !== undefined) state.status = null;
    this.onMemberLost(memberId);
    this.#notifyChange();
  }

  #observeForEvidence(observation: TimedStatus): void {
    for (const waiter of [...this.#evidenceWaiters]) {
      waiter.evidence.observe(observation);
      if (waiter.evidence.state !== 'pending') waiter.resolve(waiter.evidence.state);
    }
  }

  #notifyChange(): void {
    this.#description = null;
    if (this.#changeWaiters.size === 0) return;
    const primary = this.describe().primary;
    const signature = `${this.describe().term} ${primary?.address.memberId} ${primary?.isLocked} ${primary?.isLeaving}`;
    if (signature === this.#primarySignature) return;
    this.#primarySignature = signature;
    for (const wake of [...this.#changeWaiters]) wake();
  }

  #describeMember(state: MemberState, nowMs: number): MemberDescription {
    const { address } = state.monitor;
    const { status, askedAtMs } = state;
    return {
      address,
      status,
      askedAtMs,
      isLocked: this.#lease.holdsMember(address.memberId, nowMs),
      isLeaving: (status?.leaving ?? false) || this.options.isListedAsLeaving(address.memberId),
      stalenessMs:
        status === null
          ? Number.POSITIVE_INFINITY
          : this.#staleness.estimate(status.applied, nowMs + MAX_DESCRIPTION_AGE_MS),
    };
  }
}
