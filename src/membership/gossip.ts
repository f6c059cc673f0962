/**
 * Failure detection and dissemination of membership updates between daemons, after the SWIM paper.
 *
 * @packageDocumentation
 */
import { shuffle } from '../common/shuffle.js';
import type { PeerLinks } from '../peer/peer-links.js';
import type { PeerMessage, SenderState, SyncMessage } from '../peer/peer-messages.js';
import type { MembershipTable } from './membership-table.js';
import { isReachableState, type PeerRecord } from './peer-record.js';

/** Gossip settings; times in milliseconds. */
export interface GossipOptions {
  readonly table: MembershipTable;
  readonly links: PeerLinks;
  /** Time between probes; each round probes one daemon. */
  readonly intervalMs: number;
  /** Time within which a probe must be acknowledged. */
  readonly probeTimeoutMs: number;
  /** Number of daemons asked to probe one that did not acknowledge a direct probe. */
  readonly indirectProbes: number;
  /** Mean time between digest comparisons of the whole table with one daemon. */
  readonly syncIntervalMs: number;
  readonly random: () => number;
  /** Active configuration version of this daemon; 0 for none. */
  readonly configurationVersion: () => number;
  /** Called with the active configuration version that another daemon reports. */
  readonly onVersion: (daemonId: string, version: number) => void;
  /** Called after records have changed. */
  readonly onChange: () => void;
  readonly onDead: (record: PeerRecord) => void;
}

interface Probe {
  readonly daemonId: string;
  acknowledged: boolean;
}

/** Number of daemons that receive an urgent update without waiting for the next round. */
const URGENT_FANOUT = 8;

/** Runs the gossip rounds of one daemon. */
export class Gossip {
  readonly #probes = new Map<number, Probe>();
  readonly #relayedProbes = new Map<
    number,
    { readonly pingId: number; readonly reply: (message: PeerMessage) => void }
  >();
  readonly #timers: NodeJS.Timeout[] = [];
  #digestTimer: NodeJS.Timeout | null = null;
  #nextPingId = 1;
  #probeOrder: string[] = [];

  constructor(private readonly options: GossipOptions) {}

  /** Starts the probe rounds and the periodic digest comparisons. */
  start(): void {
    const { intervalMs, syncIntervalMs } = this.options;
    this.#timers.push(setInterval(() => this.#runRound(), intervalMs));
    this.#scheduleDigest(syncIntervalMs);
  }

  /** Stops the probe rounds and the digest comparisons. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    if (this.#digestTimer !== null) clearTimeout(this.#digestTimer);
  }

  /** Exchanges all records with a daemon. */
  syncWith(target: Pick<PeerRecord, 'daemonId' | 'host' | 'port'>): void {
    const { table, links } = this.options;
    links.linkTo(target).send({ kind: 'sync', records: table.all, wantsReply: true });
  }

  /** Sends pending updates to some daemons immediately. */
  disseminateNow(): void {
    const { table, links } = this.options;
    const targets = shuffle(table.others, this.options.random).slice(0, URGENT_FANOUT);
    const updates = table.takeNews();
    for (const record of targets)
      links.linkTo(record).send({ kind: 'ping', pingId: 0, news: updates, ...this.#senderState() });
  }

  /** Handles a message received on a link that another daemon opened. */
  handleRequest(message: PeerMessage, reply: (message: PeerMessage) => void): void {
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

  /** Handles a reply received on a link that this daemon opened. */
  handleReply(daemonId: string, message: PeerMessage): void {
    if (message.kind === 'sync') this.#handleSyncReply(message, daemonId);
    if (message.kind !== 'ack') return;
    this.#merge(message.news);
    this.options.onVersion(message.from, message.configurationVersion);
    const probe = this.#probes.get(message.pingId);
    if (probe !== undefined) probe.acknowledged = true;
    const relayed = this.#relayedProbes.get(message.pingId);
    this.#relayedProbes.delete(message.pingId);
    relayed?.reply({ kind: 'ack', pingId: relayed.pingId, news: [], ...this.#senderState() });
  }

  #senderState(): SenderState {
    const { table, configurationVersion } = this.options;
    return { from: table.own.daemonId, configurationVersion: configurationVersion() };
  }

  /** @param isFullTable - true for a whole table, whose records need not be disseminated one by one */
  #merge(records: readonly PeerRecord[], isFullTable = false): void {
    const nowMs = performance.now();
    let isChanged = false;
    for (const record of records)
      isChanged = this.options.table.merge(record, nowMs, !isFullTable) || isChanged;
    if (isChanged) this.options.onChange();
  }

  #runRound(): void {
    const { table } = this.options;
    for (const record of table.expire(performance.now())) this.options.onDead(record);
    this.#pingDeadDaemon();
    const target = this.#nextProbeTarget();
    if (target !== null) this.#probe(target);
  }

  /** Probes a daemon immediately, for example after a link to it was lost. */
  probeNow(daemonId: string): void {
    const record = this.options.table.find(daemonId);
    const isProbed = [...this.#probes.values()].some((probe) => probe.daemonId === daemonId);
    if (record !== null && isReachableState(record.state) && !isProbed) this.#probe(record);
  }

  #probe(target: PeerRecord): void {
    const { table, links } = this.options;
    const pingId = this.#nextPingId++;
    this.#probes.set(pingId, { daemonId: target.daemonId, acknowledged: false });
    links.linkTo(target).send({ kind: 'ping', pingId, news: table.takeNews(), ...this.#senderState() });
    setTimeout(() => this.#checkDirectProbe(pingId, target), this.options.probeTimeoutMs).unref();
  }

  /**
   * Sends one daemon that is considered dead its own record. Without this, two sides of a healed network
   * partition would never contact each other again; a daemon that receives its own `dead` record refutes it.
   */
  #pingDeadDaemon(): void {
    const { table, links, random } = this.options;
    const dead = table.all.filter(({ state }) => state === 'dead');
    const record = dead[Math.floor(random() * dead.length)];
    if (record !== undefined)
      links.linkTo(record).send({ kind: 'ping', pingId: 0, news: [record], ...this.#senderState() });
  }

  /** Returns the next daemon to probe, in random order; each is probed once before any is probed again. */
  #nextProbeTarget(): PeerRecord | null {
    const { table, random } = this.options;
    for (;;) {
      if (this.#probeOrder.length === 0) {
        this.#probeOrder = shuffle(
          table.others.map(({ daemonId }) => daemonId),
          random,
        );
        if (this.#probeOrder.length === 0) return null;
      }
      const record = table.find(this.#probeOrder.pop() ?? '');
      if (record !== null && isReachableState(record.state)) return record;
    }
  }

  #checkDirectProbe(pingId: number, target: PeerRecord): void {
    const { table, links, indirectProbes, random, probeTimeoutMs } = this.options;
    if (this.#probes.get(pingId)?.acknowledged === true) {
      this.#probes.delete(pingId);
      return;
    }
    const intermediaries = table.others.filter(
      ({ daemonId, state }) => daemonId !== target.daemonId && state === 'alive',
    );
    for (const intermediary of shuffle(intermediaries, random).slice(0, indirectProbes)) {
      links.linkTo(intermediary).send({ kind: 'pingRequest', pingId, target: target.daemonId });
    }
    setTimeout(() => this.#checkIndirectProbe(pingId, target), probeTimeoutMs).unref();
  }

  #checkIndirectProbe(pingId: number, target: PeerRecord): void {
    const isAcknowledged = this.#probes.get(pingId)?.acknowledged === true;
    this.#probes.delete(pingId);
    if (isAcknowledged) return;
    this.options.table.suspect(target.daemonId, performance.now());
    this.options.onChange();
  }

  #relayProbe(target: string, pingId: number, reply: (message: PeerMessage) => void): void {
    const record = this.options.table.find(target);
    if (record === null) return;
    const ownPingId = this.#nextPingId++;
    this.#relayedProbes.set(ownPingId, { pingId, reply });
    this.options.links
      .linkTo(record)
      .send({ kind: 'ping', pingId: ownPingId, news: [], ...this.#senderState() });
    setTimeout(() => this.#relayedProbes.delete(ownPingId), this.options.probeTimeoutMs * 2).unref();
  }

  #handleSyncReply(message: SyncMessage, daemonId: string): void {
    this.#merge(message.records, true);
    const { table, links } = this.options;
    const record = table.find(daemonId);
    if (message.wantsReply && record !== null)
      links.linkTo(record).send({ kind: 'sync', records: table.all, wantsReply: false });
  }

  /** The delay is randomised so that daemons that started together do not send their digests together. */
  #scheduleDigest(intervalMs: number): void {
    const delayMs = intervalMs * (0.5 + this.options.random());
    this.#digestTimer = setTimeout(() => {
      this.#sendDigest();
      this.#scheduleDigest(intervalMs);
    }, delayMs);
  }

  #sendDigest(): void {
    const { table, links, random } = this.options;
    const [target] = shuffle(table.others, random);
    if (target !== undefined) links.linkTo(target).send({ kind: 'digest', digest: table.digest() });
  }
}
