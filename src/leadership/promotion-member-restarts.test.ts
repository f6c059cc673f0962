/**
 * Promotions while members restart, with modelled members, daemons and platform.
 *
 * Guards against lost commits: in one run on 90 machines, promotions lost five acknowledged commits; a known
 * replica held those that were shown. The daemons had dropped their evidence of the leader, but still
 * acknowledged commits of open transactions; from then on, safety depended on pauses that were made once, for
 * the replicas listed at that time. A replica that started, or that restarted and so lost its pause, received
 * from the old leader, and a member without those commits was promoted.
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
/** When the successor restarts and when it is promoted, after the call, in milliseconds. */
const RESTART_MS = 20;
const PROMOTED_MS = 120;
/** Time from the first pause to the recheck, in milliseconds. */
const RECHECK_MS = 230;

function acknowledgedUpTo(latest: Position): OrderOutcome {
  return { kind: 'answered', answer: { latest, limit: latest } };
}

function restart(model: ModelledGroup, memberId: string): void {
  const member = model.member(memberId);
  member.state = 'running';
  member.isPrimary = false;
  member.pausedForTerm = 0;
  member.received = EMPTY;
}

/** The member that was promoted first. */
function firstLeader(model: ModelledGroup): string | undefined {
  return model.events.find((event) => event.startsWith('leads '))?.slice('leads '.length);
}

function describeRun(model: ModelledGroup, commit: Position): string {
  return `acknowledged ${commit.term}.${commit.index}: ${model.events.join(', ')}`;
}

describe('what one incarnation of a member had received', () => {
  /**
   * The only replica that received a commit restarts under its id with an empty log; the primary crashes, and
   * one daemon does not answer. In the log: `promotion_candidates missing=0`, then the platform is called for
   * a replica without the commit.
   */
  test('is missing when it was the only replica that had a commit and one daemon is silent', async () => {
    const model = new ModelledGroup(['old', 'holder', 'other']);
    model.member('other').isReplicationStopped = true;
    assert.ok(model.commit(model.member('old')));
    const commit = model.member('holder').received;
    restart(model, 'holder');
    model.member('holder').isReplicationStopped = true;
    model.member('old').state = 'ended';
    model.orderOutcomes.set('d2', { kind: 'silent' });
    await Promise.race([model.runUntil('promotion_given_up'), model.waitForEvent('leads other')]);
    model.supervisor.stop();
    assert.ok(!model.events.includes('leads other'), describeRun(model, commit));
  });

  /**
   * Every successor restarts with an empty log after the final check and before the platform promotes it. In
   * the log: `promotion_ends` with a member whose log is empty.
   */
  test('is with the member that leads though every member that is named starts again', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    assert.ok(model.commit(model.member('old')));
    const commit = { term: FIRST_TERM, index: 2 };
    model.orderOutcomes.set('d2', acknowledgedUpTo(commit));
    model.member('old').state = 'ended';
    model.handlePromotion = (memberId) => {
      setTimeout(() => restart(model, memberId), RESTART_MS);
      setTimeout(() => model.makeLeader(memberId), PROMOTED_MS);
      return Promise.resolve(true);
    };
    await Promise.race([model.runUntil('promotion_given_up'), model.waitForEvent('promotion_ends')]);
    model.supervisor.stop();
    const led = firstLeader(model) ?? 'named';
    assert.ok(hasReached(model.member(led).received, commit), describeRun(model, commit));
  });

  /** The same, but only the first successor restarts: the other replica still holds the commit. */
  test('is taken from another replica when the member that was named has lost it', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    assert.ok(model.commit(model.member('old')));
    const commit = { term: FIRST_TERM, index: 2 };
    model.orderOutcomes.set('d2', acknowledgedUpTo(commit));
    model.member('old').state = 'ended';
    model.handlePromotion = (memberId) => {
      if (memberId === 'named') setTimeout(() => restart(model, memberId), RESTART_MS);
      setTimeout(() => model.makeLeader(memberId), PROMOTED_MS);
      return Promise.resolve(true);
    };
    await Promise.race([model.runUntil('promotion_given_up'), model.waitForEvent('promotion_ends')]);
    model.supervisor.stop();
    assert.ok(model.member('other').isPrimary, describeRun(model, commit));
    assert.ok(hasReached(model.member('other').received, commit), describeRun(model, commit));
  });

  test('is not lost when a paused replica does not answer the recheck and restarts before a leaving leader steps down', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    const old = model.member('old');
    const named = model.group.members.get('old');
    assert.ok(named);
    named.leavingSinceMs = performance.now();
    model.orderOutcomes.set('d2', acknowledgedUpTo(old.received));
    let acknowledged: Position = old.received;
    const traffic = setInterval(() => {
      if (old.isPrimary && model.commit(old)) acknowledged = old.received;
    }, COMMIT_MS);
    void model.waitForEvent('pause other').then(() => {
      model.member('other').state = 'dark';
      setTimeout(() => restart(model, 'other'), RECHECK_MS);
    });
    await Promise.race([model.runUntil('promotion_given_up'), model.waitForEvent('promotion_ends')]);
    clearInterval(traffic);
    model.supervisor.stop();
    const led = firstLeader(model);
    if (led !== undefined)
      assert.ok(hasReached(model.member(led).received, acknowledged), describeRun(model, acknowledged));
  });
});

describe('commits of open transactions at a primary that only the duty holder cannot reach', () => {
  /**
   * Commits continue after the daemons have dropped their evidence, and are acknowledged when a replica has
   * received them, until the daemons are sealed.
   */
  function commitsOfOpenTransactions(model: ModelledGroup): {
    readonly acknowledged: () => Position;
    stop(): void;
  } {
    const old = model.member('old');
    let acknowledged: Position = old.received;
    model.orderOutcomes.set('d2', acknowledgedUpTo(acknowledged));
    const timer = setInterval(() => {
      if (!old.isPrimary || old.term < model.member('named').term || model.events.includes('seal')) return;
      if (!model.commit(old)) return;
      acknowledged = old.received;
      model.orderOutcomes.set('d2', acknowledgedUpTo(acknowledged));
    }, COMMIT_MS);
    return { acknowledged: () => acknowledged, stop: () => clearInterval(timer) };
  }

  async function promoteCutPrimary(model: ModelledGroup, during: () => void): Promise<void> {
    const traffic = commitsOfOpenTransactions(model);
    model.member('old').isUnreachableFromHolder = true;
    void model.waitForEvent('promote named').then(during);
    await Promise.race([model.runUntil('promotion_given_up'), model.waitForEvent('leads named')]);
    const last = model.member('named').received;
    traffic.stop();
    model.supervisor.stop();
    if (model.events.includes('leads named'))
      assert.ok(hasReached(last, traffic.acknowledged()), describeRun(model, traffic.acknowledged()));
  }

  test('are kept although a replica starts and is listed while the platform promotes another', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    await promoteCutPrimary(model, () => void model.add('new', 9));
  });

  test('are kept although a paused replica restarts with its log while the platform promotes another', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    await promoteCutPrimary(model, () => {
      model.member('other').pausedForTerm = 0;
    });
  });

  test('are kept when no replica starts', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    await promoteCutPrimary(model, () => undefined);
  });
});

describe('a call that the platform has accepted', () => {
  /**
   * Time that the platform takes, and times after the call at which the successor ends and restarts, in
   * milliseconds.
   */
  const SLOW_CALL_MS = 600;
  const END_MS = 20;
  const START_MS = 150;

  /**
   * Guards against lost commits. The successor ends before the platform promotes it; the platform is called
   * for another member, which leads and commits. Then the platform executes the first call, and promotes the
   * next incarnation of the first successor. In the log: two `promotion_call` for different members, `leads`
   * of the first after the second was announced.
   */
  test('is waited for although the successor has ended, since it may restart', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    model.member('old').state = 'ended';
    model.handlePromotion = (memberId) => {
      setTimeout(() => model.makeLeader(memberId), memberId === 'named' ? SLOW_CALL_MS : END_MS);
      if (memberId === 'named') setTimeout(() => (model.member('named').state = 'ended'), END_MS);
      if (memberId === 'named') setTimeout(() => (model.member('named').state = 'running'), START_MS);
      return Promise.resolve(true);
    };
    await model.runUntil('leader');
    assert.ok(model.events.indexOf('leads named') < model.events.indexOf('leader'), model.events.join(', '));
    assert.ok(model.member('named').isPrimary, model.events.join(', '));
  });

  /**
   * The same with a call that was repeated because the platform was slow: the first one promotes the member,
   * which is replaced soon after, and the second one promotes it again.
   */
  test('a second time keeps another member from being named until it has lapsed', async () => {
    const model = new ModelledGroup(['old', 'named', 'other']);
    model.member('old').state = 'ended';
    const SLOWER_CALL_MS = 1700;
    let isReplaced = false;
    const calledAtMs: number[] = [];
    let otherCalledAtMs = Number.POSITIVE_INFINITY;
    model.handlePromotion = (memberId) => {
      if (memberId === 'named') {
        calledAtMs.push(performance.now());
        setTimeout(() => {
          if (!isReplaced) model.makeLeader('named');
        }, SLOWER_CALL_MS);
      } else {
        otherCalledAtMs = performance.now();
        setTimeout(() => model.makeLeader(memberId), END_MS);
      }
      return Promise.resolve(true);
    };
    const running = model.runUntil('leads other');
    await model.waitForEvent('leader');
    isReplaced = true;
    model.member('named').state = 'ended';
    model.supervisor.suspect();
    await running;
    assert.equal(calledAtMs.length, 2);
    const sinceMs = otherCalledAtMs - (calledAtMs.at(-1) ?? 0);
    assert.ok(
      sinceMs >= 5000,
      `the platform was called for another member ${Math.round(sinceMs)} ms after an open call`,
    );
  });
});
