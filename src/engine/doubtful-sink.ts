/**
 * Reports a request of which an earlier attempt may have run.
 *
 * @packageDocumentation
 */
import { RequestError, SqlState } from '../verdict/verdict.js';
import type { AnswerSink } from './statement-request.js';

/**
 * Wraps a sink after an attempt was lost: what a later attempt says of itself, `not_run`, is not true of the
 * request any more.
 */
export function doubtfulSink<Sink extends AnswerSink>(sink: Sink): Sink {
  return {
    ...sink,
    data: (frames) => sink.data(frames),
    end: (status) => sink.end(status),
    fail: (error, status) => sink.fail(error.verdict === 'not_run' ? doubt(error) : error, status),
    notOwner: () => sink.fail(doubt(null), 'I'),
  };
}

function doubt(error: RequestError | null): RequestError {
  const message = `an earlier attempt was lost${error === null ? '' : `, then: ${error.message}`}`;
  return new RequestError(
    SqlState.statementCompletionUnknown,
    'may_have_run',
    message,
    error?.retryAfterMs ?? null,
  );
}
