import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ByteBudget } from './byte-budget.js';

test('holders share a budget beyond their reserves, and a reserve is granted when it is used up', () => {
  const budget = new ByteBudget(100, 10);
  assert.equal(budget.resize(0, 110), true);
  assert.equal(budget.usedBytes, 100);
  assert.equal(budget.resize(0, 11), false);
  assert.equal(budget.resize(0, 10), true);
  assert.equal(budget.resize(110, 60), true);
  assert.equal(budget.resize(10, 60), true);
  assert.equal(budget.resize(60, 61), false);
  assert.equal(budget.resize(60, 0), true);
  assert.equal(budget.resize(60, 0), true);
  assert.equal(budget.usedBytes, 0);
});
