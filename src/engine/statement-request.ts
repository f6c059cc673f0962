/**
 * A request as it is sent from the daemon that the client is connected to, to the daemon that owns the
 * database.
 *
 * @packageDocumentation
 */
import type { StatementKind } from '../statement/statement-kind.js';
import type { TransactionStatus } from '../wire/message-types.js';
import type { RequestError } from '../verdict/verdict.js';

/** A prepared statement that the request refers to. */
export interface PreparedReference {
  /** Name by which the frames refer to the statement: a hash of its text and parameter types. */
  readonly name: string;
  readonly text: string;
  /** Parameter types, encoded as in the Parse message. */
  readonly typesPart: Uint8Array;
}

/** One request: a simple query, or extended-protocol messages up to Sync or Flush. */
export interface StatementRequest {
  readonly database: string;
  readonly user: string;
  /** Identifier of the client's connection, unique across all daemons. */
  readonly streamId: string;
  /** Identifier of the session whose writes must be visible; the connection's own if the client set none. */
  readonly session: string;
  /** Zone of the daemon that the client is connected to. */
  readonly zone: string;
  readonly requestClass: string;
  readonly onceKey: string | null;
  readonly kind: StatementKind;
  readonly isReadOnlyTransaction: boolean;
  readonly leavesSessionState: boolean;
  readonly controlsTransaction: boolean;
  /** SET statements that must have been applied to the connection, oldest first. */
  readonly settings: readonly string[];
  readonly prepared: readonly PreparedReference[];
  /** Complete protocol messages, ending with Query, Sync or Flush. */
  readonly frames: Uint8Array;
  readonly terminator: 'query' | 'sync' | 'flush';
  /**
   * What the client believes to be open: a transaction, the batch that its last Flush left open, or nothing.
   * If that is no longer open, the request must be rejected instead of being run outside of it.
   */
  readonly continues: 'transaction' | 'batch' | 'nothing';
  /**
   * Time left until the client's deadline, in milliseconds; `null` to use only the deadline of the policy.
   */
  readonly remainingMs: number | null;
}

/** Receives the response to a request. */
export interface ResponseSink {
  /** Passes on complete protocol messages of the response, without ReadyForQuery. */
  data(frames: Buffer): void;
  /** Called when the response is complete. */
  end(status: TransactionStatus): void;
  /**
   * Called when the request failed; `status` is the transaction status of the client's connection after it.
   */
  fail(error: RequestError, status: TransactionStatus): void;
  /** Called when the request was not run because this daemon does not own the database. */
  notOwner(): void;
}
