/**
 * Views bytes as a Buffer without copying them.
 *
 * @packageDocumentation
 */

/** Returns a Buffer over the same memory. */
export function asBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
