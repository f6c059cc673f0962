/**
 * The refusal of a request that is interrupted before its answer arrives. Pure.
 *
 * @packageDocumentation
 */
import { Refusal } from './refusal.js';
import type { Statement } from './statement.js';

/** State of a request when it is interrupted. */
export interface InterruptedRequest {
  readonly kind: Statement['kind'];
  /** True for a write and for the execution of a prepared write. */
  readonly isWrite: boolean;
  /** The request has been sent to a member. */
  readonly wasSent: boolean;
  readonly isInTransaction: boolean;
  /** A write has been sent in its transaction. */
  readonly hasWritten: boolean;
}

/** Retry delay for a client whose request another daemon can serve at once, in milliseconds. */
export const OTHER_DAEMON_RETRY_AFTER_MS = 0;

/**
 * The final answer. A transaction whose commit was not sent is rolled back when its connection closes. A
 * commit of writes that was sent, and a statement that was sent outside a transaction, may have taken effect.
 */
export function refusalOfInterrupted(
  { kind, isWrite, wasSent, isInTransaction, hasWritten }: InterruptedRequest,
  reason: string,
): Refusal {
  const isInDoubt = wasSent && (isInTransaction ? kind === 'commit' && hasWritten : isWrite);
  if (isInDoubt) return new Refusal('in_doubt', 'may_have_run', reason);
  if (isInTransaction) return new Refusal('aborted', 'not_run', reason, OTHER_DAEMON_RETRY_AFTER_MS);
  if (wasSent) return new Refusal('timed_out', 'may_have_run', reason);
  return new Refusal('busy', 'not_run', reason, OTHER_DAEMON_RETRY_AFTER_MS);
}
