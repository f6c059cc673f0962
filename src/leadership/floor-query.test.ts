/**
 * When the leader is asked for its position on behalf of other daemons, and which answers count.
 *
 * Guards against additional load on the leader, which is the busiest member, and against floors from processes
 * that are not the leader's.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { createTestGroup } from '../../test/support/relay-members.js';
import type { MemberStatus } from '../relay/member-link.js';
import { ZERO_POSITION, type Position } from '../position/position.js';
import type { MemberGroup } from '../topology/member-group.js';
import { FloorQuery, FLOOR_AGE_LIMIT_MS, FLOOR_QUERY_INTERVAL_MS } from './floor-query.js';
import { LogPositionQuery } from './log-position-query.js';
import type { ControlAnswer } from './member-control.js';

const TERM = 1;
const LEADER = { memberId: 'leader', term: TERM };
const STEP_MS = 10;

const at = (index: number): Position => ({ term: TERM, index });

/** A daemon that has evidence of the leader, and answers of the leader that the test gives. */
class QueryScene {
  now = 1000;
  suppliesFloors = true;
  /** When the leader was asked, in milliseconds. */
  readonly askedAtMs: number[] = [];
  readonly group: MemberGroup;
  readonly query: FloorQuery;
  status: MemberStatus = { isPrimary: true, term: TERM, received: at(7), pausedForTerm: 0 };
  /** Runs while the leader is asked. */
  beforeAnswer: () => void = () => undefined;
  answer: () => Promise<ControlAnswer> = () =>
    Promise.resolve({ kind: 'answered', status: this.status, askedAtMs: this.now });

  constructor() {
    const idle = { dial: () => Promise.reject(new Error('not dialled')) };
    this.group = createTestGroup({ leader: idle, replica: idle }, () => this.now);
    const now = (): number => this.now;
    const logPosition = new LogPositionQuery({
      group: this.group,
      queryStatus: () => {
        this.askedAtMs.push(this.now);
        this.beforeAnswer();
        return this.answer();
      },
      isStopped: () => false,
      log: () => undefined,
      now,
    });
    this.query = new FloorQuery({
      group: this.group,
      suppliesFloors: () => this.suppliesFloors,
      askLeader: (member) => logPosition.ask(member),
      now,
    });
    this.prove();
  }

  prove(): void {
    this.group.evidence.recordWitness(TERM, 0, this.now);
  }

  /** Advances the clock with evidence that is renewed all the time. */
  async advance(ms: number, everyStep: () => void = () => undefined): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      this.now += STEP_MS;
      this.prove();
      everyStep();
      await this.query.check();
    }
  }

  get sharedPosition(): Position | null {
    return this.group.shareableFloor(this.now)?.position ?? null;
  }
}

describe('the leader is asked', () => {
  test('once the floor is older than the limit', async () => {
    const scene = new QueryScene();
    await scene.query.check();
    assert.deepEqual(scene.askedAtMs, [1000]);
    assert.deepEqual(scene.sharedPosition, at(7));
    await scene.advance(10 * FLOOR_AGE_LIMIT_MS);
    const gaps = scene.askedAtMs.slice(1).map((ms, index) => ms - (scene.askedAtMs[index] ?? 0));
    assert.ok(
      gaps.every((ms) => ms === FLOOR_AGE_LIMIT_MS + STEP_MS),
      String(gaps),
    );
  });

  test('at most once in an interval while it does not answer, and not twice at the same time', async () => {
    const scene = new QueryScene();
    scene.answer = () => Promise.resolve({ kind: 'silent' });
    await scene.advance(1000);
    assert.equal(scene.askedAtMs.length, 1000 / FLOOR_QUERY_INTERVAL_MS);
    scene.answer = () => new Promise(() => undefined);
    for (let step = 0; step < 100; step += 1) {
      scene.now += STEP_MS;
      scene.prove();
      void scene.query.check();
    }
    assert.equal(scene.askedAtMs.length, 1000 / FLOOR_QUERY_INTERVAL_MS + 1);
  });

  test('never while answers to requests carry positions', async () => {
    const scene = new QueryScene();
    scene.group.recordLeaderPosition(scene.now, at(7), LEADER);
    const carry = (): void => scene.group.recordLeaderPosition(scene.now - 2 * STEP_MS, at(7), LEADER);
    await scene.advance(5000, carry);
    assert.deepEqual(scene.askedAtMs, []);
  });

  test('never while no other daemon depends on this one, nor without evidence', async () => {
    const scene = new QueryScene();
    scene.suppliesFloors = false;
    await scene.advance(1000);
    assert.deepEqual(scene.askedAtMs, []);
    scene.suppliesFloors = true;
    scene.now = scene.group.evidence.validUntilMs;
    await scene.query.check();
    assert.deepEqual(scene.askedAtMs, []);
  });

  test('again for the leader of the next term, although a floor of the last one is recent', async () => {
    const scene = new QueryScene();
    await scene.query.check();
    await scene.advance(FLOOR_QUERY_INTERVAL_MS);
    assert.equal(scene.askedAtMs.length, 1);
    scene.group.recordLeader({ memberId: 'replica', term: TERM + 1 }, null);
    scene.group.evidence.recordWitness(TERM + 1, 0, scene.now);
    scene.status = { ...scene.status, term: TERM + 1 };
    await scene.query.check();
    assert.equal(scene.askedAtMs.length, 2);
    assert.deepEqual(scene.group.shareableFloor(scene.now)?.leader, {
      memberId: 'replica',
      term: TERM + 1,
    });
  });
});

describe('an answer gives no floor', () => {
  const cases: Readonly<Record<string, (scene: QueryScene) => void>> = {
    'when the evidence expired before it came, as after a pause of this daemon': (scene) => {
      scene.now = scene.group.evidence.validUntilMs;
    },
    'when the evidence was revoked before it came': (scene) => scene.group.evidence.revoke(TERM, scene.now),
    'when the next leader was announced before it came': (scene) => {
      scene.group.recordLeader({ memberId: 'replica', term: TERM + 1 }, null);
      scene.group.evidence.recordWitness(TERM + 1, 0, scene.now);
    },
    'of a process that does not lead': (scene) => (scene.status = { ...scene.status, isPrimary: false }),
    'of a process that leads another term': (scene) => (scene.status = { ...scene.status, term: TERM + 1 }),
    'of a process with an empty log': (scene) =>
      (scene.status = { ...scene.status, received: ZERO_POSITION }),
  };
  for (const [name, change] of Object.entries(cases))
    test(name, async () => {
      const scene = new QueryScene();
      scene.beforeAnswer = () => void change(scene);
      await scene.query.check();
      assert.equal(scene.askedAtMs.length, 1);
      assert.equal(scene.sharedPosition, null);
      assert.equal(scene.group.positions.newest, null);
    });

  /** The position that an emptied process reports after its first writes. */
  test('of a process with less than the leader had reported', async () => {
    const scene = new QueryScene();
    scene.group.recordLeaderPosition(scene.now, at(7), LEADER);
    scene.status = { ...scene.status, received: at(2) };
    await scene.advance(FLOOR_AGE_LIMIT_MS + STEP_MS);
    assert.equal(scene.askedAtMs.length, 1);
    assert.deepEqual(scene.sharedPosition, at(7));
  });
});

/** A floor that counts from the answer would cover commits that were acknowledged while the leader was asked. */
test('a floor counts from the time at which the leader was asked', async () => {
  const scene = new QueryScene();
  scene.beforeAnswer = () => void (scene.now += 150);
  await scene.query.check();
  assert.equal(scene.group.shareableFloor(scene.now)?.askedAtMs, 1000);
});
