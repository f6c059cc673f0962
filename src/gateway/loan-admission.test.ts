/**
 * Requests that gateways refuse because of the expected wait for a connection.
 *
 * Guards against a borrower that waits at a loaded gateway until its deadline while another gateway of the member
 * has a free connection, and against one that asks gateways again and again when all are loaded.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { NOT_ISOLATED } from '../../test/support/not-isolated.js';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { SlowLink } from '../../test/support/slow-link.js';
import { AdmissionError } from '../admission/admission-error.js';
import { delay } from '../common/signal.js';
import type { LinkPool } from '../relay/link-pool.js';
import type { LinkDemand } from '../relay/link-queue.js';
import type { MemberReply } from '../relay/member-link.js';
import { ReadRunner } from '../relay/read-runner.js';
import { Refusal } from '../relay/refusal.js';
import type { RelayContext } from '../relay/relay-context.js';
import { WriteRunner } from '../relay/write-runner.js';
import { Catalog, type Route } from '../topology/catalog.js';
import { Member, MemberGroup } from '../topology/member-group.js';
import { BorrowedLink } from './borrowed-link.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer } from './gateway-server.js';
import { notSentReply } from './loan.js';
import { MemberConnections } from './member-connections.js';
import { createLenderPool, createLenderResources } from '../../test/support/lender.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.76.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const TIMEOUT_MS = 400;
const USE_MS = 25;
/** Waiting requests that need longer than the timeout. */
const BACKLOG = 30;
const DEMAND: LinkDemand = {
  tenantName: 'one',
  values: new Map(),
  isWrite: false,
  priority: 0,
  dueAtMs: 1e12,
};
const ROUTE: Route = {
  database: 'stock',
  groupName: 'g',
  consistency: 'primary',
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: 100,
  priority: 1,
  maxStalenessMs: 0,
  isPublic: true,
};

/** A gateway with one connection to the member. */
class Gateway {
  readonly link = new SlowLink();
  readonly pool = createPool(1, this.link);
  readonly record;
  readonly server = new GatewayServer(createLenderResources(() => this.pool));

  constructor(name: string, gatewayPort: number) {
    this.record = daemonRecord(name, { host: HOST, gatewayPort });
  }

  /** Uses the connection so often that the time of a use is known, and lets requests wait for it. */
  async load(waiting: number): Promise<void> {
    for (let i = 0; i < 8; i += 1) {
      const link = await this.pool.acquire(DEMAND, TIMEOUT_MS);
      await delay(USE_MS);
      this.pool.release(link);
    }
    if (waiting === 0) return;
    await this.pool.acquire(DEMAND, TIMEOUT_MS);
    for (let i = 0; i < waiting; i += 1) this.pool.acquire(DEMAND, TIMEOUT_MS * 3).catch(() => undefined);
  }
}

function createPool(budget: number, link: SlowLink): LinkPool {
  return createLenderPool(
    { dial: () => Promise.resolve(link) },
    {
      address: { memberId: 'leader', groupName: 'g', host: 'h', port: 1 },
      budget: () => budget,
      serviceMs: () => 5,
    },
  );
}

let gateways: readonly Gateway[];
let client: GatewayClient;
let group: MemberGroup;
let context: RelayContext;

beforeEach(async () => {
  gateways = [new Gateway('g1', 23_861), new Gateway('g2', 23_862)];
  for (const { server, record } of gateways) await server.listen(HOST, record.gatewayPort);
  client = new GatewayClient(HOST, () => performance.now(), Math.random);
  const connections = new MemberConnections({
    groupName: 'g',
    memberId: 'leader',
    bornMs: () => null,
    pool: createPool(0, new SlowLink()),
    gatewayClient: client,
    assignment: () => ({ gateways: gateways.map(({ record }) => record), standbys: [], budget: 0 }),
    tenantShare: () => 1,
    fallbackLenders: () => [],
    ownName: 'borrower',
  });
  group = new MemberGroup('g');
  const entry = {
    ...{ memberId: 'leader', groupName: 'g', host: 'h', port: 1, zone: 'a', slots: 1 },
    ...{ isDraining: false, saysPrimary: true, bornMs: null },
  };
  group.members.set('leader', new Member(entry, connections));
  group.evidence.observeLeader({ memberId: 'leader', term: 1 });
  context = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    isolation: NOT_ISOLATED,
    observer: NOOP_OBSERVER,
    group: () => group,
    now: () => performance.now(),
    shutdownSchedule: () => null,
    readStatus: () => null,
    suspect: () => undefined,
  };
});
afterEach(() => {
  client.close();
  for (const { server } of gateways) server.close();
});

function write(): Promise<MemberReply> {
  group.evidence.recordWitness(1, 0, performance.now());
  return new WriteRunner(context, {
    requestId: 'w',
    statement: { kind: 'plain', payload: 'WRITE w' },
    route: ROUTE,
    group,
    tenantName: 'one',
    values: new Map(),
    deadlineMs: performance.now() + TIMEOUT_MS,
  }).run();
}

function read(): Promise<MemberReply> {
  group.evidence.recordWitness(1, 0, performance.now());
  return new ReadRunner(context, {
    requestId: 'r',
    statement: { kind: 'plain', payload: 'READ r' },
    route: ROUTE,
    group,
    tenantName: 'one',
    values: new Map(),
    sessionFloor: null,
    receivedAtMs: performance.now(),
    deadlineMs: performance.now() + TIMEOUT_MS,
  }).run();
}

test('a write or read that both gateways of the leader refuse is refused at once, with the largest retry time', async () => {
  await Promise.all(gateways.map((gateway, index) => gateway.load(BACKLOG * (index + 1))));
  for (const send of [write, read]) {
    const startedAtMs = performance.now();
    const refusal = await send().catch((error: unknown) => error);
    assert.ok(refusal instanceof Refusal, String(refusal));
    assert.deepEqual([refusal.code, refusal.verdict], ['busy', 'not_run']);
    assert.ok((refusal.retryAfterMs ?? 0) > USE_MS * BACKLOG * 1.8, `${refusal.retryAfterMs} ms`);
    assert.equal(refusal.details.gateway, 'g2');
    assert.ok(performance.now() - startedAtMs < TIMEOUT_MS / 2, 'not held');
  }
  assert.ok(gateways.every(({ link }) => link.executed.length === 0));
});

test('a write that one gateway refuses goes to the other at once', async () => {
  const [loaded, free] = gateways;
  assert.ok(loaded !== undefined && free !== undefined);
  await loaded.load(BACKLOG);
  const answering = setInterval(() => free.link.answer(), 1);
  for (let i = 0; i < 6; i += 1) assert.equal((await write()).result.isComplete, true);
  clearInterval(answering);
  assert.equal(loaded.link.executed.length, 0);
  assert.equal(free.link.executed.length, 6);
});

test('a refusal with an invalid retry time, or one that is not marked, is handled as by earlier builds', async () => {
  const terms = { groupName: 'g', memberId: 'm', tenantName: 'one', priority: 1, waitMs: 100 };
  const connection = {
    hasGrants: () => false,
    requestFirstMessage: () => undefined,
    transmit: () => undefined,
    withdraw: () => false,
    ended: () => undefined,
  };
  const link = new BorrowedLink({ type: 'borrow', loan: 1, ...terms }, 'g1', connection);
  const request = { kind: 'status' } as const;
  for (const retryAfterMs of [Number.NaN, -1, 1e9, '50' as unknown as number]) {
    const reply = link.send(request);
    link.handleRefusal(notSentReply('gateway: full'), retryAfterMs);
    assert.equal((await reply).result.isComplete, false);
  }
  const refused = link.send(request);
  link.handleRefusal(notSentReply('gateway: full'), 120);
  await assert.rejects(refused, (error: unknown) => {
    assert.ok(error instanceof AdmissionError);
    assert.deepEqual([error.retryAfterMs, error.gateway], [120, 'g1']);
    return true;
  });
});
