/**
 * Keeps the newest configuration and never goes back. Pure.
 *
 * @packageDocumentation
 */
import type { Configuration } from './configuration.js';

/** What became of an offered configuration. */
export type OfferOutcome = 'adopted' | 'known' | 'older' | 'conflict';

/** The newest configuration seen. @public */
export class ConfigurationHolder {
  #current: Configuration | null = null;

  /** The newest configuration, or `null` before the first. */
  get current(): Configuration | null {
    return this.#current;
  }

  /** Version of the newest configuration; 0 before the first. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /**
   * Offers a configuration, from whatever source.
   *
   * `conflict` means another configuration under the same version: the store has lost its history.
   */
  offer(candidate: Configuration): OfferOutcome {
    if (candidate.version < this.version) return 'older';
    if (candidate.version === this.version) {
      return candidate.identity === this.#current?.identity ? 'known' : 'conflict';
    }
    this.#current = candidate;
    return 'adopted';
  }
}
