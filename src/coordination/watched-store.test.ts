/**
 * The local copy of the store, tested against an in-memory store.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MemoryStore, runPendingCallbacks } from '../../test/support/memory-store.js';
import { StoreError } from './coordination-store.js';
import { WatchedStore } from './watched-store.js';
import { firstEraRevision } from '../../test/support/revisions.js';
import { StoreEra } from './store-era.js';

async function until(condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + 2000;
  while (!condition()) {
    assert.ok(performance.now() < deadlineMs, 'the condition did not become true within 2 s');
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

describe('the local copy of the store', () => {
  function startCopy(store: MemoryStore): { watched: WatchedStore; reported: string[]; pauses: number[] } {
    const reported: string[] = [];
    const pauses: number[] = [];
    const watched = new WatchedStore({
      feed: {
        list: () => store.list(),
        watch: async () => ({ ...(await store.watch()), isPassedOn: false }),
      },
      era: store.era,
      log: () => undefined,
      now: () => 0,
      random: () => 0.5,
      sleep: (ms) => {
        pauses.push(ms);
        return Promise.resolve();
      },
    });
    watched.subscribe('a/', {
      changed: ({ key, revision }) => reported.push(`${key}@${revision.number}`),
      removed: (key) => reported.push(`-${key}`),
      settled: () => reported.push('settled'),
      availability: (isAvailable) => reported.push(isAvailable ? 'up' : 'down'),
    });
    void watched.run();
    return { watched, reported, pauses };
  }
  const value = Buffer.from('x');

  test('reports the items, then their changes, and never an older revision', async () => {
    const store = new MemoryStore();
    store.items.set('a/1', { key: 'a/1', value, revision: firstEraRevision(5), leaseId: 0 });
    store.items.set('b/1', { key: 'b/1', value, revision: firstEraRevision(5), leaseId: 0 });
    store.watchAnswers = [
      {
        kind: 'events',
        events: [{ key: 'a/1', value, revision: firstEraRevision(4) }],
        revision: firstEraRevision(6),
      },
      {
        kind: 'events',
        events: [{ key: 'a/1', value: null, revision: firstEraRevision(7) }],
        revision: firstEraRevision(7),
      },
    ];
    const { watched, reported } = startCopy(store);
    await runPendingCallbacks();
    watched.stop();
    assert.deepEqual(reported, ['a/1@5', 'settled', 'settled', '-a/1', 'settled']);
  });

  test('pauses after a response with changes, so that the next ones are batched, and not after an empty one', async () => {
    const store = new MemoryStore();
    store.watchAnswers = [
      {
        kind: 'events',
        events: [{ key: 'a/1', value, revision: firstEraRevision(4) }],
        revision: firstEraRevision(4),
      },
      { kind: 'events', events: [], revision: firstEraRevision(5) },
      {
        kind: 'events',
        events: [{ key: 'b/1', value, revision: firstEraRevision(6) }],
        revision: firstEraRevision(6),
      },
    ];
    const { watched, pauses } = startCopy(store);
    await runPendingCallbacks();
    watched.stop();
    assert.deepEqual(pauses, [50, 50]);
  });

  test('pauses longer the more daemons watch the store, up to a limit', async () => {
    const store = new MemoryStore();
    store.watchAnswers = [67, 900].map((revision) => ({
      kind: 'events',
      events: [{ key: 'a/1', value, revision: firstEraRevision(revision) }],
      revision: firstEraRevision(revision),
    }));
    const { watched, pauses } = startCopy(store);
    watched.watcherCount = 30;
    await runPendingCallbacks();
    watched.stop();
    assert.deepEqual(pauses.slice(0, 1), [108]);
    watched.watcherCount = 900;
    assert.ok(pauses.every((ms) => ms <= 180));
  });

  test('reads the whole store again when its history was compacted', async () => {
    const store = new MemoryStore();
    store.items.set('a/1', { key: 'a/1', value, revision: firstEraRevision(5), leaseId: 0 });
    store.watchAnswers = [{ kind: 'compacted' }];
    const { watched, reported } = startCopy(store);
    store.items.delete('a/1');
    store.items.set('a/2', { key: 'a/2', value, revision: firstEraRevision(9), leaseId: 0 });
    await runPendingCallbacks();
    watched.stop();
    assert.ok(store.lists >= 2);
    assert.ok(reported.includes('a/2@9'));
  });

  /** Runs a copy against a store that fails, and returns its first 12 pauses. */
  function pausesOf(hasRead: boolean): Promise<readonly number[]> {
    const pauses: number[] = [];
    return new Promise((resolve) => {
      const failing = (): Promise<never> => Promise.reject(new StoreError('turned away', false));
      const watched: WatchedStore = new WatchedStore({
        feed: {
          list: () => (hasRead ? Promise.resolve({ items: [], revision: firstEraRevision(3) }) : failing()),
          watch: failing,
        },
        era: new StoreEra(),
        log: () => undefined,
        now: () => 0,
        random: () => 1,
        sleep: (ms) => {
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

  test('backs off exponentially, with a lower limit before the first read, when the daemon cannot serve yet', async () => {
    const unread = await pausesOf(false);
    assert.deepEqual(unread.slice(0, 3), [80, 160, 320]);
    assert.equal(Math.max(...unread), 400);
    assert.equal(Math.max(...(await pausesOf(true))), 1000);
  });

  test('is read once if it was prefetched', async () => {
    const store = new MemoryStore();
    const { watched } = startCopy(store);
    watched.stop();
    const early = new MemoryStore();
    const prefetched = new WatchedStore({
      feed: { list: () => early.list(), watch: () => new Promise(() => undefined) },
      era: store.era,
      log: () => undefined,
      now: () => 0,
      random: () => 0.5,
    });
    prefetched.prefetch();
    assert.equal(early.lists, 1);
    void prefetched.run();
    await runPendingCallbacks();
    assert.equal(early.lists, 1);
    prefetched.stop();
  });

  test('goes on when listeners throw: the others are notified, and the store stays available', async () => {
    const lines: string[] = [];
    const reported: string[] = [];
    const fail = (): never => {
      throw new Error('secret');
    };
    const store = new MemoryStore();
    store.items.set('a/1', { key: 'a/1', value, revision: firstEraRevision(5), leaseId: 0 });
    store.watchAnswers = [6, 7, 8].map((revision) => ({
      kind: 'events',
      events: [
        { key: 'a/2', value, revision: firstEraRevision(revision) },
        { key: 'a/1', value: null, revision: firstEraRevision(revision) },
      ],
      revision: firstEraRevision(revision),
    }));
    const watched = new WatchedStore({
      feed: {
        list: () => store.list(),
        watch: async () => ({ ...(await store.watch()), isPassedOn: false }),
      },
      era: store.era,
      log: (event, details) => lines.push(`${event} ${JSON.stringify(details)}`),
      now: () => 0,
      random: () => 0.5,
      sleep: () => Promise.resolve(),
    });
    watched.subscribe('a/', { changed: fail, removed: fail, settled: fail, availability: fail });
    watched.subscribe('a/', {
      changed: ({ key, revision }) => reported.push(`${key}@${revision.number}`),
      removed: (key) => reported.push(`-${key}`),
      settled: () => reported.push('settled'),
      availability: (isAvailable) => reported.push(isAvailable ? 'up' : 'down'),
    });
    void watched.run();
    await runPendingCallbacks();
    assert.deepEqual(reported.slice(0, 2), ['a/1@5', 'settled']);
    assert.deepEqual(reported.slice(2, 5), ['a/2@6', '-a/1', 'settled']);
    assert.deepEqual(reported.slice(5), ['a/2@7', 'settled', 'a/2@8', 'settled']);
    watched.offer({ key: 'a/3', value, revision: firstEraRevision(9) });
    assert.equal(reported.at(-1), 'a/3@9');
    assert.ok(lines.length > 0 && lines.length <= 6, lines.join('\n'));
    assert.ok(lines.every((line) => line.startsWith('listener_failed') && !line.includes('secret')));
    watched.stop();
  });

  test('notifies all listeners of an outage and its end, also when the first one throws', async () => {
    const store = new MemoryStore();
    const reported: boolean[] = [];
    let isDown = false;
    const watched = new WatchedStore({
      feed: {
        list: () => store.list(),
        watch: async () => {
          if (isDown) throw new StoreError('down', false);
          return { ...(await store.watch()), isPassedOn: false };
        },
      },
      era: store.era,
      log: () => undefined,
      now: () => 0,
      random: () => 0.5,
      sleep: () => runPendingCallbacks(),
    });
    const quiet = { changed: () => undefined, removed: () => undefined, settled: () => undefined };
    watched.subscribe('', {
      ...quiet,
      availability: () => {
        throw new Error('secret');
      },
    });
    watched.subscribe('', { ...quiet, availability: (isAvailable) => reported.push(isAvailable) });
    const ended = watched.run().catch((error: unknown) => error);
    await runPendingCallbacks();
    isDown = true;
    await until(() => reported.length === 1);
    isDown = false;
    await until(() => reported.length === 2);
    assert.deepEqual(reported, [false, true]);
    watched.stop();
    assert.equal(await ended, undefined);
  });

  /**
   * Guards against a fault after a restore of the store from a backup: revision numbers went back below those
   * known, and the local copy rejected all changes as older. It showed as `item_not_newer` for each change
   * after the restore, in store-era.test.ts.
   */
  test('adopts the items of a restored store, whatever their revision numbers, and reports an outage', async () => {
    const store = new MemoryStore();
    const put = (key: string, era: number, number: number): void =>
      void store.items.set(key, { key, value, revision: { era, number }, leaseId: 0 });
    put('a/1', 0, 50);
    put('a/2', 0, 51);
    store.number = 51;
    store.era.observe(0);
    const { watched, reported } = startCopy(store);
    await until(() => reported.includes('a/1@50'));
    reported.length = 0;
    store.items.clear();
    put('a/1', 1, 9);
    store.number = 9;
    store.era.observe(1);
    await until(() => reported.includes('up'));
    assert.deepEqual(reported.slice(0, 4), ['down', '-a/2', 'a/1@9', 'settled']);
    watched.stop();
  });

  test('reads the store again after a restore that was detected while no watch was in progress', async () => {
    const store = new MemoryStore();
    store.items.set('a/1', { key: 'a/1', value, revision: firstEraRevision(5), leaseId: 0 });
    const { watched, reported } = startCopy(store);
    store.watchAnswers = [
      {
        kind: 'events',
        events: [{ key: 'a/1', value, revision: firstEraRevision(6) }],
        revision: firstEraRevision(6),
      },
    ];
    store.era.observe(1);
    await until(() => store.lists >= 2);
    watched.stop();
    assert.ok(reported.includes('down'));
  });
});
