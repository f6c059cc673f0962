/**
 * A member connection as a session uses it: one of this daemon's own, or one that a gateway lends.
 *
 * @packageDocumentation
 */
import type { MemberReply, MemberRequest } from './member-link.js';
import type { PreparedShape, TransactionState } from './statement.js';

/** Session values by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** A connection in exclusive use. */
export interface SessionLink {
  /** True while it can be used. */
  readonly isOpen: boolean;
  /** True when nothing is under way and no transaction is open. */
  readonly isClean: boolean;
  /** Transaction state after the last answer. */
  readonly state: TransactionState;
  /**
   * Gives the connection exactly these values; nothing of an earlier session is left.
   *
   * @throws LinkLostError
   */
  adoptValues(values: SessionValues): Promise<void>;
  /**
   * Makes sure that a shape is prepared, and returns its name at the member.
   *
   * @throws LinkLostError
   */
  prepare(prepared: PreparedShape): Promise<string>;
  /** @throws LinkLostError; NotSentError, which is one too, when the member has certainly not been sent the request */
  send(request: MemberRequest): Promise<MemberReply>;
  /** Ends it; the member rolls back what is open. */
  close(): void;
}
