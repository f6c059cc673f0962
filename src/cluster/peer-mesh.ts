/**
 * Connections between daemons. The holder of the promotion duty connects to every other daemon and sends it
 * orders: to revoke its evidence of a leader, or to accept a new leader. The other daemons report suspicions
 * to the holder.
 *
 * @packageDocumentation
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { delay } from '../common/signal.js';
import {
  toLocalAbsence,
  AbsenceTracker,
  PROBE_TIMEOUT_MS,
  type Absence,
  type ReportedAbsence,
} from './absence-tracker.js';
import type { DaemonRecord } from './daemon-record.js';
import { EvidenceReader, type EvidenceReply, type SharedEvidence } from '../leadership/evidence-exchange.js';
import { MessageChannel } from '../peer/message-channel.js';
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
  /** The last leader that the daemon knows of; a duty holder that has just started knows of none. */
  readonly lastLed?: LastLeader;
  /** A call to the platform that was announced to the daemon and may still take effect. */
  readonly openCall?: OpenCall;
  /**
   * Exits of daemons that this one has observed, for example while it held the duty; the next holder has not
   * seen them.
   */
  readonly absences?: readonly ReportedAbsence[];
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
 * Outcome of an order at one daemon. `gone`: its process does not run; `silent`: there was no answer, and it
 * may still act on old evidence. `absence` is the latest interval in which no process was observed at its
 * address.
 */
export type OrderOutcome =
  | { readonly kind: 'answered'; readonly answer: OrderAnswer; readonly absence?: Absence }
  | { readonly kind: 'gone'; readonly absence?: Absence }
  | { readonly kind: 'silent' };

type MeshMessage =
  /** Sent first by the duty holder, so that the other daemons check on it when its connection ends. */
  | { readonly type: 'holder' }
  | { readonly type: 'ask_evidence'; readonly id: number; readonly knownVersion: number }
  | { readonly type: 'evidence'; readonly id: number; readonly answer: EvidenceReply }
  | { readonly type: 'order'; readonly id: number; readonly order: HolderOrder }
  | { readonly type: 'answer'; readonly id: number; readonly answer: OrderAnswer }
  | { readonly type: 'suspicion'; readonly suspicion: Suspicion };

/** Callbacks of the mesh. */
export interface MeshListener {
  handleOrder(order: HolderOrder): OrderAnswer;
  handleSuspicion(suspicion: Suspicion): void;
  /**
   * Evidence that this daemon has collected itself, for a peer that knows the given version of the list of
   * leaders.
   */
  ownEvidence(knownVersion: number): EvidenceReply;
  /** The process of a daemon that receives orders from this one was just observed to have exited. */
  daemonEnded(name: string): void;
  /** A daemon whose connection had ended was dialled. */
  probed(name: string, state: 'open' | 'refused' | 'silent'): void;
  /** The connection from a duty holder has ended. */
  holderDisconnected(host: string): void;
}

const MAX_MESSAGE_BYTES = 64 * 1024;
/**
 * Interval and maximum number of probes whether a process has started again at an address where one has
 * exited.
 */
const PROBE_INTERVAL_MS = 300;
const MAX_PROBES = 12;
/**
 * Number of daemons without a lease that are dialled at a time. A refused dial takes some 0.2 ms of the processor, and the
 * records of removed daemons are kept for minutes.
 */
const MAX_UNLEASED_DIALS = 16;
/** How long an absence is kept, in milliseconds; longer than a promotion takes. */
const ABSENCE_RETENTION_MS = 60_000;

/** An outgoing connection to another daemon. */
class PeerConnection {
  #channel: MessageChannel<MeshMessage> | null = null;
  #dialing: Promise<'open' | 'refused' | 'silent'> | null = null;
  #isClosedByUs = false;
  #isProbing = false;
  /** True from the report that the process has exited until a process accepts a connection. */
  #isEndReported = false;
  readonly #pendingOrders = new Map<number, (outcome: OrderOutcome) => void>();

  constructor(
    private readonly record: DaemonRecord,
    private readonly localAddress: string,
    private readonly listener: MeshListener,
    private readonly absences: AbsenceTracker,
    private readonly role: 'holder' | 'probe',
  ) {}

  async send(id: number, order: HolderOrder, timeoutMs: number): Promise<OrderOutcome> {
    const state = await this.open();
    if (state === 'refused') return { kind: 'gone' };
    const channel = this.#channel;
    if (state === 'silent' || channel === null) return { kind: 'silent' };
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pendingOrders.delete(id);
        channel.destroy();
        resolve({ kind: 'silent' });
      }, timeoutMs);
      this.#pendingOrders.set(id, (outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      });
      channel.send({ type: 'order', id, order });
    });
  }

  open(): Promise<'open' | 'refused' | 'silent'> {
    if (this.#isOpen) return Promise.resolve('open');
    this.#dialing ??= this.#dial().finally(() => (this.#dialing = null));
    return this.#dialing;
  }

  /**
   * Opens the connection, and reports a process that has exited. It may have done so before this daemon connected to
   * it for the first time, so no connection needs to break.
   */
  async openOrReportEnd(): Promise<void> {
    if ((await this.open()) === 'refused') this.#reportEnd();
  }

  close(): void {
    this.#isClosedByUs = true;
    this.#channel?.destroy();
  }

  /**
   * Probes immediately after the connection broke whether the process has exited; repeats until a process
   * listens there again. A probe without an answer proves nothing: this process may have been held up. Nor does
   * a connection that breaks at once: the listening socket of a killed process may close after the others.
   */
  async probeForEnd(): Promise<void> {
    if (this.#isProbing) return;
    this.#isProbing = true;
    for (let probe = 0; probe < MAX_PROBES && !this.#isClosedByUs; probe += 1) {
      const state = await this.open();
      this.listener.probed(this.record.name, state);
      if (state === 'refused') this.#reportEnd();
      await delay(PROBE_INTERVAL_MS);
      if (state === 'open' && this.#isOpen) break;
    }
    this.#isProbing = false;
  }

  #reportEnd(): void {
    if (this.#isEndReported) return;
    this.#isEndReported = true;
    this.listener.daemonEnded(this.record.name);
  }

  get #isOpen(): boolean {
    return this.#channel !== null && !this.#channel.isClosed;
  }

  #dial(): Promise<'open' | 'refused' | 'silent'> {
    return new Promise((resolve) => {
      const { host, port } = this.record;
      const socket = connect({ host, port, localAddress: this.localAddress });
      const timer = setTimeout(() => {
        resolve('silent');
        socket.destroy();
      }, PROBE_TIMEOUT_MS);
      socket.once('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        // A reset does not show that the process has exited; a running process may send it, too.
        const isRefused = error.code === 'ECONNREFUSED';
        if (isRefused) this.absences.recordRefusal(addressOf(this.record), performance.now());
        resolve(isRefused ? 'refused' : 'silent');
      });
      socket.once('connect', () => {
        clearTimeout(timer);
        this.#attach(socket);
        resolve('open');
      });
    });
  }

  #attach(socket: Socket): void {
    const channel = new MessageChannel<MeshMessage>(socket, MAX_MESSAGE_BYTES, {
      message: (message) => this.#receive(message),
      closed: () => {
        if (this.#channel === channel) this.#channel = null;
        for (const settle of this.#pendingOrders.values()) settle({ kind: 'silent' });
        this.#pendingOrders.clear();
        if (!this.#isClosedByUs) void this.probeForEnd();
      },
    });
    this.#channel = channel;
    this.#isEndReported = false;
    if (this.role === 'holder') channel.send({ type: 'holder' });
  }

  #receive(message: MeshMessage): void {
    if (message.type === 'suspicion') this.listener.handleSuspicion(message.suspicion);
    if (message.type === 'ask_evidence')
      this.#channel?.send({
        type: 'evidence',
        id: message.id,
        answer: this.listener.ownEvidence(message.knownVersion),
      });
    if (message.type !== 'answer') return;
    this.#pendingOrders.get(message.id)?.({ kind: 'answered', answer: message.answer });
    this.#pendingOrders.delete(message.id);
  }
}

/** One daemon's end of the mesh. */
export class PeerMesh {
  readonly #server: Server;
  /** Incoming connections, with the reader of the evidence that each one shares. */
  readonly #inbound = new Map<MessageChannel<MeshMessage>, EvidenceReader>();
  readonly #inboundHosts = new Map<MessageChannel<MeshMessage>, string>();
  /** Those of the incoming connections that come from a duty holder. */
  readonly #holderChannels = new Set<MessageChannel<MeshMessage>>();
  readonly #connections = new Map<string, PeerConnection>();
  readonly #absences = new AbsenceTracker();
  /** How often a daemon without a lease is still dialled. */
  readonly #unleasedDialsLeft = new Map<string, number>();
  #isClosed = false;
  readonly #evidenceRequests = new Map<number, (entries: readonly SharedEvidence[] | null) => void>();
  #nextId = 1;

  constructor(
    private readonly self: DaemonRecord,
    private readonly listener: MeshListener,
  ) {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Number of connections from duty holders. */
  get holderConnections(): number {
    return this.#holderChannels.size;
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Connects to all daemons, so that they can report suspicions; closes connections to daemons that are not
   * listed.
   */
  connectAll(records: readonly DaemonRecord[]): void {
    for (const record of this.#others(records)) void this.#connectionTo(record).openOrReportEnd();
    this.#absences.discardBefore(performance.now() - ABSENCE_RETENTION_MS);
    const keys = new Set(records.map(connectionKey));
    for (const [key, connection] of this.#connections) {
      if (keys.has(key)) continue;
      connection.close();
      this.#connections.delete(key);
    }
  }

  /**
   * Dials daemons whose lease has expired. One that has exited may have acknowledged commits, so its absence has to be
   * known without a gap until the leader is lost. A daemon that does not refuse some dials in a row is left out: its
   * machine may be gone, and each dial then waits for the timeout.
   */
  dialUnleased(records: readonly DaemonRecord[]): void {
    const others = this.#others(records);
    const keys = new Set(others.map(connectionKey));
    for (const key of this.#unleasedDialsLeft.keys()) if (!keys.has(key)) this.#unleasedDialsLeft.delete(key);
    const dialled = others.filter((record) => this.#dialsLeft(record) > 0).slice(0, MAX_UNLEASED_DIALS);
    for (const record of dialled) void this.#dialUnleased(record);
  }

  #dialsLeft(record: DaemonRecord): number {
    return this.#unleasedDialsLeft.get(connectionKey(record)) ?? MAX_PROBES;
  }

  async #dialUnleased(record: DaemonRecord): Promise<void> {
    const address = addressOf(record);
    const knownSinceMs = this.#absences.find(address)?.sinceMs;
    this.#unleasedDialsLeft.set(connectionKey(record), this.#dialsLeft(record) - 1);
    if (!(await this.isGone(record))) return;
    this.#unleasedDialsLeft.set(connectionKey(record), MAX_PROBES);
    if (this.#absences.find(address)?.sinceMs !== knownSinceMs) this.listener.daemonEnded(record.name);
  }

  /** Closes all outgoing connections; called when this daemon has lost the duty. */
  disconnectAll(): void {
    this.#unleasedDialsLeft.clear();
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
  }

  /** True when the daemon's host refuses the connection, so that its process does not run. */
  async isGone(record: DaemonRecord): Promise<boolean> {
    const connection = new PeerConnection(record, this.self.host, this.listener, this.#absences, 'probe');
    const state = await connection.open();
    connection.close();
    return state === 'refused';
  }

  /**
   * Probes whether a daemon's process has exited, until one listens there again. The next duty holder asks
   * for the result.
   */
  async probeForEnd(record: DaemonRecord): Promise<void> {
    const connection = new PeerConnection(record, this.self.host, this.listener, this.#absences, 'probe');
    await connection.probeForEnd();
    connection.close();
  }

  /** Sends an order to all other daemons and collects the outcomes. */
  async sendOrder(
    records: readonly DaemonRecord[],
    order: HolderOrder,
    timeoutMs: number,
  ): Promise<ReadonlyMap<string, OrderOutcome>> {
    const outcomes = new Map<string, OrderOutcome>();
    const others = this.#others(records);
    const sends = others.map(async (record) => {
      this.#nextId += 1;
      const sentAtMs = performance.now();
      const outcome = await this.#connectionTo(record).send(this.#nextId, order, timeoutMs);
      this.#mergeAbsences(outcome, sentAtMs);
      outcomes.set(record.name, outcome);
    });
    await Promise.all(sends);
    for (const record of others)
      outcomes.set(record.name, this.#withAbsence(record, outcomes.get(record.name)));
    return outcomes;
  }

  #mergeAbsences(outcome: OrderOutcome, sentAtMs: number): void {
    if (outcome.kind !== 'answered') return;
    const receivedAtMs = performance.now();
    for (const reported of outcome.answer.absences ?? [])
      this.#absences.merge(reported.address, toLocalAbsence(reported, sentAtMs, receivedAtMs));
  }

  #withAbsence(record: DaemonRecord, outcome: OrderOutcome = { kind: 'silent' }): OrderOutcome {
    const absence = this.#absences.find(addressOf(record));
    return outcome.kind === 'silent' || absence === null ? outcome : { ...outcome, absence };
  }

  /** Reports a suspicion to the duty holder. */
  reportSuspicion(suspicion: Suspicion): void {
    for (const channel of this.#inbound.keys()) channel.send({ type: 'suspicion', suspicion });
  }

  /**
   * Evidence of the duty holder that connected last, or `null` when there is none or it does not answer in
   * time. An age subtracted from a time before the call gives the time of the evidence or an earlier one,
   * never a later one.
   */
  askEvidence(timeoutMs: number): Promise<readonly SharedEvidence[] | null> {
    const holder = this.#latestHolder;
    if (holder === undefined) return Promise.resolve(null);
    const [channel, reader] = holder;
    this.#nextId += 1;
    const id = this.#nextId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#settleEvidenceRequest(id, null), timeoutMs);
      this.#evidenceRequests.set(id, (entries) => {
        clearTimeout(timer);
        resolve(entries);
      });
      channel.send({ type: 'ask_evidence', id, knownVersion: reader.knownVersion });
    });
  }

  /** Address of the daemon that {@link PeerMesh.askEvidence} would ask; `null` if there is none. */
  get holderHost(): string | null {
    const holder = this.#latestHolder;
    return holder === undefined ? null : (this.#inboundHosts.get(holder[0]) ?? null);
  }

  get #latestHolder(): [MessageChannel<MeshMessage>, EvidenceReader] | undefined {
    const inbound = [...this.#inbound];
    // A daemon that only probes has no evidence to give.
    return inbound.filter(([channel]) => this.#holderChannels.has(channel)).at(-1) ?? inbound.at(-1);
  }

  close(): void {
    this.#isClosed = true;
    this.disconnectAll();
    for (const channel of this.#inbound.keys()) channel.destroy();
    this.#server.close();
  }

  #reportAbsences(): { readonly absences?: readonly ReportedAbsence[] } {
    const nowMs = performance.now();
    this.#absences.discardBefore(nowMs - ABSENCE_RETENTION_MS);
    const absences = this.#absences.report(nowMs);
    return absences.length === 0 ? {} : { absences };
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
      connection = new PeerConnection(record, this.self.host, this.listener, this.#absences, 'holder');
      this.#connections.set(key, connection);
    }
    return connection;
  }

  #accept(socket: Socket): void {
    const reader = new EvidenceReader();
    const host = socket.remoteAddress ?? '';
    const channel: MessageChannel<MeshMessage> = new MessageChannel<MeshMessage>(socket, MAX_MESSAGE_BYTES, {
      message: (message) => this.#receiveFromHolder(channel, reader, message),
      closed: () => {
        this.#inbound.delete(channel);
        this.#inboundHosts.delete(channel);
        // Any other connection was only a probe whether this daemon runs.
        if (this.#holderChannels.delete(channel) && !this.#isClosed) this.listener.holderDisconnected(host);
      },
    });
    this.#inbound.set(channel, reader);
    this.#inboundHosts.set(channel, host);
  }

  #receiveFromHolder(
    channel: MessageChannel<MeshMessage>,
    reader: EvidenceReader,
    message: MeshMessage,
  ): void {
    if (message.type === 'evidence') this.#settleEvidenceRequest(message.id, reader.read(message.answer));
    if (message.type === 'holder') this.#holderChannels.add(channel);
    if (message.type !== 'order') return;
    this.#holderChannels.add(channel);
    const answer = { ...this.listener.handleOrder(message.order), ...this.#reportAbsences() };
    channel.send({ type: 'answer', id: message.id, answer });
  }
}

function addressOf({ host, port }: DaemonRecord): string {
  return `${host}:${port}`;
}

function connectionKey(record: DaemonRecord): string {
  return `${record.name} ${record.life}`;
}
