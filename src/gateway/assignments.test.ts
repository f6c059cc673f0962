/**
 * Who connects to members before a fleet knows itself.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fleetOf } from '../../test/support/daemon-records.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { MemberEntry } from '../topology/member-group.js';
import { Assignments } from './assignments.js';

const MEMBERS = Array.from({ length: 14 }, (_, index): MemberEntry => ({
  memberId: `m${index}`,
  groupName: 'g',
  host: 'h',
  port: 1,
  zone: 'a',
  slots: 2,
  isDraining: false,
  saysPrimary: false,
  bornMs: null,
}));

/** The assignments of one daemon, to which the store shows some of the fleet. */
function assignmentsOf(
  ownName: string,
  live: readonly DaemonRecord[],
  expected: readonly DaemonRecord[],
  ageMs: number,
): Assignments {
  return new Assignments({
    ownName,
    daemons: (isYoung) => (isYoung ? expected : live),
    connectionLimit: (groupName) => (groupName === 'g' ? 27 : 9),
    hasTenants: () => false,
    startedAtMs: () => 0,
    now: () => ageMs,
  });
}

test('before any daemon is known, nobody connects', () => {
  const assignments = assignmentsOf('d0', [], [], 0);
  for (const member of MEMBERS) assert.equal(assignments.budget(member), 0);
});

test('daemons that start together keep to the limit, though each has heard of few others yet', () => {
  const fleet = fleetOf(195);
  for (const member of MEMBERS) {
    let planned = 0;
    for (const [index, { name }] of fleet.entries())
      planned += assignmentsOf(name, fleet.slice(0, index % 7), fleet, 100).budget(member);
    assert.ok(planned <= 24, `connections to ${member.memberId}: ${planned}`);
  }
});

test('a daemon that runs for a while plans with those that take part', () => {
  const fleet = fleetOf(195);
  const assignments = assignmentsOf('d0', fleet.slice(0, 6), fleet, 10_000);
  for (const member of MEMBERS) assert.equal(assignments.budget(member), 4);
});

test('an id whose next life has other slots, another zone or another group is assigned anew', () => {
  const fleet = fleetOf(60);
  const [member] = MEMBERS;
  assert.ok(member !== undefined);
  for (const change of [{ slots: 1 }, { zone: 'b' }, { groupName: 'other' }]) {
    const known = assignmentsOf('d0', fleet, fleet, 10_000);
    known.of(member);
    const fresh = assignmentsOf('d0', fleet, fleet, 10_000);
    const next: MemberEntry = { ...member, ...change, bornMs: 1 };
    assert.deepEqual(known.of(next), fresh.of(next), JSON.stringify(change));
  }
});
