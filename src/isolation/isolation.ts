/**
 * The isolation of this daemon as requests see it, and the refusal of those that it cannot serve.
 *
 * @packageDocumentation
 */
import { OTHER_DAEMON_RETRY_AFTER_MS } from '../relay/interrupted-request.js';
import { Refusal, type RefusalDetails } from '../relay/refusal.js';

/** A request in progress. */
export interface IsolationListener {
  /** Abandons what was sent over silent paths; called repeatedly while the daemon is isolated. */
  cutOff(): void;
}

/** The state of the isolation. */
export interface Isolation {
  readonly isIsolated: boolean;
  add(listener: IsolationListener): void;
  remove(listener: IsolationListener): void;
}

/** Reason of the refusals during an isolation. */
export const CUT_OFF_REASON = 'the daemon is cut off';

/** Value of the refusal detail `cause` during an isolation. */
export const ISOLATED_CAUSE = 'isolated';

/**
 * Refuses a request because of the isolation.
 *
 * @param wasSent - true if a read was sent and has no answer; other requests must not have been sent
 */
export function cutOffRefusal(wasSent: boolean, details: RefusalDetails = {}): Refusal {
  const causes = { cause: ISOLATED_CAUSE, ...details };
  if (wasSent)
    return new Refusal('timed_out', 'may_have_run', `no answer in time: ${CUT_OFF_REASON}`, null, causes);
  return new Refusal('busy', 'not_run', CUT_OFF_REASON, OTHER_DAEMON_RETRY_AFTER_MS, causes);
}
