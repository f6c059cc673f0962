/**
 * Client side of a PostgreSQL connection (protocol version 3) to a member of a database group.
 *
 * @packageDocumentation
 */
import { connect, type Socket } from 'node:net';
import { serialize } from 'pg-protocol';
import { CorkedWriter } from '../wire/corked-writer.js';
import { FrameSplitter } from '../wire/frame-splitter.js';
import { BackendType, readTransactionStatus, type TransactionStatus } from '../wire/message-types.js';
import { isFatalError, readColumnNames, readErrorSqlState, readRow } from './reply-reader.js';
import type { ReplyPlan } from './reply-plan.js';

/** Connection settings: address, database and user. */
export interface MemberConnectionOptions {
  readonly host: string;
  readonly port: number;
  readonly database: string;
  readonly user: string;
  readonly applicationName: string;
  /** Local IP address to connect from; `null` lets the operating system choose. */
  readonly localAddress: string | null;
  readonly connectTimeoutMs: number;
}

/** Receives the response of one exchange. */
export interface ExchangeListener {
  /** Complete protocol messages to forward to the client. */
  data(frames: Buffer): void;
  /** The exchange is complete; `sqlState` is that of the first error, or `null`. */
  complete(status: TransactionStatus, sqlState: string | null): void;
  /** The connection was lost before the exchange was complete. */
  lost(): void;
}

/** A batch of messages to send, and how to process the response. */
export interface Exchange {
  readonly bytes: Buffer;
  /** Expected replies; `null` forwards everything up to ReadyForQuery. */
  readonly plan: ReplyPlan | null;
  /** True when the batch ends with Flush, so that no ReadyForQuery follows. */
  readonly endsWithFlush: boolean;
  readonly listener: ExchangeListener;
}

/** Rows of a query, by column name. */
export type QueryRows = readonly Readonly<Record<string, string | null>>[];

/** Thrown when a connection cannot be opened, or is lost during a query. */
export class MemberConnectionError extends Error {
  /** @param sqlState - SQLSTATE of the member's error response, or `null` */
  constructor(
    message: string,
    readonly sqlState: string | null = null,
  ) {
    super(message);
  }
}

interface ActiveExchange extends Exchange {
  sqlState: string | null;
}

const MAX_FRAME_BYTES = 256 * 1024 * 1024;

/** An open connection; responses arrive in the order in which the exchanges were submitted. */
export class MemberConnection {
  /** Names of the statements prepared on this connection. */
  readonly preparedStatementNames = new Set<string>();
  /** SET statements currently applied, joined; `null` when unknown. */
  settingsSignature: string | null = '';
  /** Called once when the connection has ended. */
  onClosed: () => void = () => undefined;
  readonly #splitter = new FrameSplitter(MAX_FRAME_BYTES);
  readonly #exchanges: ActiveExchange[] = [];
  readonly #writer: CorkedWriter;
  #processId = 0;
  #secretKey = 0;
  #closed = false;
  #startupSqlState: string | null = null;

  private constructor(
    private readonly socket: Socket,
    private readonly options: MemberConnectionOptions,
  ) {
    this.#writer = new CorkedWriter(socket);
  }

  /** Opens a connection and waits until the member is ready for queries. @throws MemberConnectionError */
  static open(options: MemberConnectionOptions): Promise<MemberConnection> {
    const { host, port, localAddress } = options;
    const socket = connect({ host, port, ...(localAddress === null ? {} : { localAddress }) });
    socket.setNoDelay(true);
    const connection = new MemberConnection(socket, options);
    return connection.#start();
  }

  /** True once the connection has ended. */
  get isClosed(): boolean {
    return this.#closed;
  }

  /** Bytes sent and received so far. */
  get trafficBytes(): number {
    return this.socket.bytesRead + this.socket.bytesWritten;
  }

  /** Sends an exchange; on a closed connection it is reported as lost immediately. */
  submit(exchange: Exchange): void {
    if (this.#closed) {
      exchange.listener.lost();
      return;
    }
    this.#exchanges.push({ ...exchange, sqlState: null });
    this.#writer.write(exchange.bytes);
  }

  /** Runs a simple query. @throws MemberConnectionError when it fails */
  query(text: string): Promise<QueryRows> {
    return new Promise((resolve, reject) => {
      const splitter = new FrameSplitter(MAX_FRAME_BYTES);
      const frames: Buffer[] = [];
      const listener: ExchangeListener = {
        data: (chunk) => frames.push(...splitter.push(chunk)),
        complete: (_status, sqlState) => {
          if (sqlState !== null) reject(new MemberConnectionError('query failed', sqlState));
          else resolve(toRows(frames));
        },
        lost: () => reject(new MemberConnectionError('connection lost')),
      };
      this.submit({ bytes: serialize.query(text), plan: null, endsWithFlush: false, listener });
    });
  }

  /** Sends a cancel request for the statement running on this connection, over a separate connection. */
  cancel(): void {
    const { host, port, localAddress } = this.options;
    const socket = connect({ host, port, ...(localAddress === null ? {} : { localAddress }) });
    socket.on('error', () => socket.destroy());
    socket.end(serialize.cancel(this.#processId, this.#secretKey));
    socket.setTimeout(this.options.connectTimeoutMs, () => socket.destroy());
  }

  /** Sends Terminate and closes the connection. */
  close(): void {
    if (this.#closed) return;
    this.socket.end(serialize.end());
    this.socket.destroySoon();
    this.#handleClosed();
  }

  /** Closes the connection without Terminate. */
  destroy(): void {
    this.socket.destroy();
    this.#handleClosed();
  }

  #start(): Promise<MemberConnection> {
    return new Promise((resolve, reject) => {
      const fail = (error: MemberConnectionError): void => {
        this.destroy();
        reject(error);
      };
      const timer = setTimeout(
        () => fail(new MemberConnectionError('connect timed out')),
        this.options.connectTimeoutMs,
      );
      this.#exchanges.push({
        bytes: Buffer.alloc(0),
        plan: null,
        endsWithFlush: false,
        sqlState: null,
        listener: {
          data: () => undefined,
          complete: () => {
            clearTimeout(timer);
            resolve(this);
          },
          lost: () => {
            clearTimeout(timer);
            fail(new MemberConnectionError('connection refused or lost', this.#startupSqlState));
          },
        },
      });
      this.socket.on('data', (chunk: Buffer) => this.#receive(chunk));
      this.socket.on('error', () => this.destroy());
      this.socket.on('close', () => this.#handleClosed());
      const { user, database, applicationName } = this.options;
      this.socket.write(serialize.startup({ user, database, application_name: applicationName }));
    });
  }

  #receive(chunk: Buffer): void {
    let forwarded: Buffer[] = [];
    for (const frame of this.#splitter.push(chunk)) {
      const exchange = this.#exchanges[0];
      if (exchange === undefined) {
        this.#handleUnsolicited(frame);
        continue;
      }
      if (this.#handleFrame(exchange, frame)) forwarded.push(frame);
      if (!this.#isComplete(exchange, frame)) continue;
      if (forwarded.length > 0) exchange.listener.data(Buffer.concat(forwarded));
      forwarded = [];
      this.#exchanges.shift();
      const status = frame[0] === BackendType.readyForQuery ? readTransactionStatus(frame) : 'T';
      exchange.listener.complete(status, exchange.sqlState);
    }
    if (forwarded.length > 0) this.#exchanges[0]?.listener.data(Buffer.concat(forwarded));
  }

  /**
   * Outside an exchange, an ErrorResponse means that the member closes the connection; notices are ignored.
   */
  #handleUnsolicited(frame: Buffer): void {
    if (frame[0] === BackendType.errorResponse) this.destroy();
  }

  /** Updates the connection state from a message; true when it is to be forwarded to the client. */
  #handleFrame(exchange: ActiveExchange, frame: Buffer): boolean {
    const type = frame[0] ?? 0;
    switch (type) {
      case BackendType.readyForQuery:
      case BackendType.parameterStatus:
      case BackendType.notificationResponse:
        return false;
      case BackendType.authentication:
        if (frame.readInt32BE(5) !== 0) this.destroy();
        return false;
      case BackendType.backendKeyData:
        this.#processId = frame.readInt32BE(5);
        this.#secretKey = frame.readInt32BE(9);
        return false;
      case BackendType.errorResponse:
        exchange.sqlState ??= readErrorSqlState(frame);
        this.#startupSqlState ??= exchange.sqlState;
        if (isFatalError(frame)) return false;
        break;
      default:
        break;
    }
    return exchange.plan === null || exchange.plan.accept(type);
  }

  #isComplete(exchange: ActiveExchange, frame: Buffer): boolean {
    if (frame[0] === BackendType.readyForQuery) return true;
    return exchange.endsWithFlush && exchange.plan !== null && exchange.plan.isDone;
  }

  #handleClosed(): void {
    if (this.#closed) return;
    this.#closed = true;
    for (const exchange of this.#exchanges.splice(0)) exchange.listener.lost();
    this.onClosed();
  }
}

function toRows(frames: readonly Buffer[]): QueryRows {
  let names: readonly string[] = [];
  const rows: Record<string, string | null>[] = [];
  for (const frame of frames) {
    if (frame[0] === BackendType.rowDescription) names = readColumnNames(frame);
    if (frame[0] !== BackendType.dataRow) continue;
    const values = readRow(frame);
    rows.push(Object.fromEntries(names.map((name, position) => [name, values[position] ?? null])));
  }
  return rows;
}
