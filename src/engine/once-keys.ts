/**
 * Once-only keys (idempotency keys) of writes. The key is inserted into the caller's own database in the same
 * transaction as the write, so that both are committed or neither is.
 *
 * @packageDocumentation
 */

/** Table of the recorded keys; operators create it, see docs/reference/member-interface.md. */
export const ONCE_TABLE = 'sorrelladder_once';

/** SQLSTATE returned when the key has already been recorded (unique violation). */
export const DUPLICATE_KEY_SQL_STATE = '23505';

/** Returns the statement that records a key. */
export function recordKeyStatement(onceKey: string): string {
  return `INSERT INTO ${ONCE_TABLE} (key) VALUES (${quoteLiteral(onceKey)})`;
}

function quoteLiteral(text: string): string {
  const escaped = text.replaceAll('\0', '').replaceAll("'", "''");
  return text.includes('\\') ? ` E'${escaped.replaceAll('\\', '\\\\')}'` : `'${escaped}'`;
}
