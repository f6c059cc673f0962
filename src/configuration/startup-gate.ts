/**
 * Decides when a daemon that has just started may put a configuration in force. Pure.
 *
 * The store's answer is enough. Without it, a majority of the other daemons on the machine list must have
 * answered: an accepted configuration is known to a majority of the daemons, so at least one of any majority
 * has it. A lone stale peer is never enough; until then the daemon serves nothing.
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
  decide(daemonCount: number): Configuration | null {
    const isTrusted = this.#storeAnswered || this.#answered.size >= majorityOf(daemonCount);
    return isTrusted ? this.#newest : null;
  }

  #keepNewest(configuration: Configuration | null): void {
    if (configuration === null) return;
    if (this.#newest === null || configuration.version > this.#newest.version) this.#newest = configuration;
  }
}
