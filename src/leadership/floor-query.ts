/**
 * Asks the leader of a group for its log position on behalf of daemons that know no read floor.
 *
 * Answers to requests carry the position, so the leader is asked only while this daemon sends it none, as after
 * a start of all daemons.
 *
 * @packageDocumentation
 */
import { isNonEmptyLog } from '../relay/leader-identity.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import type { LogPositionQuery } from './log-position-query.js';

/** Age of the newest floor above which the leader is asked, in milliseconds: the shortest staleness bound in use. */
export const FLOOR_AGE_LIMIT_MS = 500;

/** Least time between two queries of a group, in milliseconds. */
export const FLOOR_QUERY_INTERVAL_MS = 250;

/** Dependencies of a {@link FloorQuery}. */
export interface FloorQueryPorts {
  readonly group: MemberGroup;
  /** True while other daemons depend on the floors of this one. */
  suppliesFloors(): boolean;
  /** The log position of the leader, if it answers and is proven to lead; see {@link LogPositionQuery.ask}. */
  askLeader: LogPositionQuery['ask'];
  now(): number;
}

/** The queries of one group. */
export class FloorQuery {
  #askedAtMs = Number.NEGATIVE_INFINITY;
  #isRunning = false;

  constructor(private readonly ports: FloorQueryPorts) {}

  /** Asks the leader if a floor is missing and a query is due; to be called often. */
  async check(): Promise<void> {
    const { group, now } = this.ports;
    const nowMs = now();
    if (this.#isRunning || nowMs - this.#askedAtMs < FLOOR_QUERY_INTERVAL_MS) return;
    const leader = group.leader(nowMs);
    const newest = group.shareableFloor(nowMs);
    const isMissing = newest === null || nowMs - newest.askedAtMs > FLOOR_AGE_LIMIT_MS;
    if (leader === null || !isMissing || !this.ports.suppliesFloors()) return;
    this.#askedAtMs = nowMs;
    this.#isRunning = true;
    try {
      await this.#record(leader, nowMs);
    } finally {
      this.#isRunning = false;
    }
  }

  async #record(leader: Member, askedAtMs: number): Promise<void> {
    const { group } = this.ports;
    const asked = group.evidence.leader;
    const position = await this.ports.askLeader(leader);
    // A process that has restarted under the leader's id reports an empty log.
    if (position !== null && isNonEmptyLog(position)) group.recordLeaderPosition(askedAtMs, position, asked);
  }
}
