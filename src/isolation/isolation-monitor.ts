/**
 * Observes the traffic with other zones, pings daemons there when it is silent, and applies the effects of an
 * isolation to requests in progress.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { MemberGroup } from '../topology/member-group.js';
import { CUT_OFF_REASON, type Isolation, type IsolationListener } from './isolation.js';
import { IsolationDetector, type IsolationState } from './isolation-detector.js';
import { OutsideTraffic } from './outside-traffic.js';
import { choosePingTargets } from './ping-targets.js';

/** Interval of the pings during an isolation, in milliseconds. */
const PING_INTERVAL_MS = 200;
/** How long the same daemons are pinged, in milliseconds; these may have failed themselves. */
const PING_TARGETS_VALIDITY_MS = 1000;

/** The connections to other daemons, as the monitor uses them. */
export interface OutsideConnections {
  /** Records the traffic of the connections to daemons of other zones than the given one. */
  recordTraffic(ownZone: string, traffic: OutsideTraffic): void;
  ping(record: DaemonRecord): void;
  /** Lends only from daemons of a zone that answer, or from all again for `null`. */
  restrictToZone(zone: string | null): void;
}

/** Dependencies of {@link IsolationMonitor}. */
export interface IsolationMonitorOptions {
  readonly zone: string;
  readonly connections: OutsideConnections;
  groups(): readonly MemberGroup[];
  /** False until the daemon serves clients; there is no isolation before. */
  isReady(): boolean;
  /** Called when an isolation begins or ends. */
  changed(isIsolated: boolean): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
  random(): number;
}

/** The isolation of one daemon. */
export class IsolationMonitor implements Isolation {
  readonly traffic = new OutsideTraffic();
  readonly #detector = new IsolationDetector();
  readonly #listeners = new Set<IsolationListener>();
  #outsideDaemons: readonly DaemonRecord[] = [];
  #targets: readonly DaemonRecord[] = [];
  #targetsChosenAtMs = 0;
  #pingedAtMs = 0;
  #isolatedAtMs = 0;

  constructor(private readonly options: IsolationMonitorOptions) {}

  get isIsolated(): boolean {
    return this.#detector.state === 'isolated';
  }

  /** True if the next check should not be delayed. */
  get isInDoubt(): boolean {
    return this.#detector.state !== 'connected';
  }

  add(listener: IsolationListener): void {
    this.#listeners.add(listener);
  }

  remove(listener: IsolationListener): void {
    this.#listeners.delete(listener);
  }

  /** Applies the current list of the daemons that take part in the work. */
  daemonsChanged(daemons: readonly DaemonRecord[]): void {
    this.#outsideDaemons = daemons.filter(({ zone }) => zone !== this.options.zone);
  }

  /**
   * Records a request to another daemon that is not sent over a connection of
   * {@link IsolationMonitorOptions.connections}, and its answer; `null` means that there was none.
   *
   * @param zone - the zone of that daemon; `null` if it is not known, and nothing is recorded
   */
  async observe<Answer>(zone: string | null, request: Promise<Answer | null>): Promise<Answer | null> {
    if (zone === null || zone === this.options.zone) return request;
    this.traffic.recordSent(this.options.now());
    const answer = await request;
    if (answer !== null) this.traffic.recordReceived(this.options.now());
    return answer;
  }

  /** Updates the state; to be called every few tens of milliseconds. */
  check(): void {
    const nowMs = this.options.now();
    const before = this.#detector.state;
    this.#pollTraffic();
    const state = this.#detector.update({
      nowMs,
      lastReceivedMs: this.traffic.lastReceivedMs,
      silentSinceMs: this.traffic.silentSinceMs,
      hasOutsideDaemons: this.#outsideDaemons.length > 0 && this.options.isReady(),
      hasMostEvidence: before === 'isolated' && this.#hasMostEvidence(nowMs),
    });
    if (state !== before) this.#enter(state, before, nowMs);
    if (state !== 'isolated') return;
    if (nowMs - this.#pingedAtMs >= PING_INTERVAL_MS) this.#ping(nowMs);
    this.#rejectWaiters();
    for (const listener of [...this.#listeners]) listener.cutOff();
  }

  #pollTraffic(): void {
    const { zone, connections } = this.options;
    this.traffic.beginPoll();
    connections.recordTraffic(zone, this.traffic);
    for (const group of this.options.groups())
      for (const { entry, pool } of group.members.values())
        if (entry.zone !== zone) pool.ownPool.recordTraffic(this.traffic);
  }

  #enter(state: IsolationState, before: IsolationState, nowMs: number): void {
    if (state === 'suspicious') this.#ping(nowMs);
    if (state === 'isolated') this.#begin(nowMs);
    if (before === 'isolated') this.#end(nowMs);
  }

  #begin(nowMs: number): void {
    this.#isolatedAtMs = nowMs;
    this.options.log('isolated', { silentMs: Math.round(nowMs - this.#detector.silentSinceMs) });
    this.options.connections.restrictToZone(this.options.zone);
    this.#applyChange(true);
  }

  #end(nowMs: number): void {
    this.options.log('isolation_ended', {
      silentMs: Math.round(nowMs - this.#detector.silentSinceMs),
      isolatedMs: Math.round(nowMs - this.#isolatedAtMs),
    });
    this.options.connections.restrictToZone(null);
    this.#applyChange(false);
  }

  #applyChange(isIsolated: boolean): void {
    for (const group of this.options.groups()) group.changed.notify();
    this.options.changed(isIsolated);
  }

  /** Ends the wait for a connection to a member that cannot be reached, and at any member that of writes. */
  #rejectWaiters(): void {
    for (const group of this.options.groups())
      for (const { entry, pool } of group.members.values())
        pool.ownPool.rejectWaiters(
          CUT_OFF_REASON,
          ({ isWrite }) => isWrite || entry.zone !== this.options.zone,
        );
  }

  #ping(nowMs: number): void {
    const isOutdated = nowMs - this.#targetsChosenAtMs >= PING_TARGETS_VALIDITY_MS;
    if (isOutdated || this.#targets.length === 0) {
      this.#targets = choosePingTargets(this.#outsideDaemons, this.options.random);
      this.#targetsChosenAtMs = nowMs;
    }
    this.#pingedAtMs = nowMs;
    for (const target of this.#targets) this.options.connections.ping(target);
  }

  #hasMostEvidence(nowMs: number): boolean {
    const groups = this.options.groups();
    const withLeader = groups.filter((group) => group.leader(nowMs) !== null).length;
    return withLeader * 2 > groups.length || groups.length === 0;
  }
}
