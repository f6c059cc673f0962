/**
 * Once-only writes: the key is recorded in the caller's own database, in the transaction of the write itself,
 * so that either both are there or neither.
 *
 * @packageDocumentation
 */

/** Table that holds the keys; operators create it, see docs/reference/member-interface.md. */
export const ONCE_TABLE = 'sorrelladder_once';

/** SQLSTATE of a key that is there already. */
export const DUPLICATE_KEY_SQL_STATE = '23505';

/** Statement that records a key. */
export function recordKeyStatement(onceKey: string): string {
  return `INSERT INTO ${ONCE_TABLE} (key) VALUES (${quoteLiteral(onceKey)})`;
}

function quoteLiteral(text: string): string {
  const escaped = text.replaceAll('\0', '').replaceAll("'", "''");
  return text.includes('\\') ? ` E'${escaped.replaceAll('\\', '\\\\')}'` : `'${escaped}'`;
}
