/**
 * When a daemon asks for clients.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Readiness } from './readiness.js';

test('a daemon is ready once the leader of every group is proven', () => {
  const readiness = new Readiness();
  readiness.look(0, 14, 0);
  readiness.look(13, 14, 100);
  assert.equal(readiness.isReady, false);
  readiness.look(14, 14, 200);
  assert.equal(readiness.isReady, true);
  readiness.look(0, 14, 300);
  assert.equal(readiness.isReady, true, 'and stays so');
});

test('a group without a leader keeps nobody away from the others for long', () => {
  const readiness = new Readiness();
  readiness.look(5, 14, 0);
  readiness.look(13, 14, 1199);
  assert.equal(readiness.isReady, false);
  readiness.look(13, 14, 1200);
  assert.equal(readiness.isReady, true);
});

test('without any evidence it is not ready, however long it waits', () => {
  const readiness = new Readiness();
  readiness.look(0, 14, 0);
  readiness.look(0, 14, 60_000);
  assert.equal(readiness.isReady, false);
});
