/**
 * A member connection borrowed from a gateway, in the form that sessions use.
 *
 * @packageDocumentation
 */
import type { Leader } from '../leadership/leadership-evidence.js';
import { LinkLostError, NotSentError, type MemberReply, type MemberRequest } from '../relay/member-link.js';
import { preparedStatementName } from '../relay/pooled-link.js';
import type { GatewayPath, LeaderVerdict, SessionLink, SessionValues } from '../relay/session-link.js';
import type { PreparedStatement, TransactionState } from '../relay/statement.js';
import type { BorrowMessage, GatewayMessage } from './gateway-messages.js';

interface PendingRequest {
  resolve(reply: MemberReply): void;
  reject(error: LinkLostError): void;
}

/** The borrower's end of one loan. */
export class BorrowedLink implements SessionLink {
  readonly #pending: PendingRequest[] = [];
  readonly #prepared = new Map<string, PreparedStatement>();
  #values: SessionValues = new Map();
  #state: TransactionState = 'idle';
  #isAnnounced = false;
  /** The leader that requests have to reach; `null` if any process of the member may run them. */
  #requiredLeader: Leader | null = null;
  #isReplyOfLeader = false;
  #isOpen = true;

  /**
   * @param transmit - sends a message to the gateway
   * @param onEnd - called once when the loan has ended at this daemon
   * @param gateway - the connection to the gateway
   */
  constructor(
    private readonly terms: BorrowMessage,
    private readonly transmit: (message: GatewayMessage) => void,
    private readonly onEnd: () => void,
    readonly gateway?: GatewayPath,
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

  /** True while a request has no reply yet. */
  get isAwaitingReply(): boolean {
    return this.#pending.length > 0;
  }

  async setSessionValues(values: SessionValues): Promise<void> {
    if (!this.#isOpen) throw new NotSentError('not open');
    if (haveSameValues(values, this.#values)) return;
    this.#values = new Map(values);
    this.#announce();
    this.transmit({ type: 'values', loan: this.terms.loan, values: [...values] });
  }

  async prepare(prepared: PreparedStatement): Promise<string> {
    const name = preparedStatementName(prepared);
    this.#prepared.set(name, prepared);
    return name;
  }

  verifyLeader(leader: Leader): Promise<LeaderVerdict> {
    this.requireLeader(leader);
    return Promise.resolve('leader');
  }

  requireLeader(leader: Leader): void {
    this.#requiredLeader = leader;
  }

  isVerifiedLeader({ memberId, term }: Leader): boolean {
    const required = this.#requiredLeader;
    return this.#isReplyOfLeader && required?.memberId === memberId && required.term === term;
  }

  send(request: MemberRequest): Promise<MemberReply> {
    if (!this.#isOpen) return Promise.reject(new NotSentError('not open'));
    this.#announce();
    const prepared = request.kind === 'execute' ? (this.#prepared.get(request.name) ?? null) : null;
    return new Promise((resolve, reject) => {
      this.#pending.push({ resolve, reject });
      const leader = request.kind === 'status' ? null : this.#requiredLeader;
      this.transmit({
        type: 'request',
        loan: this.terms.loan,
        request,
        prepared,
        ...(leader === null ? {} : { leader }),
      });
    });
  }

  close(): void {
    if (!this.#isOpen) return;
    if (this.#isAnnounced) this.transmit({ type: 'return', loan: this.terms.loan });
    this.#end(new LinkLostError('given up'));
  }

  /** Handles a reply of the member that the gateway forwards. */
  handleReply(reply: MemberReply, isLeader = false): void {
    this.#state = reply.state;
    this.#isReplyOfLeader = isLeader;
    this.#pending.shift()?.resolve(reply);
  }

  /**
   * Ends the loan after the gateway ended it or the connection to the gateway was lost. Requests without a
   * reply are rejected.
   *
   * @param isUnsent - true if requests without a reply were not sent to the member
   */
  fail(reason: string, isUnsent: boolean): void {
    if (!this.#isOpen) return;
    this.#end(isUnsent ? new NotSentError(reason) : new LinkLostError(reason));
  }

  /**
   * Ends the loan because the gateway could not be reached; pending requests, which were not sent, get this
   * reply.
   */
  refuse(reply: MemberReply): void {
    if (!this.#isOpen) return;
    for (const { resolve } of this.#pending.splice(0)) resolve(reply);
    this.#end(new NotSentError('the gateway was not reached'));
  }

  /** Announces the loan to the gateway before its first message. */
  #announce(): void {
    if (this.#isAnnounced) return;
    this.#isAnnounced = true;
    this.transmit(this.terms);
  }

  #end(error: LinkLostError): void {
    this.#isOpen = false;
    this.onEnd();
    for (const { reject } of this.#pending.splice(0)) reject(error);
  }
}

function haveSameValues(left: SessionValues, right: SessionValues): boolean {
  if (left.size !== right.size) return false;
  for (const [name, value] of left) if (right.get(name) !== value) return false;
  return true;
}
