/**
 * A leader that restarts under its id and does not answer the holder of the duty, while all its replicas do.
 *
 * Guards against a group that has no leader until the new incarnation answers, 30 s and more (soak profile
 * reborn, seed 9015, RECOVER). The promotion waited for the member with the leader's id like for any other,
 * although everything acknowledged had been received by another member. The log showed
 * `received=core-m2:1.6,core-m3:1.6 missed=core-m1 led=core-m1 missing=1 limit=null`, then
 * `promotion_given_up`, every 1.2 s.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';
import { restartMember, type KeptData } from '../../test/support/restart-member.js';
import { hasReached, type Position } from '../position/position.js';

const COMMIT: Position = { term: FIRST_TERM, index: 2 };
/** Time for several attempts of a promotion, in milliseconds. */
const ATTEMPTS_MS = 1500;

/**
 * A group with start times of its members, led by `old`. A daemon has lost the record of what it
 * acknowledged.
 */
function groupWithIncarnations(): ModelledGroup {
  const fixture = new ModelledGroup(['old', 'one', 'two']);
  for (const memberId of ['old', 'one', 'two'])
    fixture.group.removeFormer(restartMember(fixture, memberId, 'log'));
  fixture.member('old').isPrimary = true;
  fixture.group.recordLeader({ memberId: 'old', term: FIRST_TERM }, fixture.member('old').received);
  const answer = { latest: { term: FIRST_TERM, index: 0 }, limit: null };
  fixture.orderOutcomes.set('d2', { kind: 'answered', answer });
  return fixture;
}

/** Restarts the leader. Its next incarnation does not answer the holder of the duty. */
function restartLeader(fixture: ModelledGroup, kept: KeptData): void {
  restartMember(fixture, 'old', kept);
  fixture.member('old').isUnreachableFromHolder = true;
}

describe('the unresponsive next incarnation of a leader', () => {
  for (const kept of ['nothing', 'log'] as const) {
    /** The failure was that each attempt was abandoned, and the group was not led within the time. */
    test(`is not waited for when all replicas of the term are heard (it kept ${kept})`, async () => {
      const fixture = groupWithIncarnations();
      assert.ok(fixture.commit(fixture.member('old')));
      restartLeader(fixture, kept);
      assert.ok(await fixture.completesPromotionWithin(ATTEMPTS_MS), fixture.events.join(', '));
      const leader = ['one', 'two'].map((id) => fixture.member(id)).find(({ isPrimary }) => isPrimary);
      assert.ok(leader !== undefined && hasReached(leader.received, COMMIT), fixture.events.join(', '));
    });
  }

  test('is not waited for in a group in which nothing was committed', async () => {
    const fixture = groupWithIncarnations();
    restartLeader(fixture, 'nothing');
    assert.ok(await fixture.completesPromotionWithin(ATTEMPTS_MS), fixture.events.join(', '));
  });

  /**
   * The commit was received by the replica that does not answer, and is in the log that the next incarnation
   * has kept.
   */
  test('is waited for while a replica does not answer', async () => {
    const fixture = groupWithIncarnations();
    fixture.member('two').isReplicationStopped = true;
    assert.ok(fixture.commit(fixture.member('old')));
    fixture.member('one').isUnreachableFromHolder = true;
    restartLeader(fixture, 'log');
    assert.equal(await fixture.completesPromotionWithin(ATTEMPTS_MS), false, fixture.events.join(', '));
  });

  test('is waited for while a leaving replica does not answer', async () => {
    const fixture = groupWithIncarnations();
    fixture.member('two').isReplicationStopped = true;
    assert.ok(fixture.commit(fixture.member('old')));
    const leaving = fixture.group.members.get('one');
    assert.ok(leaving);
    leaving.leavingSinceMs = performance.now();
    fixture.member('one').isUnreachableFromHolder = true;
    restartLeader(fixture, 'log');
    assert.equal(await fixture.completesPromotionWithin(ATTEMPTS_MS), false, fixture.events.join(', '));
  });

  test('is waited for while the last position of a departed replica is unknown', async () => {
    const fixture = groupWithIncarnations();
    fixture.member('two').isReplicationStopped = true;
    assert.ok(fixture.commit(fixture.member('old')));
    fixture.delist('one');
    fixture.member('one').state = 'ended';
    restartLeader(fixture, 'log');
    assert.equal(await fixture.completesPromotionWithin(ATTEMPTS_MS), false, fixture.events.join(', '));
  });

  test('is waited for when the only replica with the commit has restarted without its log', async () => {
    const fixture = groupWithIncarnations();
    fixture.member('two').isReplicationStopped = true;
    assert.ok(fixture.commit(fixture.member('old')));
    restartMember(fixture, 'one', 'nothing');
    restartLeader(fixture, 'log');
    assert.equal(await fixture.completesPromotionWithin(ATTEMPTS_MS), false, fixture.events.join(', '));
  });

  /**
   * The commit was acknowledged in an earlier term, when the leader of this one was the replica that received
   * it.
   */
  test('is waited for when the replicas lack what the term began with', async () => {
    const fixture = groupWithIncarnations();
    fixture.member('two').isReplicationStopped = true;
    fixture.member('one').isReplicationStopped = true;
    const old = fixture.member('old');
    old.received = COMMIT;
    const before = FIRST_TERM;
    old.term = before + 1;
    for (const memberId of ['one', 'two']) fixture.member(memberId).term = before + 1;
    fixture.group.recordLeader({ memberId: 'old', term: before + 1 }, old.received);
    restartLeader(fixture, 'log');
    assert.equal(await fixture.completesPromotionWithin(ATTEMPTS_MS), false, fixture.events.join(', '));
  });

  /** The position that a replica reports may be lower than that of the leader at the start of the term. */
  test('is waited for when what the term began with is known from a replica alone', async () => {
    const fixture = groupWithIncarnations();
    for (const memberId of ['one', 'two']) fixture.member(memberId).term = FIRST_TERM + 1;
    fixture.group.recordLeader({ memberId: 'old', term: FIRST_TERM + 1 }, null);
    fixture.group.recordReplicaPosition(fixture.member('two').received);
    fixture.member('old').received = COMMIT;
    restartLeader(fixture, 'log');
    assert.equal(await fixture.completesPromotionWithin(ATTEMPTS_MS), false, fixture.events.join(', '));
  });
});
