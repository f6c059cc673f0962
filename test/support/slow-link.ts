/**
 * A connection to a member that answers when a test says so.
 *
 * @packageDocumentation
 */
import {
  LinkLostError,
  NotSentError,
  type MemberLink,
  type MemberReply,
  type MemberRequest,
} from '../../src/relay/member-link.js';

/** A member that answers when the test says so, in order, and knows its transaction state. */
export class SlowLink implements MemberLink {
  isOpen = true;
  lastReceivedMs = 0;
  readonly ran: string[] = [];
  readonly #waiting: {
    request: MemberRequest;
    resolve(reply: MemberReply): void;
    reject(error: Error): void;
  }[] = [];
  #isInTransaction = false;
  #onClosed: (isByPeer: boolean) => void = () => undefined;

  send(request: MemberRequest): Promise<MemberReply> {
    if (!this.isOpen) return Promise.reject(new NotSentError('closed'));
    return new Promise((resolve, reject) => this.#waiting.push({ request, resolve, reject }));
  }

  /** True while a request waits for its answer. */
  get isAsked(): boolean {
    return this.#waiting.length > 0;
  }

  /** Answers the oldest request; false when there is none. */
  answer(): boolean {
    const next = this.#waiting.shift();
    if (next === undefined) return false;
    this.#run(next.request);
    const state = this.#isInTransaction ? 'open' : 'idle';
    next.resolve({ rows: [], result: { isComplete: true, signature: 's' }, state, position: null });
    return true;
  }

  /** Refuses the oldest request without running it. */
  refuse(): void {
    const result = { isComplete: false, code: 'busy', text: 'busy' } as const;
    this.#waiting.shift()?.resolve({ rows: [], result, state: 'open', position: null });
  }

  /** What was sent may have arrived before the end of the connection: it runs. */
  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    for (const { request, reject } of this.#waiting.splice(0)) {
      this.#run(request);
      reject(new LinkLostError('closed'));
    }
    this.#onClosed(false);
  }

  #run({ kind }: MemberRequest): void {
    if (kind === 'begin') this.#isInTransaction = true;
    if (kind === 'rollback') this.#isInTransaction = false;
    if (kind === 'statement' || kind === 'execute')
      this.ran.push(`${kind} ${this.#isInTransaction ? 'inside' : 'outside'}`);
  }

  onClosed(listener: (isByPeer: boolean) => void): void {
    this.#onClosed = listener;
  }
}
