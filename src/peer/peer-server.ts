/**
 * Accepts links from other daemons and dispatches their requests, probes and other messages.
 *
 * @packageDocumentation
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { ResponseSink, StatementRequest } from '../engine/statement-request.js';
import type { PeerRecord } from '../membership/peer-record.js';
import { MessageChannel } from './message-channel.js';
import { MAX_PEER_MESSAGE_BYTES } from './peer-link.js';
import type { PeerMessage } from './peer-messages.js';

/** Handlers that the daemon provides for incoming messages. */
export interface PeerServerHandlers {
  /** @param isAwaited - false once the sender's deadline has passed: the request must not be started then */
  execute(request: StatementRequest, sink: ResponseSink, isAwaited: () => boolean): void;
  closeStream(database: string, streamId: string): void;
  cancel(database: string, streamId: string): void;
  hello(record: PeerRecord): void;
  /** Handles any other message; replies are sent on the same connection. */
  handle(message: PeerMessage, reply: (message: PeerMessage) => void): void;
}

/** State of the daemon at the remote end of a connection. */
interface Sender {
  /** Database by stream id, for each client connection with a running request or an open transaction. */
  readonly streams: Map<string, string>;
  /** Local time until which it waits for responses, in milliseconds. */
  waitsUntilMs: number;
}

/** Server side of the links between daemons. */
export class PeerServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #closedTrafficBytes = 0;

  constructor(private readonly handlers: PeerServerHandlers) {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Bytes sent and received so far, on open and closed connections. */
  get trafficBytes(): number {
    let traffic = this.#closedTrafficBytes;
    for (const socket of this.#sockets) traffic += socket.bytesRead + socket.bytesWritten;
    return traffic;
  }

  /** Starts to listen. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Stops listening and closes all connections without flushing. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    const sender: Sender = { streams: new Map(), waitsUntilMs: Number.NEGATIVE_INFINITY };
    this.#sockets.add(socket);
    const channel: MessageChannel<PeerMessage> = new MessageChannel(socket, MAX_PEER_MESSAGE_BYTES, {
      message: (message) => this.#handle(channel, sender, message),
      closed: () => {
        this.#sockets.delete(socket);
        this.#closedTrafficBytes += socket.bytesRead + socket.bytesWritten;
        for (const [streamId, database] of sender.streams) this.handlers.closeStream(database, streamId);
      },
    });
    channel.send({ kind: 'clock', nowMs: performance.now() });
  }

  #handle(channel: MessageChannel<PeerMessage>, sender: Sender, message: PeerMessage): void {
    const { streams } = sender;
    switch (message.kind) {
      case 'hello':
        this.handlers.hello(message.record);
        break;
      case 'execute':
        sender.waitsUntilMs = message.waitsUntilMs;
        streams.set(message.request.streamId, message.request.database);
        this.handlers.execute(
          message.request,
          new ChannelSink(channel, message.requestId, () => streams.delete(message.request.streamId)),
          () => performance.now() < sender.waitsUntilMs,
        );
        break;
      case 'keepAlive':
        sender.waitsUntilMs = message.waitsUntilMs;
        channel.send({ kind: 'clock', nowMs: performance.now() });
        break;
      case 'closeStream':
        streams.delete(message.streamId);
        this.handlers.closeStream(message.database, message.streamId);
        break;
      case 'cancel':
        this.handlers.cancel(message.database, message.streamId);
        break;
      default:
        this.handlers.handle(message, (reply) => channel.send(reply));
    }
  }
}

/** Sends a response back over the link. */
class ChannelSink implements ResponseSink {
  constructor(
    private readonly channel: MessageChannel<PeerMessage>,
    private readonly requestId: number,
    /** Called when the client's connection has no open transaction any more. */
    private readonly onIdle: () => void,
  ) {}

  data(frames: Buffer): void {
    this.channel.send({ kind: 'answerData', requestId: this.requestId, frames });
  }

  end(status: Parameters<ResponseSink['end']>[0]): void {
    if (status === 'I') this.onIdle();
    this.channel.send({ kind: 'answerEnd', requestId: this.requestId, status });
  }

  fail(error: Parameters<ResponseSink['fail']>[0], status: Parameters<ResponseSink['fail']>[1]): void {
    const { sqlState, verdict, message, retryAfterMs } = error;
    const { requestId } = this;
    this.onIdle();
    this.channel.send({ kind: 'answerError', requestId, sqlState, verdict, message, retryAfterMs, status });
  }

  notOwner(): void {
    this.onIdle();
    this.channel.send({ kind: 'notOwner', requestId: this.requestId });
  }
}
