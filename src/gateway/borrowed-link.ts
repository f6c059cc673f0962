/**
 * A member connection that a gateway lends, as a session uses it.
 *
 * @packageDocumentation
 */
import { LinkLostError, NotSentError, type MemberReply, type MemberRequest } from '../relay/member-link.js';
import { preparedStatementName } from '../relay/pooled-link.js';
import type { SessionLink, SessionValues } from '../relay/session-link.js';
import type { PreparedStatement, TransactionState } from '../relay/statement.js';
import type { BorrowMessage, GatewayMessage } from './gateway-messages.js';

interface Pending {
  resolve(reply: MemberReply): void;
  reject(error: LinkLostError): void;
}

/** One loan, at the daemon that borrows. */
export class BorrowedLink implements SessionLink {
  readonly #pending: Pending[] = [];
  readonly #prepared = new Map<string, PreparedStatement>();
  #values: SessionValues = new Map();
  #state: TransactionState = 'idle';
  #hasBegun = false;
  #isOpen = true;

  /**
   * @param send - sends to the gateway
   * @param onEnd - told once when the loan is over at this end
   */
  constructor(
    private readonly terms: BorrowMessage,
    private readonly transmit: (message: GatewayMessage) => void,
    private readonly onEnd: () => void,
  ) {}

  get isOpen(): boolean {
    return this.#isOpen;
  }

  get isClean(): boolean {
    return this.#isOpen && this.#pending.length === 0 && this.#state === 'idle';
  }

  get state(): TransactionState {
    return this.#state;
  }

  /** True while an answer is waited for. */
  get isWaiting(): boolean {
    return this.#pending.length > 0;
  }

  async setSessionValues(values: SessionValues): Promise<void> {
    if (!this.#isOpen) throw new NotSentError('not open');
    if (isSame(values, this.#values)) return;
    this.#values = new Map(values);
    this.#begin();
    this.transmit({ type: 'values', loan: this.terms.loan, values: [...values] });
  }

  async prepare(prepared: PreparedStatement): Promise<string> {
    const name = preparedStatementName(prepared);
    this.#prepared.set(name, prepared);
    return name;
  }

  send(request: MemberRequest): Promise<MemberReply> {
    if (!this.#isOpen) return Promise.reject(new NotSentError('not open'));
    this.#begin();
    const prepared = request.kind === 'execute' ? (this.#prepared.get(request.name) ?? null) : null;
    return new Promise((resolve, reject) => {
      this.#pending.push({ resolve, reject });
      this.transmit({ type: 'request', loan: this.terms.loan, request, prepared });
    });
  }

  close(): void {
    if (!this.#isOpen) return;
    if (this.#hasBegun) this.transmit({ type: 'return', loan: this.terms.loan });
    this.#end(new LinkLostError('given up'));
  }

  /** The gateway passes the member's answer on. */
  receive(reply: MemberReply): void {
    this.#state = reply.state;
    this.#pending.shift()?.resolve(reply);
  }

  /**
   * The loan is over, or the way to the gateway is lost.
   *
   * @param isUnsent - true when what is not answered was not sent to the member
   */
  lose(reason: string, isUnsent: boolean): void {
    if (!this.#isOpen) return;
    this.#end(isUnsent ? new NotSentError(reason) : new LinkLostError(reason));
  }

  /** The gateway was never reached: what waits was not sent. */
  refuse(reply: MemberReply): void {
    if (!this.#isOpen) return;
    for (const { resolve } of this.#pending.splice(0)) resolve(reply);
    this.#end(new NotSentError('the gateway was not reached'));
  }

  #begin(): void {
    if (this.#hasBegun) return;
    this.#hasBegun = true;
    this.transmit(this.terms);
  }

  #end(error: LinkLostError): void {
    this.#isOpen = false;
    this.onEnd();
    for (const { reject } of this.#pending.splice(0)) reject(error);
  }
}

function isSame(left: SessionValues, right: SessionValues): boolean {
  if (left.size !== right.size) return false;
  for (const [name, value] of left) if (right.get(name) !== value) return false;
  return true;
}
