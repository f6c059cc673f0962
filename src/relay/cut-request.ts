/**
 * What the client of a request is told that is ended before its answer is there. Pure.
 *
 * @packageDocumentation
 */
import { Refusal } from './refusal.js';
import type { Statement } from './statement.js';

/** What is known of a request when it is cut. */
export interface CutRequest {
  readonly kind: Statement['kind'];
  /** For a prepared statement, whether it writes; else what the kind says. */
  readonly isWrite: boolean;
  /** A member has been sent it. */
  readonly wasSent: boolean;
  readonly isInTransaction: boolean;
  /** Its transaction has written. */
  readonly hasWritten: boolean;
}

/** Advice to a client whose request another daemon can serve at once, in milliseconds. */
export const ELSEWHERE_RETRY_AFTER_MS = 0;

/**
 * The final answer. A transaction whose commit was not sent is rolled back with its connection; what a member has been sent
 * outside of one, and a commit of writes, may have taken effect.
 */
export function refusalOfCut(
  { kind, isWrite, wasSent, isInTransaction, hasWritten }: CutRequest,
  reason: string,
): Refusal {
  const isInDoubt = wasSent && (isInTransaction ? kind === 'commit' && hasWritten : isWrite);
  if (isInDoubt) return new Refusal('in_doubt', 'may_have_run', reason);
  if (isInTransaction) return new Refusal('aborted', 'not_run', reason, ELSEWHERE_RETRY_AFTER_MS);
  if (wasSent) return new Refusal('timed_out', 'may_have_run', reason);
  return new Refusal('busy', 'not_run', reason, ELSEWHERE_RETRY_AFTER_MS);
}
