/**
 * An outgoing connection to another daemon: forwards requests, sends probes and requests configurations.
 *
 * @packageDocumentation
 */
import { connect } from 'node:net';
import type { ResponseSink, StatementRequest } from '../engine/statement-request.js';
import type { PeerRecord } from '../membership/peer-record.js';
import { RequestError } from '../verdict/verdict.js';
import { asBuffer } from '../wire/as-buffer.js';
import { MessageChannel } from './message-channel.js';
import { DeadlineTranslator } from './deadline-translator.js';
import type { CancelMessage, CloseStreamMessage, PeerMessage } from './peer-messages.js';

/** Connection settings of a link. */
export interface PeerLinkOptions {
  readonly host: string;
  readonly port: number;
  readonly localAddress: string | null;
  /** Time without any message while a response is pending after which the link is closed, in milliseconds. */
  readonly silenceTimeoutMs: number;
  readonly hello: () => PeerRecord;
}

/**
 * A sink that is also notified when the link is lost before the response was complete. If the request had not
 * been sent by then, `notOwner` is called instead.
 */
export interface ForwardSink extends ResponseSink {
  lost(): void;
}

/** Receives the messages that do not belong to a forwarded request, and the end of the link. */
export interface PeerLinkListener {
  message(message: PeerMessage): void;
  closed(): void;
}

/** Maximum size of a message between daemons, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 64 * 1024 * 1024;

const SILENCE_CHECKS_PER_TIMEOUT = 4;

/** A link that is open or connecting. */
export class PeerLink {
  /** Monotonic time of the last use, in milliseconds. */
  lastUsedMs = performance.now();
  readonly #channel: MessageChannel<PeerMessage>;
  readonly #requests = new Map<number, ForwardSink>();
  readonly #timer: NodeJS.Timeout;
  readonly #deadlineTranslator: DeadlineTranslator;
  /** Sends that are deferred until the remote clock is known. */
  #awaitingClock: (() => void)[] = [];
  #nextRequestId = 1;
  /**
   * Monotonic time since which a response is pending and nothing was received; `null` when none is pending.
   */
  #unansweredSinceMs: number | null = null;

  constructor(
    private readonly options: PeerLinkOptions,
    private readonly listener: PeerLinkListener,
  ) {
    const { host, port, localAddress, silenceTimeoutMs } = options;
    this.#deadlineTranslator = new DeadlineTranslator(silenceTimeoutMs);
    const socket = connect({ host, port, ...(localAddress === null ? {} : { localAddress }) });
    this.#channel = new MessageChannel<PeerMessage>(socket, MAX_PEER_MESSAGE_BYTES, {
      message: (message) => this.#receive(message),
      closed: () => this.#handleClosed(),
    });
    this.#timer = setInterval(() => this.#checkSilence(), silenceTimeoutMs / SILENCE_CHECKS_PER_TIMEOUT);
    this.#timer.unref();
    this.#channel.send({ kind: 'hello', record: options.hello() });
  }

  /** True once the connection has ended. */
  get isClosed(): boolean {
    return this.#channel.isClosed;
  }

  /** Number of forwarded requests whose response is not complete. */
  get pendingRequests(): number {
    return this.#requests.size;
  }

  /** Bytes sent and received. */
  get trafficBytes(): number {
    return this.#channel.bytesSent + this.#channel.bytesReceived;
  }

  /** Sends a message that the remote daemon replies to with a message of its own kind. */
  request(message: PeerMessage): void {
    this.#unansweredSinceMs ??= performance.now();
    this.send(message);
  }

  /** Sends a message. */
  send(message: PeerMessage): void {
    this.lastUsedMs = performance.now();
    this.#channel.send(message);
  }

  /** Forwards a request; exactly one final callback of the sink is called. */
  forward(request: StatementRequest, sink: ForwardSink): void {
    if (this.isClosed) {
      sink.lost();
      return;
    }
    const requestId = this.#nextRequestId++;
    this.#requests.set(requestId, sink);
    this.#unansweredSinceMs ??= performance.now();
    this.#sendOnceClockIsKnown(() =>
      this.send({ kind: 'execute', requestId, request, waitsUntilMs: this.#remoteDeadlineMs() }),
    );
  }

  /** Sends a message about a forwarded request, never before the request itself. */
  sendAboutRequest(message: CloseStreamMessage | CancelMessage): void {
    this.#sendOnceClockIsKnown(() => this.send(message));
  }

  /** Closes the link; pending requests are lost. */
  close(): void {
    this.#channel.destroy();
  }

  /** Requests carry a deadline on the remote clock, which the remote side sends as its first message. */
  #sendOnceClockIsKnown(send: () => void): void {
    if (this.#deadlineTranslator.isClockKnown) send();
    else this.#awaitingClock.push(send);
  }

  #remoteDeadlineMs(): number {
    const nowMs = performance.now();
    return this.#deadlineTranslator.remoteDeadlineMs(this.#unansweredSinceMs ?? nowMs);
  }

  #recordRemoteClock(remoteNowMs: number): void {
    this.#deadlineTranslator.recordRemoteClock(remoteNowMs, performance.now());
    const awaitingClock = this.#awaitingClock;
    this.#awaitingClock = [];
    for (const send of awaitingClock) send();
  }

  #receive(message: PeerMessage): void {
    this.#unansweredSinceMs = this.#requests.size > 0 ? performance.now() : null;
    switch (message.kind) {
      case 'answerData':
        this.#requests.get(message.requestId)?.data(asBuffer(message.frames));
        break;
      case 'answerEnd':
        this.#removeRequest(message.requestId)?.end(message.status);
        break;
      case 'answerError': {
        const { sqlState, verdict, retryAfterMs, status } = message;
        this.#removeRequest(message.requestId)?.fail(
          new RequestError(sqlState, verdict, message.message, retryAfterMs),
          status,
        );
        break;
      }
      case 'notOwner':
        this.#removeRequest(message.requestId)?.notOwner();
        break;
      case 'clock':
        this.#recordRemoteClock(message.nowMs);
        break;
      default:
        this.listener.message(message);
    }
  }

  #removeRequest(requestId: number): ForwardSink | undefined {
    const sink = this.#requests.get(requestId);
    this.#requests.delete(requestId);
    if (this.#requests.size === 0) this.#unansweredSinceMs = null;
    return sink;
  }

  /**
   * Sends a keep-alive while requests are pending; closes the link when nothing is received within the
   * timeout.
   */
  #checkSilence(): void {
    if (this.#unansweredSinceMs === null) return;
    const silentMs = performance.now() - this.#unansweredSinceMs;
    if (silentMs >= this.options.silenceTimeoutMs) this.close();
    else if (this.#requests.size > 0 && this.#deadlineTranslator.isClockKnown)
      this.#channel.send({ kind: 'keepAlive', waitsUntilMs: this.#remoteDeadlineMs() });
  }

  #handleClosed(): void {
    clearInterval(this.#timer);
    const pending = [...this.#requests.values()];
    this.#requests.clear();
    for (const sink of pending) {
      if (this.#deadlineTranslator.isClockKnown) sink.lost();
      else sink.notOwner();
    }
    this.listener.closed();
  }
}
