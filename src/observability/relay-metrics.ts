/**
 * Prometheus metrics of a relay daemon. No label has a value per client, so the number of series is bounded.
 *
 * @packageDocumentation
 */
import type { PeerBuffer } from '../common/peer-buffer.js';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Bucket boundaries of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2];

/** Label of refusals whose cause is not distinguished. */
const OTHER_CAUSE = 'other';

/** State from which the gauges are set when the metrics are read. */
export interface RelayState {
  readonly clientConnections: number;
  readonly configurationVersion: number;
  /** Era of the store and the store revision that this daemon’s copy reflects. */
  readonly storeEra: number;
  readonly storeRevision: number;
  readonly holdsDuty: boolean;
  /** Number of active daemons, including this one. */
  readonly liveDaemons: number;
  /** Member connections currently lent to other daemons. */
  readonly openLoans: number;
  /** True while the daemon is cut off from all other zones. */
  readonly isIsolated: boolean;
  /** Measured round trips to other zones, in milliseconds. */
  readonly zoneRoundTrips: readonly { readonly zone: string; readonly ms: number }[];
  /**
   * Per group: connections to members, whether there is evidence of a leader, its term, and the number of members
   * that get fewer reads because they are slow, fail requests or recover.
   */
  readonly groups: readonly {
    readonly name: string;
    readonly memberConnections: number;
    readonly hasEvidence: boolean;
    readonly term: number;
    readonly degradedMembers: number;
  }[];
}

/** Metrics of one daemon. */
export class RelayMetrics {
  readonly #registry = new Registry();
  readonly #requests = this.#counter('requests_total', 'Requests of clients, by how they ended', [
    'statement',
    'outcome',
  ]);
  readonly #decisions = this.#counter('decisions_total', 'Decisions about requests in trouble', ['decision']);
  readonly #events = this.#counter('events_total', 'Changes of what the daemon believes', ['event']);
  readonly #unreadableEntries = this.#counter(
    'entries_left_out_total',
    'Entries of the store that could not be read',
    ['kind', 'fault'],
  );
  readonly #itemsNotNewer = this.#counter(
    'items_not_newer_total',
    'Items of the store that were not taken, since a later one was held',
    [],
  );
  readonly #overruns = this.#counter(
    'buffer_overruns_total',
    'Connections that exceeded a limit, by buffer',
    ['buffer'],
  );
  readonly #requestDuration = this.#histogram('request_seconds', 'Time to answer a request', ['statement']);
  readonly #memberResponseTime = this.#histogram('member_answer_seconds', 'Time of a member’s answer', [
    'statement',
    'role',
  ]);
  readonly #admissions = this.#counter(
    'admission_total',
    'Requests for a connection of a pool: idle, waiting or refused',
    ['decision'],
  );
  readonly #waits = this.#histogram(
    'wait_seconds',
    'Wait for a connection, predicted on arrival and actual',
    ['kind'],
  );
  readonly #retries = this.#counter('retries_total', 'Hedged requests, and retries after a refusal by load', [
    'decision',
  ]);
  readonly #clientConnections = this.#gauge('client_connections', 'Open client connections', []);
  readonly #configurationVersion = this.#gauge(
    'configuration_version',
    'Version of the configuration in force',
    [],
  );
  readonly #storeEra = this.#gauge('store_era', 'How often the store has come back from a copy', []);
  readonly #storeRevision = this.#gauge(
    'store_revision',
    'Revision as of which the copy of the store is',
    [],
  );
  readonly #promotionDutyHeld = this.#gauge(
    'promotion_duty_held',
    '1 while this daemon holds the promotion duty',
    [],
  );
  readonly #liveDaemons = this.#gauge('live_daemons', 'Daemons that take part in the work', []);
  readonly #openLoans = this.#gauge('open_loans', 'Member connections lent to other daemons', []);
  readonly #isolated = this.#gauge('isolated', '1 while the daemon is cut off from all other zones', []);
  readonly #refusals = this.#counter('request_refusals_total', 'Refused requests, by cause', ['cause']);
  readonly #memberConnections = this.#gauge('member_connections', 'Open connections to members', ['group']);
  readonly #leaderEvidence = this.#gauge('leader_evidence', '1 while there is evidence of a leader', [
    'group',
  ]);
  readonly #degradedMembers = this.#gauge(
    'degraded_members',
    'Members that get fewer reads, since they are slow, fail requests or recover',
    ['group'],
  );
  readonly #zoneRoundTrip = this.#gauge('zone_round_trip_seconds', 'Smallest recent round trip to a zone', [
    'zone',
  ]);
  readonly #leaderTerm = this.#gauge('leader_term', 'Term of the leader', ['group']);

  /** Records the end of a client request; `ms` is the time since the request was read. */
  requestEnded(statement: string, outcome: string, ms: number): void {
    this.#requests.inc({ statement, outcome });
    this.#requestDuration.observe({ statement }, ms / 1000);
  }

  /** Records the response time of a member. */
  memberAnswered(statement: string, isLeader: boolean, ms: number): void {
    this.#memberResponseTime.observe({ statement, role: isLeader ? 'leader' : 'replica' }, ms / 1000);
  }

  /** Counts what was decided about a request for a connection. */
  admissionDecided(decision: string): void {
    this.#admissions.inc({ decision });
  }

  /** Records a wait for a connection, in milliseconds; `kind` is `predicted` or `actual`. */
  waitMeasured(kind: string, ms: number): void {
    this.#waits.observe({ kind }, ms / 1000);
  }

  /** Counts a hedged request or a retry that was sent, or withheld by the retry budget. */
  retryDecided(decision: string): void {
    this.#retries.inc({ decision });
  }

  /** Counts a decision about a request that is not served normally. */
  decided(decision: string): void {
    this.#decisions.inc({ decision });
  }

  /** Counts a refused request; the cause is a constant of the code, or absent. */
  refused(cause: unknown): void {
    this.#refusals.inc({ cause: typeof cause === 'string' ? cause : OTHER_CAUSE });
  }

  /** Counts an event that changes the daemon's view of the cluster. */
  happened(event: string): void {
    this.#events.inc({ event });
  }

  /** Counts a store entry that could not be read. */
  entryLeftOut(kind: string, fault: string): void {
    this.#unreadableEntries.inc({ kind, fault });
  }

  /** Counts a store item that was ignored because a newer one was already held. */
  itemNotNewer(): void {
    this.#itemsNotNewer.inc();
  }

  /** Counts a connection whose peer exceeded the limit of a buffer. */
  bufferOverrun(buffer: PeerBuffer): void {
    this.#overruns.inc({ buffer });
  }

  /** All metrics in the Prometheus text format. */
  async text(state: RelayState): Promise<string> {
    this.#clientConnections.set(state.clientConnections);
    this.#configurationVersion.set(state.configurationVersion);
    this.#storeEra.set(state.storeEra);
    this.#storeRevision.set(state.storeRevision);
    this.#promotionDutyHeld.set(state.holdsDuty ? 1 : 0);
    this.#liveDaemons.set(state.liveDaemons);
    this.#openLoans.set(state.openLoans);
    this.#isolated.set(state.isIsolated ? 1 : 0);
    for (const { zone, ms } of state.zoneRoundTrips) this.#zoneRoundTrip.set({ zone }, ms / 1000);
    for (const { name, memberConnections, hasEvidence, term, degradedMembers } of state.groups) {
      this.#memberConnections.set({ group: name }, memberConnections);
      this.#leaderEvidence.set({ group: name }, hasEvidence ? 1 : 0);
      this.#leaderTerm.set({ group: name }, term);
      this.#degradedMembers.set({ group: name }, degradedMembers);
    }
    return this.#registry.metrics();
  }

  #counter<Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name: `sorrelladder_${name}`, help, labelNames, registers: [this.#registry] });
  }

  #gauge<Label extends string>(name: string, help: string, labelNames: Label[]): Gauge<Label> {
    return new Gauge({ name: `sorrelladder_${name}`, help, labelNames, registers: [this.#registry] });
  }

  #histogram<Label extends string>(name: string, help: string, labelNames: Label[]): Histogram<Label> {
    const registers = [this.#registry];
    return new Histogram({
      name: `sorrelladder_${name}`,
      help,
      labelNames,
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
  }
}
