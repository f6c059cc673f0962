/**
 * Randomised model check of the promotion duty on a store that is restored from backups: no two daemons act
 * at the same time, and fences increase from one acting daemon to the next.
 *
 * The decisions are made by the code of the product (history of the duty, fences, records); the store,
 * leases, time and the order of steps are modelled. A write that got no reply may be applied later if its
 * conditions match by revision number, even in another era. The store may delete the record; daemons are
 * disconnected and restarted.
 *
 * Backups from before the duty was first held are not covered.
 *
 * Each mechanism is disabled in turn, and the model then has to find a violation.
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

/** Mechanisms that can be disabled. */
const MECHANISMS = [
  'fences of an era exceed those of earlier eras',
  'a record of an earlier era is ignored',
  'the first observation of an era is followed by a wait for an unknown holder',
  'a new era ends the duty',
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

interface StoredValue {
  readonly number: number;
  readonly value: Buffer;
  readonly leaseId: number;
}

interface Backup {
  readonly number: number;
  readonly nextLease: number;
  readonly duty: StoredValue | null;
  readonly fence: StoredValue | null;
  readonly leases: ReadonlyMap<number, number>;
}

/** A write of the duty record, with conditions on revision numbers. */
interface PendingWrite {
  readonly dutyNumber: number;
  readonly fenceNumber: number;
  readonly leaseId: number;
  readonly record: DutyRecord;
}

class ModelledStore {
  era = 1;
  number = 1;
  nextLease = 100;
  duty: StoredValue | null = null;
  fence: StoredValue | null = null;
  leases = new Map<number, number>();
  readonly backups: Backup[] = [];

  grant(nowMs: number): number {
    this.nextLease += 1;
    this.leases.set(this.nextLease, nowMs + DUTY_LEASE.lengthMs);
    return this.nextLease;
  }

  commit({ dutyNumber, fenceNumber, leaseId, record }: PendingWrite): boolean {
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

  backUp(): void {
    const { number, nextLease, duty, fence, leases } = this;
    if (fence !== null) this.backups.unshift({ number, nextLease, duty, fence, leases: new Map(leases) });
  }

  restore(backup: Backup, areLeasesKept: boolean, areNumbersReused: boolean, nowMs: number): void {
    this.era += 1;
    this.number = backup.number;
    if (areNumbersReused) this.nextLease = backup.nextLease;
    this.duty = backup.duty;
    this.fence = backup.fence;
    this.leases = new Map([...backup.leases.keys()].map((id) => [id, nowMs + DUTY_LEASE.lengthMs]));
    if (!areLeasesKept) this.expire(Number.POSITIVE_INFINITY);
  }

  item(held: StoredValue | null): StoredItem | null {
    if (held === null) return null;
    return { key: 'k', value: held.value, revision: { era: this.era, number: held.number } };
  }
}

class ModelledDaemon {
  life: string;
  isDisconnected = false;
  #restarts = 0;
  #history = new DutyHistory();
  #observation: (DutyObservation & { readonly fenceItem: StoredItem | null }) | null = null;
  #leaseId = 0;
  #fence: number | null = null;
  #untilMs = 0;
  #actsFromMs = 0;

  constructor(
    readonly name: string,
    private readonly store: ModelledStore,
    private readonly disabled: Mechanism | null,
  ) {
    this.life = `${name}-0`;
  }

  /** The fence under which the daemon may act now, or `null`. */
  actingFence(nowMs: number): number | null {
    return nowMs >= this.#actsFromMs && nowMs < this.#untilMs ? this.#fence : null;
  }

  restart(): void {
    this.#restarts += 1;
    this.life = `${this.name}-${this.#restarts}`;
    this.#history = new DutyHistory();
    this.#observation = null;
    this.#loseDuty();
  }

  readStore(nowMs: number): void {
    if (this.isDisconnected) return;
    const { store } = this;
    const item = store.item(store.duty);
    const reading = item === null ? null : readDutyRecord(item.value);
    const stored = reading?.kind === 'read' ? reading.value : null;
    const record =
      this.disabled === 'a record of an earlier era is ignored' && stored !== null
        ? { ...stored, era: store.era }
        : stored;
    const fenceItem = store.item(store.fence);
    const isLater = this.#observation !== null && this.#observation.era < store.era;
    this.#observation = {
      era: store.era,
      record,
      revision: item?.revision ?? NO_REVISION,
      fence: fenceItem === null ? 0 : fenceOf(fenceItem),
      fenceItem,
    };
    if (isLater && this.disabled !== 'a new era ends the duty') this.#loseDuty();
    this.#recordObservation(this.#observation, nowMs);
    const held = currentRecord(this.#observation);
    if (this.#fence !== null && !this.#isOurs(held)) this.#loseDuty();
  }

  acquire(nowMs: number, pending: PendingWrite[] | null): void {
    const observation = this.#observation;
    if (
      observation === null ||
      this.isDisconnected ||
      this.#fence !== null ||
      observation.era !== this.store.era
    )
      return;
    const held = currentRecord(observation);
    if (held?.state === 'held' && held.holder !== this.name) return;
    const freeFromMs = this.#history.freeFromMs(held?.state === 'held' ? held.life : this.life);
    const leaseId = this.store.grant(nowMs);
    const era = this.disabled === 'fences of an era exceed those of earlier eras' ? 0 : observation.era;
    const fence = nextFence(observation.fenceItem, observation.record, era);
    const change: PendingWrite = {
      dutyNumber: numberOf(observation.revision),
      fenceNumber: numberOf(observation.fenceItem?.revision ?? NO_REVISION),
      leaseId,
      record: {
        state: 'held',
        holder: this.name,
        life: this.life,
        fence,
        leaseId,
        actsInMs: Math.max(0, Math.ceil(freeFromMs - nowMs)),
        era: observation.era,
      },
    };
    if (pending !== null) return void pending.push(change);
    if (!this.store.commit(change)) return;
    this.#leaseId = leaseId;
    this.#fence = fence;
    this.#actsFromMs = Math.max(nowMs, freeFromMs);
    this.#untilMs = nowMs + TRUSTED_MS;
  }

  renew(nowMs: number): void {
    if (this.isDisconnected || this.#fence === null || nowMs >= this.#untilMs) return;
    const isOfEra = this.#observation?.era === this.store.era;
    if (!isOfEra && this.disabled !== 'a new era ends the duty') return this.#loseDuty();
    const reading = this.store.duty === null ? null : readDutyRecord(this.store.duty.value);
    const record = reading?.kind === 'read' ? reading.value : null;
    if (!this.store.leases.has(this.#leaseId) || !this.#isOurs(record)) return this.#loseDuty();
    this.store.leases.set(this.#leaseId, nowMs + DUTY_LEASE.lengthMs);
    this.#untilMs = nowMs + TRUSTED_MS;
  }

  release(nowMs: number): void {
    const fence = this.#fence;
    const actsInMs = Math.max(0, this.#actsFromMs - nowMs);
    this.#loseDuty();
    const { duty, era } = this.store;
    if (fence === null || this.isDisconnected || duty === null || this.#observation?.era !== era) return;
    const reading = readDutyRecord(duty.value);
    if (reading.kind !== 'read' || reading.value.state !== 'held' || reading.value.life !== this.life) return;
    this.store.number += 1;
    this.store.duty = {
      number: this.store.number,
      value: formatDutyRecord({ state: 'released', fence, actsInMs, era }),
      leaseId: 0,
    };
  }

  #recordObservation(observation: DutyObservation, nowMs: number): void {
    this.#history.observe(observation, nowMs);
    if (this.disabled !== 'the first observation of an era is followed by a wait for an unknown holder')
      return;
    // An additional released record ends the wait, as after a regular release.
    if (currentRecord(observation) !== null) return;
    const revision: Revision = { era: observation.era, number: -1 };
    this.#history.observe(
      {
        ...observation,
        revision,
        record: { state: 'released', fence: 0, actsInMs: 0, era: observation.era },
      },
      nowMs,
    );
  }

  #isOurs(record: DutyRecord | null): boolean {
    return record?.state === 'held' && record.life === this.life && record.leaseId === this.#leaseId;
  }

  #loseDuty(): void {
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

class Simulation {
  readonly #store = new ModelledStore();
  readonly #daemons: readonly ModelledDaemon[];
  readonly #pending: PendingWrite[] = [];
  #nowMs = 10_000;
  #highestFence = 0;
  readonly #processByFence = new Map<number, string>();

  constructor(disabled: Mechanism | null) {
    this.#daemons = Array.from(
      { length: DAEMONS },
      (_, index) => new ModelledDaemon(`d${index}`, this.#store, disabled),
    );
    const [first] = this.#daemons;
    first?.readStore(this.#nowMs);
    first?.acquire(this.#nowMs, null);
  }

  run(steps: readonly Step[]): void {
    for (const next of steps) {
      this.#applyStep(next);
      this.#checkInvariants();
    }
  }

  #applyStep(next: Step): void {
    const store = this.#store;
    switch (next.kind) {
      case 'pass':
        this.#nowMs += next.ms;
        return store.expire(this.#nowMs);
      case 'copy':
        return store.backUp();
      case 'remove':
        return store.remove();
      case 'late': {
        const change = this.#pending.shift();
        if (change !== undefined) store.commit(change);
        return;
      }
      case 'return': {
        const from = store.backups[next.age];
        if (from !== undefined) store.restore(from, next.areLeasesKept, next.areNumbersReused, this.#nowMs);
        return;
      }
      default: {
        const actor = this.#daemons[next.daemon];
        if (actor !== undefined) this.#applyDaemonStep(actor, next.kind);
      }
    }
  }

  #applyDaemonStep(actor: ModelledDaemon, kind: Extract<Step, { daemon: number }>['kind']): void {
    switch (kind) {
      case 'look':
        return actor.readStore(this.#nowMs);
      case 'acquire':
        return actor.acquire(this.#nowMs, null);
      case 'acquire_unanswered':
        return actor.acquire(this.#nowMs, this.#pending);
      case 'renew':
        return actor.renew(this.#nowMs);
      case 'release':
        return actor.release(this.#nowMs);
      case 'cut':
        actor.isDisconnected = true;
        return;
      case 'heal':
        actor.isDisconnected = false;
        return;
      case 'restart':
        return actor.restart();
    }
  }

  #checkInvariants(): void {
    const acting = this.#daemons.flatMap((one) => {
      const fence = one.actingFence(this.#nowMs);
      return fence === null ? [] : [{ fence, life: one.life }];
    });
    assert.ok(acting.length <= 1, `${acting.map(({ life }) => life).join(' and ')} act at a time`);
    for (const { fence, life } of acting) {
      assert.equal(this.#processByFence.get(fence) ?? life, life, `fence ${fence} of two holders`);
      assert.ok(fence >= this.#highestFence, `fence ${fence} after ${this.#highestFence}`);
      this.#processByFence.set(fence, life);
      this.#highestFence = fence;
    }
  }
}

function checkRandomRuns(disabled: Mechanism | null, runs: number): void {
  const steps = fc.array(step, { minLength: 10, maxLength: STEPS, size: 'max' });
  fc.assert(
    fc.property(steps, (order) => new Simulation(disabled).run(order)),
    { numRuns: runs, seed: SEED },
  );
}

describe('the promotion duty on a store that is restored from backups', () => {
  test('is acted on by one at a time, under fences that rise', () => checkRandomRuns(null, RUNS));

  for (const mechanism of MECHANISMS)
    test(`is violated without: ${mechanism}`, () => {
      assert.throws(() => checkRandomRuns(mechanism, RUNS), /act at a time|of two holders|after/);
    });
});
