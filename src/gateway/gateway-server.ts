/**
 * Lends this daemon's member connections to other daemons.
 *
 * @packageDocumentation
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { EvidenceReply } from '../leadership/evidence-exchange.js';
import type { Grant, GrantRequest } from '../quota/quota-home.js';
import type { PassedConfiguration } from '../tenancy/lease-renewal.js';
import type { RelayResponse } from '../coordination/change-relay.js';
import type { Revision } from '../coordination/revision.js';
import { MessageChannel } from '../peer/message-channel.js';
import type { LinkPool } from '../relay/link-pool.js';
import { MAX_GATEWAY_MESSAGE_BYTES, type BorrowMessage, type GatewayMessage } from './gateway-messages.js';
import type { Incarnation } from '../topology/incarnation.js';
import { Loan, type LendingStage } from './loan.js';
import { StatusQuestions } from './status-questions.js';

/** What the server asks of its daemon. */
export interface GatewayServerPorts {
  /** The pool of a member, in the life that is meant, to which this daemon may connect, or `null`. */
  pool(groupName: string, life: Incarnation): LinkPool | null;
  /** What this daemon can prove, for one who has been sent a version of the leaders. */
  ownEvidence(knownVersion: number): EvidenceReply;
  /** Changes of the store as this daemon has heard of them. */
  changes(afterRevision: Revision, waitMs: number): Promise<RelayResponse>;
  /** What this daemon knows of the newest configuration, for one who holds a version of it. */
  configuration(heldVersion: number): PassedConfiguration;
  /** Operations of a tenant for another daemon; `null` when this daemon is not the one to ask. */
  grant(request: GrantRequest): Promise<Grant | null>;
}

/** Listens for daemons that borrow. */
export class GatewayServer {
  readonly #server: Server;
  readonly #channels = new Map<MessageChannel<GatewayMessage>, Map<number, Loan>>();
  readonly #statusQuestions = new StatusQuestions();
  #stage: LendingStage = 'lending';
  /** True once nothing that comes is read any more. */
  #isFinished = false;

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

  /** Tells everybody to borrow elsewhere, also those who wait for a connection here; loans that have one go on. */
  leave(): void {
    for (const channel of this.#channels.keys()) channel.send({ type: 'leaving' });
    this.#enter('leaving');
  }

  /** Ends what rests inside a transaction, at once or with the answer to come, and takes nothing new. */
  windUp(): void {
    this.#enter('winding_up');
  }

  /**
   * Says of everything that is still open whether it was sent, and ends the connections once all has been read. Resolves when
   * they have ended; the caller bounds the wait, and calls {@link GatewayServer.close} after it.
   */
  async finish(): Promise<void> {
    this.#enter('winding_up');
    this.#server.close();
    for (const loan of this.#loans()) loan.finish();
    this.#isFinished = true;
    const ends = [...this.#channels.keys()].map((channel) => {
      channel.send({ type: 'ended' });
      return channel.end();
    });
    await Promise.all(ends);
  }

  /** The life of a member has ended: loans of its connections end with it. */
  endLoans(pool: LinkPool): void {
    for (const loan of this.#loans()) loan.memberEnded(pool);
  }

  /** Ends everything at once. */
  close(): void {
    this.#server.close();
    for (const channel of this.#channels.keys()) channel.destroy();
  }

  #enter(stage: LendingStage): void {
    this.#stage = stage;
    for (const loan of this.#loans()) loan.stageChanged();
  }

  /** A copy: loans that end leave their channel. */
  #loans(): readonly Loan[] {
    return [...this.#channels.values()].flatMap((loans) => [...loans.values()]);
  }

  #lend(channel: MessageChannel<GatewayMessage>, loans: Map<number, Loan>, terms: BorrowMessage): void {
    const { groupName, memberId, bornMs = null } = terms;
    const loan = new Loan({
      terms,
      pool: this.ports.pool(groupName, { memberId, bornMs }),
      statusQuestions: this.#statusQuestions,
      stage: () => this.#stage,
      answer: (message) => channel.send(message),
      onLost: () => loans.delete(terms.loan),
    });
    loans.set(terms.loan, loan);
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
    if (this.#stage !== 'lending') channel.send({ type: 'leaving' });
  }

  #handle(channel: MessageChannel<GatewayMessage>, loans: Map<number, Loan>, message: GatewayMessage): void {
    if (this.#isFinished) return;
    switch (message.type) {
      case 'borrow':
        this.#lend(channel, loans, message);
        break;
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
          answer: this.ports.configuration(message.heldVersion),
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
      case 'ended':
      case 'evidence':
      case 'changes':
      case 'configuration':
      case 'grant':
        channel.destroy();
    }
  }
}
