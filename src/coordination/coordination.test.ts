/**
 * The promotion duty, tested against an in-memory store that can be unreachable.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { after, describe, test } from 'node:test';
import { MemoryStore, runPendingCallbacks } from '../../test/support/memory-store.js';
import type { CoordinationStore, StoredItem } from './coordination-store.js';
import { DUTY_LEASE, TAKEOVER_WAIT_MS } from './duty-record.js';
import { Duty, type LocalCopy } from './duty.js';
import { DaemonStoreView } from '../../test/support/daemon-store-view.js';
import { firstEraRevision } from '../../test/support/revisions.js';

interface Holder {
  readonly duty: Duty;
  readonly events: string[];
}

function holder(
  store: CoordinationStore & LocalCopy,
  name: string,
  clock: { now: number },
  isEnded: boolean | (() => boolean) = false,
): Holder {
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
    () => Promise.resolve(typeof isEnded === 'boolean' ? isEnded : isEnded()),
    () => clock.now,
    () => 0.5,
  );
  started.push(duty);
  return { duty, events };
}

/** Starts a daemon, which registers and requests the duty. */
async function running(started: Holder): Promise<Holder> {
  void started.duty.run();
  await runPendingCallbacks();
  return started;
}

/** Stopped after the tests, since a running renewal loop would keep the test process alive. */
const started: Duty[] = [];
after(async () => {
  for (const duty of started) await duty.stop();
});

test('a daemon whose liveness key was deleted registers again long before its next renewal is due', async () => {
  const store = new MemoryStore();
  const clock = { now: 0 };
  const { duty } = await running(holder(store, 'd1', clock));
  const key = 'sorrelladder/live/d1';
  assert.ok(store.items.delete(key));
  store.number += 1;
  await duty.keysChanged();
  const deadlineMs = performance.now() + 1500;
  while (!store.items.has(key)) {
    assert.ok(performance.now() < deadlineMs, 'the liveness key is still missing');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await duty.stop();
});

test('a daemon whose lease expired during an outage registers again as soon as the store answers', async () => {
  const store = new MemoryStore();
  const { duty } = await running(holder(store, 'd1', { now: 0 }));
  store.isDown = true;
  store.items.delete('sorrelladder/live/d1');
  store.leases.clear();
  await duty.keysChanged();
  await new Promise((resolve) => setTimeout(resolve, 1700));
  store.isDown = false;
  duty.storeRegained();
  const deadlineMs = performance.now() + 400;
  while (!store.items.has('sorrelladder/live/d1')) {
    assert.ok(performance.now() < deadlineMs, 'the liveness key is still missing');
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await duty.stop();
});

describe('the duty', () => {
  test('is held by one daemon at a time, and the fence increases with each holder', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const first = holder(store, 'd1', clock);
    const second = holder(store, 'd2', clock);
    void first.duty.run();
    await runPendingCallbacks();
    void second.duty.run();
    await runPendingCallbacks();
    assert.equal(first.duty.heldFence(0), 1);
    assert.equal(second.duty.heldFence(0), null);
    await first.duty.stop();
    await second.duty.keysChanged();
    assert.equal(second.duty.heldFence(0), 2);
    assert.deepEqual(first.events, ['taken 1', 'lost']);
    await second.duty.stop();
  });

  test('is relied on for at most the lease duration by the holder’s own clock', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const { duty } = await running(holder(store, 'd1', clock));
    const trustedMs = DUTY_LEASE.lengthMs - DUTY_LEASE.safetyMs;
    clock.now = trustedMs - 10;
    assert.equal(duty.heldFence(0), 1);
    assert.equal(duty.heldFence(400), null, 'too little time left for a call');
    clock.now = trustedMs;
    assert.equal(duty.heldFence(0), null, 'a holder that was frozen finds its lease expired');
    assert.equal(duty.held, null);
    await duty.stop();
  });

  test('a record of an earlier lease of the same daemon does not make it the holder', async () => {
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

describe('a duty whose record was deleted', () => {
  const DUTY_KEY = 'sorrelladder/duty';

  test('without a release is not acted on before the last holder has stopped by its own clock', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const first = await running(holder(store, 'd1', clock));
    const second = holder(store, 'd2', clock);
    await second.duty.keysChanged();
    clock.now = 1000;
    void second.duty.run();
    await runPendingCallbacks();
    // The store deletes the key; the holder, disconnected from it, is not notified.
    store.items.delete(DUTY_KEY);
    await second.duty.keysChanged();
    assert.equal(second.duty.isHolder, true);
    const deletedAtMs = clock.now;
    const assertNeverBoth = (untilMs: number): void => {
      for (; clock.now < untilMs; clock.now += 50) {
        const both = [first.duty.heldFence(0), second.duty.heldFence(0)].filter((fence) => fence !== null);
        assert.ok(both.length <= 1, `both act at ${clock.now}`);
      }
    };
    assertNeverBoth(deletedAtMs + DUTY_LEASE.renewalMs);
    assert.equal(first.duty.heldFence(0), null);
    // The second renews its lease, and the first detects that it has lost the duty.
    while (store.reads < 2) await new Promise((resolve) => setTimeout(resolve, 10));
    await runPendingCallbacks();
    assert.equal(first.events.at(-1), 'lost');
    assertNeverBoth(deletedAtMs + TAKEOVER_WAIT_MS - 50);
    assert.equal(second.duty.heldFence(0), null);
    clock.now = deletedAtMs + TAKEOVER_WAIT_MS;
    assert.equal(second.duty.heldFence(0), 2);
    await first.duty.stop();
    await second.duty.stop();
  });

  test('is acted on at once if the process of the last holder has ended', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    await running(holder(store, 'd1', clock));
    const second = holder(store, 'd2', clock, true);
    await second.duty.keysChanged();
    void second.duty.run();
    await runPendingCallbacks();
    store.items.delete(DUTY_KEY);
    await second.duty.keysChanged();
    await runPendingCallbacks();
    assert.equal(second.duty.heldFence(0), 2);
  });

  test('is acted on as soon as the process of the last holder becomes known to have ended', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    let isEnded = false;
    await running(holder(store, 'd1', clock));
    const second = holder(store, 'd2', clock, () => isEnded);
    await second.duty.keysChanged();
    void second.duty.run();
    await runPendingCallbacks();
    store.items.delete(DUTY_KEY);
    await second.duty.keysChanged();
    await runPendingCallbacks();
    // The local copy shows by then that this daemon holds the duty.
    await second.duty.keysChanged();
    second.duty.processEnded();
    await runPendingCallbacks();
    assert.equal(second.duty.heldFence(0), null);
    isEnded = true;
    second.duty.processEnded();
    await runPendingCallbacks();
    assert.equal(second.duty.heldFence(0), 2);
  });

  test('is lost by its holder as soon as its local copy shows the deletion', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const { duty, events } = await running(holder(store, 'd1', clock));
    store.items.delete(DUTY_KEY);
    store.number += 1;
    await duty.keysChanged();
    assert.deepEqual(
      events,
      ['taken 1', 'lost', 'taken 2'],
      'the daemon acquires it again, with a higher fence',
    );
    await duty.stop();
  });

  test('is not lost because of a local copy from before it was acquired', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const events: string[] = [];
    const old = { items: new Map<string, StoredItem>(), revision: firstEraRevision(0) };
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
    await runPendingCallbacks();
    await duty.keysChanged();
    assert.deepEqual(events, ['taken 1']);
    await duty.stop();
  });

  test('is acted on at once if the last holder released it', async () => {
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

  test('and whose holder was never observed by a daemon, is acted on by it only after the wait', async () => {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const first = await running(holder(store, 'd1', clock));
    store.items.delete(DUTY_KEY);
    const second = holder(store, 'd2', clock);
    await second.duty.keysChanged();
    void second.duty.run();
    await runPendingCallbacks();
    assert.equal(second.duty.isHolder, true);
    assert.equal(second.duty.heldFence(0), null);
    await first.duty.stop();
    await second.duty.stop();
  });
});

/**
 * Guards against two daemons that promote under the same fence, possibly at the same time, after the store
 * was restored from a backup that lacks the record and the fence of the last holder. The backup showed a
 * released duty, so a daemon that had just started did not wait for anybody and continued from the older
 * fence. It showed as `two holders under one fence: front-3#2 front-1#2` in store-era.test.ts.
 */
describe('the duty after a restore of the store from a backup', () => {
  interface RestoreScenario {
    readonly store: MemoryStore;
    readonly clock: { now: number };
    readonly last: ViewedHolder;
    readonly next: ViewedHolder;
  }

  interface ViewedHolder extends Holder {
    readonly view: DaemonStoreView;
  }

  function viewedHolder(store: MemoryStore, name: string, clock: { now: number }): ViewedHolder {
    const view = new DaemonStoreView(store);
    return { view, ...holder(view, name, clock) };
  }

  async function refreshView({ view, duty }: ViewedHolder): Promise<void> {
    view.refresh();
    await duty.keysChanged();
    await runPendingCallbacks();
  }

  /**
   * A holder releases the duty, a backup is made, another daemon holds it; the store is restored, and a third
   * acquires it.
   */
  async function restoreBackup(isLastDisconnected: boolean): Promise<RestoreScenario> {
    const store = new MemoryStore();
    const clock = { now: 0 };
    const first = viewedHolder(store, 'd1', clock);
    await refreshView(first);
    await running(first);
    await first.duty.stop();
    const backup = store.createBackup();
    const last = viewedHolder(store, 'd2', clock);
    await refreshView(last);
    await running(last);
    assert.equal(last.duty.heldFence(0), 2);
    last.view.isDisconnected = isLastDisconnected;
    store.restoreBackup(backup);
    const next = viewedHolder(store, 'd3', clock);
    await refreshView(next);
    await running(next);
    await refreshView(next);
    assert.equal(next.duty.isHolder, true);
    return { store, clock, last, next };
  }

  test('is not acted on while the last holder, which is disconnected, may still rely on its lease', async () => {
    const { clock, last, next } = await restoreBackup(true);
    for (; clock.now < TAKEOVER_WAIT_MS; clock.now += 50) {
      assert.equal(next.duty.heldFence(0), null, `acted on at ${clock.now}`);
      if (clock.now >= DUTY_LEASE.lengthMs) assert.equal(last.duty.heldFence(0), null);
      if (clock.now % DUTY_LEASE.renewalMs === 0) await afterRenewal(next);
    }
    assert.ok((next.duty.heldFence(0) ?? 0) > 2);
  });

  test('has a fence greater than all earlier ones, though the store has lost them', async () => {
    const { clock, next } = await restoreBackup(true);
    for (; clock.now < TAKEOVER_WAIT_MS; clock.now += DUTY_LEASE.renewalMs) await afterRenewal(next);
    assert.ok((next.duty.heldFence(0) ?? 0) > 2);
  });

  test('is lost by its holder as soon as any response reports the new era', async () => {
    const { last } = await restoreBackup(false);
    assert.equal(last.duty.isHolder, true);
    await last.view.read('anything');
    assert.equal(last.duty.isHolder, false);
    assert.equal(last.events.at(-1), 'lost');
  });

  test('is acquired only on the basis of a local copy of the current era', async () => {
    const store = new MemoryStore();
    const daemon = viewedHolder(store, 'd1', { now: 0 });
    await refreshView(daemon);
    await running(daemon);
    assert.equal(daemon.duty.isHolder, true);
    store.restoreBackup({ items: new Map(), number: 1 });
    await daemon.view.read('anything');
    await daemon.duty.keysChanged();
    assert.equal(daemon.duty.isHolder, false);
    assert.equal(store.items.has('sorrelladder/duty'), false);
    await refreshView(daemon);
    await waitFor(() => store.items.has('sorrelladder/live/d1'), 'the daemon registers again');
    await refreshView(daemon);
    await waitFor(() => daemon.duty.isHolder, 'the daemon acquires the duty again');
  });

  async function afterRenewal({ view }: ViewedHolder): Promise<void> {
    const { reads } = view;
    await waitFor(() => view.reads > reads, 'the lease is renewed');
    await runPendingCallbacks();
  }
});

async function waitFor(condition: () => boolean, what: string): Promise<void> {
  const deadlineMs = performance.now() + 3000;
  while (!condition()) {
    assert.ok(performance.now() < deadlineMs, `not in time: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
