/**
 * When a daemon becomes ready for clients.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Readiness } from './readiness.js';

test('a daemon is ready once every group has evidence of a leader', () => {
  const readiness = new Readiness();
  readiness.update(0, 14, 0);
  readiness.update(13, 14, 100);
  assert.equal(readiness.isReady, false);
  readiness.update(14, 14, 200);
  assert.equal(readiness.isReady, true);
  readiness.update(0, 14, 300);
  assert.equal(readiness.isReady, true, 'readiness does not revert');
});

test('a group without a leader delays readiness only for a limited time', () => {
  const readiness = new Readiness();
  readiness.update(5, 14, 0);
  readiness.update(13, 14, 1199);
  assert.equal(readiness.isReady, false);
  readiness.update(13, 14, 1200);
  assert.equal(readiness.isReady, true);
});

test('a daemon without evidence of any leader never becomes ready', () => {
  const readiness = new Readiness();
  readiness.update(0, 14, 0);
  readiness.update(0, 14, 60_000);
  assert.equal(readiness.isReady, false);
});
