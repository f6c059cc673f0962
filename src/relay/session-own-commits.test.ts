/**
 * A session's own commits after its route, its group or the consistency of its route has changed: guards against
 * a replica that lacks such a commit and serves a read of the session.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { NOT_ISOLATED } from '../../test/support/not-isolated.js';
import { createTestGroup } from '../../test/support/relay-members.js';
import { comparePositions, type Position } from '../position/position.js';
import { NO_TENANTS } from '../tenancy/tenant-registry.js';
import { Catalog, type Consistency } from '../topology/catalog.js';
import { MemberGroup } from '../topology/member-group.js';
import type { MemberLink, MemberReply, MemberRequest, MemberResult, MemberStatus } from './member-link.js';
import type { RelayContext } from './relay-context.js';
import { MAX_GROUPS } from './session-commits.js';
import { Session } from './session.js';
import type { Statement } from './statement.js';

const TERM = 1;
const DATABASE = 'stock';
const MAX_STALENESS_MS = 2500;
const COMPLETE: MemberResult = { isComplete: true, signature: 's' };
const BEHIND: MemberResult = { isComplete: false, code: 'behind', text: '' };

/**
 * A member that answers at once: statements with the index of its log, which a write outside a transaction or a
 * commit advances.
 */
class FakeMember {
  /** False if its answers tell no position. */
  tellsPosition = true;
  /** Term that it leads or follows. */
  term = TERM;

  constructor(
    public index: number,
    private readonly isPrimary: boolean,
  ) {}

  get #position(): Position {
    return { term: TERM, index: this.index };
  }

  get #status(): MemberStatus {
    return { isPrimary: this.isPrimary, term: this.term, received: this.#position, pausedForTerm: 0 };
  }

  dial(): Promise<MemberLink> {
    let isOpen = true;
    let state: MemberReply['state'] = 'idle';
    const link = {
      get isOpen(): boolean {
        return isOpen;
      },
      openedAt: this.#position,
      lastReceivedMs: 0,
      send: (request: MemberRequest): Promise<MemberReply> => {
        const after = 'after' in request ? request.after : null;
        const isBehind = after !== null && comparePositions(after, this.#position) > 0;
        if (!isBehind) state = this.#run(request, state);
        const result = isBehind ? BEHIND : COMPLETE;
        const position = this.tellsPosition ? this.#position : null;
        const rows = [request.kind === 'status' ? JSON.stringify(this.#status) : String(this.index)];
        return Promise.resolve({ rows, result, state, position });
      },
      close: (): void => void (isOpen = false),
      onClosed: (): void => undefined,
    };
    return Promise.resolve(link);
  }

  #run(request: MemberRequest, state: MemberReply['state']): MemberReply['state'] {
    if (request.kind === 'begin') return 'open';
    if (request.kind === 'rollback') return 'idle';
    if (request.kind !== 'statement') return state;
    const isCommit = request.payload === 'COMMIT';
    if (isCommit || (request.payload.startsWith('WRITE') && state === 'idle')) this.index += 1;
    return isCommit ? 'idle' : state;
  }
}

/** A group of a leader and a replica that does not receive the log. */
class FakeGroup {
  readonly leader: FakeMember;
  readonly replica: FakeMember;
  readonly group: MemberGroup;

  constructor(
    readonly name: string,
    private readonly now: () => number,
    index = 5,
  ) {
    this.leader = new FakeMember(index, true);
    this.replica = new FakeMember(index, false);
    this.group = new MemberGroup(name);
    const { members } = createTestGroup({ leader: this.leader, replica: this.replica }, now);
    for (const [memberId, member] of members) this.group.members.set(memberId, member);
    this.group.evidence.observeLeader({ memberId: 'leader', term: TERM });
    this.observeLeader();
  }

  /** Queries the leader: its evidence, and its position as a floor of reads. */
  observeLeader(): void {
    this.group.evidence.recordWitness(TERM, 0, this.now());
    this.group.recordLeaderPosition(this.now(), { term: TERM, index: this.leader.index });
  }

  /** The replica receives the whole log. */
  catchUp(): void {
    this.replica.index = this.leader.index;
  }
}

/** One session, its groups, and a clock that can be advanced. */
class Scene {
  readonly #catalog = new Catalog();
  readonly #groups = new Map<string, FakeGroup>();
  readonly #session: Session;
  #version = 0;
  #requestId = 0;
  #offsetMs = 0;

  constructor() {
    const context: RelayContext = {
      catalog: this.#catalog,
      configurationLease: ALWAYS_PROVEN,
      quotas: NO_QUOTAS,
      zone: 'a',
      observer: NOOP_OBSERVER,
      group: (name) => this.#groups.get(name)?.group ?? null,
      now: this.now,
      shutdownSchedule: () => null,
      isolation: NOT_ISOLATED,
      suspect: () => undefined,
      readStatus: ({ rows }) => JSON.parse(rows[0] ?? 'null') as MemberStatus | null,
    };
    this.#session = new Session(context, DATABASE, null);
  }

  readonly now = (): number => performance.now() + this.#offsetMs;

  advance(ms: number): void {
    this.#offsetMs += ms;
  }

  /** Adds a group, or replaces the one of that name as when it is removed from the configuration and added again. */
  addGroup(name: string, index?: number): FakeGroup {
    const added = new FakeGroup(name, this.now, index);
    this.#groups.set(name, added);
    return added;
  }

  /** Changes the route of the database; `null` removes it. */
  route(groupName: string | null, consistency: Consistency = 'read_your_writes'): void {
    this.#version += 1;
    const route = groupName === null ? null : createRoute(groupName, consistency);
    this.#catalog.offer({
      version: this.#version,
      routes: new Map(route === null ? [] : [[DATABASE, route]]),
      groups: new Map(),
      tenants: NO_TENANTS,
      transactionIdleMs: 10_000,
      maxMessageBytes: 1_000_000,
    });
  }

  /** Runs a statement; returns the index of the log it ran on, or the message of its refusal. */
  async ask(statement: Statement): Promise<string> {
    this.#requestId += 1;
    const requestId = String(this.#requestId);
    const { result } = await this.#session.handle({ requestId, statement, receivedAtMs: this.now() });
    return result.isComplete ? result.rows.join() : result.refusal.message;
  }

  read(): Promise<string> {
    return this.ask({ kind: 'read', payload: 'READ x' });
  }

  write(): Promise<string> {
    return this.ask({ kind: 'write', payload: 'WRITE x 1' });
  }
}

function createRoute(groupName: string, consistency: Consistency) {
  return {
    database: DATABASE,
    groupName,
    consistency,
    timeoutMs: 500,
    targetLatencyMs: 500,
    priority: 2,
    maxStalenessMs: MAX_STALENESS_MS,
    isPublic: true,
  };
}

/** Reads several times, since the choice of the member depends on earlier answers. */
async function assertReads(scene: Scene, expected: string): Promise<void> {
  for (let count = 0; count < 6; count += 1) assert.equal(await scene.read(), expected);
}

describe('a session reads its own commit', () => {
  for (const between of ['nothing', 'read', 'write'] as const)
    test(`after its route has moved to another group and back (there: ${between})`, async () => {
      const scene = new Scene();
      scene.addGroup('a');
      scene.addGroup('b');
      scene.route('a');
      assert.equal(await scene.write(), '6');
      scene.route('b');
      if (between !== 'nothing') await scene[between]();
      scene.route('a');
      await assertReads(scene, '6');
    });

  test('after its route has moved back, when both commits ended transactions', async () => {
    const scene = new Scene();
    for (const name of ['a', 'b']) {
      scene.addGroup(name);
      scene.route(name);
      await scene.ask({ kind: 'begin', isReadOnly: false });
      await scene.write();
      await scene.ask({ kind: 'commit', payload: 'COMMIT' });
    }
    scene.route('a');
    await scene.ask({ kind: 'begin', isReadOnly: true });
    assert.equal(await scene.read(), '6');
  });

  test('when its route has moved back while a transaction was open', async () => {
    const scene = new Scene();
    scene.addGroup('a');
    scene.addGroup('b');
    scene.route('a');
    assert.equal(await scene.write(), '6');
    scene.route('b');
    await scene.ask({ kind: 'begin', isReadOnly: false });
    await scene.write();
    scene.route('a');
    await scene.ask({ kind: 'commit', payload: 'COMMIT' });
    await assertReads(scene, '6');
  });

  test('with a prepared statement, after its route has moved to another group and back', async () => {
    const scene = new Scene();
    scene.addGroup('a');
    scene.addGroup('b');
    scene.route('a');
    await scene.ask({ kind: 'prepare', name: 'p', prepared: { isWrite: false, shape: 'q' } });
    assert.equal(await scene.write(), '6');
    scene.route('b');
    await scene.write();
    scene.route('a');
    assert.equal(await scene.ask({ kind: 'execute', name: 'p', operands: 'x' }), '6');
  });

  test('after its route has been at more groups than it remembers', async () => {
    const scene = new Scene();
    const first = scene.addGroup('a');
    scene.route('a');
    assert.equal(await scene.write(), '6');
    for (let count = 0; count < MAX_GROUPS; count += 1) {
      scene.addGroup(`b${count}`);
      scene.route(`b${count}`);
      await scene.write();
    }
    scene.route('a');
    await assertReads(scene, '6');
    scene.advance(100);
    first.observeLeader();
    await assertReads(scene, '6');
  });

  test('after its route was removed and added again', async () => {
    const scene = new Scene();
    scene.addGroup('a');
    scene.route('a');
    assert.equal(await scene.write(), '6');
    scene.route(null);
    await scene.read();
    scene.route('a');
    await assertReads(scene, '6');
  });

  test('that was made while its route had another consistency', async () => {
    const scene = new Scene();
    scene.addGroup('a');
    scene.route('a', 'bounded_staleness');
    assert.equal(await scene.write(), '6');
    scene.route('a');
    await assertReads(scene, '6');
    scene.route('a', 'primary');
    assert.equal(await scene.write(), '7');
    scene.route('a');
    await assertReads(scene, '7');
  });

  test('whose position the member did not tell', async () => {
    const scene = new Scene();
    const a = scene.addGroup('a');
    scene.route('a');
    a.leader.tellsPosition = false;
    assert.equal(await scene.write(), '6');
    a.leader.tellsPosition = true;
    await assertReads(scene, '6');
  });

  test('when its group was removed and added again with the same log', async () => {
    const scene = new Scene();
    scene.addGroup('a');
    scene.route('a');
    assert.equal(await scene.write(), '6');
    const again = scene.addGroup('a', 6);
    again.replica.index = 5;
    await assertReads(scene, '6');
  });
});

describe('a replica that holds the commits of a session serves its reads', () => {
  test('after its route has moved to another group and back', async () => {
    const scene = new Scene();
    const a = scene.addGroup('a');
    scene.addGroup('b');
    scene.route('a');
    await scene.write();
    scene.route('b');
    await scene.write();
    scene.route('a');
    a.catchUp();
    a.leader.index = 100;
    assert.equal(await scene.read(), '6');
  });

  test('when its group was removed and added again with another log', async () => {
    const scene = new Scene();
    scene.addGroup('a', 50);
    scene.route('a');
    assert.equal(await scene.write(), '51');
    scene.advance(100);
    const again = scene.addGroup('a', 3);
    again.leader.index = 4;
    assert.equal(await scene.read(), '3');
  });
});

test('a session whose commit was rolled back by a promotion is served by the leader', async () => {
  const scene = new Scene();
  const { group, leader, replica } = scene.addGroup('a');
  scene.route('a');
  assert.equal(await scene.write(), '6');
  leader.index = 5;
  leader.term = TERM + 1;
  replica.index = 4;
  group.recordLeader({ memberId: 'leader', term: TERM + 1 }, { term: TERM, index: 5 });
  group.evidence.recordWitness(TERM + 1, 0, scene.now());
  await assertReads(scene, '5');
});
