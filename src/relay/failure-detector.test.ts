/**
 * Which member failures the failure detector reports. Failures of an ended incarnation must not be attributed
 * to the next incarnation, which has the same member id and may be the leader.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Suspicion } from '../cluster/peer-mesh.js';
import { ListedMembers, entryOf } from '../../test/support/listed-members.js';
import { FailureDetector } from './failure-detector.js';

test('trouble with a life that has ended says nothing of the next one, which may lead', () => {
  const scene = new ListedMembers();
  const reported: Suspicion[] = [];
  const woken: string[] = [];
  const doubts = new FailureDetector({
    ownName: 'd',
    tickMs: 50,
    report: (suspicion) => void reported.push(suspicion),
    wakeWatcher: (groupName) => void woken.push(groupName),
    log: () => undefined,
    now: () => scene.now,
  });
  const group = scene.group();
  scene.directory.listed(entryOf());
  const old = scene.member();
  scene.directory.listed(entryOf({ bornMs: 2000 }));
  group.evidence.observeLeader({ memberId: 'm', term: 4 });
  for (const reason of ['lost', 'silent', 'refused', 'read_only']) doubts.suspect(group, old, reason);
  assert.deepEqual(group.evidence.leader, { memberId: 'm', term: 4 });
  assert.deepEqual([reported, woken], [[], []]);
  assert.equal(scene.member().isAvoided(scene.now), false);
  doubts.suspect(group, scene.member(), 'lost');
  assert.equal(reported.length, 1);
});
