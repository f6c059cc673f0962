/**
 * Connection pool: budget, queue order, session state, connection failures and the end of a member.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { AdmissionError } from '../admission/admission-error.js';
import type { AdmissionObserver } from '../admission/pool-admission.js';
import { FakeLink } from '../../test/support/fake-link.js';
import { LinkPool } from './link-pool.js';
import type { LinkDemand } from './link-queue.js';
import { PoolTimeoutError } from './link-acquisition.js';
import { DialError, LinkLostError, NotSentError, type MemberLink } from './member-link.js';
import type { PooledLink } from './pooled-link.js';

const ADDRESS = { memberId: 'm', groupName: 'g', host: 'h', port: 1 };
const NO_VALUES = new Map<string, string>();
const DEMAND: LinkDemand = {
  tenantName: 'one',
  values: NO_VALUES,
  isWrite: false,
  priority: 1,
  dueAtMs: Number.POSITIVE_INFINITY,
};

function poolOf(
  budget: number,
  dial: () => Promise<MemberLink>,
  clock = { now: 0 },
  onTrouble: (reason: string) => void = () => undefined,
  admissionObserver?: AdmissionObserver,
): LinkPool {
  return new LinkPool({
    dialer: { dial },
    address: ADDRESS,
    budget: () => budget,
    dialTimeoutMs: 100,
    limitBackoffMs: 10,
    idleTimeoutMs: 1000,
    serviceMs: () => 10,
    onFailure: onTrouble,
    random: () => 0.5,
    now: () => clock.now,
    ...(admissionObserver === undefined ? {} : { admissionObserver }),
  });
}

test('the budget is not exceeded, and waiting requests are served by priority', async () => {
  let dialed = 0;
  const pool = poolOf(2, () => {
    dialed += 1;
    return Promise.resolve(new FakeLink());
  });
  const first = await pool.acquire(DEMAND, 1000);
  await pool.acquire(DEMAND, 1000);
  const served: string[] = [];
  const low = pool.acquire({ ...DEMAND, priority: 2 }, 1000).then((link) => (served.push('low'), link));
  const high = pool.acquire({ ...DEMAND, priority: 0 }, 1000).then((link) => (served.push('high'), link));
  assert.equal(dialed, 2);
  pool.release(first);
  pool.release(await high);
  await low;
  assert.deepEqual(served, ['high', 'low']);
  assert.equal(dialed, 2);
});

test('a connection that is released with a request in flight is closed', async () => {
  const links: FakeLink[] = [];
  const pool = poolOf(2, () => {
    const link = new FakeLink();
    links.push(link);
    return Promise.resolve(link);
  });
  const link = await pool.acquire(DEMAND, 1000);
  void link.send({ kind: 'status' });
  pool.release(link);
  assert.equal(links[0]?.isOpen, false);
  assert.equal(pool.size, 0);
});

test('a connection has the values of the session that uses it and none of an earlier session', async () => {
  const fake = new FakeLink();
  const pool = poolOf(1, () => Promise.resolve(fake));
  const link = await pool.acquire(DEMAND, 1000);
  await link.setSessionValues(
    new Map([
      ['lang', 'ur'],
      ['mode', 'x'],
    ]),
  );
  await link.prepare({ isWrite: false, shape: 'q1' });
  fake.sent.length = 0;
  await Promise.all([
    link.setSessionValues(new Map([['lang', 'en']])),
    link.prepare({ isWrite: false, shape: 'q1' }),
  ]);
  assert.deepEqual(
    fake.sent.map(({ kind }) => kind),
    ['reset', 'set', 'prepare'],
    'a reset also drops prepared statements, so they are prepared again after it',
  );
});

test('a connection on which a value is refused is closed, because its state is unknown', async () => {
  const fake = new FakeLink();
  const pool = poolOf(1, () => Promise.resolve(fake));
  const link = await pool.acquire(DEMAND, 1000);
  fake.refuseNext = true;
  await assert.rejects(link.setSessionValues(new Map([['lang', 'ur']])), LinkLostError);
  assert.equal(link.isOpen, false);
});

test('a connection on which a value or a statement cannot be sent is closed, because it lacks them', async () => {
  for (const set of [
    (link: PooledLink) => link.setSessionValues(new Map([['lang', 'ur']])),
    (link: PooledLink) => link.prepare({ isWrite: false, shape: 'q1' }),
  ]) {
    const fake = new FakeLink();
    const pool = poolOf(1, () => Promise.resolve(fake));
    const link = await pool.acquire(DEMAND, 1000);
    fake.send = () => Promise.reject(new NotSentError('a field cannot be sent'));
    await assert.rejects(set(link), NotSentError);
    assert.equal(link.isOpen, false);
  }
});

test('a member that had too many connections is dialed again for waiting requests', async () => {
  const clock = { now: 0 };
  let attempts = 0;
  const dial = (): Promise<MemberLink> => {
    attempts += 1;
    return attempts === 2
      ? Promise.reject(new DialError('too_many_connections', 'full'))
      : Promise.resolve(new FakeLink());
  };
  const pool = poolOf(3, dial, clock);
  await pool.acquire(DEMAND, 1000);
  const waiting = pool.acquire(DEMAND, 1000);
  await new Promise((resolve) => setImmediate(resolve));
  clock.now = 20;
  await waiting;
  assert.equal(attempts, 3);
});

test('all idle connections but one are closed after the idle time', async () => {
  const clock = { now: 0 };
  const pool = poolOf(3, () => Promise.resolve(new FakeLink()), clock);
  const links = [];
  for (let index = 0; index < 3; index += 1) links.push(await pool.acquire(DEMAND, 1000));
  for (const link of links) pool.release(link);
  pool.trim();
  assert.equal(pool.size, 3);
  clock.now = 1001;
  pool.trim();
  assert.equal(pool.size, 1);
});

test('connections are opened in advance one at a time and kept open while idle', async () => {
  const clock = { now: 0 };
  let dialed = 0;
  const dial = (): Promise<MemberLink> => {
    dialed += 1;
    return Promise.resolve(new FakeLink());
  };
  const pool = poolOf(3, dial, clock);
  pool.setMinIdle(2);
  pool.warm();
  pool.warm();
  assert.equal(dialed, 1, 'not two at once: opening a connection occupies a slot of the member');
  await new Promise((resolve) => setImmediate(resolve));
  clock.now = 1000;
  pool.warm();
  await new Promise((resolve) => setImmediate(resolve));
  clock.now = 5000;
  pool.warm();
  pool.trim();
  assert.equal(pool.size, 2);
});

test('a member without a free connection fails all waiting requests and is then backed off', async () => {
  const clock = { now: 0 };
  const pool = poolOf(2, () => Promise.reject(new DialError('too_many_connections', 'full')), clock);
  const waiting = [pool.acquire(DEMAND, 1000), pool.acquire(DEMAND, 1000), pool.acquire(DEMAND, 1000)];
  assert.equal(pool.isUnavailable, false);
  for (const each of waiting) await assert.rejects(each, DialError);
  assert.equal(pool.isUnavailable, true);
  clock.now = 11;
  assert.equal(pool.isUnavailable, false, 'may be dialed again after the backoff');
});

/** A dialer whose connections are accepted one by one by a call of `accept`. */
function slowDialer(): { dial: () => Promise<MemberLink>; accept: () => void; dialed: () => number } {
  const open: ((link: MemberLink) => void)[] = [];
  let dialed = 0;
  return {
    dial: () => {
      dialed += 1;
      return new Promise((resolve) => open.push(resolve));
    },
    accept: () => open.shift()?.(new FakeLink()),
    dialed: () => dialed,
  };
}

test('only two connections are opened at the same time, and the next one when one is accepted', async () => {
  const { dial, accept, dialed } = slowDialer();
  const pool = poolOf(8, dial);
  const waiting = Array.from({ length: 6 }, () => pool.acquire(DEMAND, 1000));
  assert.equal(dialed(), 2);
  accept();
  await waiting[0];
  assert.equal(dialed(), 3);
  for (let index = 0; index < 5; index += 1) {
    accept();
    await waiting[index + 1];
  }
  assert.equal(dialed(), 6);
});

test('a connection that has just been accepted counts towards the budget without interruption', async () => {
  // The failure guarded against: a request that arrives between the end of the attempt and the registration of
  // the connection opens another one, beyond the member's connection limit.
  const dials: Promise<MemberLink>[] = [];
  let accept: (link: MemberLink) => void = () => undefined;
  const pool = poolOf(1, () => {
    const dialed = new Promise<MemberLink>((resolve) => (accept = resolve));
    dials.push(dialed);
    return dialed;
  });
  const first = pool.acquire(DEMAND, 1000);
  const second = dials[0]?.then(() => pool.acquire(DEMAND, 1000));
  accept(new FakeLink());
  pool.release(await first);
  await second;
  assert.equal(dials.length, 1);
});

test('requests that wait at a pool that may have no more connections are failed', async () => {
  // The failure guarded against: after other daemons have been chosen to connect to the member, requests wait
  // until their deadline for a pool that closes each connection when it is released.
  let budget = 1;
  const pool = new LinkPool({
    dialer: { dial: () => Promise.resolve(new FakeLink()) },
    address: ADDRESS,
    budget: () => budget,
    dialTimeoutMs: 100,
    limitBackoffMs: 10,
    idleTimeoutMs: 1000,
    serviceMs: () => 10,
    onFailure: () => undefined,
    random: () => 0.5,
    now: () => 0,
  });
  const inUse = await pool.acquire(DEMAND, 1000);
  const waiting = pool.acquire(DEMAND, 1000);
  const outcome = assert.rejects(waiting, { message: 'the daemon no longer connects to the member' });
  budget = 0;
  pool.refuseUnservable();
  await outcome;
  pool.release(inUse);
  assert.equal(pool.size, 0);
});

test('a member that is slow to accept fails the waiting request, but the attempt continues', async () => {
  const { dial, accept, dialed } = slowDialer();
  const pool = poolOf(1, dial);
  await assert.rejects(pool.acquire(DEMAND, 1000), DialError);
  const next = pool.acquire(DEMAND, 1000);
  assert.equal(dialed(), 1, 'the attempt is not restarted');
  accept();
  await next;
});

test('requests that arrive during a slow connection attempt wait no longer than the first one', async () => {
  const { dial, dialed } = slowDialer();
  const pool = poolOf(1, dial);
  await assert.rejects(pool.acquire(DEMAND, 10_000), DialError);
  const startedMs = performance.now();
  const later = [pool.acquire(DEMAND, 10_000), pool.acquire(DEMAND, 10_000)];
  for (const each of later) await assert.rejects(each, DialError);
  assert.ok(performance.now() - startedMs < 1000);
  assert.equal(dialed(), 1);
});

test('the backoff of a member that does not accept in time grows with each attempt', async (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const clock = { now: 0 };
  const dialedAtMs: number[] = [];
  const dial = (): Promise<MemberLink> => {
    dialedAtMs.push(clock.now);
    return Promise.reject(new DialError('slow', 'no answer in time'));
  };
  const pool = poolOf(1, dial, clock);
  void pool.acquire(DEMAND, 10_000).catch(() => undefined);
  for (; clock.now < 3000; clock.now += 1) {
    context.mock.timers.tick(1);
    await new Promise((resolve) => setImmediate(resolve));
  }
  const pauses = dialedAtMs.slice(1).map((at, index) => at - (dialedAtMs[index] ?? 0));
  assert.ok(pauses.length >= 4, `start times of attempts: ${dialedAtMs.join(', ')}`);
  for (const [index, pause] of pauses.slice(1).entries())
    assert.ok(pause >= 1.8 * (pauses[index] ?? 0), `start times of attempts: ${dialedAtMs.join(', ')}`);
});

describe('a pool whose member has ended', () => {
  /**
   * A pool with one connection in use and one idle, the failures that it reports and its pending dial
   * attempts.
   */
  async function endedPool(): Promise<{
    pool: LinkPool;
    links: FakeLink[];
    troubles: string[];
    dials: ((link: MemberLink | DialError) => void)[];
  }> {
    const links: FakeLink[] = [];
    const troubles: string[] = [];
    const dials: ((link: MemberLink | DialError) => void)[] = [];
    const dial = (): Promise<MemberLink> => {
      if (links.length < 2) {
        const link = new FakeLink();
        links.push(link);
        return Promise.resolve(link);
      }
      return new Promise((resolve, reject) =>
        dials.push((outcome) => (outcome instanceof DialError ? reject(outcome) : resolve(outcome))),
      );
    };
    const pool = poolOf(4, dial, { now: 0 }, (reason) => void troubles.push(reason));
    await pool.acquire(DEMAND, 1000);
    pool.release(await pool.acquire(DEMAND, 1000));
    return { pool, links, troubles, dials };
  }

  test('closes its connections immediately, including those in use, and grants no more', async () => {
    const { pool, links } = await endedPool();
    pool.closePermanently();
    assert.deepEqual(
      links.map(({ isOpen }) => isOpen),
      [false, false],
    );
    assert.equal(pool.size, 0);
    await assert.rejects(pool.acquire(DEMAND, 1000), PoolTimeoutError);
    pool.reopen();
    await assert.rejects(pool.acquire(DEMAND, 1000), PoolTimeoutError, 'the end is permanent');
  });

  test('tells those who wait, and of no trouble, whatever comes of the connections that it was opening', async () => {
    const { pool, troubles, dials } = await endedPool();
    await pool.acquire(DEMAND, 1000);
    const waiting = [pool.acquire(DEMAND, 1000), pool.acquire(DEMAND, 1000)];
    assert.equal(dials.length, 2);
    const outcomes = Promise.allSettled(waiting);
    pool.closePermanently();
    assert.deepEqual(
      (await outcomes).map(({ status }) => status),
      ['rejected', 'rejected'],
    );
    const late = new FakeLink();
    dials[0]?.(late);
    dials[1]?.(new DialError('refused', 'nothing listens'));
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(late.isOpen, false);
    assert.equal(pool.size, 0);
    assert.deepEqual(troubles, []);
  });
});

test('a pool that is reopened after a close grants the connections that it still has', async () => {
  const links: FakeLink[] = [];
  const pool = poolOf(1, () => {
    links.push(new FakeLink());
    return Promise.resolve(links[0] as FakeLink);
  });
  const link = await pool.acquire(DEMAND, 1000);
  pool.close();
  await assert.rejects(pool.acquire(DEMAND, 1000), PoolTimeoutError);
  pool.reopen();
  pool.release(link);
  assert.equal(await pool.acquire(DEMAND, 1000), link);
  assert.equal(links.length, 1);
});

/** An observer that records the decisions of admission. */
function recordDecisions(): { decisions: string[]; admissionObserver: AdmissionObserver } {
  const decisions: string[] = [];
  return {
    decisions,
    admissionObserver: {
      admissionDecided: (decision) => void decisions.push(decision),
      waitMeasured: () => undefined,
    },
  };
}

test('a pool at which too many requests wait refuses the one that would be served last', async () => {
  // The failures guarded against: an unbounded queue, whose requests use memory until their deadline; and a
  // rejection that is taken for a connection that did not come free, after which the request is tried again.
  const { dial, accept } = slowDialer();
  const { decisions, admissionObserver } = recordDecisions();
  const pool = poolOf(1, dial, undefined, undefined, admissionObserver);
  const urgent = pool.acquire({ ...DEMAND, priority: 0 }, 10_000);
  const waiting = Array.from({ length: 1999 }, (_, index) =>
    pool.acquire({ ...DEMAND, dueAtMs: 1000 + index }, 10_000),
  );
  const refused: [number, unknown][] = [];
  for (const [index, each] of waiting.entries()) each.catch((error: unknown) => refused.push([index, error]));
  const isRefusal = (error: unknown): boolean =>
    error instanceof AdmissionError &&
    error.message === 'too many requests wait for a connection' &&
    error.retryAfterMs > 1000 &&
    error.retryAfterMs <= 2000;
  decisions.length = 0;
  await assert.rejects(pool.acquire({ ...DEMAND, priority: 2 }, 10_000), isRefusal);
  assert.equal(refused.length, 0);
  assert.deepEqual(decisions, ['refused'], 'refused on arrival, so it did not wait');
  const earlier = pool.acquire({ ...DEMAND, dueAtMs: 500 }, 10_000);
  assert.deepEqual(decisions, ['refused', 'waiting', 'refused'], 'one that waited is refused for it');
  accept();
  pool.release(await urgent);
  await earlier;
  assert.deepEqual(
    refused.map(([index]) => index),
    [1998],
    'the one that is due last',
  );
  assert.ok(isRefusal(refused[0]?.[1]), String(refused[0]?.[1]));
  pool.close();
  await Promise.allSettled(waiting);
});

test('a request of the daemon itself that a full pool rejects is not counted as refused', async () => {
  const { dial } = slowDialer();
  const { decisions, admissionObserver } = recordDecisions();
  const pool = poolOf(1, dial, undefined, undefined, admissionObserver);
  const waiting = Array.from({ length: 2000 }, () => pool.acquire({ ...DEMAND, tenantName: '' }, 10_000));
  const outcomes = Promise.allSettled(waiting);
  await assert.rejects(pool.acquire({ ...DEMAND, tenantName: null, priority: 2 }, 10_000), PoolTimeoutError);
  assert.ok(!decisions.includes('refused'));
  pool.close();
  await outcomes;
});
