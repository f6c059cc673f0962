/**
 * Messages between a daemon and a gateway that lends it connections to members.
 *
 * A loan is one use of a member connection, for a single statement or a transaction. The gateway acquires a
 * connection from its pool when the first request of the loan arrives. It releases the connection when the
 * loan is returned, or after the reply to a statement outside a transaction.
 *
 * A borrower that wants to know that a gateway has a connection before it sends a request asks for a grant.
 *
 * @packageDocumentation
 */
import type { EvidenceReply } from '../leadership/evidence-exchange.js';
import type { Leader } from '../leadership/leadership-evidence.js';
import type { LoadReport } from '../placement/load-report.js';
import type { RelayResponse } from '../coordination/change-relay.js';
import type { Revision } from '../coordination/revision.js';
import type { MemberReply, MemberRequest } from '../relay/member-link.js';
import type { Grant, GrantRequest } from '../quota/quota-home.js';
import type { PreparedStatement } from '../relay/statement.js';
import type { ConfigurationLeaseReply } from '../tenancy/lease-renewal.js';

/** Feature of a gateway that answers a loan with `isGrantWanted` by a grant. */
export const GRANT_FEATURE = 'grant';

/**
 * The first message of a gateway on a connection: what it supports beyond the messages of the first builds.
 * Daemons of earlier builds send no such message and ignore it.
 */
export interface HelloMessage {
  readonly type: 'hello';
  readonly features: readonly string[];
}

/** Starts a loan; nothing is sent to the member yet. */
export interface BorrowMessage {
  readonly type: 'borrow';
  readonly loan: number;
  readonly groupName: string;
  readonly memberId: string;
  /**
   * Start of the requested incarnation of the member, in milliseconds of the Unix epoch; any incarnation if
   * not given.
   */
  readonly bornMs?: number | null;
  /** Tenant to which the connection must belong; `null` for a connection of any tenant. */
  readonly tenantName: string | null;
  readonly priority: number;
  /** Maximum wait for a connection, in milliseconds. */
  readonly waitMs: number;
  /**
   * Time until the reply is due by the latency objective of the request, in milliseconds; negative once that has
   * passed. If not given, the end of `waitMs` counts as the due time.
   */
  readonly dueInMs?: number;
  /** True if the request may have to wait for replicas at the leader. */
  readonly isWrite?: true;
  /**
   * Acquires a connection at once: the gateway answers `granted` once it has one, or `reply` that nothing was
   * sent. Sent only to a gateway that has announced {@link GRANT_FEATURE}.
   */
  readonly isGrantWanted?: true;
}

/**
 * The gateway has a connection for the loan and keeps it for a short time; a request that arrives later is
 * answered as not sent.
 */
export interface GrantedMessage {
  readonly type: 'granted';
  readonly loan: number;
}

/** Session values to apply before the following requests of the loan. */
export interface ValuesMessage {
  readonly type: 'values';
  readonly loan: number;
  readonly values: readonly (readonly [string, string])[];
}

/** A request to the member; replies arrive in the order of the requests. */
export interface LoanRequestMessage {
  readonly type: 'request';
  readonly loan: number;
  readonly request: MemberRequest;
  /** The statement to prepare before an `execute`. */
  readonly prepared: PreparedStatement | null;
  /** The leader as which the member's process has to be verified before the request is sent to it. */
  readonly leader?: Leader;
}

/** Ends a loan; an open transaction is rolled back. */
export interface ReturnMessage {
  readonly type: 'return';
  readonly loan: number;
}

/** The member's reply, or the gateway's own reply that nothing was sent to the member (`busy`). */
export interface LoanReplyMessage {
  readonly type: 'reply';
  readonly loan: number;
  readonly reply: MemberReply;
  /** True if the process that replied was verified to be the leader that the request named. */
  readonly isLeader?: true;
  /**
   * Load of the gateway's pool for the member, on some replies. It comes from another daemon: use it only after
   * `readLoadReport`.
   */
  readonly load?: LoadReport;
  /**
   * Given if the gateway has refused the request because the expected wait for a connection exceeds the time
   * left: the time after which a retry is expected to be served, in milliseconds. Nothing was sent to the member.
   */
  readonly retryAfterMs?: number;
}

/**
 * The gateway has ended the loan, or lost the connection to the member; an open transaction is rolled back.
 */
export interface LoanLostMessage {
  readonly type: 'lost';
  readonly loan: number;
  readonly reason: string;
  /**
   * True if requests without a reply were not sent to the member and never will be; otherwise they may have
   * run.
   */
  readonly isUnsent: boolean;
}

/** A liveness check, or the reply to one. */
export interface GatewayPingMessage {
  readonly type: 'ping' | 'pong';
}

/** The gateway is about to stop and should get no new loans. */
export interface GatewayLeavingMessage {
  readonly type: 'leaving';
}

/**
 * The last message of a gateway that stops. It reads nothing more, so requests that it has not reported on
 * were not sent.
 */
export interface GatewayEndMessage {
  readonly type: 'ended';
}

/** Requests evidence of leadership. */
export interface EvidenceRequestMessage {
  readonly type: 'ask_evidence';
  readonly id: number;
  /** Version of the leaders that the requester last received over this connection. */
  readonly knownVersion: number;
}

/** The evidence that the gateway holds. */
export interface EvidenceReplyMessage {
  readonly type: 'evidence';
  readonly id: number;
  readonly answer: EvidenceReply;
}

/** Requests the changes of the store after a revision. */
export interface ChangesRequestMessage {
  readonly type: 'ask_changes';
  readonly id: number;
  readonly afterRevision: Revision;
  /** Maximum wait for a change, in milliseconds. */
  readonly waitMs: number;
}

/** The changes of the store that the daemon knows. */
export interface ChangesReplyMessage {
  readonly type: 'changes';
  readonly id: number;
  readonly answer: RelayResponse;
}

/** Requests proof that the held configuration is the newest, or a newer one. */
export interface ConfigurationRequestMessage {
  readonly type: 'ask_configuration';
  readonly id: number;
  readonly heldVersion: number;
}

/** The daemon's knowledge of the newest configuration. */
export interface ConfigurationReplyMessage {
  readonly type: 'configuration';
  readonly id: number;
  readonly answer: ConfigurationLeaseReply;
}

/** Requests a grant of operations from a tenant's home or its backup. */
export interface GrantRequestMessage {
  readonly type: 'ask_grant';
  readonly id: number;
  readonly request: GrantRequest;
}

/** The operations granted; `null` if this daemon is not responsible for the tenant's quota. */
export interface GrantReplyMessage {
  readonly type: 'grant';
  readonly id: number;
  readonly grant: Grant | null;
}

/** Any message on a connection between a daemon and a gateway. */
export type GatewayMessage =
  | HelloMessage
  | BorrowMessage
  | GrantedMessage
  | ValuesMessage
  | LoanRequestMessage
  | ReturnMessage
  | LoanReplyMessage
  | LoanLostMessage
  | GatewayPingMessage
  | GatewayLeavingMessage
  | GatewayEndMessage
  | EvidenceRequestMessage
  | EvidenceReplyMessage
  | ChangesRequestMessage
  | ChangesReplyMessage
  | ConfigurationRequestMessage
  | ConfigurationReplyMessage
  | GrantRequestMessage
  | GrantReplyMessage;

/** Maximum message size, in bytes. */
export const MAX_GATEWAY_MESSAGE_BYTES = 2 * 1024 * 1024 + 64 * 1024;
