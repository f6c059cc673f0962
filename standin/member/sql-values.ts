/**
 * Values and types of the member stand-in.
 *
 * @packageDocumentation
 */

/** A SQL value in its stored representation. */
export type SqlScalar = string | number | boolean | null;

/** A typed value of an expression. */
export interface SqlValue {
  readonly value: SqlScalar;
  readonly typeOid: number;
}

/** Type object ids from the PostgreSQL catalog. */
export const TypeOid = {
  boolean: 16,
  bytea: 17,
  bigint: 20,
  smallint: 21,
  integer: 23,
  text: 25,
  json: 114,
  real: 700,
  double: 701,
  unknown: 705,
  varchar: 1043,
  date: 1082,
  timestamp: 1114,
  timestamptz: 1184,
  numeric: 1700,
  void: 2278,
  uuid: 2950,
  jsonb: 3802,
} as const;

const TYPE_NAMES: Readonly<Record<string, number>> = {
  bool: TypeOid.boolean,
  bytea: TypeOid.bytea,
  int8: TypeOid.bigint,
  int2: TypeOid.smallint,
  int4: TypeOid.integer,
  text: TypeOid.text,
  json: TypeOid.json,
  jsonb: TypeOid.jsonb,
  float4: TypeOid.real,
  float8: TypeOid.double,
  numeric: TypeOid.numeric,
  varchar: TypeOid.varchar,
  date: TypeOid.date,
  timestamp: TypeOid.timestamp,
  timestamptz: TypeOid.timestamptz,
  uuid: TypeOid.uuid,
};

const NUMBER_TYPES: ReadonlySet<number> = new Set([
  TypeOid.bigint,
  TypeOid.smallint,
  TypeOid.integer,
  TypeOid.real,
  TypeOid.double,
]);

/** An error that is reported to the client as an ErrorResponse with this SQLSTATE. */
export class SqlError extends Error {
  constructor(
    readonly sqlState: string,
    message: string,
  ) {
    super(message);
  }
}

/** Type object id for a type name from the parser; unknown names are treated as text. */
export function typeOidByName(name: string): number {
  return TYPE_NAMES[name] ?? TypeOid.text;
}

/** Casts a value to a type. */
export function castValue(value: SqlScalar, typeOid: number): SqlScalar {
  if (value === null) return null;
  if (NUMBER_TYPES.has(typeOid)) return toNumber(value, typeOid);
  if (typeOid === TypeOid.boolean) return toBoolean(value);
  return formatValue(value);
}

function toNumber(value: string | number | boolean, typeOid: number): number {
  const number = typeof value === 'boolean' ? Number(value) : Number(value);
  if (value === '' || Number.isNaN(number)) {
    throw new SqlError('22P02', `invalid input syntax for type number: "${String(value)}"`);
  }
  const isFraction = typeOid === TypeOid.real || typeOid === TypeOid.double;
  return isFraction ? number : Math.round(number);
}

function toBoolean(value: string | number | boolean): boolean {
  if (typeof value !== 'string') return Boolean(value);
  return ['t', 'true', '1', 'on', 'yes'].includes(value.toLowerCase());
}

/** Text form of a value on the wire. */
export function formatValue(value: string | number | boolean): string {
  if (typeof value === 'boolean') return value ? 't' : 'f';
  return String(value);
}
