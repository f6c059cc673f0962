/**
 * What placement says of members with, without and after reports.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MemberConnections } from '../gateway/member-connections.js';
import { Member } from '../topology/member-group.js';
import { MemberLoads } from './member-load.js';
import { Placement, type Assessment } from './placement.js';
import { ZoneLatency } from './zone-latency.js';

const GATEWAYS = [{ name: 'g' }];
/** The lowest draw: each choice considers the reports, and no member is withheld. */
const LOWEST = 0;

interface Scene {
  readonly clock: { now: number };
  readonly loads: MemberLoads;
  readonly zoneLatency: ZoneLatency;
  readonly events: string[];
  readonly members: readonly Member[];
  readonly placement: Placement;
  /** Assessments of the members, with a random number that is the same for all draws. */
  assess(draw?: number): readonly (Assessment | undefined)[];
}

/** Three members with 2 own requests each, in the own zone and two others. */
function scene(hasGateways = true): Scene {
  const clock = { now: 0 };
  const loads = new MemberLoads();
  const zoneLatency = new ZoneLatency();
  const events: string[] = [];
  const members = ['own', 'near', 'far'].map((zone) => {
    const memberId = `m-${zone}`;
    const pool = {
      hasGateways,
      load: 2,
      reportedLoad: (_tenant: string, nowMs: number) => loads.average(memberId, GATEWAYS, nowMs),
    };
    const entry = { memberId, groupName: 'g', host: 'h', port: 1, zone, slots: 4 };
    const listing = { ...entry, isDraining: false, saysPrimary: false, bornMs: null };
    return new Member(listing, pool as unknown as MemberConnections);
  });
  for (const member of members) member.recordLatency(26);
  let nextDraw = LOWEST;
  const placement = new Placement({
    zone: 'own',
    loads,
    zoneLatency,
    log: (event) => void events.push(event),
    now: () => clock.now,
    random: () => nextDraw,
  });
  const assess = (draw = LOWEST): readonly (Assessment | undefined)[] => {
    nextDraw = draw;
    return placement.assess(members, '');
  };
  return { clock, loads, zoneLatency, events, members, placement, assess };
}

/** The choice of the build before: own requests, own response times, and a fixed cost of other zones. */
const AS_BEFORE = [0, 30, 30].map((distanceCostMs) => ({
  isWithheld: false,
  latencyMs: 26,
  distanceCostMs,
  load: 2,
  isLoadReported: false,
}));

test('without reports and measurements, members are assessed as before', () => {
  assert.deepEqual(scene().assess(), AS_BEFORE);
  assert.deepEqual(scene(false).assess(), AS_BEFORE);
});

test('once reports stop, members are assessed as before, at the latest after 4 s', () => {
  const { clock, loads, assess } = scene();
  for (const member of ['m-own', 'm-near', 'm-far'])
    loads.entry(member, 'g').record({ inUse: 4, waiting: 6, serviceMs: 30 }, false, 0);
  assert.deepEqual(
    assess().map((assessment) => assessment?.load),
    [10, 10, 10],
  );
  clock.now = 500;
  assert.equal(assess()[0]?.load, 6, 'half of the weight is left');
  clock.now = 4000;
  assert.deepEqual(assess(), AS_BEFORE);
});

test('half of the choices do not consider reports, so that daemons do not all move at once', () => {
  const { loads, assess } = scene();
  loads.entry('m-own', 'g').record({ inUse: 4, waiting: 6, serviceMs: 30 }, false, 0);
  assert.equal(assess(0.49)[0]?.load, 10);
  assert.deepEqual(assess(0.5), AS_BEFORE);
});

test('a measured round trip replaces the fixed cost of its zone only', () => {
  const { zoneLatency, assess } = scene();
  zoneLatency.record('near', 1, 0);
  assert.deepEqual(
    assess().map((assessment) => assessment?.distanceCostMs),
    [0, 6, 30],
  );
  zoneLatency.record('far', 50, 0);
  assert.equal(assess()[2]?.distanceCostMs, 100);
});

test('a far member is not slow because of its distance', () => {
  const { zoneLatency, members, events, assess } = scene();
  zoneLatency.record('far', 150, 0);
  const far = members[2];
  far?.recentLatency.record(176, 0);
  for (let answer = 0; answer < 100; answer += 1) far?.recordLatency(176);
  assert.equal(assess(0.9)[2]?.isWithheld, false);
  assert.deepEqual(events, []);
});

test('a member that leaves reads unanswered is slow before it has answered any', () => {
  const { clock, members, events, assess } = scene();
  const read = members[0]?.pendingReads.start(0);
  clock.now = 78;
  assert.equal(assess(0.9)[0]?.isWithheld, false);
  clock.now = 79;
  assert.equal(assess(0.9)[0]?.isWithheld, true);
  assert.equal(assess(0.9)[1]?.isWithheld, false);
  assert.deepEqual(events, ['member_degraded'], 'logged once');
  if (read !== undefined) members[0]?.pendingReads.end(read, clock.now);
  clock.now += 3000;
  assert.equal(assess(0.9)[0]?.isWithheld, false);
});

// Guards against deadlines that count as answers: at a member that hangs, each would reset the unanswered time, and
// the member would get its whole share again.
test('reads that end without an answer do not hide that the others have none', () => {
  const { clock, members, assess } = scene();
  const pendingReads = members[0]?.pendingReads;
  assert.ok(pendingReads !== undefined);
  const reads = Array.from({ length: 200 }, (_, index) => pendingReads.start(index * 50));
  for (const [index, read] of reads.entries()) {
    clock.now = 800 + index * 50;
    pendingReads.giveUp(read);
    const isLast = index === reads.length - 1;
    if (!isLast) assert.equal(assess(0.9)[0]?.isWithheld, true, `${clock.now}`);
  }
  clock.now += 3000;
  assert.equal(assess(0.9)[0]?.isWithheld, false, 'nothing is awaited any more');
});

test('a delay of the own process makes no member slow', () => {
  const { clock, members, placement, events, assess } = scene();
  const [own, near] = members;
  assert.ok(own !== undefined && near !== undefined);
  own.pendingReads.start(0);
  clock.now = 500;
  placement.recordOwnDelay();
  assert.equal(assess(0.9)[0]?.isWithheld, false, 'reads without an answer');
  placement.recordLatency(near, 490);
  assert.equal(assess(0.9)[1]?.isWithheld, false, 'an answer that was read late');
  clock.now = 579;
  assert.equal(assess(0.9)[0]?.isWithheld, true, 'still no answer 79 ms after the delay');
  placement.recordLatency(near, 79);
  assert.equal(assess(0.9)[1]?.isWithheld, true, 'an answer to a read that was sent after the delay');
  assert.deepEqual(events, ['member_degraded', 'member_degraded']);
});

test('a long read does not make a member slow that answers others meanwhile', () => {
  const { clock, members, assess } = scene();
  members[0]?.pendingReads.start(0);
  for (clock.now = 50; clock.now < 1000; clock.now += 50) {
    const read = members[0]?.pendingReads.start(clock.now - 26);
    if (read !== undefined) members[0]?.pendingReads.end(read, clock.now);
    assert.equal(assess(0.9)[0]?.isWithheld, false, `${clock.now}`);
  }
});

test('an old response time loses its weight only where members have gateways, or after the member was slow', () => {
  for (const [hasGateways, expectedMs] of [
    [true, 26 + 104 / 4],
    [false, 130],
  ] as const) {
    const { clock, members, assess } = scene(hasGateways);
    for (let answer = 0; answer < 200; answer += 1) members[0]?.recordLatency(130);
    members[0]?.recentLatency.record(130, -2000);
    clock.now = 1000;
    assert.equal(Math.round(assess()[0]?.latencyMs ?? 0), expectedMs);
  }
});
