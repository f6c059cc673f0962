/**
 * Estimation of the lag of a replica.
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

/**
 * Number of rejected reads of a replica with constant lag: one read every 100 ms, with floors of all ages up
 * to 1400 ms.
 */
function refusedReads(behindMs: number, skipsExpectedLag: boolean): number {
  const lag = new ReplicaLag();
  let refused = 0;
  for (let read = 0; read < 200; read += 1) {
    const nowMs = read * 100;
    const ageMs = (read * 370) % 1400;
    if (skipsExpectedLag && ageMs < lag.expectedMs(nowMs)) continue;
    if (ageMs >= behindMs) {
      lag.recordHeld(ageMs, nowMs);
    } else {
      lag.recordBehind(ageMs, nowMs);
      refused += 1;
    }
  }
  return refused;
}

test('a replica with constant lag rejects few reads', () => {
  assert.ok(refusedReads(150, false) >= 20);
  assert.ok(refusedReads(150, true) <= 10, `${refusedReads(150, true)} rejected`);
});

test('a replica is used again a few answers after it has caught up, or some seconds after the last read', () => {
  const lag = new ReplicaLag();
  lag.recordBehind(1400, 0);
  assert.equal(lag.expectedMs(0), 1400);
  assert.ok(lag.expectedMs(4000) <= 700);
  for (let answer = 0; answer < 20; answer += 1) lag.recordHeld(lag.expectedMs(0), 0);
  assert.ok(lag.expectedMs(0) < 200);
});

test('an old floor that was held does not reduce a short expected lag', () => {
  const lag = new ReplicaLag();
  lag.recordBehind(150, 0);
  lag.recordHeld(1400, 0);
  assert.equal(lag.expectedMs(0), 150);
});

test('a member that has reported a position is never assumed to lack it', () => {
  const member = new Member(ENTRY, {} as MemberConnections);
  const floor = { position: { term: 1, index: 5 }, reachedAtMs: 990 };
  member.recordFloorResult(floor, false, 1000);
  assert.ok(member.isBehind({ ...floor, reachedAtMs: 995 }, 1001), 'too recent for its lag');
  assert.ok(!member.isBehind({ ...floor, reachedAtMs: 0 }, 1001));
  member.recordPosition({ term: 1, index: 5 }, 1010);
  assert.ok(!member.isBehind(floor, 1011));
});
