/**
 * Encoding and decoding of evidence that daemons exchange.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EvidenceResponder, EvidenceReader, type SharedEvidence } from './evidence-exchange.js';

function evidenceOf(memberId: string, ageMs: number): SharedEvidence {
  return { groupName: 'g', memberId, term: 1, held: null, ageMs };
}

test('the leaders are sent once, and again when they change', () => {
  let evidence = [evidenceOf('m1', 10)];
  const answers = new EvidenceResponder(() => evidence);
  const reader = new EvidenceReader();
  const first = answers.answer(reader.knownVersion);
  assert.deepEqual(reader.read(first), evidence);
  evidence = [evidenceOf('m1', 20)];
  const second = answers.answer(reader.knownVersion);
  assert.equal(second.leaders, null);
  assert.deepEqual(reader.read(second), evidence);
  evidence = [evidenceOf('m2', 5)];
  const third = answers.answer(reader.knownVersion);
  assert.notEqual(third.leaders, null);
  assert.deepEqual(reader.read(third), evidence);
});

test('a reply that refers to an older list is not decoded with a newer one', () => {
  let evidence = [evidenceOf('m1', 10)];
  const answers = new EvidenceResponder(() => evidence);
  const reader = new EvidenceReader();
  reader.read(answers.answer(reader.knownVersion));
  const old = answers.answer(reader.knownVersion);
  evidence = [evidenceOf('m2', 5)];
  reader.read(answers.answer(reader.knownVersion));
  assert.deepEqual(reader.read(old), []);
});

test('each requester is answered according to the version that it has', () => {
  const answers = new EvidenceResponder(() => [evidenceOf('m1', 10)]);
  const one = new EvidenceReader();
  const other = new EvidenceReader();
  one.read(answers.answer(one.knownVersion));
  assert.equal(answers.answer(one.knownVersion).leaders, null);
  assert.equal(other.read(answers.answer(other.knownVersion)).length, 1);
});
