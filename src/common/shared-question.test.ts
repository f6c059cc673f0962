/**
 * Many who ask at once, one question.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SharedQuestion } from './shared-question.js';

/** Questions that are answered by hand, in order. */
function scene(): { question: SharedQuestion<number>; answer: (value: number) => void; put: () => number } {
  const open: ((value: number) => void)[] = [];
  let count = 0;
  const question = new SharedQuestion<number>(() => {
    count += 1;
    return new Promise((resolve) => open.push(resolve));
  });
  return { question, answer: (value) => open.shift()?.(value), put: () => count };
}

test('whoever asks while a question is under way is given the answer to the next', async () => {
  const { question, answer, put } = scene();
  const first = question.ask();
  const others = Array.from({ length: 200 }, () => question.ask());
  assert.equal(put(), 1);
  answer(1);
  assert.equal(await first, 1);
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(put(), 2);
  answer(2);
  assert.deepEqual(new Set(await Promise.all(others)), new Set([2]));
  assert.equal(put(), 2);
});

test('a question that fails does not fail those who asked later', async () => {
  let count = 0;
  const question = new SharedQuestion<number>(() => {
    count += 1;
    return count === 1 ? Promise.reject(new Error('lost')) : Promise.resolve(count);
  });
  const first = question.ask();
  const second = question.ask();
  await assert.rejects(first, /lost/);
  assert.equal(await second, 2);
});
