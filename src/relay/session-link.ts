/**
 * A member connection as used by a session: a direct connection of this daemon, or one on loan from a
 * gateway.
 *
 * @packageDocumentation
 */
import type { Leader } from '../leadership/leadership-evidence.js';
import type { MemberReply, MemberRequest, StatusReader } from './member-link.js';
import type { PreparedStatement, TransactionState } from './statement.js';

/** Session values by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** What the side that sends to a member uses to verify that its process is the leader. */
export interface LeaderCheck {
  /** True while there is valid evidence that the member leads the term. */
  isProven(leader: Leader): boolean;
  /** True if a later leader is known, or a promotion that may have replaced this one. */
  isReplaced(leader: Leader): boolean;
  readonly readStatus: StatusReader;
}

/**
 * What is known of the process at the other end of a connection. `leader`: it is the leader, or the gateway of
 * the connection verifies that; `empty`: it does not lead, and its log is empty; `unknown`: it may not be the
 * leader.
 */
export type LeaderVerdict = 'leader' | 'empty' | 'unknown';

/** The connection to the gateway that lends a member connection. */
export interface GatewayPath {
  /** Zone of the gateway. */
  readonly zone: string;
  /** Time without any message while a reply is awaited, in milliseconds. */
  readonly unansweredMs: number;
}

/** A connection in exclusive use by a session. */
export interface SessionLink {
  /** Absent on a direct connection. */
  readonly gateway?: GatewayPath;
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
   * Verifies that requests sent after this reach the process that leads, and no other one under its id. A
   * borrowed connection leaves that to its gateway, which refuses requests as not run at any other process.
   *
   * @throws LinkLostError
   */
  verifyLeader(leader: Leader, check: LeaderCheck): Promise<LeaderVerdict>;
  /**
   * Names the leader that a gateway requires for the requests sent after this; without effect on a direct
   * connection.
   */
  requireLeader(leader: Leader): void;
  /** True if the process that gave the last reply was verified to be the leader. */
  isVerifiedLeader(leader: Leader): boolean;
  /**
   * @throws LinkLostError; its subclass NotSentError if the request has certainly not been sent to the member
   */
  send(request: MemberRequest): Promise<MemberReply>;
  /**
   * Sets the listener that is called once when the gateway of a borrowed connection no longer replies, after a
   * statement was sent over it. The answer may still arrive. Never called for a direct connection.
   */
  onUnresponsive(listener: () => void): void;
  /** Closes the connection; the member rolls back an open transaction. */
  close(): void;
}
