/**
 * TCP transport for the messages between the members of one stand-in group.
 *
 * @packageDocumentation
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { MessageChannel } from '../../src/peer/message-channel.js';
import type { GroupMessage } from './replica-log.js';

/** Another member of the group. */
export interface GroupPeer {
  readonly memberId: string;
  readonly host: string;
  readonly port: number;
}

export interface GroupTransportOptions {
  readonly listenHost: string;
  readonly groupPort: number;
  readonly peers: readonly GroupPeer[];
}

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const RECONNECT_DELAY_MS = 50;

/** Sends and receives group messages; a message to a peer without an open connection is dropped. */
export class GroupTransport {
  readonly #server: Server;
  readonly #outgoingChannels = new Map<string, MessageChannel<GroupMessage>>();
  readonly #sockets = new Set<Socket>();
  readonly #connecting = new Set<string>();
  #stopped = false;

  constructor(
    private readonly options: GroupTransportOptions,
    private readonly receive: (message: GroupMessage) => void,
  ) {
    this.#server = createServer((socket) => this.#openChannel(socket));
  }

  async start(): Promise<void> {
    const { groupPort, listenHost } = this.options;
    await new Promise<void>((resolve) => this.#server.listen(groupPort, listenHost, () => resolve()));
  }

  /** Stops immediately and destroys all connections. */
  stop(): void {
    this.#stopped = true;
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Sends a message over the open connection; without one, drops the message and starts to connect. */
  send(peerId: string, message: GroupMessage): void {
    const channel = this.#outgoingChannels.get(peerId);
    if (channel === undefined) this.#connect(peerId);
    else channel.send(message);
  }

  #connect(peerId: string): void {
    const peer = this.options.peers.find(({ memberId }) => memberId === peerId);
    if (peer === undefined || this.#stopped || this.#connecting.has(peerId)) return;
    this.#connecting.add(peerId);
    const socket = connect({ host: peer.host, port: peer.port, localAddress: this.options.listenHost });
    const channel = this.#openChannel(socket);
    socket.once('connect', () => {
      this.#connecting.delete(peerId);
      this.#outgoingChannels.set(peerId, channel);
    });
    socket.once('close', () => {
      this.#outgoingChannels.delete(peerId);
      setTimeout(() => this.#connecting.delete(peerId), RECONNECT_DELAY_MS).unref();
    });
  }

  #openChannel(socket: Socket): MessageChannel<GroupMessage> {
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
    return new MessageChannel<GroupMessage>(socket, MAX_MESSAGE_BYTES, {
      message: (m) => this.receive(m),
      closed: () => undefined,
    });
  }
}
