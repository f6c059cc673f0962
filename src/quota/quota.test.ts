/**
 * Quotas of a fleet: what is granted stays under the limit in every window, whatever becomes of the homes.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { daemonRecord, fleetOf } from '../../test/support/daemon-records.js';
import { ModelledFleet } from '../../test/support/modelled-quota-fleet.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import type { Tenant } from '../tenancy/tenant-register.js';
import { GrantedQuotas, type Charge } from './operation-quotas.js';
import { QuotaHome, type Grant, type GrantRequest } from './quota-home.js';
import { QuotaService } from './quota-service.js';
import { TokenBucket } from './token-bucket.js';

const WINDOW_MS = 5000;
const QUOTA = { ratePerS: 40, burst: 40 };
const TENANT: Tenant = { name: 'amber', priority: 0, quota: QUOTA };

/** Most operations in any window: the quota, a tenth above it, and some. */
function allowed({ ratePerS, burst }: { ratePerS: number; burst: number }): number {
  return ((ratePerS * WINDOW_MS) / 1000 + burst) * 1.1 + 20;
}

/** Most of the times that lie within one window, wherever it begins. */
function mostInWindow(times: readonly number[]): number {
  const sorted = [...times].sort((one, other) => one - other);
  let most = 0;
  let from = 0;
  for (const [index, time] of sorted.entries()) {
    while ((sorted[from] ?? 0) <= time - WINDOW_MS) from += 1;
    most = Math.max(most, index - from + 1);
  }
  return most;
}

describe('a token bucket', () => {
  test('gives its burst, then its rate, and says when there is more', () => {
    const bucket = new TokenBucket(0);
    const quota = { ratePerS: 10, burst: 5 };
    assert.deepEqual(bucket.take(3, quota, 10_000), { count: 3, roomInMs: 0 });
    assert.deepEqual(bucket.take(9, quota, 10_000), { count: 2, roomInMs: 100 });
    assert.deepEqual(bucket.take(1, quota, 10_050), { count: 0, roomInMs: 50 });
    assert.deepEqual(bucket.take(1, quota, 10_100), { count: 1, roomInMs: 100 });
  });

  test('follows a limit that is lowered at once, and never fills at rate 0', () => {
    const bucket = new TokenBucket(0);
    assert.equal(bucket.take(1, { ratePerS: 100, burst: 100 }, 10_000).count, 1);
    assert.equal(bucket.take(100, { ratePerS: 2, burst: 3 }, 10_000).count, 3);
    assert.equal(bucket.take(100, { ratePerS: 0, burst: 3 }, 90_000).count, 0);
  });

  test('whoever comes with a clock that is behind takes no more for it', () => {
    const bucket = new TokenBucket(0);
    const quota = { ratePerS: 10, burst: 10 };
    assert.equal(bucket.take(10, quota, 10_000).count, 10);
    assert.equal(bucket.take(10, quota, 5000).count, 0);
    assert.equal(bucket.take(10, quota, 10_000).count, 0);
  });
});

function generatorOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Sends `perS` operations a second to daemons of chance, for a time. */
async function load(
  fleet: ModelledFleet,
  daemons: readonly DaemonRecord[],
  perS: number,
  forMs: number,
  random: () => number,
): Promise<void> {
  const stepMs = 1000 / perS;
  for (let ms = 0; ms < forMs; ms += stepMs) {
    const daemon = daemons[Math.floor(random() * daemons.length)];
    if (daemon !== undefined) fleet.operation(daemon);
    await fleet.advance(stepMs);
  }
}

describe('the quota of a fleet', () => {
  const records = fleetOf(83);

  test('what a tenant may have is not refused, though its callers are spread over all daemons', async () => {
    const random = generatorOf(1);
    const fleet = new ModelledFleet(records, TENANT, () => 1 + random() * 2, random);
    await fleet.advance(WINDOW_MS);
    await load(fleet, records, 30, 10_000, random);
    await fleet.advance(1000);
    assert.equal(fleet.refused, 0);
    assert.equal(fleet.runs.length, 300);
  });

  test('a tenant that sends seven times its usual has what it may have, and no more', async () => {
    const random = generatorOf(2);
    const fleet = new ModelledFleet(records, TENANT, () => 1 + random() * 2, random);
    await fleet.advance(WINDOW_MS);
    await load(fleet, records, 200, 10_000, random);
    await fleet.advance(1000);
    const quota = TENANT.quota ?? { ratePerS: 0, burst: 0 };
    assert.ok(mostInWindow(fleet.runs) <= allowed(quota), `${mostInWindow(fleet.runs)} in a window`);
    assert.ok(fleet.runs.length >= 0.9 * (quota.ratePerS * 10 + quota.burst), `${fleet.runs.length} run`);
  });

  test('stays within the limit when all daemons lose power, however often, and callers come back all at once', async () => {
    const random = generatorOf(3);
    const fleet = new ModelledFleet(records, TENANT, () => 1 + random() * 2, random);
    await fleet.advance(WINDOW_MS);
    let living = records;
    for (let round = 0; round < 4; round += 1) {
      await load(fleet, living, 250, 1500 + round * 700, random);
      for (const record of living) fleet.kill(record);
      await fleet.advance(500);
      living = living.map((record) => ({ ...record, life: `${record.life}'` }));
      for (const record of living) fleet.view(record, living);
      for (const record of living) fleet.start(record);
    }
    await load(fleet, living, 250, 4000, random);
    const most = mostInWindow(fleet.runs);
    const quota = TENANT.quota ?? { ratePerS: 0, burst: 0 };
    assert.ok(most <= allowed(quota), `${most} in a window, ${allowed(quota)} allowed`);
    assert.ok(fleet.runs.length > 300, `only ${fleet.runs.length} run`);
  });

  /**
   * A tenant ran 337 to 411 operations in a window of at most 284. The store was silent for seconds while the daemons were restarted one
   * after the other. For 3 s after it is back vanished leases mean nothing, so a daemon that goes on takes one that is about to
   * stop for the home still; one that has just started sees the leases alone, and takes itself for it. Both granted the whole quota.
   * Evidence: 40 operations a second by the callers of either for 2.7 s (soak, mixed, seed 410).
   */
  test('stays within the limit while a home that is about to stop counts for some daemons, and for others not', async () => {
    const random = generatorOf(410);
    const records = fleetOf(3);
    const fleet = new ModelledFleet(records, TENANT, () => 1, random);
    const [home, next] = preferredDaemons(TENANT.name, records, 2);
    assert.ok(home !== undefined && next !== undefined);
    await load(fleet, records, 200, 4000, random);
    fleet.retire(home);
    fleet.kill(next);
    const restarted = { ...next, life: `${next.life}b` };
    fleet.start(restarted);
    const others = records.map((record) => (record === next ? restarted : record));
    for (const record of others) fleet.view(record, others);
    fleet.view(
      restarted,
      others.filter((record) => record !== home),
    );
    await load(fleet, others, 200, 2700, random);
    assert.ok(mostInWindow(fleet.runs) <= allowed(QUOTA), `${mostInWindow(fleet.runs)} in a window`);
    assert.ok(mostInWindow(fleet.runs) > 100, 'it is not refused for want of a home');
  });

  /**
   * While machines were stopped in series, tenants were refused what they may have: 1,092 tries instead of 570 on a day. A home that
   * retired sent everybody to the next in line, which had not heard of it yet and granted a twentieth in its place.
   */
  test('is granted whole by the next in line before the others hear that its home retires', async () => {
    const random = generatorOf(7);
    const records = fleetOf(30);
    const fleet = new ModelledFleet(records, TENANT, () => 1, random);
    const [home] = preferredDaemons(TENANT.name, records, 1);
    assert.ok(home !== undefined);
    await load(fleet, records, 30, 4000, random);
    const refusedBefore = fleet.refused;
    fleet.retire(home);
    await load(fleet, records, 30, 700, random);
    assert.ok(fleet.refused - refusedBefore <= 3, `${fleet.refused - refusedBefore} refused`);
    assert.ok(mostInWindow(fleet.runs) <= allowed(QUOTA), `${mostInWindow(fleet.runs)} in a window`);
  });

  test('stays within the limit at 1,000 daemons with late answers, restarts, cuts and homes that move', async () => {
    const many = fleetOf(1000);
    const quota = TENANT.quota ?? { ratePerS: 0, burst: 0 };
    let total = 0;
    for (let seed = 10; seed < 16; seed += 1) {
      const random = generatorOf(seed);
      const fleet = new ModelledFleet(many, TENANT, () => (random() < 0.05 ? 140 : 1 + random() * 3), random);
      await fleet.advance(WINDOW_MS);
      const living = new Set(many);
      for (let round = 0; round < 12; round += 1) {
        await load(fleet, [...living], 250, 800, random);
        const [home] = [...living].filter((record) => isHome(record, [...living]));
        const victim = home ?? many[0];
        if (victim === undefined) continue;
        const dice = random();
        if (dice < 0.4) {
          fleet.kill(victim);
          living.delete(victim);
          await load(fleet, [...living], 250, 300, random);
          const restarted = { ...victim, life: `${victim.life}'` };
          living.add(restarted);
          fleet.start(restarted);
          for (const record of living) fleet.view(record, [...living]);
        } else if (dice < 0.6) {
          fleet.cut(victim);
        } else if (dice < 0.8) {
          fleet.kill(victim);
          living.delete(victim);
          for (const record of living) fleet.view(record, [...living]);
        }
      }
      await fleet.advance(1000);
      const most = mostInWindow(fleet.runs);
      assert.ok(most <= allowed(quota), `seed ${seed}: ${most} in a window, ${allowed(quota)} allowed`);
      total += fleet.runs.length;
    }
    // A home that is cut for good, and that nobody takes for gone, leaves a twentieth: the least is far below the mean.
    assert.ok(total > 6 * 200, `only ${total} run`);
  });
});

/** True when a daemon is asked for the tenant, by those who know just these. */
function isHome(record: DaemonRecord, living: readonly DaemonRecord[]): boolean {
  const asked: string[] = [];
  const service = new QuotaService({
    ownName: 'nobody',
    daemons: () => living,
    tenant: () => TENANT,
    ask: (other) => {
      asked.push(other.name);
      return new Promise(() => undefined);
    },
    isEnded: () => Promise.resolve(false),
    now: () => 0,
    random: () => 0,
  });
  void service.charge(TENANT);
  return asked[0] === record.name;
}

test('a home that was no home for a while begins with nothing: another has granted meanwhile', async () => {
  let nowMs = 0;
  const [self, other] = [daemonRecord('self'), daemonRecord('other')];
  let views: readonly DaemonRecord[] = [self];
  const service = new QuotaService({
    ownName: 'self',
    daemons: () => views,
    tenant: () => TENANT,
    ask: () => Promise.resolve(null),
    isEnded: () => Promise.resolve(false),
    now: () => nowMs,
    random: () => 0,
  });
  service.daemonsChanged();
  const quota = TENANT.quota ?? { ratePerS: 0, burst: 0 };
  const request = {
    tenantName: TENANT.name,
    quota,
    count: 1,
    isForHome: false,
    isPassedOn: false,
    hasHomeRetired: false,
  };
  assert.equal((await service.grant(request))?.count, 1);
  views = [other];
  nowMs = 10_000;
  service.daemonsChanged();
  views = [self];
  nowMs = 20_000;
  service.daemonsChanged();
  assert.equal((await service.grant({ ...request, count: 100 }))?.count, 0);
  nowMs = 21_000;
  assert.equal((await service.grant({ ...request, count: 100 }))?.count, 40);
});

describe('charges', () => {
  const home = daemonRecord('home');
  const next = daemonRecord('next');

  function quotasWith(
    ask: (record: DaemonRecord, request: GrantRequest) => Promise<Grant | null>,
    clock: { now: number },
  ): GrantedQuotas {
    const inLine = (): readonly DaemonRecord[] => [home, next];
    const own = new QuotaHome({
      ownName: 'self',
      inLine,
      tenant: () => TENANT,
      sinceMs: () => 0,
      hasJustStarted: () => false,
      ask: () => Promise.resolve(null),
      isEnded: () => Promise.resolve(false),
      now: () => clock.now,
    });
    return new GrantedQuotas({
      ownName: 'self',
      home: own,
      inLine,
      ask,
      now: () => clock.now,
      random: () => 0,
    });
  }

  test('those who wait are asked for together, and an operation that was not run gives its grant back', async () => {
    const clock = { now: 0 };
    const counts: number[] = [];
    const quotas = quotasWith((_record, { count }) => {
      counts.push(count);
      return Promise.resolve({ count, roomInMs: 0 });
    }, clock);
    const charges = await Promise.all([1, 2, 3].map(() => quotas.charge(TENANT)));
    assert.deepEqual(counts, [1, 2]);
    const [first] = charges;
    if (first?.kind === 'charged') first.refund();
    const again = quotas.charge(TENANT);
    assert.ok(!(again instanceof Promise), 'taken from what was given back');
    assert.deepEqual(counts, [1, 2]);
  });

  test('a grant that is not used soon is not used at all', async () => {
    const clock = { now: 0 };
    let asked = 0;
    const quotas = quotasWith((_record, { count }) => {
      asked += 1;
      return Promise.resolve({ count, roomInMs: 0 });
    }, clock);
    const charge = await quotas.charge(TENANT);
    if (charge.kind === 'charged') charge.refund();
    clock.now = 201;
    await quotas.charge(TENANT);
    assert.equal(asked, 2);
  });

  test('where there is no room nobody asks until there may be some, and callers are told when', async () => {
    const clock = { now: 0 };
    let asked = 0;
    const quotas = quotasWith(() => {
      asked += 1;
      return Promise.resolve({ count: 0, roomInMs: 80 });
    }, clock);
    const first: Charge = await quotas.charge(TENANT);
    assert.equal(first.kind, 'over_quota');
    assert.ok(first.kind === 'over_quota' && first.retryAfterMs >= 80);
    clock.now = 79;
    assert.equal((await quotas.charge(TENANT)).kind, 'over_quota');
    assert.equal(asked, 1);
    clock.now = 81;
    await quotas.charge(TENANT);
    assert.equal(asked, 2);
  });

  test('a home that does not answer is stood in for by the next in line', async () => {
    const asked: string[] = [];
    const quotas = quotasWith(
      (record, { isForHome, count }) => {
        asked.push(`${record.name} ${isForHome}`);
        return Promise.resolve(record.name === 'home' ? null : { count, roomInMs: 0 });
      },
      { now: 0 },
    );
    assert.equal((await quotas.charge(TENANT)).kind, 'charged');
    assert.deepEqual(asked, ['home false', 'next true']);
  });
});

test('a daemon that is no home passes the question on to the one that it takes for it, once', async () => {
  const passed: GrantRequest[] = [];
  const home = new QuotaHome({
    ownName: 'old',
    inLine: () => [daemonRecord('new')],
    tenant: () => TENANT,
    sinceMs: () => 0,
    hasJustStarted: () => false,
    ask: (_record, request) => {
      passed.push(request);
      return Promise.resolve({ count: request.count, roomInMs: 0 });
    },
    isEnded: () => Promise.resolve(false),
    now: () => 0,
  });
  const quota = { ratePerS: 1, burst: 1 };
  const request = {
    tenantName: 'amber',
    quota,
    count: 2,
    isForHome: false,
    isPassedOn: false,
    hasHomeRetired: false,
  };
  assert.deepEqual(await home.grant(request), { count: 2, roomInMs: 0 });
  assert.equal(await home.grant({ ...request, isPassedOn: true }), null);
  assert.deepEqual(passed, [{ ...request, isPassedOn: true }]);
});

test('a home that has not heard of a tenant goes by what the asking daemon knows', async () => {
  const home = new QuotaHome({
    ownName: 'home',
    inLine: () => [daemonRecord('home')],
    tenant: () => null,
    sinceMs: () => 0,
    hasJustStarted: () => false,
    ask: () => Promise.resolve(null),
    isEnded: () => Promise.resolve(false),
    now: () => 10_000,
  });
  const quota = { ratePerS: 2, burst: 3 };
  const request = {
    tenantName: 'fresh',
    quota,
    count: 9,
    isForHome: false,
    isPassedOn: false,
    hasHomeRetired: false,
  };
  assert.equal((await home.grant(request))?.count, 3);
});
