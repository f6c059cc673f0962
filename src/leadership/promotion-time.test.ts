/**
 * How long a group is without a leader in ordinary troubles, with members, daemons and the platform as models.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';

/** How long the platform's address refuses connections, in milliseconds. */
const REFUSING_MS = 2000;
/** Time that a promotion may take once the platform can be called, in milliseconds. */
const AFTERWARDS_MS = 2500;

describe('the platform refuses connections for a short time', () => {
  /**
   * Users see a service without a leader for 8 s. The primary crashes while the platform's calls are down for 2 s: connections are
   * refused, so no call can have been heard. Both calls of the promotion fall into that time, and the wait for a late effect of
   * them goes on for 5 s more, though the platform is back.
   * Evidence: two `promotion_call` in the first 2 s, the third after 8 s.
   */
  test('the group is led soon after it is back', async () => {
    const scene = new ModelledGroup(['old', 'one', 'other']);
    const accept = scene.platform;
    const beganAtMs = performance.now();
    scene.platform = (memberId) =>
      performance.now() - beganAtMs < REFUSING_MS
        ? Promise.reject(new Error('connect ECONNREFUSED'))
        : accept(memberId);
    scene.member('old').state = 'ended';
    await scene.until('promotion_ends');
    const ms = performance.now() - beganAtMs;
    assert.ok(ms < REFUSING_MS + AFTERWARDS_MS, `${Math.round(ms)} ms; ${scene.events.join(', ')}`);
  });
});

describe('a supervision that has ended', () => {
  /**
   * Users could see a confirmed change undone. The holder's lease is late for a moment: the duty is lost, and its supervision ends
   * after what is under way, which may be a promotion that waits for the platform. The same daemon takes the duty again and
   * begins a new supervision, which pauses the replicas for its own promotion. The former one then gives up, finds that the
   * duty is held, and resumes them.
   * Evidence: `resume` and `allow` by a supervisor that was told to stop.
   */
  test('lifts no pause, though the same daemon has taken the duty again', async () => {
    const scene = new ModelledGroup(['old', 'named', 'other']);
    scene.member('named').received = { term: FIRST_TERM, index: 2 };
    scene.member('old').state = 'dark';
    scene.platform = () => {
      // Lost, and taken again by the time at which the promotion is given up.
      scene.supervisor.stop();
      scene.member('named').state = 'ended';
      return Promise.reject(new Error('no answer in time'));
    };
    await scene.until('promotion_given_up');
    assert.notEqual(scene.member('other').pausedForTerm, 0, scene.events.join(', '));
    assert.ok(!scene.events.includes('allow'), scene.events.join(', '));
  });
});

describe('the duty is about to end', () => {
  /**
   * Users see a service without a leader for 2 to 11 s, once for the rest of a day. A leader leaves while the store is slow: the duty is held for
   * less time than a call of the platform needs. The leader steps down, and then no call is made.
   * Evidence: `promotion_candidates`, `leader_demoted`, `promotion_given_up reason="the platform did not do it"`, no `promotion_call`.
   */
  test('a leader that lives is not told to step down when the platform cannot be called', async () => {
    const scene = new ModelledGroup(['old', 'one', 'other']);
    const leader = scene.group.members.get('old');
    assert.ok(leader);
    leader.leavingSinceMs = performance.now();
    void scene.reached('revoke').then(() => (scene.heldForMs = 300));
    await scene.until('promotion_given_up');
    assert.ok(scene.member('old').isPrimary, scene.events.join(', '));
  });

  /**
   * The same, once the leader has stepped down; then the daemons that knew what they had acknowledged start again, and a replica is away. What
   * the leader had received when it stepped down is all that can have been acknowledged.
   * Evidence: `limit=null missing=1` for as long as the group is without a leader, while the others hold all that the leader held.
   */
  test('what a leader held when it stepped down bounds what was acknowledged, also when nobody remembers', async () => {
    const scene = new ModelledGroup(['old', 'one', 'other']);
    const leader = scene.group.members.get('old');
    assert.ok(leader);
    leader.leavingSinceMs = performance.now();
    let calls = 0;
    scene.platform = (memberId) => {
      calls += 1;
      if (calls > 1) {
        setTimeout(() => scene.lead(memberId), 20);
        return Promise.resolve(true);
      }
      scene.daemons.set('d2', { kind: 'gone' });
      scene.member('old').state = 'ended';
      scene.member('other').state = 'dark';
      return Promise.resolve(false);
    };
    const running = scene.until('leads one');
    await running;
    assert.equal(calls, 2, scene.events.join(', '));
  });
});
