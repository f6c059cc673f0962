/**
 * Encodes the messages that a server sends (PostgreSQL protocol, version 3).
 *
 * @packageDocumentation
 */
import { buildMessage as message, cstring } from './message-builder.js';
import { BackendType, type TransactionStatus } from './message-types.js';
import type { RequestError } from '../verdict/verdict.js';

function int32(value: number): Buffer {
  const buffer = Buffer.allocUnsafe(4);
  buffer.writeInt32BE(value);
  return buffer;
}

function int16(value: number): Buffer {
  const buffer = Buffer.allocUnsafe(2);
  buffer.writeInt16BE(value);
  return buffer;
}

/** A message without a body. */
export function emptyMessage(type: number): Buffer {
  return message(type);
}

/** AuthenticationOk. */
export function authenticationOk(): Buffer {
  return message(BackendType.authentication, int32(0));
}

/** ParameterStatus: a run-time parameter and its value. */
export function parameterStatus(name: string, value: string): Buffer {
  return message(BackendType.parameterStatus, cstring(name), cstring(value));
}

/** BackendKeyData: the process id and secret key that a client needs for a CancelRequest. */
export function backendKeyData(processId: number, secretKey: number): Buffer {
  return message(BackendType.backendKeyData, int32(processId), int32(secretKey));
}

/** ReadyForQuery. */
export function readyForQuery(status: TransactionStatus): Buffer {
  return message(BackendType.readyForQuery, Buffer.from(status));
}

/** CommandComplete with its tag. */
export function commandComplete(tag: string): Buffer {
  return message(BackendType.commandComplete, cstring(tag));
}

/** A column of a RowDescription: name and type object id. */
export interface ColumnDescription {
  readonly name: string;
  readonly typeOid: number;
}

/** RowDescription. */
export function rowDescription(columns: readonly ColumnDescription[]): Buffer {
  const parts: Buffer[] = [int16(columns.length)];
  for (const column of columns) {
    parts.push(
      cstring(column.name),
      int32(0),
      int16(0),
      int32(column.typeOid),
      int16(-1),
      int32(-1),
      int16(0),
    );
  }
  return message(BackendType.rowDescription, ...parts);
}

/** ParameterDescription. */
export function parameterDescription(typeOids: readonly number[]): Buffer {
  return message(BackendType.parameterDescription, int16(typeOids.length), ...typeOids.map(int32));
}

/** DataRow in text format; `null` is SQL NULL. */
export function dataRow(values: readonly (string | null)[]): Buffer {
  const parts: Buffer[] = [int16(values.length)];
  for (const value of values) {
    if (value === null) {
      parts.push(int32(-1));
      continue;
    }
    const bytes = Buffer.from(value, 'utf8');
    parts.push(int32(bytes.length), bytes);
  }
  return message(BackendType.dataRow, ...parts);
}

/** Fields of an ErrorResponse (PostgreSQL documentation, error and notice message fields). */
export interface ErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  readonly sqlState: string;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

/** ErrorResponse. */
export function errorResponse(fields: ErrorFields): Buffer {
  const parts: Buffer[] = [];
  const add = (code: string, text: string | undefined): void => {
    if (text !== undefined) parts.push(Buffer.from(code), cstring(text));
  };
  add('S', fields.severity);
  add('V', fields.severity);
  add('C', fields.sqlState);
  add('M', fields.message);
  add('D', fields.detail);
  add('H', fields.hint);
  return message(BackendType.errorResponse, ...parts, Buffer.from([0]));
}

/**
 * ErrorResponse for a {@link RequestError}: the detail holds the verdict, the hint the delay before a retry.
 */
export function errorResponseFor(error: RequestError, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
  return errorResponse({
    severity,
    sqlState: error.sqlState,
    message: error.message,
    detail: `verdict=${error.verdict}`,
    ...(error.retryAfterMs === null ? {} : { hint: `retry_after_ms=${Math.ceil(error.retryAfterMs)}` }),
  });
}
