/**
 * Carries typed messages over one TCP connection: a four-byte length, then the message in MessagePack.
 *
 * @packageDocumentation
 */
import type { Socket } from 'node:net';
import { Packr } from 'msgpackr';

/** Receives what arrives on a channel. */
export interface ChannelListener<Message> {
  message(message: Message): void;
  /** Called once, when the connection has ended for whatever reason. */
  closed(): void;
}

const LENGTH_BYTES = 4;

/** Names of fields are sent once over each connection, with the first message of each shape. */
function newCodec(): Packr {
  return new Packr({ useRecords: true, int64AsType: 'number', sequential: true });
}

/**
 * A connection that carries messages of one type.
 *
 * A frame above the limit, or one that cannot be decoded, ends the connection.
 */
export class MessageChannel<Message> {
  /** Monotonic time of the last arrival, in milliseconds. */
  lastReceivedMs = performance.now();
  /** Bytes sent so far. */
  bytesSent = 0;
  /** Bytes received so far. */
  bytesReceived = 0;
  readonly #encoder = newCodec();
  readonly #decoder = newCodec();
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #outgoing: Buffer[] = [];
  #isFlushScheduled = false;
  #isEnding = false;
  #closed = false;
  #resolveEnded: () => void = () => undefined;
  readonly #ended = new Promise<void>((resolve) => (this.#resolveEnded = resolve));

  constructor(
    private readonly socket: Socket,
    private readonly maxMessageBytes: number,
    private readonly listener: ChannelListener<Message>,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#close());
  }

  /** True once the connection has ended. */
  get isClosed(): boolean {
    return this.#closed;
  }

  /** Sends a message; messages of one turn of the event loop leave in one write. */
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

  /** Ends the connection at once. */
  destroy(): void {
    this.socket.destroy();
  }

  /**
   * Sends what is waiting, then ends the connection; nothing can be sent after that. Resolves once the connection has ended: the
   * other end has then read everything, unless it has gone.
   */
  end(): Promise<void> {
    if (!this.#isEnding) {
      this.#isEnding = true;
      this.#flush();
      this.socket.end();
    }
    return this.#ended;
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
    this.#pending.push(chunk);
    this.#pendingBytes += chunk.length;
    while (!this.#closed && this.#deliverOne());
  }

  /** Delivers the first message if it is whole; joins chunks only once it is. */
  #deliverOne(): boolean {
    if (this.#pendingBytes < LENGTH_BYTES) return false;
    if ((this.#pending[0]?.length ?? 0) < LENGTH_BYTES) this.#join();
    const length = this.#pending[0]?.readUInt32BE(0) ?? 0;
    if (length > this.maxMessageBytes) {
      this.socket.destroy();
      return false;
    }
    if (this.#pendingBytes < LENGTH_BYTES + length) return false;
    this.#join();
    const data = this.#pending[0] ?? Buffer.alloc(0);
    const end = LENGTH_BYTES + length;
    this.#pending = end < data.length ? [data.subarray(end)] : [];
    this.#pendingBytes -= end;
    return this.#deliver(data.subarray(LENGTH_BYTES, end));
  }

  #join(): void {
    if (this.#pending.length > 1) this.#pending = [Buffer.concat(this.#pending)];
  }

  #deliver(body: Buffer): boolean {
    let message: Message;
    try {
      message = this.#decoder.unpack(body) as Message;
    } catch {
      this.socket.destroy();
      return false;
    }
    this.listener.message(message);
    return true;
  }

  #close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#resolveEnded();
    this.listener.closed();
  }
}
