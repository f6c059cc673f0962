/**
 * Lends this daemon's member connections to other daemons.
 *
 * @packageDocumentation
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { EvidenceReply } from '../leadership/evidence-exchange.js';
import type { Grant, GrantRequest } from '../quota/quota-home.js';
import type { ConfigurationLeaseReply } from '../tenancy/lease-renewal.js';
import type { LoadReport } from '../placement/load-report.js';
import { RecentLatency } from '../placement/recent-latency.js';
import { ReportBudget, ReportSchedule } from '../placement/report-schedule.js';
import { RequestTimes } from '../placement/request-times.js';
import type { RelayResponse } from '../coordination/change-relay.js';
import type { Revision } from '../coordination/revision.js';
import { MessageChannel } from '../peer/message-channel.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { LeaderCheck } from '../relay/session-link.js';
import {
  GRANT_FEATURE,
  MAX_GATEWAY_MESSAGE_BYTES,
  type BorrowMessage,
  type GatewayMessage,
  type LoanReplyMessage,
} from './gateway-messages.js';
import type { Incarnation } from '../topology/incarnation.js';
import { Loan, type LendingStage } from './loan.js';
import { StatusQuestions } from './status-questions.js';

/** What this daemon provides to other daemons on request. */
export interface GatewayResources {
  /**
   * The pool of a member; `null` if this daemon may not connect to it, or knows another incarnation of it.
   */
  pool(groupName: string, incarnation: Incarnation): LinkPool | null;
  /** What this daemon uses to verify the process of a group's leader; `null` for an unknown group. */
  leaderCheck(groupName: string): LeaderCheck | null;
  /** The load of the pool of a member, to be reported; `null` without one. Without this, nothing is reported. */
  load?(groupName: string, memberId: string): LoadReport | null;
  /** The leadership evidence of this daemon, for a requester that already has a version of the leaders. */
  ownEvidence(knownVersion: number): EvidenceReply;
  /** The changes of the store after a revision that this daemon knows; waits up to `waitMs` for one. */
  changes(afterRevision: Revision, waitMs: number): Promise<RelayResponse>;
  /** This daemon's knowledge of the newest configuration, for a requester that holds a version of it. */
  configuration(heldVersion: number): ConfigurationLeaseReply;
  /** Grants operations of a tenant; `null` if this daemon is not responsible for the tenant's quota. */
  grant(request: GrantRequest): Promise<Grant | null>;
}

/** The loans of one connection, and what its load reports need. */
class ConnectionLoans {
  readonly loans = new Map<number, Loan>();
  readonly requestTimes = new RequestTimes();
  readonly reports: ReportSchedule;

  constructor(budget: ReportBudget) {
    this.reports = new ReportSchedule(budget);
  }
}

/** Accepts connections from other daemons and handles their loans and requests. */
export class GatewayServer {
  readonly #server: Server;
  readonly #channels = new Map<MessageChannel<GatewayMessage>, ConnectionLoans>();
  readonly #reportBudget = new ReportBudget();
  /** Response times of lent connections, by member; they include the wait for a connection. */
  readonly #lentLatency = new Map<string, RecentLatency>();
  readonly #statusQuestions = new StatusQuestions();
  #stage: LendingStage = 'lending';
  /** True once incoming messages are ignored. */
  #isFinished = false;

  constructor(private readonly resources: GatewayResources) {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Number of loans that have not ended. */
  get openLoans(): number {
    let open = 0;
    for (const { loans } of this.#channels.values()) open += loans.size;
    return open;
  }

  /** Starts listening. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Tells all borrowers to borrow elsewhere and refuses loans that wait for a connection; loans that have one
   * continue.
   */
  leave(): void {
    for (const channel of this.#channels.keys()) channel.send({ type: 'leaving' });
    this.#enterStage('leaving');
  }

  /**
   * Ends loans inside a transaction, at once or after the reply to the request in flight, and lends no more
   * connections.
   */
  windUp(): void {
    this.#enterStage('winding_up');
  }

  /**
   * Reports for each open loan whether its requests were sent to the member, and closes the connections once
   * the borrowers have read everything. Resolves when they are closed; the caller must bound the wait and
   * then call {@link GatewayServer.close}.
   */
  async finish(): Promise<void> {
    this.#enterStage('winding_up');
    this.#server.close();
    for (const loan of this.#loans()) loan.finish();
    this.#isFinished = true;
    const ends = [...this.#channels.keys()].map((channel) => {
      channel.send({ type: 'ended' });
      return channel.end();
    });
    await Promise.all(ends);
  }

  /** Ends the loans from a pool whose member's incarnation has ended. */
  endLoans(pool: LinkPool): void {
    for (const loan of this.#loans()) loan.endIfUsing(pool);
  }

  /** Closes the server and all connections at once. */
  close(): void {
    this.#server.close();
    for (const channel of this.#channels.keys()) channel.destroy();
  }

  #enterStage(stage: LendingStage): void {
    this.#stage = stage;
    for (const loan of this.#loans()) loan.stageChanged();
  }

  /** A copy, since loans are removed from their channel's map when they end. */
  #loans(): readonly Loan[] {
    return [...this.#channels.values()].flatMap(({ loans }) => [...loans.values()]);
  }

  #openLoan(
    channel: MessageChannel<GatewayMessage>,
    connection: ConnectionLoans,
    terms: BorrowMessage,
  ): void {
    const { loans } = connection;
    const { groupName, memberId, bornMs = null } = terms;
    const loan = new Loan({
      terms,
      pool: this.resources.pool(groupName, { memberId, bornMs }),
      statusQuestions: this.#statusQuestions,
      leaderCheck: this.resources.leaderCheck(groupName),
      stage: () => this.#stage,
      answer: (message) =>
        channel.send(message.type === 'reply' ? this.#withLoad(message, terms, connection) : message),
      onLost: () => {
        loans.delete(terms.loan);
        connection.requestTimes.forget(terms.loan);
      },
    });
    loans.set(terms.loan, loan);
    if (terms.isGrantWanted === true) loan.requestGrant();
  }

  /** Adds a load report to a reply if one is due. */
  #withLoad(
    message: LoanReplyMessage,
    { groupName, memberId }: BorrowMessage,
    { requestTimes, reports }: ConnectionLoans,
  ): LoanReplyMessage {
    const nowMs = performance.now();
    const heldMs = requestTimes.finished(message.loan, nowMs);
    if (this.resources.load === undefined) return message;
    const lentLatency = this.#lentLatencyOf(memberId);
    if (heldMs !== null && message.reply.result.isComplete && message.reply.state === 'idle')
      lentLatency.record(heldMs, nowMs);
    if (!reports.take(memberId, nowMs)) return message;
    const load = this.resources.load(groupName, memberId);
    if (load === null) return message;
    const serviceMs = Math.round(lentLatency.valueMs(nowMs) ?? load.serviceMs);
    return { ...message, load: { ...load, serviceMs, ...(heldMs === null ? {} : { heldMs }) } };
  }

  #lentLatencyOf(memberId: string): RecentLatency {
    let latency = this.#lentLatency.get(memberId);
    if (latency === undefined) {
      latency = new RecentLatency();
      this.#lentLatency.set(memberId, latency);
    }
    return latency;
  }

  #accept(socket: Socket): void {
    const connection = new ConnectionLoans(this.#reportBudget);
    const channel: MessageChannel<GatewayMessage> = new MessageChannel<GatewayMessage>(
      socket,
      MAX_GATEWAY_MESSAGE_BYTES,
      {
        message: (message) => this.#handle(channel, connection, message),
        closed: () => {
          this.#channels.delete(channel);
          for (const loan of connection.loans.values()) loan.end();
        },
      },
    );
    this.#channels.set(channel, connection);
    channel.send({ type: 'hello', features: [GRANT_FEATURE] });
    if (this.#stage !== 'lending') channel.send({ type: 'leaving' });
  }

  #handle(
    channel: MessageChannel<GatewayMessage>,
    connection: ConnectionLoans,
    message: GatewayMessage,
  ): void {
    if (this.#isFinished) return;
    const { loans, requestTimes } = connection;
    switch (message.type) {
      case 'borrow':
        this.#openLoan(channel, connection, message);
        break;
      case 'request':
        if (message.request.kind !== 'status') requestTimes.started(message.loan, performance.now());
        loans.get(message.loan)?.enqueue(message);
        break;
      case 'values':
        loans.get(message.loan)?.enqueue(message);
        break;
      case 'return':
        loans.get(message.loan)?.end();
        loans.delete(message.loan);
        requestTimes.forget(message.loan);
        break;
      case 'ping':
        channel.send({ type: 'pong' });
        break;
      case 'ask_evidence':
        channel.send({
          type: 'evidence',
          id: message.id,
          answer: this.resources.ownEvidence(message.knownVersion),
        });
        break;
      case 'ask_changes':
        void this.resources
          .changes(message.afterRevision, message.waitMs)
          .then((answer) => channel.send({ type: 'changes', id: message.id, answer }));
        break;
      case 'ask_configuration':
        channel.send({
          type: 'configuration',
          id: message.id,
          answer: this.resources.configuration(message.heldVersion),
        });
        break;
      case 'ask_grant':
        void this.resources
          .grant(message.request)
          .then((grant) => channel.send({ type: 'grant', id: message.id, grant }));
        break;
      case 'hello':
        break;
      case 'granted':
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
