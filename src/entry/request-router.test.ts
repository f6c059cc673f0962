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
