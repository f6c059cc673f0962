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
import { at } from '../../test/support/revisions.js';
import { StoreEra } from './store-era.js';

async function until(condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + 2000;
  while (!condition()) {
    assert.ok(performance.now() < deadlineMs, 'it has not come about');
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

describe('the copy of the store', () => {
  function follow(store: MemoryStore): { watched: WatchedStore; told: string[]; rests: number[] } {
    const told: string[] = [];
    const rests: number[] = [];
    const watched = new WatchedStore({
      feed: {
        list: () => store.list(),
        watch: async () => ({ ...(await store.watch()), isPassedOn: false }),
      },
      era: store.era,
      log: () => undefined,
      now: () => 0,
      random: () => 0.5,
      rest: (ms) => {
        rests.push(ms);
        return Promise.resolve();
      },
    });
    watched.subscribe('a/', {
      changed: ({ key, revision }) => told.push(`${key}@${revision.number}`),
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
    store.items.set('a/1', { key: 'a/1', value, revision: at(5), leaseId: 0 });
    store.items.set('b/1', { key: 'b/1', value, revision: at(5), leaseId: 0 });
    store.watchAnswers = [
      { kind: 'events', events: [{ key: 'a/1', value, revision: at(4) }], revision: at(6) },
      { kind: 'events', events: [{ key: 'a/1', value: null, revision: at(7) }], revision: at(7) },
    ];
    const { watched, told } = follow(store);
    await settle();
    watched.stop();
    assert.deepEqual(told, ['a/1@5', 'settled', 'settled', '-a/1', 'settled']);
  });

  test('rests after changes, so that those that follow come in one answer, and not without', async () => {
    const store = new MemoryStore();
    store.watchAnswers = [
      { kind: 'events', events: [{ key: 'a/1', value, revision: at(4) }], revision: at(4) },
      { kind: 'events', events: [], revision: at(5) },
      { kind: 'events', events: [{ key: 'b/1', value, revision: at(6) }], revision: at(6) },
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
      events: [{ key: 'a/1', value, revision: at(revision) }],
      revision: at(revision),
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
    store.items.set('a/1', { key: 'a/1', value, revision: at(5), leaseId: 0 });
    store.watchAnswers = [{ kind: 'compacted' }];
    const { watched, told } = follow(store);
    store.items.delete('a/1');
    store.items.set('a/2', { key: 'a/2', value, revision: at(9), leaseId: 0 });
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
          list: () => (hasRead ? Promise.resolve({ items: [], revision: at(3) }) : failing()),
          watch: failing,
        },
        era: new StoreEra(),
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
      era: store.era,
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

  test('goes on when listeners throw: the others are told, and the store is not called away', async () => {
    const lines: string[] = [];
    const told: string[] = [];
    const fail = (): never => {
      throw new Error('hush');
    };
    const store = new MemoryStore();
    store.items.set('a/1', { key: 'a/1', value, revision: at(5), leaseId: 0 });
    store.watchAnswers = [6, 7, 8].map((revision) => ({
      kind: 'events',
      events: [
        { key: 'a/2', value, revision: at(revision) },
        { key: 'a/1', value: null, revision: at(revision) },
      ],
      revision: at(revision),
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
      rest: () => Promise.resolve(),
    });
    watched.subscribe('a/', { changed: fail, removed: fail, settled: fail, availability: fail });
    watched.subscribe('a/', {
      changed: ({ key, revision }) => told.push(`${key}@${revision.number}`),
      removed: (key) => told.push(`-${key}`),
      settled: () => told.push('settled'),
      availability: (isAvailable) => told.push(isAvailable ? 'up' : 'down'),
    });
    void watched.run();
    await settle();
    assert.deepEqual(told.slice(0, 2), ['a/1@5', 'settled']);
    assert.deepEqual(told.slice(2, 5), ['a/2@6', '-a/1', 'settled']);
    assert.deepEqual(told.slice(5), ['a/2@7', 'settled', 'a/2@8', 'settled']);
    watched.offer({ key: 'a/3', value, revision: at(9) });
    assert.equal(told.at(-1), 'a/3@9');
    assert.ok(lines.length > 0 && lines.length <= 6, lines.join('\n'));
    assert.ok(lines.every((line) => line.startsWith('listener_failed') && !line.includes('hush')));
    watched.stop();
  });

  test('tells all listeners of a store that is away and back, also when the first throws', async () => {
    const store = new MemoryStore();
    const told: boolean[] = [];
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
      rest: () => settle(),
    });
    const quiet = { changed: () => undefined, removed: () => undefined, settled: () => undefined };
    watched.subscribe('', {
      ...quiet,
      availability: () => {
        throw new Error('hush');
      },
    });
    watched.subscribe('', { ...quiet, availability: (isAvailable) => told.push(isAvailable) });
    const ended = watched.run().catch((error: unknown) => error);
    await settle();
    isDown = true;
    await until(() => told.length === 1);
    isDown = false;
    await until(() => told.length === 2);
    assert.deepEqual(told, [false, true]);
    watched.stop();
    assert.equal(await ended, undefined);
  });

  /**
   * A store that came back from a copy told changes under revisions below those known, and the copy here kept what it had.
   * Evidence: `item_not_newer` for each change after the return, in store-era.test.ts.
   */
  test('takes what the store holds after it came back, whatever the numbers, and says that it was away', async () => {
    const store = new MemoryStore();
    const put = (key: string, era: number, number: number): void =>
      void store.items.set(key, { key, value, revision: { era, number }, leaseId: 0 });
    put('a/1', 0, 50);
    put('a/2', 0, 51);
    store.number = 51;
    store.era.hear(0);
    const { watched, told } = follow(store);
    await until(() => told.includes('a/1@50'));
    told.length = 0;
    store.items.clear();
    put('a/1', 1, 9);
    store.number = 9;
    store.era.hear(1);
    await until(() => told.includes('up'));
    assert.deepEqual(told.slice(0, 4), ['down', '-a/2', 'a/1@9', 'settled']);
    watched.stop();
  });

  test('reads again after a return that was heard of while nothing was watched', async () => {
    const store = new MemoryStore();
    store.items.set('a/1', { key: 'a/1', value, revision: at(5), leaseId: 0 });
    const { watched, told } = follow(store);
    store.watchAnswers = [
      { kind: 'events', events: [{ key: 'a/1', value, revision: at(6) }], revision: at(6) },
    ];
    store.era.hear(1);
    await until(() => store.lists >= 2);
    watched.stop();
    assert.ok(told.includes('down'));
  });
});
