/**
 * What a replica is expected to lack.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MemberConnections } from '../gateway/member-connections.js';
import { Member, type MemberEntry } from './member-group.js';
import { ReplicaLag } from './replica-lag.js';

const ENTRY: MemberEntry = {
  memberId: 'r',
  groupName: 'g',
  host: 'h',
  port: 1,
  zone: 'a',
  slots: 3,
  isDraining: false,
  saysPrimary: false,
  bornMs: null,
};

/** Reads of a replica that is behind by a time, one each 100 ms, whose floors are of all ages up to 1400 ms. */
function turnedDown(behindMs: number, avoidsIt: boolean): number {
  const lag = new ReplicaLag();
  let refused = 0;
  for (let read = 0; read < 200; read += 1) {
    const nowMs = read * 100;
    const ageMs = (read * 370) % 1400;
    if (avoidsIt && ageMs < lag.expectedMs(nowMs)) continue;
    if (ageMs >= behindMs) {
      lag.held(ageMs, nowMs);
    } else {
      lag.lacked(ageMs, nowMs);
      refused += 1;
    }
  }
  return refused;
}

test('few reads are turned down by a replica that is steadily behind', () => {
  assert.ok(turnedDown(150, false) >= 20);
  assert.ok(turnedDown(150, true) <= 10, `${turnedDown(150, true)} turned down`);
});

test('one that catches up is used again after some answers, one that nobody asks after some seconds', () => {
  const lag = new ReplicaLag();
  lag.lacked(1400, 0);
  assert.equal(lag.expectedMs(0), 1400);
  assert.ok(lag.expectedMs(4000) <= 700);
  for (let answer = 0; answer < 20; answer += 1) lag.held(lag.expectedMs(0), 0);
  assert.ok(lag.expectedMs(0) < 200);
});

test('an old floor that was held says nothing of a short lag', () => {
  const lag = new ReplicaLag();
  lag.lacked(150, 0);
  lag.held(1400, 0);
  assert.equal(lag.expectedMs(0), 150);
});

test('a member that has said that it holds a position is never taken to lack it', () => {
  const member = new Member(ENTRY, {} as MemberConnections);
  const floor = { position: { term: 1, index: 5 }, reachedAtMs: 990 };
  member.recordFloor(floor, false, 1000);
  assert.ok(member.isBehind({ ...floor, reachedAtMs: 995 }, 1001), 'too recent for it');
  assert.ok(!member.isBehind({ ...floor, reachedAtMs: 0 }, 1001));
  member.recordPosition({ term: 1, index: 5 }, 1010);
  assert.ok(!member.isBehind(floor, 1011));
});
