/**
 * Sends one statement of a session over a pooled connection, after applying the session's values and
 * preparing the statement on that connection where needed.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import type { MemberReply, MemberRequest } from './member-link.js';
import type { SessionLink, SessionValues } from './session-link.js';
import type { PreparedStatement } from './statement.js';

/** A statement as sent to a member, with the prepared statement already resolved by name. */
export type SessionStatement =
  | { readonly kind: 'plain'; readonly payload: string }
  | { readonly kind: 'prepared'; readonly prepared: PreparedStatement; readonly operands: string };

/** A reply, and the time at which the statement was sent. */
export interface TimedReply {
  readonly reply: MemberReply;
  /** In monotonic milliseconds. */
  readonly sentAtMs: number;
}

/**
 * Sends a statement.
 *
 * @param after - position that the member must have reached to run the statement; `null` for none
 * @param checkBeforeSend - called right before the statement is sent; a returned reason prevents sending
 * @returns the reply, or the reason why the statement was not sent
 * @throws LinkLostError
 */
export async function sendStatement(
  link: SessionLink,
  statement: SessionStatement,
  requestId: string,
  values: SessionValues,
  after: Position | null,
  checkBeforeSend: () => string | null,
): Promise<TimedReply | string> {
  const [, request] = await Promise.all([
    link.setSessionValues(values),
    toMemberRequest(link, statement, requestId, after),
  ]);
  const notSentReason = checkBeforeSend();
  if (notSentReason !== null) return notSentReason;
  const sentAtMs = performance.now();
  const reply = await link.send(request);
  if (!reply.result.isComplete && reply.result.code === 'unknown_name') link.close();
  return { reply, sentAtMs };
}

async function toMemberRequest(
  link: SessionLink,
  statement: SessionStatement,
  requestId: string,
  after: Position | null,
): Promise<MemberRequest> {
  if (statement.kind === 'plain') return { kind: 'statement', requestId, payload: statement.payload, after };
  const name = await link.prepare(statement.prepared);
  return { kind: 'execute', requestId, name, operands: statement.operands, after };
}
