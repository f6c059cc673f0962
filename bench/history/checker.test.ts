/**
 * Guards against a checker that misses violations: it must find a planted violation of each property, and
 * none in a history without violations.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { countViolations, findViolations, type Property } from './checker.js';
import type { History, MemberRecord, Operation } from './history.js';

const WRITE: Operation = {
  operationId: 'write/1',
  kind: 'write',
  database: 'quotes',
  session: 's1',
  daemonId: 'd1',
  key: 'k1',
  version: 3,
  onceKey: '',
  startedMs: 0,
  endedMs: 10,
  outcome: 'ok',
  sqlState: '',
  observedVersion: 0,
  echoedId: '',
};
const READ: Operation = {
  ...WRITE,
  operationId: 'read/2',
  kind: 'read',
  version: 0,
  startedMs: 11,
  endedMs: 12,
  observedVersion: 3,
  echoedId: 'read/2',
};
const ONCE: Operation = { ...WRITE, operationId: 'once/o1/1', kind: 'once', onceKey: 'o1', key: 'k2' };
const PRIMARY: MemberRecord = {
  memberId: 'm1',
  database: 'quotes',
  term: 2,
  isPrimary: true,
  log: [
    { term: 1, index: 1, operationIds: ['write/1'] },
    { term: 1, index: 2, operationIds: ['once/o1/1'] },
    { term: 2, index: 3, operationIds: ['transaction/4', 'transaction/4'] },
  ],
  highestConnections: 10,
  connectionLimit: 35,
  refusedConnections: 0,
};
const SOUND: History = { operations: [WRITE, READ, ONCE], members: [PRIMARY] };

function withLog(...operationIds: string[][]): MemberRecord {
  return { ...PRIMARY, log: operationIds.map((ids, i) => ({ term: 2, index: i + 1, operationIds: ids })) };
}

const PLANTED: Readonly<Record<Property, History>> = {
  readYourWrites: { ...SOUND, operations: [WRITE, { ...READ, observedVersion: 2 }, ONCE] },
  noLostAcknowledgement: {
    ...SOUND,
    operations: [...SOUND.operations, { ...WRITE, operationId: 'write/9' }],
  },
  transactionsApart: { ...SOUND, members: [withLog(['write/1', 'transaction/4'], ['once/o1/1'])] },
  ownWholeAnswer: { ...SOUND, operations: [WRITE, { ...READ, echoedId: 'read/7' }, ONCE] },
  notRunIsTrue: { ...SOUND, operations: [{ ...WRITE, outcome: 'not_run' }, ONCE] },
  onceOnly: { ...SOUND, members: [withLog(['write/1'], ['once/o1/1'], ['once/o1/2'])] },
  connectionLimit: { ...SOUND, members: [{ ...PRIMARY, refusedConnections: 1 }] },
};

test('a sound history has no violations', () => {
  assert.deepEqual(findViolations(SOUND), []);
});

for (const [property, history] of Object.entries(PLANTED) as [Property, History][]) {
  test(`a planted violation of ${property} is found, and nothing else`, () => {
    const counts = countViolations(findViolations(history));
    const found = Object.entries(counts).filter(([, count]) => count > 0);
    assert.deepEqual(found, [[property, 1]]);
  });
}

test('a transaction whose rows are in two log entries is found', () => {
  const history: History = { operations: [], members: [withLog(['transaction/4'], ['transaction/4'])] };
  assert.equal(countViolations(findViolations(history)).transactionsApart, 1);
});
