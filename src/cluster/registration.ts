/**
 * From when on this daemon may count answers of witnesses: not before everybody who promotes knows it. Pure.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from './daemon-record.js';
import { REGISTRATION_SETTLE_MS } from '../leadership/leadership-evidence.js';

/** What the records of the store leave open. */
export interface RegisterGaps {
  /** Names of daemons whose records cannot be read. */
  readonly unreadable: ReadonlySet<string>;
  /** True while the store may lack some: it has come back from a copy a moment ago. */
  readonly isBehind: boolean;
}

const NO_GAPS: RegisterGaps = { unreadable: new Set(), isBehind: false };

/** What one daemon knows of its own record in the store. */
export class Registration {
  #countsFromMs = Number.POSITIVE_INFINITY;
  #hasPredecessor = true;
  #isAtFormerAddress = false;

  constructor(private readonly self: DaemonRecord) {}

  /** Monotonic time from which answers of witnesses count, in milliseconds. */
  get countsFromMs(): number {
    return this.#countsFromMs;
  }

  /** True unless this is known to be the first process of this daemon: an earlier one may have acknowledged commits. */
  get hasPredecessor(): boolean {
    return this.#hasPredecessor;
  }

  /** True when the earlier process is known to have taken orders at this one's address: it has ended, since two cannot. */
  get isAtFormerAddress(): boolean {
    return this.#isAtFormerAddress;
  }

  /**
   * Takes the records that the store had before this process registered. Orders to an earlier process at the same address
   * reach this one, so its own record need not be awaited.
   *
   * @param gaps - what the records leave open
   */
  firstLook(
    registered: ReadonlyMap<string, DaemonRecord>,
    nowMs: number,
    { unreadable, isBehind }: RegisterGaps = NO_GAPS,
  ): void {
    const { name } = this.self;
    const earlier = registered.get(name);
    this.#hasPredecessor = earlier !== undefined || unreadable.has(name) || isBehind;
    this.#isAtFormerAddress = earlier !== undefined && hasSameAddress(earlier, this.self);
    if (this.#isAtFormerAddress) this.#countsFromMs = nowMs;
  }

  /** The store has taken the record. */
  registered(nowMs: number): void {
    if (Number.isFinite(this.#countsFromMs)) return;
    this.#countsFromMs = nowMs + REGISTRATION_SETTLE_MS;
  }
}

/** True when orders to one daemon reach the process of the other. */
export function hasSameAddress(left: DaemonRecord, right: DaemonRecord): boolean {
  return left.host === right.host && left.port === right.port;
}
