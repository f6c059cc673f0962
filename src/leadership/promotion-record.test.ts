/**
 * The record of the replaced term in a promotion, and the wait for daemons that do not answer.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';
import { EVIDENCE_VALIDITY_MS } from './leadership-evidence.js';

/** Time after which the daemon that did not answer does, in milliseconds. */
const BACK_AFTER_MS = 300;

const RECORDED = `record ${FIRST_TERM}`;
const LOWERED = `record ${FIRST_TERM - 1}`;

/** A group whose leader does not answer. */
function groupWithoutLeader(): ModelledGroup {
  const model = new ModelledGroup(['old', 'one', 'other']);
  model.member('old').state = 'dark';
  return model;
}

describe('a promotion', () => {
  test('is recorded in the store before any daemon is asked to revoke its evidence', async () => {
    const model = groupWithoutLeader();
    await model.runUntil('promotion_ends');
    assert.ok(model.events.includes(RECORDED), model.events.join(', '));
    assert.ok(model.events.indexOf(RECORDED) < model.events.indexOf('revoke'), model.events.join(', '));
    assert.equal(model.events.includes(LOWERED), false);
  });

  test('changes nothing if the store does not accept the record', async () => {
    const model = groupWithoutLeader();
    model.isStoreAnswering = false;
    await model.runUntil('promotion_given_up');
    assert.equal(model.events.includes('revoke'), false);
    assert.ok(['one', 'other'].every((id) => model.member(id).pausedForTerm === 0));
  });

  test('that is given up without a call to the platform lowers the record again', async () => {
    const model = groupWithoutLeader();
    model.member('one').state = 'dark';
    model.orderOutcomes.set('d2', { kind: 'silent' });
    await model.runUntil(LOWERED);
    assert.ok(model.events.includes('promotion_given_up'));
  });

  // The member that the first call named leads, out of reach of the holder.
  test('that is given up without a call leaves the record of an earlier one, whose call may have succeeded', async () => {
    const model = groupWithoutLeader();
    model.handlePromotion = (memberId) => {
      model.makeLeader(memberId);
      model.member(memberId).state = 'dark';
      model.orderOutcomes.set('d2', { kind: 'silent' });
      return Promise.resolve(true);
    };
    const running = model.supervisor.run();
    await model.waitForEvent('allow');
    model.events.length = 0;
    model.supervisor.suspect();
    await model.waitForEvent('allow');
    model.supervisor.stop();
    await running;
    assert.ok((model.recordedTerm ?? 0) >= FIRST_TERM, model.events.join(', '));
  });

  test('that is given up after a call leaves the record: the platform may still execute the call', async () => {
    const model = groupWithoutLeader();
    model.handlePromotion = () => Promise.resolve(false);
    await model.runUntil('promotion_given_up');
    assert.equal(model.events.includes(LOWERED), false);
  });
});

describe('a daemon that does not answer the revoke order', () => {
  /** Time from the revoke order to the seal order, in milliseconds. */
  async function waitMs(model: ModelledGroup): Promise<number> {
    const firstAtMs = new Map<string, number>();
    const { events } = model;
    const push = events.push.bind(events);
    events.push = (event) => {
      if (!firstAtMs.has(event)) firstAtMs.set(event, performance.now());
      return push(event);
    };
    await model.runUntil('seal');
    return (firstAtMs.get('seal') ?? NaN) - (firstAtMs.get('revoke') ?? NaN);
  }

  test('is waited for until its evidence has expired', async () => {
    const model = groupWithoutLeader();
    model.orderOutcomes.set('d2', { kind: 'silent' });
    assert.ok((await waitMs(model)) >= EVIDENCE_VALIDITY_MS);
  });

  test('is waited for no longer once it has answered', async () => {
    const model = groupWithoutLeader();
    model.orderOutcomes.set('d2', { kind: 'silent' });
    const { received } = model.member('old');
    const answered = { kind: 'answered', answer: { latest: received, limit: received } } as const;
    setTimeout(() => model.orderOutcomes.set('d2', answered), BACK_AFTER_MS);
    assert.ok((await waitMs(model)) < EVIDENCE_VALIDITY_MS / 2);
  });
});
