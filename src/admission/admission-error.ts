/**
 * Refusal of a request because it could not be served before its deadline.
 *
 * @packageDocumentation
 */
import { NotSentError } from '../relay/member-link.js';

/** What a refusal is based on, for the log. */
export type AdmissionDetails = Readonly<Record<string, string | number>>;

/** The expected wait for a connection exceeds the time left: nothing was sent to the member. */
export class AdmissionError extends NotSentError {
  /**
   * @param retryAfterMs - time after which a retry is expected to be served, in milliseconds
   * @param gateway - name of the gateway that refused the request; `null` if the daemon's own pool did
   */
  constructor(
    readonly retryAfterMs: number,
    readonly details: AdmissionDetails,
    readonly gateway: string | null = null,
  ) {
    super('the expected wait for a connection exceeds the time left');
  }

  /**
   * Creates an error of a pool without a stack trace: capturing one takes most of the time of a refusal, of which
   * there are many under overload.
   */
  static withoutStack(retryAfterMs: number, details: AdmissionDetails): AdmissionError {
    const { stackTraceLimit } = Error;
    Error.stackTraceLimit = 0;
    try {
      return new AdmissionError(retryAfterMs, details);
    } finally {
      Error.stackTraceLimit = stackTraceLimit;
    }
  }
}
