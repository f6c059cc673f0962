/**
 * Many writes wait at a gateway with one connection while the path to it becomes silent.
 *
 * Guards against writes that are reported as in doubt, or run twice, because the gateway at which they only
 * waited for a connection does not reply any more.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { waitUntil } from '../../standin/rig/wait-until.js';
import { LendingScene, type TestLender } from '../../test/support/lending-scene.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { Refusal } from '../relay/refusal.js';
import type { Decision } from '../relay/relay-context.js';
import { WriteRunner } from '../relay/write-runner.js';
import type { Route } from '../topology/catalog.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.83.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const WRITES = 200;
const ROUTE = {
  database: 'pay',
  groupName: 'g',
  consistency: 'primary',
  timeoutMs: 3000,
  targetLatencyMs: 100,
  priority: 1,
  maxStalenessMs: 0,
  isPublic: true,
} as const;
/**
 * For writes that are all to be served one after the other. Each takes several turns of the event loop, so that
 * with 3000 and 100 ms a busy machine made admission refuse some of them, or did not serve them in time.
 */
const UNHURRIED_ROUTE: Route = { ...ROUTE, timeoutMs: 60_000, targetLatencyMs: 60_000 };

/** The reasons for which each write was tried again, by its id. */
const retryReasons = new Map<string, string[]>();
let scene: LendingScene;
let first: TestLender;
let second: TestLender;

beforeEach(async () => {
  retryReasons.clear();
  scene = new LendingScene(HOST);
  first = await scene.addLender('g1', 24_021);
  second = await scene.addLender('g2', 24_022);
  for (const { record } of [first, second]) await scene.client.requestEvidence(record, 1000);
});
afterEach(() => scene.close());

/** Starts the writes; each ends as `served` or with the verdict of its refusal. */
function startWrites(lenders: readonly TestLender[], route: Route = ROUTE): Promise<readonly string[]> {
  const { context: quietContext, group } = scene.leaderBehind(lenders);
  const observer = { ...NOOP_OBSERVER, notable: recordRetry };
  const context = { ...quietContext, observer };
  const writes = Array.from({ length: WRITES }, async (_, index) => {
    const job = {
      requestId: `w${index}`,
      statement: { kind: 'plain', payload: 'WRITE t d' },
      route,
      group,
      tenantName: 'one',
      values: new Map<string, string>(),
      deadlineMs: context.now() + route.timeoutMs,
    } as const;
    try {
      const { result } = await new WriteRunner(context, job).run();
      return result.isComplete ? 'served' : result.code;
    } catch (error) {
      assert.ok(error instanceof Refusal, String(error));
      return error.verdict;
    }
  });
  return Promise.all(writes);
}

function recordRetry({ requestId, decision, ...inputs }: Decision): void {
  if (decision !== 'write_again') return;
  const reasons = retryReasons.get(requestId) ?? [];
  retryReasons.set(requestId, [...reasons, String(inputs['reason'])]);
}

/** Number of writes that were tried again for a reason that contains the text. */
function countRetried(reason: string): number {
  return [...retryReasons.values()].filter((reasons) => reasons.some((each) => each.includes(reason))).length;
}

/** Lets another use hold the gateway's only connection, so that all writes wait. */
async function holdConnection(lender: TestLender): Promise<() => void> {
  const demand = {
    tenantName: 'one',
    values: new Map<string, string>(),
    isWrite: true,
    priority: 0,
    dueAtMs: 0,
  };
  const link = await lender.pool.acquire(demand, 1000);
  return () => lender.pool.release(link);
}

test('all are served once through the other gateway', async () => {
  const release = await holdConnection(first);
  const outcomes = startWrites([first, second], UNHURRIED_ROUTE);
  const answers = setInterval(() => second.answer(), 1);
  await waitUntil('writes to wait', () => first.server.openLoans > WRITES / 4);
  scene.silence(first);
  const waiting = first.server.openLoans;
  const counts = new Map<string, number>();
  for (const outcome of await outcomes) counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  clearInterval(answers);
  assert.deepEqual([...counts], [['served', WRITES]]);
  assert.equal(new Set(second.statementIds).size, WRITES);
  assert.equal(second.statements, WRITES);
  // Not only when the connection was closed, or at their deadlines.
  assert.ok(countRetried('the gateway does not reply') >= waiting);
  assert.equal(countRetried('the connection to the gateway was lost'), 0);
  scene.proxy.heal();
  release();
  await waitUntil('the first gateway to end the loans', () => first.server.openLoans === 0);
  assert.equal(first.statements, 0);
});

test('all are refused as not run if there is no other gateway, and none runs later', async () => {
  const release = await holdConnection(first);
  const outcomes = startWrites([first]);
  await waitUntil('the writes to wait', () => first.server.openLoans === WRITES);
  scene.silence(first);
  assert.deepEqual([...new Set(await outcomes)], ['not_run']);
  scene.proxy.heal();
  release();
  await waitUntil('the gateway to end the loans', () => first.server.openLoans === 0);
  assert.equal(first.statements, 0);
});
