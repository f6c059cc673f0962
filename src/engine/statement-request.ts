/**
 * A request as it travels from the daemon that holds the client to the daemon that owns the database.
 *
 * @packageDocumentation
 */
import type { StatementKind } from '../statement/statement-kind.js';
import type { TransactionStatus } from '../wire/message-types.js';
import type { RequestError } from '../verdict/verdict.js';

/** A prepared statement that the request refers to. */
export interface PreparedReference {
  /** Name under which the frames refer to it: a hash of text and types. */
  readonly name: string;
  readonly text: string;
  /** Parameter types, as the Parse message carries them. */
  readonly typesPart: Uint8Array;
}

/** One request: a simple query, or extended-protocol messages up to Sync or Flush. */
export interface StatementRequest {
  readonly database: string;
  readonly user: string;
  /** Identity of the client's connection, unique among all daemons. */
  readonly streamId: string;
  /** Identity of the session whose writes must be visible; the connection's own if none was given. */
  readonly session: string;
  /** Zone of the daemon that holds the client. */
  readonly zone: string;
  readonly requestClass: string;
  readonly onceKey: string | null;
  readonly kind: StatementKind;
  readonly isReadOnlyTransaction: boolean;
  readonly leavesSessionState: boolean;
  readonly controlsTransaction: boolean;
  /** SET statements to be in force on the connection, oldest first. */
  readonly settings: readonly string[];
  readonly prepared: readonly PreparedReference[];
  /** Whole protocol messages, the last of them Query, Sync or Flush. */
  readonly frames: Uint8Array;
  readonly terminator: 'query' | 'sync' | 'flush';
  /**
   * What the client takes to be open: a transaction, the batch that its last Flush left open, or nothing. Where it
   * is not open any more, the request must not run on its own.
   */
  readonly continues: 'transaction' | 'batch' | 'nothing';
  /** Time left before an answer is of no use, in milliseconds; `null` to use the policy's. */
  readonly remainingMs: number | null;
}

/** Receives the answer to a request. */
export interface AnswerSink {
  /** Whole protocol messages of the answer, without ReadyForQuery. */
  data(frames: Buffer): void;
  /** The answer is complete. */
  end(status: TransactionStatus): void;
  /** The request is over without its normal answer; `status` is the state its connection is left in. */
  fail(error: RequestError, status: TransactionStatus): void;
  /** The request was not run here: this daemon does not own the database. */
  notOwner(): void;
}
