/**
 * A leader that starts again under its id and does not answer the holder of the duty, while all replicas that it had do.
 *
 * Users had no leader until the next life answered, 30 s and more: soak reborn 9015, RECOVER. Cause: whoever goes by the leader's id was waited for like
 * any member, though all that was acknowledged had been received by another. Evidence:
 * `received=core-m2:1.6,core-m3:1.6 missed=core-m1 led=core-m1 missing=1 limit=null`, then `promotion_given_up`, every 1.2 s.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';
import { startNextLife, type Kept } from '../../test/support/next-life.js';
import { hasReached, type Position } from '../position/position.js';

const COMMIT: Position = { term: FIRST_TERM, index: 2 };
/** Time for some attempts of a promotion, in milliseconds. */
const ATTEMPTS_MS = 1500;

/** A group in which lives are told from each other, led by `old`; a daemon has forgotten what it acknowledged. */
function groupOfLives(): ModelledGroup {
  const scene = new ModelledGroup(['old', 'one', 'two']);
  for (const memberId of ['old', 'one', 'two']) scene.group.dropFormer(startNextLife(scene, memberId, 'log'));
  scene.member('old').isPrimary = true;
  scene.group.learnLeader({ memberId: 'old', term: FIRST_TERM }, scene.member('old').received);
  const answer = { latest: { term: FIRST_TERM, index: 0 }, limit: null };
  scene.daemons.set('d2', { kind: 'answered', answer });
  return scene;
}

/** The leader starts again, and its next life does not answer. */
function loseLeader(scene: ModelledGroup, kept: Kept): void {
  startNextLife(scene, 'old', kept);
  scene.member('old').isCutFromHolder = true;
}

describe('the silent next life of a leader', () => {
  for (const kept of ['nothing', 'log'] as const) {
    /** Before: not led within the time; each attempt was given up. */
    test(`is not waited for when all replicas of the term are heard (it kept ${kept})`, async () => {
      const scene = groupOfLives();
      assert.ok(scene.commit(scene.member('old')));
      loseLeader(scene, kept);
      assert.ok(await scene.isLedWithin(ATTEMPTS_MS), scene.events.join(', '));
      const leader = ['one', 'two'].map((id) => scene.member(id)).find(({ isPrimary }) => isPrimary);
      assert.ok(leader !== undefined && hasReached(leader.received, COMMIT), scene.events.join(', '));
    });
  }

  test('is not waited for in a group in which nothing was committed', async () => {
    const scene = groupOfLives();
    loseLeader(scene, 'nothing');
    assert.ok(await scene.isLedWithin(ATTEMPTS_MS), scene.events.join(', '));
  });

  /** The commit was received by the replica that is silent, and is in the log that the next life has kept. */
  test('is waited for while a replica is silent', async () => {
    const scene = groupOfLives();
    scene.member('two').isDeaf = true;
    assert.ok(scene.commit(scene.member('old')));
    scene.member('one').isCutFromHolder = true;
    loseLeader(scene, 'log');
    assert.equal(await scene.isLedWithin(ATTEMPTS_MS), false, scene.events.join(', '));
  });

  test('is waited for while a replica is silent that leaves', async () => {
    const scene = groupOfLives();
    scene.member('two').isDeaf = true;
    assert.ok(scene.commit(scene.member('old')));
    const leaving = scene.group.members.get('one');
    assert.ok(leaving);
    leaving.leavingSinceMs = performance.now();
    scene.member('one').isCutFromHolder = true;
    loseLeader(scene, 'log');
    assert.equal(await scene.isLedWithin(ATTEMPTS_MS), false, scene.events.join(', '));
  });

  test('is waited for while nobody knows what a replica had received that has gone', async () => {
    const scene = groupOfLives();
    scene.member('two').isDeaf = true;
    assert.ok(scene.commit(scene.member('old')));
    scene.retire('one');
    scene.member('one').state = 'ended';
    loseLeader(scene, 'log');
    assert.equal(await scene.isLedWithin(ATTEMPTS_MS), false, scene.events.join(', '));
  });

  test('is waited for when the life of a replica has ended that had received the commit alone', async () => {
    const scene = groupOfLives();
    scene.member('two').isDeaf = true;
    assert.ok(scene.commit(scene.member('old')));
    startNextLife(scene, 'one', 'nothing');
    loseLeader(scene, 'log');
    assert.equal(await scene.isLedWithin(ATTEMPTS_MS), false, scene.events.join(', '));
  });

  /** The commit was acknowledged in an earlier term, when the leader of this one was the replica that received it. */
  test('is waited for when the replicas lack what the term began with', async () => {
    const scene = groupOfLives();
    scene.member('two').isDeaf = true;
    scene.member('one').isDeaf = true;
    const old = scene.member('old');
    old.received = COMMIT;
    const before = FIRST_TERM;
    old.term = before + 1;
    for (const memberId of ['one', 'two']) scene.member(memberId).term = before + 1;
    scene.group.learnLeader({ memberId: 'old', term: before + 1 }, old.received);
    loseLeader(scene, 'log');
    assert.equal(await scene.isLedWithin(ATTEMPTS_MS), false, scene.events.join(', '));
  });

  /** A replica has said that it follows the term: that is less than what the term began with. */
  test('is waited for when what the term began with is known from a replica alone', async () => {
    const scene = groupOfLives();
    for (const memberId of ['one', 'two']) scene.member(memberId).term = FIRST_TERM + 1;
    scene.group.learnLeader({ memberId: 'old', term: FIRST_TERM + 1 }, null);
    scene.group.noteReceived(scene.member('two').received);
    scene.member('old').received = COMMIT;
    loseLeader(scene, 'log');
    assert.equal(await scene.isLedWithin(ATTEMPTS_MS), false, scene.events.join(', '));
  });
});
