/**
 * Promotions amid members that start again, with members, daemons and the platform as models.
 *
 * Operators saw five confirmed commits of one run undone by promotions, on a deployment of 90 machines; of the commits shown, a known
 * replica had them. The daemons had let go of the leader, yet went on confirming what it answered to commits of open
 * transactions; from then on everything rested on pauses that were taken once, from the list as it stood. A replica that started, or started
 * again and so had lost its pause, received from the old leader, and a member without those commits was made to lead.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';
import { hasReached, type Position } from '../position/position.js';

const EMPTY: Position = { term: 0, index: 0 };
/** Time between two commits of the traffic, in milliseconds. */
const COMMIT_MS = 5;
/** When the chosen member starts again, and when it is made to lead, from the call, in milliseconds. */
const RESTART_MS = 20;
const LEADS_MS = 120;
/** From the first pause to the second look at it, in milliseconds. */
const SECOND_LOOK_MS = 230;

function knows(latest: Position): OrderOutcome {
  return { kind: 'answered', answer: { latest, limit: latest } };
}

function startAgain(scene: ModelledGroup, memberId: string): void {
  const member = scene.member(memberId);
  member.state = 'running';
  member.isPrimary = false;
  member.pausedForTerm = 0;
  member.received = EMPTY;
}

/** The member that was made to lead first. */
function firstLed(scene: ModelledGroup): string | undefined {
  return scene.events.find((event) => event.startsWith('leads '))?.slice('leads '.length);
}

function told(scene: ModelledGroup, commit: Position): string {
  return `acknowledged ${commit.term}.${commit.index}: ${scene.events.join(', ')}`;
}

describe('what one life of a member had received', () => {
  /**
   * The one replica that received a commit starts again under its id, empty; the primary dies, and one daemon is silent.
   * Evidence: `promotion_candidates missing=0`, then a replica without the commit is named.
   */
  test('is missing when it was the only replica that had a commit and one daemon is silent', async () => {
    const scene = new ModelledGroup(['old', 'holder', 'other']);
    scene.member('other').isDeaf = true;
    assert.ok(scene.commit(scene.member('old')));
    const commit = scene.member('holder').received;
    startAgain(scene, 'holder');
    scene.member('holder').isDeaf = true;
    scene.member('old').state = 'ended';
    scene.daemons.set('d2', { kind: 'silent' });
    await Promise.race([scene.until('promotion_given_up'), scene.reached('leads other')]);
    scene.supervisor.stop();
    assert.ok(!scene.events.includes('leads other'), told(scene, commit));
  });

  /**
   * The chosen member starts again, empty, after the last look at its pause and before the platform acts; whichever member is
   * named does. Evidence: `promotion_ends` with a member whose log is empty.
   */
  test('is with the member that leads though every member that is named starts again', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    assert.ok(scene.commit(scene.member('old')));
    const commit = { term: FIRST_TERM, index: 2 };
    scene.daemons.set('d2', knows(commit));
    scene.member('old').state = 'ended';
    scene.platform = (memberId) => {
      setTimeout(() => startAgain(scene, memberId), RESTART_MS);
      setTimeout(() => scene.lead(memberId), LEADS_MS);
      return Promise.resolve(true);
    };
    await Promise.race([scene.until('promotion_given_up'), scene.reached('promotion_ends')]);
    scene.supervisor.stop();
    const led = firstLed(scene) ?? 'named';
    assert.ok(hasReached(scene.member(led).received, commit), told(scene, commit));
  });

  /** The same, but only the member that is named first starts again: the other replica still has the commit. */
  test('is taken from another replica when the member that was named has lost it', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    assert.ok(scene.commit(scene.member('old')));
    const commit = { term: FIRST_TERM, index: 2 };
    scene.daemons.set('d2', knows(commit));
    scene.member('old').state = 'ended';
    scene.platform = (memberId) => {
      if (memberId === 'named') setTimeout(() => startAgain(scene, memberId), RESTART_MS);
      setTimeout(() => scene.lead(memberId), LEADS_MS);
      return Promise.resolve(true);
    };
    await Promise.race([scene.until('promotion_given_up'), scene.reached('promotion_ends')]);
    scene.supervisor.stop();
    assert.ok(scene.member('other').isPrimary, told(scene, commit));
    assert.ok(hasReached(scene.member('other').received, commit), told(scene, commit));
  });

  test('is not lost when a paused replica is silent at the second look and starts again before a leader that leaves steps down', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    const old = scene.member('old');
    const named = scene.group.members.get('old');
    assert.ok(named);
    named.leavingSinceMs = performance.now();
    scene.daemons.set('d2', knows(old.received));
    let acknowledged: Position = old.received;
    const traffic = setInterval(() => {
      if (old.isPrimary && scene.commit(old)) acknowledged = old.received;
    }, COMMIT_MS);
    void scene.reached('pause other').then(() => {
      scene.member('other').state = 'dark';
      setTimeout(() => startAgain(scene, 'other'), SECOND_LOOK_MS);
    });
    await Promise.race([scene.until('promotion_given_up'), scene.reached('promotion_ends')]);
    clearInterval(traffic);
    scene.supervisor.stop();
    const led = firstLed(scene);
    if (led !== undefined)
      assert.ok(hasReached(scene.member(led).received, acknowledged), told(scene, acknowledged));
  });
});

describe('commits of open transactions at a primary that is cut from the holder of the duty alone', () => {
  /** They go on after the daemons have let go, and are confirmed when a replica has received them, unless the daemons are sealed. */
  function commitsOfOpenTransactions(scene: ModelledGroup): {
    readonly acknowledged: () => Position;
    stop(): void;
  } {
    const old = scene.member('old');
    let acknowledged: Position = old.received;
    scene.daemons.set('d2', knows(acknowledged));
    const timer = setInterval(() => {
      if (!old.isPrimary || old.term < scene.member('named').term || scene.events.includes('seal')) return;
      if (!scene.commit(old)) return;
      acknowledged = old.received;
      scene.daemons.set('d2', knows(acknowledged));
    }, COMMIT_MS);
    return { acknowledged: () => acknowledged, stop: () => clearInterval(timer) };
  }

  async function promoteCutPrimary(scene: ModelledGroup, during: () => void): Promise<void> {
    const traffic = commitsOfOpenTransactions(scene);
    scene.member('old').isCutFromHolder = true;
    void scene.reached('promote named').then(during);
    await Promise.race([scene.until('promotion_given_up'), scene.reached('leads named')]);
    const last = scene.member('named').received;
    traffic.stop();
    scene.supervisor.stop();
    if (scene.events.includes('leads named'))
      assert.ok(hasReached(last, traffic.acknowledged()), told(scene, traffic.acknowledged()));
  }

  test('are kept though a replica starts, and is listed, while the platform promotes another', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    await promoteCutPrimary(scene, () => void scene.add('new', 9));
  });

  test('are kept though a paused replica starts again, with its log, while the platform promotes another', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    await promoteCutPrimary(scene, () => {
      scene.member('other').pausedForTerm = 0;
    });
  });

  test('are kept when no replica starts', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    await promoteCutPrimary(scene, () => undefined);
  });
});

describe('a call that the platform has taken', () => {
  /** How long the platform takes, in milliseconds, and when the named member ends and starts again. */
  const SLOW_MS = 600;
  const ENDS_MS = 20;
  const STARTS_MS = 150;

  /**
   * Users would see confirmed changes undone. The named member ends before the platform acts, another is named, leads, and confirms; then
   * the platform acts on the first call, and makes the next life of that member lead.
   * Evidence: two `promotion_call` for different members, `leads` of the first after the second was announced.
   */
  test('is waited for though the named member has ended, since it may start again', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    scene.member('old').state = 'ended';
    scene.platform = (memberId) => {
      setTimeout(() => scene.lead(memberId), memberId === 'named' ? SLOW_MS : ENDS_MS);
      if (memberId === 'named') setTimeout(() => (scene.member('named').state = 'ended'), ENDS_MS);
      if (memberId === 'named') setTimeout(() => (scene.member('named').state = 'running'), STARTS_MS);
      return Promise.resolve(true);
    };
    await scene.until('leader');
    assert.ok(scene.events.indexOf('leads named') < scene.events.indexOf('leader'), scene.events.join(', '));
    assert.ok(scene.member('named').isPrimary, scene.events.join(', '));
  });

  /**
   * The same by a call that was made twice, since the platform was slow: the first one makes the member lead, it is replaced soon after, and the
   * second one takes effect on it.
   */
  test('a second time keeps another member from being named until it has lapsed', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    scene.member('old').state = 'ended';
    const SLOWER_MS = 1700;
    let isReplaced = false;
    const calledAtMs: number[] = [];
    let otherCalledAtMs = Number.POSITIVE_INFINITY;
    scene.platform = (memberId) => {
      if (memberId === 'named') {
        calledAtMs.push(performance.now());
        setTimeout(() => {
          if (!isReplaced) scene.lead('named');
        }, SLOWER_MS);
      } else {
        otherCalledAtMs = performance.now();
        setTimeout(() => scene.lead(memberId), ENDS_MS);
      }
      return Promise.resolve(true);
    };
    const running = scene.until('leads other');
    await scene.reached('leader');
    isReplaced = true;
    scene.member('named').state = 'ended';
    scene.supervisor.suspect();
    await running;
    assert.equal(calledAtMs.length, 2);
    const sinceMs = otherCalledAtMs - (calledAtMs.at(-1) ?? 0);
    assert.ok(sinceMs >= 5000, `another was named ${Math.round(sinceMs)} ms after a call that was open`);
  });
});
