/**
 * Load reports on replies of a gateway, and the choice of a gateway by them.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { SlowLink } from '../../test/support/slow-link.js';
import { waitUntil } from '../../standin/rig/wait-until.js';
import type { LoadReport } from '../placement/load-report.js';
import { REPORT_INTERVAL_MS } from '../placement/report-schedule.js';
import { GatewayClient } from './gateway-client.js';
import { GatewayServer, type GatewayResources } from './gateway-server.js';
import { createLenderPool, createLenderResources } from '../../test/support/lender.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.76.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const RECORD = daemonRecord('gateway', { host: HOST, gatewayPort: 23_861, zone: 'b' });
const TERMS = { groupName: 'g', memberId: 'm', bornMs: null, tenantName: null, priority: 1, waitMs: 5000 };
const READ = { kind: 'statement', requestId: 'r', payload: 'READ t', after: null } as const;
/** Time in which the member of the test answers, in milliseconds; the gateway reports it as held. */
const ANSWER_MS = 40;

let link: SlowLink;
let server: GatewayServer;
let client: GatewayClient;
let invalidFrom: string[];

beforeEach(() => {
  link = new SlowLink();
  invalidFrom = [];
  client = new GatewayClient(
    HOST,
    () => performance.now(),
    Math.random,
    (name) => void invalidFrom.push(name),
  );
});
afterEach(() => {
  client.close();
  server.close();
});

/** Starts a gateway that reports loads with `load`, or reports nothing like one of the build before. */
async function startGateway(load?: () => LoadReport | null): Promise<void> {
  const pool = createLenderPool({ dial: () => Promise.resolve(link) });
  const resources: GatewayResources = {
    ...createLenderResources(() => pool),
    ...(load === undefined ? {} : { load }),
  };
  server = new GatewayServer(resources);
  await server.listen(HOST, RECORD.gatewayPort);
}

/** Runs a read over a loan. */
async function read(): Promise<void> {
  const loan = client.borrow(RECORD, TERMS);
  const reply = loan.send(READ);
  await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
  await waitUntil('the member to receive the request', () => link.answer());
  assert.equal((await reply).result.isComplete, true);
  loan.close();
}

test('a reply brings the load of the gateway and the round trip without the time of the member', async () => {
  await startGateway(() => ({ inUse: 3, waiting: 2, serviceMs: 0 }));
  // The event loop may delay some of the messages; the smallest round trip counts.
  for (let round = 0; round < 5; round += 1) {
    await read();
    await new Promise((resolve) => setTimeout(resolve, REPORT_INTERVAL_MS));
  }
  const load = client.loads.find('m', 'gateway');
  assert.equal(load?.reportedLoad, 5);
  const serviceMs = client.loads.serviceMs('m', performance.now()) ?? 0;
  assert.ok(serviceMs >= ANSWER_MS - 5, `${serviceMs}`);
  const roundTripMs = client.zoneLatency.roundTripMs('b', performance.now()) ?? Number.NaN;
  assert.ok(roundTripMs >= 0 && roundTripMs < ANSWER_MS, `${roundTripMs}`);
  assert.deepEqual(invalidFrom, []);
});

test('replies that follow at once bring no further report', async () => {
  let reports = 0;
  await startGateway(() => {
    reports += 1;
    return { inUse: 1, waiting: 0, serviceMs: 0 };
  });
  const startMs = performance.now();
  for (let round = 0; round < 3; round += 1) await read();
  const intervals = Math.floor((performance.now() - startMs) / REPORT_INTERVAL_MS);
  assert.ok(reports >= 1 && reports <= 1 + intervals, `${reports}`);
});

test('a reply with an absurd report is delivered, and the report is ignored', async () => {
  await startGateway(() => ({ inUse: Number.NaN, waiting: -1, serviceMs: 0 }));
  await read();
  assert.deepEqual(invalidFrom, ['gateway']);
  assert.equal(client.loads.find('m', 'gateway')?.weight(performance.now()), 0);
  assert.equal(client.zoneLatency.roundTripMs('b', performance.now()), null);
});

test('a gateway of the build before reports nothing, and its replies are used', async () => {
  await startGateway();
  await read();
  assert.equal(client.loads.find('m', 'gateway')?.weight(performance.now()), 0);
  assert.deepEqual(invalidFrom, []);
});

test('of two gateways the one with the lower reported load is borrowed from; without reports all are', async () => {
  await startGateway();
  const other = daemonRecord('other', { host: HOST, gatewayPort: 23_862 });
  const chosen = (): Set<string | undefined> =>
    new Set(Array.from({ length: 40 }, () => client.choose([RECORD, other], [], 'm')?.name));
  assert.equal(chosen().size, 2);
  const now = performance.now();
  client.loads.entry('m', 'gateway').record({ inUse: 4, waiting: 5, serviceMs: 30 }, false, now);
  client.loads.entry('m', 'other').record({ inUse: 1, waiting: 0, serviceMs: 30 }, false, now);
  assert.deepEqual([...chosen()], ['other']);
});
