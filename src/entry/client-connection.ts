/**
 * One client's connection to this daemon, after start-up.
 *
 * @packageDocumentation
 */
import type { Socket } from 'node:net';
import { CancelSignal } from '../common/cancel-signal.js';
import type { AnswerSink, StatementRequest } from '../engine/statement-request.js';
import type { RequestTags } from '../statement/request-tags.js';
import { judgeLoss } from '../verdict/judge-loss.js';
import { RequestError, SqlState } from '../verdict/verdict.js';
import { errorResponseFor, readyForQuery } from '../wire/backend-messages.js';
import { CorkedWriter } from '../wire/corked-writer.js';
import { FrameError, FrameSplitter } from '../wire/frame-splitter.js';
import { FrontendType, type TransactionStatus } from '../wire/message-types.js';
import { answerRollback } from './lost-transaction.js';
import { RequestBuilder, TooManyStatementsError, type ClientRequest } from './request-builder.js';
import type { RequestRouter, StreamBinding } from './request-router.js';

/** Who the client is. */
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
  /** Largest request, in bytes. */
  readonly maxRequestBytes: number;
  /** Most bytes of answers that wait for a client that does not read. */
  readonly maxUnreadBytes: number;
  /** True while what is read may have waited for a pause of the whole process. */
  readonly mayReadBeOld: () => boolean;
  readonly onClosed: () => void;
}

/** What a client is told as its connection ends while none of its requests runs. */
const STOPPING = new RequestError(SqlState.adminShutdown, 'not_run', 'the daemon is stopping', 0);
const MAX_SETTINGS = 100;
/** Requests that a client may send ahead before its connection is no longer read. */
const MAX_QUEUED_REQUESTS = 1000;

const KNOWN_TYPES: ReadonlySet<number> = new Set(Object.values(FrontendType));
const TERMINATORS: ReadonlySet<number> = new Set([FrontendType.query, FrontendType.sync, FrontendType.flush]);

/** Reads requests, has them run one after the other, and writes the answers in order. */
export class ClientConnection {
  readonly #splitter: FrameSplitter;
  readonly #writer: CorkedWriter;
  readonly #builder: RequestBuilder;
  readonly #binding: StreamBinding = { target: null };
  readonly #queue: Buffer[][] = [];
  #batch: Buffer[] = [];
  #batchBytes = 0;
  #settings: string[] = [];
  #status: TransactionStatus = 'I';
  #isTransactionLost = false;
  /** True between a Flush and the Sync that ends its batch. */
  #isBatchOpen = false;
  #skipsToSync = false;
  #isRunning = false;
  /** The request that was handed on, and is not answered yet. */
  #running: ClientRequest | null = null;
  #isClosing = false;
  #isClosed = false;
  /** True once the client has said goodbye; what it sent before is still run. */
  #isTerminated = false;
  #cancelSignal = new CancelSignal();

  constructor(
    private readonly socket: Socket,
    private readonly options: ClientConnectionOptions,
  ) {
    this.#splitter = new FrameSplitter(options.maxRequestBytes);
    this.#writer = new CorkedWriter(socket);
    this.#builder = new RequestBuilder(options.identity.tags);
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#handleClosed());
  }

  /** True while a request runs, a transaction is open, or a batch has not been ended by its Sync. */
  get isBusy(): boolean {
    const isInBatch = this.#batch.length > 0 || this.#isBatchOpen;
    return this.#isRunning || this.#queue.length > 0 || this.#status !== 'I' || isInBatch;
  }

  /** Cancels the request that runs now. */
  cancel(): void {
    this.#cancelSignal.cancel();
    this.#binding.target?.cancel(this.options.identity.database, this.options.identity.streamId);
  }

  /** Ends the connection as soon as it is not busy. */
  closeWhenIdle(): void {
    this.#isClosing = true;
    this.#closeIfIdle();
  }

  /** Ends the connection at once, with what is known of the request that runs; true when something was cut. */
  closeNow(): boolean {
    const wasBusy = this.isBusy;
    this.#sayGoodbye();
    return wasBusy;
  }

  #receive(chunk: Buffer): void {
    if (this.options.mayReadBeOld()) {
      this.#refuseOldRequest();
      return;
    }
    try {
      for (const frame of this.#splitter.push(chunk)) this.#accept(frame);
    } catch (error) {
      this.#abandon(error);
      return;
    }
    if (this.#queue.length > MAX_QUEUED_REQUESTS) this.socket.pause();
    if (!this.#isRunning) void this.#runQueue();
  }

  #accept(frame: Buffer): void {
    const type = frame[0] ?? 0;
    if (!KNOWN_TYPES.has(type)) throw new FrameError(`unknown message type ${type}`);
    if (type === FrontendType.terminate) {
      this.#isTerminated = true;
      return;
    }
    this.#batch.push(frame);
    this.#batchBytes += frame.length;
    if (this.#batchBytes > this.options.maxRequestBytes) throw new FrameError('the request is too large');
    if (!TERMINATORS.has(type)) return;
    this.#queue.push(this.#batch);
    this.#batch = [];
    this.#batchBytes = 0;
  }

  /** The client may have given the request up long ago; an open transaction is rolled back. */
  #refuseOldRequest(): void {
    const message = 'the daemon was paused and cannot tell how old the request is';
    const fatal = new RequestError(SqlState.adminShutdown, 'not_run', message, 0);
    this.socket.end(this.#farewell(fatal));
    this.#handleClosed();
  }

  #abandon(error: unknown): void {
    const isKnown = error instanceof FrameError || error instanceof TooManyStatementsError;
    const message = isKnown ? error.message || 'too many prepared statements' : 'malformed message';
    const fatal = new RequestError(SqlState.protocolViolation, 'not_run', message);
    this.socket.end(this.#farewell(fatal));
    this.#handleClosed();
    this.socket.destroySoon();
  }

  async #runQueue(): Promise<void> {
    this.#isRunning = true;
    for (let frames = this.#queue.shift(); frames !== undefined; frames = this.#queue.shift()) {
      if (this.#isClosed) break;
      try {
        await this.#run(frames);
      } catch (error) {
        this.#abandon(error);
        break;
      }
      if (this.socket.isPaused() && this.#queue.length < MAX_QUEUED_REQUESTS / 2) this.socket.resume();
    }
    this.#isRunning = false;
    if (this.#isTerminated) this.#end();
    if (this.#isClosing) this.#closeIfIdle();
  }

  async #run(frames: readonly Buffer[]): Promise<void> {
    if (this.#skipsToSync) {
      this.#skip(frames);
      return;
    }
    const request = this.#builder.build(frames);
    if (this.#isTransactionLost) {
      this.#answerInLostTransaction(frames, request);
      return;
    }
    if (request.facts.kind === 'unsupported') {
      const message = 'this statement needs a connection of its own, which a pooled connection cannot give';
      this.#answerError(
        new RequestError(SqlState.featureNotSupported, 'not_run', message),
        this.#status,
        request,
      );
      return;
    }
    await this.#route(request);
  }

  #skip(frames: readonly Buffer[]): void {
    if (frames.at(-1)?.[0] === FrontendType.flush) return;
    this.#skipsToSync = false;
    this.#write(readyForQuery(this.#status));
  }

  #answerInLostTransaction(frames: readonly Buffer[], request: ClientRequest): void {
    const { kind } = request.facts;
    if (kind === 'rollback' || kind === 'commit') {
      this.#isTransactionLost = false;
      this.#status = 'I';
      this.#write(Buffer.concat([answerRollback(frames), readyForQuery('I')]));
      return;
    }
    const message = 'the transaction was lost, commands are ignored until ROLLBACK';
    this.#answerError(new RequestError(SqlState.inFailedTransaction, 'not_run', message), 'E', request);
  }

  async #route(request: ClientRequest): Promise<void> {
    this.#cancelSignal = new CancelSignal();
    const sink: AnswerSink = {
      data: (frames) => this.#write(frames),
      end: (status) => this.#answerEnd(status, request),
      fail: (error, status) => this.#handleFailure(error, status, request),
      notOwner: () => undefined,
    };
    const message = this.#toStatementRequest(request);
    this.#running = request;
    try {
      await this.options.router.route(message, this.#status, this.#binding, this.#cancelSignal, sink);
    } finally {
      this.#running = null;
    }
  }

  #toStatementRequest(request: ClientRequest): StatementRequest {
    const { identity, zone } = this.options;
    const { facts, tags } = request;
    return {
      database: identity.database,
      user: identity.user,
      streamId: identity.streamId,
      session: tags.session ?? identity.streamId,
      zone,
      requestClass: tags.requestClass ?? '',
      onceKey: tags.onceKey,
      kind: facts.kind,
      isReadOnlyTransaction: facts.isReadOnlyTransaction,
      leavesSessionState: facts.leavesSessionState,
      controlsTransaction: facts.controlsTransaction,
      settings: this.#settings,
      prepared: request.prepared,
      frames: request.frames,
      terminator: request.terminator,
      continues: this.#status !== 'I' ? 'transaction' : this.#isBatchOpen ? 'batch' : 'nothing',
      remainingMs: null,
    };
  }

  #answerEnd(status: TransactionStatus, request: ClientRequest): void {
    this.#isBatchOpen = request.terminator === 'flush';
    if (this.#isBatchOpen) return;
    if (request.facts.kind === 'set' && this.#status === 'I') this.#rememberSettings(request.texts);
    this.#status = status;
    this.#write(readyForQuery(status));
  }

  #handleFailure(error: RequestError, status: TransactionStatus, request: ClientRequest): void {
    if (status === 'E' && error.endsTransaction) this.#isTransactionLost = true;
    this.#answerError(error, status, request);
  }

  #answerError(error: RequestError, status: TransactionStatus, request: ClientRequest): void {
    this.#status = status;
    this.#isBatchOpen = false;
    if (request.terminator === 'flush') {
      this.#skipsToSync = true;
      this.#write(errorResponseFor(error));
      return;
    }
    this.#write(Buffer.concat([errorResponseFor(error), readyForQuery(status)]));
  }

  #rememberSettings(texts: readonly string[]): void {
    for (const text of texts) {
      if (/^\s*(reset\s+all|discard\s+all)/i.test(text)) {
        this.#settings = [];
        if (/discard/i.test(text)) this.#builder.clear();
      } else {
        const withoutSame = this.#settings.filter((known) => known !== text);
        this.#settings = [...withoutSame, text.replace(/;\s*$/, '')].slice(-MAX_SETTINGS);
      }
    }
  }

  #write(data: Buffer): void {
    if (this.#isClosed) return;
    this.#writer.write(data);
    if (this.socket.writableLength > this.options.maxUnreadBytes) this.socket.destroy();
  }

  #end(): void {
    this.socket.end();
    this.#handleClosed();
  }

  #closeIfIdle(): void {
    if (!this.isBusy) this.#sayGoodbye();
  }

  /**
   * What the client is told last, with what is known of the request that runs: its answer is not waited for, and whoever has it
   * may have run it, or may still run it.
   */
  #farewell(reason: RequestError): Buffer {
    if (this.#running === null) return errorResponseFor(reason, 'FATAL');
    const { facts, terminator, tags } = this.#running;
    const lost = {
      kind: facts.kind,
      isInTransaction: this.#status !== 'I',
      controlsTransaction: facts.controlsTransaction,
      hasSentData: true,
      hasOnceKey: tags.onceKey !== null,
      isRepeatable: false,
      endsWithFlush: terminator === 'flush',
    };
    const judgement = judgeLoss(lost, reason.message);
    const { error } = judgement.kind === 'report' ? judgement.report : judgement.otherwise;
    const farewell = new RequestError(reason.sqlState, error.verdict, error.message, error.retryAfterMs);
    return errorResponseFor(farewell, 'FATAL');
  }

  #sayGoodbye(): void {
    if (this.#isClosed) return;
    this.socket.end(this.#farewell(STOPPING));
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
