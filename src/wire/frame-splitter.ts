/**
 * Splits a byte stream of the PostgreSQL protocol (version 3) into complete messages.
 *
 * @packageDocumentation
 */

/** Thrown when a message has a length or type that the protocol or a limit does not allow. */
export class FrameError extends Error {}

const HEADER_BYTES = 5;
const LENGTH_FIELD_BYTES = 4;

/** Buffers chunks and returns complete messages, each with its type byte and length field. */
export class FrameSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** @param maxFrameBytes - maximum value of the length field, in bytes */
  constructor(private readonly maxFrameBytes: number) {}

  /** Number of buffered bytes, which belong to an incomplete message. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /**
   * Adds a chunk and returns the messages it completes.
   *
   * @throws FrameError when a length field is below 4 or above the limit
   */
  push(chunk: Buffer): Buffer[] {
    const data = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const frames: Buffer[] = [];
    let offset = 0;
    while (data.length - offset >= HEADER_BYTES) {
      const length = data.readUInt32BE(offset + 1);
      if (length < LENGTH_FIELD_BYTES || length > this.maxFrameBytes) {
        throw new FrameError(`message length ${length} is outside 4..${this.maxFrameBytes}`);
      }
      const end = offset + 1 + length;
      if (end > data.length) break;
      frames.push(data.subarray(offset, end));
      offset = end;
    }
    this.#pending = offset === data.length ? Buffer.alloc(0) : data.subarray(offset);
    return frames;
  }
}
