/**
 * Load of members as their gateways report it. Times are passed in.
 *
 * @packageDocumentation
 */
import type { LoadReport } from './load-report.js';

/** Half-life of the weight of a report, in milliseconds. */
const HALF_LIFE_MS = 500;
/** Weight below which a report is ignored: it is then about 3 s old. */
const MIN_WEIGHT = 0.015;
/** Age up to which the response time of a report describes the member now, in milliseconds. */
const SERVICE_VALIDITY_MS = 1000;

/** Members whose loads are kept; beyond it, the one that was first borrowed from is forgotten. */
const MAX_MEMBERS = 256;

/** A load, and how much it counts: 1 for a report of this moment, 0 without a report. */
export interface WeightedLoad {
  readonly load: number;
  readonly weight: number;
}

/** The load of a member without a report. */
export const NO_REPORT: WeightedLoad = { load: 0, weight: 0 };

/** Load of one gateway's pool for one member: its last report, and this daemon's own loans since then. */
export class GatewayLoad {
  #report: LoadReport | null = null;
  #receivedAtMs = 0;
  #ownLoans = 0;
  /** Own loans that the report includes. */
  #ownLoansInReport = 0;

  /** Loans that this daemon has from the gateway. */
  get ownLoans(): number {
    return this.#ownLoans;
  }

  /** When the last report arrived, in monotonic milliseconds. */
  get receivedAtMs(): number {
    return this.#receivedAtMs;
  }

  loanStarted(): void {
    this.#ownLoans += 1;
  }

  loanEnded(): void {
    this.#ownLoans = Math.max(0, this.#ownLoans - 1);
  }

  /**
   * Records a report that came with the reply to a loan.
   *
   * @param isReleased - true if the gateway had released the connection of that loan before
   */
  record(report: LoadReport, isReleased: boolean, nowMs: number): void {
    this.#report = report;
    this.#receivedAtMs = nowMs;
    this.#ownLoansInReport = Math.max(0, this.#ownLoans - (isReleased ? 1 : 0));
  }

  /** Weight of the last report: 1 when it arrives, halved every 500 ms; 0 without one, or if it is too old. */
  weight(nowMs: number): number {
    const ageMs = nowMs - this.#receivedAtMs;
    if (this.#report === null || !(ageMs >= 0)) return 0;
    const weight = 0.5 ** (ageMs / HALF_LIFE_MS);
    return weight < MIN_WEIGHT ? 0 : weight;
  }

  /** Requests in the gateway's pool according to the report, corrected by the own loans since then. */
  get reportedLoad(): number {
    if (this.#report === null) return this.#ownLoans;
    const { inUse, waiting } = this.#report;
    return Math.max(this.#ownLoans, inUse + waiting + this.#ownLoans - this.#ownLoansInReport);
  }

  /** The reported response time of the member, in milliseconds; `null` without a recent one. */
  serviceMs(nowMs: number): number | null {
    const ageMs = nowMs - this.#receivedAtMs;
    if (this.#report === null || this.#report.serviceMs === 0) return null;
    return ageMs >= 0 && ageMs <= SERVICE_VALIDITY_MS ? this.#report.serviceMs : null;
  }
}

/** A gateway as its load is looked up. */
interface NamedGateway {
  readonly name: string;
}

/** Reported loads of all members, by gateway. */
export class MemberLoads {
  readonly #byMember = new Map<string, Map<string, GatewayLoad>>();

  /** The load of a gateway's pool for a member; created if necessary. */
  entry(memberId: string, gatewayName: string): GatewayLoad {
    let byGateway = this.#byMember.get(memberId);
    if (byGateway === undefined) {
      byGateway = new Map();
      this.#byMember.set(memberId, byGateway);
      this.#evictOldest();
    }
    let entry = byGateway.get(gatewayName);
    if (entry === undefined) {
      entry = new GatewayLoad();
      byGateway.set(gatewayName, entry);
    }
    return entry;
  }

  #evictOldest(): void {
    if (this.#byMember.size <= MAX_MEMBERS) return;
    for (const oldest of this.#byMember.keys()) {
      this.#byMember.delete(oldest);
      return;
    }
  }

  /** The load of a gateway's pool for a member, or `null` if it has never lent to this daemon. */
  find(memberId: string, gatewayName: string): GatewayLoad | null {
    return this.#byMember.get(memberId)?.get(gatewayName) ?? null;
  }

  /** Forgets what a gateway has reported, because the connection to it has ended. */
  forgetGateway(gatewayName: string): void {
    for (const [memberId, byGateway] of this.#byMember) {
      byGateway.delete(gatewayName);
      if (byGateway.size === 0) this.#byMember.delete(memberId);
    }
  }

  /** The load that a request to a member meets at one of its gateways: the mean of their reports by weight. */
  average(memberId: string, gateways: readonly NamedGateway[], nowMs: number): WeightedLoad {
    const byGateway = this.#byMember.get(memberId);
    if (byGateway === undefined) return NO_REPORT;
    return weightedMean(
      gateways.map(({ name }) => byGateway.get(name)),
      nowMs,
    );
  }

  /**
   * The less loaded of two gateways, or `null` if neither has a report that counts. One without a report is taken
   * to be as loaded as the member's gateways with reports on average.
   */
  lessLoaded<Gateway extends NamedGateway>(
    memberId: string,
    one: Gateway,
    other: Gateway,
    nowMs: number,
  ): Gateway | null {
    const oneLoad = this.#weightedLoad(memberId, one, nowMs);
    const otherLoad = this.#weightedLoad(memberId, other, nowMs);
    if (oneLoad.weight === 0 && otherLoad.weight === 0) return null;
    const typical = weightedMean(this.#byMember.get(memberId)?.values() ?? [], nowMs).load;
    return towardsTypical(otherLoad, typical) < towardsTypical(oneLoad, typical) ? other : one;
  }

  #weightedLoad(memberId: string, { name }: NamedGateway, nowMs: number): WeightedLoad {
    const entry = this.find(memberId, name);
    return entry === null ? NO_REPORT : { load: entry.reportedLoad, weight: entry.weight(nowMs) };
  }

  /** The latest response time of a member that a gateway has reported, in milliseconds, or `null`. */
  serviceMs(memberId: string, nowMs: number): number | null {
    let latestMs: number | null = null;
    let receivedAtMs = Number.NEGATIVE_INFINITY;
    for (const entry of this.#byMember.get(memberId)?.values() ?? []) {
      if (entry.receivedAtMs <= receivedAtMs) continue;
      const serviceMs = entry.serviceMs(nowMs);
      if (serviceMs === null) continue;
      latestMs = serviceMs;
      receivedAtMs = entry.receivedAtMs;
    }
    return latestMs;
  }
}

/** The mean of reported loads by weight; {@link NO_REPORT} if none counts. */
function weightedMean(entries: Iterable<GatewayLoad | undefined>, nowMs: number): WeightedLoad {
  let sum = 0;
  let weightSum = 0;
  let highest = 0;
  for (const entry of entries) {
    const weight = entry?.weight(nowMs) ?? 0;
    if (entry === undefined || weight === 0) continue;
    sum += weight * entry.reportedLoad;
    weightSum += weight;
    highest = Math.max(highest, weight);
  }
  return weightSum === 0 ? NO_REPORT : { load: sum / weightSum, weight: highest };
}

/** A load, moved towards the typical one by what its report has lost of its weight. */
function towardsTypical({ load, weight }: WeightedLoad, typical: number): number {
  return weight * load + (1 - weight) * typical;
}

/** The load to expect at a member: the reported one by its weight, and otherwise that of the own requests. */
export function expectedLoad(ownLoad: number, reported: WeightedLoad): number {
  return ownLoad + reported.weight * (reported.load - ownLoad);
}
