/**
 * Properties of a statement that routing depends on.
 *
 * @packageDocumentation
 */

/**
 * Kind of a request.
 *
 * - `read`: only reads, and calls only functions known to have no side effects
 * - `write`: any other statement that runs on a member, and any text that cannot be parsed
 * - `begin`, `commit`, `rollback`: transaction control
 * - `set`: changes a session setting outside a transaction
 * - `unsupported`: needs the same connection beyond the end of a transaction
 *
 * @public
 */
export type StatementKind = 'read' | 'write' | 'begin' | 'commit' | 'rollback' | 'set' | 'unsupported';

/** What the parser determined about a text. */
export interface StatementClassification {
  readonly kind: StatementKind;
  /** Number of statements in the text. */
  readonly count: number;
  /** True when the text starts or ends a transaction. */
  readonly controlsTransaction: boolean;
  /** True when the text leaves settings, locks or listeners on its connection. */
  readonly leavesSessionState: boolean;
  /** True when the text starts a transaction that is declared read only. */
  readonly isReadOnlyTransaction: boolean;
}
