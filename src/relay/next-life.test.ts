/**
 * Reads at a process that has started again, empty, under the id of the leader: evidence of the lead names an id and a term, and the directory
 * tells of the next life some milliseconds later than connections to it can be opened.
 *
 * Users read versions that had long been replaced (soak reborn 5001: `saw version 0, 2 was acknowledged in time`, and the position 0.0 of
 * such an answer was the floor of reads at replicas for the next second). Cause: a leader that had been announced with an empty log, or of which nothing
 * had been heard, was asked for no position; so its next life, which holds nothing, passed for it. Evidence: `order kind=leader held=0.0`, then
 * `read_at leader=true`, then `read_at leader=false floor=0.0`.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { QUIET_OBSERVER } from '../../test/support/quiet-observer.js';
import { testGroup } from '../../test/support/relay-members.js';
import { ZERO_POSITION, type Position } from '../position/position.js';
import { Catalog, type Route } from '../topology/catalog.js';
import type { MemberGroup } from '../topology/member-group.js';
import type { MemberLink, MemberReply, MemberRequest, MemberStatus } from './member-link.js';
import { ReadRunner } from './read-runner.js';
import type { RelayContext } from './relay-context.js';
import { Transaction } from './transaction.js';

const TERM = 1;
const COMMIT: Position = { term: TERM, index: 9 };
/** Time of a request, in milliseconds: some rounds of it. */
const TIMEOUT_MS = 120;

/** A process that answers at once, with what it holds. */
class FakeProcess {
  readonly asked: MemberRequest[] = [];
  /** Runs before each answer to a statement. */
  beforeAnswer: () => void = () => undefined;

  constructor(
    public position: Position,
    readonly isPrimary: boolean,
  ) {}

  get status(): MemberStatus {
    return {
      isPrimary: this.isPrimary,
      term: this.isPrimary ? TERM : 0,
      received: this.position,
      pausedForTerm: 0,
    };
  }

  get statements(): number {
    return this.asked.filter(({ kind }) => kind === 'statement').length;
  }

  dial(): Promise<MemberLink> {
    let isOpen = true;
    const link = {
      get isOpen(): boolean {
        return isOpen;
      },
      lastReceivedMs: 0,
      send: (request: MemberRequest): Promise<MemberReply> => {
        this.asked.push(request);
        if (request.kind === 'statement') this.beforeAnswer();
        const state = request.kind === 'begin' || request.kind === 'statement' ? 'open' : 'idle';
        return Promise.resolve({
          rows: request.kind === 'status' ? [JSON.stringify(this.status)] : [],
          result: { isComplete: true as const, signature: 's' },
          state: this.asked.some(({ kind }) => kind === 'begin') ? state : ('idle' as const),
          position: this.position,
        });
      },
      close: (): void => void (isOpen = false),
      onClosed: (): void => undefined,
    };
    return Promise.resolve(link);
  }
}

const ROUTE: Route = {
  database: 'stock',
  groupName: 'g',
  consistency: 'primary',
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: TIMEOUT_MS,
  priority: 2,
  maxStalenessMs: 1500,
  isPublic: true,
};

interface Scene {
  readonly group: MemberGroup;
  readonly context: RelayContext;
}

/** A group with evidence of its leader; the leader has said that it holds `held`, or nothing. */
function scene(process: FakeProcess, held: Position | null): Scene {
  const now = (): number => performance.now();
  const group = testGroup({ leader: process }, now);
  group.learnLeader({ memberId: 'leader', term: TERM }, held);
  group.evidence.witness(TERM, 0, now());
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: QUIET_OBSERVER,
    group: () => group,
    now,
    plannedStop: () => null,
    suspect: () => undefined,
    readStatus: ({ rows }) => JSON.parse(rows[0] ?? 'null') as MemberStatus | null,
  };
  return { group, context };
}

function read({ group, context }: Scene): Promise<MemberReply> {
  return new ReadRunner(context, {
    requestId: 'r',
    statement: { kind: 'plain', payload: 'READ r' },
    route: ROUTE,
    group,
    tenantName: 'one',
    values: new Map(),
    sessionFloor: null,
    receivedAtMs: context.now(),
    deadlineMs: context.now() + TIMEOUT_MS,
  }).run();
}

function begin({ group, context }: Scene): Promise<MemberReply> {
  const options = {
    route: ROUTE,
    group,
    isReadOnly: true,
    receivedAtMs: context.now(),
    tenantName: 'one',
    sessionFloor: null,
  };
  return new Transaction(context, options).run({
    requestId: 'r',
    statement: { kind: 'plain', payload: 'READ r' },
    kind: 'read',
    values: new Map(),
    deadlineMs: context.now() + TIMEOUT_MS,
  });
}

for (const held of [null, ZERO_POSITION]) {
  const known = held === null ? 'of which nothing is known' : 'that was announced with an empty log';

  describe(`the empty next life of a leader ${known}`, () => {
    /** Before: served with what the empty process held. */
    test('answers no read', async () => {
      await assert.rejects(read(scene(new FakeProcess(ZERO_POSITION, false), held)));
    });

    test('answers no read of a transaction', async () => {
      const process = new FakeProcess(ZERO_POSITION, false);
      await assert.rejects(begin(scene(process, held)));
      assert.equal(process.statements, 0);
    });

    /** Before: 0.0 was what replicas had to hold. */
    test('gives no floor', async () => {
      const there = scene(new FakeProcess(ZERO_POSITION, false), held);
      await read(there).catch(() => undefined);
      assert.equal(there.group.positions.floorSince(0), null);
    });
  });

  describe(`a leader ${known}`, () => {
    test('is read when it says that it leads, though its log is empty', async () => {
      const process = new FakeProcess(ZERO_POSITION, true);
      const there = scene(process, held);
      assert.ok((await read(there)).result.isComplete);
      assert.ok((await begin(scene(new FakeProcess(ZERO_POSITION, true), held))).result.isComplete);
      assert.deepEqual(there.group.positions.floorSince(0)?.position, ZERO_POSITION);
    });

    test('is read without a further question when it holds something', async () => {
      const process = new FakeProcess(COMMIT, true);
      const there = scene(process, held);
      assert.ok((await read(there)).result.isComplete);
      assert.ok(process.asked.every(({ kind }) => kind !== 'status'));
      assert.deepEqual(there.group.positions.floorSince(0)?.position, COMMIT);
    });

    /** A next life that copies the log of the next leader holds something, but not yet what the former one had acknowledged. */
    test('is not read by an answer that comes when it may have been replaced', async () => {
      const process = new FakeProcess(COMMIT, true);
      const there = scene(process, held);
      process.beforeAnswer = () => there.group.evidence.revoke(TERM, performance.now());
      await assert.rejects(read(there));
      assert.equal(there.group.positions.floorSince(0), null);
    });
  });
}

describe('a position that a leader gave', () => {
  const LEADER = { memberId: 'leader', term: TERM };

  /** An answer of the next life that comes after the next leader was announced was compared with nothing. */
  test('is no floor once another leads', () => {
    const { group } = scene(new FakeProcess(COMMIT, true), COMMIT);
    group.learnLeader({ memberId: 'other', term: TERM + 1 }, null);
    group.recordLed(performance.now(), ZERO_POSITION, LEADER);
    assert.equal(group.positions.floorSince(0), null);
  });
});
