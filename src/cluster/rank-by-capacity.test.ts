/**
 * Ranking of daemons for a key.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { preferredDaemons, rankOf } from './rank-by-capacity.js';

const FLEET = Array.from({ length: 60 }, (_, index) =>
  daemonRecord(`d${index}`, { capacity: 1 + (index % 3) }),
);

test('the preferred daemons are the head of the full ranking, whatever the input order', () => {
  const all = preferredDaemons('key', FLEET, FLEET.length);
  assert.equal(new Set(all).size, FLEET.length);
  const reversed = [...FLEET].reverse();
  for (const count of [0, 1, 4, 59, 60])
    assert.deepEqual(preferredDaemons('key', reversed, count), all.slice(0, count));
});

test('the rank of a daemon is its index in the full ranking', () => {
  const all = preferredDaemons('key', FLEET, FLEET.length);
  for (const [index, { name }] of all.entries()) assert.equal(rankOf('key', FLEET, name), index);
  assert.equal(rankOf('key', FLEET, 'unknown'), -1);
});
