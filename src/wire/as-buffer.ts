/**
 * Views bytes as a Buffer without copying them.
 *
 * @packageDocumentation
 */

/** The same bytes as a Buffer. */
export function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
