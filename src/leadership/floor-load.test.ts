/**
 * The start of many daemons at once.
 *
 * Guards against a leader that is asked by every daemon when all have been restarted: it already gets 2 to 3 times
 * the requests of a replica then.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createTestGroup } from '../../test/support/relay-members.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import type { MemberGroup } from '../topology/member-group.js';
import { EvidenceReader, EvidenceResponder, type SharedEvidence } from './evidence-exchange.js';
import { EvidenceSharing } from './evidence-sharing.js';
import { FloorQuery, FLOOR_QUERY_INTERVAL_MS } from './floor-query.js';

const DAEMONS = 81;
const COLLECTORS = 8;
const GROUPS = 6;
const TERM = 1;
const STEP_MS = 5;
/** When the holder and the collectors get their evidence from members, in milliseconds. */
const EVIDENCE_AT_MS = 1000;
/** Time that a busy leader takes to answer, in milliseconds. */
const LEADER_ANSWER_MS = 120;
const REPLY_MS = 4;
const END_MS = 3000;

/** Daemons on one simulated clock that start at the same time; the first of them are the collectors. */
class Fleet {
  now = 0;
  leaderRequests = 0;
  readonly daemons: readonly FleetDaemon[];

  /** @param holder - number of the daemon that holds the promotion duty, or `null` if none does */
  constructor(
    readonly context: TestContext,
    readonly holder: number | null,
  ) {
    context.mock.timers.enable({ apis: ['setTimeout'] });
    this.daemons = Array.from({ length: DAEMONS }, (_, index) => new FleetDaemon(this, index));
  }

  async advance(untilMs: number): Promise<void> {
    while (this.now < untilMs) {
      this.now += STEP_MS;
      this.context.mock.timers.tick(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
      for (const daemon of this.daemons) daemon.tick();
    }
  }

  after<Value>(ms: number, value: () => Value): Promise<Value> {
    return new Promise((resolve) => setTimeout(() => resolve(value()), ms));
  }

  get withoutFloors(): number {
    return this.daemons.filter(({ hasFloors }) => !hasFloors).length;
  }
}

class FleetDaemon {
  readonly groups: readonly MemberGroup[];
  readonly sharing: EvidenceSharing;
  readonly #queries: readonly FloorQuery[];
  readonly #responder = new EvidenceResponder(() => this.sharing.ownEvidence());
  readonly #readers = new Map<FleetDaemon, EvidenceReader>();

  constructor(
    private readonly fleet: Fleet,
    private readonly index: number,
  ) {
    const now = (): number => fleet.now;
    const idle = { dial: () => Promise.reject(new Error('not dialled')) };
    this.groups = Array.from({ length: GROUPS }, () => createTestGroup({ leader: idle }, now));
    // The groups of the test support have one name; each is known by its number here.
    this.groups.forEach((group, number) => Object.assign(group, { name: `g${number}` }));
    this.sharing = new EvidenceSharing({
      ownName: `d${index}`,
      zone: 'a',
      groups: () => this.groups,
      fleetSize: () => DAEMONS,
      collectors: () =>
        Array.from(
          { length: COLLECTORS },
          (_, number) => ({ name: `d${number}`, zone: 'a' }) as DaemonRecord,
        ),
      holdsDuty: () => fleet.holder === index,
      askHolder: () => this.#ask(fleet.holder),
      askDaemon: ({ name }) => this.#ask(Number(name.slice(1))),
      evidenceGained: () => undefined,
      floorGained: () => undefined,
      invalidFloor: () => assert.fail('a floor was ignored'),
      now,
      // Spreads the choice of a collector over the fleet.
      random: () => ((index * 7 + Math.round(fleet.now)) % 100) / 100,
    });
    this.#queries = this.groups.map(
      (group) =>
        new FloorQuery({
          group,
          suppliesFloors: () => this.sharing.suppliesFloors,
          askLeader: () => {
            fleet.leaderRequests += 1;
            return fleet.after(LEADER_ANSWER_MS, () => ({ term: TERM, index: 7 }));
          },
          now,
        }),
    );
  }

  get hasFloors(): boolean {
    const { now } = this.fleet;
    return this.groups.every((group) => group.readFloorSince(now - 2000, now) !== null);
  }

  tick(): void {
    const { now } = this.fleet;
    const isWitness = this.index < COLLECTORS || this.index === this.fleet.holder;
    if (isWitness && now >= EVIDENCE_AT_MS)
      for (const group of this.groups) group.evidence.recordWitness(TERM, 0, now);
    for (const query of this.#queries) void query.check();
  }

  #ask(other: number | null): Promise<readonly SharedEvidence[] | null> {
    const supplier = other === null ? undefined : this.fleet.daemons[other];
    if (supplier === undefined) return this.fleet.after(REPLY_MS, () => null);
    const reader = this.#readers.get(supplier) ?? new EvidenceReader();
    this.#readers.set(supplier, reader);
    return this.fleet.after(REPLY_MS, () => {
      supplier.sharing.evidenceRequested();
      return reader.read(supplier.#responder.answer(reader.knownVersion));
    });
  }
}

/** Requests of one daemon to the leaders until the end, at the most. */
const MAX_REQUESTS = Math.ceil((END_MS - EVIDENCE_AT_MS) / FLOOR_QUERY_INTERVAL_MS) * GROUPS;

for (const holder of [0, 40, null])
  test(`all daemons have floors soon after evidence, and few ask the leaders; holder ${holder}`, async (context) => {
    const fleet = new Fleet(context, holder);
    for (const { sharing } of fleet.daemons) void sharing.run();
    await fleet.advance(EVIDENCE_AT_MS - STEP_MS);
    assert.deepEqual([fleet.leaderRequests, fleet.withoutFloors], [0, DAEMONS]);
    await fleet.advance(EVIDENCE_AT_MS + LEADER_ANSWER_MS + 200);
    const firstRequests = fleet.leaderRequests;
    assert.equal(fleet.withoutFloors, 0, 'no floor 200 ms after the answer of the leader');
    const suppliers = COLLECTORS + (holder !== null && holder >= COLLECTORS ? 1 : 0);
    assert.ok(firstRequests <= 2 * suppliers * GROUPS, String(firstRequests));
    await fleet.advance(END_MS);
    assert.ok(fleet.leaderRequests <= suppliers * MAX_REQUESTS, String(fleet.leaderRequests));
    context.diagnostic(`requests to ${GROUPS} leaders: ${firstRequests}, ${fleet.leaderRequests} in 2 s`);
    for (const { sharing } of fleet.daemons) sharing.stop();
  });
