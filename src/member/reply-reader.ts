/**
 * Parses the fields of server messages that daemons use.
 *
 * @packageDocumentation
 */

const FIELD_SQL_STATE = 0x43;
const FIELD_SEVERITY = 0x53;

/** SQLSTATE of an ErrorResponse; `XX000` when it has none. */
export function readErrorSqlState(frame: Buffer): string {
  return readErrorField(frame, FIELD_SQL_STATE) ?? 'XX000';
}

/** True when the server closes the connection after this ErrorResponse. */
export function isFatalError(frame: Buffer): boolean {
  const severity = readErrorField(frame, FIELD_SEVERITY);
  return severity === 'FATAL' || severity === 'PANIC';
}

function readErrorField(frame: Buffer, field: number): string | null {
  let offset = 5;
  while (offset < frame.length && frame[offset] !== 0) {
    const end = frame.indexOf(0, offset + 1);
    if (end < 0) break;
    if (frame[offset] === field) return frame.toString('utf8', offset + 1, end);
    offset = end + 1;
  }
  return null;
}

/** Column names of a RowDescription. */
export function readColumnNames(frame: Buffer): readonly string[] {
  const count = frame.readInt16BE(5);
  const names: string[] = [];
  let offset = 7;
  for (let i = 0; i < count; i += 1) {
    const end = frame.indexOf(0, offset);
    names.push(frame.toString('utf8', offset, end));
    offset = end + 1 + 18;
  }
  return names;
}

/** Values of a DataRow in text format. */
export function readRow(frame: Buffer): readonly (string | null)[] {
  const count = frame.readInt16BE(5);
  const values: (string | null)[] = [];
  let offset = 7;
  for (let i = 0; i < count; i += 1) {
    const length = frame.readInt32BE(offset);
    offset += 4;
    values.push(length < 0 ? null : frame.toString('utf8', offset, offset + length));
    offset += Math.max(0, length);
  }
  return values;
}
