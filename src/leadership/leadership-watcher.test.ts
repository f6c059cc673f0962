/**
 * Witnesses that a daemon may rely on.
 *
 * Users could have read old data, or seen a confirmed change undone: the holder of the duty did not reach a daemon and waited its
 * evidence out; then a replica started, unpaused, before the platform acted, and was evidence for that daemon for 1.6 s: of the model's
 * 3.6 million orders of steps 3,348 ended so. Since lives count only once they have been known for longer than a promotion lasts, none.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { delay } from '../common/signal.js';
import type { MemberConnections } from '../gateway/member-connections.js';
import { Member, MemberGroup } from '../topology/member-group.js';
import { LeadershipWatcher } from './leadership-watcher.js';
import { WITNESS_KNOWN_MS } from './leadership-evidence.js';
import type { ControlAnswer, MemberControl } from './member-control.js';

const TERM = 3;
/** Time in which a watcher has asked once, in milliseconds. */
const ASKED_MS = 60;

function member(memberId: string, port: number): Member {
  const place = { groupName: 'g', host: 'h', port, zone: 'a', slots: 1 };
  const entry = { ...place, memberId, isDraining: false, saysPrimary: false, bornMs: null };
  return new Member(entry, {} as MemberConnections);
}

/** A daemon with a leader and one replica, which answers that it follows the leader. */
function watched(knownForMs: number): {
  readonly group: MemberGroup;
  readonly watcher: LeadershipWatcher;
  /** Questions that were asked. */
  readonly asked: () => number;
} {
  const group = new MemberGroup('g');
  const replica = member('replica', 1);
  replica.knownSinceMs = performance.now() - knownForMs;
  group.members.set('leader', member('leader', 2));
  group.members.set('replica', replica);
  group.learnLeader({ memberId: 'leader', term: TERM }, null);
  const status = { isPrimary: false, term: TERM, pausedForTerm: 0, received: { term: TERM, index: 1 } };
  let asked = 0;
  const ask = (): Promise<ControlAnswer> => {
    asked += 1;
    return Promise.resolve({ kind: 'answered', status, askedAtMs: performance.now() });
  };
  const watcher = new LeadershipWatcher(
    group,
    'a',
    { ask } as unknown as MemberControl,
    { evidenceChanged: () => undefined },
    () => null,
    () => true,
    () => false,
    () => performance.now(),
  );
  return { group, watcher, asked: () => asked };
}

async function hasEvidence({ group, watcher }: ReturnType<typeof watched>): Promise<boolean> {
  const running = watcher.run();
  await delay(ASKED_MS);
  watcher.stop();
  await running;
  return group.evidence.current(performance.now()) !== null;
}

describe('a replica', () => {
  test('is no witness while its life has been known for less than a promotion may last', async () => {
    const scene = watched(WITNESS_KNOWN_MS - 10 * ASKED_MS);
    assert.equal(await hasEvidence(scene), false);
    assert.equal(scene.asked(), 0, 'questions are priced');
  });

  test('is one after that', async () => {
    assert.equal(await hasEvidence(watched(WITNESS_KNOWN_MS)), true);
  });
});
