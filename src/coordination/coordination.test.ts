/**
 * The duty, and the copy of the store, against a store in memory whose answers can be lost.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, describe, test } from 'node:test';
import {
  StoreError,
  type CoordinationStore,
  type StoredItem,
  type StoreTransaction,
  type TransactionAnswer,
  type WatchAnswer,
} from './coordination-store.js';
import { DUTY_LEASE, TAKEOVER_WAIT_MS } from './duty-record.js';
import { Duty } from './duty.js';
import { WatchedStore } from './watched-store.js';

/** A store in memory; a lease ends when the test says so. */
class MemoryStore implements CoordinationStore {
  readonly items = new Map<string, StoredItem & { leaseId: number }>();
  readonly leases = new Set<number>();
  revision = 1;
  isDown = false;
  watchAnswers: WatchAnswer[] = [];
  lists = 0;
  reads = 0;

  list(): Promise<{ items: readonly StoredItem[]; revision: number }> {
    this.lists += 1;
    return Promise.resolve({ items: [...this.items.values()], revision: this.revision });
  }

  read(key: string): Promise<StoredItem | null> {
    this.reads += 1;
    if (this.isDown) return Promise.reject(new StoreError('down', true));
    return Promise.resolve(this.items.get(key) ?? null);
  }

  async watch(): Promise<WatchAnswer> {
    const next = this.watchAnswers.shift();
    if (next !== undefined) return next;
    await new Promise((resolve) => setTimeout(resolve, 1));
    return { kind: 'events', events: [], revision: this.revision };
  }

  transact({ conditions, puts }: StoreTransaction): Promise<TransactionAnswer> {
    if (this.isDown) return Promise.reject(new StoreError('down', true));
    const isMet = conditions.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision);
    if (!isMet) return Promise.resolve({ kind: 'conflict' });
    if (puts.some(({ leaseId }) => leaseId !== 0 && !this.leases.has(leaseId)))
      return Promise.resolve({ kind: 'no_lease' });
    this.revision += 1;
    for (const { key, value, leaseId } of puts)
      this.items.set(key, { key, value, revision: this.revision, leaseId });
    return Promise.resolve({ kind: 'done', revision: this.revision });
  }

  grantLease(ttlMs: number): Promise<{ leaseId: number; ttlMs: number }> {
    if (this.isDown) return Promise.reject(new StoreError('down', true));
    const leaseId = 100 + this.leases.size;
    this.leases.add(leaseId);
    return Promise.resolve({ leaseId, ttlMs });
  }

  keepLease(leaseId: number): Promise<boolean> {
    if (this.isDown) return Promise.reject(new StoreError('down', true));
    return Promise.resolve(this.leases.has(leaseId));
  }

  endLease(leaseId: number): Promise<void> {
    this.leases.delete(leaseId);
    for (const item of [...this.items.values()]) if (item.leaseId === leaseId) this.items.delete(item.key);
    return Promise.resolve();
  }
}

interface Holder {
  readonly duty: Duty;
  readonly events: string[];
}

function holder(store: MemoryStore, name: string, clock: { now: number }, isEnded = false): Holder {
  const events: string[] = [];
  const duty = new Duty(
    store,
    { name, life: `${name}-life`, host: 'h', port: 1, gatewayPort: 2, zone: 'a', capacity: 1 },
    () => store,
    {
      registered: () => undefined,
      taken: (fence) => events.push(`taken ${fence}`),
      lost: () => events.push('lost'),
    },
    () => Promise.resolve(isEnded),
    () => clock.now,
    () => 0.5,
  );
  started.push(duty);
  return { duty, events };
}

/** Starts a daemon and lets it register and ask for the duty. */
async function running(started: Holder): Promise<Holder> {
  void started.duty.run();
  await settle();
  return started;
}

/** Ended after the tests: a loop that goes on would keep the process from ending. */
const started: Duty[] = [];
after(async () => {
  for (const duty of started) await duty.stop();
});

async function settle(): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve));
}

describe('the duty', () => {
  test('is held by one, and the fence rises with each holder', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const first = holder(store, 'd1', clock);
    const second = holder(store, 'd2', clock);
    void first.duty.run();
    await settle();
    void second.duty.run();
    await settle();
    assert.equal(first.duty.heldFence(0), 1);
    assert.equal(second.duty.heldFence(0), null);
    await first.duty.stop();
    await second.duty.keysChanged();
    assert.equal(second.duty.heldFence(0), 2);
    assert.deepEqual(first.events, ['taken 1', 'lost']);
    await second.duty.stop();
  });

  test('is trusted no longer than the lease by the holder’s own clock', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const { duty } = await running(holder(store, 'd1', clock));
    const trustedMs = DUTY_LEASE.lengthMs - DUTY_LEASE.safetyMs;
    clock.now = trustedMs - 10;
    assert.equal(duty.heldFence(0), 1);
    assert.equal(duty.heldFence(400), null, 'not enough left for a call');
    clock.now = trustedMs;
    assert.equal(duty.heldFence(0), null, 'a frozen holder finds its lease lapsed');
    assert.equal(duty.held, null);
    await duty.stop();
  });

  test('a record of an earlier lease of the same daemon gives it nothing', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const { duty, events } = await running(holder(store, 'd1', clock));
    const record = store.items.get('sorrelladder/duty');
    assert.ok(record !== undefined);
    const older = JSON.parse(record.value.toString()) as { leaseId: number; fence: number };
    const stale = { ...older, leaseId: older.leaseId - 1, fence: older.fence };
    store.items.set('sorrelladder/duty', { ...record, value: Buffer.from(JSON.stringify(stale)) });
    await duty.keysChanged();
    assert.equal(duty.heldFence(0), null);
    assert.deepEqual(events, ['taken 1', 'lost']);
    await duty.stop();
  });
});

describe('a duty whose record is gone', () => {
  const DUTY_KEY = 'sorrelladder/duty';

  test('without a word is not acted on before the last holder has stopped by its own clock', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const first = await running(holder(store, 'd1', clock));
    const second = holder(store, 'd2', clock);
    await second.duty.keysChanged();
    clock.now = 1000;
    void second.duty.run();
    await settle();
    // The store takes the key away; the holder is cut off from it and hears nothing.
    store.items.delete(DUTY_KEY);
    await second.duty.keysChanged();
    assert.equal(second.duty.isHolder, true);
    const vanishedAtMs = clock.now;
    const neverBoth = (untilMs: number): void => {
      for (; clock.now < untilMs; clock.now += 50) {
        const both = [first.duty.heldFence(0), second.duty.heldFence(0)].filter((fence) => fence !== null);
        assert.ok(both.length <= 1, `both act at ${clock.now}`);
      }
    };
    neverBoth(vanishedAtMs + DUTY_LEASE.renewalMs);
    assert.equal(first.duty.heldFence(0), null);
    // The second renews its lease, and the first finds that it has lost the duty.
    while (store.reads < 2) await new Promise((resolve) => setTimeout(resolve, 10));
    await settle();
    assert.equal(first.events.at(-1), 'lost');
    neverBoth(vanishedAtMs + TAKEOVER_WAIT_MS - 50);
    assert.equal(second.duty.heldFence(0), null);
    clock.now = vanishedAtMs + TAKEOVER_WAIT_MS;
    assert.equal(second.duty.heldFence(0), 2);
    await first.duty.stop();
    await second.duty.stop();
  });

  test('is acted on at once when the process of the last holder has ended', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    await running(holder(store, 'd1', clock));
    const second = holder(store, 'd2', clock, true);
    await second.duty.keysChanged();
    void second.duty.run();
    await settle();
    store.items.delete(DUTY_KEY);
    await second.duty.keysChanged();
    await settle();
    assert.equal(second.duty.heldFence(0), 2);
  });

  test('is lost by its holder as soon as that hears of it', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const { duty, events } = await running(holder(store, 'd1', clock));
    store.items.delete(DUTY_KEY);
    store.revision += 1;
    await duty.keysChanged();
    assert.deepEqual(events, ['taken 1', 'lost', 'taken 2'], 'it takes it again, with a higher fence');
    await duty.stop();
  });

  test('is not lost to a copy of the store from before it was taken', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const events: string[] = [];
    const old = { items: new Map<string, StoredItem>(), revision: 0 };
    const duty = new Duty(
      store,
      { name: 'd1', life: 'l', host: 'h', port: 1, gatewayPort: 2, zone: 'a', capacity: 1 },
      () => old,
      {
        registered: () => undefined,
        taken: (fence) => events.push(`taken ${fence}`),
        lost: (reason) => events.push(reason),
      },
      () => Promise.resolve(false),
      () => clock.now,
      () => 0.5,
    );
    void duty.run();
    await settle();
    await duty.keysChanged();
    assert.deepEqual(events, ['taken 1']);
    await duty.stop();
  });

  test('is acted on at once when the last holder said that it let go', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const first = await running(holder(store, 'd1', clock));
    const second = await running(holder(store, 'd2', clock));
    await second.duty.keysChanged();
    await first.duty.stop();
    await second.duty.keysChanged();
    assert.equal(second.duty.heldFence(0), 2);
    await second.duty.stop();
  });

  test('and that was held by somebody of whom a daemon has never heard, is waited for', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const first = await running(holder(store, 'd1', clock));
    store.items.delete(DUTY_KEY);
    const second = holder(store, 'd2', clock);
    await second.duty.keysChanged();
    void second.duty.run();
    await settle();
    assert.equal(second.duty.isHolder, true);
    assert.equal(second.duty.heldFence(0), null);
    await first.duty.stop();
    await second.duty.stop();
  });
});

describe('the copy of the store', () => {
  function follow(store: MemoryStore): { watched: WatchedStore; told: string[]; rests: number[] } {
    const told: string[] = [];
    const rests: number[] = [];
    const watched = new WatchedStore({
      feed: {
        list: () => store.list(),
        watch: async () => ({ ...(await store.watch()), isPassedOn: false }),
      },
      log: () => undefined,
      now: () => 0,
      random: () => 0.5,
      rest: (ms) => {
        rests.push(ms);
        return Promise.resolve();
      },
    });
    watched.subscribe('a/', {
      changed: ({ key, revision }) => told.push(`${key}@${revision}`),
      removed: (key) => told.push(`-${key}`),
      settled: () => told.push('settled'),
      availability: (isAvailable) => told.push(isAvailable ? 'up' : 'down'),
    });
    void watched.run();
    return { watched, told, rests };
  }
  const value = Buffer.from('x');

  test('tells what is there, then what changes, never an older revision', async () => {
    const store = new MemoryStore();
    store.items.set('a/1', { key: 'a/1', value, revision: 5, leaseId: 0 });
    store.items.set('b/1', { key: 'b/1', value, revision: 5, leaseId: 0 });
    store.watchAnswers = [
      { kind: 'events', events: [{ key: 'a/1', value, revision: 4 }], revision: 6 },
      { kind: 'events', events: [{ key: 'a/1', value: null, revision: 7 }], revision: 7 },
    ];
    const { watched, told } = follow(store);
    await settle();
    watched.stop();
    assert.deepEqual(told, ['a/1@5', 'settled', 'settled', '-a/1', 'settled']);
  });

  test('rests after changes, so that those that follow come in one answer, and not without', async () => {
    const store = new MemoryStore();
    store.watchAnswers = [
      { kind: 'events', events: [{ key: 'a/1', value, revision: 4 }], revision: 4 },
      { kind: 'events', events: [], revision: 5 },
      { kind: 'events', events: [{ key: 'b/1', value, revision: 6 }], revision: 6 },
    ];
    const { watched, rests } = follow(store);
    await settle();
    watched.stop();
    assert.deepEqual(rests, [50, 50]);
  });

  test('rests longer the more daemons follow the store, up to a limit', async () => {
    const store = new MemoryStore();
    store.watchAnswers = [67, 900].map((revision) => ({
      kind: 'events',
      events: [{ key: 'a/1', value, revision }],
      revision,
    }));
    const { watched, rests } = follow(store);
    watched.watchers = 30;
    await settle();
    watched.stop();
    assert.deepEqual(rests.slice(0, 1), [108]);
    watched.watchers = 900;
    assert.ok(rests.every((ms) => ms <= 180));
  });

  test('reads everything again when the store has forgotten its history', async () => {
    const store = new MemoryStore();
    store.items.set('a/1', { key: 'a/1', value, revision: 5, leaseId: 0 });
    store.watchAnswers = [{ kind: 'compacted' }];
    const { watched, told } = follow(store);
    store.items.delete('a/1');
    store.items.set('a/2', { key: 'a/2', value, revision: 9, leaseId: 0 });
    await settle();
    watched.stop();
    assert.ok(store.lists >= 2);
    assert.ok(told.includes('a/2@9'));
  });

  /** A copy of a store that fails; its pauses, and how many it waits out before it stands still. */
  function pausesOf(hasRead: boolean): Promise<readonly number[]> {
    const pauses: number[] = [];
    return new Promise((resolve) => {
      const failing = (): Promise<never> => Promise.reject(new StoreError('turned away', false));
      const watched: WatchedStore = new WatchedStore({
        feed: {
          list: () => (hasRead ? Promise.resolve({ items: [], revision: 3 }) : failing()),
          watch: failing,
        },
        log: () => undefined,
        now: () => 0,
        random: () => 1,
        rest: (ms) => {
          pauses.push(ms);
          if (pauses.length < 12) return Promise.resolve();
          watched.stop();
          resolve(pauses);
          return new Promise(() => undefined);
        },
      });
      void watched.run();
    });
  }

  test('waits longer with each refusal, but not so long before the first read: the daemon cannot serve yet', async () => {
    const unread = await pausesOf(false);
    assert.deepEqual(unread.slice(0, 3), [80, 160, 320]);
    assert.equal(Math.max(...unread), 400);
    assert.equal(Math.max(...(await pausesOf(true))), 1000);
  });

  test('is asked for once, ahead of its use, also when that fails', async () => {
    const store = new MemoryStore();
    const { watched } = follow(store);
    watched.stop();
    const early = new MemoryStore();
    const prefetched = new WatchedStore({
      feed: { list: () => early.list(), watch: () => new Promise(() => undefined) },
      log: () => undefined,
      now: () => 0,
      random: () => 0.5,
    });
    prefetched.prefetch();
    assert.equal(early.lists, 1);
    void prefetched.run();
    await settle();
    assert.equal(early.lists, 1);
    prefetched.stop();
  });
});
