/**
 * The wait queue against a reference that sorts an array, and the memory that removed requests leave behind.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import fc from 'fast-check';
import type { LinkDemand } from '../relay/link-queue.js';
import { WaitQueue, type ConnectionUse } from './wait-queue.js';

const SERVICE_MS = 20;
const MAX_WAITING = 12;
const PRIORITY_ADVANTAGE_MS = 100;

interface ReferenceEntry {
  readonly item: number;
  readonly demand: LinkDemand;
  isLate: boolean;
}

interface ReferenceAccount {
  tag: number;
  creditMs: number;
  inUse: number;
}

interface ReferenceUse {
  readonly accountName: string;
  readonly startedAtMs: number;
  readonly estimateMs: number;
}

/** The rules of the queue over an array that is sorted for each question. */
class ReferenceQueue {
  entries: ReferenceEntry[] = [];
  readonly #accounts = new Map<string, ReferenceAccount>();
  #virtualTime = 0;
  #meanUseMs: number | null = null;
  #grants = 0;
  #oldestPassedOver = 0;

  add(item: number, demand: LinkDemand, nowMs: number): number | null {
    this.#classify(nowMs);
    this.#lift(demand.tenantName ?? '');
    this.entries.push({ item, demand, isLate: demand.dueAtMs < nowMs + SERVICE_MS });
    if (this.entries.length <= MAX_WAITING) return null;
    const last = this.#last();
    this.#delete(last);
    return last.item;
  }

  remove(item: number): void {
    const entry = this.entries.find((candidate) => candidate.item === item);
    if (entry !== undefined) this.#delete(entry);
  }

  peekWithoutDial(dialing: readonly string[], nowMs: number): number | undefined {
    this.#classify(nowMs);
    let rest = [...this.entries];
    for (const tenantName of dialing) {
      const covered = this.#nextFor(tenantName, rest);
      rest = rest.filter((entry) => entry !== covered);
    }
    const owed = this.#owed;
    return (owed !== undefined && rest.includes(owed) ? owed : this.#sorted(rest)[0])?.item;
  }

  takeFor(tenantName: string, nowMs: number): number | undefined {
    this.#classify(nowMs);
    const isOldest = this.#grants >= 7;
    const accepted = this.entries.filter((entry) => accepts(entry, tenantName));
    const entry = isOldest ? accepted[0] : this.#nextFor(tenantName, accepted);
    if (entry === undefined) return undefined;
    if (entry === this.entries[0]) this.#oldestPassedOver = 0;
    else if (isOldest) this.#oldestPassedOver += 1;
    this.#grants = isOldest ? 0 : this.#grants + 1;
    this.#delete(entry);
    return entry.item;
  }

  beginUse({ tenantName }: LinkDemand, nowMs: number): ReferenceUse {
    const accountName = tenantName ?? '';
    const estimateMs = this.#meanUseMs ?? SERVICE_MS;
    const account = this.#lift(accountName);
    const first = this.#sorted(this.entries)[0];
    const firstTag = first === undefined ? Infinity : this.#tagOf(first);
    this.#virtualTime = Math.max(this.#virtualTime, Math.min(account.tag, firstTag));
    account.inUse += 1;
    charge(account, estimateMs);
    return { accountName, startedAtMs: nowMs, estimateMs };
  }

  endUse({ accountName, startedAtMs, estimateMs }: ReferenceUse, nowMs: number): void {
    const usedMs = Math.max(0.1, nowMs - startedAtMs);
    this.#meanUseMs ??= usedMs;
    this.#meanUseMs += (usedMs - this.#meanUseMs) / 16;
    const account = this.#accounts.get(accountName);
    assert.ok(account !== undefined);
    if (usedMs >= estimateMs) charge(account, usedMs - estimateMs);
    else account.creditMs += estimateMs - usedMs;
    account.inUse -= 1;
    this.#forgetIdle();
  }

  get #owed(): ReferenceEntry | undefined {
    return this.#oldestPassedOver >= 8 ? this.entries[0] : undefined;
  }

  #nextFor(tenantName: string, entries: readonly ReferenceEntry[]): ReferenceEntry | undefined {
    const accepted = entries.filter((entry) => accepts(entry, tenantName));
    const owed = this.#owed;
    return owed !== undefined && accepted.includes(owed) ? owed : this.#sorted(accepted)[0];
  }

  #sorted(entries: readonly ReferenceEntry[]): ReferenceEntry[] {
    const rankOf = (entry: ReferenceEntry): number =>
      this.#tagOf(entry) + entry.demand.priority * PRIORITY_ADVANTAGE_MS;
    return [...entries].sort(
      (one, other) =>
        Number(one.isLate) - Number(other.isLate) ||
        rankOf(one) - rankOf(other) ||
        one.demand.dueAtMs - other.demand.dueAtMs ||
        one.item - other.item,
    );
  }

  /** The last one when all are served without new arrivals, each at the expected cost. */
  #last(): ReferenceEntry {
    const isLate = this.entries.some((entry) => entry.isLate);
    const entries = this.entries.filter((entry) => entry.isLate === isLate);
    const useMs = this.#meanUseMs ?? SERVICE_MS;
    const accountNames = [...new Set(entries.map(({ demand }) => demand.tenantName ?? ''))];
    const lasts = accountNames.map((accountName) => {
      const own = entries
        .filter(({ demand }) => (demand.tenantName ?? '') === accountName)
        .sort(
          (one, other) =>
            one.demand.priority - other.demand.priority ||
            one.demand.dueAtMs - other.demand.dueAtMs ||
            one.item - other.item,
        );
      const last = own[own.length - 1] as ReferenceEntry;
      const advantage = last.demand.priority * PRIORITY_ADVANTAGE_MS;
      return { accountName, last, rank: this.#tagOf(last) + advantage + (own.length - 1) * useMs };
    });
    return lasts
      .sort((one, other) => one.rank - other.rank || compareNames(one.accountName, other.accountName))
      .at(-1)?.last as ReferenceEntry;
  }

  #classify(nowMs: number): void {
    for (const entry of this.entries) entry.isLate ||= entry.demand.dueAtMs < nowMs + SERVICE_MS;
  }

  #delete(entry: ReferenceEntry): void {
    this.entries = this.entries.filter((other) => other !== entry);
    if (this.entries.length === 0) this.#oldestPassedOver = 0;
    this.#forgetIdle();
  }

  #isWaiting(accountName: string): boolean {
    return this.entries.some(({ demand }) => (demand.tenantName ?? '') === accountName);
  }

  #lift(accountName: string): ReferenceAccount {
    const account = this.#accounts.get(accountName) ?? { tag: 0, creditMs: 0, inUse: 0 };
    this.#accounts.set(accountName, account);
    if (this.#isWaiting(accountName)) return account;
    if (account.inUse === 0 && account.tag <= this.#virtualTime) account.creditMs = 0;
    account.tag = Math.max(account.tag, this.#virtualTime);
    return account;
  }

  #tagOf({ demand }: ReferenceEntry): number {
    return this.#accounts.get(demand.tenantName ?? '')?.tag ?? NaN;
  }

  #forgetIdle(): void {
    const isIdle = ([name, { inUse }]: [string, ReferenceAccount]): boolean =>
      inUse === 0 && !this.#isWaiting(name);
    if (![...this.#accounts].every(isIdle)) return;
    this.#accounts.clear();
    this.#virtualTime = 0;
  }
}

function compareNames(one: string, other: string): number {
  return one < other ? -1 : Number(one > other);
}

function accepts({ demand }: ReferenceEntry, tenantName: string): boolean {
  return demand.tenantName === null || demand.tenantName === tenantName;
}

function charge(account: ReferenceAccount, chargeMs: number): void {
  const paidMs = Math.min(account.creditMs, chargeMs);
  account.creditMs -= paidMs;
  account.tag += chargeMs - paidMs;
}

const TENANTS = ['', 'amber', 'birch', 'cedar'];

test('the queue decides as a reference that sorts an array', () => {
  const step = fc.record({
    kind: fc.constantFrom('add', 'add', 'add', 'remove', 'take', 'take', 'end', 'wait', 'removeWhere'),
    tenant: fc.constantFrom(...TENANTS, null),
    other: fc.constantFrom(...TENANTS),
    priority: fc.integer({ min: 0, max: 2 }),
    which: fc.nat(30),
    ms: fc.nat(200),
  });
  fc.assert(
    fc.property(fc.array(step, { minLength: 60, maxLength: 200, size: 'max' }), (steps) => {
      const queue = new WaitQueue<number>({ maxWaiting: MAX_WAITING });
      const reference = new ReferenceQueue();
      const uses: { use: ConnectionUse; expected: ReferenceUse }[] = [];
      let now = 0;
      for (const [item, { kind, tenant, other, priority, which, ms }] of steps.entries()) {
        const demand = { tenantName: tenant, values: new Map(), isWrite: false, priority, dueAtMs: now + ms };
        switch (kind) {
          case 'add':
            assert.equal(queue.add(item, demand, now, SERVICE_MS), reference.add(item, demand, now));
            break;
          case 'remove':
            assert.equal(
              queue.remove(which),
              reference.entries.some((entry) => entry.item === which),
            );
            reference.remove(which);
            break;
          case 'take': {
            const expectedItem = reference.takeFor(other, now);
            assert.equal(queue.peekFor(other, now, SERVICE_MS)?.item, expectedItem);
            assert.equal(queue.takeFor(other, now, SERVICE_MS), expectedItem);
            if (expectedItem === undefined && which > 5) break;
            const expected = reference.beginUse(demand, now);
            uses.push({ use: queue.beginUse(demand, now, SERVICE_MS), expected });
            break;
          }
          case 'end': {
            const [ended] = uses.splice(which % Math.max(1, uses.length), 1);
            if (ended === undefined) break;
            queue.endUse(ended.use, now);
            reference.endUse(ended.expected, now);
            break;
          }
          case 'wait':
            now += ms / 4;
            break;
          case 'removeWhere': {
            if (which > 3) break;
            const isAffected = (affected: LinkDemand): boolean => affected.priority === priority;
            const removed = reference.entries.filter((entry) => isAffected(entry.demand));
            assert.deepEqual(
              queue.removeWhere(isAffected),
              removed.map((entry) => entry.item),
            );
            for (const entry of removed) reference.remove(entry.item);
          }
        }
        assert.equal(queue.size, reference.entries.length);
        for (const dialing of [[], [other], [other, TENANTS[which % 4] ?? '']])
          assert.equal(
            queue.peekWithoutDial(dialing, now, SERVICE_MS)?.item,
            reference.peekWithoutDial(dialing, now),
          );
        const ahead = queue.countAhead(demand, now, SERVICE_MS);
        assert.ok(Number.isInteger(ahead) && ahead >= 0 && ahead <= queue.size, `${ahead} ahead`);
      }
    }),
    { seed: 7, numRuns: 400 },
  );
});

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Memory in use after a garbage collection, in bytes. */
function heapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

test('cancelled requests leave no memory behind, also while others wait for long', () => {
  // The failure guarded against: a removed request is dropped only when it reaches the top of its heap, which
  // requests that are due earlier may prevent for as long as they wait.
  const queue = new WaitQueue<object>();
  const add = (tenant: number, dueAtMs: number): object => {
    const item = {};
    const tenantName = `tenant-${tenant}`;
    const demand = { tenantName, values: new Map(), isWrite: false, priority: tenant % 3, dueAtMs };
    queue.add(item, demand, 0, SERVICE_MS);
    return item;
  };
  for (let tenant = 0; tenant < 50; tenant += 1) add(tenant, 1000);
  const cycle = (rounds: number): void => {
    for (let round = 0; round < rounds; round += 1) {
      const items = Array.from({ length: 100 }, (_, index) => add(index % 60, 2000 + round));
      for (const item of items) queue.remove(item);
    }
  };
  cycle(100);
  const before = heapBytes();
  cycle(2000);
  const growth = heapBytes() - before;
  assert.equal(queue.size, 50);
  assert.ok(growth < 200_000, `${growth} bytes after 200,000 cancelled requests`);
});

test('an empty queue holds nothing that waited in it', () => {
  const queue = new WaitQueue<object>();
  const references: WeakRef<object>[] = [];
  const addAndTake = (): void => {
    for (let index = 0; index < 100; index += 1) {
      const item = {};
      references.push(new WeakRef(item));
      const demand = { tenantName: '', values: new Map(), isWrite: false, priority: 0, dueAtMs: index * 10 };
      queue.add(item, demand, 0, SERVICE_MS);
      if (index % 2 === 0) queue.remove(item);
    }
    while (queue.takeFor('', 500, SERVICE_MS) !== undefined);
  };
  addAndTake();
  return new Promise<void>((resolve) => setImmediate(resolve)).then(() => {
    collectGarbage();
    assert.equal(references.filter((reference) => reference.deref() !== undefined).length, 0);
    assert.equal(queue.size, 0);
  });
});
