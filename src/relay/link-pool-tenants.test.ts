/**
 * Connection pool with several tenants: a connection is never reused for another tenant, and no tenant is
 * starved.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { FakeLink } from '../../test/support/fake-link.js';
import { LinkPool } from './link-pool.js';
import type { LinkDemand } from './link-queue.js';
import type { DialTarget, MemberLink } from './member-link.js';
import type { PooledLink } from './pooled-link.js';

/** A pool with the connections that it has opened and a simulated clock. */
function scene(
  budget: number,
  tenantWeight: (tenantName: string) => number = () => 1,
  dialMs = 0,
): { pool: LinkPool; links: FakeLink[]; clock: { now: number } } {
  const clock = { now: 0 };
  const links: FakeLink[] = [];
  const dial = (target: DialTarget): Promise<MemberLink> => {
    const link = new FakeLink(target.tenantName);
    links.push(link);
    clock.now += dialMs;
    return Promise.resolve(link);
  };
  const pool = new LinkPool({
    dialer: { dial },
    address: { memberId: 'm', groupName: 'g', host: 'h', port: 1 },
    budget: () => budget,
    dialTimeoutMs: 100,
    limitBackoffMs: 10,
    idleTimeoutMs: 1000,
    serviceMs: () => 10,
    tenantWeight,
    onFailure: () => undefined,
    random: () => 0.5,
    now: () => clock.now,
  });
  return { pool, links, clock };
}

function demandOf(tenantName: string | null, dueAtMs = 1e6): LinkDemand {
  return { tenantName, values: new Map(), isWrite: false, priority: 1, dueAtMs };
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 8; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

test('the least recently used idle connection is closed in favour of a tenant without one', async () => {
  const { pool, links } = scene(2);
  const amber = await pool.acquire(demandOf('amber'), 1000);
  const birch = await pool.acquire(demandOf('birch'), 1000);
  pool.release(amber);
  pool.release(birch);
  const cedar = await pool.acquire(demandOf('cedar'), 1000);
  assert.equal(cedar.tenantName, 'cedar');
  assert.equal(amber.isOpen, false);
  assert.equal(birch.isOpen, true);
  assert.equal(pool.size, 2);
  assert.deepEqual(
    links.map(({ tenantName }) => tenantName),
    ['amber', 'birch', 'cedar'],
  );
});

test('a tenant that has waited too long gets the place of a tenant that keeps sending requests', async () => {
  const { pool, clock } = scene(1);
  const first = await pool.acquire(demandOf('amber'), 1000);
  const other = pool.acquire(demandOf('birch', 5000), 1000);
  const next = pool.acquire(demandOf('amber', 9000), 1000);
  pool.release(first);
  assert.equal(
    await next,
    first,
    'not after a short wait: opening a connection occupies a slot of the member',
  );
  clock.now = 30;
  const third = pool.acquire(demandOf('amber', 9000), 1000);
  pool.release(first);
  assert.equal((await other).tenantName, 'birch');
  assert.equal(first.isOpen, false);
  pool.release(await other);
  assert.equal((await third).tenantName, 'amber');
});

test('a connection that was opened for a tenant serves it before it is closed for another one', async () => {
  // The failure guarded against: while the member is slow to accept a connection, its request becomes late and
  // another tenant's precedes it; the connection is closed unused, and opening connections serves no request.
  const { pool, links, clock } = scene(1, undefined, 40);
  const first = await pool.acquire(demandOf('amber'), 1000);
  const birch = pool.acquire(demandOf('birch', clock.now + 60), 1000);
  const cedar = pool.acquire(demandOf('cedar'), 1000);
  clock.now += 30;
  pool.release(first);
  await Promise.all([birch, cedar].map(async (granted) => pool.release(await granted)));
  assert.deepEqual(
    links.map(({ tenantName }) => tenantName),
    ['amber', 'birch', 'cedar'],
  );
});

test('a request of the daemon itself uses a connection of any tenant', async () => {
  const { pool, links } = scene(1);
  pool.release(await pool.acquire(demandOf('amber'), 1000));
  const link = await pool.acquire(demandOf(null), 1000);
  assert.equal(link.tenantName, 'amber');
  assert.equal(links.length, 1);
});

test('whatever is asked for and given back, a connection is never handed to another tenant', async () => {
  const step = fc.record({
    kind: fc.constantFrom('acquire', 'acquire', 'release', 'lose', 'wait', 'trim'),
    tenant: fc.constantFrom('amber', 'birch', 'cedar', 'doum', null),
    which: fc.nat(20),
    ms: fc.nat(60),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 5 }),
      fc.array(step, { maxLength: 50 }),
      async (budget, steps) => {
        const { pool, links, clock } = scene(budget);
        const held: PooledLink[] = [];
        let waiting = 0;
        const inUse = new Set<PooledLink>();
        for (const { kind, tenant, which, ms } of steps) {
          switch (kind) {
            case 'acquire':
              waiting += 1;
              void pool.acquire(demandOf(tenant, clock.now + 500), 60_000).then((link) => {
                waiting -= 1;
                assert.ok(!inUse.has(link), 'granted to two requests at once');
                if (tenant !== null) assert.equal(link.tenantName, tenant);
                inUse.add(link);
                held.push(link);
              });
              break;
            case 'release': {
              const [link] = held.splice(which % Math.max(1, held.length), 1);
              if (link === undefined) break;
              inUse.delete(link);
              pool.release(link);
              break;
            }
            case 'lose':
              links[which % Math.max(1, links.length)]?.close();
              break;
            case 'wait':
              clock.now += ms;
              break;
            case 'trim':
              clock.now += 2000;
              pool.trim();
              break;
          }
          await settle();
          assert.ok(pool.size <= budget, `${pool.size} connections`);
        }
        // Requests that still wait are served once the others release their connections: none is starved.
        for (let round = 0; round < 200 && (waiting > 0 || held.length > 0); round += 1) {
          clock.now += 30;
          for (const link of held.splice(0)) {
            inUse.delete(link);
            pool.release(link);
          }
          await settle();
        }
        assert.equal(waiting, 0, 'a request was never served');
      },
    ),
    { seed: 4711, numRuns: 150 },
  );
});

test('a request of low priority is served although another tenant keeps sending more urgent ones', async () => {
  // The failure guarded against: the connection serves its own tenant, whose requests always precede the other
  // tenant's, so no connection is ever opened for that one.
  const { pool, clock } = scene(1);
  const urgent = { ...demandOf('amber'), priority: 0 };
  let inUse: PooledLink | null = await pool.acquire(urgent, 1000);
  let isServed = false;
  const low = pool.acquire({ ...demandOf('birch'), priority: 3 }, 60_000).then((link) => {
    isServed = true;
    return link;
  });
  let served = 0;
  for (; !isServed && served < 100; served += 1) {
    pool.acquire(urgent, 60_000).then(
      (link) => (inUse = link),
      () => undefined,
    );
    clock.now += 5;
    const released: PooledLink | null = inUse;
    inUse = null;
    if (released !== null) pool.release(released);
    await settle();
  }
  assert.ok(isServed, `after ${served} requests of the other tenant`);
  assert.equal((await low).tenantName, 'birch');
  pool.close();
});

for (const [name, weight, first] of [
  ['a tenant with four times the share', 4, 'amber'],
  ['a tenant with the same share, due later', 1, 'birch'],
] as const)
  test(`the next connection is opened for the tenant with the least of its share: ${name}`, async () => {
    const { pool, links, clock } = scene(2, (tenantName) => (tenantName === 'amber' ? weight : 1));
    await pool.acquire(demandOf('cedar'), 1000);
    for (const [tenantName, usedMs] of [
      ['amber', 40],
      ['birch', 20],
    ] as const) {
      const link = await pool.acquire(demandOf(tenantName), 1000);
      clock.now += usedMs;
      pool.release(link);
    }
    const last = await pool.acquire(demandOf('doum'), 1000);
    const waiting = [
      pool.acquire(demandOf('birch', 5000), 1000),
      pool.acquire(demandOf('amber', 6000), 1000),
    ];
    const outcomes = Promise.allSettled(waiting);
    clock.now += 30;
    pool.release(last);
    await settle();
    assert.equal(links.at(-1)?.tenantName, first);
    pool.close();
    await outcomes;
  });
