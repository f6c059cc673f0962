/**
 * Verdicts of requests that are sent more than once.
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

type Answer = 'lost' | 'notOwner';

function target(daemonId: string, answer: Answer): RequestTarget {
  return {
    daemonId,
    forward: (_request, sink) => (answer === 'lost' ? sink.lost() : sink.notOwner()),
    closeStream: () => undefined,
    cancel: () => undefined,
  };
}

/** Routes a request whose first attempt is answered in one way and all others in another. */
async function routeAndFail(first: Answer, others: Answer, request: StatementRequest): Promise<RequestError> {
  let attempts = 0;
  const router = new RequestRouter({
    targets: () => [target('d1', attempts++ === 0 ? first : others)],
    decide: () => ({ ...DEFAULT_DECISION, deadlineMs: 30 }),
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

test('a write that may not repeat is not sent again', async () => {
  const error = await routeAndFail('lost', 'lost', { ...REQUEST, onceKey: null });
  assert.equal(error.verdict, 'may_have_run');
  assert.equal(error.sqlState, '40003');
});

test('a statement of an open transaction that was lost is rolled back: not run', async () => {
  const router = new RequestRouter({
    targets: () => [],
    decide: () => DEFAULT_DECISION,
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

test('a request that waited while the process was paused is begun nowhere', async () => {
  let hasPaused = false;
  const begun: string[] = [];
  const first: RequestTarget = {
    ...target('d1', 'notOwner'),
    forward: (_request, sink) => {
      // The process is paused while its own engine has the request; when it goes on, another daemon owns the database.
      hasPaused = true;
      sink.notOwner();
    },
  };
  const second: RequestTarget = {
    ...target('d2', 'notOwner'),
    forward: (_request, sink) => {
      begun.push('d2');
      sink.end('I');
    },
  };
  const router = new RequestRouter({
    targets: () => [first, second],
    decide: () => DEFAULT_DECISION,
    hasPausedSince: () => hasPaused,
    random: () => 0.5,
  });
  const error = await new Promise<RequestError>((resolve, reject) => {
    const sink = {
      data: () => undefined,
      end: () => reject(new Error('begun')),
      fail: resolve,
      notOwner: () => reject(new Error('not owner')),
    };
    void router.route(REQUEST, 'I', { target: null }, new CancelSignal(), sink);
  });
  assert.deepEqual(begun, []);
  assert.equal(error.verdict, 'not_run');
});

test('a target is told that a request is awaited no longer once the process has been paused', async () => {
  let hasPaused = false;
  const answers: boolean[] = [];
  const only: RequestTarget = {
    ...target('d1', 'notOwner'),
    forward: (_request, sink, isAwaited) => {
      answers.push(isAwaited());
      hasPaused = true;
      answers.push(isAwaited());
      sink.end('I');
    },
  };
  const router = new RequestRouter({
    targets: () => [only],
    decide: () => DEFAULT_DECISION,
    hasPausedSince: () => hasPaused,
    random: () => 0.5,
  });
  await new Promise<void>((resolve, reject) => {
    const sink = { data: () => undefined, end: () => resolve(), fail: reject, notOwner: reject };
    void router.route(REQUEST, 'I', { target: null }, new CancelSignal(), sink);
  });
  assert.deepEqual(answers, [true, false]);
});
