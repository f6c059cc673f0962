/**
 * Read floors between two daemons: from the position that the leader reports to one of them to the floor that
 * the other one uses.
 *
 * Guards against a floor that is taken for newer than it is, so that a read misses an acknowledged commit.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { MemberGroup } from '../topology/member-group.js';
import type { Position } from '../position/position.js';
import { EvidenceReader, EvidenceResponder, type EvidenceReply } from './evidence-exchange.js';
import { EvidenceSharing } from './evidence-sharing.js';

const LEADER = { memberId: 'leader', term: 1 };
const at = (index: number): Position => ({ term: 1, index });

/** A daemon whose clock differs from the true time, and which asks one other daemon for evidence. */
class SharingDaemon {
  readonly group = new MemberGroup('g');
  readonly sharing: EvidenceSharing;
  readonly invalidFloors: string[] = [];
  floorsGained = 0;
  readonly #responder = new EvidenceResponder(() => this.sharing.ownEvidence());
  readonly #reader = new EvidenceReader();

  /**
   * @param now - the clock of its process
   * @param exchange - sends a request to the other daemon, and returns its reply
   */
  constructor(
    readonly now: () => number,
    exchange: (knownVersion: number) => EvidenceReply | null,
    isHolderAsked = true,
  ) {
    const ask = (): Promise<ReturnType<EvidenceReader['read']> | null> => {
      const reply = exchange(this.#reader.knownVersion);
      this.sharing.stop();
      return Promise.resolve(reply === null ? null : this.#reader.read(reply));
    };
    this.sharing = new EvidenceSharing({
      ownName: 'd1',
      zone: 'a',
      groups: () => [this.group],
      fleetSize: () => 1,
      collectors: () => [{ name: 'd2', zone: 'a' } as DaemonRecord],
      holdsDuty: () => false,
      askHolder: () => (isHolderAsked ? ask() : Promise.resolve(null)),
      askDaemon: ask,
      evidenceGained: () => undefined,
      floorGained: () => void (this.floorsGained += 1),
      invalidFloor: (source) => void this.invalidFloors.push(source),
      now,
      random: () => 0.5,
    });
  }

  /** Gives the daemon evidence of the leader. */
  prove(): this {
    this.group.recordLeader(LEADER, null);
    this.group.evidence.recordWitness(LEADER.term, 0, this.now());
    return this;
  }

  /** The reply to a request as it arrives, after the encoding for the wire. */
  reply(knownVersion: number): EvidenceReply {
    return JSON.parse(JSON.stringify(this.#responder.answer(knownVersion))) as EvidenceReply;
  }

  /** Asks the other daemon once. */
  async askOnce(): Promise<void> {
    const running = this.sharing.run();
    this.sharing.requestNow();
    await running;
  }

  readFloor(sinceMs: number): Position | null {
    return this.group.readFloorSince(sinceMs, this.now())?.position ?? null;
  }
}

/** A daemon that asks one which knows the position 7, with replies that the test may change. */
async function askWith(
  change: (reply: EvidenceReply) => unknown,
  isHolderAsked = true,
): Promise<SharingDaemon> {
  const clock = { now: 5000 };
  const now = (): number => clock.now;
  const supplier = new SharingDaemon(now, () => null).prove();
  supplier.group.recordLeaderPosition(clock.now - 100, at(7));
  const exchange = (known: number): EvidenceReply => change(supplier.reply(known)) as EvidenceReply;
  const asking = new SharingDaemon(now, exchange, isHolderAsked);
  await asking.askOnce();
  return asking;
}

describe('the floor of a daemon that has just started', () => {
  test('is known after one reply of the holder or of a collector', async () => {
    for (const isHolderAsked of [true, false]) {
      const daemon = await askWith((reply) => reply, isHolderAsked);
      assert.deepEqual(daemon.readFloor(4900), at(7));
      assert.equal(daemon.readFloor(4901), null);
      assert.equal(daemon.floorsGained, 1);
    }
  });

  /** The reply of the build before has no floors. */
  test('is unknown, and its evidence valid, when the other daemon is of the build before', async () => {
    const daemon = await askWith(({ version, leaders, agesMs }) => ({ version, leaders, agesMs }));
    assert.equal(daemon.readFloor(0), null);
    assert.ok(daemon.group.evidence.current(daemon.now()));
    assert.deepEqual(daemon.invalidFloors, []);
  });

  test('is unknown, and its evidence valid, when the floor of the reply is absurd', async () => {
    const floor = { groupName: 'g', ...LEADER, position: at(7), ageMs: 10 };
    const absurd = [
      { ...floor, ageMs: -1 },
      { ...floor, ageMs: null },
      { ...floor, ageMs: 5001 },
      { ...floor, position: { term: 1, index: -7 } },
      { ...floor, position: '1.7' },
      { ...floor, position: at(0) },
    ];
    for (const one of absurd) {
      const daemon = await askWith((reply) => ({ ...reply, floors: [one] }), false);
      assert.equal(daemon.readFloor(0), null, JSON.stringify(one));
      assert.ok(daemon.group.evidence.current(daemon.now()));
      assert.deepEqual(daemon.invalidFloors, ['d2']);
    }
    for (const floors of [null, 7, {}, [null], [{}], [{ ...floor, groupName: 'unknown' }]]) {
      const daemon = await askWith((reply) => ({ ...reply, floors }));
      assert.equal(daemon.readFloor(0), null, JSON.stringify(floors));
      assert.ok(daemon.group.evidence.current(daemon.now()));
    }
  });

  test('is unknown when the reply names another leader or term for it', async () => {
    for (const other of [{ memberId: 'other' }, { term: 2 }]) {
      const floor = { groupName: 'g', ...LEADER, ...other, position: at(7), ageMs: 10 };
      const daemon = await askWith((reply) => ({ ...reply, floors: [floor] }));
      assert.equal(daemon.readFloor(0), null);
    }
  });

  /** The evidence of the reply is too old to be valid here; the floor is not used without any. */
  test('is unknown when the reply gives no valid evidence', async () => {
    const daemon = await askWith((reply) => ({ ...reply, agesMs: [60_000] }));
    assert.equal(daemon.group.evidence.current(daemon.now()), null);
    assert.equal(daemon.readFloor(0), null);
  });
});

/** A daemon of the build before reads only the fields that it knows. */
test('a reply with floors has the fields of the build before unchanged', () => {
  const supplier = new SharingDaemon(
    () => 5000,
    () => null,
  ).prove();
  const before = supplier.reply(0);
  supplier.group.recordLeaderPosition(4900, at(7));
  const { floors, ...rest } = supplier.reply(0);
  assert.deepEqual(rest, before);
  assert.deepEqual(floors, [{ groupName: 'g', ...LEADER, position: at(7), ageMs: 100 }]);
  assert.equal(before.floors, undefined);
});

test('a floor that is older than positions are kept is not shared', () => {
  const clock = { now: 5000 };
  const supplier = new SharingDaemon(
    () => clock.now,
    () => null,
  ).prove();
  supplier.group.recordLeaderPosition(4999.5, at(7));
  clock.now += 4999;
  supplier.prove();
  assert.equal(supplier.reply(0).floors?.length, 1);
  clock.now += 2;
  supplier.prove();
  assert.equal(supplier.reply(0).floors, undefined);
});

/** Steps at which either daemon, or the network, may be delayed, in milliseconds each. */
interface Delays {
  readonly leaderAnswerMs: number;
  readonly untilRequestMs: number;
  readonly requestMs: number;
  readonly replyMs: number;
  /** Between the arrival of the reply and its use. */
  readonly untilUseMs: number;
}

const DELAY = fc.double({ min: 0, max: 700, noNaN: true });
const DELAYS = fc.record<Delays>({
  leaderAnswerMs: DELAY,
  untilRequestMs: DELAY,
  requestMs: DELAY,
  replyMs: DELAY,
  untilUseMs: DELAY,
});

/**
 * Commits every 5 ms at the leader. Clocks are monotonic per process only, and either daemon may be paused between
 * any two steps.
 */
test('a read never has a floor below a commit that was acknowledged before its staleness bound began', async () => {
  const CLOCK = fc.double({ min: 0, max: 1e9, noNaN: true });
  const STALENESS_MS = fc.integer({ min: 0, max: 3000 });
  let floorsUsed = 0;
  await fc.assert(
    fc.asyncProperty(CLOCK, CLOCK, DELAYS, STALENESS_MS, async (one, other, delays, stalenessMs) => {
      const time = { ms: 0 };
      const logAt = (ms: number): number => 1 + Math.floor(ms / 5);
      const supplier = new SharingDaemon(
        () => one + time.ms,
        () => null,
      ).prove();
      const asking = new SharingDaemon(
        () => other + time.ms,
        (known) => {
          time.ms += delays.requestMs;
          const reply = supplier.reply(known);
          time.ms += delays.replyMs;
          return reply;
        },
      );
      const askedAtMs = supplier.now();
      const position = at(logAt(time.ms));
      time.ms += delays.leaderAnswerMs;
      supplier.group.recordLeaderPosition(askedAtMs, position);
      time.ms += delays.untilRequestMs;
      await asking.askOnce();
      time.ms += delays.untilUseMs;
      const floor = asking.readFloor(asking.now() - stalenessMs);
      if (floor === null) return;
      floorsUsed += 1;
      const lastCommit = logAt(time.ms - stalenessMs);
      assert.ok(floor.index >= lastCommit, `${floor.index} lacks ${lastCommit}`);
    }),
    { seed: 20261203, numRuns: 500 },
  );
  assert.ok(floorsUsed > 50, String(floorsUsed));
});
