/**
 * Guards against an isolation without its effects, and against pings while nothing is in doubt.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { daemonRecord } from '../../test/support/daemon-records.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import type { MemberLink } from '../relay/member-link.js';
import { IsolationMonitor } from './isolation-monitor.js';

const TICK_MS = 50;
const OWN_ZONE = 'a';

/** A monitor with a clock, whose connections to other daemons await answers. */
class Scene {
  nowMs = 1000;
  readonly pings: string[] = [];
  readonly events: string[] = [];
  restriction: string | null = null;
  cutOffCalls = 0;
  isReady = true;
  readonly group = createTestGroup(
    { leader: { dial: () => new Promise<MemberLink>(() => undefined) } },
    () => this.nowMs,
    null,
    { leader: 'b' },
  );
  readonly monitor = new IsolationMonitor({
    zone: OWN_ZONE,
    connections: {
      recordTraffic: (_zone, traffic) => traffic.recordWaiting(1000),
      ping: ({ name }) => this.pings.push(name),
      restrictToZone: (zone) => (this.restriction = zone),
    },
    groups: () => [this.group],
    isReady: () => this.isReady,
    changed: (isIsolated) => this.events.push(`changed ${isIsolated}`),
    log: (event, details) => this.events.push(`${event} ${JSON.stringify(details)}`),
    now: () => this.nowMs,
    random: () => 0.5,
  });

  constructor() {
    this.monitor.daemonsChanged([
      daemonRecord('near', { zone: OWN_ZONE }),
      daemonRecord('one', { zone: 'b' }),
      daemonRecord('two', { zone: 'c' }),
    ]);
    this.monitor.add({ cutOff: () => (this.cutOffCalls += 1) });
  }

  runUntil(untilMs: number, isReceiving = false): void {
    while (this.nowMs < untilMs) {
      this.nowMs += TICK_MS;
      if (isReceiving) this.monitor.traffic.recordReceived(this.nowMs);
      this.monitor.check();
    }
  }
}

test('pings daemons of other zones, then cuts requests off, and ends when bytes arrive', async () => {
  const scene = new Scene();
  scene.runUntil(2000, true);
  assert.deepEqual(scene.pings, []);
  scene.runUntil(2350);
  assert.deepEqual(scene.pings.toSorted(), ['one', 'two']);
  assert.equal(scene.monitor.isIsolated, false);
  const member = scene.group.members.get('leader');
  assert.ok(member !== undefined);
  const demand = { tenantName: null, values: new Map(), isWrite: false, priority: 1, dueAtMs: 1e9 };
  const waiting = assert.rejects(member.pool.acquire(demand, 60_000), /the daemon is cut off/);
  scene.runUntil(2700);
  await waiting;
  assert.equal(scene.monitor.isIsolated, true);
  assert.equal(scene.restriction, OWN_ZONE);
  assert.ok(scene.cutOffCalls > 0);
  assert.deepEqual(scene.events, ['isolated {"silentMs":700}', 'changed true']);
  scene.pings.length = 0;
  scene.runUntil(3700);
  assert.equal(scene.pings.length, 10, 'two daemons every 200 ms');
  scene.group.evidence.recordWitness(1, 0, 4200);
  scene.runUntil(4250, true);
  assert.equal(scene.monitor.isIsolated, false);
  assert.equal(scene.restriction, null);
  assert.deepEqual(scene.events.slice(2), [
    'isolation_ended {"silentMs":2250,"isolatedMs":1550}',
    'changed false',
  ]);
});

test('is never isolated before the daemon is ready, or without daemons in other zones', () => {
  for (const prepare of [
    (scene: Scene): unknown => (scene.isReady = false),
    (scene: Scene): unknown => scene.monitor.daemonsChanged([daemonRecord('near', { zone: OWN_ZONE })]),
  ]) {
    const scene = new Scene();
    prepare(scene);
    scene.runUntil(10_000);
    assert.equal(scene.monitor.isIsolated, false);
    assert.deepEqual(scene.pings, []);
  }
});

test('records requests to daemons of other zones only, and their answers', async () => {
  const { monitor } = new Scene();
  await monitor.observe(OWN_ZONE, Promise.resolve(1));
  await monitor.observe(null, Promise.resolve(1));
  assert.equal(monitor.traffic.silentSinceMs, null);
  await monitor.observe('b', Promise.resolve(null));
  assert.equal(monitor.traffic.silentSinceMs, 1000, 'no answer');
  await monitor.observe('b', Promise.resolve(1));
  assert.equal(monitor.traffic.lastReceivedMs, 1000);
});
