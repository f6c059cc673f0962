/**
 * Guards against test runs that fail because of another one on the same machine: deployments had fixed addresses,
 * so the processes of the second run could not listen, or reached those of the first.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AddressBlock, NETWORKS_PER_BLOCK } from './address-block.js';

const NETWORK_ID = 249;

test('two deployments with one network id have different addresses, and a released block can be claimed', async () => {
  const one = await AddressBlock.claim(NETWORK_ID);
  const other = await AddressBlock.claim(NETWORK_ID);
  const first = one.host(0, 1);
  assert.notEqual(first, other.host(0, 1));
  assert.match(first, /^127\.249\.\d+\.1$/);
  one.release();
  const again = await AddressBlock.claim(NETWORK_ID);
  assert.equal(again.host(0, 1), first);
  assert.throws(() => again.host(NETWORKS_PER_BLOCK, 1));
  again.release();
  other.release();
});
