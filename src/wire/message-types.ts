/**
 * Type bytes and fixed codes of the PostgreSQL protocol, version 3.
 *
 * @packageDocumentation
 */

/** Type bytes of the messages that clients send. */
export const FrontendType = {
  bind: 0x42,
  close: 0x43,
  describe: 0x44,
  execute: 0x45,
  functionCall: 0x46,
  flush: 0x48,
  parse: 0x50,
  query: 0x51,
  sync: 0x53,
  terminate: 0x58,
  copyData: 0x64,
  copyDone: 0x63,
  copyFail: 0x66,
} as const;

/** Type bytes of the messages that servers send. */
export const BackendType = {
  authentication: 0x52,
  backendKeyData: 0x4b,
  bindComplete: 0x32,
  closeComplete: 0x33,
  commandComplete: 0x43,
  copyInResponse: 0x47,
  dataRow: 0x44,
  emptyQueryResponse: 0x49,
  errorResponse: 0x45,
  noData: 0x6e,
  noticeResponse: 0x4e,
  notificationResponse: 0x41,
  parameterDescription: 0x74,
  parameterStatus: 0x53,
  parseComplete: 0x31,
  portalSuspended: 0x73,
  readyForQuery: 0x5a,
  rowDescription: 0x54,
} as const;

/** Protocol version 3.0 in a StartupMessage. */
export const PROTOCOL_VERSION_3 = 196608;
/** Code of a CancelRequest. */
export const CANCEL_REQUEST_CODE = 80877102;
/** Code of an SSLRequest. */
export const SSL_REQUEST_CODE = 80877103;
/** Code of a GSSENCRequest. */
export const GSS_REQUEST_CODE = 80877104;

/** Transaction status in ReadyForQuery: idle, in a transaction, in a failed transaction. */
export type TransactionStatus = 'I' | 'T' | 'E';

/** Reads the status byte of a ReadyForQuery message; an unknown value counts as a failed transaction. */
export function readTransactionStatus(frame: Buffer): TransactionStatus {
  const status = String.fromCharCode(frame[5] ?? 0x45);
  return status === 'I' || status === 'T' ? status : 'E';
}
