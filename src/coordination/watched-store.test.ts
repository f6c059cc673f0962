/**
 * The copy of the store, against a store in memory.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MemoryStore, settle } from '../../test/support/memory-store.js';
import { StoreError } from './coordination-store.js';
import { WatchedStore } from './watched-store.js';

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
