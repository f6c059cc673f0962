/**
 * Collects the doubts of daemons about the leader of one group. Pure: times are passed in, in monotonic
 * milliseconds.
 *
 * @packageDocumentation
 */
import type { Suspicion, SuspicionReason } from '../cluster/peer-mesh.js';

/** For how long a doubt counts, in milliseconds. */
const DOUBT_MS = 500;
/** For how long a daemon has to be without the leader before that is a reason of its own, in milliseconds. */
const LASTING_MS = 500;
/** Part of the daemons that has to be without the leader, and their least number. */
const REPORTER_SHARE = 0.3;
const LEAST_REPORTERS = 2;

interface Doubt {
  readonly memberId: string;
  readonly sinceMs: number;
  readonly lastMs: number;
}

/** Doubts about one group's leader, by reason and reporter. */
export class Doubts {
  readonly #doubts = new Map<SuspicionReason, Map<string, Doubt>>();

  /** Takes a doubt. */
  add({ memberId, reason, reporter }: Suspicion, nowMs: number): void {
    let byReporter = this.#doubts.get(reason);
    if (byReporter === undefined) {
      byReporter = new Map();
      this.#doubts.set(reason, byReporter);
    }
    const known = byReporter.get(reporter);
    const goesOn = known !== undefined && known.memberId === memberId && nowMs - known.lastMs < DOUBT_MS;
    byReporter.set(reporter, { memberId, sinceMs: goesOn ? known.sinceMs : nowMs, lastMs: nowMs });
  }

  /** True when a daemon doubts the leader for this reason. */
  has(reason: SuspicionReason, memberId: string, nowMs: number): boolean {
    return this.#recent(reason, memberId, nowMs).length > 0;
  }

  /** How many daemons doubt the leader for this reason. */
  count(reason: SuspicionReason, memberId: string, nowMs: number): number {
    return this.#recent(reason, memberId, nowMs).length;
  }

  /** How many daemons have been without the leader for a while, if they are enough to replace it; else 0. */
  withoutLeader(memberId: string, daemons: number, nowMs: number): number {
    const lasting = this.#recent('silent', memberId, nowMs).filter(
      ({ sinceMs, lastMs }) => lastMs - sinceMs >= LASTING_MS,
    );
    const needed = Math.max(LEAST_REPORTERS, Math.ceil(daemons * REPORTER_SHARE));
    return lasting.length >= needed ? lasting.length : 0;
  }

  /** Forgets all doubts: the leader has been replaced. */
  clear(): void {
    this.#doubts.clear();
  }

  #recent(reason: SuspicionReason, memberId: string, nowMs: number): readonly Doubt[] {
    const doubts = [...(this.#doubts.get(reason)?.values() ?? [])];
    return doubts.filter((doubt) => doubt.memberId === memberId && nowMs - doubt.lastMs < DOUBT_MS);
  }
}
