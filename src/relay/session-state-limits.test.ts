import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ByteBudget } from '../common/byte-budget.js';
import type { RelayContext } from './relay-context.js';
import { Session } from './session.js';
import type { Statement } from './statement.js';

const CONTEXT = {
  now: () => 0,
  shutdownSchedule: () => null,
  catalog: { document: null },
  observer: { requestEnded: () => undefined, notable: () => undefined },
} as unknown as RelayContext;
const LONG = 'x'.repeat(20 * 1024);

/** Sends statements that are made from a number until one is refused; gives how many were taken, and the refusal. */
async function takenBy(
  session: Session,
  statementOf: (index: number) => Statement,
): Promise<[number, string]> {
  for (let index = 0; index < 100; index += 1) {
    const { result } = await session.handle({
      requestId: 'r',
      statement: statementOf(index),
      receivedAtMs: 0,
    });
    if (!result.isComplete) return [index, result.refusal.code];
  }
  return [100, 'none'];
}

const set = (index: number): Statement => ({ kind: 'set', name: `n${index}`, value: LONG });
const prepare = (index: number): Statement => ({
  kind: 'prepare',
  name: `n${index}`,
  prepared: { isWrite: false, shape: LONG },
});

test('the session values and prepared names of a session are bounded in bytes', async () => {
  for (const statementOf of [set, prepare])
    assert.deepEqual(await takenBy(new Session(CONTEXT, 'db', null), statementOf), [3, 'too_large']);
});

test('a value or name that is replaced or deallocated counts no more', async () => {
  const session = new Session(CONTEXT, 'db', null);
  assert.deepEqual(await takenBy(session, () => set(0)), [100, 'none']);
  assert.deepEqual(
    await takenBy(session, (index) => (index % 2 === 0 ? prepare(0) : { kind: 'deallocate', name: 'n0' })),
    [100, 'none'],
  );
});

test('all sessions together do not exceed the budget, and a closed session leaves it', async () => {
  const budget = new ByteBudget(50 * 1024, 1024);
  const [first, second] = [0, 1].map(() => new Session(CONTEXT, 'db', null, budget));
  assert.ok(first !== undefined && second !== undefined);
  assert.deepEqual(await takenBy(first, set), [2, 'too_large']);
  assert.deepEqual(await takenBy(second, set), [0, 'too_large']);
  assert.deepEqual(await takenBy(second, () => ({ kind: 'set', name: 'a', value: 'short' })), [100, 'none']);
  first.close();
  assert.deepEqual(await takenBy(second, set), [2, 'too_large']);
});
