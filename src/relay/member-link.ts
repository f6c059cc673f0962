/**
 * Interface between the relay and a database member: typed requests and typed replies.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import type { PreparedStatement, TransactionState } from './statement.js';

/** A request to a member. */
export type MemberRequest =
  | { readonly kind: 'begin'; readonly isReadOnly: boolean; readonly after: Position | null }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'reset' }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | { readonly kind: 'prepare'; readonly name: string; readonly prepared: PreparedStatement }
  | {
      readonly kind: 'statement';
      readonly requestId: string;
      readonly payload: string;
      /** Position that the member must have reached; otherwise it refuses. */
      readonly after: Position | null;
    }
  | {
      readonly kind: 'execute';
      readonly requestId: string;
      readonly name: string;
      readonly operands: string;
      readonly after: Position | null;
    }
  | { readonly kind: 'status' }
  | { readonly kind: 'pause'; readonly term: number }
  | { readonly kind: 'resume' }
  | { readonly kind: 'demote'; readonly term: number };

/**
 * Why a member did not complete a request.
 *
 * `busy`, `behind`, `read_only`, `unknown_name`, `wrong_member` and `too_many_connections`: not run.
 * `failed`, `timed_out` and `other`: may have run.
 */
export type MemberErrorCode =
  | 'busy'
  | 'behind'
  | 'read_only'
  | 'unknown_name'
  | 'wrong_member'
  | 'too_many_connections'
  | 'failed'
  | 'timed_out'
  | 'other';

/** Outcome of a request to a member. */
export type MemberResult =
  | { readonly isComplete: true; readonly signature: string }
  | { readonly isComplete: false; readonly code: MemberErrorCode; readonly text: string };

/** A complete reply of a member. */
export interface MemberReply {
  readonly rows: readonly string[];
  readonly result: MemberResult;
  readonly state: TransactionState;
  /** Position in the member's log at the time of the reply. */
  readonly position: Position | null;
  /** True if a gateway replied, and nothing was sent to the member. */
  readonly isOfGateway?: true;
}

/** True if the member itself refused a request because it has too many. */
export function isMemberBusy({ result, isOfGateway }: MemberReply): boolean {
  return !result.isComplete && result.code === 'busy' && isOfGateway !== true;
}

/** The state that a member reports about itself. */
export interface MemberStatus {
  readonly isPrimary: boolean;
  readonly term: number;
  /** Position up to which it has received the log. */
  readonly received: Position;
  /** Term of the promotion for which it is paused; 0 if it is not paused. */
  readonly pausedForTerm: number;
}

/** The connection was lost or closed before the reply was complete: the request may have run. */
export class LinkLostError extends Error {
  override readonly name: string = 'LinkLostError';
}

/**
 * The request was not sent, because the connection was already closed or because the request has a field that
 * the protocol does not allow: the member never receives it.
 */
export class NotSentError extends LinkLostError {
  override readonly name = 'NotSentError';
}

/** No connection could be opened: nothing was sent. */
export class DialError extends Error {
  override readonly name = 'DialError';

  /**
   * @param reason - `refused`: the host reported that nothing listens on the port; `silent`: the host did not
   * answer in time; `slow`: the host accepted the connection, but the member did not accept the session in
   * time
   */
  constructor(
    readonly reason:
      'refused' | 'silent' | 'slow' | 'lost' | 'wrong_member' | 'too_many_connections' | 'busy',
    message: string,
  ) {
    super(message);
  }
}

/**
 * How a connection to a member ended. `closed`: this daemon closed it; `exited`: the member's process has ended;
 * `lost`: in any other way, after which the member may still run.
 */
export type LinkEnd = 'closed' | 'exited' | 'lost';

/** A connection to a member. Replies arrive in the order of the requests. */
export interface MemberLink {
  readonly isOpen: boolean;
  /** Position in the member's log when it accepted the connection; `null` if it gave none. */
  readonly openedAt: Position | null;
  /** When bytes were last received, in monotonic milliseconds. */
  readonly lastReceivedMs: number;
  /**
   * Sends a request.
   *
   * @throws {@link LinkLostError} if the connection ends before the reply; {@link NotSentError} if it had
   * ended before the call, or the request cannot be sent
   */
  send(request: MemberRequest): Promise<MemberReply>;
  /** Closes the connection; the member rolls back an open transaction. */
  close(): void;
  /** Sets the listener that is called once when the connection has ended. */
  onClosed(listener: (end: LinkEnd) => void): void;
}

/** Network address of a member. */
export interface MemberAddress {
  readonly memberId: string;
  readonly groupName: string;
  readonly host: string;
  readonly port: number;
}

/** A member and the tenant for which a connection to it is opened. */
export interface DialTarget extends MemberAddress {
  /**
   * Tenant name that is sent to the member and fixed for the lifetime of the connection; empty without a
   * tenant.
   */
  readonly tenantName: string;
}

/** Opens connections to members. */
export interface MemberDialer {
  /**
   * @param timeoutMs - timeout for the host to accept the connection
   * @param acceptMs - timeout for the member to accept the session, from the start of the call; defaults to
   * `timeoutMs`
   * @throws {@link DialError}
   */
  dial(target: DialTarget, timeoutMs: number, acceptMs?: number): Promise<MemberLink>;
}

/** Parses the status in a reply; returns `null` if the member refused the request. */
export type StatusReader = (reply: MemberReply) => MemberStatus | null;

/**
 * True if a member has not reached the required position because its log is empty: the process that had the
 * log no longer runs under this member id. A member with a non-empty log may only be late in applying it.
 */
export function hasLostLog({ result, position }: MemberReply): boolean {
  const holdsNothing = position === null || position.index === 0;
  return !result.isComplete && result.code === 'behind' && holdsNothing;
}
