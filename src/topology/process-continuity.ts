/**
 * Signs that another process answers for a member although the directory has not listed a new incarnation: it
 * may list one late, or without a start time.
 *
 * @packageDocumentation
 */
import { formatPosition, hasReached } from '../position/position.js';
import type { MemberStatus } from '../relay/member-link.js';

/**
 * What a member no longer has that it reported before. A running process loses none of it, except that a
 * promotion that is abandoned lifts its pauses.
 */
export type StatusLoss = 'term' | 'position' | 'pause';

/** Two statuses of a member of which the later one lacks what the earlier one had. */
export interface StatusRegression {
  readonly loss: StatusLoss;
  readonly before: MemberStatus;
  readonly after: MemberStatus;
}

/** Since when the same process may have answered for one incarnation. Times are monotonic milliseconds. */
export class ProcessContinuity {
  #mayHaveRestartedAtMs = Number.NEGATIVE_INFINITY;
  #latest: { readonly status: MemberStatus; readonly answeredAtMs: number } | null = null;

  /** Latest time at which the process may have been replaced; negative infinity if there was no sign of it. */
  get mayHaveRestartedAtMs(): number {
    return this.#mayHaveRestartedAtMs;
  }

  /** A connection has broken or could not be opened, or a request was not answered in time. */
  recordInterruption(nowMs: number): void {
    this.#mayHaveRestartedAtMs = nowMs;
  }

  /**
   * Records a status that was received at `nowMs`.
   *
   * @returns what is lost since the status before it, or `null`
   */
  recordStatus(status: MemberStatus, askedAtMs: number, nowMs: number): StatusRegression | null {
    const latest = this.#latest;
    // Of two concurrent queries, the one whose answer is received last may have been answered first.
    if (latest !== null && askedAtMs < latest.answeredAtMs) return null;
    this.#latest = { status, answeredAtMs: nowMs };
    const loss = latest === null ? null : findLoss(latest.status, status);
    if (latest === null || loss === null) return null;
    this.#mayHaveRestartedAtMs = nowMs;
    return { loss, before: latest.status, after: status };
  }
}

/** What a member has lost, with both statuses in a short form, for the log. */
export function describeRegression({
  loss,
  before,
  after,
}: StatusRegression): Readonly<Record<string, string>> {
  return { loss, before: formatStatus(before), after: formatStatus(after) };
}

function formatStatus({ term, received, pausedForTerm }: MemberStatus): string {
  return `term ${term}, received ${formatPosition(received)}, paused for ${pausedForTerm}`;
}

function findLoss(before: MemberStatus, after: MemberStatus): StatusLoss | null {
  if (after.term < before.term) return 'term';
  // Under a later term, a replica that was ahead of the new leader is rolled back.
  if (after.term === before.term && !hasReached(after.received, before.received)) return 'position';
  const isPauseGone = after.pausedForTerm === 0 && after.term < before.pausedForTerm;
  return isPauseGone ? 'pause' : null;
}
