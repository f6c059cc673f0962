/**
 * Asks the leader of a group for its log position after the process of a daemon has ended.
 *
 * Everything that the daemon had acknowledged is at or before that position. It has to be known before the
 * leader is lost, even if no request carries it, as after the end of the leader's only gateway.
 *
 * @packageDocumentation
 */
import { delay } from '../common/signal.js';
import { formatPosition, type Position } from '../position/position.js';
import type { Member, MemberGroup } from '../topology/member-group.js';
import type { ControlAnswer } from './member-control.js';
import { describeAnswer } from './missing-incarnation.js';

/**
 * Time in which replies to ordinary requests usually carry the position, in milliseconds, and the most
 * explicit queries for it where they do not.
 */
const QUERY_DELAY_MS = 150;
const MAX_QUERIES = 4;

/** Dependencies of a {@link LogPositionQuery}. */
export interface LogPositionQueryPorts {
  readonly group: MemberGroup;
  queryStatus(member: Member): Promise<ControlAnswer>;
  isStopped(): boolean;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** The queries of one group. */
export class LogPositionQuery {
  /** When the process of a daemon was last seen to have ended, in monotonic milliseconds. */
  #endedAtMs = Number.NEGATIVE_INFINITY;
  #isRunning = false;

  constructor(private readonly ports: LogPositionQueryPorts) {}

  /** Records the log position of the leader after the process of a daemon has ended. */
  async daemonEnded(): Promise<void> {
    const { group, now, isStopped } = this.ports;
    this.#endedAtMs = now();
    // One query covers all daemons that have ended before it.
    if (this.#isRunning) return;
    this.#isRunning = true;
    let coveredMs = this.#endedAtMs;
    for (let attempt = 0; attempt < MAX_QUERIES; attempt += 1) {
      await delay(QUERY_DELAY_MS);
      if (isStopped() || group.positions.floorSince(this.#endedAtMs) !== null) break;
      if (coveredMs !== this.#endedAtMs) attempt = 0;
      coveredMs = this.#endedAtMs;
      await this.#record();
    }
    this.#isRunning = false;
  }

  /** The log position of the leader, if it answers and is proven to lead; else `null`. */
  async ask(leader: Member): Promise<Position | null> {
    return this.#provenPosition(leader, await this.ports.queryStatus(leader));
  }

  async #record(): Promise<void> {
    const { group, log, now, queryStatus } = this.ports;
    const leader = group.leader(now());
    if (leader === null) return log('log_position', { group: group.name, outcome: 'no_evidence' });
    const askedAtMs = now();
    const answer = await queryStatus(leader);
    const position = this.#provenPosition(leader, answer);
    if (position !== null) group.recordLeaderPosition(askedAtMs, position);
    log('log_position', {
      group: group.name,
      member: leader.entry.memberId,
      outcome: describeAnswer(answer),
      position: position === null ? null : formatPosition(position),
      isRecorded: group.positions.floorSince(this.#endedAtMs) !== null,
    });
  }

  #provenPosition(leader: Member, answer: ControlAnswer): Position | null {
    const { group, now } = this.ports;
    const proven = group.evidence.current(now());
    const isProven =
      answer.kind === 'answered' &&
      answer.status.isPrimary &&
      proven?.memberId === leader.entry.memberId &&
      proven.term === answer.status.term;
    return isProven ? answer.status.received : null;
  }
}
