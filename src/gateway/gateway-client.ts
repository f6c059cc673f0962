/**
 * Connections to gateways, over which this daemon borrows member connections and sends requests to other
 * daemons.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { OutsideTraffic } from '../isolation/outside-traffic.js';
import type { SharedEvidence } from '../leadership/evidence-exchange.js';
import type { Grant, GrantRequest } from '../quota/quota-home.js';
import type { ConfigurationLeaseReply } from '../tenancy/lease-renewal.js';
import type { RelayResponse } from '../coordination/change-relay.js';
import type { Revision } from '../coordination/revision.js';
import { MemberLoads } from '../placement/member-load.js';
import { ZoneLatency } from '../placement/zone-latency.js';
import { AttendedTime } from './attended-time.js';
import type { BorrowedLink } from './borrowed-link.js';
import { GatewayConnection, type LoanTerms, type PeerReply, type PeerRequest } from './gateway-connection.js';

/**
 * Time without any message, while a reply is awaited, after which a gateway counts as unresponsive and gets no new
 * loans, in milliseconds; without delays of this process.
 */
const UNRESPONSIVE_AFTER_MS = 400;
/** Delay before a gateway that was unresponsive or unreachable is tried again, in milliseconds. */
const RETRY_DELAY_MS = 600;

/** All connections of this daemon to gateways. */
export class GatewayClient {
  /** Loads of members as their gateways report them. */
  readonly loads = new MemberLoads();
  /** Round-trip times to the zones of gateways. */
  readonly zoneLatency = new ZoneLatency();
  readonly #connections = new Map<string, GatewayConnection>();
  readonly #retryAtMs = new Map<string, number>();
  /**
   * Gateways that were unresponsive or unreachable. They are probed, so that no request has to find out
   * whether they recovered.
   */
  readonly #unavailable = new Set<string>();
  /** When a daemon of a zone last refused a connection, by zone, in monotonic milliseconds. */
  readonly #refusedAtMs = new Map<string, number>();
  /** Zone of the only gateways that may lend, which have to be available; `null` for no restriction. */
  #onlyZone: string | null = null;
  #lastRequestId = 1;
  readonly #attendedTime = new AttendedTime();

  /**
   * @param localAddress - the daemon's own address, from which connections are opened
   * @param invalidReport - called with the name of a gateway whose load report was ignored
   */
  constructor(
    private readonly localAddress: string,
    private readonly now: () => number,
    private readonly random: () => number,
    readonly invalidReport: (gatewayName: string) => void = () => undefined,
  ) {}

  /**
   * The gateway to borrow from: of two at random the one with the lower reported load, or without reports the one
   * with the fewest loans to this daemon; `null` if none can be used. A gateway that became unavailable is used
   * again once it has replied to a probe, or if there is no other.
   *
   * @param standbys - used while none of the gateways is known to be available
   * @param memberId - the member whose reported loads are compared; without it, no report is used
   */
  choose(
    gateways: readonly DaemonRecord[],
    standbys: readonly DaemonRecord[] = [],
    memberId: string | null = null,
  ): DaemonRecord | null {
    const usable = gateways.filter((record) => this.#mayBorrowFrom(record));
    const available = usable.filter((record) => this.#isAvailable(record));
    const chosen =
      this.#lessLoadedOfTwo(available, memberId) ??
      this.#leastLoaded(available) ??
      (standbys.length > 0 ? this.choose(standbys, [], memberId) : null);
    return chosen ?? (this.#onlyZone === null ? this.#leastLoaded(usable) : null);
  }

  /** The less loaded of two random gateways; `null` if there are not two, or neither has reported its load. */
  #lessLoadedOfTwo(gateways: readonly DaemonRecord[], memberId: string | null): DaemonRecord | null {
    if (memberId === null || gateways.length < 2) return null;
    const first = Math.floor(this.random() * gateways.length);
    const second = (first + 1 + Math.floor(this.random() * (gateways.length - 1))) % gateways.length;
    const [one, other] = [gateways[first], gateways[second]];
    if (one === undefined || other === undefined) return null;
    return this.loads.lessLoaded(memberId, one, other, this.now());
  }

  #leastLoaded(gateways: readonly DaemonRecord[]): DaemonRecord | null {
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

  /** Borrows a connection; the loan is announced to the gateway with its first message. */
  borrow(gateway: DaemonRecord, terms: LoanTerms): BorrowedLink {
    return this.#connection(gateway).borrow(terms);
  }

  /** The leadership evidence that a daemon holds; `null` if it does not reply in time. */
  async requestEvidence(record: DaemonRecord, timeoutMs: number): Promise<readonly SharedEvidence[] | null> {
    const reply = await this.#request(record, { type: 'ask_evidence' }, timeoutMs);
    return reply?.type === 'evidence' ? reply.entries : null;
  }

  /** The changes of the store that a daemon knows; `null` if it does not reply in time. */
  async requestChanges(
    record: DaemonRecord,
    afterRevision: Revision,
    waitMs: number,
    timeoutMs: number,
  ): Promise<RelayResponse | null> {
    const reply = await this.#request(record, { type: 'ask_changes', afterRevision, waitMs }, timeoutMs);
    return reply?.type === 'changes' ? reply.answer : null;
  }

  /**
   * A daemon's knowledge of the newest configuration; `null` if it is unresponsive or does not reply in time.
   */
  async requestConfiguration(
    record: DaemonRecord,
    heldVersion: number,
    timeoutMs: number,
  ): Promise<ConfigurationLeaseReply | null> {
    if (this.#isUnresponsive(record)) return null;
    const reply = await this.#request(record, { type: 'ask_configuration', heldVersion }, timeoutMs);
    return reply?.type === 'configuration' ? reply.answer : null;
  }

  /**
   * The operations that a daemon grants; `null` if it is unresponsive, does not reply in time, or is not
   * responsible for the tenant's quota.
   */
  async requestGrant(record: DaemonRecord, request: GrantRequest, timeoutMs: number): Promise<Grant | null> {
    if (this.#isUnresponsive(record)) return null;
    const reply = await this.#request(record, { type: 'ask_grant', request }, timeoutMs);
    return reply?.type === 'grant' ? reply.grant : null;
  }

  #request(record: DaemonRecord, request: PeerRequest, timeoutMs: number): Promise<PeerReply> {
    const connection = this.#connection(record);
    this.#lastRequestId += 1;
    const id = this.#lastRequestId;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        connection.pendingRequests.delete(id);
        connection.startReplyClock();
        resolve(null);
      }, timeoutMs);
      connection.sendRequest(id, request, (reply) => {
        clearTimeout(timer);
        resolve(reply);
      });
    });
  }

  /**
   * Lends only from available gateways of a zone while the others are known to be out of reach; `null` ends
   * the restriction.
   */
  restrictToZone(zone: string | null): void {
    this.#onlyZone = zone;
  }

  /** Sends a ping to a daemon at once, over a new connection if there is none. */
  ping(record: DaemonRecord): void {
    this.#connection(record).probe();
  }

  /**
   * Records the traffic of the connections to daemons of other zones than the given one. A refused connection
   * counts as received bytes: the machine of the daemon has answered.
   */
  recordTraffic(ownZone: string, traffic: OutsideTraffic): void {
    for (const connection of this.#connections.values())
      if (connection.zone !== ownZone) connection.recordTraffic(traffic);
    for (const [zone, atMs] of this.#refusedAtMs) if (zone !== ownZone) traffic.recordReceived(atMs);
  }

  /**
   * Pings or closes unresponsive connections, and ends their loans over which no statement was sent; to be
   * called every few tens of milliseconds.
   */
  check(): void {
    this.#attendedTime.check(this.now());
    for (const [key, connection] of [...this.#connections]) {
      if (connection.silentMs > UNRESPONSIVE_AFTER_MS) {
        // Marked first, so that what is tried again does not use the same gateway.
        this.#markUnavailable(key);
        connection.handleSilence();
      }
      connection.check();
    }
  }

  /**
   * Closes connections without loans to daemons that are not among `records`, and forgets that these were
   * unavailable.
   */
  retain(records: readonly DaemonRecord[]): void {
    const keys = new Set(records.map(keyOf));
    for (const [key, connection] of [...this.#connections])
      if (!keys.has(key) && connection.loans.size === 0) connection.close();
    for (const key of [...this.#retryAtMs.keys()]) if (!keys.has(key)) this.#retryAtMs.delete(key);
    for (const key of [...this.#unavailable]) if (!keys.has(key)) this.#unavailable.delete(key);
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of [...this.#connections.values()]) connection.close();
  }

  /** True unless the gateway is unavailable; probes one that is, and marks it available after its reply. */
  #isAvailable(record: DaemonRecord): boolean {
    const key = keyOf(record);
    if (!this.#unavailable.has(key)) return true;
    const existing = this.#connections.get(key);
    if (existing === undefined) this.#connection(record).probe();
    if (existing?.hasReplied !== true || existing.isSilent) return false;
    this.#unavailable.delete(key);
    return true;
  }

  #markUnavailable(key: string): void {
    this.#unavailable.add(key);
    this.#retryAtMs.set(key, this.now() + RETRY_DELAY_MS);
  }

  #mayBorrowFrom(record: DaemonRecord): boolean {
    if (this.#onlyZone !== null && record.zone !== this.#onlyZone) return false;
    const key = keyOf(record);
    if (this.now() < (this.#retryAtMs.get(key) ?? Number.NEGATIVE_INFINITY)) return false;
    return this.#connections.get(key)?.isLeaving !== true;
  }

  /**
   * True while a reply from the daemon is overdue, so that further callers need not wait for it. A daemon
   * whose process ended does not count, since it is soon restarted.
   */
  #isUnresponsive(record: DaemonRecord): boolean {
    return (this.#connections.get(keyOf(record))?.unansweredMs ?? 0) > UNRESPONSIVE_AFTER_MS;
  }

  #connection(record: DaemonRecord): GatewayConnection {
    const key = keyOf(record);
    const existing = this.#connections.get(key);
    if (existing !== undefined) return existing;
    const onClosed = (): void => {
      this.#connections.delete(key);
      this.#markUnavailable(key);
      this.loads.forgetGateway(record.name);
    };
    const onRefused = (): void => {
      this.#refusedAtMs.set(record.zone, this.now());
    };
    const connection: GatewayConnection = new GatewayConnection(
      record,
      this.localAddress,
      this,
      this.now,
      this.#attendedTime,
      onClosed,
      onRefused,
    );
    this.#connections.set(key, connection);
    return connection;
  }
}

function keyOf(record: DaemonRecord): string {
  return `${record.name} ${record.life}`;
}
