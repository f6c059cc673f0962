/**
 * Records of a load generator: the operations of each session with their times and outcomes.
 *
 * Shares no code with the product, so that a defect of the product cannot hide violations.
 *
 * @packageDocumentation
 */

/** Kind of an operation. */
export type OperationKind = 'write' | 'read' | 'transaction' | 'once';

/**
 * Outcome of an operation as its client observed it.
 *
 * `unknown` means that the connection was lost without an answer.
 */
export type Outcome = 'ok' | 'not_run' | 'may_have_run' | 'ran' | 'error' | 'unknown';

/** One operation of one session. */
export interface Operation {
  /** Unique among all operations. It is written into the rows, so that it appears in the members' logs. */
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
  /** Version that a read returned; 0 for none. */
  readonly observedVersion: number;
  /** Operation id returned with the answer to a read. */
  readonly echoedId: string;
}

/** One transaction in a member's log. */
export interface LoggedTransaction {
  readonly term: number;
  readonly index: number;
  /** Operation ids of the rows that it wrote. */
  readonly operationIds: readonly string[];
}

/** Final state and counters of a member. */
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

/** Input of the checker: all operations and the final state of all members. */
export interface History {
  readonly operations: readonly Operation[];
  readonly members: readonly MemberRecord[];
}
