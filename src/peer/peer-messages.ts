/**
 * Messages between daemons.
 *
 * @packageDocumentation
 */
import type { ConfigurationDocument } from '../configuration/configuration-document.js';
import type { PeerRecord } from '../membership/peer-record.js';
import type { StatementRequest } from '../engine/statement-request.js';
import type { SqlStateCode, Verdict } from '../verdict/verdict.js';
import type { TransactionStatus } from '../wire/message-types.js';

/** First message on a connection from the side that opened it. */
export interface HelloMessage {
  readonly kind: 'hello';
  readonly record: PeerRecord;
}

/** Asks the owner of a database to run a request. */
export interface ExecuteMessage {
  readonly kind: 'execute';
  readonly requestId: number;
  readonly request: StatementRequest;
  /** Deadline on the receiver's clock, in milliseconds: the request must not be started later. */
  readonly waitsUntilMs: number;
}

/** Part of a response: complete PostgreSQL protocol messages. */
export interface AnswerDataMessage {
  readonly kind: 'answerData';
  readonly requestId: number;
  readonly frames: Uint8Array;
}

/** End of a response. */
export interface AnswerEndMessage {
  readonly kind: 'answerEnd';
  readonly requestId: number;
  readonly status: TransactionStatus;
}

/** Error response to a request that was refused or lost. */
export interface AnswerErrorMessage {
  readonly kind: 'answerError';
  readonly requestId: number;
  readonly sqlState: SqlStateCode;
  readonly verdict: Verdict;
  readonly message: string;
  readonly retryAfterMs: number | null;
  readonly status: TransactionStatus;
}

/** The receiver does not own the database. The request was not run. */
export interface NotOwnerMessage {
  readonly kind: 'notOwner';
  readonly requestId: number;
}

/** The client's connection has ended: its open transaction is rolled back. */
export interface CloseStreamMessage {
  readonly kind: 'closeStream';
  readonly database: string;
  readonly streamId: string;
}

/** The client requested cancellation of the statement running on its connection. */
export interface CancelMessage {
  readonly kind: 'cancel';
  readonly database: string;
  readonly streamId: string;
}

/**
 * State of the sender, part of every probe and its acknowledgement. The configuration version is not part of
 * the record because every configuration change would then disseminate a new record of every daemon.
 */
export interface SenderState {
  readonly from: string;
  /** Active configuration version of the sender; 0 for none. */
  readonly configurationVersion: number;
}

/** Failure detection probe, with membership updates. */
export interface PingMessage extends SenderState {
  readonly kind: 'ping';
  readonly pingId: number;
  readonly news: readonly PeerRecord[];
}

/** Acknowledgement of a probe, with membership updates. */
export interface AckMessage extends SenderState {
  readonly kind: 'ack';
  readonly pingId: number;
  readonly news: readonly PeerRecord[];
}

/** Keep-alive on a link with pending requests; the receiver replies with its clock. */
export interface KeepAliveMessage {
  readonly kind: 'keepAlive';
  /** As in {@link ExecuteMessage}, for all pending requests. */
  readonly waitsUntilMs: number;
}

/**
 * Monotonic clock of the side that accepted the link: its first message, and the reply to each keep-alive.
 */
export interface ClockMessage {
  readonly kind: 'clock';
  readonly nowMs: number;
}

/** Asks another daemon to probe the target, which did not acknowledge the sender's probe. */
export interface PingRequestMessage {
  readonly kind: 'pingRequest';
  readonly pingId: number;
  readonly target: string;
}

/** Digest of the sender's table; the receiver replies with all its records if its own digest differs. */
export interface DigestMessage {
  readonly kind: 'digest';
  readonly digest: number;
}

/** All records of the sender, sent at first contact and when digests differ. */
export interface SyncMessage {
  readonly kind: 'sync';
  readonly records: readonly PeerRecord[];
  readonly wantsReply: boolean;
}

/** Requests the receiver's active configuration version, and the document if it is newer. */
export interface ConfigurationRequestMessage {
  readonly kind: 'configurationRequest';
  /** Version that the sender has; `null` when it does not need the document. */
  readonly documentIfNewerThan: number | null;
  /** Digest of the databases that the sender already has and that need not be sent again; empty for none. */
  readonly databasesDigest: string;
}

/**
 * Active configuration version of the sender, 0 for none, and the document if it was requested and is newer.
 */
export interface ConfigurationReplyMessage {
  readonly kind: 'configurationReply';
  readonly version: number;
  readonly document: ConfigurationDocument | null;
}

/** Any message between daemons. */
export type PeerMessage =
  | HelloMessage
  | ExecuteMessage
  | AnswerDataMessage
  | AnswerEndMessage
  | AnswerErrorMessage
  | NotOwnerMessage
  | CloseStreamMessage
  | CancelMessage
  | PingMessage
  | KeepAliveMessage
  | ClockMessage
  | AckMessage
  | PingRequestMessage
  | SyncMessage
  | DigestMessage
  | ConfigurationRequestMessage
  | ConfigurationReplyMessage;
