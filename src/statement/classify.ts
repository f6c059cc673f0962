/**
 * Classifies SQL texts with PostgreSQL's own parser.
 *
 * @packageDocumentation
 */
import { loadModule, parseSync } from 'libpg-query';
import { LRUCache } from 'lru-cache';
import { READ_ONLY_FUNCTIONS } from './read-only-functions.js';
import type { StatementClassification, StatementKind } from './statement-kind.js';

const CACHE_ENTRIES = 5000;
const MAX_CACHED_TEXT_CHARACTERS = 10_000;

const cache = new LRUCache<string, StatementClassification>({ max: CACHE_ENTRIES });

/**
 * Classification of a text that cannot be parsed, which is treated as a write; also the base of all others.
 */
const DEFAULT_CLASSIFICATION: StatementClassification = {
  kind: 'write',
  count: 1,
  controlsTransaction: false,
  leavesSessionState: false,
  isReadOnlyTransaction: false,
};

await loadModule();

/** Classifies a text from which the tags have been removed; the result is cached. */
export function classify(text: string): StatementClassification {
  const cached = cache.get(text);
  if (cached !== undefined) return cached;
  const classification = classifyUncached(text);
  if (text.length <= MAX_CACHED_TEXT_CHARACTERS) cache.set(text, classification);
  return classification;
}

/** Combines the classifications of statements that are sent as one request. */
export function combineClassifications(
  classifications: readonly StatementClassification[],
): StatementClassification {
  const [only] = classifications;
  if (only !== undefined && classifications.length === 1) return only;
  return {
    kind: combineKinds(classifications.map(({ kind }) => kind)),
    count: classifications.reduce((total, { count }) => total + count, 0),
    controlsTransaction: classifications.some(({ controlsTransaction }) => controlsTransaction),
    leavesSessionState: classifications.some(({ leavesSessionState }) => leavesSessionState),
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

type ParseNode = Readonly<Record<string, unknown>>;

function classifyUncached(text: string): StatementClassification {
  let statements: readonly { readonly stmt: ParseNode }[];
  try {
    statements = (parseSync(text) as { stmts?: { stmt: ParseNode }[] }).stmts ?? [];
  } catch {
    return DEFAULT_CLASSIFICATION;
  }
  return combineClassifications(statements.map(({ stmt }) => classifyStatement(stmt)));
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

function classifyStatement(statement: ParseNode): StatementClassification {
  const [kind, body] = Object.entries(statement)[0] ?? ['', {}];
  const defaults = { ...DEFAULT_CLASSIFICATION };
  if (UNSUPPORTED_KINDS.has(kind)) return { ...defaults, kind: 'unsupported' };
  switch (kind) {
    case 'SelectStmt':
      return classifySelect(body as ParseNode);
    case 'VariableShowStmt':
      return { ...defaults, kind: 'read' };
    case 'VariableSetStmt':
      return (body as ParseNode)['is_local'] === true
        ? defaults
        : { ...defaults, kind: 'set', leavesSessionState: true };
    case 'DiscardStmt':
      return { ...defaults, kind: 'set', leavesSessionState: true };
    case 'TransactionStmt':
      return classifyTransaction(body as ParseNode);
    default:
      return { ...defaults, leavesSessionState: isTemporary(body as ParseNode) };
  }
}

function isTemporary(body: ParseNode): boolean {
  return (body['relation'] as ParseNode | undefined)?.['relpersistence'] === 't' && 'tableElts' in body;
}

function classifyTransaction(body: ParseNode): StatementClassification {
  const defaults = { ...DEFAULT_CLASSIFICATION, controlsTransaction: true };
  switch (body['kind']) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START': {
      const isReadOnlyTransaction = /transaction_read_only.*"ival":1/.test(
        JSON.stringify(body['options'] ?? ''),
      );
      return { ...defaults, kind: 'begin', isReadOnlyTransaction };
    }
    case 'TRANS_STMT_COMMIT':
      return { ...defaults, kind: 'commit' };
    case 'TRANS_STMT_ROLLBACK':
      return { ...defaults, kind: 'rollback' };
    case 'TRANS_STMT_PREPARE':
    case 'TRANS_STMT_COMMIT_PREPARED':
    case 'TRANS_STMT_ROLLBACK_PREPARED':
      return { ...defaults, kind: 'unsupported' };
    default:
      return { ...defaults, controlsTransaction: false };
  }
}

interface SelectEffects {
  writes: boolean;
  takesSessionLock: boolean;
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

function classifySelect(body: ParseNode): StatementClassification {
  const effects: SelectEffects = { writes: false, takesSessionLock: false };
  collectEffects(body, effects);
  return {
    ...DEFAULT_CLASSIFICATION,
    kind: effects.takesSessionLock ? 'unsupported' : effects.writes ? 'write' : 'read',
  };
}

function collectEffects(tree: unknown, effects: SelectEffects): void {
  if (tree === null || typeof tree !== 'object') return;
  for (const [name, value] of Object.entries(tree)) {
    if (WRITING_NODES.has(name)) effects.writes = true;
    if (name === 'FuncCall') collectCallEffects(value as ParseNode, effects);
    collectEffects(value, effects);
  }
}

function collectCallEffects(call: ParseNode, effects: SelectEffects): void {
  const names = call['funcname'] as { String?: { sval?: string } }[] | undefined;
  const name = names?.at(-1)?.String?.sval ?? '';
  if (SESSION_LOCK_FUNCTIONS.has(name)) effects.takesSessionLock = true;
  if (!READ_ONLY_FUNCTIONS.has(name)) effects.writes = true;
}
