/**
 * Filters, sorts and projects rows for the statements of the member stand-in.
 *
 * @packageDocumentation
 */
import type { ColumnDescription } from '../../src/wire/backend-messages.js';
import { compareScalars, evaluate, type EvaluationContext, type Row } from './expression.js';
import {
  aggregateValues,
  columnName,
  columnType,
  isAggregate,
  isStar,
  isVoidCall,
  nullRow,
  formatNullable,
  type StatementResult,
} from './result-shape.js';
import { SqlError, type SqlScalar, type SqlValue } from './sql-values.js';
import { lastName, type SyntaxNode } from './syntax.js';

/** Creates an evaluation context; without `allowSideEffects`, functions change no state. */
export type ContextFactory = (
  parameters: readonly SqlValue[],
  row: Row | null,
  columnTypes: Readonly<Record<string, number>>,
  allowSideEffects: boolean,
) => EvaluationContext;

/** Filters, sorts and projects rows into statement results. */
export class Projection {
  constructor(private readonly createContext: ContextFactory) {}

  /** True when a row satisfies the WHERE condition. */
  matches(
    where: SyntaxNode | undefined,
    row: Row,
    columnTypes: Readonly<Record<string, number>>,
    parameters: readonly SqlValue[],
  ): boolean {
    if (where === undefined) return true;
    return evaluate(where, this.createContext(parameters, row, columnTypes, true)).value === true;
  }

  /** Sorts rows by an ORDER BY clause. */
  sort(
    rows: readonly Row[],
    sortClause: readonly SyntaxNode[],
    columnTypes: Readonly<Record<string, number>>,
    parameters: readonly SqlValue[],
  ): Row[] {
    const keys = sortClause.map((item) => item['SortBy']);
    const valueOf = (row: Row, node: SyntaxNode): SqlScalar =>
      evaluate(node, this.createContext(parameters, row, columnTypes, true)).value;
    return [...rows].sort((left, right) => {
      for (const key of keys) {
        const order = compareScalars(valueOf(left, key.node), valueOf(right, key.node));
        if (order !== 0) return key.sortby_dir === 'SORTBY_DESC' ? -order : order;
      }
      return 0;
    });
  }

  /** Evaluates the target list for each row, or once over all rows if it contains an aggregate. */
  project(
    targets: readonly SyntaxNode[],
    rows: readonly Row[],
    columnTypes: Readonly<Record<string, number>>,
    parameters: readonly SqlValue[],
    tagPrefix = 'SELECT',
  ): StatementResult {
    const aggregate = targets.some((target) => isAggregate(target));
    const typeContext = this.createContext(parameters, nullRow(columnTypes), columnTypes, false);
    const columns = this.columns(targets, typeContext);
    const resultRows = aggregate
      ? [this.#aggregate(targets, rows, columnTypes, parameters)]
      : rows.map((row) => this.#projectRow(targets, row, columnTypes, parameters));
    return { columns, rows: resultRows, tag: `${tagPrefix} ${resultRows.length}` };
  }

  #projectRow(
    targets: readonly SyntaxNode[],
    row: Row,
    columnTypes: Readonly<Record<string, number>>,
    parameters: readonly SqlValue[],
  ): (string | null)[] {
    const context = this.createContext(parameters, row, columnTypes, true);
    return targets.flatMap((target) => {
      const node: SyntaxNode = target['ResTarget'].val;
      if (isStar(node)) return Object.keys(columnTypes).map((name) => formatNullable(row[name] ?? null));
      if (isVoidCall(node)) return [''];
      return [formatNullable(evaluate(node, context).value)];
    });
  }

  #aggregate(
    targets: readonly SyntaxNode[],
    rows: readonly Row[],
    columnTypes: Readonly<Record<string, number>>,
    parameters: readonly SqlValue[],
  ): (string | null)[] {
    return targets.map((target) => {
      const call = target['ResTarget'].val.FuncCall;
      if (call === undefined) throw new SqlError('42803', 'only aggregates may stand beside an aggregate');
      if (call.agg_star) return String(rows.length);
      const values = rows
        .map((row) => evaluate(call.args[0], this.createContext(parameters, row, columnTypes, true)).value)
        .filter((value) => value !== null);
      return aggregateValues(lastName(call.funcname), values);
    });
  }

  /** Names and types of the result columns of a target list. */
  columns(targets: readonly SyntaxNode[], context: EvaluationContext): ColumnDescription[] {
    return targets.flatMap((target) => {
      const node: SyntaxNode = target['ResTarget'].val;
      if (isStar(node))
        return Object.entries(context.columnTypes).map(([name, typeOid]) => ({ name, typeOid }));
      return [{ name: columnName(target), typeOid: columnType(node, context) }];
    });
  }
}
