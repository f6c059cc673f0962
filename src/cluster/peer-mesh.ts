/**
 * Connections between daemons: the holder of the promotion duty dials every other daemon and asks it to let go
 * of a leader, or tells it of a new one; the others tell the holder whom they suspect.
 *
 * @packageDocumentation
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { delay } from '../common/signal.js';
import { absenceOf, DaemonEnds, END_DIAL_MS, type Absence, type ToldAbsence } from './daemon-ends.js';
import type { DaemonRecord } from './daemon-record.js';
import { EvidenceReader, type EvidenceReply, type SharedEvidence } from '../leadership/evidence-exchange.js';
import { MessageChannel } from '../peer/message-channel.js';
import type { LastLed } from '../leadership/last-led.js';
import type { OpenCall } from '../leadership/open-calls.js';
import type { Position } from '../position/position.js';
import type { Acknowledged } from '../leadership/acknowledged.js';

/** What the holder asks of the others. */
export type HolderOrder =
  /** Evidence for terms up to this one is to be dropped: a promotion begins. */
  | { readonly kind: 'revoke'; readonly groupName: string; readonly term: number }
  /** The same; and commits of these terms that are answered after it are acknowledged no more. */
  | {
      readonly kind: 'seal';
      readonly groupName: string;
      readonly term: number;
      /** The platform is about to be called, or may act on a call still. */
      readonly call?: OpenCall;
    }
  /** The promotion was given up. */
  | { readonly kind: 'allow'; readonly groupName: string }
  /** A member leads. */
  | {
      readonly kind: 'leader';
      readonly groupName: string;
      readonly memberId: string;
      readonly term: number;
      /** What it has received: a process that lacks it goes by the same id, and does not lead. */
      readonly held: Position;
      /** A further call that may still act. */
      readonly call?: OpenCall;
    };

/** What a daemon answers to an order: what it has acknowledged to clients. */
export interface OrderAnswer extends Acknowledged {
  /**
   * For how long this process has kept count, in milliseconds: what it does not know of was acknowledged before. Not told where that is
   * not certain, and by daemons of earlier versions.
   */
  readonly countedMs?: number;
  /** Who led last, as far as it has heard: a holder of the duty that has just started has heard of nobody. */
  readonly lastLed?: LastLed;
  /** A call of the platform that the daemon was told of, and that may still act. */
  readonly openCall?: OpenCall;
  /** Daemons that this one has seen to have ended, while it held the duty: the next holder has not. */
  readonly absences?: readonly ToldAbsence[];
  /** The newest position that the proven leader has given it: bounds what daemons had acknowledged that have ended before. */
  readonly led?: LedPosition;
}

/** A position that the proven leader gave. */
export interface LedPosition {
  readonly position: Position;
  /** Time since the leader was asked, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Why a leader is doubted. `silent`: it does not answer this daemon; `refused`: it refuses or ends connections;
 * `denied`: it says that it does not lead; `stalled`: it answers, but commits are not acknowledged; `failing`: it fails
 * many of the requests that it runs.
 */
export type SuspicionReason = 'silent' | 'refused' | 'denied' | 'stalled' | 'failing';

/** A daemon's doubt about a member that leads. */
export interface Suspicion {
  readonly groupName: string;
  readonly memberId: string;
  readonly reason: SuspicionReason;
  /** The daemon that doubts. */
  readonly reporter: string;
}

/**
 * How an order went at one daemon. `gone`: its process does not run; `silent`: unknown, it may still act on old
 * evidence. With the last time in which no process was seen at its address.
 */
export type OrderOutcome =
  | { readonly kind: 'answered'; readonly answer: OrderAnswer; readonly absence?: Absence }
  | { readonly kind: 'gone'; readonly absence?: Absence }
  | { readonly kind: 'silent' };

type MeshMessage =
  | { readonly type: 'ask_evidence'; readonly id: number; readonly knownVersion: number }
  | { readonly type: 'evidence'; readonly id: number; readonly answer: EvidenceReply }
  | { readonly type: 'order'; readonly id: number; readonly order: HolderOrder }
  | { readonly type: 'answer'; readonly id: number; readonly answer: OrderAnswer }
  | { readonly type: 'suspicion'; readonly suspicion: Suspicion };

/** What the mesh calls. */
export interface MeshListener {
  order(order: HolderOrder): OrderAnswer;
  suspicion(suspicion: Suspicion): void;
  /** The evidence that this daemon has gathered itself, for one who has been sent a version of the leaders. */
  ownEvidence(knownVersion: number): EvidenceReply;
  /** The process of a daemon that this one gives orders to has just been seen to have ended. */
  daemonEnded(name: string): void;
  /** A daemon that gave orders to this one has ended its connection. */
  holderLeft(host: string): void;
}

const MAX_MESSAGE_BYTES = 64 * 1024;
/** Time between two looks at whether a process stands again where one has ended, in milliseconds, and how many there are. */
const LOOK_MS = 300;
const MOST_LOOKS = 12;
/** For how long an end is of interest, in milliseconds: longer than a promotion takes. */
const END_KNOWN_MS = 60_000;

/** A connection that the holder has opened. */
class HolderLink {
  #channel: MessageChannel<MeshMessage> | null = null;
  #dialing: Promise<'open' | 'refused' | 'silent'> | null = null;
  #isClosedByUs = false;
  readonly #waiting = new Map<number, (outcome: OrderOutcome) => void>();

  constructor(
    private readonly record: DaemonRecord,
    private readonly localAddress: string,
    private readonly listener: MeshListener,
    private readonly ends: DaemonEnds,
  ) {}

  async send(id: number, order: HolderOrder, timeoutMs: number): Promise<OrderOutcome> {
    const state = await this.open();
    if (state === 'refused') return { kind: 'gone' };
    const channel = this.#channel;
    if (state === 'silent' || channel === null) return { kind: 'silent' };
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#waiting.delete(id);
        channel.destroy();
        resolve({ kind: 'silent' });
      }, timeoutMs);
      this.#waiting.set(id, (outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      });
      channel.send({ type: 'order', id, order });
    });
  }

  open(): Promise<'open' | 'refused' | 'silent'> {
    if (this.#channel !== null && !this.#channel.isClosed) return Promise.resolve('open');
    this.#dialing ??= this.#dial().finally(() => (this.#dialing = null));
    return this.#dialing;
  }

  close(): void {
    this.#isClosedByUs = true;
    this.#channel?.destroy();
  }

  /** A connection has broken: looks at once whether its process has ended, and until another stands there. */
  async lookForEnd(): Promise<void> {
    for (let look = 0; look < MOST_LOOKS && !this.#isClosedByUs; look += 1) {
      if ((await this.open()) !== 'refused') return;
      if (look === 0) this.listener.daemonEnded(this.record.name);
      await delay(LOOK_MS);
    }
  }

  #dial(): Promise<'open' | 'refused' | 'silent'> {
    return new Promise((resolve) => {
      const { host, port } = this.record;
      const socket = connect({ host, port, localAddress: this.localAddress });
      const timer = setTimeout(() => {
        resolve('silent');
        socket.destroy();
      }, END_DIAL_MS);
      socket.once('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        // A reset says nothing of the process: one that lives gives it, too.
        const isRefused = error.code === 'ECONNREFUSED';
        if (isRefused) this.ends.refused(addressOf(this.record), performance.now());
        resolve(isRefused ? 'refused' : 'silent');
      });
      socket.once('connect', () => {
        clearTimeout(timer);
        this.#adopt(socket);
        resolve('open');
      });
    });
  }

  #adopt(socket: Socket): void {
    const channel = new MessageChannel<MeshMessage>(socket, MAX_MESSAGE_BYTES, {
      message: (message) => this.#receive(message),
      closed: () => {
        if (this.#channel === channel) this.#channel = null;
        for (const settle of this.#waiting.values()) settle({ kind: 'silent' });
        this.#waiting.clear();
        if (!this.#isClosedByUs) void this.lookForEnd();
      },
    });
    this.#channel = channel;
  }

  #receive(message: MeshMessage): void {
    if (message.type === 'suspicion') this.listener.suspicion(message.suspicion);
    if (message.type === 'ask_evidence')
      this.#channel?.send({
        type: 'evidence',
        id: message.id,
        answer: this.listener.ownEvidence(message.knownVersion),
      });
    if (message.type !== 'answer') return;
    this.#waiting.get(message.id)?.({ kind: 'answered', answer: message.answer });
    this.#waiting.delete(message.id);
  }
}

/** One daemon's part of the mesh. */
export class PeerMesh {
  readonly #server: Server;
  /** Connections that holders of the duty have opened, with what is known of their evidence. */
  readonly #inbound = new Map<MessageChannel<MeshMessage>, EvidenceReader>();
  readonly #links = new Map<string, HolderLink>();
  readonly #ends = new DaemonEnds();
  #isClosed = false;
  readonly #questions = new Map<number, (entries: readonly SharedEvidence[] | null) => void>();
  #nextId = 1;

  constructor(
    private readonly self: DaemonRecord,
    private readonly listener: MeshListener,
  ) {
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts to listen. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /** Opens connections to all daemons, so that they can tell what they suspect. */
  connectAll(records: readonly DaemonRecord[]): void {
    for (const record of this.#others(records)) void this.#link(record).open();
    this.#ends.trim(performance.now() - END_KNOWN_MS);
    const names = new Set(records.map(linkKey));
    for (const [key, link] of this.#links) {
      if (names.has(key)) continue;
      link.close();
      this.#links.delete(key);
    }
  }

  /** Ends the connections of a holder that is one no more. */
  disconnectAll(): void {
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
  }

  /** True when the host of a daemon answers that its process does not run. */
  async isGone(record: DaemonRecord): Promise<boolean> {
    const link = new HolderLink(record, this.self.host, this.listener, this.#ends);
    const state = await link.open();
    link.close();
    return state === 'refused';
  }

  /** Looks whether the process of a daemon has ended, and until another stands there: whoever holds the duty next asks for it. */
  async lookForEnd(record: DaemonRecord): Promise<void> {
    const link = new HolderLink(record, this.self.host, this.listener, this.#ends);
    await link.lookForEnd();
    link.close();
  }

  /** Gives an order to all other daemons and collects how it went. */
  async order(
    records: readonly DaemonRecord[],
    order: HolderOrder,
    timeoutMs: number,
  ): Promise<ReadonlyMap<string, OrderOutcome>> {
    const outcomes = new Map<string, OrderOutcome>();
    const others = this.#others(records);
    const sends = others.map(async (record) => {
      this.#nextId += 1;
      const askedAtMs = performance.now();
      const outcome = await this.#link(record).send(this.#nextId, order, timeoutMs);
      this.#learnAbsences(outcome, askedAtMs);
      outcomes.set(record.name, outcome);
    });
    await Promise.all(sends);
    for (const record of others)
      outcomes.set(record.name, this.#withAbsence(record, outcomes.get(record.name)));
    return outcomes;
  }

  #learnAbsences(outcome: OrderOutcome, askedAtMs: number): void {
    if (outcome.kind !== 'answered') return;
    const heardAtMs = performance.now();
    for (const told of outcome.answer.absences ?? [])
      this.#ends.learn(told.address, absenceOf(told, askedAtMs, heardAtMs));
  }

  #withAbsence(record: DaemonRecord, outcome: OrderOutcome = { kind: 'silent' }): OrderOutcome {
    const absence = this.#ends.of(addressOf(record));
    return outcome.kind === 'silent' || absence === null ? outcome : { ...outcome, absence };
  }

  /** Tells the holder of a doubt. */
  suspect(suspicion: Suspicion): void {
    for (const channel of this.#inbound.keys()) channel.send({ type: 'suspicion', suspicion });
  }

  /**
   * The evidence of the holder that connected last, or `null` when there is none or it does not answer in time.
   * Its ages are right or too high for a question that was asked before the call.
   */
  askEvidence(timeoutMs: number): Promise<readonly SharedEvidence[] | null> {
    const holder = [...this.#inbound].at(-1);
    if (holder === undefined) return Promise.resolve(null);
    const [channel, reader] = holder;
    this.#nextId += 1;
    const id = this.#nextId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.#settleQuestion(id, null), timeoutMs);
      this.#questions.set(id, (entries) => {
        clearTimeout(timer);
        resolve(entries);
      });
      channel.send({ type: 'ask_evidence', id, knownVersion: reader.knownVersion });
    });
  }

  /** Ends everything. */
  close(): void {
    this.#isClosed = true;
    this.disconnectAll();
    for (const channel of this.#inbound.keys()) channel.destroy();
    this.#server.close();
  }

  #toldAbsences(): { readonly absences?: readonly ToldAbsence[] } {
    const nowMs = performance.now();
    this.#ends.trim(nowMs - END_KNOWN_MS);
    const absences = this.#ends.tell(nowMs);
    return absences.length === 0 ? {} : { absences };
  }

  #settleQuestion(id: number, entries: readonly SharedEvidence[] | null): void {
    const settle = this.#questions.get(id);
    this.#questions.delete(id);
    settle?.(entries);
  }

  #others(records: readonly DaemonRecord[]): readonly DaemonRecord[] {
    return records.filter((record) => record.name !== this.self.name);
  }

  #link(record: DaemonRecord): HolderLink {
    const key = linkKey(record);
    let link = this.#links.get(key);
    if (link === undefined) {
      link = new HolderLink(record, this.self.host, this.listener, this.#ends);
      this.#links.set(key, link);
    }
    return link;
  }

  #accept(socket: Socket): void {
    const reader = new EvidenceReader();
    const host = socket.remoteAddress ?? '';
    let hasOrdered = false;
    const channel: MessageChannel<MeshMessage> = new MessageChannel<MeshMessage>(socket, MAX_MESSAGE_BYTES, {
      message: (message) => {
        if (message.type === 'evidence') this.#settleQuestion(message.id, reader.read(message.answer));
        if (message.type !== 'order') return;
        hasOrdered = true;
        const answer = { ...this.listener.order(message.order), ...this.#toldAbsences() };
        channel.send({ type: 'answer', id: message.id, answer });
      },
      closed: () => {
        this.#inbound.delete(channel);
        // A connection that only asked whether this daemon stands here is no holder's.
        if (hasOrdered && !this.#isClosed) this.listener.holderLeft(host);
      },
    });
    this.#inbound.set(channel, reader);
  }
}

function addressOf({ host, port }: DaemonRecord): string {
  return `${host}:${port}`;
}

function linkKey(record: DaemonRecord): string {
  return `${record.name} ${record.life}`;
}
