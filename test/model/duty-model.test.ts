/**
 * Model check of the promotion duty on a store that comes back from copies, in random orders of steps: no two daemons act at a time,
 * and fences rise from one that acts to the next.
 *
 * What is decided is the product's own (history of the duty, fences, what a record says); the store, the leases, time and the order of
 * steps are the model's. A change that got no answer may be made later, if its conditions hold by their numbers, also in another era;
 * the store may take the record away; daemons are cut off, and start again.
 *
 * Left out: a copy of before the duty was ever held; see the findings.
 *
 * Each mechanism is taken out in turn: the model then finds a violation.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import {
  DUTY_LEASE,
  DutyHistory,
  formatDutyRecord,
  nextFence,
  currentRecord,
  readDutyRecord,
  readFence,
  type DutyRecord,
  type DutyObservation,
} from '../../src/coordination/duty-record.js';
import type { StoredItem } from '../../src/coordination/coordination-store.js';
import { isSameRevision, NO_REVISION, type Revision } from '../../src/coordination/revision.js';

const RUNS = Number(process.env['DUTY_RUNS'] ?? 30_000);
const SEED = Number(process.env['DUTY_SEED'] ?? 20_261_203);
const STEPS = 60;
const DAEMONS = 3;
const TRUSTED_MS = DUTY_LEASE.lengthMs - DUTY_LEASE.safetyMs;

/** What can be taken out. */
const MECHANISMS = [
  'fences start anew in each era',
  'a record of an earlier era is none',
  'who sees an era first waits for a holder that it cannot see',
  'a rise of the era ends the duty',
] as const;
type Mechanism = (typeof MECHANISMS)[number];

type Step =
  | { readonly kind: 'pass'; readonly ms: number }
  | {
      readonly kind:
        'look' | 'acquire' | 'acquire_unanswered' | 'renew' | 'release' | 'cut' | 'heal' | 'restart';
      readonly daemon: number;
    }
  | { readonly kind: 'copy' | 'remove' | 'late' }
  | {
      readonly kind: 'return';
      readonly age: number;
      readonly areLeasesKept: boolean;
      readonly areNumbersReused: boolean;
    };

const daemon = fc.nat(DAEMONS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 20, max: 700 }) }),
  },
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'look' as const,
        'look' as const,
        'acquire' as const,
        'acquire' as const,
        'renew' as const,
      ),
      daemon,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'acquire_unanswered' as const,
        'release' as const,
        'cut' as const,
        'heal' as const,
        'restart' as const,
      ),
      daemon,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constantFrom('copy' as const, 'remove' as const, 'late' as const) }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('return' as const),
      age: fc.nat(2),
      areLeasesKept: fc.boolean(),
      areNumbersReused: fc.boolean(),
    }),
  },
);

interface Held {
  readonly number: number;
  readonly value: Buffer;
  readonly leaseId: number;
}

interface Contents {
  readonly number: number;
  readonly nextLease: number;
  readonly duty: Held | null;
  readonly fence: Held | null;
  readonly leases: ReadonlyMap<number, number>;
}

/** A change of the duty, with conditions by their numbers. */
interface Change {
  readonly dutyNumber: number;
  readonly fenceNumber: number;
  readonly leaseId: number;
  readonly record: DutyRecord;
}

class ModelledStore {
  era = 1;
  number = 1;
  nextLease = 100;
  duty: Held | null = null;
  fence: Held | null = null;
  leases = new Map<number, number>();
  readonly copies: Contents[] = [];

  grant(nowMs: number): number {
    this.nextLease += 1;
    this.leases.set(this.nextLease, nowMs + DUTY_LEASE.lengthMs);
    return this.nextLease;
  }

  apply({ dutyNumber, fenceNumber, leaseId, record }: Change): boolean {
    const isMet = (this.duty?.number ?? 0) === dutyNumber && (this.fence?.number ?? 0) === fenceNumber;
    if (!isMet || (leaseId !== 0 && !this.leases.has(leaseId))) return false;
    this.number += 1;
    this.duty = { number: this.number, value: formatDutyRecord(record), leaseId };
    if (record.state === 'held')
      this.fence = { number: this.number, value: Buffer.from(String(record.fence)), leaseId: 0 };
    return true;
  }

  remove(): void {
    if (this.duty !== null) this.number += 1;
    this.duty = null;
  }

  expire(nowMs: number): void {
    for (const [id, untilMs] of this.leases) {
      if (nowMs < untilMs) continue;
      this.leases.delete(id);
      if (this.duty?.leaseId === id) this.remove();
    }
  }

  copy(): void {
    const { number, nextLease, duty, fence, leases } = this;
    if (fence !== null) this.copies.unshift({ number, nextLease, duty, fence, leases: new Map(leases) });
  }

  comeBack(from: Contents, areLeasesKept: boolean, areNumbersReused: boolean, nowMs: number): void {
    this.era += 1;
    this.number = from.number;
    if (areNumbersReused) this.nextLease = from.nextLease;
    this.duty = from.duty;
    this.fence = from.fence;
    this.leases = new Map([...from.leases.keys()].map((id) => [id, nowMs + DUTY_LEASE.lengthMs]));
    if (!areLeasesKept) this.expire(Number.POSITIVE_INFINITY);
  }

  item(held: Held | null): StoredItem | null {
    if (held === null) return null;
    return { key: 'k', value: held.value, revision: { era: this.era, number: held.number } };
  }
}

class ModelledDaemon {
  life: string;
  isCut = false;
  #lives = 0;
  #history = new DutyHistory();
  #sight: (DutyObservation & { readonly fenceItem: StoredItem | null }) | null = null;
  #leaseId = 0;
  #fence: number | null = null;
  #untilMs = 0;
  #actsFromMs = 0;

  constructor(
    readonly name: string,
    private readonly store: ModelledStore,
    private readonly without: Mechanism | null,
  ) {
    this.life = `${name}-0`;
  }

  /** The fence under which it acts now, or `null`. */
  acting(nowMs: number): number | null {
    return nowMs >= this.#actsFromMs && nowMs < this.#untilMs ? this.#fence : null;
  }

  restart(): void {
    this.#lives += 1;
    this.life = `${this.name}-${this.#lives}`;
    this.#history = new DutyHistory();
    this.#sight = null;
    this.#lose();
  }

  look(nowMs: number): void {
    if (this.isCut) return;
    const { store } = this;
    const item = store.item(store.duty);
    const reading = item === null ? null : readDutyRecord(item.value);
    const told = reading?.kind === 'read' ? reading.value : null;
    const record =
      this.without === 'a record of an earlier era is none' && told !== null
        ? { ...told, era: store.era }
        : told;
    const fenceItem = store.item(store.fence);
    const isLater = this.#sight !== null && this.#sight.era < store.era;
    this.#sight = {
      era: store.era,
      record,
      revision: item?.revision ?? NO_REVISION,
      fence: fenceItem === null ? 0 : fenceOf(fenceItem),
      fenceItem,
    };
    if (isLater && this.without !== 'a rise of the era ends the duty') this.#lose();
    this.#observe(this.#sight, nowMs);
    const held = currentRecord(this.#sight);
    if (this.#fence !== null && !this.#isOurs(held)) this.#lose();
  }

  acquire(nowMs: number, pending: Change[] | null): void {
    const sight = this.#sight;
    if (sight === null || this.isCut || this.#fence !== null || sight.era !== this.store.era) return;
    const held = currentRecord(sight);
    if (held?.state === 'held' && held.holder !== this.name) return;
    const freeFromMs = this.#history.freeFromMs(held?.state === 'held' ? held.life : this.life);
    const leaseId = this.store.grant(nowMs);
    const era = this.without === 'fences start anew in each era' ? 0 : sight.era;
    const fence = nextFence(sight.fenceItem, sight.record, era);
    const change: Change = {
      dutyNumber: numberOf(sight.revision),
      fenceNumber: numberOf(sight.fenceItem?.revision ?? NO_REVISION),
      leaseId,
      record: {
        state: 'held',
        holder: this.name,
        life: this.life,
        fence,
        leaseId,
        actsInMs: Math.max(0, Math.ceil(freeFromMs - nowMs)),
        era: sight.era,
      },
    };
    if (pending !== null) return void pending.push(change);
    if (!this.store.apply(change)) return;
    this.#leaseId = leaseId;
    this.#fence = fence;
    this.#actsFromMs = Math.max(nowMs, freeFromMs);
    this.#untilMs = nowMs + TRUSTED_MS;
  }

  renew(nowMs: number): void {
    if (this.isCut || this.#fence === null || nowMs >= this.#untilMs) return;
    const isOfEra = this.#sight?.era === this.store.era;
    if (!isOfEra && this.without !== 'a rise of the era ends the duty') return this.#lose();
    const reading = this.store.duty === null ? null : readDutyRecord(this.store.duty.value);
    const record = reading?.kind === 'read' ? reading.value : null;
    if (!this.store.leases.has(this.#leaseId) || !this.#isOurs(record)) return this.#lose();
    this.store.leases.set(this.#leaseId, nowMs + DUTY_LEASE.lengthMs);
    this.#untilMs = nowMs + TRUSTED_MS;
  }

  release(nowMs: number): void {
    const fence = this.#fence;
    const actsInMs = Math.max(0, this.#actsFromMs - nowMs);
    this.#lose();
    const { duty, era } = this.store;
    if (fence === null || this.isCut || duty === null || this.#sight?.era !== era) return;
    const reading = readDutyRecord(duty.value);
    if (reading.kind !== 'read' || reading.value.state !== 'held' || reading.value.life !== this.life) return;
    this.store.number += 1;
    this.store.duty = {
      number: this.store.number,
      value: formatDutyRecord({ state: 'released', fence, actsInMs, era }),
      leaseId: 0,
    };
  }

  #observe(sight: DutyObservation, nowMs: number): void {
    this.#history.observe(sight, nowMs);
    if (this.without !== 'who sees an era first waits for a holder that it cannot see') return;
    // As a record that had been released: it is not waited for.
    if (currentRecord(sight) !== null) return;
    const revision: Revision = { era: sight.era, number: -1 };
    this.#history.observe(
      { ...sight, revision, record: { state: 'released', fence: 0, actsInMs: 0, era: sight.era } },
      nowMs,
    );
  }

  #isOurs(record: DutyRecord | null): boolean {
    return record?.state === 'held' && record.life === this.life && record.leaseId === this.#leaseId;
  }

  #lose(): void {
    this.#fence = null;
    this.#untilMs = 0;
  }
}

function fenceOf({ value }: StoredItem): number | null {
  const reading = readFence(value);
  return reading.kind === 'read' ? reading.value : null;
}

function numberOf(revision: Revision): number {
  return isSameRevision(revision, NO_REVISION) ? 0 : revision.number;
}

class Play {
  readonly #store = new ModelledStore();
  readonly #daemons: readonly ModelledDaemon[];
  readonly #pending: Change[] = [];
  #nowMs = 10_000;
  #highest = 0;
  readonly #lifeOf = new Map<number, string>();

  constructor(without: Mechanism | null) {
    this.#daemons = Array.from(
      { length: DAEMONS },
      (_, index) => new ModelledDaemon(`d${index}`, this.#store, without),
    );
    const [first] = this.#daemons;
    first?.look(this.#nowMs);
    first?.acquire(this.#nowMs, null);
  }

  run(steps: readonly Step[]): void {
    for (const next of steps) {
      this.#take(next);
      this.#check();
    }
  }

  #take(next: Step): void {
    const store = this.#store;
    switch (next.kind) {
      case 'pass':
        this.#nowMs += next.ms;
        return store.expire(this.#nowMs);
      case 'copy':
        return store.copy();
      case 'remove':
        return store.remove();
      case 'late': {
        const change = this.#pending.shift();
        if (change !== undefined) store.apply(change);
        return;
      }
      case 'return': {
        const from = store.copies[next.age];
        if (from !== undefined) store.comeBack(from, next.areLeasesKept, next.areNumbersReused, this.#nowMs);
        return;
      }
      default: {
        const actor = this.#daemons[next.daemon];
        if (actor !== undefined) this.#act(actor, next.kind);
      }
    }
  }

  #act(actor: ModelledDaemon, kind: Extract<Step, { daemon: number }>['kind']): void {
    switch (kind) {
      case 'look':
        return actor.look(this.#nowMs);
      case 'acquire':
        return actor.acquire(this.#nowMs, null);
      case 'acquire_unanswered':
        return actor.acquire(this.#nowMs, this.#pending);
      case 'renew':
        return actor.renew(this.#nowMs);
      case 'release':
        return actor.release(this.#nowMs);
      case 'cut':
        actor.isCut = true;
        return;
      case 'heal':
        actor.isCut = false;
        return;
      case 'restart':
        return actor.restart();
    }
  }

  #check(): void {
    const acting = this.#daemons.flatMap((one) => {
      const fence = one.acting(this.#nowMs);
      return fence === null ? [] : [{ fence, life: one.life }];
    });
    assert.ok(acting.length <= 1, `${acting.map(({ life }) => life).join(' and ')} act at a time`);
    for (const { fence, life } of acting) {
      assert.equal(this.#lifeOf.get(fence) ?? life, life, `fence ${fence} of two holders`);
      assert.ok(fence >= this.#highest, `fence ${fence} after ${this.#highest}`);
      this.#lifeOf.set(fence, life);
      this.#highest = fence;
    }
  }
}

function check(without: Mechanism | null, runs: number): void {
  const steps = fc.array(step, { minLength: 10, maxLength: STEPS, size: 'max' });
  fc.assert(
    fc.property(steps, (order) => new Play(without).run(order)),
    { numRuns: runs, seed: SEED },
  );
}

describe('the duty on a store that comes back from copies', () => {
  test('is acted on by one at a time, under fences that rise', () => check(null, RUNS));

  for (const mechanism of MECHANISMS)
    test(`is not, without this: ${mechanism}`, () => {
      assert.throws(() => check(mechanism, RUNS), /act at a time|of two holders|after/);
    });
});
