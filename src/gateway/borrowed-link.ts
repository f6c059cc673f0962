/**
 * A member connection borrowed from a gateway, in the form that sessions use.
 *
 * @packageDocumentation
 */
import { AdmissionError } from '../admission/admission-error.js';
import type { Leader } from '../leadership/leadership-evidence.js';
import { LinkLostError, NotSentError, type MemberReply, type MemberRequest } from '../relay/member-link.js';
import { PreparedNames } from '../relay/prepared-names.js';
import { PoolTimeoutError } from '../relay/link-acquisition.js';
import type { GatewayPath, LeaderVerdict, SessionLink, SessionValues } from '../relay/session-link.js';
import type { PreparedStatement, TransactionState } from '../relay/statement.js';
import type { BorrowMessage, GatewayMessage } from './gateway-messages.js';

/** Longest retry time that is accepted from a gateway, in milliseconds; gateways send up to 2000. */
const MAX_RETRY_AFTER_MS = 10_000;
/** The connection to the gateway of a loan. */
export interface LoanConnection {
  /**
   * True if the gateway has announced that it grants connections before requests are sent; `null` while no
   * message has arrived from it.
   */
  hasGrants(): boolean | null;
  /** Asks the gateway for a first message; {@link BorrowedLink.handleFirstMessage} is called when it arrives. */
  requestFirstMessage(): void;
  /** Sends a message to the gateway. */
  transmit(message: GatewayMessage): void;
  /** Discards the loan's messages if none of them has left this daemon; false if some may have. */
  withdraw(): boolean;
  /** Called once when the loan has ended at this daemon. */
  ended(): void;
}

interface PendingRequest {
  resolve(reply: MemberReply): void;
  reject(error: LinkLostError): void;
}

/** The borrower's end of one loan. */
export class BorrowedLink implements SessionLink {
  readonly #pending: PendingRequest[] = [];
  /** Names within this loan; the gateway sends the names of its own connection to the member. */
  readonly #names = new PreparedNames();
  readonly #prepared = new Map<string, PreparedStatement>();
  #values: SessionValues = new Map();
  #state: TransactionState = 'idle';
  #isAnnounced = false;
  /** The leader that requests have to reach; `null` if any process of the member may run them. */
  #requiredLeader: Leader | null = null;
  #isReplyOfLeader = false;
  #isOpen = true;
  /** True once a request other than `begin` has been sent to the gateway. */
  #hasSentStatement = false;
  /** Settles the wait for a grant; `null` while there is none. */
  #grantWait: { values: SessionValues; resolve(): void; reject(error: Error): void } | null = null;
  #onUnresponsive: () => void = () => undefined;

  /**
   * @param gatewayName - the daemon that lends the connection
   * @param gateway - the path to the gateway
   */
  constructor(
    private readonly terms: BorrowMessage,
    private readonly gatewayName: string,
    private readonly connection: LoanConnection,
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

  /** True while a request, or the wait for a grant, has no reply yet. */
  get isAwaitingReply(): boolean {
    return this.#pending.length > 0 || this.#grantWait !== null;
  }

  /**
   * Waits until the gateway has a connection for a request with the given values, which then has to be sent at
   * once. Does not wait at a gateway that has not announced grants with its first message.
   *
   * @throws PoolTimeoutError: nothing was sent to the member, and the loan has ended
   */
  requestGrant(values: SessionValues): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#grantWait = { values, resolve, reject };
      if (this.connection.hasGrants() === null) this.connection.requestFirstMessage();
      else this.handleFirstMessage();
    });
  }

  /** Continues a wait for a grant, since it is now known whether the gateway gives any. */
  handleFirstMessage(): void {
    const wait = this.#grantWait;
    if (wait === null || this.#isAnnounced) return;
    if (this.connection.hasGrants() !== true) {
      this.handleGranted();
      return;
    }
    this.#isAnnounced = true;
    this.connection.transmit({ ...this.terms, isGrantWanted: true });
    void this.setSessionValues(wait.values);
  }

  /** Ends the wait for a grant: the request may be sent. */
  handleGranted(): void {
    const wait = this.#grantWait;
    this.#grantWait = null;
    wait?.resolve();
  }

  async setSessionValues(values: SessionValues): Promise<void> {
    if (!this.#isOpen) throw new NotSentError('not open');
    if (haveSameValues(values, this.#values)) return;
    this.#values = new Map(values);
    this.#announce();
    this.connection.transmit({ type: 'values', loan: this.terms.loan, values: [...values] });
  }

  async prepare(prepared: PreparedStatement): Promise<string> {
    const name = this.#names.find(prepared) ?? this.#names.add(prepared);
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
    this.#hasSentStatement ||= request.kind !== 'begin';
    return new Promise((resolve, reject) => {
      this.#pending.push({ resolve, reject });
      const leader = request.kind === 'status' ? null : this.#requiredLeader;
      this.connection.transmit({
        type: 'request',
        loan: this.terms.loan,
        request,
        prepared,
        ...(leader === null ? {} : { leader }),
      });
    });
  }

  onUnresponsive(listener: () => void): void {
    this.#onUnresponsive = listener;
  }

  close(): void {
    if (this.#isOpen) this.#giveUp('given up');
  }

  /**
   * Handles a gateway that no longer replies. The loan ends if no statement was sent over it, since nothing has
   * run then. Otherwise the answer may still arrive, and the listener decides what to do meanwhile.
   */
  handleSilence(): void {
    if (!this.#isOpen) return;
    if (!this.#hasSentStatement) {
      this.#giveUp('the gateway does not reply');
      return;
    }
    const notify = this.#onUnresponsive;
    this.#onUnresponsive = () => undefined;
    notify();
  }

  /** Handles a reply of the member that the gateway forwards. */
  handleReply(reply: MemberReply, isLeader = false): void {
    if (this.#grantWait !== null) {
      this.#giveUp(reply.result.isComplete ? 'not granted' : reply.result.text);
      return;
    }
    this.#state = reply.state;
    this.#isReplyOfLeader = isLeader;
    this.#pending.shift()?.resolve(reply);
  }

  /**
   * Handles the reply that the gateway has refused the request because of the expected wait.
   *
   * @param retryAfterMs - as received, in milliseconds
   */
  handleRefusal(reply: MemberReply, retryAfterMs: number): void {
    if (!isNotRun(reply) || !isValidRetryTime(retryAfterMs)) {
      this.handleReply(reply);
      return;
    }
    this.#isReplyOfLeader = false;
    const refusal = new AdmissionError(retryAfterMs, {}, this.gatewayName);
    if (this.#grantWait === null) {
      this.#pending.shift()?.reject(refusal);
      return;
    }
    this.#grantWait.reject(refusal);
    this.#grantWait = null;
    this.#giveUp(refusal.message);
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
    this.connection.transmit(this.terms);
  }

  /** Ends the loan on the borrower's side. A loan that has not been announced to the gateway was not run. */
  #giveUp(reason: string): void {
    const isUnsent = !this.#isAnnounced || this.connection.withdraw();
    if (!isUnsent) this.connection.transmit({ type: 'return', loan: this.terms.loan });
    this.#end(isUnsent ? new NotSentError(reason) : new LinkLostError(reason));
  }

  #end(error: LinkLostError): void {
    this.#isOpen = false;
    this.connection.ended();
    for (const { reject } of this.#pending.splice(0)) reject(error);
    this.#grantWait?.reject(new PoolTimeoutError(error.message));
    this.#grantWait = null;
  }
}

/** True for the reply by which a gateway says that nothing was sent. */
function isNotRun({ result, state }: MemberReply): boolean {
  return !result.isComplete && result.code === 'busy' && state === 'idle';
}

/** False for a value that no gateway sends; the refusal is then handled without it. */
function isValidRetryTime(retryAfterMs: unknown): boolean {
  return typeof retryAfterMs === 'number' && retryAfterMs >= 0 && retryAfterMs <= MAX_RETRY_AFTER_MS;
}

function haveSameValues(left: SessionValues, right: SessionValues): boolean {
  if (left.size !== right.size) return false;
  for (const [name, value] of left) if (right.get(name) !== value) return false;
  return true;
}
