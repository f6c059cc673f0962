/**
 * Placement of reads by what this daemon has measured and what gateways have reported.
 *
 * @packageDocumentation
 */
import { agedLatencyMs, latencyWeight } from './aged-latency.js';
import { degradedMembers, typicalLatencyMs, type MemberHealth } from './degraded-members.js';
import { distanceCostMs } from './distance-cost.js';
import { expectedLoad, NO_REPORT, type MemberLoads, type WeightedLoad } from './member-load.js';
import type { MemberShare } from './member-share.js';
import type { PendingReads } from './pending-reads.js';
import type { RecentLatency } from './recent-latency.js';
import type { ZoneLatency } from './zone-latency.js';

/** A member as placement sees it. */
export interface PlacedMember {
  readonly entry: { readonly memberId: string; readonly zone: string };
  /** Smoothed response time, in milliseconds; 0 before the first answer. */
  readonly latencyMs: number;
  readonly recentLatency: RecentLatency;
  readonly pendingReads: PendingReads;
  readonly share: MemberShare;
  readonly pool: {
    readonly hasGateways: boolean;
    /** Requests of this daemon at the member. */
    readonly load: number;
    /** The load that gateways report which a tenant's request would use. */
    reportedLoad(tenantName: string, nowMs: number): WeightedLoad;
  };
  recordLatency(latencyMs: number, earlierShare: number): void;
  failureShare(nowMs: number): number;
}

/** What placement says of a member for one request. */
export interface Assessment {
  /** True if the request should go to another member, since this one is degraded or recovers. */
  readonly isWithheld: boolean;
  /** Expected response time, in milliseconds; 0 before the first answer. */
  readonly latencyMs: number;
  /** Cost of its distance, as an equivalent wait in milliseconds; 0 in the own zone. */
  readonly distanceCostMs: number;
  /** Requests that are expected to be ahead. */
  readonly load: number;
  /** True if the load includes what gateways have reported. */
  readonly isLoadReported: boolean;
}

/**
 * Share of the requests whose choice considers reported loads. Daemons hear the same reports, which are up to
 * 250 ms old, and react to them together: in the model, 80 daemons that hear of all load at once sent up to all
 * requests of an interval to one of three members when each choice considered the reports.
 */
const REPORT_USE_SHARE = 0.5;

/** Dependencies of {@link Placement}. */
export interface PlacementOptions {
  /** Zone of this daemon. */
  readonly zone: string;
  readonly loads: MemberLoads;
  readonly zoneLatency: ZoneLatency;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  /** Monotonic time, in milliseconds. */
  now(): number;
  /** A number from 0 up to 1. */
  random(): number;
}

/** Provides the choice of a member with the load, the distance and the share of each member. */
export class Placement {
  /** When this process last went on after it was paused or delayed, in monotonic milliseconds. */
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: PlacementOptions) {}

  /** A number from 0 up to 1. */
  random(): number {
    return this.options.random();
  }

  /**
   * Records that this process was paused or delayed until now. Answers that arrived meanwhile are read late, so no
   * member is taken to be slow because of them.
   */
  recordOwnDelay(): void {
    this.#resumedAtMs = this.options.now();
  }

  /** Updates a member's response times with that of an answer. */
  recordLatency(member: PlacedMember, latencyMs: number): void {
    const nowMs = this.options.now();
    if (nowMs - latencyMs < this.#resumedAtMs) {
      member.recordLatency(latencyMs, 1);
      return;
    }
    const isAging = mayAge(member, nowMs);
    member.recordLatency(latencyMs, isAging ? latencyWeight(member.recentLatency.ageMs(nowMs)) : 1);
    member.recentLatency.record(latencyMs, nowMs);
  }

  /**
   * Assesses the members of a group for one request of a tenant; the result is in the order of the members. Each
   * call uses new random numbers.
   */
  assess(members: readonly PlacedMember[], tenantName: string): readonly Assessment[] {
    const nowMs = this.options.now();
    const usesReports = this.options.random() < REPORT_USE_SHARE;
    const health = members.map((member) => this.#health(member, nowMs));
    const typicalMs = typicalLatencyMs(health);
    const degraded = degradedMembers(health, typicalMs);
    return members.map((member, index) => {
      if (degraded[index] === true && member.share.markDegraded(nowMs)) this.#logDegraded(member, nowMs);
      const reported = usesReports ? member.pool.reportedLoad(tenantName, nowMs) : NO_REPORT;
      return {
        load: expectedLoad(member.pool.load, reported),
        isLoadReported: reported.weight > 0,
        distanceCostMs: this.#distanceCostMs(member.entry.zone, nowMs),
        isWithheld: this.#drawWithheld(member.share.valueAt(nowMs)),
        latencyMs: this.#expectedLatencyMs(member, typicalMs, nowMs),
      };
    });
  }

  #drawWithheld(share: number): boolean {
    return share < 1 && this.options.random() >= share;
  }

  #expectedLatencyMs(member: PlacedMember, typicalMs: number | null, nowMs: number): number {
    const { latencyMs, recentLatency, pendingReads, entry } = member;
    if (typicalMs === null || !mayAge(member, nowMs)) return latencyMs;
    const distanceMs = this.#distanceMs(entry.zone, nowMs);
    const agedMs = agedLatencyMs(latencyMs, typicalMs + distanceMs, recentLatency.ageMs(nowMs));
    return Math.max(agedMs, pendingReads.unansweredMs(nowMs, this.#resumedAtMs));
  }

  #logDegraded(member: PlacedMember, nowMs: number): void {
    const { recentMs, latencyMs, failureShare } = this.#health(member, nowMs);
    this.options.log('member_degraded', {
      member: member.entry.memberId,
      recentMs: recentMs === null ? null : Math.round(recentMs),
      latencyMs: Math.round(latencyMs),
      failureShare: Number(failureShare.toFixed(2)),
    });
  }

  #health(member: PlacedMember, nowMs: number): MemberHealth {
    const { memberId, zone } = member.entry;
    const distanceMs = this.#distanceMs(zone, nowMs);
    const ownMs = member.recentLatency.valueMs(nowMs);
    const answeredMs = meanOf(
      ownMs === null ? null : Math.max(0, ownMs - distanceMs),
      this.options.loads.serviceMs(memberId, nowMs),
    );
    const unansweredMs = member.pendingReads.unansweredMs(nowMs, this.#resumedAtMs) - distanceMs;
    return {
      latencyMs: Math.max(0, member.latencyMs - distanceMs),
      recentMs: unansweredMs > (answeredMs ?? 0) ? unansweredMs : answeredMs,
      failureShare: member.failureShare(nowMs),
    };
  }

  #distanceCostMs(zone: string, nowMs: number): number {
    return zone === this.options.zone ? 0 : distanceCostMs(this.options.zoneLatency.roundTripMs(zone, nowMs));
  }

  /** Round trip to a zone that is part of the response times measured here, in milliseconds. */
  #distanceMs(zone: string, nowMs: number): number {
    return zone === this.options.zone ? 0 : (this.options.zoneLatency.roundTripMs(zone, nowMs) ?? 0);
  }
}

/**
 * True if the response time of a member loses its weight without answers: while the member recovers, and where
 * members have gateways, so that a daemon sends each member few requests.
 */
function mayAge({ share, pool }: PlacedMember, nowMs: number): boolean {
  return share.valueAt(nowMs) < 1 || pool.hasGateways;
}

/** The mean of the values that are known. */
function meanOf(one: number | null, other: number | null): number | null {
  if (one === null || other === null) return one ?? other;
  return (one + other) / 2;
}
