/**
 * Watches all members of one database group, holds the owner's lease, and gathers evidence for commits.
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
  /** Time between status questions. */
  readonly statusIntervalMs: number;
  /** Part of the lease that is not used, against clocks that run at different rates. */
  readonly leaseMarginMs: number;
  /** True when the machine list says that a member leaves. */
  readonly isListedAsLeaving: (memberId: string) => boolean;
}

/** Time between status questions while a commit waits for its evidence, in milliseconds. */
const EVIDENCE_POLL_INTERVAL_MS = 2;
/** Time between status questions while reads wait for replicas to catch up, in milliseconds. */
const POSITION_POLL_INTERVAL_MS = 10;
/** Time for which one such read has the members asked more often, in milliseconds. */
const POSITION_INTEREST_MS = 200;
/** Time between status questions while a request waits for a member, in milliseconds. */
const CHANGE_POLL_INTERVAL_MS = 25;

/** Age up to which a description is used again, in milliseconds; far below the lease's margin. */
const DESCRIPTION_AGE_MS = 5;

interface MemberState {
  readonly monitor: MemberMonitor;
  status: MemberStatus | null;
  askedAtMs: number;
}

interface EvidenceWaiter {
  readonly evidence: CommitEvidence;
  readonly resolve: (state: EvidenceState) => void;
}

/** Watches a group on behalf of the daemon that owns it, or tries to. */
export class GroupMonitor {
  /** Called when a member stopped answering, and with it the lock on it is gone. */
  onMemberLost: (memberId: string) => void = () => undefined;
  readonly #members = new Map<string, MemberState>();
  readonly #lease: QuorumLease;
  readonly #staleness = new StalenessEstimator();
  readonly #evidenceWaiters = new Set<EvidenceWaiter>();
  readonly #changeWaiters = new Set<() => void>();
  #floorAskedAfterMs: number | null = null;
  #description: GroupDescription | null = null;
  #describedAtMs = 0;
  #positionsWantedUntilMs = 0;
  /** What requests wait for: the primary and whether it can be used. */
  #signature = '';

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

  /** Starts to watch and to take locks. */
  start(): void {
    for (const { monitor } of this.#members.values()) monitor.start();
  }

  /** Stops and releases all locks. */
  stop(): void {
    for (const { monitor } of this.#members.values()) monitor.stop();
    for (const waiter of this.#evidenceWaiters) waiter.resolve('pending');
    this.#evidenceWaiters.clear();
    this.#notifyChange();
  }

  /** Bytes sent and received on the control connections. */
  get controlTraffic(): number {
    let traffic = 0;
    for (const { monitor } of this.#members.values()) traffic += monitor.traffic;
    return traffic;
  }

  /** True while this daemon certainly owns the database. */
  isLeaseHeld(): boolean {
    return this.#lease.isHeld(performance.now());
  }

  /** True while this daemon certainly holds its lock on a member. */
  isMemberLocked(memberId: string): boolean {
    return this.#lease.holdsMember(memberId, performance.now());
  }

  /** The group as known now; at most {@link DESCRIPTION_AGE_MS} old. */
  describe(): GroupDescription {
    const nowMs = performance.now();
    if (this.#description !== null && nowMs - this.#describedAtMs < DESCRIPTION_AGE_MS)
      return this.#description;
    const members = [...this.#members.values()].map((state) => this.#describeMember(state, nowMs));
    this.#description = describeGroup(members);
    this.#describedAtMs = nowMs;
    return this.#description;
  }

  /** Has the members asked more often for a while, since a read had to go to the primary. */
  wantPositions(): void {
    const nowMs = performance.now();
    const isNew = nowMs >= this.#positionsWantedUntilMs;
    this.#positionsWantedUntilMs = nowMs + POSITION_INTEREST_MS;
    if (isNew) for (const { monitor } of this.#members.values()) monitor.pollNow();
  }

  /** Resolves when the primary or its state changes, or after `timeoutMs`. */
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
   * Waits for the evidence that a commit may be acknowledged; `pending` when it has not come in time.
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
   * Highest position received by any of a majority of members, all locked and asked after their earlier
   * owners' connections were ended; `null` while fewer have answered. No write acknowledged by an earlier
   * owner lies above it.
   */
  readFloor(): Position | null {
    if (!this.isLeaseHeld()) {
      this.#floorAskedAfterMs = null;
      return null;
    }
    this.#floorAskedAfterMs ??= performance.now();
    const nowMs = performance.now();
    let floor = ZERO_POSITION;
    let count = 0;
    for (const [memberId, { status, askedAtMs }] of this.#members) {
      if (status === null || askedAtMs < this.#floorAskedAfterMs) continue;
      if (!this.#lease.holdsMember(memberId, nowMs)) continue;
      floor = laterPosition(floor, status.received);
      count += 1;
    }
    return count >= majorityOf(this.#members.size) ? floor : null;
  }

  /** Position applied by every member that answers; the zero position while one does not. */
  appliedEverywhere(): Position {
    const applied = [...this.#members.values()].map(({ status }) => status?.applied ?? ZERO_POSITION);
    return applied.reduce((lowest, position) =>
      laterPosition(lowest, position) === lowest ? position : lowest,
    );
  }

  #pollIntervalMs(): number {
    if (this.#evidenceWaiters.size > 0) return EVIDENCE_POLL_INTERVAL_MS;
    if (performance.now() < this.#positionsWantedUntilMs) return POSITION_POLL_INTERVAL_MS;
    if (this.#changeWaiters.size > 0) return CHANGE_POLL_INTERVAL_MS;
    return this.options.statusIntervalMs;
  }

  #handleStatus(memberId: string, status: MemberStatus, askedAtMs: number): void {
    const state = this.#members.get(memberId);
    if (state === undefined) return;
    state.status = status;
    state.askedAtMs = askedAtMs;
    if (status.role === 'primary') this.#staleness.record(status.applied, askedAtMs);
    this.#feedEvidence({ status: { ...status, memberId }, askedAtMs });
    this.#notifyChange();
  }

  #handleLost(memberId: string): void {
    this.#lease.drop(memberId);
    const state = this.#members.get(memberId);
    if (state !== undefined) state.status = null;
    this.onMemberLost(memberId);
    this.#notifyChange();
  }

  #feedEvidence(observation: TimedStatus): void {
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
    if (signature === this.#signature) return;
    this.#signature = signature;
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
          : this.#staleness.estimate(status.applied, nowMs + DESCRIPTION_AGE_MS),
    };
  }
}
