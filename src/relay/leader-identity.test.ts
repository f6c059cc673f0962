/**
 * What a daemon knows of the replacement of a leader when it sends to it.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { beforeEach, describe, test } from 'node:test';
import { FakeProcess, PROCESS_TERM } from '../../test/support/fake-process.js';
import { createLeaderScene, now, type LeaderScene } from '../../test/support/leader-scene.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import { REVOCATION_MS } from '../leadership/leadership-evidence.js';
import { leaderCheck } from './leader-identity.js';

const LEADER = { memberId: 'leader', term: PROCESS_TERM };
const COMMIT = { term: PROCESS_TERM, index: 9 };

describe('a leader whose replacement is asked for', () => {
  let scene: LeaderScene;
  /** Added to the time, in milliseconds. */
  let laterMs: number;

  beforeEach(() => {
    laterMs = 0;
    const group = createTestGroup({ leader: new FakeProcess(COMMIT, true) }, now);
    const { context } = createLeaderScene(group, COMMIT);
    scene = { group, context: { ...context, now: () => now() + laterMs } };
  });

  const isReplaced = (): boolean => leaderCheck(scene.context, scene.group).isReplaced(LEADER);

  test('is not replaced when its evidence has expired', () => {
    assert.equal(isReplaced(), false);
    laterMs = 60_000;
    assert.equal(isReplaced(), false);
  });

  test('may be replaced from a revocation until it is lifted', () => {
    scene.group.evidence.revoke(PROCESS_TERM, scene.context.now());
    laterMs = 60_000;
    assert.equal(isReplaced(), true);
    scene.group.evidence.liftRevocation();
    assert.equal(isReplaced(), false);
  });

  test('is not replaced when there is evidence after a revocation', () => {
    scene.group.evidence.revoke(PROCESS_TERM, scene.context.now());
    laterMs = 2 * REVOCATION_MS;
    const isEvidence = scene.group.evidence.recordWitness(PROCESS_TERM, 0, scene.context.now(), {
      kind: 'members',
    });
    assert.ok(isEvidence);
    assert.equal(isReplaced(), false);
  });

  test('is replaced when a later term is known, not when an earlier one was revoked', () => {
    scene.group.evidence.observeTerm(PROCESS_TERM + 1);
    assert.equal(isReplaced(), true);
    scene.group.evidence.revoke(PROCESS_TERM, scene.context.now());
    const next = { memberId: 'next', term: PROCESS_TERM + 1 };
    assert.equal(leaderCheck(scene.context, scene.group).isReplaced(next), false);
  });
});
