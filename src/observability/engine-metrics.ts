/**
 * Prometheus metrics of a daemon.
 *
 * @packageDocumentation
 */
import { Counter, Gauge, Registry } from 'prom-client';
import type { StatementKind } from '../statement/statement-kind.js';

/** Counters and gauges of one daemon. */
export class EngineMetrics {
  readonly registry = new Registry();
  readonly statements = this.#counter('statements_total', 'Statements sent to members', [
    'database',
    'kind',
    'target',
  ]);
  readonly refusals = this.#counter('refusals_total', 'Requests refused, none of which was run', [
    'database',
    'reason',
  ]);
  readonly waits = this.#counter('waits_total', 'Waits for a member that can serve', ['database', 'reason']);
  readonly retries = this.#counter('retries_total', 'Requests sent to a member again', ['database']);
  readonly unconfirmedCommits = this.#counter(
    'unconfirmed_commits_total',
    'Commits that no majority confirmed in time',
    ['database'],
  );
  readonly clientConnections = this.#gauge('client_connections', 'Client connections', []);
  readonly memberConnections = this.#gauge('member_connections', 'Connections to members', [
    'database',
    'member',
  ]);
  readonly replicaStaleness = this.#gauge(
    'replica_staleness_milliseconds',
    'Upper bound of the age of what a member serves',
    ['database', 'member'],
  );
  readonly ownedDatabases = this.#gauge('owned_databases', 'Databases whose lease is held', []);
  readonly configurationVersion = this.#gauge(
    'configuration_version',
    'Version of the configuration in force',
    [],
  );
  readonly peers = this.#gauge('peers', 'Daemons known, by state', ['state']);
  readonly abortedRequests = this.#counter('cut_requests_total', 'Requests cut by a planned stop', []);

  /** Statement counters with resolved labels, cached since every statement is counted. */
  readonly #statementCounters = new Map<string, { inc(): void }>();

  /** Counts a statement by database, kind and role of the member that it was sent to. */
  countStatement(database: string, kind: StatementKind, isPrimary: boolean): void {
    const target = isPrimary ? 'primary' : 'replica';
    const key = `${database} ${kind} ${target}`;
    let counter = this.#statementCounters.get(key);
    if (counter === undefined) {
      counter = this.statements.labels(database, kind, target);
      this.#statementCounters.set(key, counter);
    }
    counter.inc();
  }

  #counter<Label extends string>(name: string, help: string, labelNames: Label[]): Counter<Label> {
    return new Counter({ name: `sorrelladder_${name}`, help, labelNames, registers: [this.registry] });
  }

  #gauge<Label extends string>(name: string, help: string, labelNames: Label[]): Gauge<Label> {
    return new Gauge({ name: `sorrelladder_${name}`, help, labelNames, registers: [this.registry] });
  }
}
