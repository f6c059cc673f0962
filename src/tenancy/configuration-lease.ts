/**
 * For how long this daemon may act on the configuration that it holds. Pure.
 *
 * A key that was taken away must not be served for longer than a bound after that was acknowledged, also by a daemon that
 * hears of nothing. So the configuration is held under a lease: it may be acted on while it is known to have been the newest
 * at a moment less than the bound ago. That moment is taken before the question is put, by this daemon's monotonic clock, so
 * that late answers, pauses of the process and the time that a proof spends at other daemons only shorten the lease.
 *
 * @packageDocumentation
 */

import { NO_REVISION, type Revision } from '../coordination/revision.js';

/**
 * What somebody knows: at a moment, no configuration was newer than the one of this version. Versions rise with each change of the
 * operator's, also where revisions of the store go back.
 */
export interface ConfigurationProof {
  readonly version: number;
  /** Monotonic milliseconds of this daemon. */
  readonly provenAtMs: number;
}

/** A proof as it is handed on: clocks of daemons have nothing in common but their pace. */
export interface AgedProof {
  readonly version: number;
  /** At least the time since the moment of the proof, in milliseconds. */
  readonly ageMs: number;
}

/** Taken off the bound, in milliseconds: clocks of machines run at slightly different paces. */
const SAFETY_MS = 50;

/** The lease of one daemon. */
export class ConfigurationLease {
  #heldVersion = 0;
  #heldRevision = NO_REVISION;
  /** The highest version that is known to have been accepted. */
  #newestVersion = 0;
  /** A moment by which it had been accepted: whoever says later that an older one is the newest has it from a store that went back. */
  #newestSinceMs = Number.NEGATIVE_INFINITY;
  /** The latest proof, also of a configuration that has not come yet. */
  #latest: ConfigurationProof | null = null;
  /** The latest proof that what is held was the newest. */
  #held: ConfigurationProof | null = null;

  /** @param boundMs - how long a key may be served after it was taken away; `null` when no bound is strict */
  constructor(readonly boundMs: number | null) {}

  /** True when proofs are needed. */
  get isNeeded(): boolean {
    return this.boundMs !== null;
  }

  /** Version of the configuration in force; 0 before the first. */
  get heldVersion(): number {
    return this.#heldVersion;
  }

  /** Revision under which the store last told it; {@link NO_REVISION} before the first. */
  get heldRevision(): Revision {
    return this.#heldRevision;
  }

  /** The configuration of a version is in force, and stands in the store under a revision. */
  adopt(version: number, revision: Revision, nowMs: number): void {
    if (version < this.#heldVersion) return;
    this.#heldVersion = version;
    this.#heldRevision = revision;
    this.hear(version, nowMs);
    if (this.#latest !== null && this.#latest.version <= version) this.#held = this.#latest;
  }

  /** Another daemon has a version in force, so it had been accepted by then. */
  hear(version: number, nowMs: number): void {
    if (version <= this.#newestVersion) return;
    this.#newestVersion = version;
    this.#newestSinceMs = nowMs;
  }

  /** Takes a proof. */
  prove(proof: ConfigurationProof): void {
    this.hear(proof.version, proof.provenAtMs);
    const isContradicted = proof.version < this.#newestVersion && proof.provenAtMs >= this.#newestSinceMs;
    if (isContradicted) return;
    if (this.#latest === null || proof.provenAtMs > this.#latest.provenAtMs) this.#latest = proof;
    if (proof.version > this.#heldVersion) return;
    if (this.#held === null || proof.provenAtMs > this.#held.provenAtMs) this.#held = proof;
  }

  /** True while the configuration in force may be acted on. */
  isProven(nowMs: number): boolean {
    if (this.boundMs === null) return true;
    return this.#held !== null && nowMs - this.#held.provenAtMs < this.boundMs - SAFETY_MS;
  }

  /** Time since the moment of the proof by which the configuration is acted on, in milliseconds; `null` without one. */
  ageMs(nowMs: number): number | null {
    return this.#held === null ? null : nowMs - this.#held.provenAtMs;
  }

  /** The latest proof, for another daemon; `null` when it is of no use any more. */
  handOn(nowMs: number): AgedProof | null {
    if (this.boundMs === null || this.#latest === null) return null;
    const ageMs = nowMs - this.#latest.provenAtMs;
    return ageMs < this.boundMs ? { version: this.#latest.version, ageMs } : null;
  }
}
