/**
 * Finds and counts violations of the guaranteed properties in a recorded history.
 *
 * Shares no code with the product.
 *
 * @packageDocumentation
 */
import type { History, LoggedTransaction, MemberRecord, Operation } from './history.js';

/** Properties that are checked in a history. */
export type Property =
  | 'readYourWrites'
  | 'noLostAcknowledgement'
  | 'transactionsApart'
  | 'ownWholeAnswer'
  | 'notRunIsTrue'
  | 'onceOnly'
  | 'connectionLimit';

/** One violation. */
export interface Violation {
  readonly property: Property;
  readonly operationId: string;
  readonly explanation: string;
}

/** Finds all violations in a history. */
export function findViolations(history: History): readonly Violation[] {
  const final = finalLogs(history.members);
  return [
    ...checkReadYourWrites(history.operations),
    ...checkAcknowledged(history.operations, final),
    ...checkTransactions(final),
    ...checkAnswers(history.operations),
    ...checkNotRun(history),
    ...checkOnce(history.operations, final),
    ...checkConnections(history.members),
  ];
}

/** Number of violations by property, including properties without violations. */
export function countViolations(violations: readonly Violation[]): Record<Property, number> {
  const counts: Record<Property, number> = {
    readYourWrites: 0,
    noLostAcknowledgement: 0,
    transactionsApart: 0,
    ownWholeAnswer: 0,
    notRunIsTrue: 0,
    onceOnly: 0,
    connectionLimit: 0,
  };
  for (const { property } of violations) counts[property] += 1;
  return counts;
}

/** The surviving log of each database: the log of the primary with the highest term. */
function finalLogs(members: readonly MemberRecord[]): Map<string, readonly LoggedTransaction[]> {
  const primaries = new Map<string, MemberRecord>();
  for (const member of members) {
    const known = primaries.get(member.database);
    if (member.isPrimary && (known === undefined || member.term > known.term))
      primaries.set(member.database, member);
  }
  return new Map([...primaries].map(([database, member]) => [database, member.log]));
}

/** A read that began after an acknowledged write of its session must see that write or a later one. */
function checkReadYourWrites(operations: readonly Operation[]): Violation[] {
  const violations: Violation[] = [];
  const bySession = groupBy(operations, ({ session, key }) => `${session} ${key}`);
  for (const sessionOperations of bySession.values()) {
    const writes = sessionOperations.filter(({ kind, outcome }) => kind === 'write' && outcome === 'ok');
    for (const read of sessionOperations) {
      if (read.kind !== 'read' || read.outcome !== 'ok') continue;
      const earlier = writes.filter(({ endedMs }) => endedMs <= read.startedMs);
      const newest = Math.max(0, ...earlier.map(({ version }) => version));
      if (read.observedVersion >= newest) continue;
      const explanation = `saw version ${read.observedVersion} after version ${newest} was acknowledged`;
      violations.push({ property: 'readYourWrites', operationId: read.operationId, explanation });
    }
  }
  return violations;
}

/** Every acknowledged operation must be in the surviving log. */
function checkAcknowledged(
  operations: readonly Operation[],
  final: ReadonlyMap<string, readonly LoggedTransaction[]>,
): Violation[] {
  const survived = idsByDatabase(final);
  return operations
    .filter(
      ({ kind, outcome }) => kind !== 'read' && (outcome === 'ok' || (kind === 'once' && outcome === 'ran')),
    )
    .filter((operation) => !isLogged(operation, survived.get(operation.database)))
    .map(({ operationId, outcome }) => ({
      property: 'noLostAcknowledgement',
      operationId,
      explanation: `answered ${outcome}, but not in the surviving log`,
    }));
}

function isLogged(operation: Operation, ids: ReadonlySet<string> | undefined): boolean {
  if (operation.kind === 'once' && operation.outcome === 'ran') {
    return [...(ids ?? [])].some((id) => onceKeyOf(id) === operation.onceKey);
  }
  return ids?.has(operation.operationId) ?? false;
}

/** Each log entry must contain the rows of one operation only, and each transaction must be in one entry. */
function checkTransactions(final: ReadonlyMap<string, readonly LoggedTransaction[]>): Violation[] {
  const violations: Violation[] = [];
  for (const log of final.values()) {
    const entryIndexes = new Map<string, number>();
    for (const { index, operationIds } of log) {
      const distinct = new Set(operationIds);
      const [first = ''] = distinct;
      if (distinct.size > 1) {
        const explanation = `log entry ${index} holds rows of ${[...distinct].join(' and ')}`;
        violations.push({ property: 'transactionsApart', operationId: first, explanation });
      }
      for (const id of distinct) {
        const other = entryIndexes.get(id);
        if (other !== undefined && id.startsWith('transaction')) {
          const explanation = `rows of one transaction are in log entries ${other} and ${index}`;
          violations.push({ property: 'transactionsApart', operationId: id, explanation });
        }
        entryIndexes.set(id, index);
      }
    }
  }
  return violations;
}

/** Each read must receive the answer to its own request. */
function checkAnswers(operations: readonly Operation[]): Violation[] {
  return operations
    .filter(({ kind, outcome }) => kind === 'read' && outcome === 'ok')
    .filter(({ operationId, echoedId }) => echoedId !== operationId)
    .map(({ operationId, echoedId }) => ({
      property: 'ownWholeAnswer',
      operationId,
      explanation: `got the answer of "${echoedId}"`,
    }));
}

/** An operation answered with `not_run` must not be in any member's log. */
function checkNotRun({ operations, members }: History): Violation[] {
  const loggedIds = new Set(members.flatMap(({ log }) => log.flatMap(({ operationIds }) => operationIds)));
  return operations
    .filter(
      ({ kind, outcome, operationId }) =>
        kind !== 'read' && outcome === 'not_run' && loggedIds.has(operationId),
    )
    .map(({ operationId }) => ({
      property: 'notRunIsTrue',
      operationId,
      explanation: 'answered not_run, but is in a log',
    }));
}

/** Each once-only key must be in the surviving log at most once, and be acknowledged at most once. */
function checkOnce(
  operations: readonly Operation[],
  final: ReadonlyMap<string, readonly LoggedTransaction[]>,
): Violation[] {
  const violations: Violation[] = [];
  const runs = new Map<string, number>();
  for (const log of final.values()) {
    for (const { operationIds } of log) {
      for (const id of new Set(operationIds)) {
        const onceKey = onceKeyOf(id);
        if (onceKey !== '') runs.set(onceKey, (runs.get(onceKey) ?? 0) + 1);
      }
    }
  }
  for (const [onceKey, count] of runs) {
    if (count > 1)
      violations.push({ property: 'onceOnly', operationId: onceKey, explanation: `ran ${count} times` });
  }
  const acknowledged = operations.filter(({ kind, outcome }) => kind === 'once' && outcome === 'ok');
  for (const [onceKey, list] of groupBy(acknowledged, (operation) => operation.onceKey)) {
    if (list.length <= 1) continue;
    violations.push({
      property: 'onceOnly',
      operationId: onceKey,
      explanation: `acknowledged ${list.length} times`,
    });
  }
  return violations;
}

/** No member may have refused connections above its limit. */
function checkConnections(members: readonly MemberRecord[]): Violation[] {
  return members
    .filter(({ refusedConnections }) => refusedConnections > 0)
    .map(({ memberId, refusedConnections, connectionLimit }) => ({
      property: 'connectionLimit',
      operationId: memberId,
      explanation: `refused ${refusedConnections} connections above its limit of ${connectionLimit}`,
    }));
}

/** Operation ids of once-only writes are `once/KEY/ATTEMPT`. */
function onceKeyOf(operationId: string): string {
  const [kind, onceKey] = operationId.split('/');
  return kind === 'once' ? (onceKey ?? '') : '';
}

function idsByDatabase(final: ReadonlyMap<string, readonly LoggedTransaction[]>): Map<string, Set<string>> {
  return new Map(
    [...final].map(([database, log]) => [database, new Set(log.flatMap((entry) => entry.operationIds))]),
  );
}

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group === undefined) groups.set(keyOf(item), [item]);
    else group.push(item);
  }
  return groups;
}
