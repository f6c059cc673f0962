/**
 * Counters and histograms of a relay daemon, in Prometheus form. No label grows with clients.
 *
 * @packageDocumentation
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2];

/** State that is read when the figures are asked for. */
export interface RelayState {
  readonly clientConnections: number;
  readonly configurationVersion: number;
  /** Era of the store, and revision as of which this daemon’s copy of it is. */
  readonly storeEra: number;
  readonly storeRevision: number;
  readonly holdsDuty: boolean;
  /** Daemons that take part in the work, this one included. */
  readonly liveDaemons: number;
  /** Connections lent to other daemons now. */
  readonly openLoans: number;
  /** Connections to members, and whether there is evidence of a leader, by group. */
  readonly groups: readonly {
    readonly name: string;
    readonly memberConnections: number;
    readonly hasEvidence: boolean;
    readonly term: number;
  }[];
}

/** The figures of one daemon. */
export class RelayMetrics {
  readonly #registry = new Registry();
  readonly #requests = this.#counter('requests_total', 'Requests of clients, by how they ended', [
    'statement',
    'outcome',
  ]);
  readonly #decisions = this.#counter('decisions_total', 'Decisions about requests in trouble', ['decision']);
  readonly #events = this.#counter('events_total', 'Changes of what the daemon believes', ['event']);
  readonly #leftOut = this.#counter('entries_left_out_total', 'Entries of the store that could not be read', [
    'kind',
    'fault',
  ]);
  readonly #notNewer = this.#counter(
    'items_not_newer_total',
    'Items of the store that were not taken, since a later one was held',
    [],
  );
  readonly #requestSeconds = this.#histogram('request_seconds', 'Time to answer a request', ['statement']);
  readonly #memberSeconds = this.#histogram('member_answer_seconds', 'Time of a member’s answer', [
    'statement',
    'role',
  ]);
  readonly #clients = this.#gauge('client_connections', 'Open client connections', []);
  readonly #version = this.#gauge('configuration_version', 'Version of the configuration in force', []);
  readonly #storeEra = this.#gauge('store_era', 'How often the store has come back from a copy', []);
  readonly #storeRevision = this.#gauge(
    'store_revision',
    'Revision as of which the copy of the store is',
    [],
  );
  readonly #duty = this.#gauge('promotion_duty_held', '1 while this daemon holds the promotion duty', []);
  readonly #daemons = this.#gauge('live_daemons', 'Daemons that take part in the work', []);
  readonly #loans = this.#gauge('open_loans', 'Member connections lent to other daemons', []);
  readonly #links = this.#gauge('member_connections', 'Open connections to members', ['group']);
  readonly #evidence = this.#gauge('leader_evidence', '1 while there is evidence of a leader', ['group']);
  readonly #term = this.#gauge('leader_term', 'Term of the leader', ['group']);

  /** A request of a client has ended; `ms` is the time since it was read. */
  requestEnded(statement: string, outcome: string, ms: number): void {
    this.#requests.inc({ statement, outcome });
    this.#requestSeconds.observe({ statement }, ms / 1000);
  }

  /** A member has answered. */
  memberAnswered(statement: string, isLeader: boolean, ms: number): void {
    this.#memberSeconds.observe({ statement, role: isLeader ? 'leader' : 'replica' }, ms / 1000);
  }

  /** A decision about a request in trouble. */
  decided(decision: string): void {
    this.#decisions.inc({ decision });
  }

  /** What the daemon believes has changed. */
  happened(event: string): void {
    this.#events.inc({ event });
  }

  /** An entry of the store could not be read. */
  entryLeftOut(kind: string, fault: string): void {
    this.#leftOut.inc({ kind, fault });
  }

  /** An item of the store was not taken: a later one was held. */
  itemNotNewer(): void {
    this.#notNewer.inc();
  }

  /** All figures as text. */
  async text(state: RelayState): Promise<string> {
    this.#clients.set(state.clientConnections);
    this.#version.set(state.configurationVersion);
    this.#storeEra.set(state.storeEra);
    this.#storeRevision.set(state.storeRevision);
    this.#duty.set(state.holdsDuty ? 1 : 0);
    this.#daemons.set(state.liveDaemons);
    this.#loans.set(state.openLoans);
    for (const { name, memberConnections, hasEvidence, term } of state.groups) {
      this.#links.set({ group: name }, memberConnections);
      this.#evidence.set({ group: name }, hasEvidence ? 1 : 0);
      this.#term.set({ group: name }, term);
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
