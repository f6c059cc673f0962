/**
 * One client connection of the member stand-in: PostgreSQL protocol, version 3, simple and extended query.
 *
 * @packageDocumentation
 */
import { randomInt } from 'node:crypto';
import type { Socket } from 'node:net';
import * as backend from '../../src/wire/backend-messages.js';
import { FrameSplitter } from '../../src/wire/frame-splitter.js';
import { readDescribeOrClose, readParse, readQueryText } from '../../src/wire/frontend-messages.js';
import { BackendType, FrontendType } from '../../src/wire/message-types.js';
import type { Database, SessionHandle } from './database.js';
import { SqlError, TypeOid, type SqlValue } from './sql-values.js';
import type { StatementResult } from './result-shape.js';
import { StatementExecutor } from './statement-executor.js';
import { parseStatements, parameterTypesOf, type ParsedStatement } from './syntax.js';

const MAX_FRAME_BYTES = 64 * 1024 * 1024;

interface PreparedStatement {
  readonly statement: ParsedStatement | null;
  readonly parameterTypes: readonly number[];
}

interface Portal {
  readonly prepared: PreparedStatement;
  readonly values: readonly SqlValue[];
}

/** A client session, from the authentication response to the close of its connection. */
export class MemberSession implements SessionHandle {
  readonly processId: number;
  readonly secretKey = randomInt(1, 2 ** 31 - 1);
  applicationName: string;
  readonly #executor: StatementExecutor;
  readonly #splitter = new FrameSplitter(MAX_FRAME_BYTES);
  readonly #preparedStatements = new Map<string, PreparedStatement>();
  readonly #portals = new Map<string, Portal>();
  readonly #queue: Buffer[] = [];
  #output: Buffer[] = [];
  #running = false;
  #skipsToSync = false;
  #closed = false;
  #idleTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly database: Database,
    private readonly socket: Socket,
    applicationName: string,
  ) {
    this.processId = database.nextProcessId();
    this.applicationName = applicationName;
    this.#executor = new StatementExecutor(database, this.processId);
  }

  /** Sends the startup response and starts to read frontend messages. */
  start(): void {
    this.database.sessions.set(this.processId, this);
    this.socket.write(
      Buffer.concat([
        backend.authenticationOk(),
        backend.parameterStatus('server_version', '15.0'),
        backend.parameterStatus('server_encoding', 'UTF8'),
        backend.parameterStatus('client_encoding', 'UTF8'),
        backend.parameterStatus('standard_conforming_strings', 'on'),
        backend.backendKeyData(this.processId, this.secretKey),
        backend.readyForQuery('I'),
      ]),
    );
    this.socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    this.socket.on('close', () => this.#close());
  }

  /** Ends the session with a FATAL error. */
  terminate(reason: string): void {
    if (this.#closed) return;
    this.socket.end(backend.errorResponse({ severity: 'FATAL', sqlState: '57P01', message: reason }));
    this.socket.destroySoon();
    this.#close();
  }

  /** Cancels the running statement. */
  cancel(): void {
    if (this.#running) this.#executor.cancel();
  }

  #close(): void {
    if (this.#closed) return;
    this.#closed = true;
    if (this.#idleTimer !== null) clearTimeout(this.#idleTimer);
    this.database.sessions.delete(this.processId);
    this.#executor.cancel();
    this.#executor.close();
  }

  #receive(chunk: Buffer): void {
    try {
      this.#queue.push(...this.#splitter.push(chunk));
    } catch (error) {
      this.terminate((error as Error).message);
      return;
    }
    if (!this.#running) void this.#processQueue();
  }

  async #processQueue(): Promise<void> {
    this.#running = true;
    this.#stopIdleTimer();
    while (!this.#closed) {
      const frame = this.#queue.shift();
      if (frame === undefined) break;
      await this.#handleMessage(frame);
    }
    this.#flush();
    this.#running = false;
    this.#executor.clearCancel();
    this.#startIdleTimer();
  }

  #flush(): void {
    if (this.#output.length > 0 && !this.#closed) this.socket.write(Buffer.concat(this.#output));
    this.#output = [];
  }

  #stopIdleTimer(): void {
    if (this.#idleTimer !== null) clearTimeout(this.#idleTimer);
    this.#idleTimer = null;
  }

  /** Implements `idle_session_timeout`: terminates a session that is idle outside a transaction. */
  #startIdleTimer(): void {
    const timeoutMs = Number(this.#executor.settings.get('idle_session_timeout') ?? 0);
    if (timeoutMs <= 0 || this.#executor.status !== 'I' || this.#closed) return;
    this.#idleTimer = setTimeout(
      () => this.terminate('terminating connection due to idle-session timeout'),
      timeoutMs,
    );
  }

  async #handleMessage(frame: Buffer): Promise<void> {
    const type = frame[0];
    if (type === FrontendType.terminate) {
      this.socket.end();
      this.#close();
      return;
    }
    if (type === FrontendType.query) {
      await this.#simpleQuery(readQueryText(frame));
      return;
    }
    if (type === FrontendType.sync) {
      await this.#sync();
      return;
    }
    if (this.#skipsToSync) return;
    try {
      await this.#extendedQuery(frame);
    } catch (error) {
      this.#reportError(error);
      this.#skipsToSync = true;
    }
  }

  #reportError(error: unknown): void {
    this.#executor.fail();
    const sqlState = error instanceof SqlError ? error.sqlState : 'XX000';
    const message = error instanceof Error ? error.message : String(error);
    this.#output.push(backend.errorResponse({ severity: 'ERROR', sqlState, message }));
  }

  #sendReady(): void {
    this.#output.push(backend.readyForQuery(this.#executor.status));
    this.#flush();
  }

  async #simpleQuery(text: string): Promise<void> {
    try {
      const statements = parseStatements(text);
      if (statements.length === 0) this.#output.push(backend.emptyMessage(BackendType.emptyQueryResponse));
      for (const statement of statements) {
        const result = await this.#runStatement(statement, []);
        if (result.columns !== null) this.#output.push(backend.rowDescription(result.columns));
        this.#pushRows(result);
      }
      await this.#executor.commitImplicit();
    } catch (error) {
      this.#reportError(error);
    }
    this.#sendReady();
  }

  async #sync(): Promise<void> {
    try {
      if (!this.#skipsToSync) await this.#executor.commitImplicit();
    } catch (error) {
      this.#reportError(error);
    }
    this.#skipsToSync = false;
    this.#sendReady();
  }

  async #runStatement(statement: ParsedStatement, values: readonly SqlValue[]): Promise<StatementResult> {
    if (statement.kind === 'DiscardStmt') this.#preparedStatements.clear();
    if (isControlStatement(statement)) return this.#executor.execute(statement, values);
    this.database.counters.statements += 1;
    return this.database.withSlot(async () => {
      if (this.database.settings.serviceTimeMs > 0) await delay(this.database.settings.serviceTimeMs);
      return this.#executor.execute(statement, values);
    });
  }

  #pushRows(result: StatementResult): void {
    for (const row of result.rows) this.#output.push(backend.dataRow(row));
    this.#output.push(backend.commandComplete(result.tag));
  }

  async #extendedQuery(frame: Buffer): Promise<void> {
    switch (frame[0]) {
      case FrontendType.parse:
        this.#parse(frame);
        break;
      case FrontendType.bind:
        this.#bind(frame);
        break;
      case FrontendType.describe:
        this.#describe(frame);
        break;
      case FrontendType.execute:
        await this.#execute(frame);
        break;
      case FrontendType.close:
        this.#closeObject(frame);
        break;
      case FrontendType.flush:
        this.#flush();
        break;
      default:
        throw new SqlError('08P01', `unexpected message type ${String(frame[0])}`);
    }
  }

  #parse(frame: Buffer): void {
    const parse = readParse(frame);
    if (parse.name !== '' && this.#preparedStatements.has(parse.name)) {
      throw new SqlError('42P05', `prepared statement "${parse.name}" already exists`);
    }
    const statements = parseStatements(parse.text);
    if (statements.length > 1) {
      throw new SqlError('42601', 'cannot insert multiple commands into a prepared statement');
    }
    const declared: number[] = [];
    for (let i = 0; i < parse.typesPart.readInt16BE(0); i += 1)
      declared.push(parse.typesPart.readUInt32BE(2 + i * 4));
    const parameterTypes = parameterTypesOf(parse.text, declared);
    this.#preparedStatements.set(parse.name, { statement: statements[0] ?? null, parameterTypes });
    this.#output.push(backend.emptyMessage(BackendType.parseComplete));
  }

  #bind(frame: Buffer): void {
    const reader = new BindReader(frame);
    const portalName = reader.cstring();
    const statementName = reader.cstring();
    const prepared = this.#preparedStatements.get(statementName);
    if (prepared === undefined)
      throw new SqlError('26000', `prepared statement "${statementName}" does not exist`);
    this.#portals.set(portalName, { prepared, values: reader.values(prepared.parameterTypes) });
    this.#output.push(backend.emptyMessage(BackendType.bindComplete));
  }

  #describe(frame: Buffer): void {
    const { kind, name } = readDescribeOrClose(frame);
    const prepared =
      kind === 'statement' ? this.#preparedStatements.get(name) : this.#portals.get(name)?.prepared;
    if (prepared === undefined) throw new SqlError('26000', `${kind} "${name}" does not exist`);
    if (kind === 'statement') this.#output.push(backend.parameterDescription(prepared.parameterTypes));
    const columns = prepared.statement === null ? null : this.#executor.describe(prepared.statement);
    this.#output.push(
      columns === null ? backend.emptyMessage(BackendType.noData) : backend.rowDescription(columns),
    );
  }

  async #execute(frame: Buffer): Promise<void> {
    const name = frame.toString('utf8', 5, frame.indexOf(0, 5));
    const portal = this.#portals.get(name);
    if (portal === undefined) throw new SqlError('34000', `portal "${name}" does not exist`);
    if (portal.prepared.statement === null) {
      this.#output.push(backend.emptyMessage(BackendType.emptyQueryResponse));
      return;
    }
    this.#pushRows(await this.#runStatement(portal.prepared.statement, portal.values));
  }

  #closeObject(frame: Buffer): void {
    const { kind, name } = readDescribeOrClose(frame);
    if (kind === 'statement') this.#preparedStatements.delete(name);
    else this.#portals.delete(name);
    this.#output.push(backend.emptyMessage(BackendType.closeComplete));
  }
}

/** Reads the body of a Bind message. */
class BindReader {
  #offset = 5;

  constructor(private readonly frame: Buffer) {}

  cstring(): string {
    const end = this.frame.indexOf(0, this.#offset);
    const text = this.frame.toString('utf8', this.#offset, end);
    this.#offset = end + 1;
    return text;
  }

  values(types: readonly number[]): SqlValue[] {
    const formats = Array.from({ length: this.#int16() }, () => this.#int16());
    const count = this.#int16();
    return Array.from({ length: count }, (_, position) => {
      const typeOid = types[position] ?? TypeOid.text;
      const format = formats.length === 1 ? formats[0] : formats[position];
      return { value: this.#value(format === 1, typeOid), typeOid };
    });
  }

  #value(isBinary: boolean, typeOid: number): SqlValue['value'] {
    const length = this.frame.readInt32BE(this.#offset);
    this.#offset += 4;
    if (length < 0) return null;
    const bytes = this.frame.subarray(this.#offset, this.#offset + length);
    this.#offset += length;
    if (isBinary) return `\\x${bytes.toString('hex')}`;
    const text = bytes.toString('utf8');
    return NUMERIC_TYPES.has(typeOid) ? Number(text) : text;
  }

  #int16(): number {
    const value = this.frame.readInt16BE(this.#offset);
    this.#offset += 2;
    return value;
  }
}

const NUMERIC_TYPES = new Set<number>([
  TypeOid.integer,
  TypeOid.bigint,
  TypeOid.smallint,
  TypeOid.double,
  TypeOid.real,
]);

/** Transaction control, settings and status queries run without an execution slot. */
function isControlStatement(statement: ParsedStatement): boolean {
  const cached = controlStatementCache.get(statement);
  if (cached !== undefined) return cached;
  const isControl = computeIsControlStatement(statement);
  controlStatementCache.set(statement, isControl);
  return isControl;
}

const controlStatementCache = new WeakMap<ParsedStatement, boolean>();
const CONTROL_FUNCTIONS = [
  'sorrelladder_group_status',
  'standin_',
  'pg_try_advisory_lock',
  'pg_terminate_backend',
];

function computeIsControlStatement(statement: ParsedStatement): boolean {
  if (statement.kind === 'TransactionStmt' || statement.kind.startsWith('Variable')) return true;
  if (statement.kind !== 'SelectStmt') return false;
  const text = JSON.stringify(statement.body);
  return CONTROL_FUNCTIONS.some((name) => text.includes(name));
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
