/**
 * A common interface of two independent client libraries, so that both can run the same suite.
 *
 * @packageDocumentation
 */
import pg from 'pg';
import postgres from 'postgres';

/** Connection parameters. */
export interface ClientTarget {
  readonly host: string;
  readonly port: number;
  readonly database: string;
  readonly options: string;
}

/** Operations that the suite requires of a client. */
export interface SqlClient {
  query(text: string, values?: readonly unknown[]): Promise<readonly Record<string, unknown>[]>;
  /** Runs a named prepared statement. */
  prepared(
    name: string,
    text: string,
    values: readonly unknown[],
  ): Promise<readonly Record<string, unknown>[]>;
  /** Starts a query; the result can be canceled. */
  start(text: string): { readonly result: Promise<unknown>; cancel(): Promise<void> };
  end(): Promise<void>;
}

/** Opens a client of the library `pg`. */
export async function openPg(target: ClientTarget): Promise<SqlClient> {
  const { host, port, database, options } = target;
  const client = new pg.Client({ host, port, database, user: 'agent', options });
  client.on('error', () => undefined);
  await client.connect();
  return {
    query: async (text, values) =>
      (await client.query(text, values === undefined ? undefined : [...values])).rows,
    prepared: async (name, text, values) => (await client.query({ name, text, values: [...values] })).rows,
    start: (text) => ({ result: client.query(text), cancel: () => cancelPg(client, host, port) }),
    end: () => client.end(),
  };
}

/** Sends a CancelRequest; `pg` stores the key of a connection but has no public method to cancel. */
async function cancelPg(client: pg.Client, host: string, port: number): Promise<void> {
  const { processID, secretKey } = client as unknown as { processID: number; secretKey: number };
  const connection = new pg.Connection({ stream: undefined } as never);
  const raw = connection as unknown as {
    connect(port: number, host: string): void;
    cancel(processId: number, secretKey: number): void;
    on(event: string, listener: () => void): void;
  };
  await new Promise<void>((resolve) => {
    raw.on('connect', () => raw.cancel(processID, secretKey));
    raw.on('end', resolve);
    raw.on('error', resolve);
    raw.connect(port, host);
  });
}

/** Opens a client of the library `postgres`. */
export async function openPostgres(target: ClientTarget): Promise<SqlClient> {
  const { host, port, database, options } = target;
  const sql = postgres({
    host,
    port,
    database,
    username: 'agent',
    max: 1,
    fetch_types: false,
    connection: { options } as never,
    onnotice: () => undefined,
  });
  await sql`SELECT 1`;
  return {
    query: async (text, values) =>
      values === undefined ? await sql.unsafe(text) : await sql.unsafe(text, [...values] as never[]),
    prepared: async (_name, text, values) =>
      await sql.unsafe(text, [...values] as never[], { prepare: true }),
    start: (text) => {
      const pending = sql.unsafe(text);
      return { result: pending.execute(), cancel: async () => void pending.cancel() };
    },
    end: () => sql.end({ timeout: 1 }),
  };
}
