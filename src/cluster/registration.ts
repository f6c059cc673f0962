/**
 * Determines from when on this daemon may count answers as evidence: not before every daemon that may promote
 * knows of it. Pure.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from './daemon-record.js';
import { REGISTRATION_SETTLE_MS, type EvidenceSource } from '../leadership/leadership-evidence.js';

/** Known gaps in the daemon records of the store. */
export interface RegistryGaps {
  /** Names of daemons whose records cannot be parsed. */
  readonly unreadable: ReadonlySet<string>;
  /** True while the store may lack records, because it was recently restored from a backup. */
  readonly isIncomplete: boolean;
}

const NO_GAPS: RegistryGaps = { unreadable: new Set(), isIncomplete: false };

/** State of a daemon's own record in the store. */
export class Registration {
  #registeredAtMs = Number.POSITIVE_INFINITY;
  #hasPredecessor = true;
  #isAtFormerAddress = false;

  constructor(private readonly self: DaemonRecord) {}

  /** When the store had accepted the record of this process, in monotonic milliseconds. */
  get registeredAtMs(): number {
    return this.#registeredAtMs;
  }

  /**
   * Monotonic time from which evidence from a source is valid, in milliseconds. Before its registration, a process
   * counts none: a promotion would not know of it. A promotion reads the register of daemons after its record in
   * the store, so a later read of the store shows the record; and the holder of the duty answers only daemons that
   * it knows.
   */
  countsFromMs(source: EvidenceSource): number {
    const isSettled = source.kind === 'members' || (source.kind === 'daemon' && !source.isHolder);
    return isSettled ? this.#registeredAtMs + REGISTRATION_SETTLE_MS : this.#registeredAtMs;
  }

  /**
   * False only if this is known to be the daemon's first process; an earlier one may have acknowledged
   * commits.
   */
  get hasPredecessor(): boolean {
    return this.#hasPredecessor;
  }

  /**
   * True when an earlier process is known to have listened for orders at this process's address. It has
   * exited then, because two processes cannot listen at one address.
   */
  get isAtFormerAddress(): boolean {
    return this.#isAtFormerAddress;
  }

  /**
   * Takes the records that the store held before this process registered.
   *
   * @param gaps - known gaps in the records
   */
  applyInitialRecords(
    registered: ReadonlyMap<string, DaemonRecord>,
    { unreadable, isIncomplete }: RegistryGaps = NO_GAPS,
  ): void {
    const { name } = this.self;
    const earlier = registered.get(name);
    this.#hasPredecessor = earlier !== undefined || unreadable.has(name) || isIncomplete;
    this.#isAtFormerAddress = earlier !== undefined && hasSameAddress(earlier, this.self);
  }

  /** The store has accepted this daemon's record. */
  markRegistered(nowMs: number): void {
    this.#registeredAtMs = Math.min(this.#registeredAtMs, nowMs);
  }
}

/** True when orders sent to one daemon reach the other's process. */
export function hasSameAddress(left: DaemonRecord, right: DaemonRecord): boolean {
  return left.host === right.host && left.port === right.port;
}
