/**
 * The member stand-in: listens for PostgreSQL clients and for the other members of its group.
 *
 * @packageDocumentation
 */
import { createServer, type Server, type Socket } from 'node:net';
import { errorResponse } from '../../src/wire/backend-messages.js';
import { readStartup } from '../../src/wire/frontend-messages.js';
import {
  CANCEL_REQUEST_CODE,
  GSS_REQUEST_CODE,
  PROTOCOL_VERSION_3,
  SSL_REQUEST_CODE,
} from '../../src/wire/message-types.js';
import { Database, type MemberSettings } from './database.js';
import { GroupTransport, type GroupPeer } from './group-transport.js';
import { ReplicaLog, type LogEntry } from './replica-log.js';
import { MemberSession } from './session.js';
import { Tables } from './tables.js';

/** Addresses, peers and replication settings of a member. */
export interface MemberServerOptions extends MemberSettings {
  readonly listenHost: string;
  readonly listenPort: number;
  readonly groupPort: number;
  readonly peers: readonly GroupPeer[];
  readonly heartbeatIntervalMs: number;
  readonly electionTimeoutMs: number;
  readonly applyLagMs: number;
  readonly electionRank: number;
  readonly initialPrimary: boolean;
}

const TICK_INTERVAL_MS = 10;

/** One running member. */
export class MemberServer {
  readonly database: Database;
  readonly #transport: GroupTransport;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #timer: NodeJS.Timeout | null = null;
  #connectionCount = 0;

  constructor(private readonly options: MemberServerOptions) {
    const tables = new Tables();
    const log = this.#createLog(tables);
    this.database = new Database(options, tables, log);
    this.#transport = new GroupTransport(options, (message) => log.receive(message));
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts to listen for clients and peers, and runs the replicated log. */
  async start(): Promise<void> {
    await this.#transport.start();
    await new Promise<void>((resolve) =>
      this.#server.listen(this.options.listenPort, this.options.listenHost, () => resolve()),
    );
    this.#timer = setInterval(() => this.database.log.tick(), TICK_INTERVAL_MS);
  }

  /** Marks the member as leaving, which its group status reports, and steps down if it is the primary. */
  leave(): void {
    this.database.leavingSinceMs ??= Date.now();
    this.database.log.stepDownPermanently();
  }

  /** Stops immediately and destroys all connections. */
  async stop(): Promise<void> {
    if (this.#timer !== null) clearInterval(this.#timer);
    for (const socket of this.#sockets) socket.destroy();
    this.#transport.stop();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #createLog(tables: Tables): ReplicaLog {
    return new ReplicaLog(
      {
        ...this.options,
        peerIds: this.options.peers.map((peer) => peer.memberId),
        now: () => performance.now(),
      },
      {
        send: (peerId, message) => this.#transport.send(peerId, message),
        apply: (entry: LogEntry) => entry.changes.forEach((change) => tables.apply(change)),
        reset: () => tables.clear(),
        roleChanged: () => undefined,
      },
    );
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
    this.#readStartup(socket);
  }

  #readStartup(socket: Socket): void {
    let pending = Buffer.alloc(0);
    const onData = (chunk: Buffer): void => {
      pending = Buffer.concat([pending, chunk]);
      if (pending.length < 8 || pending.length < pending.readUInt32BE(0)) return;
      const length = pending.readUInt32BE(0);
      const body = pending.subarray(4, length);
      const code = body.readUInt32BE(0);
      pending = pending.subarray(length);
      if (code === SSL_REQUEST_CODE || code === GSS_REQUEST_CODE) {
        socket.write('N');
        return;
      }
      socket.off('data', onData);
      if (code === CANCEL_REQUEST_CODE) this.#cancel(socket, body);
      else if (code === PROTOCOL_VERSION_3) void this.#openSession(socket, body);
      else socket.destroy();
    };
    socket.on('data', onData);
  }

  #cancel(socket: Socket, body: Buffer): void {
    const session = this.database.sessions.get(body.readInt32BE(4));
    if (session !== undefined && session.secretKey === body.readInt32BE(8)) session.cancel();
    socket.end();
  }

  async #openSession(socket: Socket, body: Buffer): Promise<void> {
    const { counters, settings } = this.database;
    if (this.#connectionCount >= settings.connectionLimit) {
      counters.refusedConnections += 1;
      socket.end(
        errorResponse({ severity: 'FATAL', sqlState: '53300', message: 'sorry, too many clients already' }),
      );
      return;
    }
    this.#connectionCount += 1;
    counters.openedConnections += 1;
    counters.highestConnections = Math.max(counters.highestConnections, this.#connectionCount);
    socket.once('close', () => (this.#connectionCount -= 1));
    const startup = readStartup(body);
    if (settings.openDelayMs > 0) await new Promise((resolve) => setTimeout(resolve, settings.openDelayMs));
    if (socket.destroyed) return;
    new MemberSession(this.database, socket, startup.parameters.get('application_name') ?? '').start();
  }
}
