/**
 * Connections between daemons. The holder of the promotion duty connects to every other daemon and sends it
 * orders: to revoke its evidence of a leader, or to accept a new leader. The other daemons report suspicions
 * to the holder.
 *
 * Both sides of a connection first tell which process they are. A process that runs on closes no connection in
 * order, but resets it; so one that has told its identity, and whose connection ends in order, has ended.
 *
 * @packageDocumentation
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { delay } from '../common/signal.js';
import type { DaemonRecord } from './daemon-record.js';
import {
  EXIT_RETENTION_MS,
  ProcessExits,
  readReportedExits,
  type DaemonProcess,
  type ExitSign,
  type ReportedExit,
} from './process-exits.js';
import { EvidenceReader, type EvidenceReply, type SharedEvidence } from '../leadership/evidence-exchange.js';
import { MessageChannel, type ConnectionEnd } from '../peer/message-channel.js';
import type { LastLeader } from '../leadership/last-leader.js';
import type { OpenCall } from '../leadership/open-calls.js';
import type { Position } from '../position/position.js';
import type { Acknowledged } from '../leadership/acknowledged.js';

/** An order of the duty holder to the other daemons. */
export type HolderOrder =
  /** A promotion begins: evidence for terms up to this one has to be dropped. */
  | { readonly kind: 'revoke'; readonly groupName: string; readonly term: number }
  /** As `revoke`; in addition, commits of these terms that members answer later must not be acknowledged. */
  | {
      readonly kind: 'seal';
      readonly groupName: string;
      readonly term: number;
      /** A call to the platform that is about to be made, or that may still take effect. */
      readonly call?: OpenCall;
    }
  /** The promotion was abandoned. */
  | { readonly kind: 'allow'; readonly groupName: string }
  /** A member leads the group. */
  | {
      readonly kind: 'leader';
      readonly groupName: string;
      readonly memberId: string;
      readonly term: number;
      /**
       * Log position that it has received; a process with the same id that lacks it is a later one, and not
       * the leader.
       */
      readonly held: Position;
      /** Another call to the platform that may still take effect. */
      readonly call?: OpenCall;
    };

/** A daemon's answer to an order: the commits that it has acknowledged to clients. */
export interface OrderAnswer extends Acknowledged {
  /**
   * For how long this process has recorded its acknowledgements, in milliseconds; any others were made
   * earlier. Absent where that is not certain, and in answers of daemons of earlier versions.
   */
  readonly countedMs?: number;
  /**
   * `life` of the process of this daemon that the store named when this one started, at the same address. No other
   * one has registered in between.
   */
  readonly predecessorLife?: string;
  /** The last leader that the daemon knows of; a duty holder that has just started knows of none. */
  readonly lastLed?: LastLeader;
  /** A call to the platform that was announced to the daemon and may still take effect. */
  readonly openCall?: OpenCall;
  /**
   * Ends of daemon processes that this daemon knows of, for example since it held the duty; the next holder has
   * not seen them.
   */
  readonly exits?: readonly ReportedExit[];
  /**
   * The latest position from the proven leader; an upper bound for the acknowledgements of daemons that had
   * exited before.
   */
  readonly led?: LeaderPosition;
}

/** A log position reported by the proven leader. */
export interface LeaderPosition {
  readonly position: Position;
  /** Time since the request to the leader was sent, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Why a leader is suspected. `silent`: it does not answer this daemon; `refused`: it refuses or closes
 * connections; `denied`: it reports that it is not the leader; `stalled`: it answers, but commits are not
 * acknowledged; `failing`: many of the requests that it executes fail.
 */
export type SuspicionReason = 'silent' | 'refused' | 'denied' | 'stalled' | 'failing';

/** A daemon's suspicion that the leader of a group has failed. */
export interface Suspicion {
  readonly groupName: string;
  readonly memberId: string;
  readonly reason: SuspicionReason;
  /** Name of the daemon that reports the suspicion. */
  readonly reporter: string;
}

/**
 * Outcome of an order at one daemon. `gone`: the process that its record names is known to have ended, and no
 * other one answered in its place; `silent`: there was no answer, and it may still act on old evidence. A refused
 * connection is `silent`: a cut network may refuse, too. `endedAtMs` is the time by which that process, or the one
 * before the process that answered, was known to have ended.
 */
export type OrderOutcome =
  | { readonly kind: 'answered'; readonly answer: OrderAnswer; readonly endedAtMs?: number }
  | { readonly kind: 'gone'; readonly endedAtMs?: number }
  | { readonly kind: 'silent' };

/** What came back for one order. */
type OrderReply =
  | { readonly kind: 'answered'; readonly answer: OrderAnswer }
  | {
      readonly kind: 'unanswered';
      /** True if a process that may not be the one of the record listens at its address. */
      readonly mayBeReplaced: boolean;
    };

type MeshMessage =
  /** Sent first by both sides. Builds that do not send it never count as ended. */
  | { readonly type: 'hello'; readonly name: string; readonly life: string }
  /** Sent by the duty holder. */
  | { readonly type: 'holder' }
  /** Ends of processes that the duty holder has just learned of. */
  | { readonly type: 'exits'; readonly exits: readonly ReportedExit[] }
  | { readonly type: 'ask_evidence'; readonly id: number; readonly knownVersion: number }
  | { readonly type: 'evidence'; readonly id: number; readonly answer: EvidenceReply }
  | { readonly type: 'order'; readonly id: number; readonly order: HolderOrder }
  | { readonly type: 'answer'; readonly id: number; readonly answer: OrderAnswer }
  | { readonly type: 'suspicion'; readonly suspicion: Suspicion };

type DialOutcome = 'open' | 'refused' | 'silent';

/** Callbacks of the mesh. */
export interface MeshListener {
  handleOrder(order: HolderOrder): OrderAnswer;
  handleSuspicion(suspicion: Suspicion): void;
  /**
   * Evidence that this daemon has collected itself, for a peer that knows the given version of the list of
   * leaders.
   */
  ownEvidence(knownVersion: number): EvidenceReply;
  /** A process of a daemon has just become known to have ended. */
  daemonEnded(process: DaemonProcess, sign: ExitSign): void;
  /** A daemon whose connection had ended was dialled. */
  probed(name: string, state: DialOutcome): void;
  /** The connection from a duty holder has ended. */
  holderDisconnected(host: string, end: ConnectionEnd): void;
}

const MAX_MESSAGE_BYTES = 64 * 1024;
const DIAL_TIMEOUT_MS = 250;
/** Interval and most dials after a connection has ended. */
const RECONNECT_INTERVAL_MS = 300;
const MAX_RECONNECTS = 12;
/** Most dials to a daemon without a lease, until it answers one; its machine may be gone. */
const MAX_UNLEASED_DIALS_EACH = 12;
/**
 * Number of daemons without a lease that are dialled at a time. A refused dial takes some 0.2 ms of the processor, and the
 * records of removed daemons are kept for minutes.
 */
const MAX_UNLEASED_DIALS = 16;

/** What a connection reports to its mesh. */
interface ConnectionPorts {
  readonly self: DaemonRecord;
  readonly listener: MeshListener;
  /** True while this daemon tells the others that it holds the duty. */
  isHolder(): boolean;
  /** The process at the address of a record has told its identity. */
  answered(record: DaemonRecord, process: DaemonProcess): void;
  /** A process has closed its connection in order. */
  ended(process: DaemonProcess): void;
}

/** An outgoing connection to another daemon. */
class PeerConnection {
  #channel: MessageChannel<MeshMessage> | null = null;
  /** The process at the other end of the last connection; `null` if it has not told its identity. */
  #process: DaemonProcess | null = null;
  #dialing: Promise<DialOutcome> | null = null;
  #isClosedByUs = false;
  #isReconnecting = false;
  readonly #pendingOrders = new Map<number, (reply: OrderReply) => void>();

  constructor(
    private readonly record: DaemonRecord,
    private readonly ports: ConnectionPorts,
  ) {}

  get isOpen(): boolean {
    return this.#channel !== null && !this.#channel.isClosed;
  }

  async send(id: number, order: HolderOrder, timeoutMs: number): Promise<OrderReply> {
    const state = await this.open();
    const channel = this.#channel;
    if (state !== 'open' || channel === null) return { kind: 'unanswered', mayBeReplaced: false };
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pendingOrders.delete(id);
        resolve({ kind: 'unanswered', mayBeReplaced: this.#mayBeReplaced('broken') });
        channel.reset();
      }, timeoutMs);
      this.#pendingOrders.set(id, (reply) => {
        clearTimeout(timer);
        resolve(reply);
      });
      channel.send({ type: 'order', id, order });
    });
  }

  open(): Promise<DialOutcome> {
    if (this.isOpen) return Promise.resolve('open');
    this.#dialing ??= this.#dial().finally(() => (this.#dialing = null));
    return this.#dialing;
  }

  /** Sends a message if the connection is open. */
  tell(message: MeshMessage): void {
    this.#channel?.send(message);
  }

  /** Closes the connection; the remote side learns that this process runs on. */
  reset(): void {
    this.#isClosedByUs = true;
    this.#channel?.reset();
  }

  /** Closes the connection because this process ends. */
  end(): void {
    this.#isClosedByUs = true;
    this.#channel?.destroy();
  }

  /** Dials at once after the connection has ended, and repeats that until a connection lasts. */
  async #reconnect(): Promise<void> {
    if (this.#isReconnecting) return;
    this.#isReconnecting = true;
    for (let dial = 0; dial < MAX_RECONNECTS && !this.#isClosedByUs; dial += 1) {
      this.ports.listener.probed(this.record.name, await this.open());
      await delay(RECONNECT_INTERVAL_MS);
      if (this.isOpen) break;
    }
    this.#isReconnecting = false;
  }

  #dial(): Promise<DialOutcome> {
    return new Promise((resolve) => {
      const { host, port } = this.record;
      const socket = connect({ host, port, localAddress: this.ports.self.host });
      const timer = setTimeout(() => {
        resolve('silent');
        socket.destroy();
      }, DIAL_TIMEOUT_MS);
      socket.once('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        resolve(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
      });
      socket.once('connect', () => {
        clearTimeout(timer);
        this.#attach(socket);
        resolve('open');
      });
    });
  }

  #attach(socket: Socket): void {
    const channel = new MessageChannel<MeshMessage>(
      socket,
      MAX_MESSAGE_BYTES,
      {
        message: (message) => this.#receive(message),
        closed: (end) => this.#handleClosed(channel, end),
      },
      'reset',
    );
    this.#channel = channel;
    this.#process = null;
    channel.send(helloOf(this.ports.self));
    if (this.ports.isHolder()) channel.send({ type: 'holder' });
    if (this.#isClosedByUs) channel.reset();
  }

  #handleClosed(channel: MessageChannel<MeshMessage>, end: ConnectionEnd): void {
    if (this.#channel === channel) this.#channel = null;
    if (end === 'end_of_stream' && this.#process !== null) this.ports.ended(this.#process);
    const mayBeReplaced = this.#mayBeReplaced(end);
    for (const settle of this.#pendingOrders.values()) settle({ kind: 'unanswered', mayBeReplaced });
    this.#pendingOrders.clear();
    if (!this.#isClosedByUs) void this.#reconnect();
  }

  /** True if a connection that ended like this may have been one to another process than that of the record. */
  #mayBeReplaced(end: ConnectionEnd): boolean {
    // A process that ends may still accept a connection, and end it in order before it has told anything.
    if (this.#process === null) return end === 'broken';
    return this.#process.life !== this.record.life;
  }

  #receive(message: MeshMessage): void {
    switch (message.type) {
      case 'hello':
        this.#process = readProcess(message);
        if (this.#process !== null) this.ports.answered(this.record, this.#process);
        break;
      case 'suspicion':
        this.ports.listener.handleSuspicion(message.suspicion);
        break;
      case 'ask_evidence': {
        const answer = this.ports.listener.ownEvidence(message.knownVersion);
        this.#channel?.send({ type: 'evidence', id: message.id, answer });
        break;
      }
      case 'answer':
        this.#pendingOrders.get(message.id)?.({ kind: 'answered', answer: message.answer });
        this.#pendingOrders.delete(message.id);
        break;
      default:
    }
  }
}

/** An incoming connection. */
interface InboundConnection {
  readonly channel: MessageChannel<MeshMessage>;
  readonly host: string;
  /** Reads the evidence that the other side shares. */
  readonly reader: EvidenceReader;
  /** The process at the other end, once it has told its identity. */
  process: DaemonProcess | null;
  /** True once the other side has told that it holds the duty. */
  isHolder: boolean;
}

/** One daemon's end of the mesh. */
export class PeerMesh {
  readonly #server: Server;
  readonly #inbound = new Set<InboundConnection>();
  readonly #connections = new Map<string, PeerConnection>();
  readonly #exits = new ProcessExits();
  /** `life` of the process that is known to have listened last, by name and address. */
  readonly #lifeAt = new Map<string, string>();
  /** How often a daemon without a lease is still dialled. */
  readonly #unleasedDialsLeft = new Map<string, number>();
  readonly #connectionPorts: ConnectionPorts;
  /** True once this daemon has lost the duty, until it takes it again. */
  #hasLostDuty = false;
  #isClosed = false;
  readonly #evidenceRequests = new Map<number, (entries: readonly SharedEvidence[] | null) => void>();
  #nextId = 1;

  constructor(
    private readonly self: DaemonRecord,
    private readonly listener: MeshListener,
  ) {
    this.#server = createServer((socket) => this.#accept(socket));
    this.#connectionPorts = {
      self,
      listener,
      isHolder: () => !this.#hasLostDuty,
      answered: (record, process) => this.#recordAnsweringProcess(record, process),
      ended: (process) => this.#recordExit(process, 'end_of_stream', performance.now()),
    };
  }

  /** Number of connections from duty holders. */
  get holderConnections(): number {
    return [...this.#inbound].filter(({ isHolder }) => isHolder).length;
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Connects to all daemons, so that they can report suspicions, and their ends are seen; called while this daemon
   * holds the duty. Closes connections to daemons that are not listed.
   *
   * @param unleased - daemons whose lease has expired. They may still run, so a connection is kept; one that does
   * not answer some dials is left out.
   */
  connectAll(live: readonly DaemonRecord[], unleased: readonly DaemonRecord[] = []): void {
    this.#hasLostDuty = false;
    this.#exits.discardBefore(performance.now() - EXIT_RETENTION_MS);
    for (const record of this.#others(live)) void this.#connectionTo(record).open();
    this.#dialUnleased(this.#others(unleased));
    const records = [...live, ...unleased];
    const addresses = new Set(records.map(addressKey));
    for (const key of this.#lifeAt.keys()) if (!addresses.has(key)) this.#lifeAt.delete(key);
    const keys = new Set(records.map(connectionKey));
    for (const [key, connection] of this.#connections) {
      if (keys.has(key)) continue;
      connection.reset();
      this.#connections.delete(key);
    }
  }

  #dialUnleased(records: readonly DaemonRecord[]): void {
    const keys = new Set(records.map(connectionKey));
    for (const key of this.#unleasedDialsLeft.keys()) if (!keys.has(key)) this.#unleasedDialsLeft.delete(key);
    const dialled = records
      .filter((record) => !this.#connectionTo(record).isOpen && this.#dialsLeft(record) > 0)
      .slice(0, MAX_UNLEASED_DIALS);
    for (const record of dialled) {
      this.#unleasedDialsLeft.set(connectionKey(record), this.#dialsLeft(record) - 1);
      void this.#connectionTo(record).open();
    }
  }

  #dialsLeft(record: DaemonRecord): number {
    return this.#unleasedDialsLeft.get(connectionKey(record)) ?? MAX_UNLEASED_DIALS_EACH;
  }

  /** Closes all outgoing connections; called when this daemon has lost the duty. */
  disconnectAll(): void {
    this.#hasLostDuty = true;
    this.#unleasedDialsLeft.clear();
    this.#lifeAt.clear();
    for (const connection of this.#connections.values()) connection.reset();
    this.#connections.clear();
  }

  /** True when a process is known to have ended. */
  hasEnded({ name, life }: DaemonProcess): boolean {
    return this.#exits.endedAtMs(name, life) !== null;
  }

  /** Sends an order to all other daemons and collects the outcomes. */
  async sendOrder(
    records: readonly DaemonRecord[],
    order: HolderOrder,
    timeoutMs: number,
  ): Promise<ReadonlyMap<string, OrderOutcome>> {
    const others = this.#others(records);
    const sends = others.map(async (record) => {
      this.#nextId += 1;
      const reply = await this.#connectionTo(record).send(this.#nextId, order, timeoutMs);
      if (reply.kind === 'answered') this.#recordReported(reply.answer.exits);
      return { record, reply };
    });
    const replies = await Promise.all(sends);
    return new Map(replies.map(({ record, reply }) => [record.name, this.#toOutcome(record, reply)]));
  }

  #toOutcome({ name, life }: DaemonRecord, reply: OrderReply): OrderOutcome {
    if (reply.kind === 'answered') {
      const { answer } = reply;
      const { predecessorLife } = answer;
      const endedAtMs = predecessorLife === undefined ? null : this.#exits.endedAtMs(name, predecessorLife);
      return endedAtMs === null ? { kind: 'answered', answer } : { kind: 'answered', answer, endedAtMs };
    }
    const endedAtMs = reply.mayBeReplaced ? null : this.#exits.endedAtMs(name, life);
    return endedAtMs === null ? { kind: 'silent' } : { kind: 'gone', endedAtMs };
  }

  /** Reports a suspicion to the duty holder. */
  reportSuspicion(suspicion: Suspicion): void {
    for (const { channel } of this.#inbound) channel.send({ type: 'suspicion', suspicion });
  }

  /**
   * Evidence of the duty holder that connected last, or `null` when there is none or it does not answer in
   * time. An age subtracted from a time before the call gives the time of the evidence or an earlier one,
   * never a later one.
   */
  askEvidence(timeoutMs: number): Promise<readonly SharedEvidence[] | null> {
    const holder = this.#latestHolder;
    if (holder === undefined) return Promise.resolve(null);
    this.#nextId += 1;
    const id = this.#nextId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#settleEvidenceRequest(id, null), timeoutMs);
      this.#evidenceRequests.set(id, (entries) => {
        clearTimeout(timer);
        resolve(entries);
      });
      holder.channel.send({ type: 'ask_evidence', id, knownVersion: holder.reader.knownVersion });
    });
  }

  /** Address of the daemon that {@link PeerMesh.askEvidence} would ask; `null` if there is none. */
  get holderHost(): string | null {
    return this.#latestHolder?.host ?? null;
  }

  get #latestHolder(): InboundConnection | undefined {
    return [...this.#inbound].filter(({ isHolder }) => isHolder).at(-1);
  }

  /**
   * Closes all connections in order, from which the other daemons conclude that this process has ended: nothing may
   * be answered to a client after that.
   */
  close(): void {
    this.#isClosed = true;
    for (const connection of this.#connections.values()) connection.end();
    this.#connections.clear();
    for (const { channel } of this.#inbound) channel.destroy();
    this.#server.close();
  }

  /** A process that listened at an address before the one that answers there now has ended. */
  #recordAnsweringProcess(record: DaemonRecord, process: DaemonProcess): void {
    const { name } = record;
    if (process.name !== name) return;
    this.#unleasedDialsLeft.delete(connectionKey(record));
    const key = addressKey(record);
    const earlierLives = [record.life, this.#lifeAt.get(key) ?? record.life];
    this.#lifeAt.set(key, process.life);
    for (const life of earlierLives)
      if (life !== process.life) this.#recordExit({ name, life }, 'replaced', performance.now());
  }

  #recordExit(process: DaemonProcess, sign: ExitSign, endedAtMs: number): void {
    const isOwn = process.name === this.self.name && process.life === this.self.life;
    if (isOwn || !this.#exits.record(process, endedAtMs)) return;
    const { name, life } = process;
    const exits = [{ name, life, ageMs: Math.max(0, performance.now() - endedAtMs) }];
    for (const connection of this.#connections.values()) connection.tell({ type: 'exits', exits });
    if (!this.#isClosed) this.listener.daemonEnded(process, sign);
  }

  /** An age counts from the receipt of the report, so the end is placed no earlier than it was. */
  #recordReported(reported: unknown): void {
    const receivedAtMs = performance.now();
    for (const { name, life, ageMs } of readReportedExits(reported))
      this.#recordExit({ name, life }, 'reported', receivedAtMs - ageMs);
  }

  #reportExits(): Pick<OrderAnswer, 'exits'> {
    const nowMs = performance.now();
    this.#exits.discardBefore(nowMs - EXIT_RETENTION_MS);
    const exits = this.#exits.report(nowMs);
    return exits.length === 0 ? {} : { exits };
  }

  #settleEvidenceRequest(id: number, entries: readonly SharedEvidence[] | null): void {
    const settle = this.#evidenceRequests.get(id);
    this.#evidenceRequests.delete(id);
    settle?.(entries);
  }

  #others(records: readonly DaemonRecord[]): readonly DaemonRecord[] {
    return records.filter((record) => record.name !== this.self.name);
  }

  #connectionTo(record: DaemonRecord): PeerConnection {
    const key = connectionKey(record);
    let connection = this.#connections.get(key);
    if (connection === undefined) {
      connection = new PeerConnection(record, this.#connectionPorts);
      this.#connections.set(key, connection);
    }
    if (!this.#lifeAt.has(addressKey(record))) this.#lifeAt.set(addressKey(record), record.life);
    return connection;
  }

  #accept(socket: Socket): void {
    const inbound: InboundConnection = {
      channel: new MessageChannel<MeshMessage>(
        socket,
        MAX_MESSAGE_BYTES,
        {
          message: (message) => this.#receiveInbound(inbound, message),
          closed: (end) => this.#handleInboundClosed(inbound, end),
        },
        'reset',
      ),
      host: socket.remoteAddress ?? '',
      reader: new EvidenceReader(),
      process: null,
      isHolder: false,
    };
    this.#inbound.add(inbound);
    inbound.channel.send(helloOf(this.self));
  }

  #handleInboundClosed(inbound: InboundConnection, end: ConnectionEnd): void {
    this.#inbound.delete(inbound);
    if (this.#isClosed) return;
    if (inbound.isHolder) this.listener.holderDisconnected(inbound.host, end);
    if (end === 'end_of_stream' && inbound.process !== null)
      this.#recordExit(inbound.process, 'end_of_stream', performance.now());
  }

  #receiveInbound(inbound: InboundConnection, message: MeshMessage): void {
    switch (message.type) {
      case 'hello':
        inbound.process = readProcess(message);
        break;
      case 'holder':
        inbound.isHolder = true;
        break;
      case 'exits':
        this.#recordReported(message.exits);
        break;
      case 'evidence':
        this.#settleEvidenceRequest(message.id, inbound.reader.read(message.answer));
        break;
      case 'order': {
        const answer = { ...this.listener.handleOrder(message.order), ...this.#reportExits() };
        inbound.channel.send({ type: 'answer', id: message.id, answer });
        break;
      }
      default:
    }
  }
}

function helloOf({ name, life }: DaemonProcess): MeshMessage {
  return { type: 'hello', name, life };
}

/** The process that a `hello` names; `null` if it is not well formed. */
function readProcess({
  name,
  life,
}: {
  readonly name: unknown;
  readonly life: unknown;
}): DaemonProcess | null {
  return typeof name === 'string' && typeof life === 'string' ? { name, life } : null;
}

/** One name at one address: at most one process listens there. */
function addressKey({ name, host, port }: DaemonRecord): string {
  return `${name} ${host}:${port}`;
}

function connectionKey(record: DaemonRecord): string {
  return `${record.name} ${record.life}`;
}
