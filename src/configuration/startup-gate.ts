/**
 * Decides when a daemon that has just started may adopt a configuration. Pure.
 *
 * Responses of a majority of the daemons on the machine list suffice: an accepted configuration reaches a
 * majority within seconds, so every majority contains a daemon that has it. A response of the store suffices
 * too, but since it may come from an old snapshot, the other daemons first get a grace period to report a
 * newer version. A single peer, which may be stale, never suffices. Until one of the conditions holds, the
 * daemon serves no requests.
 *
 * @packageDocumentation
 */
import { majorityOf } from '../group/group-description.js';
import type { Configuration } from './configuration.js';

/** The next step at start-up. */
export type GateDecision =
  | { readonly kind: 'wait' }
  /** A daemon reported a newer version than any received document: request the document from it. */
  | { readonly kind: 'fetch'; readonly daemonId: string }
  | { readonly kind: 'adopt'; readonly configuration: Configuration };

/** Collects responses until a configuration may be adopted. */
export class StartupGate {
  readonly #peerVersions = new Map<string, number>();
  #newest: Configuration | null = null;
  #storeAnswered = false;

  /**
   * @param startedAtMs - monotonic time of the start, in milliseconds
   * @param peerGraceMs - grace period for the other daemons before the store alone is trusted, in
   * milliseconds
   */
  constructor(
    private readonly startedAtMs: number,
    private readonly peerGraceMs: number,
  ) {}

  /** True once the store has responded; querying a few other daemons is sufficient then. */
  get hasStoreAnswered(): boolean {
    return this.#storeAnswered;
  }

  /** Version of the newest document received; 0 for none. */
  get newestVersion(): number {
    return this.#newest?.version ?? 0;
  }

  /** Records a response of the store; `null` when it holds no configuration. */
  recordStore(configuration: Configuration | null): void {
    this.#storeAnswered = true;
    this.#updateNewest(configuration);
  }

  /** Records a peer's response: the version in force there, and the document if it was sent. */
  recordPeer(daemonId: string, version: number, configuration: Configuration | null): void {
    this.#peerVersions.set(daemonId, version);
    this.#updateNewest(configuration);
  }

  /** True when a daemon has not responded yet. */
  isMissing(daemonId: string): boolean {
    return !this.#peerVersions.has(daemonId);
  }

  /**
   * Returns the next step.
   *
   * @param daemonCount - daemons on the machine list, this one included
   */
  decide(daemonCount: number, nowMs: number): GateDecision {
    const hasMajority = this.#peerVersions.size >= majorityOf(daemonCount);
    const hasGivenGrace = nowMs - this.startedAtMs >= this.peerGraceMs;
    if (!hasMajority && !(this.#storeAnswered && hasGivenGrace)) return { kind: 'wait' };
    for (const [daemonId, version] of this.#peerVersions) {
      if (version > this.newestVersion) return { kind: 'fetch', daemonId };
    }
    return this.#newest === null ? { kind: 'wait' } : { kind: 'adopt', configuration: this.#newest };
  }

  #updateNewest(configuration: Configuration | null): void {
    if (configuration === null) return;
    if (this.#newest === null || configuration.version > this.#newest.version) this.#newest = configuration;
  }
}
