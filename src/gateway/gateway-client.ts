/**
 * Connections to gateways, over which this daemon borrows member connections and asks for evidence.
 *
 * @packageDocumentation
 */
import { connect } from 'node:net';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { EvidenceReader, type SharedEvidence } from '../leadership/evidence-exchange.js';
import type { Grant, GrantRequest } from '../quota/quota-home.js';
import type { PassedConfiguration } from '../tenancy/lease-renewal.js';
import type { RelayResponse } from '../coordination/change-relay.js';
import type { Revision } from '../coordination/revision.js';
import { MessageChannel } from '../peer/message-channel.js';
import { BorrowedLink } from './borrowed-link.js';
import { MAX_GATEWAY_MESSAGE_BYTES, type GatewayMessage } from './gateway-messages.js';
import { notSent } from './loan.js';

/** Longest time to open a connection, in milliseconds. */
const DIAL_MS = 400;
/** Silence, while an answer is owed, after which a sign of life is asked for, in milliseconds. */
const PING_MS = 150;
/** Silence after which no new loans are asked for, and after which the connection is given up, in milliseconds. */
const AVOID_AFTER_MS = 400;
const DEAD_MS = 1200;
/** How long a gateway that was silent or not reached is left alone before a connection to it is opened again, in milliseconds. */
const AVOID_MS = 600;

/** What is borrowed. */
export interface LoanTerms {
  readonly groupName: string;
  readonly memberId: string;
  /** When the member's process started, as the borrower knows it, in milliseconds of the Unix epoch; `null` where it does not. */
  readonly bornMs: number | null;
  readonly tenantName: string | null;
  readonly priority: number;
  /** Longest wait for a connection, in milliseconds. */
  readonly waitMs: number;
}

/** A question to another daemon that is no loan. */
type Question =
  | { readonly type: 'ask_evidence' }
  | { readonly type: 'ask_changes'; readonly afterRevision: Revision; readonly waitMs: number }
  | { readonly type: 'ask_configuration'; readonly heldVersion: number }
  | { readonly type: 'ask_grant'; readonly request: GrantRequest };

/** Its answer; `null` when none came in time. */
type Answer =
  | { readonly type: 'evidence'; readonly entries: readonly SharedEvidence[] }
  | { readonly type: 'changes'; readonly answer: RelayResponse }
  | { readonly type: 'configuration'; readonly answer: PassedConfiguration }
  | { readonly type: 'grant'; readonly grant: Grant | null }
  | null;

/** A question under way. */
interface OpenQuestion {
  /** True when it is answered at once: silence then says that the daemon is in trouble. */
  readonly isPrompt: boolean;
  settle(answer: Answer): void;
}

/** What a gateway answers at once, or with the member's next answer: its silence then is a sign of trouble. */
const PROMPTLY_ANSWERED: ReadonlySet<GatewayMessage['type']> = new Set([
  'request',
  'ask_evidence',
  'ask_configuration',
  'ask_grant',
]);

/** The connection to one gateway. */
class GatewayConnection {
  isLeaving = false;
  readonly loans = new Map<number, BorrowedLink>();
  readonly questions = new Map<number, OpenQuestion>();
  readonly #evidence = new EvidenceReader();
  readonly #channel: MessageChannel<GatewayMessage>;
  readonly #openedAtMs: number;
  #isConnected = false;
  /** The gateway has said its last: what it has not spoken of was not sent. */
  #hasEnded = false;
  #hasAnswered = false;
  /** Since when an answer has been owed with nothing heard, in monotonic milliseconds; `null` when none is. */
  #owedSinceMs: number | null = null;
  #pingedAtMs = Number.NEGATIVE_INFINITY;
  #nextLoan = 1;

  constructor(
    record: DaemonRecord,
    localAddress: string,
    private readonly now: () => number,
    private readonly onClosed: () => void,
  ) {
    this.#openedAtMs = now();
    const socket = connect({ host: record.host, port: record.gatewayPort, localAddress });
    socket.once('connect', () => (this.#isConnected = true));
    this.#channel = new MessageChannel<GatewayMessage>(socket, MAX_GATEWAY_MESSAGE_BYTES, {
      message: (message) => this.#receive(message),
      closed: () => this.#closed(),
    });
  }

  /** True once the gateway has said anything. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Silence while an answer is owed, in milliseconds. */
  get silenceMs(): number {
    return this.#owedSinceMs === null ? 0 : this.now() - this.#owedSinceMs;
  }

  borrow(terms: LoanTerms): BorrowedLink {
    this.#nextLoan += 1;
    const loan = this.#nextLoan;
    const link = new BorrowedLink(
      { type: 'borrow', loan, ...terms },
      (message) => this.#transmit(message),
      () => this.#ended(loan),
    );
    this.loans.set(loan, link);
    return link;
  }

  ask(id: number, question: Question, settle: (answer: Answer) => void): void {
    this.questions.set(id, { isPrompt: question.type !== 'ask_changes', settle });
    if (question.type === 'ask_evidence')
      this.#transmit({ type: 'ask_evidence', id, knownVersion: this.#evidence.knownVersion });
    else this.#transmit({ ...question, id });
  }

  /** Asks for a sign of life at once. */
  probe(): void {
    this.overdue();
    this.#channel.send({ type: 'ping' });
  }

  /** An answer has not come in time: a sign of life is due. */
  overdue(): void {
    this.#owedSinceMs ??= this.now();
  }

  /** Asks for a sign of life where one is due; ends what is dead. */
  check(): void {
    const nowMs = this.now();
    if (!this.#isConnected && nowMs - this.#openedAtMs > DIAL_MS) this.#channel.destroy();
    if (this.silenceMs > DEAD_MS) this.#channel.destroy();
    if (this.silenceMs < PING_MS || nowMs - this.#pingedAtMs < PING_MS) return;
    this.#pingedAtMs = nowMs;
    this.#channel.send({ type: 'ping' });
  }

  close(): void {
    this.#channel.destroy();
  }

  #transmit(message: GatewayMessage): void {
    if (PROMPTLY_ANSWERED.has(message.type)) this.#owedSinceMs ??= this.now();
    this.#channel.send(message);
  }

  #receive(message: GatewayMessage): void {
    this.#hasAnswered = true;
    switch (message.type) {
      case 'reply':
        this.loans.get(message.loan)?.receive(message.reply);
        break;
      case 'lost':
        this.loans.get(message.loan)?.lose(message.reason, message.isUnsent);
        break;
      case 'evidence': {
        const entries = this.#evidence.read(message.answer);
        this.#answered(message.id, { type: 'evidence', entries });
        break;
      }
      case 'changes':
        this.#answered(message.id, { type: 'changes', answer: message.answer });
        break;
      case 'configuration':
      case 'grant':
        this.#answered(message.id, message);
        break;
      case 'leaving':
        this.isLeaving = true;
        break;
      case 'ended':
        this.#hasEnded = true;
        this.#channel.destroy();
        break;
      default:
        break;
    }
    this.#owedSinceMs = this.#isOwed() ? this.now() : null;
  }

  #answered(id: number, answer: Answer): void {
    this.questions.get(id)?.settle(answer);
    this.questions.delete(id);
  }

  #isOwed(): boolean {
    for (const { isPrompt } of this.questions.values()) if (isPrompt) return true;
    for (const link of this.loans.values()) if (link.isWaiting) return true;
    return false;
  }

  #ended(loan: number): void {
    this.loans.delete(loan);
    if (!this.#isOwed()) this.#owedSinceMs = null;
  }

  #closed(): void {
    this.onClosed();
    for (const { settle } of this.questions.values()) settle(null);
    this.questions.clear();
    for (const link of [...this.loans.values()]) {
      if (this.#isConnected) link.lose('the connection to the gateway was lost', this.#hasEnded);
      else link.refuse(notSent('the gateway was not reached'));
    }
  }
}

/** All connections of this daemon to gateways. */
export class GatewayClient {
  readonly #connections = new Map<string, GatewayConnection>();
  readonly #avoidUntilMs = new Map<string, number>();
  /** Gateways that were silent or not reached: no request finds out whether they are back. */
  readonly #lost = new Set<string>();
  #nextQuestion = 1;

  /** @param localAddress - the daemon's own address, from which it calls */
  constructor(
    private readonly localAddress: string,
    private readonly now: () => number,
    private readonly random: () => number,
  ) {}

  /**
   * The gateway to borrow from now: the one with the fewest loans of this daemon; `null` when none can be used. One that was
   * lost is used again once it has answered a question, or when there is no other.
   *
   * @param standbys - used while none of the gateways is known to be there
   */
  choose(gateways: readonly DaemonRecord[], standbys: readonly DaemonRecord[] = []): DaemonRecord | null {
    const usable = gateways.filter((record) => this.#isUsable(record));
    const present = this.#leastUsed(usable.filter((record) => this.#isBack(record)));
    return present ?? (standbys.length > 0 ? this.choose(standbys) : null) ?? this.#leastUsed(usable);
  }

  #leastUsed(gateways: readonly DaemonRecord[]): DaemonRecord | null {
    let best: DaemonRecord | null = null;
    let fewest = Number.POSITIVE_INFINITY;
    const start = Math.floor(this.random() * gateways.length);
    for (let i = 0; i < gateways.length; i += 1) {
      const record = gateways[(start + i) % gateways.length];
      if (record === undefined) continue;
      const loans = this.#connections.get(keyOf(record))?.loans.size ?? 0;
      if (loans >= fewest) continue;
      best = record;
      fewest = loans;
    }
    return best;
  }

  /** Borrows a connection; the gateway is told with the first request. */
  borrow(gateway: DaemonRecord, terms: LoanTerms): BorrowedLink {
    return this.#connection(gateway).borrow(terms);
  }

  /** What a daemon can prove; `null` when it does not answer in time. */
  async askEvidence(record: DaemonRecord, timeoutMs: number): Promise<readonly SharedEvidence[] | null> {
    const answer = await this.#ask(record, { type: 'ask_evidence' }, timeoutMs);
    return answer?.type === 'evidence' ? answer.entries : null;
  }

  /** What a daemon has heard of the store; `null` when it does not answer in time. */
  async askChanges(
    record: DaemonRecord,
    afterRevision: Revision,
    waitMs: number,
    timeoutMs: number,
  ): Promise<RelayResponse | null> {
    const answer = await this.#ask(record, { type: 'ask_changes', afterRevision, waitMs }, timeoutMs);
    return answer?.type === 'changes' ? answer.answer : null;
  }

  /** What a daemon knows of the newest configuration; `null` when it does not answer in time, or is silent. */
  async askConfiguration(
    record: DaemonRecord,
    heldVersion: number,
    timeoutMs: number,
  ): Promise<PassedConfiguration | null> {
    if (this.#isSilent(record)) return null;
    const answer = await this.#ask(record, { type: 'ask_configuration', heldVersion }, timeoutMs);
    return answer?.type === 'configuration' ? answer.answer : null;
  }

  /** What a daemon grants; `null` when it does not answer in time, is silent, or is not the one to ask. */
  async askGrant(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null> {
    if (this.#isSilent(record)) return null;
    const answer = await this.#ask(record, { type: 'ask_grant', request }, timeoutMs);
    return answer?.type === 'grant' ? answer.grant : null;
  }

  #ask(record: DaemonRecord, question: Question, timeoutMs: number): Promise<Answer> {
    const connection = this.#connection(record);
    this.#nextQuestion += 1;
    const id = this.#nextQuestion;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        connection.questions.delete(id);
        connection.overdue();
        resolve(null);
      }, timeoutMs);
      connection.ask(id, question, (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
    });
  }

  /** Looks after silent connections; to be called every some ten milliseconds. */
  check(): void {
    for (const [key, connection] of [...this.#connections]) {
      if (connection.silenceMs > AVOID_AFTER_MS) this.#lose(key);
      connection.check();
    }
  }

  /** Forgets connections to daemons that are no more, unless they are in use. */
  retain(records: readonly DaemonRecord[]): void {
    const keys = new Set(records.map(keyOf));
    for (const [key, connection] of [...this.#connections])
      if (!keys.has(key) && connection.loans.size === 0) connection.close();
    for (const key of [...this.#avoidUntilMs.keys()]) if (!keys.has(key)) this.#avoidUntilMs.delete(key);
    for (const key of [...this.#lost]) if (!keys.has(key)) this.#lost.delete(key);
  }

  /** Ends everything. */
  close(): void {
    for (const connection of [...this.#connections.values()]) connection.close();
  }

  /** True unless a gateway was lost; asks one that was whether it is back. */
  #isBack(record: DaemonRecord): boolean {
    const key = keyOf(record);
    if (!this.#lost.has(key)) return true;
    const known = this.#connections.get(key);
    if (known === undefined) this.#connection(record).probe();
    if (known?.hasAnswered !== true || known.silenceMs > 0) return false;
    this.#lost.delete(key);
    return true;
  }

  #lose(key: string): void {
    this.#lost.add(key);
    this.#avoidUntilMs.set(key, this.now() + AVOID_MS);
  }

  #isUsable(record: DaemonRecord): boolean {
    const key = keyOf(record);
    if (this.now() < (this.#avoidUntilMs.get(key) ?? Number.NEGATIVE_INFINITY)) return false;
    return this.#connections.get(key)?.isLeaving !== true;
  }

  /** True while it owes an answer for long: callers do not wait for it too. One whose process has ended is soon back. */
  #isSilent(record: DaemonRecord): boolean {
    return (this.#connections.get(keyOf(record))?.silenceMs ?? 0) > AVOID_AFTER_MS;
  }

  #connection(record: DaemonRecord): GatewayConnection {
    const key = keyOf(record);
    const known = this.#connections.get(key);
    if (known !== undefined) return known;
    const connection: GatewayConnection = new GatewayConnection(record, this.localAddress, this.now, () => {
      this.#connections.delete(key);
      this.#lose(key);
    });
    this.#connections.set(key, connection);
    return connection;
  }
}

function keyOf(record: DaemonRecord): string {
  return `${record.name} ${record.life}`;
}
