/**
 * Charges of tenants for connection time.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FairShares } from './fair-shares.js';

const NONE_WAITING = Number.POSITIVE_INFINITY;

/** Shares in which amber and birch wait. */
function sharesOf(weightOf: (tenantName: string) => number = () => 1): FairShares {
  const shares = new FairShares(weightOf);
  shares.join('amber');
  shares.join('birch');
  return shares;
}

test('a charge is divided by the weight of the tenant', () => {
  const shares = sharesOf((tenantName) => (tenantName === 'amber' ? 4 : 1));
  shares.charge('amber', 20, 0);
  shares.charge('birch', 20, 0);
  assert.equal(shares.startTagOf('amber'), 5);
  assert.equal(shares.startTagOf('birch'), 20);
});

test('a weight that has changed applies once the tenant no longer waits', () => {
  let weight = 1;
  const shares = new FairShares(() => weight);
  shares.join('amber');
  weight = 2;
  shares.charge('amber', 10, 0);
  assert.equal(shares.startTagOf('amber'), 10);
  shares.leave('amber');
  shares.charge('amber', 10, 0);
  assert.equal(shares.startTagOf('amber'), 15);
});

test('an estimate that was too low is corrected at the end of the use', () => {
  const shares = sharesOf();
  shares.charge('amber', 10, 0);
  shares.settle('amber', 10, 35);
  assert.equal(shares.startTagOf('amber'), 35);
});

test('an estimate that was too high reduces later charges, so that start tags never decrease', () => {
  const shares = sharesOf();
  shares.charge('amber', 10, 0);
  shares.settle('amber', 10, 4);
  assert.equal(shares.startTagOf('amber'), 10);
  shares.charge('amber', 10, 0);
  assert.equal(shares.startTagOf('amber'), 14);
});

test('an idle tenant gets no credit for its idle time', () => {
  const shares = sharesOf();
  for (let use = 0; use < 10; use += 1) {
    shares.charge('amber', 10, shares.startTagOf('amber'));
    shares.charge('birch', 10, shares.startTagOf('birch'));
  }
  assert.equal(shares.join('cedar').startTag, 90, 'the tag of the last request that was served');
});

test('a grant out of order does not raise newcomers above tenants that wait in order', () => {
  const shares = sharesOf();
  for (let use = 0; use < 10; use += 1) shares.charge('amber', 10, shares.startTagOf('birch'));
  assert.equal(shares.join('cedar').startTag, 0, 'as birch, which has received nothing');
});

test('capacity that nobody else asked for is not charged against later requests', () => {
  const shares = new FairShares(() => 1);
  for (let use = 0; use < 10; use += 1) shares.charge('amber', 10, NONE_WAITING);
  assert.equal(shares.join('birch').startTag, 90);
  assert.equal(shares.join('amber').startTag, 100);
});

test('no account is kept once nothing waits or is in use', () => {
  const shares = sharesOf();
  shares.charge('cedar', 10, 0);
  shares.leave('amber');
  shares.leave('birch');
  assert.equal(shares.accountCount, 1);
  shares.settle('cedar', 10, 10);
  assert.equal(shares.accountCount, 0);
  assert.equal(shares.startTagOf('cedar'), 0);
});
