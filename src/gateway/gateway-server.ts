/**
 * Lends this daemon's member connections to other daemons.
 *
 * @packageDocumentation
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { EvidenceAnswer } from '../leadership/evidence-exchange.js';
import type { Grant, GrantRequest } from '../quota/quota-home.js';
import type { PassedConfiguration } from '../tenancy/lease-renewal.js';
import type { PassedChanges } from '../coordination/change-relay.js';
import { MessageChannel } from '../peer/message-channel.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { MemberReply } from '../relay/member-link.js';
import type { PooledLink } from '../relay/pooled-link.js';
import type { SessionValues } from '../relay/session-link.js';
import { StatusQuestions } from './status-questions.js';
import {
  MAX_GATEWAY_MESSAGE_BYTES,
  type BorrowMessage,
  type GatewayMessage,
  type LoanRequestMessage,
  type ValuesMessage,
} from './gateway-messages.js';

/** What the server asks of its daemon. */
export interface GatewayServerPorts {
  /** The pool of a member to which this daemon may connect, or `null`. */
  pool(groupName: string, memberId: string): LinkPool | null;
  /** What this daemon can prove, for one who has been sent a version of the leaders. */
  ownEvidence(knownVersion: number): EvidenceAnswer;
  /** Changes of the store as this daemon has heard of them. */
  changes(afterRevision: number, waitMs: number): Promise<PassedChanges>;
  /** What this daemon knows of the newest configuration, for one who holds a revision of it. */
  configuration(heldRevision: number): PassedConfiguration;
  /** Operations of a tenant for another daemon; `null` when this daemon is not the one to ask. */
  grant(request: GrantRequest): Promise<Grant | null>;
}

/** An answer that says that nothing was sent to the member. */
export function notSent(reason: string): MemberReply {
  return {
    rows: [],
    result: { isComplete: false, code: 'busy', text: reason },
    state: 'idle',
    position: null,
  };
}

/** One use of a connection by another daemon. Its messages are handled in order. */
class Loan {
  readonly #queue: (ValuesMessage | LoanRequestMessage)[] = [];
  #values: SessionValues = new Map();
  #link: PooledLink | null = null;
  #isWorking = false;
  #isReturned = false;

  constructor(
    private readonly terms: BorrowMessage,
    private readonly pool: LinkPool | null,
    private readonly answer: (message: GatewayMessage) => void,
    private readonly statusQuestions: StatusQuestions,
  ) {}

  /** Takes a message. */
  push(message: ValuesMessage | LoanRequestMessage): void {
    this.#queue.push(message);
    if (!this.#isWorking) void this.#work();
  }

  /** The other daemon needs it no more, or has gone. */
  end(): void {
    this.#isReturned = true;
    this.#queue.length = 0;
    this.#giveBack();
  }

  async #work(): Promise<void> {
    this.#isWorking = true;
    for (let message = this.#queue.shift(); message !== undefined; message = this.#queue.shift()) {
      if (message.type === 'values') this.#values = new Map(message.values);
      else if (message.request.kind === 'status' && this.#link === null) await this.#serveStatus();
      else await this.#serve(message);
    }
    this.#isWorking = false;
  }

  async #serveStatus(): Promise<void> {
    if (this.pool === null) {
      this.#reply(notSent('not a gateway of the member'));
      return;
    }
    try {
      this.#reply(await this.statusQuestions.ask(this.pool));
    } catch (error) {
      this.#reply(notSent(`gateway: ${String(error)}`));
    }
  }

  async #serve(message: LoanRequestMessage): Promise<void> {
    const link = this.#link ?? (await this.#take());
    if (link === null) return;
    const wasIdle = link.state === 'idle';
    let { request } = message;
    try {
      await link.adoptValues(this.#values);
      if (request.kind === 'execute' && message.prepared !== null)
        request = { ...request, name: await link.prepare(message.prepared) };
    } catch (error) {
      this.#giveBack();
      if (wasIdle) this.#reply(notSent(`gateway: ${String(error)}`));
      else this.#lost(error);
      return;
    }
    if (this.#link !== link) return;
    try {
      const reply = await link.send(request);
      if (link.isClean) this.#giveBack();
      this.#reply(reply);
    } catch (error) {
      this.#giveBack();
      this.#lost(error);
    }
  }

  /** A connection for the requests that follow, or `null` after saying that there is none. */
  async #take(): Promise<PooledLink | null> {
    if (this.pool === null) {
      this.#reply(notSent('not a gateway of the member'));
      return null;
    }
    if (this.pool.isShut) {
      this.#reply(notSent('gateway: the member has too many connections'));
      return null;
    }
    try {
      const { tenantName, priority, waitMs } = this.terms;
      const dueAtMs = performance.now() + waitMs;
      const demand = { tenantName, values: this.#values, isWrite: false, priority, dueAtMs };
      const link = await this.pool.acquire(demand, waitMs);
      if (this.#isReturned) {
        this.pool.release(link);
        return null;
      }
      this.#link = link;
      return link;
    } catch (error) {
      this.#reply(notSent(`gateway: ${String(error)}`));
      return null;
    }
  }

  #giveBack(): void {
    const link = this.#link;
    this.#link = null;
    if (link === null) return;
    if (!link.isClean) link.close();
    this.pool?.release(link);
  }

  #reply(reply: MemberReply): void {
    if (!this.#isReturned) this.answer({ type: 'reply', loan: this.terms.loan, reply });
  }

  #lost(error: unknown): void {
    if (!this.#isReturned) this.answer({ type: 'lost', loan: this.terms.loan, reason: String(error) });
  }
}

/** Listens for daemons that borrow. */
export class GatewayServer {
  readonly #server: Server;
  readonly #channels = new Map<MessageChannel<GatewayMessage>, Map<number, Loan>>();
  readonly #statusQuestions = new StatusQuestions();
  #isLeaving = false;

  constructor(private readonly ports: GatewayServerPorts) {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Loans that are not returned yet. */
  get openLoans(): number {
    let open = 0;
    for (const loans of this.#channels.values()) open += loans.size;
    return open;
  }

  /** Starts to listen. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Tells everybody to borrow elsewhere; loans that are open go on. */
  leave(): void {
    this.#isLeaving = true;
    for (const channel of this.#channels.keys()) channel.send({ type: 'leaving' });
  }

  /** Ends everything at once. */
  close(): void {
    this.#server.close();
    for (const channel of this.#channels.keys()) channel.destroy();
  }

  #accept(socket: Socket): void {
    const loans = new Map<number, Loan>();
    const channel: MessageChannel<GatewayMessage> = new MessageChannel<GatewayMessage>(
      socket,
      MAX_GATEWAY_MESSAGE_BYTES,
      {
        message: (message) => this.#handle(channel, loans, message),
        closed: () => {
          this.#channels.delete(channel);
          for (const loan of loans.values()) loan.end();
        },
      },
    );
    this.#channels.set(channel, loans);
    if (this.#isLeaving) channel.send({ type: 'leaving' });
  }

  #handle(channel: MessageChannel<GatewayMessage>, loans: Map<number, Loan>, message: GatewayMessage): void {
    switch (message.type) {
      case 'borrow': {
        const pool = this.ports.pool(message.groupName, message.memberId);
        const answer = (reply: GatewayMessage): void => channel.send(reply);
        loans.set(message.loan, new Loan(message, pool, answer, this.#statusQuestions));
        break;
      }
      case 'values':
      case 'request':
        loans.get(message.loan)?.push(message);
        break;
      case 'return':
        loans.get(message.loan)?.end();
        loans.delete(message.loan);
        break;
      case 'ping':
        channel.send({ type: 'pong' });
        break;
      case 'ask_evidence':
        channel.send({
          type: 'evidence',
          id: message.id,
          answer: this.ports.ownEvidence(message.knownVersion),
        });
        break;
      case 'ask_changes':
        void this.ports
          .changes(message.afterRevision, message.waitMs)
          .then((answer) => channel.send({ type: 'changes', id: message.id, answer }));
        break;
      case 'ask_configuration':
        channel.send({
          type: 'configuration',
          id: message.id,
          answer: this.ports.configuration(message.heldRevision),
        });
        break;
      case 'ask_grant':
        void this.ports
          .grant(message.request)
          .then((grant) => channel.send({ type: 'grant', id: message.id, grant }));
        break;
      case 'reply':
      case 'lost':
      case 'pong':
      case 'leaving':
      case 'evidence':
      case 'changes':
      case 'configuration':
      case 'grant':
        channel.destroy();
    }
  }
}
