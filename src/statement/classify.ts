/**
 * Finds out what a text does, with PostgreSQL's own parser.
 *
 * @packageDocumentation
 */
import { loadModule, parseSync } from 'libpg-query';
import { LRUCache } from 'lru-cache';
import { READ_ONLY_FUNCTIONS } from './read-only-functions.js';
import type { StatementFacts, StatementKind } from './statement-kind.js';

const CACHE_ENTRIES = 5000;
const MAX_CACHED_TEXT_CHARACTERS = 10_000;

const cache = new LRUCache<string, StatementFacts>({ max: CACHE_ENTRIES });

/** Facts about a text that the parser does not understand: it is treated as a write. */
const UNKNOWN: StatementFacts = {
  kind: 'write',
  count: 1,
  controlsTransaction: false,
  leavesSessionState: false,
  isReadOnlyTransaction: false,
};

await loadModule();

/** Facts about a text, without its comments; the result is cached. */
export function classify(text: string): StatementFacts {
  const known = cache.get(text);
  if (known !== undefined) return known;
  const facts = classifyUncached(text);
  if (text.length <= MAX_CACHED_TEXT_CHARACTERS) cache.set(text, facts);
  return facts;
}

/** Facts about several texts that are sent as one request. */
export function combineFacts(facts: readonly StatementFacts[]): StatementFacts {
  const [only] = facts;
  if (only !== undefined && facts.length === 1) return only;
  return {
    kind: combineKinds(facts.map(({ kind }) => kind)),
    count: facts.reduce((total, { count }) => total + count, 0),
    controlsTransaction: facts.some(({ controlsTransaction }) => controlsTransaction),
    leavesSessionState: facts.some(({ leavesSessionState }) => leavesSessionState),
    isReadOnlyTransaction: false,
  };
}

function combineKinds(kinds: readonly StatementKind[]): StatementKind {
  if (kinds.includes('unsupported')) return 'unsupported';
  const [first] = kinds;
  if (first === undefined) return 'read';
  if (kinds.every((kind) => kind === first)) return first;
  return 'write';
}

type Node = Readonly<Record<string, unknown>>;

function classifyUncached(text: string): StatementFacts {
  let statements: readonly { readonly stmt: Node }[];
  try {
    statements = (parseSync(text) as { stmts?: { stmt: Node }[] }).stmts ?? [];
  } catch {
    return UNKNOWN;
  }
  return combineFacts(statements.map(({ stmt }) => classifyStatement(stmt)));
}

const UNSUPPORTED_KINDS: ReadonlySet<string> = new Set([
  'ListenStmt',
  'UnlistenStmt',
  'PrepareStmt',
  'ExecuteStmt',
  'DeallocateStmt',
  'CopyStmt',
  'LoadStmt',
]);

const SESSION_LOCK_FUNCTIONS: ReadonlySet<string> = new Set([
  'pg_advisory_lock',
  'pg_advisory_lock_shared',
  'pg_try_advisory_lock',
  'pg_try_advisory_lock_shared',
]);

function classifyStatement(statement: Node): StatementFacts {
  const [kind, body] = Object.entries(statement)[0] ?? ['', {}];
  const facts = { ...UNKNOWN };
  if (UNSUPPORTED_KINDS.has(kind)) return { ...facts, kind: 'unsupported' };
  switch (kind) {
    case 'SelectStmt':
      return classifySelect(body as Node);
    case 'VariableShowStmt':
      return { ...facts, kind: 'read' };
    case 'VariableSetStmt':
      return (body as Node)['is_local'] === true
        ? facts
        : { ...facts, kind: 'set', leavesSessionState: true };
    case 'DiscardStmt':
      return { ...facts, kind: 'set', leavesSessionState: true };
    case 'TransactionStmt':
      return classifyTransaction(body as Node);
    default:
      return { ...facts, leavesSessionState: isTemporary(body as Node) };
  }
}

function isTemporary(body: Node): boolean {
  return (body['relation'] as Node | undefined)?.['relpersistence'] === 't' && 'tableElts' in body;
}

function classifyTransaction(body: Node): StatementFacts {
  const facts = { ...UNKNOWN, controlsTransaction: true };
  switch (body['kind']) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START': {
      const isReadOnlyTransaction = /transaction_read_only.*"ival":1/.test(
        JSON.stringify(body['options'] ?? ''),
      );
      return { ...facts, kind: 'begin', isReadOnlyTransaction };
    }
    case 'TRANS_STMT_COMMIT':
      return { ...facts, kind: 'commit' };
    case 'TRANS_STMT_ROLLBACK':
      return { ...facts, kind: 'rollback' };
    case 'TRANS_STMT_PREPARE':
    case 'TRANS_STMT_COMMIT_PREPARED':
    case 'TRANS_STMT_ROLLBACK_PREPARED':
      return { ...facts, kind: 'unsupported' };
    default:
      return { ...facts, controlsTransaction: false };
  }
}

interface Findings {
  writes: boolean;
  locksSession: boolean;
}

const WRITING_NODES: ReadonlySet<string> = new Set([
  'InsertStmt',
  'UpdateStmt',
  'DeleteStmt',
  'MergeStmt',
  'IntoClause',
  'intoClause',
  'LockingClause',
]);

function classifySelect(body: Node): StatementFacts {
  const findings: Findings = { writes: false, locksSession: false };
  inspect(body, findings);
  return {
    ...UNKNOWN,
    kind: findings.locksSession ? 'unsupported' : findings.writes ? 'write' : 'read',
  };
}

function inspect(tree: unknown, findings: Findings): void {
  if (tree === null || typeof tree !== 'object') return;
  for (const [name, value] of Object.entries(tree)) {
    if (WRITING_NODES.has(name)) findings.writes = true;
    if (name === 'FuncCall') inspectCall(value as Node, findings);
    inspect(value, findings);
  }
}

function inspectCall(call: Node, findings: Findings): void {
  const names = call['funcname'] as { String?: { sval?: string } }[] | undefined;
  const name = names?.at(-1)?.String?.sval ?? '';
  if (SESSION_LOCK_FUNCTIONS.has(name)) findings.locksSession = true;
  if (!READ_ONLY_FUNCTIONS.has(name)) findings.writes = true;
}
