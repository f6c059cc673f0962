/**
 * What a statement does, as far as routing cares.
 *
 * @packageDocumentation
 */

/**
 * Kind of a request.
 *
 * - `read`: only reads, and calls only functions known to have no effect
 * - `write`: anything else that runs on a member; also whatever is not understood
 * - `begin`, `commit`, `rollback`: transaction control
 * - `set`: changes a session setting outside a transaction
 * - `unsupported`: depends on one connection for longer than a transaction
 *
 * @public
 */
export type StatementKind = 'read' | 'write' | 'begin' | 'commit' | 'rollback' | 'set' | 'unsupported';

/** What the parser found out about a text. */
export interface StatementFacts {
  readonly kind: StatementKind;
  /** Number of statements in the text. */
  readonly count: number;
  /** True when the text starts or ends a transaction. */
  readonly controlsTransaction: boolean;
  /** True for a text that leaves settings, locks or listeners on its connection. */
  readonly leavesSessionState: boolean;
  /** True for a transaction that is declared read only. */
  readonly isReadOnlyTransaction: boolean;
}
