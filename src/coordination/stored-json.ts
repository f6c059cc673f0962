/**
 * Values of the store as JSON of a known shape. Anybody may have written them: what does not fit is told as a fault and never
 * thrown, and the fault names the place and what was expected there, not what was found. Pure.
 *
 * @packageDocumentation
 */
import { isUtf8 } from 'node:buffer';
import * as z from 'zod/mini';

/** Longest key of the store, in bytes. */
const MAX_KEY_BYTES = 200;
/** Largest value of an entry that is read, in bytes: some hundred times what any takes. */
export const MAX_ENTRY_BYTES = 64 * 1024;

/** What kind of fault an entry has. */
export type FaultKind = 'key' | 'size' | 'encoding' | 'json' | 'shape';

/** Why an entry cannot be read. */
export interface EntryFault {
  readonly kind: FaultKind;
  /** For the log: quotes no value. */
  readonly reason: string;
}

/** An entry as read. */
export type Reading<T> =
  { readonly kind: 'read'; readonly value: T } | { readonly kind: 'unreadable'; readonly fault: EntryFault };

/** A name that is sent as one word of a line: no blank, no line end, no other control character. */
export const word = z.string().check(z.regex(/^[^\s\u0000-\u001f\u007f-\u009f]+$/));
/** A text that says something. */
export const text = z.string().check(z.minLength(1));
/** A whole number of 0 or more. */
export const count = z.int().check(z.nonnegative());
/** A number of 0 or more. */
export const amount = z.number().check(z.nonnegative());
/** A TCP port that something can listen on. */
export const port = z.int().check(z.positive(), z.lte(65_535));

/** Reads a value that is JSON of a shape, of at most `maxBytes` bytes. */
export function readJson<Schema extends z.ZodMiniType>(
  value: Buffer,
  schema: Schema,
  maxBytes = MAX_ENTRY_BYTES,
): Reading<z.infer<Schema>> {
  if (value.length > maxBytes) return unreadable('size', `${value.length} bytes`);
  if (!isUtf8(value)) return unreadable('encoding', 'no UTF-8');
  const parsed = parseJson(value);
  return parsed.kind === 'read' ? readShape(parsed.value, schema) : parsed;
}

/** Reads what is JSON already. */
export function readShape<Schema extends z.ZodMiniType>(
  value: unknown,
  schema: Schema,
): Reading<z.infer<Schema>> {
  const result = schema.safeParse(value);
  if (result.success) return { kind: 'read', value: result.data };
  return unreadable('shape', describeIssue(result.error.issues[0]));
}

/** The name that follows a prefix in a key. */
export function readName(key: string, prefix: string): Reading<string> {
  const name = key.slice(prefix.length);
  if (name === '') return unreadable('key', 'no name');
  if (Buffer.byteLength(key) > MAX_KEY_BYTES) return unreadable('key', 'too long');
  if (!word.safeParse(name).success) return unreadable('key', 'name of one word expected');
  return { kind: 'read', value: name };
}

/** A fault. */
export function unreadable(
  kind: FaultKind,
  reason: string,
): { readonly kind: 'unreadable'; readonly fault: EntryFault } {
  return { kind: 'unreadable', fault: { kind, reason } };
}

/** The error of the parser is not passed on: it quotes the text. */
function parseJson(value: Buffer): Reading<unknown> {
  try {
    return { kind: 'read', value: JSON.parse(value.toString()) as unknown };
  } catch {
    return unreadable('json', 'no JSON');
  }
}

/** The place, which holds names of the schema and numbers alone, and what was expected there. */
function describeIssue(issue: z.core.$ZodIssue | undefined): string {
  if (issue === undefined) return 'not as expected';
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
      return 'another form expected';
  }
}
