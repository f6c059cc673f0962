/**
 * Messages between a daemon and a gateway that lends it connections to members.
 *
 * A loan is one use of a member connection: a single statement, or a transaction. The gateway takes a connection
 * when the first request of a loan arrives, and takes it back when the loan is returned, or when a statement outside
 * a transaction has been answered.
 *
 * @packageDocumentation
 */
import type { EvidenceReply } from '../leadership/evidence-exchange.js';
import type { RelayResponse } from '../coordination/change-relay.js';
import type { Revision } from '../coordination/revision.js';
import type { MemberReply, MemberRequest } from '../relay/member-link.js';
import type { Grant, GrantRequest } from '../quota/quota-home.js';
import type { PreparedStatement } from '../relay/statement.js';
import type { PassedConfiguration } from '../tenancy/lease-renewal.js';

/** Begins a loan; nothing is sent to the member yet. */
export interface BorrowMessage {
  readonly type: 'borrow';
  readonly loan: number;
  readonly groupName: string;
  readonly memberId: string;
  /** Start of the life of the member that is meant, in milliseconds of the Unix epoch; any will do where it is not given. */
  readonly bornMs?: number | null;
  /** Name of the tenant that the connection has to belong to; `null` where any will do. */
  readonly tenantName: string | null;
  readonly priority: number;
  /** Longest wait for a connection, in milliseconds. */
  readonly waitMs: number;
}

/** The session values that the following requests of the loan are to meet. */
export interface ValuesMessage {
  readonly type: 'values';
  readonly loan: number;
  readonly values: readonly (readonly [string, string])[];
}

/** A request to the member, answered in order. */
export interface LoanRequestMessage {
  readonly type: 'request';
  readonly loan: number;
  readonly request: MemberRequest;
  /** What has to be prepared before an `execute`. */
  readonly prepared: PreparedStatement | null;
}

/** Ends a loan; what is open is rolled back. */
export interface ReturnMessage {
  readonly type: 'return';
  readonly loan: number;
}

/** The member's answer, or the gateway's word that nothing was sent (`busy`). */
export interface LoanReplyMessage {
  readonly type: 'reply';
  readonly loan: number;
  readonly reply: MemberReply;
}

/** The loan is over: the member's connection was lost, or given up. What is open is rolled back. */
export interface LoanLostMessage {
  readonly type: 'lost';
  readonly loan: number;
  readonly reason: string;
  /** True when nothing that the loan has not been answered was sent, or will be; otherwise it may have run. */
  readonly isUnsent: boolean;
}

/** Asks for a sign of life, or gives one. */
export interface GatewaySignMessage {
  readonly type: 'ping' | 'pong';
}

/** The gateway is about to stop: no new loans. */
export interface GatewayLeavesMessage {
  readonly type: 'leaving';
}

/** The last message of a gateway that stops: it reads nothing more, so what it has not spoken of was not sent. */
export interface GatewayEndsMessage {
  readonly type: 'ended';
}

/** Asks for evidence of leaders, and gives it. */
export interface EvidenceQuestionMessage {
  readonly type: 'ask_evidence';
  readonly id: number;
  /** Version of the leaders that whoever asks has been sent over this connection. */
  readonly knownVersion: number;
}

/** What the gateway can prove. */
export interface EvidenceAnswerMessage {
  readonly type: 'evidence';
  readonly id: number;
  readonly answer: EvidenceReply;
}

/** Asks for changes of the store after a revision. */
export interface ChangesQuestionMessage {
  readonly type: 'ask_changes';
  readonly id: number;
  readonly afterRevision: Revision;
  /** Longest wait for a change, in milliseconds. */
  readonly waitMs: number;
}

/** What the daemon has heard of the store. */
export interface ChangesAnswerMessage {
  readonly type: 'changes';
  readonly id: number;
  readonly answer: RelayResponse;
}

/** Asks for a proof that a configuration is the newest, and for a newer one. */
export interface ConfigurationQuestionMessage {
  readonly type: 'ask_configuration';
  readonly id: number;
  readonly heldVersion: number;
}

/** What the daemon knows of the newest configuration. */
export interface ConfigurationAnswerMessage {
  readonly type: 'configuration';
  readonly id: number;
  readonly answer: PassedConfiguration;
}

/** Asks the home of a tenant for operations. */
export interface GrantQuestionMessage {
  readonly type: 'ask_grant';
  readonly id: number;
  readonly request: GrantRequest;
}

/** What the home grants; `null` when this daemon is not the one to ask. */
export interface GrantAnswerMessage {
  readonly type: 'grant';
  readonly id: number;
  readonly grant: Grant | null;
}

/** Any message on a connection to a gateway. */
export type GatewayMessage =
  | BorrowMessage
  | ValuesMessage
  | LoanRequestMessage
  | ReturnMessage
  | LoanReplyMessage
  | LoanLostMessage
  | GatewaySignMessage
  | GatewayLeavesMessage
  | GatewayEndsMessage
  | EvidenceQuestionMessage
  | EvidenceAnswerMessage
  | ChangesQuestionMessage
  | ChangesAnswerMessage
  | ConfigurationQuestionMessage
  | ConfigurationAnswerMessage
  | GrantQuestionMessage
  | GrantAnswerMessage;

/** Largest message, in bytes. */
export const MAX_GATEWAY_MESSAGE_BYTES = 2 * 1024 * 1024 + 64 * 1024;
