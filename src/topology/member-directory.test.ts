/**
 * Incarnations of members as the directory lists them: a new one under a known id ends the earlier one.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { HEARTBEAT_MS, ListedMembers, LEAVE_MS, entryOf } from '../../test/support/listed-members.js';
import type { PreparedStatement } from '../relay/statement.js';
import { formatIncarnation } from './incarnation.js';
import type { Member, MemberEntry } from './member-group.js';

const FIRST = entryOf();
const SECOND = entryOf({ bornMs: 2000 });
/** For how long an ended incarnation is retained, in milliseconds. */
const FORMER_MS = 30_000;

/** State of the groups, for comparison. */
function stateOfGroups(scene: ListedMembers): unknown {
  return [...scene.groups.values()].map(({ name, members, former, evidence }) => ({
    name,
    members: [...members.values()].map(stateOf),
    former: [...former].map(([key, member]) => [key, stateOf(member)]),
    leader: evidence.leader,
  }));
}

function stateOf({ entry, hasEnded, missingSinceMs, leavingSinceMs }: Member): unknown {
  return { ...entry, hasEnded, missingSinceMs, leavingSinceMs };
}

/** Fails unless an incarnation has ended in its group, and is retained as a former member only. */
function assertEnded(scene: ListedMembers, old: Member): void {
  const { entry } = old;
  assert.equal(old.hasEnded, true);
  assert.equal(scene.group(entry.groupName).former.get(formatIncarnation(entry)), old);
  assert.notEqual(scene.group(entry.groupName).members.get(entry.memberId), old);
}

describe('a new incarnation under a known id', () => {
  /**
   * Guards against lost commits. The only replica that had received them restarted empty under the same id,
   * and reports of its earlier incarnation were attributed to the new one.
   */
  test('is another member, of which nothing is known', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const old = scene.member();
    old.recordLatency(90);
    old.recordOutcome(true, scene.now);
    old.recordPosition({ term: 4, index: 40 }, scene.now);
    old.recordAnswer(scene.now);
    old.avoid(scene.now);
    scene.directory.listed(SECOND);
    const member = scene.member();
    assert.notEqual(member, old);
    assertEnded(scene, old);
    assert.equal(member.entry.bornMs, 2000);
    assert.equal(member.hasEnded, false);
    assert.equal(member.latencyMs, 0);
    assert.equal(member.failureShare(scene.now), 0);
    assert.equal(member.answeredAtMs, Number.NEGATIVE_INFINITY);
    assert.equal(member.isAvoided(scene.now), false);
    assert.deepEqual(scene.closedControlConnections, ['m'], 'control connections are closed');
  });

  const CHANGES: readonly [string, Partial<MemberEntry>][] = [
    ['at another address', { host: 'elsewhere', port: 7 }],
    ['in another zone', { zone: 'b' }],
    ['in another group', { groupName: 'other' }],
    ['with another role', { saysPrimary: true }],
    ['that drains already', { isDraining: true }],
  ];
  for (const [how, change] of CHANGES)
    test(`is one also ${how}`, () => {
      const scene = new ListedMembers();
      scene.directory.listed(FIRST);
      const old = scene.member();
      scene.directory.listed({ ...SECOND, ...change });
      assertEnded(scene, old);
      const member = scene.member('m', change.groupName);
      assert.deepEqual(member.entry, { ...SECOND, ...change });
      assert.equal(member.isLeaving, change.isDraining === true);
      if (change.groupName !== undefined) assert.equal(scene.group().members.has('m'), false);
    });

  test('is one also while the earlier one is leaving', () => {
    const scene = new ListedMembers();
    scene.directory.listed({ ...FIRST, isDraining: true });
    const old = scene.member();
    scene.directory.listed(SECOND);
    assertEnded(scene, old);
    assert.equal(scene.member().isLeaving, false);
  });

  test('is one also while the earlier one is not listed', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const old = scene.member();
    scene.directory.unlisted('m');
    scene.directory.listed(SECOND);
    assertEnded(scene, old);
    assert.equal(scene.member().missingSinceMs, null);
  });

  test('is added although the earlier one was retired and its entry never disappeared', () => {
    const scene = new ListedMembers();
    scene.directory.listed({ ...FIRST, isDraining: true });
    const old = scene.member();
    scene.advance(LEAVE_MS);
    scene.directory.listed({ ...FIRST, isDraining: true });
    assert.equal(scene.group().members.size, 0, 'the retired incarnation is not added again');
    scene.directory.listed(SECOND);
    assert.equal(scene.member().entry.bornMs, 2000);
    assertEnded(scene, old);
  });

  test('is distinguished from a former member, and that one is retained', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const old = scene.member();
    scene.directory.unlisted('m');
    scene.advance(LEAVE_MS);
    scene.advance(LEAVE_MS);
    assert.equal(scene.group().former.size, 1);
    scene.directory.listed(SECOND);
    assertEnded(scene, old);
    assert.equal(scene.group().former.size, 1);
    scene.advance(FORMER_MS - 1);
    assertEnded(scene, old);
    scene.advance(1);
    assert.equal(scene.group().former.size, 0);
  });

  test('is kept apart from several earlier ones', () => {
    const scene = new ListedMembers();
    for (const bornMs of [1, 2, 3]) scene.directory.listed({ ...FIRST, bornMs });
    assert.deepEqual([...scene.group().former.keys()], ['m@1', 'm@2']);
    assert.equal(scene.member().entry.bornMs, 3);
  });

  test('ends the belief that the id leads, and reports the leader as in doubt', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.group().evidence.observeLeader({ memberId: 'm', term: 3 });
    scene.group().evidence.recordWitness(3, 0, scene.now);
    scene.directory.listed(SECOND);
    assert.equal(scene.group().evidence.leader, null);
    assert.equal(scene.group().leader(scene.now), null);
    assert.deepEqual(scene.doubtedGroups, ['g']);
  });

  test('that is only suspected stays so when the group of the member is removed and added again', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.member().continuity.recordInterruption(scene.now);
    const suspectedAtMs = scene.now;
    scene.groups.delete('g');
    scene.advance(HEARTBEAT_MS);
    scene.addGroup('g');
    assert.equal(scene.member().continuity.mayHaveRestartedAtMs, suspectedAtMs);
  });

  test('of another member does not affect the leader', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.group().evidence.observeLeader({ memberId: 'other', term: 3 });
    scene.directory.listed(SECOND);
    assert.deepEqual(scene.group().evidence.leader, { memberId: 'other', term: 3 });
    assert.deepEqual(scene.doubtedGroups, []);
  });

  test('closes all connections of the earlier one at once, including those in use', async () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const old = scene.member();
    const used = await scene.acquireConnection(old);
    const idle = await scene.acquireConnection(old);
    old.pool.release(idle);
    assert.equal(used.isOpen, true);
    scene.directory.listed(SECOND);
    assert.deepEqual(
      scene.opened.map(({ link }) => link.isOpen),
      [false, false],
    );
    await assert.rejects(scene.acquireConnection(old), 'no connection is opened for the earlier incarnation');
    await scene.acquireConnection(scene.member());
    assert.equal(scene.opened.length, 3);
  });

  test('does not inherit session values and prepared statements of the earlier one', async () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const prepared = { shape: 's', isWrite: false } as PreparedStatement;
    for (const entry of [FIRST, SECOND]) {
      scene.directory.listed(entry);
      const member = scene.member();
      const link = await scene.acquireConnection(member);
      await link.setSessionValues(new Map([['lang', 'ur']]));
      await link.prepare(prepared);
      member.pool.release(link);
    }
    assert.deepEqual(
      scene.opened.map(({ link }) => link.sent.map(({ kind }) => kind)),
      [
        ['set', 'prepare'],
        ['set', 'prepare'],
      ],
    );
  });

  test('is logged, with the start times of both', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.listed(SECOND);
    scene.directory.listed({ ...SECOND, saysPrimary: true });
    scene.directory.listed({ ...SECOND, saysPrimary: true, isDraining: true });
    scene.advance(LEAVE_MS);
    assert.deepEqual(scene.loggedDetails('member_reborn'), [
      { group: 'g', member: 'm', born: 2000, before: 1000 },
    ]);
    const startTimes = ['member_in', 'member_out', 'member_role', 'member_leaves'].map((event) =>
      scene.loggedDetails(event).map(({ born }) => born),
    );
    assert.deepEqual(startTimes, [[1000, 2000], [1000, 2000], [2000], [2000]]);
  });
});

describe('an entry of the known incarnation', () => {
  test('adds no member, with or without a start time', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const member = scene.member();
    scene.directory.listed({ ...FIRST, bornMs: null, slots: 9 });
    assert.equal(scene.member(), member);
    assert.equal(member.entry.slots, 9);
    assert.equal(member.entry.bornMs, 1000, 'the start time is kept');
    scene.directory.listed(SECOND);
    assertEnded(scene, member);
  });

  test('may add the start time later', () => {
    const scene = new ListedMembers();
    scene.directory.listed({ ...FIRST, bornMs: null });
    const member = scene.member();
    scene.directory.listed(FIRST);
    assert.equal(scene.member(), member);
    assert.equal(member.entry.bornMs, 1000);
  });

  test('with a new address leads to connections to that address', async () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    await scene.acquireConnection(scene.member());
    scene.directory.listed({ ...FIRST, port: 7 });
    assert.equal(scene.opened[0]?.link.isOpen, false);
    await scene.acquireConnection(scene.member());
    assert.deepEqual(
      scene.opened.map(({ port }) => port),
      [1, 7],
    );
    assert.equal(scene.group().former.size, 0, 'the incarnation has not ended');
    assert.deepEqual(scene.closedControlConnections, ['m']);
  });

  test('adds a member again after a long absence, with the connections that were in use', async () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const member = scene.member();
    const used = await scene.acquireConnection(member);
    scene.directory.unlisted('m');
    scene.advance(LEAVE_MS);
    scene.advance(LEAVE_MS);
    assert.equal(scene.group().members.size, 0);
    scene.directory.listed(FIRST);
    assert.equal(scene.member(), member);
    assert.equal(member.hasEnded, false);
    assert.equal(scene.group().former.size, 0);
    assert.equal(used.isOpen, true);
    await scene.acquireConnection(member);
    scene.directory.listed(SECOND);
    assert.deepEqual(
      scene.opened.map(({ link }) => link.isOpen),
      [false, false],
    );
  });

  test('does not extend the leave time when it becomes readable again while the member leaves', () => {
    const scene = new ListedMembers();
    const draining = { ...FIRST, isDraining: true };
    scene.directory.listed(draining);
    scene.advance(LEAVE_MS / 2);
    scene.directory.unreadable('m');
    scene.directory.listed(draining);
    scene.advance(LEAVE_MS / 2);
    assert.equal(scene.group().members.size, 0);
    assert.equal(scene.loggedDetails('member_leaves').length, 1);
  });

  test('does not add a retired member again after it was unreadable for a while', () => {
    const scene = new ListedMembers();
    const draining = { ...FIRST, isDraining: true };
    scene.directory.listed(draining);
    scene.advance(LEAVE_MS);
    scene.directory.unreadable('m');
    scene.directory.listed(draining);
    assert.equal(scene.group().members.size, 0);
  });
});

describe('an entry that has become unreadable', () => {
  test('takes its member out of use until it is readable again', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const member = scene.member();
    scene.group().evidence.observeLeader({ memberId: 'm', term: 3 });
    scene.directory.unreadable('m');
    assert.equal(scene.group().members.size, 0);
    assert.equal(scene.group().findFormer('m'), member, 'it may still run');
    assert.equal(scene.group().evidence.leader, null);
    assert.deepEqual(scene.doubtedGroups, ['g']);
    assert.deepEqual(scene.loggedDetails('member_out'), [
      { group: 'g', member: 'm', born: 1000, reason: 'unreadable' },
    ]);
    scene.directory.listed(FIRST);
    assert.equal(scene.member(), member);
    assert.equal(scene.group().former.size, 0);
  });

  test('retains its member while it exists, and for a while after', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.unreadable('m');
    scene.advance(2 * FORMER_MS);
    assert.equal(scene.group().former.size, 1);
    scene.directory.unlisted('m');
    scene.advance(FORMER_MS - 1);
    assert.equal(scene.group().former.size, 1);
    scene.advance(1);
    assert.equal(scene.group().former.size, 0);
    assert.deepEqual(scene.closedControlConnections, ['m']);
  });

  test('does not block a later incarnation, and does not make an earlier one valid', () => {
    const scene = new ListedMembers();
    scene.directory.listed(SECOND);
    const old = scene.member();
    scene.directory.unreadable('m');
    scene.directory.listed(FIRST);
    assert.equal(scene.group().members.size, 0);
    scene.directory.listed({ ...FIRST, bornMs: 3000 });
    assert.equal(scene.member().entry.bornMs, 3000);
    assertEnded(scene, old);
  });

  test('has no effect if no member is known by the id', () => {
    const scene = new ListedMembers();
    scene.directory.unreadable('m');
    scene.directory.unlisted('m');
    assert.deepEqual(scene.events, []);
  });

  test('adds no member to a group that is watched later', () => {
    const scene = new ListedMembers([]);
    scene.directory.listed(FIRST);
    scene.directory.unreadable('m');
    scene.addGroup('g');
    assert.equal(scene.group().members.size, 0);
    scene.directory.listed(FIRST);
    assert.equal(scene.member().entry.bornMs, 1000);
  });
});

describe('an earlier incarnation that is listed after a later one', () => {
  const AFTER: readonly [string, (scene: ListedMembers) => void][] = [
    ['which is listed', () => undefined],
    ['which is leaving', (scene) => scene.directory.listed({ ...SECOND, isDraining: true })],
    ['which is no longer listed', (scene) => scene.directory.unlisted('m')],
    [
      'which is a former member',
      (scene) => {
        scene.directory.unlisted('m');
        scene.advance(LEAVE_MS);
        scene.advance(LEAVE_MS);
      },
    ],
  ];
  for (const [how, prepare] of AFTER)
    for (const change of [{}, { groupName: 'other' }, { port: 7 }, { saysPrimary: true }])
      test(`changes nothing, ${how} (${JSON.stringify(change)})`, () => {
        const scene = new ListedMembers();
        scene.directory.listed(FIRST);
        scene.directory.listed(SECOND);
        prepare(scene);
        const before = stateOfGroups(scene);
        const { length } = scene.events;
        scene.directory.listed({ ...FIRST, ...change });
        assert.deepEqual(stateOfGroups(scene), before);
        assert.equal(scene.events.length, length);
      });

  test('does not prevent the later one from being listed again', () => {
    const scene = new ListedMembers();
    scene.directory.listed(SECOND);
    const member = scene.member();
    scene.directory.listed(FIRST);
    scene.directory.listed(SECOND);
    assert.equal(scene.member(), member);
    assert.equal(scene.loggedDetails('member_reborn').length, 0);
  });

  test('is not added to a group that is watched later', () => {
    const scene = new ListedMembers([]);
    scene.directory.listed(SECOND);
    scene.directory.listed(FIRST);
    scene.addGroup('g');
    assert.equal(scene.member().entry.bornMs, 2000);
  });

  test('is not added either where nobody watches the group, until the later one has long been unlisted', () => {
    const scene = new ListedMembers([]);
    scene.directory.listed(SECOND);
    scene.directory.unlisted('m');
    scene.advance(FORMER_MS - 1);
    scene.directory.listed(FIRST);
    scene.addGroup('g');
    assert.equal(scene.group().members.size, 0);
    scene.advance(1);
    scene.directory.listed(FIRST);
    assert.equal(scene.member().entry.bornMs, 1000);
  });
});

/**
 * Guards against requests to members after their leave time. A store restored from a backup shows entries
 * that are some seconds old until the members have updated them. Such an entry cleared `leavingSinceMs`, so
 * that a leaving member got its full leave time again, and one that had left received requests again.
 */
describe('an older entry after the directory was unavailable', () => {
  function simulateOutage(scene: ListedMembers, ...listed: readonly MemberEntry[]): void {
    scene.directory.availability(false);
    for (const entry of listed) scene.directory.listed(entry);
    scene.directory.loaded();
  }

  test('gives a member that leaves no more time', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.listed({ ...FIRST, isDraining: true });
    const { leavingSinceMs } = scene.member();
    simulateOutage(scene, FIRST);
    scene.advance(HEARTBEAT_MS);
    scene.directory.listed({ ...FIRST, isDraining: true });
    assert.equal(scene.member().leavingSinceMs, leavingSinceMs);
    scene.advance(LEAVE_MS - HEARTBEAT_MS);
    assert.equal(scene.group().members.size, 0);
  });

  test('sends no requests to a member that has left', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.unlisted('m');
    scene.advance(2 * HEARTBEAT_MS);
    scene.advance(LEAVE_MS);
    assert.equal(scene.group().members.size, 0);
    simulateOutage(scene, FIRST);
    scene.advance(HEARTBEAT_MS);
    assert.equal(scene.group().members.size, 0);
    scene.directory.unlisted('m');
    scene.advance(10 * HEARTBEAT_MS);
    assert.equal(scene.group().members.size, 0);
  });

  test('is applied if it still exists after the members have had time to update their entries', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.unlisted('m');
    scene.advance(2 * HEARTBEAT_MS);
    scene.advance(LEAVE_MS);
    simulateOutage(scene, FIRST);
    scene.advance(5 * HEARTBEAT_MS);
    assert.equal(scene.member().isLeaving, false);
  });
});
