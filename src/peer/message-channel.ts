/**
 * Typed messages over one TCP connection. A frame is a four-byte length followed by the message in
 * MessagePack.
 *
 * @packageDocumentation
 */
import type { Socket } from 'node:net';
import { Packr } from 'msgpackr';
import { checkEndOfStream } from '../common/end-of-stream.js';

/**
 * How a connection ended. `end_of_stream`: the remote side closed it in order, and first; `broken`: in any other
 * way, as by a reset, a time-out, or this side.
 */
export type ConnectionEnd = 'end_of_stream' | 'broken';

/** Callbacks of a channel. */
export interface ChannelListener<Message> {
  message(message: Message): void;
  /** Called once when the connection has ended, for any reason. */
  closed(end: ConnectionEnd): void;
}

/**
 * How a channel closes the connection after a frame that it cannot read. `reset`: as
 * {@link MessageChannel.reset}; `close`: as {@link MessageChannel.destroy}.
 */
export type UnreadableFrameAction = 'reset' | 'close';

const LENGTH_BYTES = 4;
/** A frame without content, which a process that has ended cannot read any more. */
const EMPTY_FRAME = Buffer.alloc(LENGTH_BYTES);

/** Field names are sent once per connection, with the first message of each shape. */
function newCodec(): Packr {
  return new Packr({ useRecords: true, int64AsType: 'number', sequential: true });
}

/**
 * A connection that carries messages of one type.
 *
 * A frame that exceeds the size limit or cannot be decoded closes or resets the connection.
 */
export class MessageChannel<Message> {
  /** Monotonic time at which data was last received, in milliseconds. */
  lastReceivedMs = performance.now();
  /** Bytes sent so far. */
  bytesSent = 0;
  /** Bytes received so far. */
  bytesReceived = 0;
  readonly #encoder = newCodec();
  readonly #decoder = newCodec();
  #unparsed: Buffer[] = [];
  #unparsedBytes = 0;
  #outgoing: Buffer[] = [];
  #isFlushScheduled = false;
  #isEnding = false;
  #end: ConnectionEnd = 'broken';
  #closed = false;
  #resolveEnded: () => void = () => undefined;
  readonly #ended = new Promise<void>((resolve) => (this.#resolveEnded = resolve));

  constructor(
    private readonly socket: Socket,
    private readonly maxMessageBytes: number,
    private readonly listener: ChannelListener<Message>,
    private readonly unreadableFrameAction: UnreadableFrameAction = 'close',
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    // The end of the stream is answered by `#handleEndOfStream`.
    socket.allowHalfOpen = true;
    socket.on('end', () => this.#handleEndOfStream());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#close());
  }

  /** True once the connection has ended. */
  get isClosed(): boolean {
    return this.#closed;
  }

  /** Sends a message; messages sent in the same turn of the event loop are flushed in one write. */
  send(message: Message): void {
    if (this.#closed || this.#isEnding) return;
    const body = this.#encoder.pack(message);
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32BE(body.length);
    this.#outgoing.push(length, body);
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    setImmediate(() => this.#flush());
  }

  /** Closes the connection in order, without flushing outgoing messages. */
  destroy(): void {
    this.socket.destroy();
  }

  /**
   * Resets the connection, without flushing outgoing messages. The remote side can tell this from the end of this
   * process, which closes its connections in order.
   */
  reset(): void {
    if (!this.#closed) this.socket.resetAndDestroy();
  }

  /**
   * Flushes outgoing messages, then closes the connection; later sends are ignored. Resolves once the
   * connection has ended: the remote end has then read everything, unless it has failed.
   */
  end(): Promise<void> {
    if (!this.#isEnding) {
      this.#isEnding = true;
      this.#flush();
      this.socket.end();
    }
    return this.#ended;
  }

  #handleEndOfStream(): void {
    if (this.#isEnding) return void this.socket.end();
    checkEndOfStream(this.socket, EMPTY_FRAME, (isInOrder) => {
      if (isInOrder && !this.#isEnding) this.#end = 'end_of_stream';
      this.socket.destroy();
    });
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    const data = Buffer.concat(this.#outgoing);
    this.#outgoing = [];
    if (this.#closed || data.length === 0) return;
    this.bytesSent += data.length;
    this.socket.write(data);
  }

  #receive(chunk: Buffer): void {
    this.lastReceivedMs = performance.now();
    this.bytesReceived += chunk.length;
    this.#unparsed.push(chunk);
    this.#unparsedBytes += chunk.length;
    while (!this.#closed && this.#deliverNext());
  }

  /** Delivers the next message if all of it has been received; chunks are joined only then. */
  #deliverNext(): boolean {
    if (this.#unparsedBytes < LENGTH_BYTES) return false;
    if ((this.#unparsed[0]?.length ?? 0) < LENGTH_BYTES) this.#joinUnparsed();
    const length = this.#unparsed[0]?.readUInt32BE(0) ?? 0;
    if (length > this.maxMessageBytes) {
      this.#rejectFrame();
      return false;
    }
    if (this.#unparsedBytes < LENGTH_BYTES + length) return false;
    this.#joinUnparsed();
    const data = this.#unparsed[0] ?? Buffer.alloc(0);
    const end = LENGTH_BYTES + length;
    this.#unparsed = end < data.length ? [data.subarray(end)] : [];
    this.#unparsedBytes -= end;
    return this.#decodeAndDeliver(data.subarray(LENGTH_BYTES, end));
  }

  #joinUnparsed(): void {
    if (this.#unparsed.length > 1) this.#unparsed = [Buffer.concat(this.#unparsed)];
  }

  #decodeAndDeliver(body: Buffer): boolean {
    let message: Message;
    try {
      message = this.#decoder.unpack(body) as Message;
    } catch {
      this.#rejectFrame();
      return false;
    }
    this.listener.message(message);
    return true;
  }

  #rejectFrame(): void {
    if (this.unreadableFrameAction === 'reset') this.reset();
    else this.destroy();
  }

  #close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#resolveEnded();
    this.listener.closed(this.#end);
  }
}
