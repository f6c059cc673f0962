/**
 * Reacts to the exits of other daemons' processes.
 *
 * A daemon that has exited leaves no record of the commits that it acknowledged, so the leader's log position
 * after the exit has to be recorded as their upper bound. The duty holder does this for the daemons that it
 * sends orders to. When the holder itself exits, a few daemons do it in its place.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import type { LogPositionQuery } from './log-position-query.js';

/** Number of daemons that check whether the process of a disconnected duty holder has exited. */
const HOLDER_EXIT_CHECKERS = 3;
/**
 * How long the first of them may open connections of its own to members, in milliseconds: as long as it
 * queries the leaders. The holder may have been their only gateway. Members have few connections to spare, so
 * only one daemon may.
 */
const CONNECT_PERIOD_MS = 1500;

/** Dependencies of {@link DaemonExits}. */
export interface DaemonExitsPorts {
  readonly ownName: string;
  isDutyHolder(): boolean;
  liveDaemons(): readonly DaemonRecord[];
  /** The queries of all groups. */
  logPositionQueries(): readonly LogPositionQuery[];
  /** Checks whether the process of a daemon has exited, and reports that as {@link DaemonExits.daemonEnded}. */
  probe(record: DaemonRecord): void;
  /** Called in place of the queries while this daemon holds the duty. */
  daemonEndedUnderDuty(): void;
  log(event: string, details: Readonly<Record<string, unknown>>): void;
  now(): number;
}

/** The exits that this daemon knows of. */
export class DaemonExits {
  #mayConnectUntilMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly ports: DaemonExitsPorts) {}

  /** True while this daemon may open connections to members because the duty holder has exited. */
  get mayConnect(): boolean {
    return this.ports.now() < this.#mayConnectUntilMs;
  }

  /**
   * The connection from a duty holder has ended. A few daemons check whether its process has exited: the next
   * holder needs the time since which it is known to be gone.
   */
  holderDisconnected(host: string): void {
    const holder = this.ports.liveDaemons().find((record) => record.host === host);
    if (holder === undefined) return;
    const isChecker = this.#checkersOf(holder.name).some(({ name }) => name === this.ports.ownName);
    if (isChecker) this.ports.probe(holder);
  }

  /** The process of a daemon has exited. */
  daemonEnded(name: string): void {
    const { ports } = this;
    ports.log('daemon_ended', { name });
    if (ports.isDutyHolder()) return ports.daemonEndedUnderDuty();
    if (this.#checkersOf(name)[0]?.name === ports.ownName)
      this.#mayConnectUntilMs = ports.now() + CONNECT_PERIOD_MS;
    for (const query of ports.logPositionQueries()) void query.daemonEnded();
  }

  #checkersOf(holderName: string): readonly DaemonRecord[] {
    const others = this.ports.liveDaemons().filter(({ name }) => name !== holderName);
    return preferredDaemons(holderName, others, HOLDER_EXIT_CHECKERS);
  }
}
