/**
 * Holds the newest configuration and never replaces it by an older one. Pure.
 *
 * @packageDocumentation
 */
import type { Configuration } from './configuration.js';

/** Result of offering a configuration. */
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
   * Adopts a configuration if it is newer than the current one, whatever its source.
   *
   * `conflict` means a different configuration with the same version: the store has lost its history.
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
