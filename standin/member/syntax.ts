/**
 * Parses SQL and reads the nodes of the syntax tree that the member stand-in supports.
 *
 * @packageDocumentation
 */
import { parseSync, loadModule } from 'libpg-query';
import { LRUCache } from 'lru-cache';
import { SqlError, TypeOid, typeOidByName } from './sql-values.js';

/** A node of the syntax tree: an object whose only key is the node's kind. */
export type SyntaxNode = Readonly<Record<string, SyntaxBody>>;
/** The fields of a node; untyped, since the parser's own types cover far more than is read here. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export type SyntaxBody = any;

/** One parsed statement. */
export interface ParsedStatement {
  readonly kind: string;
  readonly body: SyntaxBody;
}

const parsedStatements = new LRUCache<string, readonly ParsedStatement[]>({ max: 2000 });

await loadModule();

/** Parses a query text; the result is cached. */
export function parseStatements(text: string): readonly ParsedStatement[] {
  const cached = parsedStatements.get(text);
  if (cached !== undefined) return cached;
  const statements = parseUncached(text);
  parsedStatements.set(text, statements);
  return statements;
}

function parseUncached(text: string): readonly ParsedStatement[] {
  try {
    const tree = parseSync(text) as { stmts?: { stmt: SyntaxNode }[] };
    return (tree.stmts ?? []).map(({ stmt }) => {
      const [kind, body] = Object.entries(stmt)[0] ?? ['', {}];
      return { kind, body };
    });
  } catch (error) {
    throw new SqlError('42601', (error as Error).message);
  }
}

/** Kind and fields of a node. */
export function unwrapNode(node: SyntaxNode): { readonly kind: string; readonly body: SyntaxBody } {
  const [kind, body] = Object.entries(node)[0] ?? ['', {}];
  return { kind, body };
}

/** The unqualified name from a list of String nodes, such as a type or function name. */
export function lastName(names: readonly SyntaxNode[] | undefined): string {
  return names?.at(-1)?.['String']?.sval ?? '';
}

const parameterTypeCache = new LRUCache<string, readonly number[]>({ max: 2000 });

/** Types of a statement's parameters: the declared type, else that of a cast such as `$1::int`, else text. */
export function parameterTypesOf(text: string, declared: readonly number[]): readonly number[] {
  const cacheKey = `${declared.join(',')}|${text}`;
  const cached = parameterTypeCache.get(cacheKey);
  if (cached !== undefined) return cached;
  const types: number[] = [];
  collectParameters(parseStatements(text), types);
  const resolved = Array.from(types, (type, position) => declared[position] || type || TypeOid.text);
  parameterTypeCache.set(cacheKey, resolved);
  return resolved;
}

function collectParameters(tree: unknown, types: number[]): void {
  if (tree === null || typeof tree !== 'object') return;
  for (const [kind, body] of Object.entries(tree as Record<string, SyntaxBody>)) {
    if (kind === 'ParamRef') types[body.number - 1] ||= 0;
    if (kind === 'TypeCast' && body.arg?.ParamRef !== undefined) {
      types[body.arg.ParamRef.number - 1] = typeOidByName(lastName(body.typeName.names));
    }
    collectParameters(body, types);
  }
}
