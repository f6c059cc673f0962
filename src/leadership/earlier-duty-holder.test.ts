/**
 * How a duty holder handles a call that the previous holder made to the platform.
 *
 * Guards against the replacement of a leader that was just promoted (3 of 8 runs of a trial), and against
 * lost commits: a duty holder called the platform and failed; the next one did not know of the call and
 * called the platform for another member, or replaced the member that the call had promoted, since it found
 * replicas paused. Also against reads of old data: the next one gave up a promotion of its own, and lifted the
 * revocation for one that had succeeded.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { delay } from '../common/signal.js';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';
import { REVOCATION_MS } from './leadership-evidence.js';
import { OpenCallRecord, type OpenCall } from './open-calls.js';

const COMMIT = { term: FIRST_TERM, index: 2 };
/** Fencing token of the earlier duty holder; that of the modelled one is 1. */
const EARLIER_FENCE = 0;
/** For how long the earlier call may still be executed, and when it is, in milliseconds. */
const LEFT_MS = 900;
const PROMOTED_MS = 300;
const SEVERAL_POLLS_MS = 400;
/** Time without evidence after which the outcome is not waited for any longer, in milliseconds. */
const UNRESOLVED_MS = 3001;

/** A primary that has crashed, and a daemon that reports an open call. */
function crashedPrimary(call: OpenCall): ModelledGroup {
  const model = new ModelledGroup(['old', 'one', 'other']);
  assert.ok(model.commit(model.member('old')));
  model.member('old').state = 'ended';
  const answer = { latest: COMMIT, limit: COMMIT, openCall: call };
  model.orderOutcomes.set('d2', { kind: 'answered', answer });
  return model;
}

function promoteEvents(model: ModelledGroup): readonly string[] {
  return model.events.filter((event) => event.startsWith('promote '));
}

/** Measures the time until the supervisor calls the platform, in milliseconds. */
async function timeToCall(model: ModelledGroup): Promise<number> {
  const startedAtMs = performance.now();
  const running = model.supervisor.run();
  await model.waitForEvent('promotion_call');
  const waitedMs = performance.now() - startedAtMs;
  model.supervisor.stop();
  await running;
  return waitedMs;
}

describe('a call that an earlier holder has made', () => {
  const CALL = { memberId: 'other', fence: EARLIER_FENCE, leftMs: LEFT_MS };

  test('may act: nobody else is named, and the member that comes to lead stays', async () => {
    const model = crashedPrimary(CALL);
    const running = model.supervisor.run();
    setTimeout(() => model.makeLeader('other'), PROMOTED_MS);
    await delay(LEFT_MS + SEVERAL_POLLS_MS);
    model.supervisor.stop();
    await running;
    assert.deepEqual(promoteEvents(model), []);
    assert.ok(model.member('other').isPrimary, model.events.join(', '));
  });

  test('is waited for no longer than the platform may execute it', async () => {
    const model = crashedPrimary(CALL);
    const waitedMs = await timeToCall(model);
    assert.ok(waitedMs >= LEFT_MS && waitedMs < LEFT_MS + SEVERAL_POLLS_MS, `${Math.round(waitedMs)} ms`);
  });

  test('is not waited for where it is one of the present holder', async () => {
    const model = crashedPrimary({ ...CALL, fence: 1 });
    assert.ok((await timeToCall(model)) < LEFT_MS);
  });
});

describe('a member that leads by the call of an earlier holder', () => {
  /** The replicas are still paused. */
  function recentlyPromoted(): ModelledGroup {
    const model = new ModelledGroup(['old', 'one', 'other']);
    assert.ok(model.commit(model.member('old')));
    model.member('one').pausedForTerm = FIRST_TERM + 1;
    model.member('other').pausedForTerm = FIRST_TERM + 1;
    model.group.calls.record({ memberId: 'old', fence: EARLIER_FENCE, leftMs: LEFT_MS }, performance.now());
    return model;
  }

  test('leads on, and the replicas go on', async () => {
    const model = recentlyPromoted();
    const running = model.supervisor.run();
    await delay(SEVERAL_POLLS_MS);
    model.supervisor.stop();
    await running;
    assert.deepEqual(promoteEvents(model), []);
    assert.ok(model.events.includes('resume one') && model.events.includes('resume other'));
  });

  test('is replaced where a paused replica holds more', async () => {
    const model = recentlyPromoted();
    model.member('old').received = { term: FIRST_TERM, index: 0 };
    await model.runUntil('promotion_call');
  });

  test('is replaced if the known call is for another member', async () => {
    const model = recentlyPromoted();
    model.group.calls.record(
      { memberId: 'one', fence: EARLIER_FENCE, leftMs: PROMOTED_MS },
      performance.now(),
    );
    await model.runUntil('promotion_call');
  });
});

/** Without it, one replica that does not answer would keep a healthy leader unused for as long. */
test('an earlier promotion whose outcome is not known is resolved though a replica does not answer', async () => {
  const model = new ModelledGroup(['old', 'one', 'other']);
  assert.ok(model.commit(model.member('old')));
  model.member('other').state = 'dark';
  model.orderOutcomes.set('d2', { kind: 'answered', answer: { latest: COMMIT, limit: COMMIT } });
  model.group.evidence.seal(FIRST_TERM, performance.now() - REVOCATION_MS);
  model.group.leaderlessSinceMs = performance.now() - UNRESOLVED_MS;
  await model.runUntil('promotion_call');
});

describe('a promotion by an earlier holder that this one does not know of', () => {
  /** `successor` leads, and of the other members only `one`, still paused, answers the holder. */
  function succeededUnannounced(): ModelledGroup {
    const model = new ModelledGroup(['old', 'one', 'successor']);
    model.makeLeader('successor');
    model.member('successor').isUnreachableFromHolder = true;
    model.member('one').pausedForTerm = FIRST_TERM + 1;
    model.group.evidence.seal(FIRST_TERM, performance.now() - REVOCATION_MS);
    return model;
  }

  const LATER_TERM = FIRST_TERM + 1;
  const LATER_COMMIT = { term: LATER_TERM, index: 3 };
  const LATER_LEADER = { term: LATER_TERM, life: { memberId: 'successor', bornMs: null } };
  const reports = {
    'that has acknowledged a commit': { latest: LATER_COMMIT, limit: LATER_COMMIT },
    'that knows the leader': { latest: COMMIT, limit: COMMIT, lastLed: LATER_LEADER },
  };

  // A replica that does not follow the later leader was evidence for the replaced one after that.
  for (const [name, answer] of Object.entries(reports))
    test(`is not undone: the sealed term stays revoked after the answer of a daemon ${name}`, async () => {
      const model = succeededUnannounced();
      model.orderOutcomes.set('d2', { kind: 'answered', answer });
      await model.runUntil('promotion_given_up');
      const { evidence } = model.group;
      assert.ok(!model.events.includes('allow'), model.events.join(', '));
      assert.ok(model.events.includes('resume one'), model.events.join(', '));
      assert.equal(evidence.minimumTerm, LATER_TERM);
      assert.equal(evidence.revokedUpToTerm, FIRST_TERM);
    });

  test('does not keep a term revoked of which no daemon knows a successor', async () => {
    const model = succeededUnannounced();
    model.orderOutcomes.set('d2', { kind: 'answered', answer: { latest: COMMIT, limit: null } });
    await model.runUntil('allow');
    assert.equal(model.group.evidence.revokedUpToTerm, null);
  });
});

test('the call recorded by a daemon is dropped when it expires or is cleared', () => {
  const note = new OpenCallRecord();
  const call = { memberId: 'a', fence: 3, leftMs: 100 };
  note.record(call, 1000);
  assert.deepEqual(note.open(1040), { ...call, leftMs: 60 });
  assert.equal(note.open(1100), null);
  note.record(call, 1000);
  note.clear();
  assert.equal(note.open(1000), null);
});
