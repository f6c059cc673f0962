/**
 * Evaluates the expressions that the member stand-in supports.
 *
 * @packageDocumentation
 */
import {
  castValue,
  formatValue,
  SqlError,
  typeOidByName,
  TypeOid,
  type SqlScalar,
  type SqlValue,
} from './sql-values.js';
import { lastName, unwrapNode, type SyntaxBody, type SyntaxNode } from './syntax.js';

/** A row: column name to value. */
export type Row = Readonly<Record<string, SqlScalar>>;

/** Calls a function that depends on the session; returns `null` when the name is unknown. */
export type SessionFunction = (name: string, args: readonly SqlScalar[]) => SqlValue | null;

/** Parameters, row and functions available to an expression. */
export interface EvaluationContext {
  readonly parameters: readonly SqlValue[];
  readonly row: Row | null;
  readonly columnTypes: Readonly<Record<string, number>>;
  /** The row proposed by an INSERT, read as `excluded` in ON CONFLICT. */
  readonly excluded: Row | null;
  readonly callFunction: SessionFunction;
}

const NULL_VALUE: SqlValue = { value: null, typeOid: TypeOid.text };

/** Evaluates one expression. @throws SqlError 0A000 for a node kind that is not supported */
export function evaluate(node: SyntaxNode, context: EvaluationContext): SqlValue {
  const { kind, body } = unwrapNode(node);
  switch (kind) {
    case 'A_Const':
      return evaluateConstant(body);
    case 'ParamRef':
      return context.parameters[body.number - 1] ?? NULL_VALUE;
    case 'ColumnRef':
      return evaluateColumn(body, context);
    case 'TypeCast':
      return evaluateCast(body, context);
    case 'A_Expr':
      return evaluateOperator(body, context);
    case 'BoolExpr':
      return evaluateBoolean(body, context);
    case 'NullTest':
      return evaluateNullTest(body, context);
    case 'FuncCall':
      return evaluateFunction(body, context);
    case 'CoalesceExpr':
      return evaluateCoalesce(body, context);
    case 'SQLValueFunction':
      return { value: new Date().toISOString(), typeOid: TypeOid.timestamptz };
    default:
      throw new SqlError('0A000', `the stand-in does not support ${kind}`);
  }
}

function evaluateConstant(body: SyntaxBody): SqlValue {
  if (body.isnull) return NULL_VALUE;
  if (body.ival !== undefined) return { value: body.ival.ival ?? 0, typeOid: TypeOid.integer };
  if (body.fval !== undefined) return evaluateNumber(body.fval.fval);
  if (body.boolval !== undefined) return { value: body.boolval.boolval ?? false, typeOid: TypeOid.boolean };
  return { value: body.sval?.sval ?? '', typeOid: TypeOid.text };
}

function evaluateNumber(text: string): SqlValue {
  return text.includes('.')
    ? { value: text, typeOid: TypeOid.numeric }
    : { value: Number(text), typeOid: TypeOid.bigint };
}

function evaluateColumn(body: SyntaxBody, context: EvaluationContext): SqlValue {
  const fields: SyntaxNode[] = body.fields;
  const name = lastName(fields);
  const qualifier = fields.length > 1 ? (fields[0]?.['String']?.sval ?? '') : '';
  const row = qualifier === 'excluded' ? context.excluded : context.row;
  const value = row?.[name];
  if (value === undefined) throw new SqlError('42703', `column "${name}" does not exist`);
  return { value, typeOid: context.columnTypes[name] ?? TypeOid.text };
}

function evaluateCast(body: SyntaxBody, context: EvaluationContext): SqlValue {
  const typeOid = typeOidByName(lastName(body.typeName.names));
  return { value: castValue(evaluate(body.arg, context).value, typeOid), typeOid };
}

function evaluateBoolean(body: SyntaxBody, context: EvaluationContext): SqlValue {
  const values = (body.args as SyntaxNode[]).map((arg) => evaluate(arg, context).value === true);
  const value =
    body.boolop === 'AND_EXPR'
      ? values.every(Boolean)
      : body.boolop === 'OR_EXPR'
        ? values.some(Boolean)
        : !values[0];
  return { value, typeOid: TypeOid.boolean };
}

function evaluateNullTest(body: SyntaxBody, context: EvaluationContext): SqlValue {
  const isNull = evaluate(body.arg, context).value === null;
  return { value: body.nulltesttype === 'IS_NULL' ? isNull : !isNull, typeOid: TypeOid.boolean };
}

function evaluateCoalesce(body: SyntaxBody, context: EvaluationContext): SqlValue {
  for (const arg of body.args as SyntaxNode[]) {
    const result = evaluate(arg, context);
    if (result.value !== null) return result;
  }
  return NULL_VALUE;
}

function evaluateOperator(body: SyntaxBody, context: EvaluationContext): SqlValue {
  const left = evaluate(body.lexpr, context);
  if (body.kind === 'AEXPR_IN') {
    const items: SyntaxNode[] = body.rexpr.List.items;
    const found = items.some((item) => compareScalars(left.value, evaluate(item, context).value) === 0);
    return { value: found, typeOid: TypeOid.boolean };
  }
  return applyOperator(lastName(body.name), left, evaluate(body.rexpr, context));
}

function applyOperator(operator: string, left: SqlValue, right: SqlValue): SqlValue {
  if (left.value === null || right.value === null) return NULL_VALUE;
  const order = compareScalars(left.value, right.value);
  switch (operator) {
    case '=':
      return { value: order === 0, typeOid: TypeOid.boolean };
    case '<>':
      return { value: order !== 0, typeOid: TypeOid.boolean };
    case '<':
      return { value: order < 0, typeOid: TypeOid.boolean };
    case '<=':
      return { value: order <= 0, typeOid: TypeOid.boolean };
    case '>':
      return { value: order > 0, typeOid: TypeOid.boolean };
    case '>=':
      return { value: order >= 0, typeOid: TypeOid.boolean };
    case '||':
      return { value: formatValue(left.value) + formatValue(right.value), typeOid: TypeOid.text };
    default:
      return applyArithmetic(operator, left, right);
  }
}

function applyArithmetic(operator: string, left: SqlValue, right: SqlValue): SqlValue {
  const a = Number(left.value);
  const b = Number(right.value);
  const typeOid = left.typeOid === TypeOid.text ? right.typeOid : left.typeOid;
  switch (operator) {
    case '+':
      return { value: a + b, typeOid };
    case '-':
      return { value: a - b, typeOid };
    case '*':
      return { value: a * b, typeOid };
    case '/':
      if (b === 0) throw new SqlError('22012', 'division by zero');
      return { value: typeOid === TypeOid.double ? a / b : Math.trunc(a / b), typeOid };
    default:
      throw new SqlError('42883', `operator does not exist: ${operator}`);
  }
}

/** Compares two values; nulls sort last, and a number equals its text form. */
export function compareScalars(left: SqlScalar, right: SqlScalar): number {
  if (left === null || right === null) return left === right ? 0 : left === null ? 1 : -1;
  if (typeof left === 'number' || typeof right === 'number') return Number(left) - Number(right);
  const a = formatValue(left);
  const b = formatValue(right);
  return a < b ? -1 : a > b ? 1 : 0;
}

function evaluateFunction(body: SyntaxBody, context: EvaluationContext): SqlValue {
  const name = lastName(body.funcname);
  const args = ((body.args ?? []) as SyntaxNode[]).map((arg) => evaluate(arg, context).value);
  switch (name) {
    case 'repeat':
      return { value: String(args[0]).repeat(Number(args[1])), typeOid: TypeOid.text };
    case 'length':
      return { value: String(args[0]).length, typeOid: TypeOid.integer };
    case 'upper':
      return { value: String(args[0]).toUpperCase(), typeOid: TypeOid.text };
    case 'now':
      return { value: new Date().toISOString(), typeOid: TypeOid.timestamptz };
    case 'version':
      return { value: 'PostgreSQL 15.0 (sorrelladder member stand-in)', typeOid: TypeOid.text };
    default:
      break;
  }
  const result = context.callFunction(name, args);
  if (result === null) throw new SqlError('42883', `function ${name} does not exist`);
  return result;
}
