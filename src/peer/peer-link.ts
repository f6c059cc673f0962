/**
 * A connection that this daemon has opened to another: forwards requests, probes, asks for configurations.
 *
 * @packageDocumentation
 */
import { connect } from 'node:net';
import type { AnswerSink, StatementRequest } from '../engine/statement-request.js';
import type { PeerRecord } from '../membership/peer-record.js';
import { RequestError } from '../verdict/verdict.js';
import { asBuffer } from '../wire/as-buffer.js';
import { MessageChannel } from './message-channel.js';
import { LinkPatience } from './link-patience.js';
import type { CancelMessage, CloseStreamMessage, PeerMessage } from './peer-messages.js';

/** Where to connect, and how. */
export interface PeerLinkOptions {
  readonly host: string;
  readonly port: number;
  readonly localAddress: string | null;
  /** Time without a sign of life, while one is owed, after which the link is given up, in milliseconds. */
  readonly silenceTimeoutMs: number;
  readonly hello: () => PeerRecord;
}

/** A sink that also hears when the link is lost before the answer was complete; `notOwner` if nothing was sent. */
export interface ForwardSink extends AnswerSink {
  lost(): void;
}

/** Hears what does not belong to a request. */
export interface PeerLinkListener {
  message(message: PeerMessage): void;
  closed(): void;
}

/** Largest message between daemons, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 64 * 1024 * 1024;

const CHECKS_PER_TIMEOUT = 4;

/** An open or opening link. */
export class PeerLink {
  /** Monotonic time of the last use, in milliseconds. */
  lastUsedMs = performance.now();
  readonly #channel: MessageChannel<PeerMessage>;
  readonly #requests = new Map<number, ForwardSink>();
  readonly #timer: NodeJS.Timeout;
  readonly #patience: LinkPatience;
  /** What waits for the other side's clock. */
  #unsent: (() => void)[] = [];
  #nextRequestId = 1;
  /** Monotonic time since which an answer is owed, or `null`. */
  #owedSinceMs: number | null = null;

  constructor(
    private readonly options: PeerLinkOptions,
    private readonly listener: PeerLinkListener,
  ) {
    const { host, port, localAddress, silenceTimeoutMs } = options;
    this.#patience = new LinkPatience(silenceTimeoutMs);
    const socket = connect({ host, port, ...(localAddress === null ? {} : { localAddress }) });
    this.#channel = new MessageChannel<PeerMessage>(socket, MAX_PEER_MESSAGE_BYTES, {
      message: (message) => this.#receive(message),
      closed: () => this.#handleClosed(),
    });
    this.#timer = setInterval(() => this.#checkSilence(), silenceTimeoutMs / CHECKS_PER_TIMEOUT);
    this.#timer.unref();
    this.#channel.send({ kind: 'hello', record: options.hello() });
  }

  /** True once the link has ended. */
  get isClosed(): boolean {
    return this.#channel.isClosed;
  }

  /** Requests without an answer yet. */
  get openRequests(): number {
    return this.#requests.size;
  }

  /** Bytes sent and received. */
  get traffic(): number {
    return this.#channel.bytesSent + this.#channel.bytesReceived;
  }

  /** Sends a message that expects an answer of its own kind. */
  ask(message: PeerMessage): void {
    this.#owedSinceMs ??= performance.now();
    this.tell(message);
  }

  /** Sends a message. */
  tell(message: PeerMessage): void {
    this.lastUsedMs = performance.now();
    this.#channel.send(message);
  }

  /** Forwards a request; the sink hears exactly one end. */
  forward(request: StatementRequest, sink: ForwardSink): void {
    if (this.isClosed) {
      sink.lost();
      return;
    }
    const requestId = this.#nextRequestId++;
    this.#requests.set(requestId, sink);
    this.#owedSinceMs ??= performance.now();
    this.#whenClockIsKnown(() =>
      this.tell({ kind: 'execute', requestId, request, waitsUntilMs: this.#waitsUntilMs() }),
    );
  }

  /** Tells something of a request that was forwarded, never before the request itself. */
  tellOfRequest(message: CloseStreamMessage | CancelMessage): void {
    this.#whenClockIsKnown(() => this.tell(message));
  }

  /** Ends the link; open requests are lost. */
  close(): void {
    this.#channel.destroy();
  }

  /** Requests carry a time of the other side's clock, which it tells first of all. */
  #whenClockIsKnown(send: () => void): void {
    if (this.#patience.isClockKnown) send();
    else this.#unsent.push(send);
  }

  #waitsUntilMs(): number {
    const nowMs = performance.now();
    return this.#patience.waitsUntilMs(this.#owedSinceMs ?? nowMs);
  }

  #hearClock(theirNowMs: number): void {
    this.#patience.hearClock(theirNowMs, performance.now());
    const unsent = this.#unsent;
    this.#unsent = [];
    for (const send of unsent) send();
  }

  #receive(message: PeerMessage): void {
    this.#owedSinceMs = this.#requests.size > 0 ? performance.now() : null;
    switch (message.kind) {
      case 'answerData':
        this.#requests.get(message.requestId)?.data(asBuffer(message.frames));
        break;
      case 'answerEnd':
        this.#take(message.requestId)?.end(message.status);
        break;
      case 'answerError': {
        const { sqlState, verdict, retryAfterMs, status } = message;
        this.#take(message.requestId)?.fail(
          new RequestError(sqlState, verdict, message.message, retryAfterMs),
          status,
        );
        break;
      }
      case 'notOwner':
        this.#take(message.requestId)?.notOwner();
        break;
      case 'clock':
        this.#hearClock(message.nowMs);
        break;
      default:
        this.listener.message(message);
    }
  }

  #take(requestId: number): ForwardSink | undefined {
    const sink = this.#requests.get(requestId);
    this.#requests.delete(requestId);
    if (this.#requests.size === 0) this.#owedSinceMs = null;
    return sink;
  }

  /** Probes a link on which an answer is owed; gives it up when nothing at all comes. */
  #checkSilence(): void {
    if (this.#owedSinceMs === null) return;
    const silentMs = performance.now() - this.#owedSinceMs;
    if (silentMs >= this.options.silenceTimeoutMs) this.close();
    else if (this.#requests.size > 0 && this.#patience.isClockKnown)
      this.#channel.send({ kind: 'keepAlive', waitsUntilMs: this.#waitsUntilMs() });
  }

  #handleClosed(): void {
    clearInterval(this.#timer);
    const open = [...this.#requests.values()];
    this.#requests.clear();
    for (const sink of open) {
      if (this.#patience.isClockKnown) sink.lost();
      else sink.notOwner();
    }
    this.listener.closed();
  }
}
