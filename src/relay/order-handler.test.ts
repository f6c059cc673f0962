import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  EVIDENCE_VALIDITY_MS,
  REVOCATION_MS,
  type EvidenceSource,
} from '../leadership/leadership-evidence.js';
import { MemberGroup } from '../topology/member-group.js';
import { OrderHandler } from './order-handler.js';
import { WatchedGroups, type WatchedGroup } from './watched-groups.js';

const GROUP = 'g';
const TERM = 3;

/** A daemon's groups and its handler of orders, with a clock that the test sets. */
class Scene {
  nowMs = 1000;
  readonly groups = new WatchedGroups({
    create: (name) => ({
      group: new MemberGroup(name),
      watcher: { wake: () => undefined } as WatchedGroup['watcher'],
      logPosition: {} as WatchedGroup['logPosition'],
    }),
    opened: () => undefined,
    closed: () => undefined,
  });
  readonly orders = new OrderHandler({
    groups: this.groups,
    registration: { hasPredecessor: false, isAtFormerAddress: true },
    listeningSinceMs: () => 0,
    predecessorLife: () => 'earlier',
    log: () => undefined,
    now: () => this.nowMs,
  });

  /** The configuration refers to the group. */
  watch(): void {
    this.groups.sync(new Set([GROUP]), this.nowMs);
  }

  /** The configuration does not refer to the group any more. */
  unwatch(): void {
    this.groups.sync(new Set(), this.nowMs);
  }

  /** True when an answer, that of another daemon unless specified otherwise, is evidence for the leader of the term. */
  gainsEvidence(term = TERM, source: EvidenceSource = { kind: 'daemon', isHolder: false }): boolean {
    const group = this.groups.group(GROUP);
    assert.ok(group !== null);
    group.recordLeader({ memberId: 'm', term }, null);
    return group.evidence.recordWitness(term, 0, this.nowMs, source);
  }
}

describe('a revoked term of a group gives no evidence', () => {
  for (const kind of ['revoke', 'seal'] as const) {
    test(`when the group is added after the order to ${kind} it`, () => {
      const scene = new Scene();
      scene.orders.apply({ kind, groupName: GROUP, term: TERM });
      scene.nowMs += REVOCATION_MS - 1;
      scene.watch();
      assert.equal(scene.gainsEvidence(), false);
    });

    test(`when the group is removed and added again after the order to ${kind} it`, () => {
      const scene = new Scene();
      scene.watch();
      scene.orders.apply({ kind, groupName: GROUP, term: TERM });
      scene.unwatch();
      scene.nowMs += REVOCATION_MS - 1;
      scene.watch();
      assert.equal(scene.gainsEvidence(), false);
    });
  }

  test('when the group is added after another member was announced as the leader of a later term', () => {
    const scene = new Scene();
    const held = { term: TERM, index: 9 };
    scene.orders.apply({ kind: 'leader', groupName: GROUP, memberId: 'n', term: TERM + 1, held });
    scene.watch();
    assert.equal(scene.gainsEvidence(TERM), false);
    assert.equal(scene.gainsEvidence(TERM + 1), true);
  });

  test('when the group is removed and added again after a later term had a leader', () => {
    const scene = new Scene();
    scene.watch();
    assert.equal(scene.gainsEvidence(TERM + 1), true);
    scene.unwatch();
    scene.watch();
    assert.equal(scene.gainsEvidence(TERM), false);
    assert.equal(scene.gainsEvidence(TERM + 1), true);
  });

  test('when the group is added after a promotion over a later term was abandoned', () => {
    const scene = new Scene();
    scene.orders.apply({ kind: 'seal', groupName: GROUP, term: TERM + 1 });
    scene.orders.apply({ kind: 'allow', groupName: GROUP });
    scene.watch();
    assert.equal(scene.gainsEvidence(TERM), false);
    assert.equal(scene.gainsEvidence(TERM + 1), true);
  });
});

describe('a term that ended before its group was added', () => {
  const held = { term: TERM, index: 9 };

  test('gives no evidence after the end of a promotion whose order to revoke was lost', () => {
    const scene = new Scene();
    scene.orders.apply({ kind: 'leader', groupName: GROUP, memberId: 'n', term: TERM + 1, held });
    scene.orders.apply({ kind: 'allow', groupName: GROUP });
    scene.watch();
    scene.orders.apply({ kind: 'allow', groupName: GROUP });
    scene.nowMs += REVOCATION_MS + 1;
    assert.equal(scene.gainsEvidence(TERM), false);
  });

  test('gives evidence when the terms of the group begin again later', () => {
    const scene = new Scene();
    scene.watch();
    assert.equal(scene.gainsEvidence(TERM), true);
    scene.unwatch();
    scene.nowMs += 30_000;
    scene.watch();
    assert.equal(scene.gainsEvidence(1), true);
  });

  test('gives evidence when the holder of the duty supplies it, though the group comes and goes all the time', () => {
    const scene = new Scene();
    scene.watch();
    scene.orders.apply({ kind: 'seal', groupName: GROUP, term: TERM });
    for (let count = 0; count < 100; count += 1) {
      scene.nowMs += 60;
      scene.unwatch();
      scene.watch();
    }
    assert.equal(scene.gainsEvidence(TERM, { kind: 'daemon', isHolder: true }), true);
  });
});

for (const kind of ['revoke', 'seal'] as const)
  test(`an earlier term gives no evidence after a promotion over a later one, with its order to ${kind}, was abandoned`, () => {
    const scene = new Scene();
    scene.watch();
    scene.orders.apply({ kind: 'seal', groupName: GROUP, term: TERM });
    scene.orders.apply({ kind, groupName: GROUP, term: TERM + 1 });
    scene.orders.apply({ kind: 'allow', groupName: GROUP });
    scene.nowMs += REVOCATION_MS + 1;
    assert.equal(scene.gainsEvidence(TERM), false);
    assert.equal(scene.gainsEvidence(TERM + 1), true);
  });

describe('what runs under the evidence of a removed group', () => {
  for (const isAddedAgain of [false, true])
    test(`ends with the order to seal its term${isAddedAgain ? ', though the group was added again' : ''}`, () => {
      const scene = new Scene();
      scene.watch();
      assert.equal(scene.gainsEvidence(), true);
      const removed = scene.groups.group(GROUP);
      assert.ok(removed !== null);
      scene.unwatch();
      if (isAddedAgain) scene.watch();
      scene.nowMs += EVIDENCE_VALIDITY_MS - 1;
      assert.equal(removed.acknowledge({ term: TERM, index: 1 }, scene.nowMs), 'proven');
      scene.orders.apply({ kind: 'seal', groupName: GROUP, term: TERM });
      assert.equal(removed.acknowledge({ term: TERM, index: 2 }, scene.nowMs), 'unproven');
      assert.equal(removed.evidence.current(scene.nowMs), null);
    });
});

describe('a term of a group that is added gives evidence', () => {
  test('when its promotion was abandoned before', () => {
    const scene = new Scene();
    scene.orders.apply({ kind: 'seal', groupName: GROUP, term: TERM });
    scene.orders.apply({ kind: 'allow', groupName: GROUP });
    scene.watch();
    assert.equal(scene.gainsEvidence(), true);
  });

  test('when its promotion was abandoned before the group was removed', () => {
    const scene = new Scene();
    scene.watch();
    scene.orders.apply({ kind: 'seal', groupName: GROUP, term: TERM });
    scene.orders.apply({ kind: 'allow', groupName: GROUP });
    scene.unwatch();
    scene.watch();
    assert.equal(scene.gainsEvidence(), true);
  });

  test('when an earlier term was revoked before', () => {
    const scene = new Scene();
    scene.orders.apply({ kind: 'seal', groupName: GROUP, term: TERM - 1 });
    scene.watch();
    assert.equal(scene.gainsEvidence(), true);
  });
});
