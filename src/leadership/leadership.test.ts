/**
 * Leadership evidence, log positions, the choice of a successor, and suspicions.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { comparePositions, ZERO_POSITION, type Position } from '../position/position.js';
import { joinAcknowledged, type Acknowledged } from './acknowledged.js';
import { chooseSuccessor } from './choose-successor.js';
import { LeaderSuspicions } from './leader-suspicions.js';
import { EVIDENCE_VALIDITY_MS, LeadershipEvidence, REVOCATION_MS } from './leadership-evidence.js';
import { PositionHistory } from './position-history.js';
import { MemberGroup } from '../topology/member-group.js';

function ledBy(memberId: string, term: number): LeadershipEvidence {
  const evidence = new LeadershipEvidence();
  evidence.observeLeader({ memberId, term });
  return evidence;
}

/** A group whose leader is proven from time 0 on. */
function ledGroup(): MemberGroup {
  const group = new MemberGroup('g');
  group.evidence.observeLeader({ memberId: 'a', term: 1 });
  group.evidence.recordWitness(1, 0, 0);
  return group;
}

describe('evidence', () => {
  test('expires after its validity, counted from the query', () => {
    const evidence = ledBy('a', 3);
    assert.equal(evidence.current(1000), null);
    assert.ok(evidence.recordWitness(3, 0, 1000));
    assert.equal(evidence.current(1000 + EVIDENCE_VALIDITY_MS - 1)?.memberId, 'a');
    assert.equal(evidence.current(1000 + EVIDENCE_VALIDITY_MS), null);
  });

  test('is not given by a paused witness, nor by one of another term', () => {
    const evidence = ledBy('a', 3);
    assert.ok(!evidence.recordWitness(3, 4, 1000));
    assert.ok(!evidence.recordWitness(2, 0, 1000));
    assert.equal(evidence.current(1001), null);
    assert.ok(!evidence.recordWitness(4, 0, 1000));
    assert.equal(evidence.leader, null, 'a later term shows that the leader is replaced');
    assert.ok(!evidence.observeLeader({ memberId: 'a', term: 3 }));
    assert.ok(evidence.observeLeader({ memberId: 'b', term: 4 }));
  });

  test('names the source that it rests on, and when it was revoked', () => {
    const group = ledGroup();
    const { evidence } = group;
    evidence.recordWitness(1, 0, 1000, { kind: 'store' });
    evidence.recordWitness(1, 0, 900, { kind: 'daemon', isHolder: false });
    const latest = group.describeLeadership(1100);
    assert.equal(latest.evidenceFrom, 'store');
    assert.equal(latest.sinceRevokedMs, null);
    evidence.seal(1, 1200);
    evidence.recordWitness(1, 0, 1200 + REVOCATION_MS, { kind: 'daemon', isHolder: true });
    const regained = group.describeLeadership(1300 + REVOCATION_MS);
    assert.equal(regained.evidenceFrom, 'daemon');
    assert.equal(regained.sinceRevokedMs, 100 + REVOCATION_MS);
    evidence.confirm();
    evidence.renewUnderDuty(9000, 4000);
    assert.equal(group.describeLeadership(4000).evidenceFrom, 'duty');
  });

  test('is not valid before a promotion can know this daemon', () => {
    let countsFromMs = Number.POSITIVE_INFINITY;
    const evidence = new LeadershipEvidence(() => countsFromMs);
    evidence.observeLeader({ memberId: 'a', term: 3 });
    assert.ok(!evidence.recordWitness(3, 0, 1000));
    countsFromMs = 1500;
    assert.ok(!evidence.recordWitness(3, 0, 1499));
    assert.ok(!evidence.counts({ kind: 'members' }, 1499));
    assert.ok(evidence.recordWitness(3, 0, 1500));
  });

  test('may be gathered once a leader is known and no revocation of its term prevents it', () => {
    const evidence = new LeadershipEvidence();
    assert.ok(!evidence.mayBeGathered(1000));
    evidence.observeLeader({ memberId: 'a', term: 3 });
    assert.ok(evidence.mayBeGathered(1000));
    evidence.revoke(3, 1000);
    assert.ok(!evidence.mayBeGathered(1000 + REVOCATION_MS - 1));
    assert.ok(evidence.mayBeGathered(1000 + REVOCATION_MS));
    evidence.observeLeader({ memberId: 'b', term: 4 });
    assert.ok(evidence.mayBeGathered(1001));
  });

  test('is not gathered for a revoked term for a while, not even from the answer to an older query', () => {
    const evidence = ledBy('a', 3);
    evidence.recordWitness(3, 0, 1000);
    evidence.revoke(3, 1100);
    assert.equal(evidence.current(1101), null);
    assert.ok(!evidence.recordWitness(3, 0, 1099));
    assert.ok(!evidence.recordWitness(3, 0, 1100 + REVOCATION_MS - 1));
    const relayed = { kind: 'daemon', isHolder: false } as const;
    assert.ok(
      !evidence.recordWitness(3, 0, 1100 + REVOCATION_MS, relayed),
      'it may be older than the promotion',
    );
    assert.ok(!evidence.recordWitness(3, 0, 1100 + REVOCATION_MS - 1, { kind: 'members' }));
    assert.ok(evidence.recordWitness(3, 0, 1100 + REVOCATION_MS, { kind: 'members' }));
    evidence.revoke(3, 3000);
    evidence.liftRevocation();
    assert.ok(evidence.recordWitness(3, 0, 3001));
  });

  test('of a later leader is not affected by the revocation of an earlier term', () => {
    const evidence = ledBy('b', 4);
    evidence.recordWitness(4, 0, 1000);
    evidence.revoke(3, 1001);
    assert.equal(evidence.current(1002)?.memberId, 'b');
  });

  test('is renewed under the duty only for a confirmed leader, and only while the duty is held', () => {
    const evidence = ledBy('a', 3);
    evidence.renewUnderDuty(9000, 1000);
    assert.equal(evidence.current(1001), null);
    evidence.confirm();
    evidence.renewUnderDuty(1500, 1000);
    assert.equal(evidence.current(1499)?.memberId, 'a');
    assert.equal(evidence.current(1500), null);
    evidence.renewUnderDuty(90_000, 2000);
    assert.equal(evidence.current(2000 + EVIDENCE_VALIDITY_MS), null);
    evidence.clearConfirmation();
    evidence.renewUnderDuty(90_000, 8000);
    assert.equal(evidence.current(8001), null);
  });

  test('is not renewed under the duty after a revocation, a loss, or a change of the leader', () => {
    const ends: ((evidence: LeadershipEvidence) => void)[] = [
      (evidence) => evidence.revoke(3, 1000),
      (evidence) => evidence.clearLeader(),
      (evidence) => void evidence.observeLeader({ memberId: 'b', term: 4 }),
      (evidence) => void evidence.recordWitness(5, 0, 1000),
    ];
    for (const end of ends) {
      const evidence = ledBy('a', 3);
      evidence.confirm();
      end(evidence);
      evidence.renewUnderDuty(9000, 1001);
      assert.equal(evidence.current(1002), null);
    }
  });
});

describe('positions', () => {
  test('the floor is the lowest position reported since a time, and none when the leader was not queried since', () => {
    const history = new PositionHistory();
    history.record(1000, { term: 1, index: 10 });
    history.record(1100, { term: 1, index: 20 });
    history.record(1200, { term: 1, index: 30 });
    assert.deepEqual(history.floorSince(1050), { position: { term: 1, index: 20 }, reachedAtMs: 1100 });
    assert.deepEqual(history.floorSince(900), { position: { term: 1, index: 10 }, reachedAtMs: 1000 });
    assert.equal(history.floorSince(1201), null);
  });

  /**
   * Guards against reads of versions that had long been replaced. A leader restarted with an empty log and
   * refused a statement; the position 0.0 of its refusal became the floor of reads at replicas, 79 of them in
   * 0.9 s. The log showed `read_at leader=false floor=0.0`.
   */
  test('a position that goes back within a term is no floor, because another incarnation reported it', () => {
    const group = new MemberGroup('g');
    group.evidence.observeLeader({ memberId: 'a', term: 1 });
    group.recordLeaderPosition(1000, { term: 1, index: 30 });
    group.recordLeaderPosition(1100, ZERO_POSITION);
    assert.deepEqual(group.positions.floorSince(900)?.position, { term: 1, index: 30 });
    assert.deepEqual(group.leaderPosition, { term: 1, index: 30 });
  });

  test('a floor is never below a commit acknowledged before the time it stands for', () => {
    const steps = fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 1, maxLength: 200 });
    fc.assert(
      fc.property(steps, fc.integer({ min: 0, max: 3000 }), (gaps, back) => {
        const history = new PositionHistory();
        const asked: { at: number; index: number }[] = [];
        let now = 0;
        gaps.forEach((gap, index) => {
          now += gap;
          asked.push({ at: now, index });
          history.record(now, { term: 1, index });
        });
        const since = now - back;
        const floor = history.floorSince(since);
        const before = asked.filter(({ at }) => at < since).at(-1);
        assert.ok(floor === null || before === undefined || floor.position.index >= before.index);
      }),
      { seed: 20261202, numRuns: 300 },
    );
  });
});

describe('the choice of a successor', () => {
  const at = (index: number, term = 1): Position => ({ term, index });
  const whole = (latest: Position): Acknowledged => ({ latest, limit: latest });
  const partial = (latest: Position): Acknowledged => ({ latest, limit: null });
  const UNKNOWN = partial(ZERO_POSITION);

  test('is the member that has received the most; among equals, one that is not leaving', () => {
    const candidates = [
      { memberId: 'a', received: at(5), isLeaving: true, knownSinceMs: 0 },
      { memberId: 'b', received: at(5), isLeaving: false, knownSinceMs: 0 },
      { memberId: 'c', received: at(9, 0), isLeaving: false, knownSinceMs: 0 },
    ];
    assert.equal(chooseSuccessor({ candidates, missing: 0, acknowledged: UNKNOWN })?.memberId, 'b');
    const more = [...candidates, { memberId: 'd', received: at(6), isLeaving: true, knownSinceMs: 0 }];
    assert.equal(chooseSuccessor({ candidates: more, missing: 0, acknowledged: UNKNOWN })?.memberId, 'd');
  });

  test('is, among equals that are not leaving, the one whose incarnation has been known for longest', () => {
    const candidates = [30, 10, 20].map((knownSinceMs) => ({
      memberId: String(knownSinceMs),
      received: at(5),
      isLeaving: false,
      knownSinceMs,
    }));
    assert.equal(chooseSuccessor({ candidates, missing: 0, acknowledged: UNKNOWN })?.memberId, '10');
  });

  test('with replicas missing, every acknowledged commit has to be covered', () => {
    const candidates = [{ memberId: 'a', received: at(5), isLeaving: false, knownSinceMs: 0 }];
    assert.equal(chooseSuccessor({ candidates, missing: 1, acknowledged: whole(at(5)) })?.memberId, 'a');
    assert.equal(chooseSuccessor({ candidates, missing: 1, acknowledged: whole(at(6)) }), null);
    assert.equal(chooseSuccessor({ candidates, missing: 1, acknowledged: UNKNOWN }), null);
    assert.equal(chooseSuccessor({ candidates: [], missing: 0, acknowledged: UNKNOWN }), null);
  });

  test('what is known to be acknowledged has to be covered though no listed replica is missing', () => {
    const candidates = [{ memberId: 'a', received: at(5), isLeaving: false, knownSinceMs: 0 }];
    assert.equal(chooseSuccessor({ candidates, missing: 0, acknowledged: whole(at(6)) }), null);
    assert.equal(chooseSuccessor({ candidates, missing: 0, acknowledged: UNKNOWN })?.memberId, 'a');
  });

  test('what some daemons are known to have acknowledged has to be covered though others did not answer', () => {
    const candidates = [{ memberId: 'a', received: at(5), isLeaving: false, knownSinceMs: 0 }];
    assert.equal(chooseSuccessor({ candidates, missing: 0, acknowledged: partial(at(6)) }), null);
    assert.equal(chooseSuccessor({ candidates, missing: 0, acknowledged: partial(at(5)) })?.memberId, 'a');
    assert.equal(chooseSuccessor({ candidates, missing: 1, acknowledged: partial(at(5)) }), null);
  });

  test('what a daemon may have forgotten has to be covered only where a replica is missing', () => {
    const candidates = [{ memberId: 'a', received: at(5), isLeaving: false, knownSinceMs: 0 }];
    const joined = joinAcknowledged([whole(at(4)), { latest: at(2), limit: at(6) }]);
    assert.deepEqual(joined, { latest: at(4), limit: at(6) });
    assert.equal(chooseSuccessor({ candidates, missing: 1, acknowledged: joined }), null);
    assert.equal(chooseSuccessor({ candidates, missing: 0, acknowledged: joined })?.memberId, 'a');
    assert.equal(joinAcknowledged([joined, UNKNOWN]).limit, null);
  });

  test('a commit is acknowledged only with evidence at the time of its answer', () => {
    const group = new MemberGroup('g');
    assert.equal(group.acknowledge(at(3), 0), 'unproven', 'no leader is known');
    group.evidence.observeLeader({ memberId: 'a', term: at(3).term });
    assert.equal(group.acknowledge(at(3), 0), 'unproven', 'no witness has answered');
    group.evidence.recordWitness(at(3).term, 0, 0);
    assert.equal(group.acknowledge(at(3), EVIDENCE_VALIDITY_MS - 1), 'proven');
    assert.equal(group.acknowledge(at(4), EVIDENCE_VALIDITY_MS), 'unproven', 'the evidence has expired');
    assert.deepEqual(group.acknowledged.latest, at(3));
    group.evidence.observeLeader({ memberId: 'b', term: at(3).term + 1 });
    assert.equal(group.acknowledge(at(4), EVIDENCE_VALIDITY_MS), 'replaced');
  });

  test('commits under way at a revocation are acknowledged for as long as the evidence would have been valid', () => {
    const group = ledGroup();
    group.evidence.revoke(at(3).term, 10);
    assert.equal(group.acknowledge(at(4), EVIDENCE_VALIDITY_MS - 1), 'proven');
    assert.equal(group.acknowledge(at(5), EVIDENCE_VALIDITY_MS), 'unproven');
  });

  test('after its last word to a promotion a daemon acknowledges nothing of the old term, until it is given up', () => {
    const group = ledGroup();
    assert.equal(group.acknowledge(at(3), 5), 'proven');
    group.evidence.revoke(at(3).term, 8);
    group.evidence.seal(at(3).term, 10);
    assert.equal(group.acknowledge(at(4), 20), 'unproven');
    assert.ok(!group.evidence.recordWitness(at(3).term, 0, 20), 'no evidence is gathered');
    group.evidence.liftRevocation();
    assert.equal(group.acknowledge(at(5), 20), 'unproven', 'the old evidence is not restored');
    assert.ok(group.evidence.recordWitness(at(3).term, 0, 21));
    assert.equal(group.acknowledge(at(5), 22), 'proven');
    group.evidence.seal(at(3).term, 30);
    assert.equal(
      group.acknowledge(at(6), 30 + REVOCATION_MS),
      'unproven',
      'the revocation has ended, but there is no new evidence',
    );
  });

  test('what a daemon has forgotten was in the log when the leader first gave its position', () => {
    let hasForgotten = true;
    const group = new MemberGroup('g', undefined, () => hasForgotten);
    assert.deepEqual(group.acknowledged, UNKNOWN);
    group.evidence.observeLeader({ memberId: 'a', term: at(3).term });
    group.evidence.recordWitness(at(3).term, 0, 0);
    assert.equal(group.acknowledge(at(3), 0), 'proven');
    group.recordLeaderPosition(10, at(4));
    group.recordLeaderPosition(20, at(9));
    assert.deepEqual(group.acknowledged, { latest: at(3), limit: at(4) });
    assert.equal(group.acknowledge(at(9), 30), 'proven');
    assert.deepEqual(group.acknowledged, whole(at(9)));
    hasForgotten = false;
    assert.deepEqual(group.acknowledged, whole(at(9)));
  });

  test('holds every acknowledged commit, whatever was received where', () => {
    const received = fc.array(fc.integer({ min: 0, max: 6 }), { minLength: 2, maxLength: 4 });
    fc.assert(
      fc.property(received, fc.nat(), (indexes, pick) => {
        const acknowledged = at(Math.max(...indexes));
        const unreachable = pick % (indexes.length + 1);
        const reachable = indexes.filter((_, index) => index !== unreachable);
        const candidates = reachable.map((index, number) => ({
          memberId: `m${number}`,
          received: at(index),
          isLeaving: false,
          knownSinceMs: 0,
        }));
        const missing = indexes.length - reachable.length;
        const chosen = chooseSuccessor({ candidates, missing, acknowledged: whole(acknowledged) });
        assert.ok(chosen === null || comparePositions(chosen.received, acknowledged) >= 0);
      }),
      { seed: 20261202, numRuns: 300 },
    );
  });
});

describe('suspicions of a leader', () => {
  const suspicionOf = (reporter: string, reason: 'silent' | 'stalled' = 'silent') => ({
    groupName: 'g',
    memberId: 'a',
    reason,
    reporter,
  });

  test('one daemon, or a short time, is not enough to replace a leader that answers', () => {
    const suspicions = new LeaderSuspicions();
    for (let now = 0; now <= 900; now += 100) suspicions.add(suspicionOf('d1'), now);
    assert.equal(suspicions.lastingReporterCount('a', 6, 900), 0);
    for (let now = 900; now <= 1300; now += 100) suspicions.add(suspicionOf('d2'), now);
    assert.equal(suspicions.lastingReporterCount('a', 6, 1300), 0);
  });

  test('lasting suspicions of enough daemons are', () => {
    const suspicions = new LeaderSuspicions();
    for (let now = 0; now <= 600; now += 100)
      for (const reporter of ['d1', 'd2']) suspicions.add(suspicionOf(reporter), now);
    assert.equal(suspicions.lastingReporterCount('a', 6, 600), 2);
    assert.equal(suspicions.lastingReporterCount('a', 10, 600), 0, 'two of ten are too few');
    assert.equal(suspicions.lastingReporterCount('b', 6, 600), 0, 'another member is not suspected');
    assert.equal(suspicions.lastingReporterCount('a', 6, 1200), 0, 'suspicions expire');
  });

  test('a suspicion counts only for its reason', () => {
    const suspicions = new LeaderSuspicions();
    suspicions.add(suspicionOf('d1', 'stalled'), 100);
    assert.ok(suspicions.has('stalled', 'a', 200));
    assert.ok(!suspicions.has('silent', 'a', 200));
    suspicions.clear();
    assert.ok(!suspicions.has('stalled', 'a', 200));
  });
});
