/**
 * A daemon that ends shortly before the leader is lost, while a replica is missing.
 *
 * Guards against up to 30 s without a leader (soak profile reborn, seeds 5001 and 6002, RECOVER). What the
 * daemon had acknowledged was bounded only by positions that the leader reported to the duty holder after the
 * next process of the daemon had begun to count, 1 s or more after the end. Logged 18 times:
 * `promotion_candidates received=core-m1:2.9,core-m3:2.9 missed=core-spare acknowledged=2.9 limit=null`. The
 * daemon was killed 1.1 s before the leader was lost, and other daemons had asked the leader in between.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FIRST_TERM, ModelledGroup } from '../../test/support/modelled-group.js';
import type { OrderOutcome } from '../cluster/peer-mesh.js';
import { delay } from '../common/signal.js';
import type { Position } from '../position/position.js';

const COMMIT: Position = { term: FIRST_TERM, index: 2 };
const UNKNOWN = { latest: { term: FIRST_TERM, index: 0 }, limit: null };
/** Time from the end of the daemon to its next process, and between other steps, in milliseconds. */
const DOWN_MS = 300;
const STEP_MS = 100;
const PROMOTION_LIMIT_MS = 1500;

/** The leader has ended, a replica is unreachable, and a daemon has just ended. */
class EndedDaemonSetup {
  readonly model = new ModelledGroup(['old', 'one', 'two']);
  readonly endedAtMs = performance.now();

  constructor() {
    assert.ok(this.model.commit(this.model.member('old')));
    this.model.member('old').state = 'ended';
    this.model.member('two').state = 'dark';
  }

  /** The daemon is still down, and its end was seen. */
  stayDown(): void {
    this.model.orderOutcomes.set('d2', { kind: 'gone', endedAtMs: this.endedAtMs });
  }

  /** The daemon has restarted; the end of the process before the present one was seen, unless told otherwise. */
  restart({ isEndSeen }: { readonly isEndSeen: boolean }): void {
    const beganMs = this.endedAtMs + DOWN_MS + STEP_MS;
    const answer = {
      ...UNKNOWN,
      get countedMs(): number {
        return performance.now() - beganMs;
      },
    };
    const seen = isEndSeen ? { endedAtMs: this.endedAtMs } : {};
    this.model.orderOutcomes.set('d2', { kind: 'answered', answer, ...seen });
  }

  /** Another daemon asked the leader for its position `afterMs` after the end. */
  reportLeaderPosition(afterMs: number): void {
    const askedAtMs = this.endedAtMs + afterMs;
    const led = {
      position: COMMIT,
      get ageMs(): number {
        return performance.now() - askedAtMs;
      },
    };
    this.model.orderOutcomes.set('d3', { kind: 'answered', answer: { latest: COMMIT, limit: COMMIT, led } });
  }

  isLed(): Promise<boolean> {
    return this.model.completesPromotionWithin(PROMOTION_LIMIT_MS);
  }
}

/** Waits, so that all steps after the end of the daemon lie in the past when the promotion begins. */
async function daemonEndedBefore(): Promise<EndedDaemonSetup> {
  const daemon = new EndedDaemonSetup();
  await delay(DOWN_MS + 2 * STEP_MS);
  return daemon;
}

describe('what an ended daemon had acknowledged', () => {
  /** Failed before the fix: no leader within the limit. */
  test('is bounded by what the leader told this daemon after that', async () => {
    const daemon = await daemonEndedBefore();
    daemon.stayDown();
    daemon.model.group.recordLeaderPosition(daemon.endedAtMs + STEP_MS, COMMIT);
    assert.ok(await daemon.isLed(), daemon.model.events.join(', '));
  });

  /** Failed before the fix: no leader within the limit. */
  test('is bounded by what the leader told another daemon after that', async () => {
    const daemon = await daemonEndedBefore();
    daemon.restart({ isEndSeen: true });
    daemon.reportLeaderPosition(STEP_MS);
    assert.ok(await daemon.isLed(), daemon.model.events.join(', '));
  });

  test('is not bounded by what the leader told before', async () => {
    const daemon = await daemonEndedBefore();
    daemon.restart({ isEndSeen: true });
    daemon.reportLeaderPosition(-STEP_MS);
    daemon.model.group.recordLeaderPosition(daemon.endedAtMs - STEP_MS, COMMIT);
    assert.equal(await daemon.isLed(), false, daemon.model.events.join(', '));
  });

  /** The end that was seen may be that of an earlier process. */
  test('is not bounded by what the leader told before the present process began, unless the end of the one before it was seen', async () => {
    const daemon = await daemonEndedBefore();
    daemon.restart({ isEndSeen: false });
    daemon.reportLeaderPosition(STEP_MS);
    assert.equal(await daemon.isLed(), false, daemon.model.events.join(', '));
  });

  test('is bounded by what the leader told after the present process began, though no end was seen', async () => {
    const daemon = await daemonEndedBefore();
    daemon.restart({ isEndSeen: false });
    daemon.reportLeaderPosition(DOWN_MS + 2 * STEP_MS);
    assert.ok(await daemon.isLed(), daemon.model.events.join(', '));
  });

  for (const outcome of [{ kind: 'gone' }, { kind: 'silent' }] as const satisfies readonly OrderOutcome[]) {
    test(`is not bounded if its end was not seen (${outcome.kind})`, async () => {
      const daemon = await daemonEndedBefore();
      daemon.model.orderOutcomes.set('d2', outcome);
      daemon.reportLeaderPosition(STEP_MS);
      assert.equal(await daemon.isLed(), false, daemon.model.events.join(', '));
    });
  }

  /**
   * The ended daemon was the only gateway of the leader, so no request reached the leader any more. In the
   * log of seed 5001 with 4 daemons: `no gateway in reach` from the end of the daemon on, and `limit=null`
   * 1 s later. Failed before the fix: no leader within the limit.
   */
  test('is bounded by a question to the leader where nobody else asks it', async () => {
    const model = new ModelledGroup(['old', 'one', 'two']);
    model.group.recordLeader({ memberId: 'old', term: FIRST_TERM }, null);
    model.group.evidence.recordWitness(FIRST_TERM, 0, performance.now());
    assert.ok(model.commit(model.member('old')));
    const endedAtMs = performance.now();
    const running = model.supervisor.daemonEnded();
    await delay(DOWN_MS);
    await running;
    model.member('old').state = 'ended';
    model.member('two').state = 'dark';
    model.orderOutcomes.set('d2', { kind: 'gone', endedAtMs });
    await Promise.race([model.runUntil('promotion_ends'), model.waitForEvent('promotion_given_up')]);
    model.supervisor.stop();
    assert.ok(model.events.includes('promotion_ends'), model.events.join(', '));
  });

  /**
   * Guards against a burst of requests: when many daemons ended at once, the leader of each group without
   * traffic was asked once for each of them at the same time.
   */
  test('is asked for once where many have ended', async () => {
    const model = new ModelledGroup(['old', 'one', 'two']);
    model.group.recordLeader({ memberId: 'old', term: FIRST_TERM }, null);
    model.group.evidence.recordWitness(FIRST_TERM, 0, performance.now());
    model.member('old').isUnreachableFromHolder = true;
    const ENDED_DAEMONS = 20;
    await Promise.all(Array.from({ length: ENDED_DAEMONS }, () => model.supervisor.daemonEnded()));
    const { statusRequestCount: statuses } = model.member('old');
    assert.ok(statuses > 0 && statuses < ENDED_DAEMONS / 2, `asked ${statuses} times`);
    model.member('old').isUnreachableFromHolder = false;
    const laterMs = performance.now();
    await model.supervisor.daemonEnded();
    assert.equal(model.member('old').statusRequestCount, statuses + 1);
    assert.ok(model.group.positions.floorSince(laterMs));
  });
});
