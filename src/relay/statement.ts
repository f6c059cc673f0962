/**
 * Statements of a session, typed by their effect. Payloads are opaque: only a protocol adapter parses or
 * formats them.
 *
 * @packageDocumentation
 */

/** One statement of a session. */
export type Statement =
  | { readonly kind: 'begin'; readonly isReadOnly: boolean }
  | { readonly kind: 'commit'; readonly payload: string }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'read'; readonly payload: string }
  | { readonly kind: 'write'; readonly payload: string }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | { readonly kind: 'prepare'; readonly name: string; readonly prepared: PreparedStatement }
  | { readonly kind: 'execute'; readonly name: string; readonly operands: string }
  | { readonly kind: 'deallocate'; readonly name: string };

/** A prepared statement. */
export interface PreparedStatement {
  readonly isWrite: boolean;
  /** Statement text without its operands, opaque. */
  readonly shape: string;
}

/** A statement with the request identifier assigned by the client. */
export interface ClientRequest {
  readonly requestId: string;
  readonly statement: Statement;
  /** Monotonic time at which its last byte was read, in milliseconds. */
  readonly receivedAtMs: number;
}

/** `idle` outside a transaction, `open` inside one, `failed` inside one that can only be rolled back. */
export type TransactionState = 'idle' | 'open' | 'failed';
