/**
 * Sends one statement of a session over a pooled connection that first takes on the session's state.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import type { MemberReply, MemberRequest } from './member-link.js';
import type { SessionLink, SessionValues } from './session-link.js';
import type { PreparedShape } from './statement.js';

/** A statement that a member runs, with its prepared shape already looked up. */
export type SessionStatement =
  | { readonly kind: 'plain'; readonly payload: string }
  | { readonly kind: 'prepared'; readonly prepared: PreparedShape; readonly operands: string };

/** An answer, and the time at which the statement was sent. */
export interface TimedReply {
  readonly reply: MemberReply;
  /** Monotonic milliseconds. */
  readonly sentAtMs: number;
}

/**
 * Sends a statement.
 *
 * @param mayStillSend - asked right before the statement leaves; a reason keeps it from being sent
 * @returns the answer, or the reason why it was not sent
 * @throws LinkLostError
 */
export async function sendStatement(
  link: SessionLink,
  statement: SessionStatement,
  requestId: string,
  values: SessionValues,
  after: Position | null,
  mayStillSend: () => string | null,
): Promise<TimedReply | string> {
  const [, request] = await Promise.all([
    link.adoptValues(values),
    toMemberRequest(link, statement, requestId, after),
  ]);
  const obstacle = mayStillSend();
  if (obstacle !== null) return obstacle;
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
