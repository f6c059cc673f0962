/**
 * Order in which daemons claim a vacant promotion duty.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { daemonRecords } from '../../test/support/daemon-records.js';
import { dutyClaimDelayMs } from './duty-claim-delay.js';

test('three daemons claim immediately, whatever the fleet size, and no delay exceeds the maximum', () => {
  for (const size of [1, 2, 6, 195, 900]) {
    const fleet = daemonRecords(size);
    const turns = fleet.map(({ name }) => dutyClaimDelayMs(name, fleet));
    assert.equal(turns.filter((turn) => turn === 0).length, Math.min(3, size));
    assert.ok(Math.max(...turns) <= 1500);
  }
});

test('a daemon that does not see its own record yet claims immediately', () => {
  assert.equal(dutyClaimDelayMs('new', daemonRecords(20)), 0);
});
