/**
 * Decides when a daemon that has just started may put a configuration in force. Pure.
 *
 * A majority of the daemons on the machine list is enough: an accepted configuration is known to a majority
 * within seconds, so one of any majority has it. The store's answer is enough too, but since it may come from an
 * old snapshot, the other daemons are given a moment to know better. A lone stale peer is never enough; until
 * then the daemon serves nothing.
 *
 * @packageDocumentation
 */
import { majorityOf } from '../group/group-description.js';
import type { Configuration } from './configuration.js';

/** Collects answers until one may be trusted. */
export class StartupGate {
  readonly #answered = new Set<string>();
  #newest: Configuration | null = null;
  #storeAnswered = false;

  /**
   * @param startedAtMs - monotonic time of the start, in milliseconds
   * @param peerGraceMs - time given to the other daemons before the store alone is trusted, in milliseconds
   */
  constructor(
    private readonly startedAtMs: number,
    private readonly peerGraceMs: number,
  ) {}

  /** Records that the store answered, with what it holds. */
  recordStore(configuration: Configuration | null): void {
    this.#storeAnswered = true;
    this.#keepNewest(configuration);
  }

  /** Records a peer's answer. */
  recordPeer(daemonId: string, configuration: Configuration | null): void {
    this.#answered.add(daemonId);
    this.#keepNewest(configuration);
  }

  /**
   * The configuration to put in force, or `null` while nothing may be trusted.
   *
   * @param daemonCount - daemons on the machine list, this one included
   */
  decide(daemonCount: number, nowMs: number): Configuration | null {
    const hasMajority = this.#answered.size >= majorityOf(daemonCount);
    const hasGivenGrace = nowMs - this.startedAtMs >= this.peerGraceMs;
    return hasMajority || (this.#storeAnswered && hasGivenGrace) ? this.#newest : null;
  }

  #keepNewest(configuration: Configuration | null): void {
    if (configuration === null) return;
    if (this.#newest === null || configuration.version > this.#newest.version) this.#newest = configuration;
  }
}
