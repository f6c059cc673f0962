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

/** First message on a connection, from the side that opened it. */
export interface HelloMessage {
  readonly kind: 'hello';
  readonly record: PeerRecord;
}

/** Asks the owner of a database to run a request. */
export interface ExecuteMessage {
  readonly kind: 'execute';
  readonly requestId: number;
  readonly request: StatementRequest;
  /** Time by the receiver's clock until which the sender surely waits, in milliseconds: not to be begun later. */
  readonly waitsUntilMs: number;
}

/** A part of an answer: whole protocol messages. */
export interface AnswerDataMessage {
  readonly kind: 'answerData';
  readonly requestId: number;
  readonly frames: Uint8Array;
}

/** The end of an answer. */
export interface AnswerEndMessage {
  readonly kind: 'answerEnd';
  readonly requestId: number;
  readonly status: TransactionStatus;
}

/** The end of a request that was refused or lost. */
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

/** The client's connection has ended: roll back what is open. */
export interface CloseStreamMessage {
  readonly kind: 'closeStream';
  readonly database: string;
  readonly streamId: string;
}

/** The client asked to cancel the request that runs on its connection. */
export interface CancelMessage {
  readonly kind: 'cancel';
  readonly database: string;
  readonly streamId: string;
}

/**
 * What every probe and answer says of its sender. The version is not part of the record, since every change of
 * configuration would make a record of every daemon news.
 */
export interface SenderState {
  readonly from: string;
  /** Version of the configuration in force at the sender; 0 for none. */
  readonly configurationVersion: number;
}

/** Probe of a daemon, with news. */
export interface PingMessage extends SenderState {
  readonly kind: 'ping';
  readonly pingId: number;
  readonly news: readonly PeerRecord[];
}

/** Answer to a probe, with news. */
export interface AckMessage extends SenderState {
  readonly kind: 'ack';
  readonly pingId: number;
  readonly news: readonly PeerRecord[];
}

/** Asks for a sign of life on a link where an answer is owed; answered with the receiver's clock. */
export interface KeepAliveMessage {
  readonly kind: 'keepAlive';
  /** As in {@link ExecuteMessage}, for all requests that are open. */
  readonly waitsUntilMs: number;
}

/** The monotonic clock of the side that accepted the link, first of all and in answer to each sign of life. */
export interface ClockMessage {
  readonly kind: 'clock';
  readonly nowMs: number;
}

/** Asks a third daemon to probe a suspect. */
export interface PingRequestMessage {
  readonly kind: 'pingRequest';
  readonly pingId: number;
  readonly target: string;
}

/** Asks for all records if the receiver's table differs from the sender's. */
export interface DigestMessage {
  readonly kind: 'digest';
  readonly digest: number;
}

/** All records of the sender, at first contact and where tables differ. */
export interface SyncMessage {
  readonly kind: 'sync';
  readonly records: readonly PeerRecord[];
  readonly wantsReply: boolean;
}

/** Asks for the version of the configuration in force at the receiver, and for the document if it is newer. */
export interface ConfigurationRequestMessage {
  readonly kind: 'configurationRequest';
  /** Version that the asker has; `null` when it wants no document. */
  readonly documentIfNewerThan: number | null;
  /** Digest of the databases that the asker has, which need not be sent again; empty for none. */
  readonly databasesDigest: string;
}

/** The version in force at the sender, 0 for none, and the document if it was asked for. */
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
