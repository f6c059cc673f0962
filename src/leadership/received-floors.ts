/**
 * Read floors of one group that other daemons have shared. They serve reads only: they are no positions that
 * the leader has reported to this daemon, which bound what a promotion has to cover. Pure: times are passed in.
 *
 * @packageDocumentation
 */
import { hasReached, laterPosition, ZERO_POSITION, type Position } from '../position/position.js';
import { isSameLeader, type Leader } from './leadership-evidence.js';
import { PositionHistory, type ReadFloor } from './position-history.js';
import type { LeaderFloor } from './shared-floor.js';

/** The floors that were received for the present leader. */
export class ReceivedFloors {
  #leader: Leader | null = null;
  #history = new PositionHistory();
  #latest: Position = ZERO_POSITION;

  /**
   * Records a floor of the proven leader; floors of another leader or term are discarded.
   *
   * @returns true if it is the first one of this leader
   */
  record({ leader, askedAtMs, position }: LeaderFloor): boolean {
    const isFirst = !isSameLeader(this.#leader, leader);
    if (isFirst) {
      this.#leader = leader;
      this.#history = new PositionHistory();
      this.#latest = ZERO_POSITION;
    }
    // A lower position may come from a process that has restarted under the leader's id.
    if (!hasReached(position, this.#latest)) return false;
    this.#latest = laterPosition(this.#latest, position);
    this.#history.record(askedAtMs, position);
    return isFirst;
  }

  /**
   * The lowest floor that covers every commit acknowledged before `sinceMs`; `null` if there is none of this
   * leader.
   *
   * @param leader - the leader by evidence that is valid now, or `null`
   */
  floorSince(sinceMs: number, leader: Leader | null): ReadFloor | null {
    const floor = isSameLeader(this.#leader, leader) ? this.#history.floorSince(sinceMs) : null;
    return floor === null ? null : { ...floor, isShared: true };
  }
}
