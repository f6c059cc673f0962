/**
 * Reads at the leader of a group that is proven to lead, for tests of restarted leaders.
 *
 * @packageDocumentation
 */
import type { Position } from '../../src/position/position.js';
import type { MemberReply } from '../../src/relay/member-link.js';
import { ReadRunner } from '../../src/relay/read-runner.js';
import type { RelayContext } from '../../src/relay/relay-context.js';
import { Transaction } from '../../src/relay/transaction.js';
import { Catalog, type Route } from '../../src/topology/catalog.js';
import type { MemberGroup } from '../../src/topology/member-group.js';
import { PROCESS_TERM, readFakeStatus } from './fake-process.js';
import { NOOP_OBSERVER } from './noop-observer.js';
import { NOT_ISOLATED } from './not-isolated.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from './no-tenancy.js';

/** Timeout of a request, in milliseconds; long enough for several retries. */
const TIMEOUT_MS = 120;

/** The clock of the scenes, in monotonic milliseconds. */
export const now = (): number => performance.now();

const ROUTE: Route = {
  database: 'stock',
  groupName: 'g',
  consistency: 'primary',
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: TIMEOUT_MS,
  priority: 2,
  maxStalenessMs: 1500,
  isPublic: true,
};

/** A group and the context of its requests. */
export interface LeaderScene {
  readonly group: MemberGroup;
  readonly context: RelayContext;
}

/** Adds valid evidence for the leader of a group, which has reported the position `held`, or none. */
export function createLeaderScene(group: MemberGroup, held: Position | null): LeaderScene {
  group.recordLeader({ memberId: 'leader', term: PROCESS_TERM }, held);
  group.evidence.recordWitness(PROCESS_TERM, 0, now());
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: NOOP_OBSERVER,
    group: () => group,
    now,
    shutdownSchedule: () => null,
    isolation: NOT_ISOLATED,
    suspect: () => undefined,
    readStatus: readFakeStatus,
  };
  return { group, context };
}

/** Runs a read outside a transaction. */
export function read({ group, context }: LeaderScene): Promise<MemberReply> {
  return new ReadRunner(context, {
    requestId: 'r',
    statement: { kind: 'plain', payload: 'READ r' },
    route: ROUTE,
    group,
    tenantName: 'one',
    values: new Map(),
    sessionFloor: null,
    receivedAtMs: context.now(),
    deadlineMs: context.now() + TIMEOUT_MS,
  }).run();
}

/** Begins a transaction, read-only by default, and runs its first read. */
export function begin({ group, context }: LeaderScene, isReadOnly = true): Promise<MemberReply> {
  const options = {
    route: ROUTE,
    group,
    isReadOnly,
    receivedAtMs: context.now(),
    tenantName: 'one',
    sessionFloor: null,
  };
  return new Transaction(context, options).run({
    requestId: 'r',
    statement: { kind: 'plain', payload: 'READ r' },
    kind: 'read',
    values: new Map(),
    deadlineMs: context.now() + TIMEOUT_MS,
  });
}
