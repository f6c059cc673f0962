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

/** What to do next. */
export type GateDecision =
  | { readonly kind: 'wait' }
  /** A daemon has a newer configuration than any at hand: ask it for the document. */
  | { readonly kind: 'fetch'; readonly daemonId: string }
  | { readonly kind: 'adopt'; readonly configuration: Configuration };

/** Collects answers until one may be trusted. */
export class StartupGate {
  readonly #versions = new Map<string, number>();
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

  /** True once the store has answered, so that a few other daemons are enough to ask. */
  get hasStoreAnswered(): boolean {
    return this.#storeAnswered;
  }

  /** Version of the newest document at hand; 0 for none. */
  get newestVersion(): number {
    return this.#newest?.version ?? 0;
  }

  /** Records that the store answered, with what it holds. */
  recordStore(configuration: Configuration | null): void {
    this.#storeAnswered = true;
    this.#keepNewest(configuration);
  }

  /** Records a peer's answer: the version it has in force, and the document if it was asked for. */
  recordPeer(daemonId: string, version: number, configuration: Configuration | null): void {
    this.#versions.set(daemonId, version);
    this.#keepNewest(configuration);
  }

  /** True when a daemon has not answered yet. */
  isMissing(daemonId: string): boolean {
    return !this.#versions.has(daemonId);
  }

  /**
   * What to do next.
   *
   * @param daemonCount - daemons on the machine list, this one included
   */
  decide(daemonCount: number, nowMs: number): GateDecision {
    const hasMajority = this.#versions.size >= majorityOf(daemonCount);
    const hasGivenGrace = nowMs - this.startedAtMs >= this.peerGraceMs;
    if (!hasMajority && !(this.#storeAnswered && hasGivenGrace)) return { kind: 'wait' };
    for (const [daemonId, version] of this.#versions) {
      if (version > this.newestVersion) return { kind: 'fetch', daemonId };
    }
    return this.#newest === null ? { kind: 'wait' } : { kind: 'adopt', configuration: this.#newest };
  }

  #keepNewest(configuration: Configuration | null): void {
    if (configuration === null) return;
    if (this.#newest === null || configuration.version > this.#newest.version) this.#newest = configuration;
  }
}
