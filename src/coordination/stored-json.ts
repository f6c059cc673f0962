/**
 * Parses values of the store as JSON and validates them against a schema. Any client of the store may have
 * written them, so an invalid value is returned as a fault and never thrown. A fault names the path and what
 * was expected there, and never quotes the value. Pure.
 *
 * @packageDocumentation
 */
import { isUtf8 } from 'node:buffer';
import * as z from 'zod/mini';

/** Longest key that is accepted, in bytes. */
const MAX_KEY_BYTES = 200;
/** Largest value that is parsed, in bytes: about a hundred times the size of any valid entry. */
export const MAX_ENTRY_BYTES = 64 * 1024;

export type FaultKind = 'key' | 'size' | 'encoding' | 'json' | 'shape';

/** Why an entry cannot be read. */
export interface EntryFault {
  readonly kind: FaultKind;
  /** For the log; does not quote the value. */
  readonly reason: string;
}

/** Result of reading an entry. */
export type ReadResult<T> =
  { readonly kind: 'read'; readonly value: T } | { readonly kind: 'unreadable'; readonly fault: EntryFault };

/** A name that can be sent as one word of a line: no white space and no control characters. */
export const singleWordSchema = z.string().check(z.regex(/^[^\s\u0000-\u001f\u007f-\u009f]+$/));
/** A non-empty string. */
export const nonEmptyStringSchema = z.string().check(z.minLength(1));
/** An integer of 0 or more. */
export const nonNegativeIntSchema = z.int().check(z.nonnegative());
/** A number of 0 or more. */
export const nonNegativeNumberSchema = z.number().check(z.nonnegative());
/** A TCP port, from 1 to 65535. */
export const tcpPortSchema = z.int().check(z.positive(), z.lte(65_535));

/** Parses a JSON value of at most `maxBytes` bytes and validates it against a schema. */
export function readJson<Schema extends z.ZodMiniType>(
  value: Buffer,
  schema: Schema,
  maxBytes = MAX_ENTRY_BYTES,
): ReadResult<z.infer<Schema>> {
  if (value.length > maxBytes) return unreadable('size', `${value.length} bytes`);
  if (!isUtf8(value)) return unreadable('encoding', 'no UTF-8');
  const parsed = parseJson(value);
  return parsed.kind === 'read' ? readShape(parsed.value, schema) : parsed;
}

/** Validates a parsed value against a schema. */
export function readShape<Schema extends z.ZodMiniType>(
  value: unknown,
  schema: Schema,
): ReadResult<z.infer<Schema>> {
  const result = schema.safeParse(value);
  if (result.success) return { kind: 'read', value: result.data };
  return unreadable('shape', describeIssue(result.error.issues[0]));
}

/** Returns the name that follows a prefix in a key. */
export function readName(key: string, prefix: string): ReadResult<string> {
  const name = key.slice(prefix.length);
  if (name === '') return unreadable('key', 'no name');
  if (Buffer.byteLength(key) > MAX_KEY_BYTES) return unreadable('key', 'too long');
  if (!singleWordSchema.safeParse(name).success)
    return unreadable('key', 'name without white space or control characters expected');
  return { kind: 'read', value: name };
}

/** Builds the result for an entry that cannot be read. */
export function unreadable(
  kind: FaultKind,
  reason: string,
): { readonly kind: 'unreadable'; readonly fault: EntryFault } {
  return { kind: 'unreadable', fault: { kind, reason } };
}

/** Discards the error of the parser, which quotes the text. */
function parseJson(value: Buffer): ReadResult<unknown> {
  try {
    return { kind: 'read', value: JSON.parse(value.toString()) as unknown };
  } catch {
    return unreadable('json', 'no JSON');
  }
}

/**
 * Path and expectation. The path consists of field names of the schema and of indices only, so it quotes no
 * value.
 */
function describeIssue(issue: z.core.$ZodIssue | undefined): string {
  if (issue === undefined) return 'does not match the schema';
  const path = issue.path.map(String).join('.') || 'value';
  return `${path}: ${describeExpected(issue)}`;
}

function describeExpected(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `${issue.expected} expected`;
    case 'invalid_value':
      return `one of ${issue.values.map(String).join(', ')} expected`;
    case 'too_small':
      return `${String(issue.minimum)} or more expected`;
    case 'too_big':
      return `${String(issue.maximum)} or less expected`;
    default:
      return 'different format expected';
  }
}
