/**
 * Property tests of the modules without I/O, over random sequences of events.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Configuration } from './configuration/configuration.js';
import { ConfigurationHolder } from './configuration/configuration-holder.js';
import { StartupGate } from './configuration/startup-gate.js';
import { CommitEvidence } from './group/commit-evidence.js';
import { StalenessEstimator } from './group/staleness.js';
import { MembershipTable } from './membership/membership-table.js';
import { supersedes, type PeerRecord } from './membership/peer-record.js';
import { rankCandidates } from './ownership/candidate-ranking.js';
import { AdmissionQueue } from './pool/admission-queue.js';
import { comparePositions, hasReached, type Position } from './position/position.js';
import { RetryBudget } from './retry/retry-budget.js';
import { SessionPositions } from './session/session-positions.js';

const PROPERTY_OPTIONS = { seed: 20261202, numRuns: 200 };

const position: fc.Arbitrary<Position> = fc.record({
  term: fc.integer({ min: 1, max: 3 }),
  index: fc.nat(20),
});

function configuration(version: number, identity: string): Configuration {
  return { version, identity, publishedBy: 'o', publishedAt: '', databases: [], policy: '' };
}

test('session positions: a required position is never below an acknowledged write, whatever is evicted or applied', () => {
  const event = fc.oneof(
    fc.record({ kind: fc.constant('write' as const), session: fc.nat(5), position }),
    fc.record({ kind: fc.constant('floor' as const), position }),
    fc.record({ kind: fc.constant('applied' as const), position }),
  );
  fc.assert(
    fc.property(fc.array(event, { maxLength: 40 }), fc.integer({ min: 1, max: 4 }), (events, maxSessions) => {
      const positions = new SessionPositions(maxSessions);
      const written = new Map<string, Position>();
      let applied: Position = { term: 0, index: 0 };
      for (const step of events) {
        if (step.kind === 'floor') positions.raiseFloor(step.position);
        if (step.kind === 'applied') {
          if (comparePositions(step.position, applied) > 0) applied = step.position;
          positions.forgetApplied(applied);
        }
        if (step.kind === 'write') {
          const session = String(step.session);
          positions.recordWrite(session, step.position);
          const known = written.get(session);
          if (known === undefined || comparePositions(step.position, known) > 0)
            written.set(session, step.position);
        }
        for (const [session, last] of written) {
          assert.ok(hasReached(positions.required(session), last), `session ${session}`);
        }
        assert.ok(positions.size <= maxSessions);
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test('configuration holder: the current version never decreases', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 30 })), (versions) => {
      const holder = new ConfigurationHolder();
      let highest = 0;
      for (const version of versions) {
        holder.offer(configuration(version, `id-${version}`));
        highest = Math.max(highest, version);
        assert.equal(holder.version, highest);
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test('configuration holder: another configuration under the same version is a conflict', () => {
  const holder = new ConfigurationHolder();
  assert.equal(holder.offer(configuration(4, 'a')), 'adopted');
  assert.equal(holder.offer(configuration(4, 'a')), 'known');
  assert.equal(holder.offer(configuration(4, 'b')), 'conflict');
  assert.equal(holder.current?.identity, 'a');
});

test('startup gate: an accepted version that a majority knows is never missed', () => {
  const daemonCount = fc.integer({ min: 2, max: 9 });
  fc.assert(
    fc.property(daemonCount, fc.infiniteStream(fc.nat(1000)), (count, randoms) => {
      const majority = Math.floor(count / 2) + 1;
      const versions = Array.from({ length: count }, (_, i) => (i < majority ? 2 : 1));
      const order = versions.map((version, id) => ({ version, id, key: randoms.next().value ?? 0 }));
      order.sort((left, right) => left.key - right.key);
      const gate = new StartupGate(0, 1000);
      for (const { version, id } of order) {
        gate.recordPeer(String(id), version, null);
        const decision = gate.decide(count, 10);
        assert.notEqual(decision.kind, 'adopt');
        if (decision.kind !== 'fetch') continue;
        gate.recordPeer(decision.daemonId, versions[Number(decision.daemonId)] ?? 0, configuration(2, 'v2'));
        const then = gate.decide(count, 10);
        assert.ok(then.kind === 'adopt' && then.configuration.version === 2);
        break;
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test('startup gate: the store alone is trusted only after the peers had time to answer', () => {
  const gate = new StartupGate(0, 1000);
  gate.recordStore(configuration(1, 'old'));
  gate.recordPeer('d2', 2, null);
  assert.deepEqual(gate.decide(5, 999), { kind: 'wait' });
  assert.deepEqual(gate.decide(5, 1000), { kind: 'fetch', daemonId: 'd2' });
  const newer = configuration(2, 'new');
  gate.recordPeer('d2', 2, newer);
  assert.deepEqual(gate.decide(5, 1000), { kind: 'adopt', configuration: newer });
});

test('commit evidence: only a majority queried after the commit, in its term and at its position, confirms it', () => {
  const observation = fc.record({
    memberId: fc.constantFrom('m1', 'm2', 'm3', 'm4', 'm5'),
    term: fc.integer({ min: 4, max: 6 }),
    received: fc.record({ term: fc.integer({ min: 4, max: 5 }), index: fc.integer({ min: 8, max: 12 }) }),
    askedAtMs: fc.integer({ min: 90, max: 110 }),
  });
  fc.assert(
    fc.property(fc.array(observation, { maxLength: 20 }), (observations) => {
      const evidence = new CommitEvidence(5, { term: 5, index: 10 }, 100, 5);
      const good = new Set<string>();
      for (const { memberId, term, received, askedAtMs } of observations) {
        const status = {
          memberId,
          role: 'replica' as const,
          term,
          received,
          applied: received,
          leaving: false,
        };
        evidence.observe({ status, askedAtMs });
        if (askedAtMs >= 100 && term === 5 && received.term === 5 && received.index >= 10) good.add(memberId);
        assert.equal(evidence.state === 'confirmed', good.size >= 3);
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test('staleness: the estimated bound is never below the true age', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(80), { minLength: 1, maxLength: 30 }), fc.nat(200), (gaps, lag) => {
      const estimator = new StalenessEstimator();
      const commits: { readonly atMs: number; readonly index: number }[] = [];
      let nowMs = 0;
      gaps.forEach((gap, i) => {
        nowMs += gap;
        commits.push({ atMs: nowMs, index: i + 1 });
        estimator.record({ term: 1, index: i + 1 }, nowMs);
      });
      const applied = commits.filter(({ atMs }) => atMs <= nowMs - lag).at(-1);
      const bound = estimator.estimate({ term: 1, index: applied?.index ?? 0 }, nowMs);
      const firstMissing = commits.find(({ index }) => index > (applied?.index ?? 0));
      const trueAgeMs = firstMissing === undefined ? 0 : nowMs - firstMissing.atMs;
      assert.ok(bound >= trueAgeMs, `bound ${bound}, true age ${trueAgeMs}`);
    }),
    PROPERTY_OPTIONS,
  );
});

test('admission queue: ordered by priority, then by arrival; never longer than its limit', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 9 }), { maxLength: 40 }),
      fc.integer({ min: 1, max: 10 }),
      (priorities, max) => {
        const queue = new AdmissionQueue<{ priority: number; deadlineMs: number; order: number }>(max);
        const lost: number[] = [];
        priorities.forEach((priority, order) => {
          const item = { priority, deadlineMs: 100, order };
          const admission = queue.offer(item);
          if (admission.kind === 'refused') lost.push(order);
          if (admission.kind === 'displaced') {
            assert.ok(admission.item.priority < priority);
            lost.push(admission.item.order);
          }
          assert.ok(queue.size <= max);
        });
        const kept = priorities
          .map((priority, order) => ({ priority, order }))
          .filter(({ order }) => !lost.includes(order));
        kept.sort((left, right) => right.priority - left.priority || left.order - right.order);
        for (const { order } of kept) assert.equal(queue.take()?.order, order);
        assert.equal(queue.take(), null);
      },
    ),
    PROPERTY_OPTIONS,
  );
});

test('retry budget: retries never exceed the saved budget plus a share of the requests', () => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 300 }), (events) => {
      const budget = new RetryBudget({ retriesPerRequest: 0.1, maxSaved: 5 });
      let requests = 0;
      let retries = 0;
      for (const isRequest of events) {
        if (isRequest) {
          requests += 1;
          budget.recordRequest();
        } else if (budget.tryRetry()) {
          retries += 1;
        }
        assert.ok(retries <= 5 + requests * 0.1 + 1e-9);
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test('candidate ranking: removing a daemon moves only the databases for which it ranked first', () => {
  const daemons = Array.from({ length: 20 }, (_, i) => `d${i}`);
  const without = daemons.filter((id) => id !== 'd7');
  for (let i = 0; i < 200; i += 1) {
    const [first] = rankCandidates(`db${i}`, daemons, 3);
    const [then] = rankCandidates(`db${i}`, without, 3);
    if (first !== 'd7') assert.equal(then, first);
  }
});

function createPeerRecord(daemonId: string, change: Partial<PeerRecord> = {}): PeerRecord {
  return {
    daemonId,
    zone: 'a',
    host: '127.0.0.1',
    port: 1,
    incarnation: 1,
    sequence: 1,
    state: 'alive',
    ownedDatabases: [],
    ...change,
  };
}

const TABLE_OPTIONS = { suspicionTimeoutMs: 100, forgetAfterMs: 1000, maxUpdatesPerMessage: 4 };

test('membership: merging the same records in any order gives the same table', () => {
  const change = fc.record({
    daemonId: fc.constantFrom('b', 'c'),
    incarnation: fc.integer({ min: 1, max: 3 }),
    sequence: fc.integer({ min: 1, max: 4 }),
    state: fc.constantFrom('alive' as const, 'suspect' as const, 'dead' as const),
  });
  fc.assert(
    fc.property(fc.array(change, { maxLength: 12 }), (changes) => {
      const records = changes.map(({ daemonId, ...rest }) => createPeerRecord(daemonId, rest));
      const forwards = new MembershipTable(createPeerRecord('a'), TABLE_OPTIONS);
      const backwards = new MembershipTable(createPeerRecord('a'), TABLE_OPTIONS);
      for (const item of records) forwards.merge(item, 0);
      for (const item of [...records].reverse()) backwards.merge(item, 0);
      for (const id of ['b', 'c']) assert.deepEqual(forwards.find(id), backwards.find(id));
    }),
    PROPERTY_OPTIONS,
  );
});

test('membership: a daemon refutes its own death, and the refutation supersedes it', () => {
  const table = new MembershipTable(createPeerRecord('a'), TABLE_OPTIONS);
  const death = createPeerRecord('a', { state: 'dead' });
  assert.equal(table.merge(death, 0), true);
  assert.ok(supersedes(table.own, death));
});

test('membership: a suspect is declared dead after the timeout, a dead daemon owns nothing, and updates are gossiped a bounded number of times', () => {
  const table = new MembershipTable(createPeerRecord('a'), TABLE_OPTIONS);
  table.merge(createPeerRecord('b', { ownedDatabases: ['quotes'] }), 0);
  assert.equal(table.ownerOf('quotes')?.daemonId, 'b');
  table.suspect('b', 10);
  assert.deepEqual(table.expire(109), []);
  assert.equal(table.expire(110)[0]?.daemonId, 'b');
  assert.equal(table.ownerOf('quotes'), null);
  let rounds = 0;
  while (table.takeNews().length > 0) rounds += 1;
  assert.ok(rounds < 12, `${rounds} rounds`);
});
