/**
 * Assignments while daemons start and know only part of the fleet, and after a member's entry changes.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { daemonRecords } from '../../test/support/daemon-records.js';
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

/** The assignments of one daemon, for which the store lists only `live`. */
function assignmentsOf(
  ownName: string,
  live: readonly DaemonRecord[],
  expected: readonly DaemonRecord[],
  ageMs: number,
): Assignments {
  return new Assignments({
    ownName,
    daemons: (isStartingUp) => (isStartingUp ? expected : live),
    connectionLimit: (groupName) => (groupName === 'g' ? 27 : 9),
    hasTenants: () => false,
    startedAtMs: () => 0,
    now: () => ageMs,
  });
}

test('no daemon connects before any daemon is known', () => {
  const assignments = assignmentsOf('d0', [], [], 0);
  for (const member of MEMBERS) assert.equal(assignments.budget(member), 0);
});

test('daemons that start together stay within the limit, although each knows few others yet', () => {
  const fleet = daemonRecords(195);
  for (const member of MEMBERS) {
    let planned = 0;
    for (const [index, { name }] of fleet.entries())
      planned += assignmentsOf(name, fleet.slice(0, index % 7), fleet, 100).budget(member);
    assert.ok(planned <= 24, `connections to ${member.memberId}: ${planned}`);
  }
});

test('after the startup period, connections are assigned among the live daemons', () => {
  const fleet = daemonRecords(195);
  const assignments = assignmentsOf('d0', fleet.slice(0, 6), fleet, 10_000);
  for (const member of MEMBERS) assert.equal(assignments.budget(member), 4);
});

test('a member whose new incarnation has other slots, another zone or another group is assigned anew', () => {
  const fleet = daemonRecords(60);
  const [member] = MEMBERS;
  assert.ok(member !== undefined);
  for (const change of [{ slots: 1 }, { zone: 'b' }, { groupName: 'other' }]) {
    const cached = assignmentsOf('d0', fleet, fleet, 10_000);
    cached.of(member);
    const fresh = assignmentsOf('d0', fleet, fleet, 10_000);
    const next: MemberEntry = { ...member, ...change, bornMs: 1 };
    assert.deepEqual(cached.of(next), fresh.of(next), JSON.stringify(change));
  }
});
