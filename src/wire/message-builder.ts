/**
 * Encodes protocol messages.
 *
 * @packageDocumentation
 */

const HEADER_BYTES = 5;
const LENGTH_FIELD_BYTES = 4;

/** Builds a message from its type byte and the parts of its body. */
export function buildMessage(type: number, ...parts: Buffer[]): Buffer {
  const body = Buffer.concat(parts);
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header[0] = type;
  header.writeUInt32BE(body.length + LENGTH_FIELD_BYTES, 1);
  return Buffer.concat([header, body]);
}

/**
 * Encodes a null-terminated string; null characters inside the text are removed, as they would end it early.
 */
export function cstring(text: string): Buffer {
  return Buffer.from(`${text.replaceAll('\0', '')}\0`, 'utf8');
}
