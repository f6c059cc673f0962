/**
 * Verdicts of requests that are forwarded more than once, that find no owner, or that wait during a pause of
 * the process.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancelSignal } from '../common/cancel-signal.js';
import type { StatementRequest } from '../engine/statement-request.js';
import { DEFAULT_DECISION } from '../policy/policy.js';
import type { RequestError } from '../verdict/verdict.js';
import { RequestRouter, type RequestTarget } from './request-router.js';

const REQUEST: StatementRequest = {
  database: 'quotes',
  user: 'agent',
  streamId: 's',
  session: 's',
  zone: 'a',
  requestClass: '',
  onceKey: 'issue-1',
  kind: 'write',
  isReadOnlyTransaction: false,
  leavesSessionState: false,
  controlsTransaction: false,
  settings: [],
  prepared: [],
  frames: new Uint8Array(),
  terminator: 'query',
  continues: 'nothing',
  remainingMs: null,
};

type Outcome = 'lost' | 'notOwner';

function target(daemonId: string, outcome: Outcome): RequestTarget {
  return {
    daemonId,
    forward: (_request, sink) => (outcome === 'lost' ? sink.lost() : sink.notOwner()),
    closeStream: () => undefined,
    cancel: () => undefined,
  };
}

/**
 * Routes a request whose first attempt has the outcome `first` and whose later attempts have the outcome
 * `others`.
 */
async function routeAndFail(
  first: Outcome,
  others: Outcome,
  request: StatementRequest,
): Promise<RequestError> {
  let attempts = 0;
  const router = new RequestRouter({
    targets: () => [target('d1', attempts++ === 0 ? first : others)],
    evaluatePolicy: () => ({ ...DEFAULT_DECISION, deadlineMs: 30 }),
    hasPausedSince: () => false,
    random: () => 0.5,
  });
  return new Promise((resolve, reject) => {
    const sink = {
      data: () => undefined,
      end: () => reject(new Error('ended')),
      fail: (error: RequestError) => resolve(error),
      notOwner: () => reject(new Error('not owner')),
    };
    void router.route(request, 'I', { target: null }, new CancelSignal(), sink);
  });
}

test('a request that found no owner was not run', async () => {
  const error = await routeAndFail('notOwner', 'notOwner', REQUEST);
  assert.equal(error.verdict, 'not_run');
  assert.ok((error.retryAfterMs ?? 0) > 0);
});

test('a once-only request that was lost and then found no owner may have run', async () => {
  const error = await routeAndFail('lost', 'notOwner', REQUEST);
  assert.equal(error.verdict, 'may_have_run');
});

test('a write that is not repeatable is not retried', async () => {
  const error = await routeAndFail('lost', 'lost', { ...REQUEST, onceKey: null });
  assert.equal(error.verdict, 'may_have_run');
  assert.equal(error.sqlState, '40003');
});

test('a statement of an open transaction whose daemon was lost is reported as not run', async () => {
  const router = new RequestRouter({
    targets: () => [],
    evaluatePolicy: () => DEFAULT_DECISION,
    hasPausedSince: () => false,
    random: () => 0.5,
  });
  const failure = await new Promise<{ readonly error: RequestError; readonly status: string }>((resolve) => {
    const sink = {
      data: () => undefined,
      end: () => undefined,
      fail: (error: RequestError, status: string) => resolve({ error, status }),
      notOwner: () => undefined,
    };
    const binding = { target: target('d1', 'lost') };
    void router.route({ ...REQUEST, onceKey: null }, 'T', binding, new CancelSignal(), sink);
  });
  assert.equal(failure.error.verdict, 'not_run');
  assert.equal(failure.error.endsTransaction, true);
  assert.equal(failure.status, 'E');
});

test('a request that waited while the process was paused is not started on any daemon', async () => {
  let hasPaused = false;
  const startedOn: string[] = [];
  const first: RequestTarget = {
    ...target('d1', 'notOwner'),
    forward: (_request, sink) => {
      // The process is paused while the local engine has the request; afterwards another daemon owns the
      // database.
      hasPaused = true;
      sink.notOwner();
    },
  };
  const second: RequestTarget = {
    ...target('d2', 'notOwner'),
    forward: (_request, sink) => {
      startedOn.push('d2');
      sink.end('I');
    },
  };
  const router = new RequestRouter({
    targets: () => [first, second],
    evaluatePolicy: () => DEFAULT_DECISION,
    hasPausedSince: () => hasPaused,
    random: () => 0.5,
  });
  const error = await new Promise<RequestError>((resolve, reject) => {
    const sink = {
      data: () => undefined,
      end: () => reject(new Error('started')),
      fail: resolve,
      notOwner: () => reject(new Error('not owner')),
    };
    void router.route(REQUEST, 'I', { target: null }, new CancelSignal(), sink);
  });
  assert.deepEqual(startedOn, []);
  assert.equal(error.verdict, 'not_run');
});

test('isAwaited returns false once the process has been paused', async () => {
  let hasPaused = false;
  const results: boolean[] = [];
  const only: RequestTarget = {
    ...target('d1', 'notOwner'),
    forward: (_request, sink, isAwaited) => {
      results.push(isAwaited());
      hasPaused = true;
      results.push(isAwaited());
      sink.end('I');
    },
  };
  const router = new RequestRouter({
    targets: () => [only],
    evaluatePolicy: () => DEFAULT_DECISION,
    hasPausedSince: () => hasPaused,
    random: () => 0.5,
  });
  await new Promise<void>((resolve, reject) => {
    const sink = { data: () => undefined, end: () => resolve(), fail: reject, notOwner: reject };
    void router.route(REQUEST, 'I', { target: null }, new CancelSignal(), sink);
  });
  assert.deepEqual(results, [true, false]);
});
