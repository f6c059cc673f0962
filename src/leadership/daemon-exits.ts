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
import type { ExitSign } from '../cluster/process-exits.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import type { LogPositionQuery } from './log-position-query.js';

/** Number of daemons that query the leaders in place of a duty holder that has exited. */
const HOLDER_EXIT_QUERIERS = 3;
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
   * The process of a daemon has exited. Only duty holders connect to other daemons, so one that does not hold the
   * duty sees the exits of holders only.
   */
  daemonEnded(name: string, sign: ExitSign): void {
    const { ports } = this;
    ports.log('daemon_ended', { name, sign });
    if (ports.isDutyHolder()) return ports.daemonEndedUnderDuty();
    // The daemon that reports it has seen to the query.
    if (sign === 'reported') return;
    const queriers = this.#queriersOf(name);
    if (!queriers.some((querier) => querier.name === ports.ownName)) return;
    if (queriers[0]?.name === ports.ownName) this.#mayConnectUntilMs = ports.now() + CONNECT_PERIOD_MS;
    for (const query of ports.logPositionQueries()) void query.daemonEnded();
  }

  #queriersOf(holderName: string): readonly DaemonRecord[] {
    const others = this.ports.liveDaemons().filter(({ name }) => name !== holderName);
    return preferredDaemons(holderName, others, HOLDER_EXIT_QUERIERS);
  }
}
