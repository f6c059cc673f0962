/**
 * Load generator: sessions that write, read and switch between daemons, and record each operation.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import { uniformInt, xoroshiro128plus, type RandomGenerator } from './random.js';
import type { Operation, OperationKind, Outcome } from '../history/history.js';

/** Address of a daemon or member that sessions connect to. */
export interface LoadTarget {
  readonly daemonId: string;
  readonly host: string;
  readonly port: number;
}

/** Percentage of each kind of operation; the remaining ones are reads. */
export interface LoadMix {
  readonly write: number;
  readonly transaction: number;
  readonly once: number;
}

/** Settings of a load. */
export interface LoadOptions {
  readonly targets: readonly LoadTarget[];
  readonly databases: readonly string[];
  readonly sessions: number;
  readonly mix: LoadMix;
  readonly seed: number;
  /** Pause of a session between operations, in milliseconds. */
  readonly thinkTimeMs: number;
  /** Statement class of the reads, which the policy matches. */
  readonly readClass: string;
  /** Selects the target of an operation; a random one by default. */
  readonly chooseTarget?: (kind: OperationKind, random: RandomGenerator) => LoadTarget;
  /** Prefix of operation ids and keys, unique in the deployment. */
  readonly name: string;
}

const RECONNECT_DELAY_MS = 20;
const CONNECT_TIMEOUT_MS = 2000;
const QUERY_TIMEOUT_MS = 15_000;
const MAX_ONCE_ATTEMPTS = 6;

/** Statements that create the tables used by the load. */
export const LOAD_SCHEMA = [
  'CREATE TABLE IF NOT EXISTS record (key text PRIMARY KEY, version int, operation text)',
  'CREATE TABLE IF NOT EXISTS sorrelladder_once (key text PRIMARY KEY)',
];

/** Runs the load until it is stopped. */
export class LoadGenerator {
  readonly operations: Operation[] = [];
  readonly #sessions: Promise<void>[] = [];
  #nextId = 1;
  #isStopped = false;

  constructor(readonly options: LoadOptions) {}

  /** Number of operations acknowledged so far. */
  acknowledged(kind: OperationKind, sinceMs = 0): number {
    return this.operations.filter((o) => o.kind === kind && o.outcome === 'ok' && o.endedMs >= sinceMs)
      .length;
  }

  /** Starts all sessions. */
  start(): void {
    for (let i = 0; i < this.options.sessions; i += 1) this.#sessions.push(this.#runSession(i));
  }

  /** Stops all sessions after their current operation. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#sessions);
  }

  async #runSession(number: number): Promise<void> {
    const { databases, seed, name, thinkTimeMs } = this.options;
    const random = xoroshiro128plus(seed + number);
    const database = databases[number % databases.length] ?? '';
    const session = new LoadSession(this.options, database, `${name}-${number}`, random);
    await this.#createOwnRow(session);
    while (!this.#isStopped) {
      await this.#step(session, random);
      if (thinkTimeMs > 0) await delay(thinkTimeMs);
    }
    await session.close();
  }

  async #step(session: LoadSession, random: RandomGenerator): Promise<void> {
    const { mix } = this.options;
    const draw = uniformInt(random, 0, 99);
    if (draw < mix.write) await this.#write(session);
    else if (draw < mix.write + mix.transaction) await this.#transaction(session);
    else if (draw < mix.write + mix.transaction + mix.once) await this.#once(session);
    else await this.#read(session);
  }

  #operationId(kind: OperationKind): string {
    return `${kind}/${this.options.name}-${this.#nextId++}`;
  }

  /** Creates the session's row, so that every read returns a row that identifies its answer. */
  async #createOwnRow(session: LoadSession): Promise<void> {
    let outcome: Outcome = 'not_run';
    while (outcome !== 'ok' && !this.#isStopped) outcome = await this.#write(session);
  }

  async #write(session: LoadSession): Promise<Outcome> {
    const operationId = this.#operationId('write');
    session.version += 1;
    const { version } = session;
    const text = upsert(`${session.name}-own`, version, operationId);
    return this.#record(session, { operationId, kind: 'write', version, onceKey: '' }, (client) =>
      client.query(text),
    );
  }

  async #read(session: LoadSession): Promise<void> {
    const operationId = this.#operationId('read');
    const text = `SELECT version, '${operationId}' AS echo FROM record WHERE key = '${session.name}-own' /*class='${this.options.readClass}'*/`;
    await this.#record(session, { operationId, kind: 'read', version: 0, onceKey: '' }, (client) =>
      client.query(text),
    );
  }

  async #transaction(session: LoadSession): Promise<void> {
    const operationId = this.#operationId('transaction');
    await this.#record(
      session,
      { operationId, kind: 'transaction', version: 1, onceKey: '' },
      async (client) => {
        await client.query('BEGIN');
        await client.query(upsert(`${session.name}-left`, 1, operationId));
        await client.query(`SELECT version FROM record WHERE key = '${session.name}-left'`);
        await client.query(upsert(`${session.name}-right`, 1, operationId));
        return client.query('COMMIT');
      },
    );
  }

  /**
   * Retries, possibly through another daemon, until the write is known to have run or the attempts are used
   * up.
   */
  async #once(session: LoadSession): Promise<void> {
    const onceKey = `${this.options.name}-${this.#nextId++}`;
    for (let attempt = 1; attempt <= MAX_ONCE_ATTEMPTS; attempt += 1) {
      const operationId = `once/${onceKey}/${attempt}`;
      const text = `${upsert(`${session.name}-once-${onceKey}`, 1, operationId)} /*once='${onceKey}'*/`;
      const outcome = await this.#record(
        session,
        { operationId, kind: 'once', version: 1, onceKey },
        (client) => client.query(text),
      );
      if (outcome === 'ok' || outcome === 'ran') return;
    }
  }

  async #record(
    session: LoadSession,
    request: Pick<Operation, 'operationId' | 'kind' | 'version' | 'onceKey'>,
    run: (client: pg.Client) => Promise<pg.QueryResult>,
  ): Promise<Outcome> {
    const connection = await session.connect(request.kind);
    if (connection === null) return 'not_run';
    const startedMs = performance.now();
    let result: pg.QueryResult | null = null;
    let failure: { readonly outcome: Outcome; readonly sqlState: string } | null = null;
    try {
      result = await run(connection.client);
      // COMMIT of a failed transaction answers ROLLBACK without an error.
      if (result.command === 'ROLLBACK') failure = { outcome: 'not_run', sqlState: '25P02' };
    } catch (error) {
      failure = readFailure(error);
      await session.drop(connection.daemonId);
    }
    const [row] = (result?.rows ?? []) as { version?: number; echo?: string }[];
    const outcome = failure?.outcome ?? 'ok';
    this.operations.push({
      ...request,
      database: session.database,
      session: session.name,
      daemonId: connection.daemonId,
      key: `${session.name}-own`,
      startedMs,
      endedMs: performance.now(),
      outcome,
      sqlState: failure?.sqlState ?? '',
      observedVersion: row?.version ?? 0,
      echoedId: row?.echo ?? '',
    });
    if (failure !== null) await delay(RECONNECT_DELAY_MS);
    return outcome;
  }
}

/** A session with a connection to each target that it has used. */
class LoadSession {
  version = 0;
  readonly #clients = new Map<string, pg.Client>();

  constructor(
    private readonly options: LoadOptions,
    readonly database: string,
    readonly name: string,
    private readonly random: RandomGenerator,
  ) {}

  /** Selects a target and connects to it if necessary; `null` if it cannot be reached. */
  async connect(
    kind: OperationKind,
  ): Promise<{ readonly client: pg.Client; readonly daemonId: string } | null> {
    const target = this.#choose(kind);
    if (target === undefined) return null;
    const { daemonId, host, port } = target;
    const known = this.#clients.get(daemonId);
    if (known !== undefined) return { client: known, daemonId };
    const client = new pg.Client({
      host,
      port,
      database: this.database,
      user: 'load',
      options: `-c sorrelladder.session=${this.name}`,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      query_timeout: QUERY_TIMEOUT_MS,
    });
    client.on('error', () => void this.drop(daemonId));
    try {
      await client.connect();
    } catch {
      await delay(RECONNECT_DELAY_MS);
      return null;
    }
    this.#clients.set(daemonId, client);
    return { client, daemonId };
  }

  #choose(kind: OperationKind): LoadTarget | undefined {
    const { targets, chooseTarget } = this.options;
    if (chooseTarget !== undefined) return chooseTarget(kind, this.random);
    return targets[uniformInt(this.random, 0, targets.length - 1)];
  }

  /** Removes a connection after a failure and closes it. */
  async drop(daemonId: string): Promise<void> {
    const client = this.#clients.get(daemonId);
    this.#clients.delete(daemonId);
    await client?.end().catch(() => undefined);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#clients.keys()].map((daemonId) => this.drop(daemonId)));
  }
}

function upsert(key: string, version: number, operationId: string): string {
  return (
    `INSERT INTO record (key, version, operation) VALUES ('${key}', ${version}, '${operationId}') ` +
    'ON CONFLICT (key) DO UPDATE SET version = excluded.version, operation = excluded.operation'
  );
}

function readFailure(error: unknown): { readonly outcome: Outcome; readonly sqlState: string } {
  const { code, detail } = error as { code?: string; detail?: string };
  const verdict = /verdict=(\w+)/.exec(detail ?? '')?.[1];
  const isVerdict = verdict === 'not_run' || verdict === 'may_have_run' || verdict === 'ran';
  const hasAnswer = code !== undefined && /^[0-9A-Z]{5}$/.test(code);
  return { outcome: isVerdict ? verdict : hasAnswer ? 'error' : 'unknown', sqlState: hasAnswer ? code : '' };
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
