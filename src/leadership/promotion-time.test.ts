/**
 * How long a group is without a leader in common failures, with modelled members, daemons and platform.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';

/** How long the platform refuses connections, in milliseconds. */
const OUTAGE_MS = 2000;
/** Longest time that a promotion may take once the platform accepts connections, in milliseconds. */
const PROMOTION_LIMIT_MS = 2500;

describe('the platform refuses connections for a short time', () => {
  /**
   * Guards against 8 s without a leader. The primary crashes while the platform refuses connections for 2 s,
   * so it cannot have received any call. Both calls of the promotion are made in that time, and the wait for
   * a late effect of them lasts 5 s more, although the platform is back. In the log: two `promotion_call` in
   * the first 2 s, the third after 8 s.
   */
  test('the group has a leader soon after the platform is back', async () => {
    const model = new ModelledGroup(['old', 'one', 'other']);
    const accept = model.handlePromotion;
    const beganAtMs = performance.now();
    model.handlePromotion = (memberId) =>
      performance.now() - beganAtMs < OUTAGE_MS
        ? Promise.reject(new Error('connect ECONNREFUSED'))
        : accept(memberId);
    model.member('old').state = 'ended';
    await model.runUntil('promotion_ends');
    const ms = performance.now() - beganAtMs;
    assert.ok(ms < OUTAGE_MS + PROMOTION_LIMIT_MS, `${Math.round(ms)} ms; ${model.events.join(', ')}`);
  });
});

describe('a supervision that has ended', () => {
  /**
   * Guards against a lost commit. The lease of the duty holder is renewed late: the duty is lost, and the
   * supervision ends after the operation in progress, which may be a promotion that waits for the platform.
   * The same daemon takes the duty again and begins a new supervision, which pauses the replicas for its own
   * promotion. The earlier one then gives up, finds that the duty is held, and resumes the replicas. In the
   * log: `resume` and `allow` by a supervisor that was stopped.
   */
  test('does not resume replicas, although the same daemon has taken the duty again', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    model.member('named').received = { term: FIRST_TERM, index: 2 };
    model.member('old').state = 'dark';
    model.handlePromotion = () => {
      // The duty is lost, and taken again by the time the promotion is given up.
      model.supervisor.stop();
      model.member('named').state = 'ended';
      return Promise.reject(new Error('no answer in time'));
    };
    await model.runUntil('promotion_given_up');
    assert.notEqual(model.member('other').pausedForTerm, 0, model.events.join(', '));
    assert.ok(!model.events.includes('allow'), model.events.join(', '));
  });
});

describe('the promotion duty is about to expire', () => {
  /**
   * Guards against 2 to 11 s without a leader, in one case the rest of a day. A leader leaves while the store
   * is slow: the duty is held for less time than a call to the platform needs. The leader is demoted, and
   * then no call is made. In the log: `promotion_candidates`, `leader_demoted`,
   * `promotion_given_up reason="the platform did not promote the successor"`, no `promotion_call`.
   */
  test('a leader that lives is not told to step down when the platform cannot be called', async () => {
    const model = new ModelledGroup(['old', 'one', 'other']);
    const leader = model.group.members.get('old');
    assert.ok(leader);
    leader.leavingSinceMs = performance.now();
    void model.waitForEvent('revoke').then(() => (model.dutyValidForMs = 300));
    await model.runUntil('promotion_given_up');
    assert.ok(model.member('old').isPrimary, model.events.join(', '));
  });

  /**
   * The same, after the leader has been demoted; then the daemons that knew what they had acknowledged
   * restart, and a replica is unreachable. The position of the leader when it stepped down bounds what can
   * have been acknowledged. In the log: `limit=null missing=1` for as long as the group has no leader,
   * although the others hold all that the leader held.
   */
  test('what a leader held when it stepped down bounds what was acknowledged, also when nobody remembers', async () => {
    const model = new ModelledGroup(['old', 'one', 'other']);
    const leader = model.group.members.get('old');
    assert.ok(leader);
    leader.leavingSinceMs = performance.now();
    let calls = 0;
    model.handlePromotion = (memberId) => {
      calls += 1;
      if (calls > 1) {
        setTimeout(() => model.makeLeader(memberId), 20);
        return Promise.resolve(true);
      }
      model.orderOutcomes.set('d2', { kind: 'gone' });
      model.member('old').state = 'ended';
      model.member('other').state = 'dark';
      return Promise.resolve(false);
    };
    const running = model.runUntil('leads one');
    await running;
    assert.equal(calls, 2, model.events.join(', '));
  });
});
