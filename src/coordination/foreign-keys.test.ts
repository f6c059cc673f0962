/**
 * Keys of this project in the store that were overwritten by another client.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, describe, test } from 'node:test';
import fc from 'fast-check';
import { MemoryStore, runPendingCallbacks } from '../../test/support/memory-store.js';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { Registration } from '../cluster/registration.js';
import { StoreError, type StoredItem } from './coordination-store.js';
import { listLeasedDaemons, readDaemons } from './daemon-register.js';
import { Duty } from './duty.js';
import { firstEraRevision } from '../../test/support/revisions.js';

/** Runs of the property; set `FUZZ_RUNS=10000` for more runs and `FUZZ_SEED=4` for another seed. */
const FUZZ = {
  seed: Number(process.env['FUZZ_SEED'] ?? 20_261_203),
  numRuns: Number(process.env['FUZZ_RUNS'] ?? 300),
};
const DUTY_KEY = 'sorrelladder/duty';
const FENCE_KEY = 'sorrelladder/fence';
const RECORD: DaemonRecord = {
  name: 'd1',
  life: 'd1-life',
  host: '10.0.0.1',
  port: 7000,
  gatewayPort: 7001,
  zone: 'a',
  capacity: 0.7,
};

function json(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function itemsOf(entries: readonly (readonly [string, Buffer])[]): ReadonlyMap<string, StoredItem> {
  return new Map(
    entries.map(([key, value], index) => [key, { key, value, revision: firstEraRevision(index + 1) }]),
  );
}

const INVALID_RECORDS: readonly (readonly [string, Buffer])[] = [
  ['bytes that are not JSON', Buffer.from('{"name":"d2"')],
  ['bytes that are not UTF-8', Buffer.from([0xff, 0x80])],
  ['an empty value', Buffer.alloc(0)],
  ['null', json(null)],
  ['a list', json([RECORD])],
  ['1 MiB of text', json({ ...RECORD, name: 'd2', more: 'x'.repeat(1024 * 1024) })],
  ['no life', json({ ...RECORD, name: 'd2', life: undefined })],
  ['the name of another daemon', json({ ...RECORD, host: '10.6.6.6' })],
  ['a host that is a number', json({ ...RECORD, name: 'd2', host: 1 })],
  ['a port that is a string', json({ ...RECORD, name: 'd2', port: '7000' })],
  ['a port out of range', json({ ...RECORD, name: 'd2', port: 70_000 })],
  ['no gateway port', json({ ...RECORD, name: 'd2', gatewayPort: undefined })],
  ['a zone that is null', json({ ...RECORD, name: 'd2', zone: null })],
  ['a negative capacity', json({ ...RECORD, name: 'd2', capacity: -1 })],
];

describe('the record of a daemon', () => {
  for (const [what, value] of INVALID_RECORDS) {
    test(`with ${what} is ignored, and the others are read`, () => {
      const { registered, leased } = readDaemons(
        itemsOf([
          ['sorrelladder/daemons/d1', json(RECORD)],
          ['sorrelladder/daemons/d2', value],
          ['sorrelladder/daemons/d3', json({ ...RECORD, name: 'd3' })],
          ['sorrelladder/daemons/', json({ ...RECORD, name: '' })],
          ['sorrelladder/live/d1', Buffer.from('d1-life')],
          ['sorrelladder/live/', Buffer.from('x')],
        ]),
      );
      assert.deepEqual([...registered.keys()], ['d1', 'd3']);
      assert.deepEqual(registered.get('d1'), RECORD);
      assert.deepEqual([...leased], ['d1']);
    });
  }

  test('that cannot be read fails a listing only if its daemon has a valid lease: it may hold evidence, and cannot be asked', async () => {
    const store = new MemoryStore();
    overwrite(store, 'sorrelladder/daemons/d0', json(null));
    overwrite(store, 'sorrelladder/daemons/d1', json(RECORD));
    overwrite(store, 'sorrelladder/live/d1', Buffer.from('d1-life'));
    assert.deepEqual(await listLeasedDaemons(store), [RECORD]);
    overwrite(store, 'sorrelladder/live/d0', Buffer.from('x'));
    await assert.rejects(listLeasedDaemons(store), StoreError);
  });

  test('that cannot be read shows that there was an earlier process, which may have acknowledged commits', () => {
    const { registered, unreadable } = readDaemons(itemsOf([['sorrelladder/daemons/d1', json(null)]]));
    const registration = new Registration(RECORD);
    registration.applyInitialRecords(registered, { unreadable, isIncomplete: false });
    assert.equal(registration.hasPredecessor, true);
    assert.equal(registration.countsFromMs({ kind: 'members' }), Number.POSITIVE_INFINITY);
  });

  test('of this daemon is written again if another client overwrote it with an unreadable value', async () => {
    const { store, duty } = await running();
    const key = 'sorrelladder/daemons/d1';
    overwrite(store, key, json(null));
    await duty.keysChanged();
    const deadlineMs = performance.now() + 1500;
    while (store.items.get(key)?.value.toString() !== JSON.stringify(RECORD)) {
      assert.ok(performance.now() < deadlineMs, 'the record is still unreadable');
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  });
});

interface Running {
  readonly store: MemoryStore;
  readonly duty: Duty;
  readonly events: string[];
  readonly clock: { now: number };
}

const started: Duty[] = [];
after(async () => {
  for (const duty of started) await duty.stop();
});

/** Starts a daemon, which registers and acquires the duty if it is free. */
async function running(store = new MemoryStore(), clock = { now: 0 }): Promise<Running> {
  const events: string[] = [];
  const duty = new Duty(
    store,
    RECORD,
    () => store,
    {
      registered: () => undefined,
      taken: (fence) => events.push(`taken ${fence}`),
      lost: (reason) => events.push(reason),
    },
    () => Promise.resolve(false),
    () => clock.now,
    () => 0.5,
  );
  started.push(duty);
  await duty.keysChanged();
  void duty.run();
  await runPendingCallbacks();
  return { store, duty, events, clock };
}

function overwrite(store: MemoryStore, key: string, value: Buffer): void {
  store.number += 1;
  store.items.set(key, { key, value, revision: store.revision, leaseId: 0 });
}

const INVALID_DUTY_RECORDS: readonly (readonly [string, Buffer])[] = [
  ['bytes that are not JSON', Buffer.from('{')],
  ['null', json(null)],
  ['an unknown state', json({ state: 'wanted', fence: 9 })],
  [
    'a holder that is a number',
    json({ state: 'held', holder: 1, life: 'x', fence: 9, leaseId: 1, actsInMs: 0 }),
  ],
  ['no life', json({ state: 'held', holder: 'x', fence: 9, leaseId: 1, actsInMs: 0 })],
  ['a fractional fence', json({ state: 'released', fence: 1.5 })],
  ['a negative fence', json({ state: 'released', fence: -1 })],
  [
    'a waiting time that is a string',
    json({ state: 'held', holder: 'x', life: 'x', fence: 9, leaseId: 1, actsInMs: 'soon' }),
  ],
];

describe('the record of the duty', () => {
  for (const [what, value] of INVALID_DUTY_RECORDS) {
    test(`with ${what} ends the duty, which is acquired again with a higher fence and acted on after the wait`, async () => {
      const { store, duty, events, clock } = await running();
      overwrite(store, DUTY_KEY, value);
      await duty.keysChanged();
      assert.deepEqual(events, ['taken 1', 'the duty record was deleted or replaced', 'taken 2']);
      assert.equal(duty.isHolder, true);
      await duty.stop();

      const other = new MemoryStore();
      overwrite(other, FENCE_KEY, Buffer.from('7'));
      overwrite(other, DUTY_KEY, value);
      const next = await running(other, clock);
      assert.deepEqual(next.events, ['taken 8']);
      assert.equal(next.duty.heldFence(0), null, 'the last holder may still act');
    });
  }
});

describe('the fence', () => {
  const INVALID_FENCES = [
    '',
    'x',
    'NaN',
    '-3',
    '1.5',
    '1e3',
    ' 7 ',
    'null',
    '9'.repeat(400),
    '\u0000',
    '{"fence":4}',
  ];
  for (const text of INVALID_FENCES) {
    test(`that is ${JSON.stringify(text.slice(0, 12))} still increases`, async () => {
      const { store, duty, events } = await running();
      overwrite(store, FENCE_KEY, Buffer.from(text));
      await duty.stop();
      await runPendingCallbacks();
      const { events: later } = await running(store);
      const [first, second] = [events[0], later[0]].map((event) => Number(event?.replace('taken ', '')));
      assert.equal(first, 1);
      assert.ok(second !== undefined && Number.isSafeInteger(second) && second > 1, String(second));
      assert.equal(store.items.get(FENCE_KEY)?.value.toString(), String(second));
    });
  }

  test('increases also if neither it nor the record of the duty can be read, repeatedly', async () => {
    const store = new MemoryStore();
    const fences: number[] = [];
    for (let turn = 0; turn < 5; turn += 1) {
      const { duty, events } = await running(store);
      fences.push(...events.map((event) => Number(event.replace('taken ', ''))));
      await duty.stop();
      overwrite(store, FENCE_KEY, json(null));
      overwrite(store, DUTY_KEY, json(null));
    }
    assert.equal(fences.length, 5);
    assert.deepEqual(
      fences,
      [...new Set(fences)].sort((left, right) => left - right),
    );
  });

  test('that is lower than that of the last holder still increases', async () => {
    const store = new MemoryStore();
    overwrite(store, FENCE_KEY, Buffer.from('2'));
    overwrite(store, DUTY_KEY, json({ state: 'released', fence: 12 }));
    const { events } = await running(store);
    assert.deepEqual(events, ['taken 13']);
  });
});

test('with any values under the project’s keys, nothing is thrown and valid records are read', async () => {
  const anyValue = fc.oneof(
    fc.uint8Array({ maxLength: 100 }).map((bytes) => Buffer.from(bytes)),
    fc.jsonValue().map(json),
    fc.constantFrom(...[...INVALID_RECORDS, ...INVALID_DUTY_RECORDS].map(([, value]) => value)),
    fc
      .dictionary(fc.constantFrom(...Object.keys(RECORD)), fc.jsonValue())
      .map((fields) => json({ ...RECORD, ...fields })),
  );
  const anyKey = fc.oneof(
    fc.constantFrom('daemons/x', 'daemons/', 'live/x', 'live/', 'duty', 'fence', 'other'),
    fc.string({ maxLength: 20 }).map((name) => `daemons/${name}`),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(fc.tuple(anyKey, anyValue), { maxLength: 8 }), async (foreign) => {
      const store = new MemoryStore();
      for (const [key, value] of foreign) overwrite(store, `sorrelladder/${key}`, value);
      overwrite(store, 'sorrelladder/daemons/d9', json({ ...RECORD, name: 'd9' }));
      const { registered } = readDaemons(store.items);
      assert.equal(registered.get('d9')?.port, 7000);
      for (const [name, record] of registered) assert.equal(name, record.name);
      const { duty } = await running(store);
      await duty.keysChanged();
      await duty.stop();
    }),
    FUZZ,
  );
});
