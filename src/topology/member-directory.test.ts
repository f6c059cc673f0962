/**
 * Lives of members as the directory lists them: a new start under a known id ends what was known of the earlier one.
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
/** For how long a life that has ended is kept in mind, in milliseconds. */
const FORMER_MS = 30_000;

/** What a directory shows of its groups, for comparison. */
function shown(scene: ListedMembers): unknown {
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

/** Fails unless the earlier life of `m` has ended in its group, and nothing of it is left. */
function assertEnded(scene: ListedMembers, old: Member): void {
  const { entry } = old;
  assert.equal(old.hasEnded, true);
  assert.equal(scene.group(entry.groupName).former.get(formatIncarnation(entry)), old);
  assert.notEqual(scene.group(entry.groupName).members.get(entry.memberId), old);
}

describe('a new life under a known id', () => {
  /**
   * Users saw commits undone: a replica that alone had received them started again under its id, empty, and what the earlier
   * life had said was taken as said by the new one.
   */
  test('is another member, that starts with nothing known of it', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const old = scene.member();
    old.recordLatency(90);
    old.recordOutcome(true, scene.now);
    old.recordPosition({ term: 4, index: 40 }, scene.now);
    old.trust(scene.now);
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
    assert.deepEqual(scene.forgotten, ['m'], 'own connections end');
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

  test('is one also while the earlier one leaves', () => {
    const scene = new ListedMembers();
    scene.directory.listed({ ...FIRST, isDraining: true });
    const old = scene.member();
    scene.directory.listed(SECOND);
    assertEnded(scene, old);
    assert.equal(scene.member().isLeaving, false);
  });

  test('is one also while the earlier one is gone from the listing', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const old = scene.member();
    scene.directory.unlisted('m');
    scene.directory.listed(SECOND);
    assertEnded(scene, old);
    assert.equal(scene.member().missingSinceMs, null);
  });

  test('is taken in though the earlier one was retired and its entry never went missing', () => {
    const scene = new ListedMembers();
    scene.directory.listed({ ...FIRST, isDraining: true });
    const old = scene.member();
    scene.pass(LEAVE_MS);
    scene.directory.listed({ ...FIRST, isDraining: true });
    assert.equal(scene.group().members.size, 0, 'the retired life is not taken in again');
    scene.directory.listed(SECOND);
    assert.equal(scene.member().entry.bornMs, 2000);
    assertEnded(scene, old);
  });

  test('is told from one that is a former member already, and this one is kept in mind', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const old = scene.member();
    scene.directory.unlisted('m');
    scene.pass(LEAVE_MS);
    scene.pass(LEAVE_MS);
    assert.equal(scene.group().former.size, 1);
    scene.directory.listed(SECOND);
    assertEnded(scene, old);
    assert.equal(scene.group().former.size, 1);
    scene.pass(FORMER_MS - 1);
    assertEnded(scene, old);
    scene.pass(1);
    assert.equal(scene.group().former.size, 0);
  });

  test('several lives of one id are kept apart', () => {
    const scene = new ListedMembers();
    for (const bornMs of [1, 2, 3]) scene.directory.listed({ ...FIRST, bornMs });
    assert.deepEqual([...scene.group().former.keys()], ['m@1', 'm@2']);
    assert.equal(scene.member().entry.bornMs, 3);
  });

  test('ends the belief that the id leads, and puts the leader in doubt', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.group().evidence.observeLeader({ memberId: 'm', term: 3 });
    scene.group().evidence.recordWitness(3, 0, scene.now);
    scene.directory.listed(SECOND);
    assert.equal(scene.group().evidence.leader, null);
    assert.equal(scene.group().leader(scene.now), null);
    assert.deepEqual(scene.doubted, ['g']);
  });

  test('of another member leaves the leader alone', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.group().evidence.observeLeader({ memberId: 'other', term: 3 });
    scene.directory.listed(SECOND);
    assert.deepEqual(scene.group().evidence.leader, { memberId: 'other', term: 3 });
    assert.deepEqual(scene.doubted, []);
  });

  test('ends all connections of the earlier one at once, also those in use and silent', async () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const old = scene.member();
    const used = await scene.use(old);
    const idle = await scene.use(old);
    old.pool.release(idle);
    assert.equal(used.isOpen, true);
    scene.directory.listed(SECOND);
    assert.deepEqual(
      scene.opened.map(({ link }) => link.isOpen),
      [false, false],
    );
    await assert.rejects(scene.use(old), 'nothing more is opened for the earlier life');
    await scene.use(scene.member());
    assert.equal(scene.opened.length, 3);
  });

  test('has none of the session values and prepared names of the earlier one', async () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const prepared = { shape: 's', isWrite: false } as PreparedStatement;
    for (const entry of [FIRST, SECOND]) {
      scene.directory.listed(entry);
      const member = scene.member();
      const link = await scene.use(member);
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

  test('is told in the log, with the lives', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.listed(SECOND);
    scene.directory.listed({ ...SECOND, saysPrimary: true });
    scene.directory.listed({ ...SECOND, saysPrimary: true, isDraining: true });
    scene.pass(LEAVE_MS);
    assert.deepEqual(scene.logged('member_reborn'), [{ group: 'g', member: 'm', born: 2000, before: 1000 }]);
    const lives = ['member_in', 'member_out', 'member_role', 'member_leaves'].map((event) =>
      scene.logged(event).map(({ born }) => born),
    );
    assert.deepEqual(lives, [[1000, 2000], [1000, 2000], [2000], [2000]]);
  });
});

describe('an entry of the life that is known', () => {
  test('is no new one, whether it says when it started or not', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const member = scene.member();
    scene.directory.listed({ ...FIRST, bornMs: null, slots: 9 });
    assert.equal(scene.member(), member);
    assert.equal(member.entry.slots, 9);
    assert.equal(member.entry.bornMs, 1000, 'the start is not forgotten');
    scene.directory.listed(SECOND);
    assertEnded(scene, member);
  });

  test('may say when it started after it did not', () => {
    const scene = new ListedMembers();
    scene.directory.listed({ ...FIRST, bornMs: null });
    const member = scene.member();
    scene.directory.listed(FIRST);
    assert.equal(scene.member(), member);
    assert.equal(member.entry.bornMs, 1000);
  });

  test('gets connections to its new address when that has changed', async () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    await scene.use(scene.member());
    scene.directory.listed({ ...FIRST, port: 7 });
    assert.equal(scene.opened[0]?.link.isOpen, false);
    await scene.use(scene.member());
    assert.deepEqual(
      scene.opened.map(({ port }) => port),
      [1, 7],
    );
    assert.equal(scene.group().former.size, 0, 'its life goes on');
    assert.deepEqual(scene.forgotten, ['m']);
  });

  test('takes in again what was gone for long, with the connections that were in use', async () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const member = scene.member();
    const used = await scene.use(member);
    scene.directory.unlisted('m');
    scene.pass(LEAVE_MS);
    scene.pass(LEAVE_MS);
    assert.equal(scene.group().members.size, 0);
    scene.directory.listed(FIRST);
    assert.equal(scene.member(), member);
    assert.equal(member.hasEnded, false);
    assert.equal(scene.group().former.size, 0);
    assert.equal(used.isOpen, true);
    await scene.use(member);
    scene.directory.listed(SECOND);
    assert.deepEqual(
      scene.opened.map(({ link }) => link.isOpen),
      [false, false],
    );
  });

  test('has no more time to serve when it is read again while it leaves', () => {
    const scene = new ListedMembers();
    const draining = { ...FIRST, isDraining: true };
    scene.directory.listed(draining);
    scene.pass(LEAVE_MS / 2);
    scene.directory.unreadable('m');
    scene.directory.listed(draining);
    scene.pass(LEAVE_MS / 2);
    assert.equal(scene.group().members.size, 0);
    assert.equal(scene.logged('member_leaves').length, 1);
  });

  test('stays retired though its entry was unreadable for a while', () => {
    const scene = new ListedMembers();
    const draining = { ...FIRST, isDraining: true };
    scene.directory.listed(draining);
    scene.pass(LEAVE_MS);
    scene.directory.unreadable('m');
    scene.directory.listed(draining);
    assert.equal(scene.group().members.size, 0);
  });
});

describe('an entry that was good and is unreadable', () => {
  test('names no member to use until it is good again', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    const member = scene.member();
    scene.group().evidence.observeLeader({ memberId: 'm', term: 3 });
    scene.directory.unreadable('m');
    assert.equal(scene.group().members.size, 0);
    assert.equal(scene.group().formerOf('m'), member, 'it may still run');
    assert.equal(scene.group().evidence.leader, null);
    assert.deepEqual(scene.doubted, ['g']);
    assert.deepEqual(scene.logged('member_out'), [
      { group: 'g', member: 'm', born: 1000, reason: 'unreadable' },
    ]);
    scene.directory.listed(FIRST);
    assert.equal(scene.member(), member);
    assert.equal(scene.group().former.size, 0);
  });

  test('is kept in mind while it stands, and for a while after', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.unreadable('m');
    scene.pass(2 * FORMER_MS);
    assert.equal(scene.group().former.size, 1);
    scene.directory.unlisted('m');
    scene.pass(FORMER_MS - 1);
    assert.equal(scene.group().former.size, 1);
    scene.pass(1);
    assert.equal(scene.group().former.size, 0);
    assert.deepEqual(scene.forgotten, ['m']);
  });

  test('says nothing against a younger life, and for no older one', () => {
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

  test('is nothing where no member is known by the id', () => {
    const scene = new ListedMembers();
    scene.directory.unreadable('m');
    scene.directory.unlisted('m');
    assert.deepEqual(scene.events, []);
  });

  test('fills no group that is watched from then on', () => {
    const scene = new ListedMembers([]);
    scene.directory.listed(FIRST);
    scene.directory.unreadable('m');
    scene.watch('g');
    assert.equal(scene.group().members.size, 0);
    scene.directory.listed(FIRST);
    assert.equal(scene.member().entry.bornMs, 1000);
  });
});

describe('an older life that is listed after a younger one', () => {
  const AFTER: readonly [string, (scene: ListedMembers) => void][] = [
    ['which is listed', () => undefined],
    ['which leaves', (scene) => scene.directory.listed({ ...SECOND, isDraining: true })],
    ['which is no longer listed', (scene) => scene.directory.unlisted('m')],
    [
      'which is a former member',
      (scene) => {
        scene.directory.unlisted('m');
        scene.pass(LEAVE_MS);
        scene.pass(LEAVE_MS);
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
        const before = shown(scene);
        const { length } = scene.events;
        scene.directory.listed({ ...FIRST, ...change });
        assert.deepEqual(shown(scene), before);
        assert.equal(scene.events.length, length);
      });

  test('does not stand in the way of the younger one when that is listed again', () => {
    const scene = new ListedMembers();
    scene.directory.listed(SECOND);
    const member = scene.member();
    scene.directory.listed(FIRST);
    scene.directory.listed(SECOND);
    assert.equal(scene.member(), member);
    assert.equal(scene.logged('member_reborn').length, 0);
  });

  test('is not what a group is filled with that is watched from then on', () => {
    const scene = new ListedMembers([]);
    scene.directory.listed(SECOND);
    scene.directory.listed(FIRST);
    scene.watch('g');
    assert.equal(scene.member().entry.bornMs, 2000);
  });

  test('is not taken in either where nobody watches the group, until the younger one is long gone', () => {
    const scene = new ListedMembers([]);
    scene.directory.listed(SECOND);
    scene.directory.unlisted('m');
    scene.pass(FORMER_MS - 1);
    scene.directory.listed(FIRST);
    scene.watch('g');
    assert.equal(scene.group().members.size, 0);
    scene.pass(1);
    scene.directory.listed(FIRST);
    assert.equal(scene.member().entry.bornMs, 1000);
  });
});

/**
 * A store that comes back from a copy shows for a moment what members said some seconds ago, until they have written again. A member
 * that was leaving was given its whole time once more, and one that had left was given work again: requests reached members for longer
 * after they had said that they leave than is allowed. Evidence: on the code before, `leavingSinceMs` is cleared by the older entry.
 */
describe('an older entry after the directory was away', () => {
  function away(scene: ListedMembers, ...listed: readonly MemberEntry[]): void {
    scene.directory.availability(false);
    for (const entry of listed) scene.directory.listed(entry);
    scene.directory.loaded();
  }

  test('gives a member that leaves no more time', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.listed({ ...FIRST, isDraining: true });
    const { leavingSinceMs } = scene.member();
    away(scene, FIRST);
    scene.pass(HEARTBEAT_MS);
    scene.directory.listed({ ...FIRST, isDraining: true });
    assert.equal(scene.member().leavingSinceMs, leavingSinceMs);
    scene.pass(LEAVE_MS - HEARTBEAT_MS);
    assert.equal(scene.group().members.size, 0);
  });

  test('gives a member that has left no work', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.unlisted('m');
    scene.pass(2 * HEARTBEAT_MS);
    scene.pass(LEAVE_MS);
    assert.equal(scene.group().members.size, 0);
    away(scene, FIRST);
    scene.pass(HEARTBEAT_MS);
    assert.equal(scene.group().members.size, 0);
    scene.directory.unlisted('m');
    scene.pass(10 * HEARTBEAT_MS);
    assert.equal(scene.group().members.size, 0);
  });

  test('counts once it still stands after its members have had time to write again', () => {
    const scene = new ListedMembers();
    scene.directory.listed(FIRST);
    scene.directory.unlisted('m');
    scene.pass(2 * HEARTBEAT_MS);
    scene.pass(LEAVE_MS);
    away(scene, FIRST);
    scene.pass(5 * HEARTBEAT_MS);
    assert.equal(scene.member().isLeaving, false);
  });
});
