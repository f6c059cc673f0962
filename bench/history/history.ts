/**
 * What a load generator records: who asked what, when, and what came back.
 *
 * Shares no code with the product, so that a fault of the product cannot hide itself.
 *
 * @packageDocumentation
 */

/** What an operation did. */
export type OperationKind = 'write' | 'read' | 'transaction' | 'once';

/**
 * How an operation ended for its client.
 *
 * `unknown` is a lost connection without a word.
 */
export type Outcome = 'ok' | 'not_run' | 'may_have_run' | 'ran' | 'error' | 'unknown';

/** One operation of one session. */
export interface Operation {
  /** Unique among all operations; written into the rows, so that members' logs show it. */
  readonly operationId: string;
  readonly kind: OperationKind;
  readonly database: string;
  readonly session: string;
  readonly daemonId: string;
  readonly key: string;
  /** Version written, or 0 for a read. */
  readonly version: number;
  /** Once-only key, or empty. */
  readonly onceKey: string;
  /** Monotonic times, in milliseconds. */
  readonly startedMs: number;
  readonly endedMs: number;
  readonly outcome: Outcome;
  /** SQLSTATE of a failure, or empty. */
  readonly sqlState: string;
  /** Version that a read saw; 0 for none. */
  readonly observedVersion: number;
  /** Operation id that came back with the answer of a read. */
  readonly echoedId: string;
}

/** One transaction in a member's log. */
export interface LoggedTransaction {
  readonly term: number;
  readonly index: number;
  /** Operation ids of the rows that it wrote. */
  readonly operationIds: readonly string[];
}

/** A member as it was at the end, and what it counted. */
export interface MemberRecord {
  readonly memberId: string;
  readonly database: string;
  readonly term: number;
  readonly isPrimary: boolean;
  readonly log: readonly LoggedTransaction[];
  readonly highestConnections: number;
  readonly connectionLimit: number;
  readonly refusedConnections: number;
}

/** Everything that a checker needs. */
export interface History {
  readonly operations: readonly Operation[];
  readonly members: readonly MemberRecord[];
}
