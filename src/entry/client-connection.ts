/**
 * A client's connection to this daemon, after start-up.
 *
 * @packageDocumentation
 */
import type { Socket } from 'node:net';
import { CancelSignal } from '../common/cancel-signal.js';
import type { ResponseSink, StatementRequest } from '../engine/statement-request.js';
import type { RequestTags } from '../statement/request-tags.js';
import { judgeLoss } from '../verdict/judge-loss.js';
import { RequestError, SqlState } from '../verdict/verdict.js';
import { errorResponseFor, readyForQuery } from '../wire/backend-messages.js';
import { CorkedWriter } from '../wire/corked-writer.js';
import { FrameError, FrameSplitter } from '../wire/frame-splitter.js';
import { FrontendType, type TransactionStatus } from '../wire/message-types.js';
import { rollbackResponse } from './lost-transaction.js';
import { RequestBuilder, TooManyStatementsError, type ClientRequest } from './request-builder.js';
import type { RequestRouter, StreamBinding } from './request-router.js';

/** Identity of a client and its connection. */
export interface ClientIdentity {
  readonly streamId: string;
  readonly database: string;
  readonly user: string;
  readonly tags: RequestTags;
}

/** Settings of a client connection. */
export interface ClientConnectionOptions {
  readonly identity: ClientIdentity;
  readonly zone: string;
  readonly router: RequestRouter;
  /** Maximum size of a request, in bytes. */
  readonly maxRequestBytes: number;
  /** Maximum size of the responses buffered for a client that does not read them, in bytes. */
  readonly maxUnreadBytes: number;
  /** Returns true while input may have waited in its socket during a pause of the whole process. */
  readonly mayInputPredatePause: () => boolean;
  readonly onClosed: () => void;
}

/** Sent when the daemon closes a connection to stop; its verdict holds only while no request runs. */
const SHUTDOWN_ERROR = new RequestError(SqlState.adminShutdown, 'not_run', 'the daemon is stopping', 0);
const MAX_SESSION_SETTINGS = 100;
/** Number of pipelined requests above which the daemon stops reading from the connection. */
const MAX_QUEUED_REQUESTS = 1000;

const KNOWN_TYPES: ReadonlySet<number> = new Set(Object.values(FrontendType));
const TERMINATOR_TYPES: ReadonlySet<number> = new Set([
  FrontendType.query,
  FrontendType.sync,
  FrontendType.flush,
]);

/** Reads pipelined requests, runs them one at a time, and writes the responses in order. */
export class ClientConnection {
  readonly #splitter: FrameSplitter;
  readonly #writer: CorkedWriter;
  readonly #requestBuilder: RequestBuilder;
  readonly #binding: StreamBinding = { target: null };
  readonly #queue: Buffer[][] = [];
  #pendingFrames: Buffer[] = [];
  #pendingBytes = 0;
  #sessionSettings: string[] = [];
  #transactionStatus: TransactionStatus = 'I';
  #isTransactionLost = false;
  /** True between a Flush and the Sync that ends its batch. */
  #isBatchOpen = false;
  #isSkippingToSync = false;
  #isQueueRunning = false;
  /** The request that was passed to the router and whose response is not complete. */
  #runningRequest: ClientRequest | null = null;
  #isClosing = false;
  #isClosed = false;
  /** True once the client has sent Terminate; requests it sent before are still run. */
  #hasReceivedTerminate = false;
  #cancelSignal = new CancelSignal();

  constructor(
    private readonly socket: Socket,
    private readonly options: ClientConnectionOptions,
  ) {
    this.#splitter = new FrameSplitter(options.maxRequestBytes);
    this.#writer = new CorkedWriter(socket);
    this.#requestBuilder = new RequestBuilder(options.identity.tags);
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#handleClosed());
  }

  /** True while a request runs or is queued, a transaction is open, or a batch lacks its closing Sync. */
  get isBusy(): boolean {
    const isInBatch = this.#pendingFrames.length > 0 || this.#isBatchOpen;
    return this.#isQueueRunning || this.#queue.length > 0 || this.#transactionStatus !== 'I' || isInBatch;
  }

  /** Cancels the running request. */
  cancel(): void {
    this.#cancelSignal.cancel();
    this.#binding.target?.cancel(this.options.identity.database, this.options.identity.streamId);
  }

  /** Closes the connection as soon as it is not busy. */
  closeWhenIdle(): void {
    this.#isClosing = true;
    this.#closeIfIdle();
  }

  /**
   * Closes the connection immediately, with an error that carries the verdict of the running request, if any;
   * returns true when the connection was busy.
   */
  closeNow(): boolean {
    const wasBusy = this.isBusy;
    this.#closeWithShutdownError();
    return wasBusy;
  }

  #receive(chunk: Buffer): void {
    if (this.options.mayInputPredatePause()) {
      this.#rejectInputAfterPause();
      return;
    }
    try {
      for (const frame of this.#splitter.push(chunk)) this.#enqueue(frame);
    } catch (error) {
      this.#closeOnProtocolError(error);
      return;
    }
    if (this.#queue.length > MAX_QUEUED_REQUESTS) this.socket.pause();
    if (!this.#isQueueRunning) void this.#runQueue();
  }

  #enqueue(frame: Buffer): void {
    const type = frame[0] ?? 0;
    if (!KNOWN_TYPES.has(type)) throw new FrameError(`unknown message type ${type}`);
    if (type === FrontendType.terminate) {
      this.#hasReceivedTerminate = true;
      return;
    }
    this.#pendingFrames.push(frame);
    this.#pendingBytes += frame.length;
    if (this.#pendingBytes > this.options.maxRequestBytes) throw new FrameError('the request is too large');
    if (!TERMINATOR_TYPES.has(type)) return;
    this.#queue.push(this.#pendingFrames);
    this.#pendingFrames = [];
    this.#pendingBytes = 0;
  }

  /**
   * Closes the connection without running the input: the client may have abandoned the request long ago. An
   * open transaction is rolled back.
   */
  #rejectInputAfterPause(): void {
    const message = 'the daemon was paused and cannot tell how old the request is';
    const fatal = new RequestError(SqlState.adminShutdown, 'not_run', message, 0);
    this.socket.end(this.#closingError(fatal));
    this.#handleClosed();
  }

  #closeOnProtocolError(error: unknown): void {
    const isKnown = error instanceof FrameError || error instanceof TooManyStatementsError;
    const message = isKnown ? error.message || 'too many prepared statements' : 'malformed message';
    const fatal = new RequestError(SqlState.protocolViolation, 'not_run', message);
    this.socket.end(this.#closingError(fatal));
    this.#handleClosed();
    this.socket.destroySoon();
  }

  async #runQueue(): Promise<void> {
    this.#isQueueRunning = true;
    for (let frames = this.#queue.shift(); frames !== undefined; frames = this.#queue.shift()) {
      if (this.#isClosed) break;
      try {
        await this.#run(frames);
      } catch (error) {
        this.#closeOnProtocolError(error);
        break;
      }
      if (this.socket.isPaused() && this.#queue.length < MAX_QUEUED_REQUESTS / 2) this.socket.resume();
    }
    this.#isQueueRunning = false;
    if (this.#hasReceivedTerminate) this.#closeAfterTerminate();
    if (this.#isClosing) this.#closeIfIdle();
  }

  async #run(frames: readonly Buffer[]): Promise<void> {
    if (this.#isSkippingToSync) {
      this.#skipToSync(frames);
      return;
    }
    const request = this.#requestBuilder.build(frames);
    if (this.#isTransactionLost) {
      this.#respondInLostTransaction(frames, request);
      return;
    }
    if (request.classification.kind === 'unsupported') {
      const message = 'this statement needs a connection of its own, which a pooled connection cannot give';
      this.#respondWithError(
        new RequestError(SqlState.featureNotSupported, 'not_run', message),
        this.#transactionStatus,
        request,
      );
      return;
    }
    await this.#route(request);
  }

  #skipToSync(frames: readonly Buffer[]): void {
    if (frames.at(-1)?.[0] === FrontendType.flush) return;
    this.#isSkippingToSync = false;
    this.#write(readyForQuery(this.#transactionStatus));
  }

  #respondInLostTransaction(frames: readonly Buffer[], request: ClientRequest): void {
    const { kind } = request.classification;
    if (kind === 'rollback' || kind === 'commit') {
      this.#isTransactionLost = false;
      this.#transactionStatus = 'I';
      this.#write(Buffer.concat([rollbackResponse(frames), readyForQuery('I')]));
      return;
    }
    const message = 'the transaction was lost, commands are ignored until ROLLBACK';
    this.#respondWithError(new RequestError(SqlState.inFailedTransaction, 'not_run', message), 'E', request);
  }

  async #route(request: ClientRequest): Promise<void> {
    this.#cancelSignal = new CancelSignal();
    const sink: ResponseSink = {
      data: (frames) => this.#write(frames),
      end: (status) => this.#handleEnd(status, request),
      fail: (error, status) => this.#handleFailure(error, status, request),
      notOwner: () => undefined,
    };
    const statementRequest = this.#toStatementRequest(request);
    this.#runningRequest = request;
    try {
      await this.options.router.route(
        statementRequest,
        this.#transactionStatus,
        this.#binding,
        this.#cancelSignal,
        sink,
      );
    } finally {
      this.#runningRequest = null;
    }
  }

  #toStatementRequest(request: ClientRequest): StatementRequest {
    const { identity, zone } = this.options;
    const { classification, tags } = request;
    return {
      database: identity.database,
      user: identity.user,
      streamId: identity.streamId,
      session: tags.session ?? identity.streamId,
      zone,
      requestClass: tags.requestClass ?? '',
      onceKey: tags.onceKey,
      kind: classification.kind,
      isReadOnlyTransaction: classification.isReadOnlyTransaction,
      leavesSessionState: classification.leavesSessionState,
      controlsTransaction: classification.controlsTransaction,
      settings: this.#sessionSettings,
      prepared: request.prepared,
      frames: request.frames,
      terminator: request.terminator,
      continues: this.#transactionStatus !== 'I' ? 'transaction' : this.#isBatchOpen ? 'batch' : 'nothing',
      remainingMs: null,
    };
  }

  #handleEnd(status: TransactionStatus, request: ClientRequest): void {
    this.#isBatchOpen = request.terminator === 'flush';
    if (this.#isBatchOpen) return;
    if (request.classification.kind === 'set' && this.#transactionStatus === 'I')
      this.#recordSettings(request.texts);
    this.#transactionStatus = status;
    this.#write(readyForQuery(status));
  }

  #handleFailure(error: RequestError, status: TransactionStatus, request: ClientRequest): void {
    if (status === 'E' && error.endsTransaction) this.#isTransactionLost = true;
    this.#respondWithError(error, status, request);
  }

  #respondWithError(error: RequestError, status: TransactionStatus, request: ClientRequest): void {
    this.#transactionStatus = status;
    this.#isBatchOpen = false;
    if (request.terminator === 'flush') {
      this.#isSkippingToSync = true;
      this.#write(errorResponseFor(error));
      return;
    }
    this.#write(Buffer.concat([errorResponseFor(error), readyForQuery(status)]));
  }

  #recordSettings(texts: readonly string[]): void {
    for (const text of texts) {
      if (/^\s*(reset\s+all|discard\s+all)/i.test(text)) {
        this.#sessionSettings = [];
        if (/discard/i.test(text)) this.#requestBuilder.clear();
      } else {
        const otherSettings = this.#sessionSettings.filter((setting) => setting !== text);
        this.#sessionSettings = [...otherSettings, text.replace(/;\s*$/, '')].slice(-MAX_SESSION_SETTINGS);
      }
    }
  }

  #write(data: Buffer): void {
    if (this.#isClosed) return;
    this.#writer.write(data);
    if (this.socket.writableLength > this.options.maxUnreadBytes) this.socket.destroy();
  }

  #closeAfterTerminate(): void {
    this.socket.end();
    this.#handleClosed();
  }

  #closeIfIdle(): void {
    if (!this.isBusy) this.#closeWithShutdownError();
  }

  /**
   * Builds the error that is sent before the connection is closed. When a request runs, the error carries its
   * verdict: the response is not awaited, and the daemon or member that has the request may have run it or
   * may still run it.
   */
  #closingError(reason: RequestError): Buffer {
    if (this.#runningRequest === null) return errorResponseFor(reason, 'FATAL');
    const { classification, terminator, tags } = this.#runningRequest;
    const lostRequest = {
      kind: classification.kind,
      isInTransaction: this.#transactionStatus !== 'I',
      controlsTransaction: classification.controlsTransaction,
      hasSentData: true,
      hasOnceKey: tags.onceKey !== null,
      isRepeatable: false,
      endsWithFlush: terminator === 'flush',
    };
    const judgement = judgeLoss(lostRequest, reason.message);
    const { error } = judgement.kind === 'report' ? judgement.report : judgement.otherwise;
    const closingError = new RequestError(reason.sqlState, error.verdict, error.message, error.retryAfterMs);
    return errorResponseFor(closingError, 'FATAL');
  }

  #closeWithShutdownError(): void {
    if (this.#isClosed) return;
    this.socket.end(this.#closingError(SHUTDOWN_ERROR));
    this.#handleClosed();
  }

  #handleClosed(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#cancelSignal.cancel();
    const { database, streamId } = this.options.identity;
    this.#binding.target?.closeStream(database, streamId);
    this.options.onClosed();
  }
}
