/**
 * What a promotion takes for proof at its last moment: words, pauses, terms and lives that are older than it.
 *
 * Each scene was found by a reading of the promotions after confirmed commits had been undone by them, and was seen to fail before its mend.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { delay } from '../common/signal.js';
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import type { MemberConnections } from '../gateway/member-connections.js';
import { FIRST_TERM, ModelledGroup, type GroupMember } from '../../test/support/modelled-group.js';
import type { Position } from '../position/position.js';
import { Member, MemberGroup } from '../topology/member-group.js';
import { EVIDENCE_VALIDITY_MS } from './leadership-evidence.js';
import { LostIncarnations } from './lost-incarnations.js';

const EMPTY: Position = { term: 0, index: 0 };
/** When a replica starts, after the first pauses, in milliseconds: while silent daemons are waited for. */
const LATE_MS = 1000;
/** How long the platform takes, in milliseconds. */
const ACTS_MS = 400;
/** Time that a timer may be early by, in milliseconds. */
const TIMER_MS = 50;
/** Time in which a group whose replicas have everything is led again, in milliseconds. */
const SOON_MS = 6000;

function knows(latest: Position): OrderOutcome {
  return { kind: 'answered', answer: { latest, limit: latest } };
}

/** Acts at the first event of a name, before the scene goes on. */
function onFirst(scene: ModelledGroup, name: string, act: () => void): void {
  let isDone = false;
  const push = scene.events.push.bind(scene.events);
  scene.events.push = (...items: string[]): number => {
    if (!isDone && items.includes(name)) {
      isDone = true;
      act();
    }
    return push(...items);
  };
}

describe('words and pauses', () => {
  /** Evidence: the daemon had said 3.2 when it let go, is silent to the last question, and a member at 3.1 is named. */
  test('what a daemon said when it let go counts though it does not say its last word', async () => {
    const scene = new ModelledGroup(['old', 'unlisted', 'other']);
    scene.member('other').isDeaf = true;
    assert.ok(scene.commit(scene.member('old')));
    scene.group.members.delete('unlisted');
    scene.member('unlisted').state = 'ended';
    scene.member('old').state = 'ended';
    scene.daemons.set('d2', knows({ term: FIRST_TERM, index: 2 }));
    onFirst(scene, 'seal', () => scene.daemons.set('d2', { kind: 'silent' }));
    await Promise.race([scene.until('promotion_given_up'), scene.reached('promote other')]);
    scene.supervisor.stop();
    assert.ok(!scene.events.includes('promote other'), scene.events.join(', '));
  });

  /** A daemon that is silent may hold evidence that the late replica gave it a moment before its pause. */
  test('a silent daemon is waited for again after the pause of a replica that was late', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    scene.member('old').isCutFromHolder = true;
    scene.daemons.set('d2', { kind: 'silent' });
    void scene.reached('pause other').then(() => setTimeout(() => scene.add('new', 9), LATE_MS));
    const running = Promise.race([scene.until('promotion_given_up'), scene.reached('promote named')]);
    await scene.reached('pause new');
    const pausedAtMs = performance.now();
    await running;
    scene.supervisor.stop();
    const waitedMs = performance.now() - pausedAtMs;
    const isCalled = scene.events.includes('promote named');
    assert.ok(
      !isCalled || waitedMs >= EVIDENCE_VALIDITY_MS - TIMER_MS,
      `called after ${Math.round(waitedMs)} ms`,
    );
  });

  /** Nobody knows what a daemon had acknowledged that is gone; the replica that is silent may have received more since its pause was lost. */
  test('a replica that is silent at the last look counts as missing', async () => {
    const scene = new ModelledGroup(['old', 'named', 'far']);
    scene.member('old').state = 'ended';
    scene.daemons.set('d2', { kind: 'gone' });
    onFirst(scene, 'seal', () => (scene.member('far').state = 'dark'));
    await Promise.race([scene.until('promotion_given_up'), scene.reached('promote named')]);
    scene.supervisor.stop();
    assert.ok(!scene.events.includes('promote named'), scene.events.join(', '));
  });

  test('what a daemon said when it let go is no limit of what it has acknowledged since', async () => {
    const scene = new ModelledGroup(['old', 'named', 'far']);
    scene.member('old').state = 'ended';
    scene.member('far').state = 'dark';
    scene.daemons.set('d2', knows({ term: FIRST_TERM, index: 1 }));
    onFirst(scene, 'seal', () => scene.daemons.set('d2', { kind: 'silent' }));
    await Promise.race([scene.until('promotion_given_up'), scene.reached('promote named')]);
    scene.supervisor.stop();
    assert.ok(!scene.events.includes('promote named'), scene.events.join(', '));
  });

  test('a replica that appears before the last look is paused before the platform is called', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    scene.member('old').state = 'ended';
    onFirst(scene, 'seal', () => void scene.add('new', 9));
    await scene.until('promote named');
    const pausedAt = scene.events.indexOf('pause new');
    assert.ok(pausedAt >= 0 && pausedAt < scene.events.indexOf('promote named'), scene.events.join(', '));
  });

  test('a replica that appears while the platform acts is paused, and follows once the named one leads', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    scene.member('old').state = 'ended';
    scene.platform = (memberId) => {
      scene.add('new', 9);
      setTimeout(() => scene.lead(memberId), ACTS_MS);
      return Promise.resolve(true);
    };
    const running = scene.until('resume new');
    await scene.reached('leads named');
    assert.ok(scene.events.includes('pause new'), scene.events.join(', '));
    await running;
  });
});

describe('a leader whose next life is empty', () => {
  /** It starts again under its id, empty; all replicas have everything; one daemon was killed minutes ago. */
  function startAgain(scene: ModelledGroup, hasBorn: boolean): void {
    const old = scene.member('old');
    old.isPrimary = false;
    old.received = EMPTY;
    if (!hasBorn) return;
    const before = scene.group.members.get('old');
    assert.ok(before);
    scene.group.members.delete('old');
    before.hasEnded = true;
    scene.group.keepFormer(before);
    scene.group.members.set('old', new Member({ ...before.entry, bornMs: 7 }, {} as MemberConnections));
    scene.group.evidence.clearLeader();
  }

  /**
   * Users would see a service without a leader for 30 s: the leader's own former life and its empty log count as missing, and a daemon that was killed
   * cannot say what it had acknowledged. All that was acknowledged was received by another member.
   */
  for (const hasBorn of [false, true])
    test(`is replaced soon though a daemon has forgotten what it acknowledged, ${hasBorn ? 'with' : 'without'} a start that is told`, async () => {
      const scene = new ModelledGroup(['old', 'one', 'two']);
      const running = scene.supervisor.run();
      await delay(TIMER_MS);
      assert.ok(scene.commit(scene.member('old')));
      scene.daemons.set('d2', knows({ term: FIRST_TERM, index: 2 }));
      scene.daemons.set('d3', { kind: 'gone' });
      startAgain(scene, hasBorn);
      scene.supervisor.suspect();
      await Promise.race([scene.reached('promotion_ends').catch(() => undefined), delay(SOON_MS)]);
      scene.supervisor.stop();
      await running;
      assert.ok(scene.events.includes('promotion_ends'), scene.events.join(', '));
    });
});

describe('a term that is over', () => {
  /** Users would see confirmed changes undone: an earlier holder's call has made a member lead, which this one counts as missing. */
  test('is promoted over by nobody', async () => {
    const scene = new ModelledGroup(['old', 'one', 'other', 'far']);
    const [old, one, other, far] = ['old', 'one', 'other', 'far'].map((id) => scene.member(id));
    assert.ok(old && one && other && far);
    old.state = 'ended';
    old.isPrimary = false;
    one.isPrimary = true;
    const isLater = (member: GroupMember): void => {
      member.term = FIRST_TERM + 1;
      member.received = { term: FIRST_TERM + 1, index: 2 };
    };
    [one, other, far].forEach(isLater);
    far.isCutFromHolder = true;
    scene.daemons.set('d2', knows({ term: FIRST_TERM + 1, index: 2 }));
    await Promise.race([scene.until('promotion_given_up'), scene.reached('promote other')]);
    scene.supervisor.stop();
    assert.ok(!scene.events.includes('promote other'), scene.events.join(', '));
    assert.ok(one.isPrimary);
  });

  test('has a leader whose late answer is no floor of reads at the next one', () => {
    const group = new MemberGroup('g');
    const old = { memberId: 'old', term: 3 };
    group.evidence.observeLeader(old);
    group.evidence.recordWitness(3, 0, 1000);
    group.recordLed(1000, { term: 3, index: 10 }, old);
    group.evidence.observeLeader({ memberId: 'new', term: 4 });
    group.evidence.recordWitness(4, 0, 1500);
    group.recordLed(1100, { term: 3, index: 12 }, old);
    assert.equal(group.heldByLeader, null);
  });
});

describe('members of which nothing is known', () => {
  /** Evidence: the only member that has a commit is dark; it is taken for the leader since it stands first, and counted nowhere. */
  test('are not taken for the leader because they stand first', async () => {
    const scene = new ModelledGroup(['far', 'old', 'other']);
    scene.group.evidence.clearLeader();
    const [far, old, other] = [scene.member('far'), scene.member('old'), scene.member('other')];
    far.isPrimary = false;
    far.received = { term: FIRST_TERM, index: 2 };
    far.state = 'dark';
    old.state = 'ended';
    scene.group.members.delete('old');
    scene.daemons.set('d2', { kind: 'gone' });
    await Promise.race([scene.until('promotion_given_up'), scene.reached('promote other')]);
    scene.supervisor.stop();
    assert.equal(other.isPrimary, false);
    assert.ok(!scene.events.includes('promote other'), scene.events.join(', '));
  });

  test('are not bounded by a position that was asked for before the loss was noticed', () => {
    const lost = new LostIncarnations();
    const member = { entry: { memberId: 'x', bornMs: null } } as unknown as Member;
    const status = { isPrimary: false, term: 3, pausedForTerm: 0 };
    lost.recordStatus(member, { ...status, received: { term: 3, index: 5 } }, 0);
    lost.recordStatus(member, { ...status, received: EMPTY }, 20);
    lost.recordLeaderPosition({ term: 3, index: 100 }, 10);
    assert.equal(lost.uncovered([{ term: 3, index: 100 }], null, 30).length, 1);
  });
});
