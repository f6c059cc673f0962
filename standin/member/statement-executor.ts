/**
 * Executes statements for one session of the member stand-in.
 *
 * @packageDocumentation
 */
import type { ColumnDescription } from '../../src/wire/backend-messages.js';
import type { Database } from './database.js';
import { evaluate, type EvaluationContext, type Row } from './expression.js';
import { castValue, formatValue, SqlError, TypeOid, type SqlScalar, type SqlValue } from './sql-values.js';
import { lastName, unwrapNode, type ParsedStatement, type SyntaxBody, type SyntaxNode } from './syntax.js';
import {
  buildRow,
  commandResult,
  functionColumns,
  functionName,
  generateSeries,
  readTableDefinition,
  type StatementResult,
} from './result-shape.js';
import { Projection } from './projection.js';
import { activityRows, groupStatus, logRows, type RowSource } from './system-rows.js';
import { rowKey, type TableDefinition } from './tables.js';
import { Transaction } from './transaction.js';

const ROW_LOCK_TIMEOUT_MS = 1000;
const MAX_SLEEP_MS = 60_000;

/** Executes statements and holds the session's transaction, settings and transaction status. */
export class StatementExecutor {
  readonly settings = new Map<string, string>();
  readonly #projection = new Projection((...args) => this.#createContext(...args));
  #transaction: Transaction | null = null;
  #isExplicit = false;
  #isFailed = false;
  #isReadOnly = false;
  #isCanceled = false;
  #interruptSleep: (() => void) | null = null;

  constructor(
    private readonly database: Database,
    private readonly processId: number,
  ) {}

  /** Transaction status for ReadyForQuery. */
  get status(): 'I' | 'T' | 'E' {
    if (!this.#isExplicit) return 'I';
    return this.#isFailed ? 'E' : 'T';
  }

  /** Interrupts the running statement. */
  cancel(): void {
    this.#isCanceled = true;
    this.#interruptSleep?.();
  }

  /** Discards a cancel request that did not interrupt a statement. */
  clearCancel(): void {
    this.#isCanceled = false;
  }

  /** Rolls back the transaction and releases all locks when the session ends. */
  close(): void {
    this.#endTransaction();
    this.database.locks.releaseAllAdvisory(this.processId);
  }

  /** Executes one statement inside the current or an implicit transaction. */
  async execute(statement: ParsedStatement, parameters: readonly SqlValue[]): Promise<StatementResult> {
    if (this.#isFailed && !isTransactionEnd(statement)) {
      throw new SqlError(
        '25P02',
        'current transaction is aborted, commands ignored until end of transaction block',
      );
    }
    return this.#dispatch(statement, parameters);
  }

  /** Handles a failed statement: aborts an explicit transaction, rolls back an implicit one. */
  fail(): void {
    if (this.#isExplicit) this.#isFailed = true;
    else this.#endTransaction();
  }

  /** Commits an implicit transaction, at Sync or at the end of a simple query. */
  async commitImplicit(): Promise<void> {
    if (!this.#isExplicit) await this.#commit();
  }

  /** Column types of a statement's result, without executing it; `null` when it returns no rows. */
  describe(statement: ParsedStatement): readonly ColumnDescription[] | null {
    const { kind, body } = statement;
    if (kind === 'VariableShowStmt') return [{ name: body.name, typeOid: TypeOid.text }];
    const targets: SyntaxNode[] | undefined =
      kind === 'SelectStmt' ? body.targetList : (body.returningClause?.exprs ?? body.returningList);
    if (targets === undefined) return null;
    const table = kind === 'SelectStmt' ? body.fromClause?.[0] : { RangeVar: body.relation };
    return this.#describeTargets(targets, table);
  }

  #describeTargets(
    targets: readonly SyntaxNode[],
    from: SyntaxNode | undefined,
  ): readonly ColumnDescription[] {
    const columnTypes = this.#sourceTypes(from);
    const nullRow = Object.fromEntries(Object.keys(columnTypes).map((name) => [name, null]));
    const context = this.#createContext([], nullRow, columnTypes, false);
    return this.#projection.columns(targets, context);
  }

  #sourceTypes(from: SyntaxNode | undefined): Readonly<Record<string, number>> {
    if (from === undefined) return {};
    const { kind, body } = unwrapNode(from);
    if (kind === 'RangeVar') return this.#definition(body.relname).columnTypes;
    if (kind === 'RangeFunction') return functionColumns(functionName(body));
    return {};
  }

  async #dispatch(statement: ParsedStatement, parameters: readonly SqlValue[]): Promise<StatementResult> {
    const { kind, body } = statement;
    switch (kind) {
      case 'SelectStmt':
        return this.#select(body, parameters);
      case 'InsertStmt':
        return this.#insert(body, parameters);
      case 'UpdateStmt':
        return this.#update(body, parameters);
      case 'DeleteStmt':
        return this.#delete(body, parameters);
      case 'CreateStmt':
        return this.#createTable(body);
      case 'DropStmt':
        return this.#dropTable(body);
      case 'TransactionStmt':
        return this.#transactionStatement(body);
      case 'VariableSetStmt':
        return this.#setVariable(body);
      case 'VariableShowStmt':
        return this.#showVariable(body);
      case 'DiscardStmt':
        this.settings.clear();
        this.database.locks.releaseAllAdvisory(this.processId);
        return commandResult('DISCARD ALL');
      default:
        throw new SqlError('0A000', `the stand-in does not support ${kind}`);
    }
  }

  // Transactions

  async #transactionStatement(body: SyntaxBody): Promise<StatementResult> {
    switch (body.kind) {
      case 'TRANS_STMT_BEGIN':
      case 'TRANS_STMT_START':
        this.#isExplicit = true;
        this.#isReadOnly = JSON.stringify(body.options ?? '').includes('transaction_read_only');
        return commandResult('BEGIN');
      case 'TRANS_STMT_COMMIT': {
        const failed = this.#isFailed;
        if (failed) this.#endTransaction();
        else await this.#commit();
        return commandResult(failed ? 'ROLLBACK' : 'COMMIT');
      }
      case 'TRANS_STMT_ROLLBACK':
        this.#endTransaction();
        return commandResult('ROLLBACK');
      default:
        throw new SqlError('0A000', `the stand-in does not support ${String(body.kind)}`);
    }
  }

  async #commit(): Promise<void> {
    const transaction = this.#transaction;
    try {
      if (transaction === null || transaction.changes.length === 0) return;
      if (this.database.log.role !== 'primary') throw new SqlError('25006', 'this member is not the primary');
      const entry = this.database.log.append(transaction.changes, this.processId);
      if (this.database.settings.replication === 'asynchronous') return;
      const replicated = await this.database.log.waitForMajority(entry.index);
      if (!replicated)
        throw new SqlError('40003', 'the primary was replaced while the commit was replicated');
    } finally {
      this.#endTransaction();
    }
  }

  #endTransaction(): void {
    if (this.#transaction !== null)
      this.database.locks.releaseRows(this.processId, this.#transaction.lockedRows);
    this.#transaction = null;
    this.#isExplicit = false;
    this.#isFailed = false;
    this.#isReadOnly = false;
  }

  #currentTransaction(): Transaction {
    this.#transaction ??= new Transaction(this.database.tables);
    return this.#transaction;
  }

  #writableTransaction(): Transaction {
    const transaction = this.#currentTransaction();
    transaction.requireWritable(this.database.log.role === 'primary' && !this.#isReadOnly);
    return transaction;
  }

  #definition(table: string): TableDefinition {
    return this.#currentTransaction().definition(table);
  }

  async #lockRow(transaction: Transaction, table: string, key: string): Promise<void> {
    const name = `${table}\u0001${key}`;
    const acquired = await this.database.locks.acquireRow(name, this.processId, ROW_LOCK_TIMEOUT_MS);
    if (!acquired) throw new SqlError('55P03', 'could not obtain lock on row');
    transaction.lockedRows.add(name);
  }

  // Data definition

  #createTable(body: SyntaxBody): StatementResult {
    const transaction = this.#writableTransaction();
    const name: string = body.relation.relname;
    if (transaction.hasTable(name)) {
      if (body.if_not_exists) return commandResult('CREATE TABLE');
      throw new SqlError('42P07', `relation "${name}" already exists`);
    }
    transaction.recordChange({ kind: 'createTable', definition: readTableDefinition(name, body.tableElts) });
    return commandResult('CREATE TABLE');
  }

  #dropTable(body: SyntaxBody): StatementResult {
    const transaction = this.#writableTransaction();
    const table = lastName(body.objects[0]?.List?.items);
    if (!transaction.hasTable(table) && !body.missing_ok)
      throw new SqlError('42P01', `table "${table}" does not exist`);
    transaction.recordChange({ kind: 'dropTable', table });
    return commandResult('DROP TABLE');
  }

  // Queries

  async #select(body: SyntaxBody, parameters: readonly SqlValue[]): Promise<StatementResult> {
    await this.#runSleepCalls(body, parameters);
    const source = this.#source(body.fromClause?.[0], body.whereClause, parameters);
    let rows = source.rows.filter((row) =>
      this.#projection.matches(body.whereClause, row, source.columnTypes, parameters),
    );
    if (body.sortClause !== undefined)
      rows = this.#projection.sort(rows, body.sortClause, source.columnTypes, parameters);
    if (body.limitCount !== undefined) {
      const limit = evaluate(body.limitCount, this.#createContext(parameters, null, {}, true)).value;
      if (limit !== null) rows = rows.slice(0, Number(limit));
    }
    return this.#projection.project(body.targetList ?? [], rows, source.columnTypes, parameters);
  }

  async #runSleepCalls(body: SyntaxBody, parameters: readonly SqlValue[]): Promise<void> {
    for (const target of (body.targetList ?? []) as SyntaxNode[]) {
      const call = target['ResTarget']?.val?.FuncCall;
      if (call === undefined || lastName(call.funcname) !== 'pg_sleep') continue;
      const seconds = Number(evaluate(call.args[0], this.#createContext(parameters, null, {}, true)).value);
      await this.#sleep(Math.min(seconds * 1000, MAX_SLEEP_MS));
    }
  }

  async #sleep(durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, durationMs);
      this.#interruptSleep = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#interruptSleep = null;
    if (!this.#isCanceled) return;
    this.#isCanceled = false;
    throw new SqlError('57014', 'canceling statement due to user request');
  }

  #source(
    from: SyntaxNode | undefined,
    where: SyntaxNode | undefined,
    parameters: readonly SqlValue[],
  ): RowSource {
    if (from === undefined) return { rows: [{}], columnTypes: {} };
    const { kind, body } = unwrapNode(from);
    if (kind === 'RangeVar') return this.#tableRows(body.relname, where, parameters);
    if (kind === 'RangeFunction') return this.#functionRows(body, parameters);
    throw new SqlError('0A000', `the stand-in does not support ${kind} in FROM`);
  }

  #tableRows(table: string, where: SyntaxNode | undefined, parameters: readonly SqlValue[]): RowSource {
    if (table === 'pg_stat_activity') return activityRows(this.database);
    const definition = this.#definition(table);
    const candidates = this.#candidateRows(this.#currentTransaction(), definition, where, parameters);
    return { rows: candidates.map(([, row]) => row), columnTypes: definition.columnTypes };
  }

  /** Candidate rows for a condition: at most one for `primary key = value`, otherwise all rows. */
  #candidateRows(
    transaction: Transaction,
    definition: TableDefinition,
    where: SyntaxNode | undefined,
    parameters: readonly SqlValue[],
  ): [string, Row][] {
    const comparison = where?.['A_Expr'];
    const column = lastName(comparison?.lexpr?.ColumnRef?.fields);
    const isKeyLookup = comparison?.kind === 'AEXPR_OP' && column === definition.primaryKey;
    if (!isKeyLookup || lastName(comparison.name) !== '=') return [...transaction.rows(definition.name)];
    const value = evaluate(comparison.rexpr, this.#createContext(parameters, null, {}, true)).value;
    const key = rowKey(castValue(value, definition.columnTypes[column] ?? TypeOid.text));
    const row = transaction.row(definition.name, key);
    return row === null ? [] : [[key, row]];
  }

  #functionRows(body: SyntaxBody, parameters: readonly SqlValue[]): RowSource {
    const name = functionName(body);
    const call = body.functions[0].List.items[0].FuncCall;
    const args = ((call.args ?? []) as SyntaxNode[]).map(
      (arg) => evaluate(arg, this.#createContext(parameters, null, {}, true)).value,
    );
    const columnTypes = functionColumns(name);
    switch (name) {
      case 'generate_series':
        return { rows: generateSeries(Number(args[0]), Number(args[1])), columnTypes };
      case 'sorrelladder_group_status':
        return { rows: [groupStatus(this.database)], columnTypes };
      case 'standin_log':
        return { rows: logRows(this.database), columnTypes };
      case 'standin_counters':
        return { rows: [{ counters: JSON.stringify(this.database.counters) }], columnTypes };
      default:
        throw new SqlError('42883', `function ${name} does not exist`);
    }
  }

  // Data modification

  async #insert(body: SyntaxBody, parameters: readonly SqlValue[]): Promise<StatementResult> {
    const transaction = this.#writableTransaction();
    const definition = this.#definition(body.relation.relname);
    const columns: string[] =
      (body.cols as SyntaxNode[] | undefined)?.map((column) => column['ResTarget'].name) ??
      Object.keys(definition.columnTypes);
    const valueLists: SyntaxNode[] = body.selectStmt.SelectStmt.valuesLists ?? [];
    const written: Row[] = [];
    for (const list of valueLists) {
      const values = (list['List'].items as SyntaxNode[]).map(
        (item) => evaluate(item, this.#createContext(parameters, null, {}, true)).value,
      );
      const row = buildRow(definition, columns, values);
      const stored = await this.#insertRow(transaction, definition, row, body.onConflictClause, parameters);
      if (stored !== null) written.push(stored);
    }
    return this.#writeResult('INSERT 0', body, written, definition, parameters);
  }

  async #insertRow(
    transaction: Transaction,
    definition: TableDefinition,
    row: Row,
    conflict: SyntaxBody,
    parameters: readonly SqlValue[],
  ): Promise<Row | null> {
    const key = rowKey(row[definition.primaryKey] ?? null);
    await this.#lockRow(transaction, definition.name, key);
    const existing = transaction.row(definition.name, key);
    if (existing === null) {
      transaction.recordChange({ kind: 'put', table: definition.name, key, row });
      return row;
    }
    if (conflict?.action === 'ONCONFLICT_NOTHING') return null;
    if (conflict?.action !== 'ONCONFLICT_UPDATE') {
      throw new SqlError('23505', `duplicate key value violates unique constraint "${definition.name}_pkey"`);
    }
    const updated = this.#assign(definition, existing, conflict.targetList, parameters, row);
    transaction.recordChange({ kind: 'put', table: definition.name, key, row: updated });
    return updated;
  }

  async #update(body: SyntaxBody, parameters: readonly SqlValue[]): Promise<StatementResult> {
    const transaction = this.#writableTransaction();
    const definition = this.#definition(body.relation.relname);
    const written: Row[] = [];
    for (const key of this.#matchingKeys(transaction, definition, body.whereClause, parameters)) {
      await this.#lockRow(transaction, definition.name, key);
      const current = transaction.row(definition.name, key);
      if (
        current === null ||
        !this.#projection.matches(body.whereClause, current, definition.columnTypes, parameters)
      )
        continue;
      const row = this.#assign(definition, current, body.targetList, parameters, null);
      transaction.recordChange({ kind: 'put', table: definition.name, key, row });
      written.push(row);
    }
    return this.#writeResult('UPDATE', body, written, definition, parameters);
  }

  async #delete(body: SyntaxBody, parameters: readonly SqlValue[]): Promise<StatementResult> {
    const transaction = this.#writableTransaction();
    const definition = this.#definition(body.relation.relname);
    const removed: Row[] = [];
    for (const key of this.#matchingKeys(transaction, definition, body.whereClause, parameters)) {
      await this.#lockRow(transaction, definition.name, key);
      const current = transaction.row(definition.name, key);
      if (current === null) continue;
      transaction.recordChange({ kind: 'remove', table: definition.name, key });
      removed.push(current);
    }
    return this.#writeResult('DELETE', body, removed, definition, parameters);
  }

  #matchingKeys(
    transaction: Transaction,
    definition: TableDefinition,
    where: SyntaxNode | undefined,
    parameters: readonly SqlValue[],
  ): string[] {
    const keys: string[] = [];
    for (const [key, row] of this.#candidateRows(transaction, definition, where, parameters)) {
      if (this.#projection.matches(where, row, definition.columnTypes, parameters)) keys.push(key);
    }
    return keys;
  }

  #assign(
    definition: TableDefinition,
    current: Row,
    targets: readonly SyntaxNode[],
    parameters: readonly SqlValue[],
    excluded: Row | null,
  ): Row {
    const context = { ...this.#createContext(parameters, current, definition.columnTypes, true), excluded };
    const assigned: Record<string, SqlScalar> = { ...current };
    for (const target of targets) {
      const { name, val } = target['ResTarget'];
      assigned[name] = castValue(evaluate(val, context).value, definition.columnTypes[name] ?? TypeOid.text);
    }
    return assigned;
  }

  #writeResult(
    tag: string,
    body: SyntaxBody,
    rows: readonly Row[],
    definition: TableDefinition,
    parameters: readonly SqlValue[],
  ): StatementResult {
    const targets: SyntaxNode[] | undefined = body.returningClause?.exprs ?? body.returningList;
    if (targets === undefined) return { columns: null, rows: [], tag: `${tag} ${rows.length}` };
    return this.#projection.project(targets, rows, definition.columnTypes, parameters, tag);
  }

  // Settings and functions

  #setVariable(body: SyntaxBody): StatementResult {
    if (body.kind === 'VAR_SET_VALUE') {
      const value = evaluate(body.args[0], this.#createContext([], null, {}, true)).value;
      this.settings.set(body.name, value === null ? '' : formatValue(value));
      return commandResult('SET');
    }
    if (body.kind === 'VAR_RESET_ALL') this.settings.clear();
    else this.settings.delete(body.name);
    return commandResult(body.kind === 'VAR_SET_DEFAULT' ? 'SET' : 'RESET');
  }

  #showVariable(body: SyntaxBody): StatementResult {
    const value = this.settings.get(body.name) ?? (body.name === 'transaction_read_only' ? 'off' : '');
    return { columns: [{ name: body.name, typeOid: TypeOid.text }], rows: [[value]], tag: 'SHOW' };
  }

  #createContext(
    parameters: readonly SqlValue[],
    row: Row | null,
    columnTypes: Readonly<Record<string, number>>,
    allowSideEffects: boolean,
  ): EvaluationContext {
    return {
      parameters,
      row,
      columnTypes,
      excluded: null,
      callFunction: (name, args) => this.#callSessionFunction(name, args, allowSideEffects),
    };
  }

  #callSessionFunction(name: string, args: readonly SqlScalar[], allowSideEffects: boolean): SqlValue | null {
    switch (name) {
      case 'pg_try_advisory_lock': {
        const acquired =
          allowSideEffects && this.database.locks.tryAcquireAdvisory(String(args[0]), this.processId);
        return { value: acquired, typeOid: TypeOid.boolean };
      }
      case 'pg_advisory_unlock': {
        const released =
          allowSideEffects && this.database.locks.releaseAdvisory(String(args[0]), this.processId);
        return { value: released, typeOid: TypeOid.boolean };
      }
      case 'pg_backend_pid':
        return { value: this.processId, typeOid: TypeOid.integer };
      case 'pg_terminate_backend':
        return {
          value: allowSideEffects && this.#terminateBackend(Number(args[0])),
          typeOid: TypeOid.boolean,
        };
      case 'current_setting':
        return { value: this.settings.get(String(args[0])) ?? '', typeOid: TypeOid.text };
      case 'pg_sleep':
        return { value: '', typeOid: TypeOid.void };
      default:
        return null;
    }
  }

  #terminateBackend(processId: number): boolean {
    const session = this.database.sessions.get(processId);
    session?.terminate('terminating connection due to administrator command');
    return session !== undefined;
  }
}

function isTransactionEnd(statement: ParsedStatement): boolean {
  return (
    statement.kind === 'TransactionStmt' &&
    ['TRANS_STMT_COMMIT', 'TRANS_STMT_ROLLBACK'].includes(statement.body.kind)
  );
}
