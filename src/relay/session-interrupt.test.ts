/**
 * A request that is interrupted while its quota is charged: guards against a statement that is sent to a member
 * after its client was told that it was not run.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ALWAYS_PROVEN } from '../../test/support/no-tenancy.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { NOT_ISOLATED } from '../../test/support/not-isolated.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import type { Charge } from '../quota/operation-quotas.js';
import { digestKey } from '../tenancy/key-digest.js';
import { TenantRegistry } from '../tenancy/tenant-registry.js';
import { Catalog } from '../topology/catalog.js';
import type { RelayContext } from './relay-context.js';
import { Session } from './session.js';
import type { Statement } from './statement.js';

const KEY = digestKey('key');
const TENANT = { name: 'amber', quota: { ratePerS: 10, burst: 10 }, priority: 0 };
const ROUTE = {
  database: 'stock',
  groupName: 'g',
  consistency: 'primary' as const,
  timeoutMs: 500,
  targetLatencyMs: 500,
  priority: 0,
  maxStalenessMs: 0,
  isPublic: false,
};

/** A session whose charges are answered by the test, at a group whose members count dials. */
function setUp() {
  const catalog = new Catalog();
  catalog.offer({
    version: 1,
    routes: new Map([[ROUTE.database, ROUTE]]),
    groups: new Map(),
    tenants: new TenantRegistry([{ tenant: TENANT, keys: KEY === null ? [] : [KEY] }]),
    transactionIdleMs: 10_000,
    maxMessageBytes: 1_000_000,
  });
  const state = { dials: 0, refunds: 0 };
  const dialer = {
    dial: () => {
      state.dials += 1;
      return new Promise<never>(() => undefined);
    },
  };
  const now = (): number => performance.now();
  const group = createTestGroup({ leader: dialer }, now);
  group.evidence.observeLeader({ memberId: 'leader', term: 1 });
  group.evidence.recordWitness(1, 0, now());
  const charges: ((charge: Charge) => void)[] = [];
  const context: RelayContext = {
    catalog,
    configurationLease: ALWAYS_PROVEN,
    quotas: { charge: () => new Promise((resolve) => charges.push(resolve)) },
    zone: 'a',
    observer: NOOP_OBSERVER,
    group: () => group,
    now,
    shutdownSchedule: () => null,
    isolation: NOT_ISOLATED,
    suspect: () => undefined,
    readStatus: () => null,
  };
  const session = new Session(context, ROUTE.database, KEY);
  const grant = (): void => charges.shift()?.({ kind: 'charged', refund: () => void (state.refunds += 1) });
  return { session, state, grant };
}

const STATEMENTS: readonly Statement[] = [
  { kind: 'write', payload: 'WRITE x 1' },
  { kind: 'read', payload: 'READ x' },
  { kind: 'begin', isReadOnly: false },
];

for (const statement of STATEMENTS) {
  test(`a ${statement.kind} that is interrupted while it is charged is never sent`, async () => {
    const { session, state, grant } = setUp();
    const answering = session.handle({ requestId: '1', statement, receivedAtMs: performance.now() });
    session.interrupt();
    const { result } = await answering;
    assert.ok(!result.isComplete && result.refusal.verdict === 'not_run');
    grant();
    await new Promise((resolve) => setTimeout(resolve, 5));
    assert.deepEqual({ ...state, transaction: session.state }, { dials: 0, refunds: 1, transaction: 'idle' });
    session.close();
  });
}
