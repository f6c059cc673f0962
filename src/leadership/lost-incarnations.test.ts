/**
 * Conclusions from the log positions of members that restarted, and of leaders that stepped down.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ZERO_POSITION, type Position } from '../position/position.js';
import type { MemberStatus } from '../relay/member-link.js';
import type { Member } from '../topology/member-group.js';
import { LostIncarnations } from './lost-incarnations.js';
import { StepDowns } from './step-downs.js';

const TERM = 3;
/** Time for which a lost incarnation counts as missing, in milliseconds. */
const LOSS_TTL_MS = 30_000;

const at = (index: number, term = TERM): Position => ({ term, index });
const status = (received: Position, term = TERM): MemberStatus => ({
  isPrimary: false,
  term,
  pausedForTerm: 0,
  received,
});
const RESTARTED = { entry: { memberId: 'x', bornMs: null } } as unknown as Member;

/** Number of members with a lost incarnation that is not covered by a replica at the position `furthest`. */
function uncoveredCount(lost: LostIncarnations, furthest: Position, nowMs = 10): number {
  return lost.uncovered([furthest], null, nowMs).length;
}

describe('a log that has become shorter', () => {
  test('is a loss, though it is not empty', () => {
    const lost = new LostIncarnations();
    lost.recordStatus(RESTARTED, status(at(9)), 0);
    lost.recordStatus(RESTARTED, status(at(4)), 1);
    assert.equal(uncoveredCount(lost, at(9)), 1);
  });

  test('is no loss where a promotion truncated what the new leader lacked', () => {
    const lost = new LostIncarnations();
    lost.recordStatus(RESTARTED, status(at(9)), 0);
    lost.recordStatus(RESTARTED, status(at(8), TERM + 1), 1);
    assert.equal(uncoveredCount(lost, at(9)), 0);
  });

  test('is covered by a replica that has come as far as the leader was after it', () => {
    const lost = new LostIncarnations();
    lost.recordStatus(RESTARTED, status(at(9)), 0);
    lost.recordStatus(RESTARTED, status(ZERO_POSITION), 1);
    lost.recordLeaderPosition(at(12), 2);
    assert.equal(uncoveredCount(lost, at(11)), 1);
    assert.equal(uncoveredCount(lost, at(12)), 0);
  });

  test('counts as a loss for a limited time, and not in a group without entries', () => {
    const lost = new LostIncarnations();
    lost.recordStatus(RESTARTED, status(ZERO_POSITION), 0);
    assert.equal(uncoveredCount(lost, ZERO_POSITION), 0);
    assert.equal(uncoveredCount(lost, at(1), LOSS_TTL_MS - 1), 1);
    assert.equal(uncoveredCount(lost, at(1), LOSS_TTL_MS), 0);
  });
});

describe('a leader that has stepped down', () => {
  const unknown = { latest: at(5), limit: null };

  test('bounds what was acknowledged in its term, and in no other', () => {
    const stepDowns = new StepDowns();
    stepDowns.record(TERM, status(at(7)));
    assert.deepEqual(stepDowns.bound(TERM, unknown), { latest: at(5), limit: at(7) });
    assert.deepEqual(stepDowns.bound(TERM + 1, unknown), unknown);
    assert.deepEqual(
      stepDowns.bound(TERM, { latest: at(5), limit: at(6) }).limit,
      at(6),
      'a lower limit is kept',
    );
  });

  test('bounds nothing when it holds less than is known to have been acknowledged: it is another life', () => {
    const stepDowns = new StepDowns();
    stepDowns.record(TERM, status(at(4)));
    assert.deepEqual(stepDowns.bound(TERM, unknown), unknown);
  });

  test('bounds nothing when it holds nothing, or follows a later leader already', () => {
    const stepDowns = new StepDowns();
    const nothingKnown = { latest: ZERO_POSITION, limit: null };
    stepDowns.record(TERM, status(ZERO_POSITION));
    stepDowns.record(TERM, status(at(7), TERM + 2));
    assert.deepEqual(stepDowns.bound(TERM, nothingKnown), nothingKnown);
  });
});
