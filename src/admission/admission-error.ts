/**
 * Refusal of a request because of load: it could not be served before its deadline, or too many requests wait.
 *
 * @packageDocumentation
 */
import { NotSentError } from '../relay/member-link.js';

/** What a refusal is based on, for the log. */
export type AdmissionDetails = Readonly<Record<string, string | number>>;

/** Why a request is refused if the estimate of its wait shows that it can't be served in time. */
const WAIT_TOO_LONG = 'the expected wait for a connection exceeds the time left';

/** The pool of a member does not take the request because of load: nothing was sent to the member. */
export class AdmissionError extends NotSentError {
  /**
   * @param retryAfterMs - time after which a retry is expected to be served, in milliseconds
   * @param gateway - name of the gateway that refused the request; `null` if the daemon's own pool did
   */
  constructor(
    readonly retryAfterMs: number,
    readonly details: AdmissionDetails,
    readonly gateway: string | null = null,
    reason = WAIT_TOO_LONG,
  ) {
    super(reason);
  }

  /**
   * Creates an error of a pool without a stack trace: capturing one takes most of the time of a refusal, of which
   * there are many under overload.
   */
  static withoutStack(retryAfterMs: number, details: AdmissionDetails, reason?: string): AdmissionError {
    const { stackTraceLimit } = Error;
    Error.stackTraceLimit = 0;
    try {
      return new AdmissionError(retryAfterMs, details, null, reason);
    } finally {
      Error.stackTraceLimit = stackTraceLimit;
    }
  }
}
