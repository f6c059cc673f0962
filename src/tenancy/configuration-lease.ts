/**
 * The lease that limits how long this daemon may act on its configuration. Pure.
 *
 * Once the revocation of a key has been acknowledged, no daemon may serve the key for longer than the
 * revocation bound, not even one that receives no updates. The configuration is therefore held under a lease:
 * it may be acted on while it is known to have been the newest one less than the bound ago. The time of that
 * proof is read from this daemon's monotonic clock before the request is sent, so late replies, process
 * pauses and the time that a proof spends at other daemons only shorten the lease.
 *
 * @packageDocumentation
 */

import { NO_REVISION, type Revision } from '../coordination/revision.js';

/**
 * Proof that no configuration was newer than this version at a point in time. Versions increase with each
 * change that the operator makes, even when the revisions of the store go back.
 */
export interface ConfigurationProof {
  readonly version: number;
  /** Monotonic clock of this daemon, in milliseconds. */
  readonly provenAtMs: number;
}

/**
 * A proof in the form sent to other daemons: with its age, because the clocks of daemons share only their
 * rate.
 */
export interface AgedProof {
  readonly version: number;
  /** Upper bound of the time since the proof was established, in milliseconds. */
  readonly ageMs: number;
}

/** Subtracted from the bound, in milliseconds: clocks of machines run at slightly different rates. */
const CLOCK_DRIFT_MARGIN_MS = 50;

/** The configuration lease of one daemon. */
export class ConfigurationLease {
  #heldVersion = 0;
  #heldRevision = NO_REVISION;
  /** The highest version known to have been accepted. */
  #newestAcceptedVersion = 0;
  /**
   * A time by which that version had been accepted. A later proof of an older version comes from a store that
   * was restored from an earlier copy.
   */
  #newestAcceptedByMs = Number.NEGATIVE_INFINITY;
  /** The most recent proof, possibly of a configuration that this daemon has not received yet. */
  #latestProof: ConfigurationProof | null = null;
  /** The most recent proof that covers the held configuration. */
  #heldProof: ConfigurationProof | null = null;

  /**
   * @param boundMs - how long a key may be served after its revocation; `null` when the bound is not strict
   */
  constructor(readonly boundMs: number | null) {}

  /** True when a proof is needed to act on the configuration: the bound is strict. */
  get requiresProof(): boolean {
    return this.boundMs !== null;
  }

  /** Version of the active configuration; 0 before the first. */
  get heldVersion(): number {
    return this.#heldVersion;
  }

  /** Revision under which the store last returned it; {@link NO_REVISION} before the first. */
  get heldRevision(): Revision {
    return this.#heldRevision;
  }

  /** Records that the configuration of this version is active and is stored under this revision. */
  adopt(version: number, revision: Revision, nowMs: number): void {
    if (version < this.#heldVersion) return;
    this.#heldVersion = version;
    this.#heldRevision = revision;
    this.observeVersion(version, nowMs);
    if (this.#latestProof !== null && this.#latestProof.version <= version)
      this.#heldProof = this.#latestProof;
  }

  /** Records that a version had been accepted by `nowMs`, because it is active at some daemon. */
  observeVersion(version: number, nowMs: number): void {
    if (version <= this.#newestAcceptedVersion) return;
    this.#newestAcceptedVersion = version;
    this.#newestAcceptedByMs = nowMs;
  }

  /** Records a proof, and renews the lease if the proof covers the held configuration. */
  recordProof(proof: ConfigurationProof): void {
    this.observeVersion(proof.version, proof.provenAtMs);
    const isContradicted =
      proof.version < this.#newestAcceptedVersion && proof.provenAtMs >= this.#newestAcceptedByMs;
    if (isContradicted) return;
    if (this.#latestProof === null || proof.provenAtMs > this.#latestProof.provenAtMs)
      this.#latestProof = proof;
    if (proof.version > this.#heldVersion) return;
    if (this.#heldProof === null || proof.provenAtMs > this.#heldProof.provenAtMs) this.#heldProof = proof;
  }

  /** True while the lease is valid: the active configuration may be acted on. */
  isProven(nowMs: number): boolean {
    if (this.boundMs === null) return true;
    return (
      this.#heldProof !== null && nowMs - this.#heldProof.provenAtMs < this.boundMs - CLOCK_DRIFT_MARGIN_MS
    );
  }

  /** Age of the proof that covers the held configuration, in milliseconds; `null` without one. */
  ageMs(nowMs: number): number | null {
    return this.#heldProof === null ? null : nowMs - this.#heldProof.provenAtMs;
  }

  /**
   * The most recent proof, to send to another daemon; `null` without one that is younger than a strict bound.
   */
  shareableProof(nowMs: number): AgedProof | null {
    if (this.boundMs === null || this.#latestProof === null) return null;
    const ageMs = nowMs - this.#latestProof.provenAtMs;
    return ageMs < this.boundMs ? { version: this.#latestProof.version, ageMs } : null;
  }
}
