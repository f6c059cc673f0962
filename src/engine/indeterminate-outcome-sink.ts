/**
 * Adjusts the reported outcome of a request when an earlier attempt of it may have run.
 *
 * @packageDocumentation
 */
import { RequestError, SqlState } from '../verdict/verdict.js';
import type { ResponseSink } from './statement-request.js';

/**
 * Wraps a sink after the connection of an attempt was lost. A verdict of `not_run` from a later attempt holds
 * for that attempt only, so it is reported as `may_have_run` for the request as a whole.
 */
export function indeterminateOutcomeSink<Sink extends ResponseSink>(sink: Sink): Sink {
  return {
    ...sink,
    data: (frames) => sink.data(frames),
    end: (status) => sink.end(status),
    fail: (error, status) => sink.fail(error.verdict === 'not_run' ? indeterminate(error) : error, status),
    notOwner: () => sink.fail(indeterminate(null), 'I'),
  };
}

function indeterminate(error: RequestError | null): RequestError {
  const message = `an earlier attempt was lost${error === null ? '' : `, then: ${error.message}`}`;
  return new RequestError(
    SqlState.statementCompletionUnknown,
    'may_have_run',
    message,
    error?.retryAfterMs ?? null,
  );
}
