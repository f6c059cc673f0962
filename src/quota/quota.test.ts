/**
 * Quotas of a fleet: the operations in any time window stay within the limit while homes fail, retire or
 * move.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { daemonRecord, daemonRecords } from '../../test/support/daemon-records.js';
import { ModelledFleet } from '../../test/support/modelled-quota-fleet.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { preferredDaemons } from '../cluster/rank-by-capacity.js';
import type { Tenant } from '../tenancy/tenant-registry.js';
import { GrantedQuotas, type Charge } from './operation-quotas.js';
import { QuotaHome, type Grant, type GrantRequest } from './quota-home.js';
import { QuotaService } from './quota-service.js';
import { TokenBucket } from './token-bucket.js';

const WINDOW_MS = 5000;
const QUOTA = { ratePerS: 40, burst: 40 };
const TENANT: Tenant = { name: 'amber', priority: 0, quota: QUOTA };

/** Most operations permitted in any window: the quota plus a tenth, and a margin of 20 operations. */
function allowed({ ratePerS, burst }: { ratePerS: number; burst: number }): number {
  return ((ratePerS * WINDOW_MS) / 1000 + burst) * 1.1 + 20;
}

/** Largest number of the given times that lie within one window, for any start of the window. */
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
  test('grants its burst, then its rate, and reports when the next token is available', () => {
    const bucket = new TokenBucket(0);
    const quota = { ratePerS: 10, burst: 5 };
    assert.deepEqual(bucket.take(3, quota, 10_000), { count: 3, roomInMs: 0 });
    assert.deepEqual(bucket.take(9, quota, 10_000), { count: 2, roomInMs: 100 });
    assert.deepEqual(bucket.take(1, quota, 10_050), { count: 0, roomInMs: 50 });
    assert.deepEqual(bucket.take(1, quota, 10_100), { count: 1, roomInMs: 100 });
  });

  test('applies a lowered limit at once, and never refills at rate 0', () => {
    const bucket = new TokenBucket(0);
    assert.equal(bucket.take(1, { ratePerS: 100, burst: 100 }, 10_000).count, 1);
    assert.equal(bucket.take(100, { ratePerS: 2, burst: 3 }, 10_000).count, 3);
    assert.equal(bucket.take(100, { ratePerS: 0, burst: 3 }, 90_000).count, 0);
  });

  test('grants nothing extra when the clock goes back', () => {
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

/** Sends `perS` operations per second to randomly chosen daemons, for `forMs` milliseconds. */
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
    if (daemon !== undefined) fleet.submitOperation(daemon);
    await fleet.advance(stepMs);
  }
}

describe('the quota of a fleet', () => {
  const records = daemonRecords(83);

  test('operations within the quota are not refused when callers use all daemons', async () => {
    const random = generatorOf(1);
    const fleet = new ModelledFleet(records, TENANT, () => 1 + random() * 2, random);
    await fleet.advance(WINDOW_MS);
    await load(fleet, records, 30, 10_000, random);
    await fleet.advance(1000);
    assert.equal(fleet.refusedCount, 0);
    assert.equal(fleet.grantedAtMs.length, 300);
  });

  test('a tenant that sends at seven times its usual rate gets its quota, and no more', async () => {
    const random = generatorOf(2);
    const fleet = new ModelledFleet(records, TENANT, () => 1 + random() * 2, random);
    await fleet.advance(WINDOW_MS);
    await load(fleet, records, 200, 10_000, random);
    await fleet.advance(1000);
    const quota = TENANT.quota ?? { ratePerS: 0, burst: 0 };
    assert.ok(
      mostInWindow(fleet.grantedAtMs) <= allowed(quota),
      `${mostInWindow(fleet.grantedAtMs)} in a window`,
    );
    assert.ok(
      fleet.grantedAtMs.length >= 0.9 * (quota.ratePerS * 10 + quota.burst),
      `${fleet.grantedAtMs.length} run`,
    );
  });

  test('stays within the limit after repeated power losses of all daemons, with all callers back at once', async () => {
    const random = generatorOf(3);
    const fleet = new ModelledFleet(records, TENANT, () => 1 + random() * 2, random);
    await fleet.advance(WINDOW_MS);
    let living = records;
    for (let round = 0; round < 4; round += 1) {
      await load(fleet, living, 250, 1500 + round * 700, random);
      for (const record of living) fleet.kill(record);
      await fleet.advance(500);
      living = living.map((record) => ({ ...record, life: `${record.life}'` }));
      for (const record of living) fleet.setLiveDaemons(record, living);
      for (const record of living) fleet.start(record);
    }
    await load(fleet, living, 250, 4000, random);
    const most = mostInWindow(fleet.grantedAtMs);
    const quota = TENANT.quota ?? { ratePerS: 0, burst: 0 };
    assert.ok(most <= allowed(quota), `${most} in a window, ${allowed(quota)} allowed`);
    assert.ok(fleet.grantedAtMs.length > 300, `only ${fleet.grantedAtMs.length} run`);
  });

  /**
   * A tenant ran 337 to 411 operations in a window that permits at most 284. The store did not answer for
   * seconds while the daemons were restarted one after the other. For 3 s after the store is back, vanished
   * leases are ignored, so a running daemon still regards a daemon that is about to stop as the home, while a
   * newly started one sees only the leases and regards itself as the home. Both granted the whole quota: the
   * callers of each ran 40 operations per second for 2.7 s (soak profile mixed, seed 410).
   */
  test('stays within the limit while only some daemons regard a retiring daemon as the home', async () => {
    const random = generatorOf(410);
    const records = daemonRecords(3);
    const fleet = new ModelledFleet(records, TENANT, () => 1, random);
    const [home, next] = preferredDaemons(TENANT.name, records, 2);
    assert.ok(home !== undefined && next !== undefined);
    await load(fleet, records, 200, 4000, random);
    fleet.retire(home);
    fleet.kill(next);
    const restarted = { ...next, life: `${next.life}b` };
    fleet.start(restarted);
    const others = records.map((record) => (record === next ? restarted : record));
    for (const record of others) fleet.setLiveDaemons(record, others);
    fleet.setLiveDaemons(
      restarted,
      others.filter((record) => record !== home),
    );
    await load(fleet, others, 200, 2700, random);
    assert.ok(
      mostInWindow(fleet.grantedAtMs) <= allowed(QUOTA),
      `${mostInWindow(fleet.grantedAtMs)} in a window`,
    );
    assert.ok(mostInWindow(fleet.grantedAtMs) > 100, 'operations are not refused for lack of a home');
  });

  /**
   * While machines were stopped one after the other, tenants were refused operations within their quota:
   * 1,092 attempts instead of 570 in a day. A retired home forwarded all requests to its backup, which did
   * not know of the retirement yet and granted only the backup share, a twentieth of the quota.
   */
  test('is granted in full by the backup before the other daemons know that the home retires', async () => {
    const random = generatorOf(7);
    const records = daemonRecords(30);
    const fleet = new ModelledFleet(records, TENANT, () => 1, random);
    const [home] = preferredDaemons(TENANT.name, records, 1);
    assert.ok(home !== undefined);
    await load(fleet, records, 30, 4000, random);
    const refusedBefore = fleet.refusedCount;
    fleet.retire(home);
    await load(fleet, records, 30, 700, random);
    assert.ok(fleet.refusedCount - refusedBefore <= 3, `${fleet.refusedCount - refusedBefore} refused`);
    assert.ok(
      mostInWindow(fleet.grantedAtMs) <= allowed(QUOTA),
      `${mostInWindow(fleet.grantedAtMs)} in a window`,
    );
  });

  test('stays within the limit at 1,000 daemons with late answers, restarts, cuts and homes that move', async () => {
    const many = daemonRecords(1000);
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
          for (const record of living) fleet.setLiveDaemons(record, [...living]);
        } else if (dice < 0.6) {
          fleet.disconnect(victim);
        } else if (dice < 0.8) {
          fleet.kill(victim);
          living.delete(victim);
          for (const record of living) fleet.setLiveDaemons(record, [...living]);
        }
      }
      await fleet.advance(1000);
      const most = mostInWindow(fleet.grantedAtMs);
      assert.ok(most <= allowed(quota), `seed ${seed}: ${most} in a window, ${allowed(quota)} allowed`);
      total += fleet.grantedAtMs.length;
    }
    // A home that is cut off for good but still counted as live leaves only the backup share, a twentieth, so
    // the minimum is far below the mean.
    assert.ok(total > 6 * 200, `only ${total} run`);
  });
});

/** True when a daemon is the home of the tenant, for a daemon that knows of exactly these live daemons. */
function isHome(record: DaemonRecord, living: readonly DaemonRecord[]): boolean {
  const asked: string[] = [];
  const service = new QuotaService({
    ownName: 'nobody',
    daemons: () => living,
    findTenant: () => TENANT,
    requestGrant: (other) => {
      asked.push(other.name);
      return new Promise(() => undefined);
    },
    hasProcessEnded: () => false,
    now: () => 0,
    random: () => 0,
  });
  void service.charge(TENANT);
  return asked[0] === record.name;
}

test('a home that was no home for a while begins with an empty bucket: another has granted', async () => {
  let nowMs = 0;
  const [self, other] = [daemonRecord('self'), daemonRecord('other')];
  let views: readonly DaemonRecord[] = [self];
  const service = new QuotaService({
    ownName: 'self',
    daemons: () => views,
    findTenant: () => TENANT,
    requestGrant: () => Promise.resolve(null),
    hasProcessEnded: () => false,
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
    const homeAndBackup = (): readonly DaemonRecord[] => [home, next];
    const own = new QuotaHome({
      ownName: 'self',
      homeAndBackup,
      findTenant: () => TENANT,
      bucketsStartMs: () => 0,
      hasJustStarted: () => false,
      requestGrant: () => Promise.resolve(null),
      hasProcessEnded: () => false,
      now: () => clock.now,
    });
    return new GrantedQuotas({
      ownName: 'self',
      home: own,
      homeAndBackup,
      requestGrant: ask,
      now: () => clock.now,
      random: () => 0,
    });
  }

  test('waiting operations share a request, and an operation that does not run returns its grant', async () => {
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
    assert.ok(!(again instanceof Promise), 'the returned grant is used');
    assert.deepEqual(counts, [1, 2]);
  });

  test('a grant that is not used soon expires', async () => {
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

  test('over quota, no grants are requested until the next token, and callers are told when', async () => {
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

  test('the backup is asked when the home does not answer', async () => {
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

test('a daemon that is not the home forwards the request to the home, once', async () => {
  const forwarded: GrantRequest[] = [];
  const home = new QuotaHome({
    ownName: 'old',
    homeAndBackup: () => [daemonRecord('new')],
    findTenant: () => TENANT,
    bucketsStartMs: () => 0,
    hasJustStarted: () => false,
    requestGrant: (_record, request) => {
      forwarded.push(request);
      return Promise.resolve({ count: request.count, roomInMs: 0 });
    },
    hasProcessEnded: () => false,
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
  assert.deepEqual(forwarded, [{ ...request, isPassedOn: true }]);
});

test('a home that does not know a tenant uses the quota of the request', async () => {
  const home = new QuotaHome({
    ownName: 'home',
    homeAndBackup: () => [daemonRecord('home')],
    findTenant: () => null,
    bucketsStartMs: () => 0,
    hasJustStarted: () => false,
    requestGrant: () => Promise.resolve(null),
    hasProcessEnded: () => false,
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
