/**
 * Splits a byte stream of the PostgreSQL protocol (version 3) into whole messages.
 *
 * @packageDocumentation
 */

/** Thrown when a peer sends a length that the protocol or the limit forbids. */
export class FrameError extends Error {}

const HEADER_BYTES = 5;
const LENGTH_FIELD_BYTES = 4;

/** Collects chunks and yields whole messages, each with its type byte and length field. */
export class FrameSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** @param maxFrameBytes - largest message accepted, in bytes */
  constructor(private readonly maxFrameBytes: number) {}

  /** Bytes held back because their message is not complete. */
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
