/**
 * Placement under load, in a model of 80 daemons and the 3 members of one group with 4 slots each, which complete
 * about 460 requests per second together.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PlacementModel, type ModelOptions } from '../../test/support/placement-model.js';

const SEEDS = [1, 2, 3];
/** Requests per second: 0.65 of what the members can complete. */
const RATE_PER_S = 300;
/** Time in which daemons have measured all members, in milliseconds. */
const WARM_UP_MS = 5000;
/** Length of the intervals in which shares are measured, in milliseconds. */
const INTERVAL_MS = 1000;
/**
 * Bound for the share of the busiest of 3 equal members in one second. A choice at random comes to 0.42 with 200
 * to 400 requests.
 */
const MAX_BUSIEST_SHARE = 0.55;
/** Interval between the reports of the model, in milliseconds. */
const REPORT_INTERVAL_MS = 250;
/**
 * Bounds for the mean share of the busiest member between two reports, by the gateways of a member: a choice at
 * random comes to 0.4. With one gateway, a report says how busy the whole member is; if every choice followed the
 * reports, the share would be 0.66 to 0.82.
 */
const MAX_MEAN_BUSIEST_SHARE = new Map([
  [1, 0.58],
  [11, 0.43],
]);

const REMOTE: ModelOptions = {
  daemons: 80,
  memberZones: ['a', 'b', 'c'],
  gateways: 11,
  isReportBroadcast: false,
  daemonZone: 'without-members',
  roundTripsMs: [7.8, 7.8, 7.8],
  serviceMs: [26, 26, 26],
  ratePerS: RATE_PER_S,
};

/** A model that has run until all daemons know the members. */
function warm(options: ModelOptions, seed: number): PlacementModel {
  const model = new PlacementModel(options, seed);
  model.run(WARM_UP_MS);
  return model;
}

function percentile(valuesMs: readonly number[], share: number): number {
  return [...valuesMs].sort((one, other) => one - other)[Math.floor(valuesMs.length * share)] ?? 0;
}

function share(shares: readonly number[], member = 0): number {
  return shares[member] ?? Number.NaN;
}

for (const [gateways, maxMeanShare] of MAX_MEAN_BUSIEST_SHARE)
  test(`80 daemons that hear the same reports do not oscillate, gateways of a member: ${gateways}`, () => {
    for (const ratePerS of [200, 300, 400])
      for (const seed of SEEDS) {
        const model = warm({ ...REMOTE, gateways, ratePerS, isReportBroadcast: true }, seed);
        let sum = 0;
        for (let interval = 0; interval < 80; interval += 1)
          sum += Math.max(...model.run(REPORT_INTERVAL_MS));
        assert.ok(sum / 80 <= maxMeanShare, `${ratePerS}/s, seed ${seed}: mean ${sum / 80}`);
        for (let interval = 0; interval < 20; interval += 1) {
          const busiest = Math.max(...model.run(INTERVAL_MS));
          assert.ok(busiest <= MAX_BUSIEST_SHARE, `${ratePerS}/s, seed ${seed}: ${busiest}`);
        }
      }
  });

test('a member that turns five times slower loses its share in under a second and regains it by degrees', () => {
  for (const daemonZone of ['a', 'without-members'])
    for (const seed of SEEDS) {
      const serviceMs = [26, 26, 26];
      const model = warm({ ...REMOTE, daemonZone, serviceMs, isReportBroadcast: true }, seed);
      const before = share(model.run(3000));
      serviceMs[0] = 130;
      model.run(900);
      const slow = share(model.run(2000));
      assert.ok(slow < 0.1, `${daemonZone}, seed ${seed}: ${slow} of ${before}`);
      serviceMs[0] = 26;
      const first = share(model.run(500));
      assert.ok(first < before / 2, `${daemonZone}, seed ${seed}: ${first} at once`);
      model.run(4500);
      const after = share(model.run(3000));
      assert.ok(after > before * 0.7, `${daemonZone}, seed ${seed}: ${after} of ${before} in the end`);
    }
});

test('a slow member is noticed from replies alone, one request per second and daemon', () => {
  for (const seed of SEEDS) {
    const serviceMs = [26, 26, 26];
    const model = warm({ ...REMOTE, serviceMs }, seed);
    serviceMs[0] = 130;
    model.run(2000);
    const slow = share(model.run(2000));
    assert.ok(slow < 0.12, `seed ${seed}: ${slow}`);
  }
});

test('a member that fails a third of its requests loses load and regains it', () => {
  for (const seed of SEEDS) {
    const failureShares = [0, 0, 0];
    const model = warm({ ...REMOTE, failureShares }, seed);
    const before = share(model.run(3000));
    failureShares[0] = 0.33;
    model.run(1000);
    const failing = share(model.run(3000));
    assert.ok(failing < before * 0.75, `seed ${seed}: ${failing} of ${before}`);
    failureShares[0] = 0;
    model.run(4000);
    assert.ok(share(model.run(3000)) > before * 0.7, `seed ${seed}`);
  }
});

test('daemons of a zone without members spread their reads, also when one member is nearer', () => {
  for (const roundTripsMs of [
    [7.8, 7.8, 7.8],
    [1, 1, 1],
    [1, 8, 8],
  ])
    for (const seed of SEEDS) {
      const shares = warm({ ...REMOTE, roundTripsMs }, seed).run(10_000);
      assert.ok(Math.max(...shares) < 0.5, `${roundTripsMs}, seed ${seed}: ${shares}`);
      assert.ok(Math.min(...shares) > 0.2, `${roundTripsMs}, seed ${seed}: ${shares}`);
    }
});

test('reports lead reads away from a member that other requests keep busy', () => {
  const busy = { ...REMOTE, ratePerS: 250, isReportBroadcast: true };
  const moving = (report: ModelOptions['report']): number => {
    const otherRatesPerS = [0, 0, 0];
    const model = warm({ ...busy, otherRatesPerS, ...(report === undefined ? {} : { report }) }, 1);
    const timesMs: number[] = [];
    for (let round = 0; round < 12; round += 1) {
      otherRatesPerS.fill(0);
      otherRatesPerS[round % 3] = 120;
      model.run(3000);
      timesMs.push(...model.answerTimesMs);
    }
    return percentile(timesMs, 0.95);
  };
  const withReports = moving(undefined);
  const without = moving(() => null);
  assert.ok(withReports < without / 2, `p95 ${withReports} ms with reports, ${without} ms without`);
});

test('reports with absurd fields change no choice: it is that of daemons that hear none', () => {
  const absurd = [
    { inUse: -1 },
    { waiting: Number.NaN },
    { inUse: Number.POSITIVE_INFINITY },
    { serviceMs: 1e12 },
    { serviceMs: -26 },
    { heldMs: -1 },
  ];
  const without = warm({ ...REMOTE, report: () => null }, 1).run(5000);
  for (const field of absurd)
    assert.deepEqual(
      warm({ ...REMOTE, report: (report) => ({ ...report, ...field }) }, 1).run(5000),
      without,
      JSON.stringify(field),
    );
});

test('daemons whose reports stop serve on, and spread their reads as before', () => {
  let isReporting = true;
  const model = warm({ ...REMOTE, report: (report) => (isReporting ? report : null) }, 1);
  isReporting = false;
  for (let interval = 0; interval < 10; interval += 1) {
    const busiest = Math.max(...model.run(INTERVAL_MS));
    assert.ok(busiest <= MAX_BUSIEST_SHARE, `${busiest}`);
  }
});
