/**
 * Names and types of result columns, aggregates and row construction for the member stand-in.
 *
 * @packageDocumentation
 */
import type { ColumnDescription } from '../../src/wire/backend-messages.js';
import { compareScalars, evaluate, type EvaluationContext, type Row } from './expression.js';
import { castValue, formatValue, SqlError, typeOidByName, TypeOid, type SqlScalar } from './sql-values.js';
import { lastName, unwrapNode, type SyntaxBody, type SyntaxNode } from './syntax.js';
import type { TableDefinition } from './tables.js';

/** Rows and command tag of one statement; `columns` is `null` for a statement that returns no rows. */
export interface StatementResult {
  readonly columns: readonly ColumnDescription[] | null;
  readonly rows: readonly (string | null)[][];
  readonly tag: string;
}

/** Result of a statement that returns no rows. */
export function commandResult(tag: string): StatementResult {
  return { columns: null, rows: [], tag };
}

/** Text form of a value, for a DataRow. */
export function formatNullable(value: SqlScalar): string | null {
  return value === null ? null : formatValue(value);
}

/** A row of nulls, used to determine column types without data. */
export function nullRow(columnTypes: Readonly<Record<string, number>>): Row {
  return Object.fromEntries(Object.keys(columnTypes).map((name) => [name, null]));
}

/** True for `*` and `t.*`. */
export function isStar(node: SyntaxNode): boolean {
  const fields: SyntaxNode[] | undefined = node['ColumnRef']?.fields;
  return fields !== undefined && fields.some((field) => 'A_Star' in field);
}

/** True for a call of a function that returns void. */
export function isVoidCall(node: SyntaxNode): boolean {
  return lastName(node['FuncCall']?.funcname) === 'pg_sleep';
}

const AGGREGATES = new Set(['count', 'sum', 'min', 'max']);

/** True when a target is a call of an aggregate function. */
export function isAggregate(target: SyntaxNode): boolean {
  return AGGREGATES.has(lastName(target['ResTarget']?.val?.FuncCall?.funcname));
}

/** Computes an aggregate over non-null values, formatted for a DataRow. */
export function aggregateValues(name: string, values: readonly SqlScalar[]): string | null {
  if (name === 'count') return String(values.length);
  if (values.length === 0) return null;
  if (name === 'sum') return String(values.reduce((total: number, value) => total + Number(value), 0));
  const sorted = [...values].sort(compareScalars);
  return formatNullable((name === 'min' ? sorted[0] : sorted.at(-1)) ?? null);
}

/** Name of a result column. */
export function columnName(target: SyntaxNode): string {
  const { name, val } = target['ResTarget'];
  if (name !== undefined) return name;
  const { kind, body } = unwrapNode(val);
  if (kind === 'ColumnRef') return lastName(body.fields);
  if (kind === 'FuncCall') return lastName(body.funcname);
  if (kind === 'TypeCast') return lastName(body.typeName.names);
  return '?column?';
}

/** Type of a result column; evaluates the expression where the syntax alone does not give it. */
export function columnType(node: SyntaxNode, context: EvaluationContext): number {
  const call = node['FuncCall'];
  if (call !== undefined && AGGREGATES.has(lastName(call.funcname))) return TypeOid.bigint;
  if (isVoidCall(node)) return TypeOid.void;
  if (node['A_Expr'] !== undefined) return operatorType(node, context);
  return evaluate(node, context).typeOid;
}

/** Type of an operator expression. */
export function operatorType(node: SyntaxNode, context: EvaluationContext): number {
  const operator = lastName(node['A_Expr'].name);
  if (operator === '||') return TypeOid.text;
  if (!['+', '-', '*', '/'].includes(operator)) return TypeOid.boolean;
  const left = columnType(node['A_Expr'].lexpr, context);
  return left === TypeOid.text ? columnType(node['A_Expr'].rexpr, context) : left;
}

/** Name of a function in FROM. */
export function functionName(rangeFunction: SyntaxBody): string {
  return lastName(rangeFunction.functions[0].List.items[0].FuncCall?.funcname);
}

/** Columns of a function in FROM. */
export function functionColumns(name: string): Readonly<Record<string, number>> {
  switch (name) {
    case 'generate_series':
      return { generate_series: TypeOid.integer };
    case 'sorrelladder_group_status':
      return {
        member: TypeOid.text,
        role: TypeOid.text,
        term: TypeOid.bigint,
        received_term: TypeOid.bigint,
        received_index: TypeOid.bigint,
        applied_term: TypeOid.bigint,
        applied_index: TypeOid.bigint,
        leaving: TypeOid.boolean,
      };
    case 'standin_log':
      return { term: TypeOid.bigint, index: TypeOid.bigint, session: TypeOid.bigint, changes: TypeOid.text };
    default:
      return { counters: TypeOid.text };
  }
}

/** Rows of generate_series. */
export function generateSeries(first: number, last: number): Row[] {
  const rows: Row[] = [];
  for (let value = first; value <= last; value += 1) rows.push({ generate_series: value });
  return rows;
}

/** Reads a CREATE TABLE statement; without a PRIMARY KEY constraint, the first column is the key. */
export function readTableDefinition(name: string, elements: readonly SyntaxNode[]): TableDefinition {
  const columnTypes: Record<string, number> = {};
  let primaryKey: string | null = null;
  for (const element of elements) {
    const column = element['ColumnDef'];
    if (column === undefined) continue;
    columnTypes[column.colname] = typeOidByName(lastName(column.typeName.names));
    const isPrimary = JSON.stringify(column.constraints ?? '').includes('CONSTR_PRIMARY');
    if (isPrimary) primaryKey = column.colname;
  }
  primaryKey ??= Object.keys(columnTypes)[0] ?? '';
  return { name, primaryKey, columnTypes };
}

/** Builds the row of an INSERT, casting the values to the column types. */
export function buildRow(
  definition: TableDefinition,
  columns: readonly string[],
  values: readonly SqlScalar[],
): Row {
  const row: Record<string, SqlScalar> = { ...nullRow(definition.columnTypes) };
  columns.forEach((column, position) => {
    const typeOid = definition.columnTypes[column];
    if (typeOid === undefined) throw new SqlError('42703', `column "${column}" does not exist`);
    row[column] = castValue(values[position] ?? null, typeOid);
  });
  if (row[definition.primaryKey] === null) throw new SqlError('23502', 'null value in primary key');
  return row;
}
