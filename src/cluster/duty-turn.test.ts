/**
 * Who asks for a free duty, and when.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fleetOf } from '../../test/support/daemon-records.js';
import { dutyTurnMs } from './duty-turn.js';

test('three ask at once, however many there are, and nobody waits for long', () => {
  for (const size of [1, 2, 6, 195, 900]) {
    const fleet = fleetOf(size);
    const turns = fleet.map(({ name }) => dutyTurnMs(name, fleet));
    assert.equal(turns.filter((turn) => turn === 0).length, Math.min(3, size));
    assert.ok(Math.max(...turns) <= 1500);
  }
});

test('a daemon that does not know its own record yet asks at once', () => {
  assert.equal(dutyTurnMs('new', fleetOf(20)), 0);
});
