/**
 * The port through which the relay talks to a database member: typed requests, typed replies.
 *
 * @packageDocumentation
 */
import type { Position } from '../position/position.js';
import type { PreparedShape, TransactionState } from './statement.js';

/** A request to a member. */
export type MemberRequest =
  | { readonly kind: 'begin'; readonly isReadOnly: boolean; readonly after: Position | null }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'reset' }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | { readonly kind: 'prepare'; readonly name: string; readonly prepared: PreparedShape }
  | {
      readonly kind: 'statement';
      readonly requestId: string;
      readonly payload: string;
      /** The member has to hold this position, or refuses. */
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
 * Why a member did not do what it was asked.
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

/** How a request to a member ended. */
export type MemberResult =
  | { readonly isComplete: true; readonly signature: string }
  | { readonly isComplete: false; readonly code: MemberErrorCode; readonly text: string };

/** A whole answer of a member. */
export interface MemberReply {
  readonly rows: readonly string[];
  readonly result: MemberResult;
  readonly state: TransactionState;
  /** Position in the member's log when it answered. */
  readonly position: Position | null;
}

/** What a member says of itself. */
export interface MemberStatus {
  readonly isPrimary: boolean;
  readonly term: number;
  /** What it has received of the log. */
  readonly received: Position;
  /** The term of the promotion that paused it; 0 for none. */
  readonly pausedForTerm: number;
}

/** The connection ended, or was given up, before the answer was whole: the request may have run. */
export class LinkLostError extends Error {
  override readonly name: string = 'LinkLostError';
}

/** The connection had ended before the request left: the member has not been sent it, and never will be. */
export class NotSentError extends LinkLostError {
  override readonly name = 'NotSentError';
}

/** No connection could be opened: nothing was sent. */
export class DialError extends Error {
  override readonly name = 'DialError';

  /**
   * @param reason - `refused`: the host answered that nothing listens; `silent`: no answer in time; `slow`: the host
   * took the connection, but the member did not accept the session in time
   */
  constructor(
    readonly reason:
      'refused' | 'silent' | 'slow' | 'lost' | 'wrong_member' | 'too_many_connections' | 'busy',
    message: string,
  ) {
    super(message);
  }
}

/** One connection to a member. Requests are answered in the order in which they were sent. */
export interface MemberLink {
  readonly isOpen: boolean;
  /** Monotonic time at which bytes last arrived, in milliseconds. */
  readonly lastReceivedMs: number;
  /**
   * Sends a request.
   *
   * @throws {@link LinkLostError} when the connection ends first; {@link NotSentError} when it had ended before
   */
  send(request: MemberRequest): Promise<MemberReply>;
  /** Ends the connection; the member rolls back what is open. */
  close(): void;
  /** Sets who is told, once, that the connection has ended, and whether the member or the way to it ended it. */
  onClosed(listener: (isByPeer: boolean) => void): void;
}

/** Where a member is reached. */
export interface MemberAddress {
  readonly memberId: string;
  readonly groupName: string;
  readonly host: string;
  readonly port: number;
}

/** A member, and on whose behalf it is connected to. */
export interface DialTarget extends MemberAddress {
  /** Name of the tenant that the member is told, for the life of the connection; empty where there is none. */
  readonly tenantName: string;
}

/** Opens connections to members. */
export interface MemberDialer {
  /**
   * @param timeoutMs - longest wait for the host to take the connection
   * @param acceptMs - longest wait for the member to accept the session, from the start; the same where it is not given
   * @throws {@link DialError}
   */
  dial(target: DialTarget, timeoutMs: number, acceptMs?: number): Promise<MemberLink>;
}

/** Reads the status out of a reply, or `null` when the member refused. */
export type StatusReader = (reply: MemberReply) => MemberStatus | null;

/**
 * True when a member lacks what a statement asked for because it holds nothing at all: the process that did goes by its id no more. One
 * that holds something may only be late to apply it.
 */
export function hasLostLog({ result, position }: MemberReply): boolean {
  const holdsNothing = position === null || position.index === 0;
  return !result.isComplete && result.code === 'behind' && holdsNothing;
}
