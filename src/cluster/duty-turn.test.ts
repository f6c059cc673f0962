/**
 * Who asks for a free duty, and when.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DaemonRecord } from './daemon-record.js';
import { dutyTurnMs } from './duty-turn.js';

function fleetOf(size: number): readonly DaemonRecord[] {
  return Array.from({ length: size }, (_, index) => ({
    name: `d${index}`,
    life: 'l',
    host: 'h',
    port: 1,
    gatewayPort: 2,
    zone: 'a',
    capacity: 1,
  }));
}

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
