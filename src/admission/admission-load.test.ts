/**
 * Admission to a pool under a load of several times its capacity, and when connections are lost meanwhile.
 *
 * Guards against requests that are held until their deadline although the length of the queue shows on arrival
 * that they can't be served, and against capacity being spent on requests that are already late: without
 * admission, most of 2.5 s of overload ends in time-outs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  PoolSimulation,
  type SimulatedOutcome,
  type SimulatedRequest,
} from '../../test/support/pool-simulation.js';

const CONNECTIONS = 4;
const USE_MS = 10;
/** Requests per second that the connections serve. */
const CAPACITY_PER_S = (CONNECTIONS * 1000) / USE_MS;
const REQUEST: Omit<SimulatedRequest, 'arrivesAtMs'> = { priority: 1, objectiveMs: 250, timeoutMs: 800 };
/** Light load before the test begins, by which the pool opens its connections and measures their use. */
const WARM_UP_MS = 500;

async function simulate(
  prepare: (simulation: PoolSimulation) => void,
  useMs: (simulation: PoolSimulation) => number = () => USE_MS,
): Promise<PoolSimulation> {
  const simulation: PoolSimulation = new PoolSimulation(CONNECTIONS, () => useMs(simulation));
  simulation.addStream(CAPACITY_PER_S * 0.8, 0, WARM_UP_MS, REQUEST);
  prepare(simulation);
  await simulation.run();
  return simulation;
}

function countOf(outcomes: readonly SimulatedOutcome[], kind: SimulatedOutcome['kind']): number {
  return outcomes.filter((outcome) => outcome.kind === kind).length;
}

function servedInTime(outcomes: readonly SimulatedOutcome[]): number {
  return outcomes.filter(({ kind, tookMs, request }) => kind === 'served' && tookMs <= request.objectiveMs)
    .length;
}

test('a burst of five times the capacity: the capacity serves requests in time, the others are refused at once', async () => {
  const simulation = await simulate((pool) => pool.addStream(CAPACITY_PER_S * 5, 1000, 3000, REQUEST));
  const burst = simulation.arrivedIn(1000, 3000);
  assert.equal(burst.length, simulation.arrivedIn(WARM_UP_MS, 10_000).length);
  assert.ok(burst.length > CAPACITY_PER_S * 2 * 4.5, `${burst.length} requests`);
  const inTime = servedInTime(burst);
  assert.ok(inTime > CAPACITY_PER_S * 2 * 0.9, `${inTime} of ${burst.length} in time`);
  assert.equal(countOf(burst, 'expired'), 0, 'no request is held until its deadline');
  const refused = burst.filter(({ kind }) => kind === 'refused');
  const atOnce = refused.filter(({ tookMs }) => tookMs === 0).length;
  assert.ok(atOnce > refused.length * 0.97, `${atOnce} of ${refused.length} refused on arrival`);
  assert.ok(refused.every(({ tookMs, request }) => tookMs <= request.objectiveMs + 100));
});

test('without a deadline no request is refused: most of the same burst ends in time-outs', async () => {
  const unrefusable = { ...REQUEST, isRefusable: false };
  const simulation = await simulate((pool) => pool.addStream(CAPACITY_PER_S * 5, 1000, 3000, unrefusable));
  const burst = simulation.arrivedIn(1000, 3000);
  assert.equal(countOf(burst, 'refused'), 0);
  assert.ok(countOf(burst, 'expired') > burst.length / 2);
});

test('a load within the capacity, and a short burst that fits into the latency objective, refuse nothing', async () => {
  const simulation = await simulate((pool) => {
    pool.addStream(CAPACITY_PER_S * 0.9, 1000, 2000, REQUEST);
    for (let i = 0; i < 40; i += 1) pool.add({ ...REQUEST, arrivesAtMs: 3000 });
  });
  assert.equal(countOf(simulation.outcomes, 'refused'), 0);
  assert.equal(servedInTime(simulation.outcomes), simulation.outcomes.length);
});

test('refused clients that retry when told are spread at the service rate, and are served', async () => {
  const returns: number[] = [];
  const simulation = await simulate((pool) => {
    for (let i = 0; i < 600; i += 1)
      pool.add({ ...REQUEST, arrivesAtMs: 1000 }, (retryAfterMs) => {
        returns.push(1000 + retryAfterMs);
        pool.add({ ...REQUEST, arrivesAtMs: 1000 + retryAfterMs });
      });
  });
  assert.ok(returns.length > 300, `${returns.length} refused`);
  const retried = simulation.arrivedIn(1001, 10_000);
  assert.equal(retried.length, returns.length);
  for (let fromMs = 1000; fromMs < 3000; fromMs += 100) {
    const arrived = simulation.arrivedIn(fromMs + 1, fromMs + 101).length;
    assert.ok(arrived <= CAPACITY_PER_S * 0.1 * 1.3, `${arrived} return within 100 ms at ${fromMs}`);
  }
  assert.ok(servedInTime(retried) >= retried.length * 0.95, `${servedInTime(retried)} of ${retried.length}`);
});

test('urgent requests that take the whole capacity leave less urgent ones no wait until the deadline', async () => {
  const simulation = await simulate((pool) => {
    pool.addStream(CAPACITY_PER_S * 1.5, 1000, 3000, { ...REQUEST, priority: 0 });
    pool.addStream(CAPACITY_PER_S * 0.5, 1000, 3000, { ...REQUEST, priority: 2, timeoutMs: 2000 });
  });
  const steady = simulation.arrivedIn(1500, 3000);
  const urgent = steady.filter(({ request }) => request.priority === 0);
  const served = steady.filter(({ kind }) => kind === 'served');
  // One grant in eight goes to the request that has waited longest, whatever its priority.
  const urgentShare = CAPACITY_PER_S * 1.5 * (7 / 8);
  assert.ok(servedInTime(urgent) > urgentShare * 0.97, `${servedInTime(urgent)} of ${urgent.length}`);
  assert.ok(served.length > CAPACITY_PER_S * 1.5 * 0.95, `${served.length} served`);
  const expired = countOf(steady, 'expired');
  assert.ok(expired < steady.length * 0.02, `${expired} of ${steady.length} held until the deadline`);
});

test('when three of four connections are lost under load, the estimate follows', async () => {
  const simulation = await simulate((pool) => {
    pool.addStream(CAPACITY_PER_S * 2, 1000, 4000, REQUEST);
    pool.at(2000, () => pool.loseConnections(3));
  });
  const before = simulation.arrivedIn(1500, 2000);
  const after = simulation.arrivedIn(2100, 4000);
  assert.equal(countOf(before, 'expired') + countOf(after, 'expired'), 0);
  const inTime = servedInTime(after);
  assert.ok(inTime > (CAPACITY_PER_S / 4) * 1.9 * 0.85, `${inTime} in time over one connection`);
});

test('when the member becomes five times slower and recovers, the estimate follows', async () => {
  const isSlow = (nowMs: number): boolean => nowMs >= 2000 && nowMs < 4000;
  const simulation = await simulate(
    (pool) => pool.addStream(CAPACITY_PER_S * 0.8, 1000, 6000, REQUEST),
    ({ nowMs }) => (isSlow(nowMs) ? USE_MS * 5 : USE_MS),
  );
  const slow = simulation.arrivedIn(2500, 4000);
  assert.equal(countOf(slow, 'expired'), 0);
  assert.ok(
    servedInTime(slow) > (CAPACITY_PER_S / 5) * 1.5 * 0.8,
    `${servedInTime(slow)} in time while slow`,
  );
  const recovered = simulation.arrivedIn(4500, 6000);
  assert.equal(servedInTime(recovered), recovered.length);
});

test('after a pause of the member, the requests that waited meanwhile are served', async () => {
  for (const pauseMs of [150, 250]) {
    const simulation = await simulate((pool) => {
      pool.addStream(CAPACITY_PER_S * 0.6, 1000, 3000, REQUEST);
      pool.at(1500, () => (pool.stalledUntilMs = 1500 + pauseMs));
    });
    const refused = countOf(simulation.outcomes, 'refused');
    assert.equal(refused, 0, `${refused} refused after a pause of ${pauseMs} ms`);
    assert.equal(countOf(simulation.outcomes, 'expired'), 0);
  }
});
