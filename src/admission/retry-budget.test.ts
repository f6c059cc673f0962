/**
 * Budget of retries.
 *
 * Guards against retries that multiply an overload, and against a budget that delays single retries.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget } from './retry-budget.js';

function takeAll(budget: RetryBudget): number {
  let taken = 0;
  while (budget.tryTake()) taken += 1;
  return taken;
}

test('ten retries are allowed at once, then one for every ten first attempts', () => {
  const budget = new RetryBudget();
  assert.equal(takeAll(budget), 10);
  for (let i = 0; i < 9; i += 1) budget.recordFirstAttempt();
  assert.equal(budget.tryTake(), false);
  for (let i = 0; i < 12; i += 1) budget.recordFirstAttempt();
  assert.equal(takeAll(budget), 2);
});

test('first attempts without retries save no more than ten tokens', () => {
  const budget = new RetryBudget();
  for (let i = 0; i < 10_000; i += 1) budget.recordFirstAttempt();
  assert.equal(takeAll(budget), 10);
});

test('when every attempt is refused, retries add a tenth to the load', () => {
  const budget = new RetryBudget();
  let sent = 0;
  for (let i = 0; i < 5000; i += 1) {
    budget.recordFirstAttempt();
    sent += 1;
    for (let retry = 0; retry < 50 && budget.tryTake(); retry += 1) sent += 1;
  }
  assert.ok(sent <= 5000 * 1.1 + 10, `${sent} sent`);
});
