/**
 * A member connection as used by a session: a direct connection of this daemon, or one on loan from a
 * gateway.
 *
 * @packageDocumentation
 */
import type { MemberReply, MemberRequest } from './member-link.js';
import type { PreparedStatement, TransactionState } from './statement.js';

/** Session values by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** A connection in exclusive use by a session. */
export interface SessionLink {
  readonly isOpen: boolean;
  /** True if the connection is open, no request is in flight and no transaction is open. */
  readonly isClean: boolean;
  /** Transaction state after the last reply. */
  readonly state: TransactionState;
  /**
   * Sets exactly these session values and removes those of earlier sessions.
   *
   * @throws LinkLostError
   */
  setSessionValues(values: SessionValues): Promise<void>;
  /**
   * Prepares a statement unless that is already done, and returns its name at the member.
   *
   * @throws LinkLostError
   */
  prepare(prepared: PreparedStatement): Promise<string>;
  /**
   * @throws LinkLostError; its subclass NotSentError if the request has certainly not been sent to the member
   */
  send(request: MemberRequest): Promise<MemberReply>;
  /** Closes the connection; the member rolls back an open transaction. */
  close(): void;
}
