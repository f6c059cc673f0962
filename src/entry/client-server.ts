/**
 * Accepts client connections: handles start-up and cancel requests, and enforces the connection limits.
 *
 * @packageDocumentation
 */
import { randomInt } from 'node:crypto';
import { createServer, type Server, type Socket } from 'node:net';
import { parseStartupTags } from '../statement/request-tags.js';
import { RequestError, SqlState } from '../verdict/verdict.js';
import {
  authenticationOk,
  backendKeyData,
  errorResponseFor,
  parameterStatus,
  readyForQuery,
} from '../wire/backend-messages.js';
import { MessageFormatError, readStartup, type StartupMessage } from '../wire/frontend-messages.js';
import {
  CANCEL_REQUEST_CODE,
  GSS_REQUEST_CODE,
  PROTOCOL_VERSION_3,
  SSL_REQUEST_CODE,
} from '../wire/message-types.js';
import { ClientConnection } from './client-connection.js';
import { PauseDetector } from './pause-detector.js';
import type { RequestRouter } from './request-router.js';

/** Settings of the server. */
export interface ClientServerOptions {
  readonly daemonId: string;
  readonly zone: string;
  readonly router: RequestRouter;
  readonly maxConnections: number;
  readonly maxRequestBytes: number;
  readonly maxUnreadBytes: number;
  /** Time in which a client must complete the start-up handshake, in milliseconds. */
  readonly startupTimeoutMs: number;
  /** Returns why no client can be served now, or `null`. */
  readonly unavailable: () => string | null;
  readonly hasDatabase: (name: string) => boolean;
}

interface CancelTarget {
  readonly secretKey: number;
  readonly connection: ClientConnection;
}

const PAUSE_THRESHOLD_MS = 1000;
const PAUSE_WINDOW_MS = 250;
const PAUSE_CHECK_INTERVAL_MS = 100;
const MAX_STARTUP_BYTES = 10_000;
const RETRY_AFTER_UNAVAILABLE_MS = 1000;
const RETRY_AFTER_CONNECTION_LIMIT_MS = 5000;

/** Listens for client connections. */
export class ClientServer {
  readonly #server: Server;
  readonly #connections = new Set<ClientConnection>();
  readonly #cancelTargets = new Map<number, CancelTarget>();
  readonly #pauseDetector = new PauseDetector(
    { thresholdMs: PAUSE_THRESHOLD_MS, windowMs: PAUSE_WINDOW_MS },
    performance.now(),
  );
  #pauseTimer: NodeJS.Timeout | null = null;
  #isCountingIterations = false;
  #nextProcessId = 1;
  #isClosing = false;

  constructor(private readonly options: ClientServerOptions) {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Number of client connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Starts to listen, and to check at regular intervals whether the process was paused. */
  listen(host: string, port: number): Promise<void> {
    this.#pauseTimer = setInterval(() => this.#mayInputPredatePause(), PAUSE_CHECK_INTERVAL_MS);
    this.#pauseTimer.unref();
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /**
   * Stops accepting connections and closes each connection once it is idle. Connections that are left after
   * `timeoutMs` are closed immediately; returns how many of these were busy.
   */
  async drain(timeoutMs: number): Promise<number> {
    this.#isClosing = true;
    this.#server.close();
    for (const connection of [...this.#connections]) connection.closeWhenIdle();
    const deadlineMs = performance.now() + timeoutMs;
    while (this.#connections.size > 0 && performance.now() < deadlineMs) {
      await new Promise((resolve) => setTimeout(resolve, 10));
      for (const connection of [...this.#connections]) connection.closeWhenIdle();
    }
    return [...this.#connections].filter((connection) => connection.closeNow()).length;
  }

  /** True when the process was paused after `sinceMs` (monotonic, in milliseconds). */
  hasPausedSince(sinceMs: number): boolean {
    const hasPaused = this.#pauseDetector.hasPausedSince(sinceMs, performance.now());
    this.#countIterations();
    return hasPaused;
  }

  #mayInputPredatePause(): boolean {
    const mayPredatePause = this.#pauseDetector.tick(performance.now());
    if (mayPredatePause) this.#countIterations();
    return mayPredatePause;
  }

  /** Reports event-loop iterations to the pause detector until it needs no more. */
  #countIterations(): void {
    if (this.#isCountingIterations) return;
    this.#isCountingIterations = true;
    const onIteration = (): void => {
      if (this.#pauseDetector.completeIteration()) setImmediate(onIteration);
      else this.#isCountingIterations = false;
    };
    setImmediate(onIteration);
  }

  #accept(socket: Socket): void {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    const timer = setTimeout(() => socket.destroy(), this.options.startupTimeoutMs);
    socket.once('close', () => clearTimeout(timer));
    let pending = Buffer.alloc(0);
    const onData = (chunk: Buffer): void => {
      pending = Buffer.concat([pending, chunk]);
      const length = pending.length >= 4 ? pending.readUInt32BE(0) : 0;
      if (pending.length >= 4 && (length < 8 || length > MAX_STARTUP_BYTES)) {
        socket.destroy();
        return;
      }
      if (pending.length < 8 || pending.length < length) return;
      const body = pending.subarray(4, length);
      pending = pending.subarray(length);
      if (isEncryptionRequest(body)) {
        socket.write('N');
        return;
      }
      clearTimeout(timer);
      socket.off('data', onData);
      this.#handleStartup(socket, body);
      if (pending.length > 0) socket.unshift(pending);
    };
    socket.on('data', onData);
  }

  #handleStartup(socket: Socket, body: Buffer): void {
    if (body.readUInt32BE(0) === CANCEL_REQUEST_CODE) {
      this.#handleCancelRequest(body);
      socket.end();
      return;
    }
    try {
      const startup = readStartup(body);
      const rejection = this.#checkStartup(startup);
      if (rejection === null) this.#openConnection(socket, startup);
      else socket.end(errorResponseFor(rejection, 'FATAL'));
    } catch (error) {
      const message = error instanceof MessageFormatError ? error.message : 'malformed start-up message';
      socket.end(errorResponseFor(new RequestError(SqlState.protocolViolation, 'not_run', message), 'FATAL'));
    }
  }

  #checkStartup(startup: StartupMessage): RequestError | null {
    const { protocolVersion, parameters } = startup;
    if (protocolVersion !== PROTOCOL_VERSION_3) {
      return new RequestError(
        SqlState.protocolViolation,
        'not_run',
        `unsupported protocol version ${protocolVersion}`,
      );
    }
    const unavailable = this.#isClosing ? 'the daemon is stopping' : this.options.unavailable();
    if (unavailable !== null) {
      return new RequestError(SqlState.cannotConnectNow, 'not_run', unavailable, RETRY_AFTER_UNAVAILABLE_MS);
    }
    if (this.#connections.size >= this.options.maxConnections) {
      return new RequestError(
        SqlState.tooManyConnections,
        'not_run',
        'too many clients',
        RETRY_AFTER_CONNECTION_LIMIT_MS,
      );
    }
    const user = parameters.get('user');
    if (user === undefined)
      return new RequestError(SqlState.protocolViolation, 'not_run', 'no user name given');
    const database = parameters.get('database') ?? user;
    if (this.options.hasDatabase(database)) return null;
    return new RequestError(SqlState.undefinedDatabase, 'not_run', `database "${database}" does not exist`);
  }

  #openConnection(socket: Socket, { parameters }: StartupMessage): void {
    const processId = this.#nextProcessId++;
    const secretKey = randomInt(1, 2 ** 31 - 1);
    const user = parameters.get('user') ?? '';
    const { daemonId, zone, router, maxRequestBytes, maxUnreadBytes } = this.options;
    const connection: ClientConnection = new ClientConnection(socket, {
      identity: {
        streamId: `${daemonId}/${processId}/${secretKey}`,
        database: parameters.get('database') ?? user,
        user,
        tags: parseStartupTags(parameters),
      },
      zone,
      router,
      maxRequestBytes,
      maxUnreadBytes,
      mayInputPredatePause: () => this.#mayInputPredatePause(),
      onClosed: () => {
        this.#connections.delete(connection);
        this.#cancelTargets.delete(processId);
      },
    });
    this.#connections.add(connection);
    this.#cancelTargets.set(processId, { secretKey, connection });
    socket.write(startupResponse(processId, secretKey));
  }

  #handleCancelRequest(body: Buffer): void {
    if (body.length < 12) return;
    const target = this.#cancelTargets.get(body.readInt32BE(4));
    if (target !== undefined && target.secretKey === body.readInt32BE(8)) target.connection.cancel();
  }
}

function isEncryptionRequest(body: Buffer): boolean {
  const code = body.readUInt32BE(0);
  return code === SSL_REQUEST_CODE || code === GSS_REQUEST_CODE;
}

function startupResponse(processId: number, secretKey: number): Buffer {
  return Buffer.concat([
    authenticationOk(),
    parameterStatus('server_version', '15.0'),
    parameterStatus('server_encoding', 'UTF8'),
    parameterStatus('client_encoding', 'UTF8'),
    parameterStatus('DateStyle', 'ISO, MDY'),
    parameterStatus('TimeZone', 'UTC'),
    parameterStatus('integer_datetimes', 'on'),
    parameterStatus('standard_conforming_strings', 'on'),
    backendKeyData(processId, secretKey),
    readyForQuery('I'),
  ]);
}
