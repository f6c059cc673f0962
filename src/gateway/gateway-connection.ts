/**
 * The connection to one gateway, with the loans and the requests that use it.
 *
 * @packageDocumentation
 */
import { connect } from 'node:net';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { OutsideTraffic } from '../isolation/outside-traffic.js';
import { EvidenceReader, type SharedEvidence } from '../leadership/evidence-exchange.js';
import type { Grant, GrantRequest } from '../quota/quota-home.js';
import type { ConfigurationLeaseReply } from '../tenancy/lease-renewal.js';
import type { RelayResponse } from '../coordination/change-relay.js';
import type { Revision } from '../coordination/revision.js';
import { MessageChannel } from '../peer/message-channel.js';
import { readLoadReport } from '../placement/load-report.js';
import type { GatewayLoad, MemberLoads } from '../placement/member-load.js';
import { RequestTimes } from '../placement/request-times.js';
import type { ZoneLatency } from '../placement/zone-latency.js';
import type { AttendedTime } from './attended-time.js';
import { BorrowedLink, type LoanConnection } from './borrowed-link.js';
import {
  GRANT_FEATURE,
  MAX_GATEWAY_MESSAGE_BYTES,
  type GatewayMessage,
  type LoanReplyMessage,
} from './gateway-messages.js';
import { notSentReply } from './loan.js';

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Time without any message, while a reply is awaited, after which a ping is sent, in milliseconds. */
const PING_INTERVAL_MS = 150;
/** The same time, without delays of this process, after which the connection is closed, in milliseconds. */
const CLOSE_AFTER_MS = 1200;

/** The member connection to borrow. */
export interface LoanTerms {
  readonly groupName: string;
  readonly memberId: string;
  /**
   * Start of the member's process as known to the borrower, in milliseconds of the Unix epoch; `null` if
   * unknown.
   */
  readonly bornMs: number | null;
  readonly tenantName: string | null;
  readonly priority: number;
  /** Maximum wait for a connection, in milliseconds. */
  readonly waitMs: number;
  /** Time until the reply is due by the latency objective, in milliseconds; may be negative. */
  readonly dueInMs?: number;
  /** True if the request may have to wait for replicas at the leader. */
  readonly isWrite?: true;
}

/** A request to another daemon that does not belong to a loan. */
export type PeerRequest =
  | { readonly type: 'ask_evidence' }
  | { readonly type: 'ask_changes'; readonly afterRevision: Revision; readonly waitMs: number }
  | { readonly type: 'ask_configuration'; readonly heldVersion: number }
  | { readonly type: 'ask_grant'; readonly request: GrantRequest };

/** The reply to a {@link PeerRequest}; `null` if none arrived in time. */
export type PeerReply =
  | { readonly type: 'evidence'; readonly entries: readonly SharedEvidence[] }
  | { readonly type: 'changes'; readonly answer: RelayResponse }
  | { readonly type: 'configuration'; readonly answer: ConfigurationLeaseReply }
  | { readonly type: 'grant'; readonly grant: Grant | null }
  | null;

/** A request whose reply is awaited. */
interface PendingPeerRequest {
  /** True if the daemon replies at once, so that a missing reply indicates a fault. */
  readonly isPrompt: boolean;
  settle(reply: PeerReply): void;
}

/**
 * Messages to which a gateway replies at once, or as soon as the member does. A missing reply to one of them
 * indicates a fault.
 */
const PROMPT_REPLY_TYPES: ReadonlySet<GatewayMessage['type']> = new Set([
  'request',
  'ask_evidence',
  'ask_configuration',
  'ask_grant',
]);

/** True if a missing reply to the message indicates a fault. A gateway that has no connection yet replies to pings. */
function isReplyDue(message: GatewayMessage): boolean {
  return (
    PROMPT_REPLY_TYPES.has(message.type) || (message.type === 'borrow' && message.isGrantWanted === true)
  );
}

/** Where a connection records what it learns about load and distance. */
export interface LoadRecords {
  readonly loads: MemberLoads;
  readonly zoneLatency: ZoneLatency;
  invalidReport(gatewayName: string): void;
}

/** A moment of the monotonic clock, and the attended time then, both in milliseconds. */
interface Moment {
  readonly ms: number;
  readonly attendedMs: number;
}

/** The connection to one gateway. */
export class GatewayConnection {
  isLeaving = false;
  readonly loans = new Map<number, BorrowedLink>();
  readonly pendingRequests = new Map<number, PendingPeerRequest>();
  /** The load entry of each loan's member, by loan. */
  readonly #loadByLoan = new Map<number, GatewayLoad>();
  readonly #requestTimes = new RequestTimes();
  readonly #evidence = new EvidenceReader();
  readonly #channel: MessageChannel<GatewayMessage>;
  readonly #openedAt: Moment;
  readonly #gatewayName: string;
  #isConnected = false;
  /** Messages that wait until the connection is open, so that they can still be withdrawn. */
  #heldMessages: GatewayMessage[] = [];
  /** The gateway has sent `ended`: requests that it has not reported on were not sent to the member. */
  #hasReceivedEnd = false;
  #hasReplied = false;
  #hasGrants = false;
  #isFirstMessageWanted = false;
  #isSilent = false;
  /**
   * Time since which a reply has been awaited without any message arriving; `null` if none is awaited.
   */
  #awaitingSince: Moment | null = null;
  #lastPingMs = Number.NEGATIVE_INFINITY;
  #lastLoanId = 1;

  constructor(
    private readonly record: DaemonRecord,
    localAddress: string,
    private readonly records: LoadRecords,
    private readonly now: () => number,
    private readonly attendedTime: Pick<AttendedTime, 'valueMs'>,
    private readonly onClosed: () => void,
    onRefused: () => void,
  ) {
    this.#openedAt = this.#moment();
    this.#gatewayName = record.name;
    const socket = connect({ host: record.host, port: record.gatewayPort, localAddress });
    socket.once('connect', () => this.#handleConnect());
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') onRefused();
    });
    this.#channel = new MessageChannel<GatewayMessage>(socket, MAX_GATEWAY_MESSAGE_BYTES, {
      message: (message) => this.#receive(message),
      closed: () => this.#handleClose(),
    });
  }

  /** Zone of the gateway. */
  get zone(): string {
    return this.record.zone;
  }

  /** True once any message has arrived from the gateway. */
  get hasReplied(): boolean {
    return this.#hasReplied;
  }

  /** True from the time when the loans were notified of the gateway's silence until its next message. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Time without any message while a reply is awaited, in milliseconds. */
  get unansweredMs(): number {
    return this.#awaitingSince === null ? 0 : this.now() - this.#awaitingSince.ms;
  }

  /** The part of that time for which the gateway can be held responsible, rather than delays of this process. */
  get silentMs(): number {
    return this.#awaitingSince === null ? 0 : this.#elapsedAttendedMs(this.#awaitingSince);
  }

  borrow(terms: LoanTerms): BorrowedLink {
    this.#lastLoanId += 1;
    const loan = this.#lastLoanId;
    const connection: LoanConnection = {
      hasGrants: () => (this.#hasReplied ? this.#hasGrants : null),
      requestFirstMessage: () => this.#requestFirstMessage(),
      transmit: (message) => this.#transmit(message),
      withdraw: () => this.#withdraw(loan),
      ended: () => this.#removeLoan(loan),
    };
    const link = new BorrowedLink({ type: 'borrow', loan, ...terms }, this.#gatewayName, connection, this);
    this.loans.set(loan, link);
    const load = this.records.loads.entry(terms.memberId, this.record.name);
    load.loanStarted();
    this.#loadByLoan.set(loan, load);
    return link;
  }

  sendRequest(id: number, request: PeerRequest, settle: (reply: PeerReply) => void): void {
    this.pendingRequests.set(id, { isPrompt: request.type !== 'ask_changes', settle });
    if (request.type === 'ask_evidence')
      this.#transmit({ type: 'ask_evidence', id, knownVersion: this.#evidence.knownVersion });
    else this.#transmit({ ...request, id });
  }

  /** Sends a ping at once, and awaits the reply. */
  probe(): void {
    this.startReplyClock();
    this.#channel.send({ type: 'ping' });
  }

  /** Awaits a reply from now on, unless one is awaited already. */
  startReplyClock(): void {
    this.#awaitingSince ??= this.#moment();
  }

  /**
   * Sends a ping if one is due; closes the connection if it could not be opened in time or is unresponsive
   * for too long.
   */
  check(): void {
    const nowMs = this.now();
    if (!this.#isConnected && this.#elapsedAttendedMs(this.#openedAt) > CONNECT_TIMEOUT_MS)
      this.#channel.destroy();
    if (this.silentMs > CLOSE_AFTER_MS) this.#channel.destroy();
    if (this.unansweredMs < PING_INTERVAL_MS || nowMs - this.#lastPingMs < PING_INTERVAL_MS) return;
    this.#lastPingMs = nowMs;
    this.#channel.send({ type: 'ping' });
  }

  /** Ends the loans over which no statement was sent, and notifies the others that the gateway is silent. */
  handleSilence(): void {
    if (!this.#isConnected) return;
    this.#isSilent = true;
    for (const link of [...this.loans.values()]) link.handleSilence();
  }

  /** Records when bytes were last received, and since when a reply has been awaited. */
  recordTraffic(traffic: OutsideTraffic): void {
    if (this.#channel.bytesReceived > 0) traffic.recordReceived(this.#channel.lastReceivedMs);
    if (this.#awaitingSince !== null) traffic.recordWaiting(this.#awaitingSince.ms);
  }

  close(): void {
    this.#channel.destroy();
  }

  #moment(): Moment {
    return { ms: this.now(), attendedMs: this.attendedTime.valueMs };
  }

  /** The shorter of two times: a check also counts the time before the moment, since the check before it. */
  #elapsedAttendedMs(since: Moment): number {
    return Math.min(this.now() - since.ms, this.attendedTime.valueMs - since.attendedMs);
  }

  /** Sends a ping, since a gateway of the build before sends nothing of its own accord. */
  #requestFirstMessage(): void {
    if (this.#isFirstMessageWanted) return;
    this.#isFirstMessageWanted = true;
    this.probe();
  }

  #handleConnect(): void {
    this.#isConnected = true;
    for (const message of this.#heldMessages) this.#channel.send(message);
    this.#heldMessages = [];
  }

  #transmit(message: GatewayMessage): void {
    if (isReplyDue(message)) this.startReplyClock();
    if (message.type === 'request') this.#requestTimes.started(message.loan, this.now());
    if (this.#isConnected) this.#channel.send(message);
    else this.#heldMessages.push(message);
  }

  #withdraw(loan: number): boolean {
    if (this.#isConnected) return false;
    this.#heldMessages = this.#heldMessages.filter(
      (message) => !('loan' in message) || message.loan !== loan,
    );
    return true;
  }

  #receive(message: GatewayMessage): void {
    const isFirst = !this.#hasReplied;
    this.#hasReplied = true;
    this.#isSilent = false;
    switch (message.type) {
      case 'reply':
        this.#recordLoad(message);
        if (message.retryAfterMs !== undefined)
          this.loans.get(message.loan)?.handleRefusal(message.reply, message.retryAfterMs);
        else this.loans.get(message.loan)?.handleReply(message.reply, message.isLeader);
        break;
      case 'lost':
        this.loans.get(message.loan)?.fail(message.reason, message.isUnsent);
        break;
      case 'evidence': {
        const entries = this.#evidence.read(message.answer);
        this.#settleRequest(message.id, { type: 'evidence', entries });
        break;
      }
      case 'changes':
        this.#settleRequest(message.id, { type: 'changes', answer: message.answer });
        break;
      case 'configuration':
      case 'grant':
        this.#settleRequest(message.id, message);
        break;
      case 'hello':
        this.#hasGrants = Array.isArray(message.features) && message.features.includes(GRANT_FEATURE);
        break;
      case 'granted':
        this.loans.get(message.loan)?.handleGranted();
        break;
      case 'leaving':
        this.isLeaving = true;
        break;
      case 'ended':
        this.#hasReceivedEnd = true;
        this.#channel.destroy();
        break;
      default:
        break;
    }
    if (isFirst) for (const link of [...this.loans.values()]) link.handleFirstMessage();
    this.#awaitingSince = this.#isAwaitingReply() ? this.#moment() : null;
  }

  /** Records the load report on a reply, if any, and the round-trip time. */
  #recordLoad({ loan, reply, load }: LoanReplyMessage): void {
    const nowMs = this.now();
    const elapsedMs = this.#requestTimes.finished(loan, nowMs);
    if (load === undefined) return;
    const report = readLoadReport(load);
    if (report === null) {
      this.records.invalidReport(this.record.name);
      return;
    }
    this.#loadByLoan.get(loan)?.record(report, reply.state === 'idle', nowMs);
    if (elapsedMs !== null && report.heldMs !== undefined)
      this.records.zoneLatency.record(this.record.zone, elapsedMs - report.heldMs, nowMs);
  }

  #settleRequest(id: number, reply: PeerReply): void {
    this.pendingRequests.get(id)?.settle(reply);
    this.pendingRequests.delete(id);
  }

  #isAwaitingReply(): boolean {
    for (const { isPrompt } of this.pendingRequests.values()) if (isPrompt) return true;
    for (const link of this.loans.values()) if (link.isAwaitingReply) return true;
    return false;
  }

  #removeLoan(loan: number): void {
    this.loans.delete(loan);
    this.#loadByLoan.get(loan)?.loanEnded();
    this.#loadByLoan.delete(loan);
    this.#requestTimes.forget(loan);
    // A silent gateway stays unresponsive without loans, until it replies to a ping.
    if (!this.#isSilent && !this.#isAwaitingReply()) this.#awaitingSince = null;
  }

  #handleClose(): void {
    this.onClosed();
    for (const { settle } of this.pendingRequests.values()) settle(null);
    this.pendingRequests.clear();
    for (const link of [...this.loans.values()]) {
      if (this.#isConnected) link.fail('the connection to the gateway was lost', this.#hasReceivedEnd);
      else link.refuse(notSentReply('the gateway was not reached'));
    }
  }
}
