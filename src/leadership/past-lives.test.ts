/**
 * What is concluded from positions of members that started again, and of leaders that stepped down.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ZERO_POSITION, type Position } from '../position/position.js';
import type { MemberStatus } from '../relay/member-link.js';
import type { Member } from '../topology/member-group.js';
import { LostLives } from './lost-lives.js';
import { StepDowns } from './step-downs.js';

const TERM = 3;
/** For how long a loss is counted, in milliseconds. */
const COUNTED_MS = 30_000;

const at = (index: number, term = TERM): Position => ({ term, index });
const status = (received: Position, term = TERM): MemberStatus => ({
  isPrimary: false,
  term,
  pausedForTerm: 0,
  received,
});
const X = { entry: { memberId: 'x', bornMs: null } } as unknown as Member;

/** Members of which something is missing, where the furthest replica has come so far. */
function missing(lost: LostLives, furthest: Position, nowMs = 10): number {
  return lost.uncovered([furthest], null, nowMs).length;
}

describe('a log that has become shorter', () => {
  test('is a loss, though it is not empty', () => {
    const lost = new LostLives();
    lost.heard(X, status(at(9)), 0);
    lost.heard(X, status(at(4)), 1);
    assert.equal(missing(lost, at(9)), 1);
  });

  test('is none where a promotion took back what the new leader lacked', () => {
    const lost = new LostLives();
    lost.heard(X, status(at(9)), 0);
    lost.heard(X, status(at(8), TERM + 1), 1);
    assert.equal(missing(lost, at(9)), 0);
  });

  test('is covered by a replica that has come as far as the leader was after it', () => {
    const lost = new LostLives();
    lost.heard(X, status(at(9)), 0);
    lost.heard(X, status(ZERO_POSITION), 1);
    lost.record(at(12), 2);
    assert.equal(missing(lost, at(11)), 1);
    assert.equal(missing(lost, at(12)), 0);
  });

  test('is counted for its time, and not where the group holds nothing', () => {
    const lost = new LostLives();
    lost.heard(X, status(ZERO_POSITION), 0);
    assert.equal(missing(lost, ZERO_POSITION), 0);
    assert.equal(missing(lost, at(1), COUNTED_MS - 1), 1);
    assert.equal(missing(lost, at(1), COUNTED_MS), 0);
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
      'a nearer one stays',
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
