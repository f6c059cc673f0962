/**
 * Promotions that would lose an acknowledged commit, with members, daemons and the platform as models.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { delay } from '../common/signal.js';
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';
import type { Position } from '../position/position.js';

/** Time in which a supervisor has seen that a member has ended, in milliseconds. */
const NOTED_MS = 100;

/** Time until the answer to a write that was under way, in milliseconds. */
const WRITE_MS = 50;

function knows(latest: Position): OrderOutcome {
  return { kind: 'answered', answer: { latest, limit: latest } };
}

/** A commit that only the primary and a replica that has ended since have received; `other` lacks it. */
function commitOnEndedReplica(): { readonly scene: ModelledGroup; readonly commit: Position } {
  const scene = new ModelledGroup(['old', 'leaving', 'other']);
  scene.retire('leaving');
  scene.member('other').isDeaf = true;
  assert.ok(scene.commit(scene.member('old')));
  scene.member('leaving').state = 'ended';
  scene.member('old').state = 'ended';
  return { scene, commit: { term: FIRST_TERM, index: 2 } };
}

describe('a commit that no running replica holds', () => {
  /**
   * Users see a change that had been confirmed to them undone. A replica is deaf, the other one leaves: it alone receives a
   * commit, a daemon tells its client, the replica ends, the primary crashes. One of many daemons is silent. What the
   * others had acknowledged was thrown away because of that one, and the deaf replica was promoted.
   * Evidence: `promotion_call member=other` though `d2` has said 3.2 and `other` has received 3.1.
   */
  test('is missed though one of the daemons is silent', async () => {
    const { scene, commit } = commitOnEndedReplica();
    scene.daemons.set('d2', knows(commit));
    scene.daemons.set('d3', { kind: 'silent' });
    await scene.until('promotion_given_up');
    assert.ok(!scene.events.includes('promote other'), scene.events.join(', '));
  });

  /**
   * The same loss, but the daemon that told its client is the silent one: nobody says that there was such a commit. The
   * replica that has ended refuses connections, and was left out of the count of those that may hold more.
   * Evidence: `promotion_candidates former=leaving missing=0`, then `promotion_call member=other`.
   */
  test('is not passed over though nobody who answers knows it', async () => {
    const { scene } = commitOnEndedReplica();
    scene.daemons.set('d2', { kind: 'silent' });
    await scene.until('promotion_given_up');
    assert.ok(!scene.events.includes('promote other'), scene.events.join(', '));
  });

  test('is found with the new member at the address of the one that ended', async () => {
    const { scene, commit } = commitOnEndedReplica();
    scene.daemons.set('d2', { kind: 'silent' });
    const { port } = scene.member('leaving');
    const running = scene.until('leads come');
    await scene.reached('promotion_given_up');
    scene.add('come', port).received = commit;
    await running;
    assert.ok(!scene.events.includes('promote other'), scene.events.join(', '));
  });

  test('is waited for no longer than the directory keeps the replica in mind', async () => {
    const { scene } = commitOnEndedReplica();
    scene.daemons.set('d2', { kind: 'silent' });
    const running = scene.until('leads other');
    await scene.reached('promotion_given_up');
    scene.group.former.delete('leaving');
    await running;
  });
});

describe('a replica that ended while the primary led', () => {
  /** The supervisor has had the time to see that it ended; then the primary crashes, and a daemon is silent. */
  async function endedBeforeCrash(prepare: (scene: ModelledGroup) => void): Promise<ModelledGroup> {
    const scene = new ModelledGroup(['old', 'leaving', 'other']);
    scene.retire('leaving');
    scene.daemons.set('d2', { kind: 'silent' });
    scene.group.evidence.recordWitness(FIRST_TERM, 0, performance.now());
    prepare(scene);
    scene.member('leaving').state = 'ended';
    const running = scene.supervisor.run();
    await delay(NOTED_MS);
    scene.member('old').state = 'ended';
    scene.supervisor.suspect();
    await Promise.race([scene.reached('leads other'), scene.reached('promotion_given_up')]);
    scene.supervisor.stop();
    await running;
    return scene;
  }

  test('holds up no promotion of one that has come as far as the primary was then', async () => {
    const scene = await endedBeforeCrash((group) => void group.commit(group.member('old')));
    assert.ok(scene.events.includes('leads other'), scene.events.join(', '));
  });

  test('may have more than one that has not', async () => {
    const scene = await endedBeforeCrash((group) => {
      group.member('other').isDeaf = true;
      assert.ok(group.commit(group.member('old')));
    });
    assert.ok(scene.events.includes('promotion_given_up'), scene.events.join(', '));
  });
});

describe('a call that the platform acts on late', () => {
  /** Time that the platform takes for a call, in milliseconds: beyond the wait for one, as when it is slow. */
  const SLOW_PLATFORM_MS = 2200;

  /**
   * Users see a confirmed change undone some seconds after a hiccup. The primary is silent for a moment, the replica that
   * has received the most is named to the platform, which is slow. The promotion is given up after 1.5 s, the replicas
   * are resumed, the primary is back, and a commit is acknowledged on the word of the other replica alone. Then the
   * platform does what it was asked.
   * Evidence: `promotion_given_up reason="the platform did not do it"`, and `leads` of that member after it.
   */
  test('finds the member with every commit that was acknowledged meanwhile', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    const old = scene.member('old');
    scene.member('other').isDeaf = true;
    assert.ok(scene.commit(old));
    scene.platform = (memberId) => {
      setTimeout(() => scene.lead(memberId), SLOW_PLATFORM_MS);
      return Promise.reject(new Error('no answer in time'));
    };
    old.state = 'dark';
    const running = scene.until('leads named');
    await scene.reached('promote named');
    old.state = 'running';
    scene.member('other').isDeaf = false;
    scene.member('named').isDeaf = true;
    let acknowledged = old.received;
    const traffic = setInterval(() => {
      if (scene.events.includes('leads named')) clearInterval(traffic);
      else if (scene.commit(old)) acknowledged = old.received;
    }, 20);
    await running;
    assert.deepEqual(scene.member('named').received, acknowledged, scene.events.join(', '));
  });
});

describe('a write under way when the daemons let go', () => {
  /**
   * Users see a confirmed change undone after a link of one machine failed. The holder of the duty reaches neither the
   * primary nor one replica; another daemon reaches both. It lets go, says what it has acknowledged, and is given the answer
   * to a write that it had sent before: received by the replica that the holder cannot pause. The holder takes what it was told
   * first for the whole, and has the other replica promoted.
   * Evidence: `promotion_candidates missing=1 acknowledged=3.1`, and `d2` acknowledges 3.2 while the pauses are waited for.
   */
  test('is covered by a promotion that goes without a replica', async () => {
    const scene = new ModelledGroup(['old', 'far', 'near']);
    const old = scene.member('old');
    scene.daemons.set('d2', knows(old.received));
    old.state = 'dark';
    scene.member('far').state = 'dark';
    scene.member('near').isDeaf = true;
    const ended = Promise.race([scene.until('promotion_given_up'), scene.reached('leads near')]);
    await scene.reached('revoke');
    await delay(WRITE_MS);
    scene.daemons.set('d2', knows({ term: FIRST_TERM, index: 2 }));
    await ended;
    scene.supervisor.stop();
    assert.ok(!scene.events.includes('promote near'), scene.events.join(', '));
    assert.ok(scene.events.includes('seal'), scene.events.join(', '));
  });

  test('does not keep a replica from the lead that has received it, too', async () => {
    const scene = new ModelledGroup(['old', 'far', 'near']);
    const old = scene.member('old');
    scene.daemons.set('d2', knows(old.received));
    assert.ok(scene.commit(old));
    old.state = 'dark';
    scene.member('far').state = 'dark';
    const ended = scene.until('leads near');
    await scene.reached('revoke');
    await delay(WRITE_MS);
    scene.daemons.set('d2', knows(old.received));
    await ended;
    assert.ok(!scene.events.includes('promotion_given_up'), scene.events.join(', '));
  });
});

describe('a holder that has lost the duty', () => {
  /**
   * Users see a confirmed change undone after the holder of the duty stood still. It pauses the replicas and calls the platform;
   * meanwhile its duty lapses, and the next holder pauses them for its own promotion. The first one finds that its own came
   * to nothing, and resumes them: a write that waits at the old primary is received and acknowledged.
   * Evidence: `duty_lost`, then `promotion_given_up` and orders to resume by the same daemon.
   */
  test('lifts no pause, which may be the one of the next holder', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    scene.member('named').received = { term: FIRST_TERM, index: 2 };
    scene.member('old').state = 'dark';
    scene.platform = () => {
      scene.isDutyHeld = false;
      scene.member('named').state = 'ended';
      return Promise.reject(new Error('no answer in time'));
    };
    await scene.until('promotion_given_up');
    assert.notEqual(scene.member('other').pausedForTerm, 0);
    assert.ok(!scene.events.includes('allow'), scene.events.join(', '));
  });

  test('leaves it to the next one, who finishes the promotion though the old primary is proven to lead', async () => {
    const scene = new ModelledGroup(['old', 'one', 'other']);
    scene.group.evidence.recordWitness(FIRST_TERM, 0, performance.now());
    scene.member('other').pausedForTerm = FIRST_TERM + 1;
    await scene.until('promotion_ends');
    assert.equal(scene.member('other').pausedForTerm, 0);
    assert.ok(!scene.member('old').isPrimary);
  });
});
