/**
 * Probes other daemons and spreads news, after the SWIM paper.
 *
 * @packageDocumentation
 */
import { shuffle } from '../common/shuffle.js';
import type { PeerLinks } from '../peer/peer-links.js';
import type { PeerMessage, SenderState, SyncMessage } from '../peer/peer-messages.js';
import type { MembershipTable } from './membership-table.js';
import { isReachableState, type PeerRecord } from './peer-record.js';

/** Settings of the gossip; times in milliseconds. */
export interface GossipOptions {
  readonly table: MembershipTable;
  readonly links: PeerLinks;
  /** Time between probes; each round probes one daemon. */
  readonly intervalMs: number;
  /** Time in which a probe must be answered. */
  readonly probeTimeoutMs: number;
  /** Daemons asked to probe a silent one. */
  readonly indirectProbes: number;
  /** Time between comparisons of the whole table with one daemon. */
  readonly syncIntervalMs: number;
  readonly random: () => number;
  /** Version of the configuration in force here; 0 for none. */
  readonly configurationVersion: () => number;
  /** Called with the version that another daemon says it has in force. */
  readonly onVersion: (daemonId: string, version: number) => void;
  /** Called after records have changed. */
  readonly onChange: () => void;
  readonly onDead: (record: PeerRecord) => void;
}

interface Probe {
  readonly daemonId: string;
  answered: boolean;
}

/** Daemons told at once of a change that should not wait for the next round. */
const URGENT_FANOUT = 8;

/** Runs the rounds of one daemon. */
export class Gossip {
  readonly #probes = new Map<number, Probe>();
  readonly #relayed = new Map<
    number,
    { readonly pingId: number; readonly reply: (message: PeerMessage) => void }
  >();
  readonly #timers: NodeJS.Timeout[] = [];
  #comparisonTimer: NodeJS.Timeout | null = null;
  #nextPingId = 1;
  #order: string[] = [];

  constructor(private readonly options: GossipOptions) {}

  /** Starts the rounds, and fetches all records from the daemons known at the start. */
  start(): void {
    const { intervalMs, syncIntervalMs } = this.options;
    this.#timers.push(setInterval(() => this.#round(), intervalMs));
    this.#scheduleComparison(syncIntervalMs);
  }

  /** Stops the rounds. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    if (this.#comparisonTimer !== null) clearTimeout(this.#comparisonTimer);
  }

  /** Exchanges all records with a daemon. */
  syncWith(target: Pick<PeerRecord, 'daemonId' | 'host' | 'port'>): void {
    const { table, links } = this.options;
    links.to(target).tell({ kind: 'sync', records: table.all, wantsReply: true });
  }

  /** Tells some daemons the news at once. */
  spreadNow(): void {
    const { table, links } = this.options;
    const others = shuffle(table.others, this.options.random).slice(0, URGENT_FANOUT);
    const news = table.takeNews();
    for (const record of others)
      links.to(record).tell({ kind: 'ping', pingId: 0, news, ...this.#senderState() });
  }

  /** Handles a message that came over a link opened by another daemon. */
  handleIncoming(message: PeerMessage, reply: (message: PeerMessage) => void): void {
    const { table } = this.options;
    switch (message.kind) {
      case 'ping':
        this.#merge(message.news);
        this.options.onVersion(message.from, message.configurationVersion);
        reply({ kind: 'ack', pingId: message.pingId, news: table.takeNews(), ...this.#senderState() });
        break;
      case 'pingRequest':
        this.#relayProbe(message.target, message.pingId, reply);
        break;
      case 'sync':
        this.#merge(message.records, true);
        if (message.wantsReply) reply({ kind: 'sync', records: table.all, wantsReply: false });
        break;
      case 'digest':
        if (message.digest !== table.digest()) reply({ kind: 'sync', records: table.all, wantsReply: true });
        break;
      default:
        break;
    }
  }

  /** Handles an answer that came over a link opened by this daemon. */
  handleAnswer(daemonId: string, message: PeerMessage): void {
    if (message.kind === 'sync') this.#handleSyncAnswer(message, daemonId);
    if (message.kind !== 'ack') return;
    this.#merge(message.news);
    this.options.onVersion(message.from, message.configurationVersion);
    const probe = this.#probes.get(message.pingId);
    if (probe !== undefined) probe.answered = true;
    const relayed = this.#relayed.get(message.pingId);
    this.#relayed.delete(message.pingId);
    relayed?.reply({ kind: 'ack', pingId: relayed.pingId, news: [], ...this.#senderState() });
  }

  #senderState(): SenderState {
    const { table, configurationVersion } = this.options;
    return { from: table.own.daemonId, configurationVersion: configurationVersion() };
  }

  /** @param isBulk - true for a whole table, which need not be passed on record by record */
  #merge(records: readonly PeerRecord[], isBulk = false): void {
    const nowMs = performance.now();
    let isChanged = false;
    for (const record of records) isChanged = this.options.table.merge(record, nowMs, !isBulk) || isChanged;
    if (isChanged) this.options.onChange();
  }

  #round(): void {
    const { table } = this.options;
    for (const record of table.expire(performance.now())) this.options.onDead(record);
    this.#probeOneDead();
    const target = this.#nextTarget();
    if (target !== null) this.#probe(target);
  }

  /** Probes a daemon now, for instance since a link to it was lost. */
  probeNow(daemonId: string): void {
    const record = this.options.table.find(daemonId);
    const isProbed = [...this.#probes.values()].some((probe) => probe.daemonId === daemonId);
    if (record !== null && isReachableState(record.state) && !isProbed) this.#probe(record);
  }

  #probe(target: PeerRecord): void {
    const { table, links } = this.options;
    const pingId = this.#nextPingId++;
    this.#probes.set(pingId, { daemonId: target.daemonId, answered: false });
    links.to(target).tell({ kind: 'ping', pingId, news: table.takeNews(), ...this.#senderState() });
    setTimeout(() => this.#checkDirect(pingId, target), this.options.probeTimeoutMs).unref();
  }

  /**
   * Tells one daemon that is believed dead so, lest a healed cut leave two sides that never speak again: a
   * daemon that hears of its own death refutes it.
   */
  #probeOneDead(): void {
    const { table, links, random } = this.options;
    const dead = table.all.filter(({ state }) => state === 'dead');
    const record = dead[Math.floor(random() * dead.length)];
    if (record !== undefined)
      links.to(record).tell({ kind: 'ping', pingId: 0, news: [record], ...this.#senderState() });
  }

  /** Each daemon is probed once before any is probed again. */
  #nextTarget(): PeerRecord | null {
    const { table, random } = this.options;
    for (;;) {
      if (this.#order.length === 0) {
        this.#order = shuffle(
          table.others.map(({ daemonId }) => daemonId),
          random,
        );
        if (this.#order.length === 0) return null;
      }
      const record = table.find(this.#order.pop() ?? '');
      if (record !== null && isReachableState(record.state)) return record;
    }
  }

  #checkDirect(pingId: number, target: PeerRecord): void {
    const { table, links, indirectProbes, random, probeTimeoutMs } = this.options;
    if (this.#probes.get(pingId)?.answered === true) {
      this.#probes.delete(pingId);
      return;
    }
    const helpers = table.others.filter(
      ({ daemonId, state }) => daemonId !== target.daemonId && state === 'alive',
    );
    for (const helper of shuffle(helpers, random).slice(0, indirectProbes)) {
      links.to(helper).tell({ kind: 'pingRequest', pingId, target: target.daemonId });
    }
    setTimeout(() => this.#checkIndirect(pingId, target), probeTimeoutMs).unref();
  }

  #checkIndirect(pingId: number, target: PeerRecord): void {
    const answered = this.#probes.get(pingId)?.answered === true;
    this.#probes.delete(pingId);
    if (answered) return;
    this.options.table.suspect(target.daemonId, performance.now());
    this.options.onChange();
  }

  #relayProbe(target: string, pingId: number, reply: (message: PeerMessage) => void): void {
    const record = this.options.table.find(target);
    if (record === null) return;
    const ownPingId = this.#nextPingId++;
    this.#relayed.set(ownPingId, { pingId, reply });
    this.options.links.to(record).tell({ kind: 'ping', pingId: ownPingId, news: [], ...this.#senderState() });
    setTimeout(() => this.#relayed.delete(ownPingId), this.options.probeTimeoutMs * 2).unref();
  }

  #handleSyncAnswer(message: SyncMessage, daemonId: string): void {
    this.#merge(message.records, true);
    const { table, links } = this.options;
    const record = table.find(daemonId);
    if (message.wantsReply && record !== null)
      links.to(record).tell({ kind: 'sync', records: table.all, wantsReply: false });
  }

  /** Daemons that started together do not compare together. */
  #scheduleComparison(intervalMs: number): void {
    const delayMs = intervalMs * (0.5 + this.options.random());
    this.#comparisonTimer = setTimeout(() => {
      this.#compareWithOne();
      this.#scheduleComparison(intervalMs);
    }, delayMs);
  }

  #compareWithOne(): void {
    const { table, links, random } = this.options;
    const [target] = shuffle(table.others, random);
    if (target !== undefined) links.to(target).tell({ kind: 'digest', digest: table.digest() });
  }
}
