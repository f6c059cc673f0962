/**
 * Evidence at a daemon that has revoked it for a promotion and does not hear how the promotion ended.
 *
 * Guards against reads of old data: a daemon answered the seal order and was then disconnected from the
 * holder of the duty and from the successor. 1.5 s later, a replica that the holder had not reached, and that
 * did not follow the new leader, was evidence for the replaced one.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test, type TestContext } from 'node:test';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { FakeReplacedTerms } from '../../test/support/replaced-terms.js';
import { delay } from '../common/signal.js';
import type { MemberConnections } from '../gateway/member-connections.js';
import type { MemberStatus } from '../relay/member-link.js';
import { Member, MemberGroup } from '../topology/member-group.js';
import { EvidenceSharing } from './evidence-sharing.js';
import {
  DUTY_SETTLE_MS,
  EVIDENCE_VALIDITY_MS,
  REVOCATION_MS,
  WITNESS_KNOWN_MS,
} from './leadership-evidence.js';
import { LeadershipWatcher, type HeldDuty } from './leadership-watcher.js';
import type { ControlAnswer, MemberControl } from './member-control.js';

const TERM = 3;
/** Time in which a watcher completes several rounds, in milliseconds. */
const ROUNDS_MS = 150;
/** Interval at which a test checks whether a daemon was asked, in milliseconds. */
const POLL_INTERVAL_MS = 5;
const FOLLOWS: MemberStatus = {
  isPrimary: false,
  term: TERM,
  pausedForTerm: 0,
  received: { term: TERM, index: 1 },
};
const SILENT: ControlAnswer = { kind: 'silent' };

function member(memberId: string, port: number): Member {
  const place = { groupName: 'g', host: 'h', port, zone: 'a', slots: 1 };
  const entry = { ...place, memberId, isDraining: false, saysPrimary: false, bornMs: null };
  return new Member(entry, { ownPool: { hasIdleOpenSince: () => false } } as unknown as MemberConnections);
}

/** A daemon that has sealed the term of a leader with two replicas and has heard nothing of the holder since. */
class SealedDaemon {
  readonly group = new MemberGroup('g');
  readonly #watcher: LeadershipWatcher;
  /** The records in the store, which does not answer at first. */
  readonly replacedTerms = new FakeReplacedTerms();
  /** The promotion duty, if the daemon holds it. */
  duty: HeldDuty | null = null;
  /** Status of each replica; one without status does not answer. */
  readonly statuses = new Map<string, MemberStatus>([
    ['unreached', FOLLOWS],
    ['successor', FOLLOWS],
  ]);

  constructor() {
    this.group.members.set('leader', member('leader', 1));
    this.group.members.set('unreached', member('unreached', 2));
    this.group.members.set('successor', member('successor', 3));
    this.group.recordLeader({ memberId: 'leader', term: TERM }, null);
    this.group.evidence.seal(TERM, performance.now() - REVOCATION_MS - 1);
    const control = { ask: ({ entry }: Member) => Promise.resolve(this.#answer(entry.memberId)) };
    this.#watcher = new LeadershipWatcher(
      this.group,
      control as unknown as MemberControl,
      this.replacedTerms,
      { evidenceChanged: () => undefined, statusLost: () => undefined },
      () => this.duty,
      () => true,
      () => false,
      () => performance.now(),
    );
  }

  /** The leader for which the daemon has evidence after some rounds of queries. */
  async provenLeader(afterMs = ROUNDS_MS): Promise<string | null> {
    const running = this.#watcher.run();
    await delay(afterMs);
    this.#watcher.stop();
    await running;
    return this.group.evidence.current(performance.now())?.memberId ?? null;
  }

  #answer(memberId: string): ControlAnswer {
    const status = this.statuses.get(memberId);
    return status === undefined ? SILENT : { kind: 'answered', status, askedAtMs: performance.now() };
  }
}

describe('a daemon that does not hear how a promotion ended', () => {
  test('has no evidence from one replica while another one, which may lead, does not answer', async () => {
    const daemon = new SealedDaemon();
    daemon.statuses.delete('successor');
    assert.equal(await daemon.provenLeader(), null);
  });

  test('has no evidence from one replica while another one is paused', async () => {
    const daemon = new SealedDaemon();
    daemon.statuses.set('successor', { ...FOLLOWS, pausedForTerm: TERM + 1 });
    assert.equal(await daemon.provenLeader(), null);
  });

  test('has no evidence from a replica while a member that is not listed any more does not answer', async () => {
    const daemon = new SealedDaemon();
    const successor = daemon.group.members.get('successor');
    assert.ok(successor !== undefined);
    daemon.group.members.delete('successor');
    daemon.group.addFormer(successor);
    daemon.statuses.delete('successor');
    assert.equal(await daemon.provenLeader(), null);
  });

  test('has no evidence while one of the replicas has been known for less than a promotion may last', async () => {
    const daemon = new SealedDaemon();
    const successor = daemon.group.members.get('successor');
    assert.ok(successor !== undefined);
    successor.knownSinceMs = performance.now() - WITNESS_KNOWN_MS / 2;
    assert.equal(await daemon.provenLeader(), null);
  });

  test('has no evidence while the platform may still execute a call of which it was informed', async () => {
    const daemon = new SealedDaemon();
    daemon.group.calls.record({ memberId: 'successor', fence: 1, leftMs: 5000 }, performance.now());
    assert.equal(await daemon.provenLeader(), null);
  });

  test('finds the leader of a later term', async () => {
    const daemon = new SealedDaemon();
    daemon.statuses.set('successor', { ...FOLLOWS, isPrimary: true, term: TERM + 1 });
    await daemon.provenLeader();
    assert.deepEqual(daemon.group.evidence.leader, { memberId: 'successor', term: TERM + 1 });
  });

  test('has evidence when all other members answer that they follow the leader and are not paused', async () => {
    const daemon = new SealedDaemon();
    assert.equal(await daemon.provenLeader(), 'leader');
    assert.equal(daemon.group.describeLeadership(performance.now()).evidenceFrom, 'members');
  });

  test('has no evidence from one replica though the holder has abandoned the promotion: there may be another', async () => {
    const daemon = new SealedDaemon();
    daemon.group.evidence.liftRevocation();
    daemon.statuses.delete('successor');
    assert.equal(await daemon.provenLeader(), null);
  });

  test('needs no member any more once it holds the duty and all have answered, and records that', async () => {
    const daemon = new SealedDaemon();
    daemon.duty = { takenAtMs: performance.now() - DUTY_SETTLE_MS - 1, untilMs: Number.POSITIVE_INFINITY };
    setTimeout(() => daemon.statuses.clear(), ROUNDS_MS);
    assert.equal(await daemon.provenLeader(EVIDENCE_VALIDITY_MS + 2 * ROUNDS_MS), 'leader');
    assert.ok(daemon.group.evidence.isConfirmed);
    assert.deepEqual(daemon.replacedTerms.written, [TERM - 1]);
    assert.equal(daemon.group.describeLeadership(performance.now()).evidenceFrom, 'duty');
  });

  test('has evidence from the store if it has recorded only earlier terms, though a member does not answer', async () => {
    const daemon = new SealedDaemon();
    daemon.replacedTerms.terms = new Map([['g', TERM - 1]]);
    daemon.statuses.delete('successor');
    assert.equal(await daemon.provenLeader(), 'leader');
    assert.equal(daemon.group.describeLeadership(performance.now()).evidenceFrom, 'store');
    assert.equal(daemon.group.evidence.isConfirmed, false);
  });

  test('has no evidence from the store if that has recorded the term, or no term of the group', async () => {
    for (const terms of [new Map([['g', TERM]]), new Map([['other', TERM - 1]])]) {
      const daemon = new SealedDaemon();
      daemon.replacedTerms.terms = terms;
      daemon.statuses.delete('successor');
      assert.equal(await daemon.provenLeader(), null);
    }
  });

  test('needs a member that has become known since it holds the duty if the term is recorded: it may have named it', async () => {
    const daemon = new SealedDaemon();
    daemon.duty = { takenAtMs: performance.now() - 2 * DUTY_SETTLE_MS, untilMs: Number.POSITIVE_INFINITY };
    daemon.replacedTerms.terms = new Map([['g', TERM]]);
    const successor = daemon.group.members.get('successor');
    assert.ok(successor !== undefined);
    successor.knownSinceMs = performance.now() - WITNESS_KNOWN_MS - ROUNDS_MS;
    daemon.statuses.delete('successor');
    assert.equal(await daemon.provenLeader(), null);
  });

  test('needs no member that has become known since it holds the duty without any record, but one that follows', async () => {
    const daemon = new SealedDaemon();
    daemon.replacedTerms.terms = new Map();
    daemon.duty = { takenAtMs: performance.now() - 2 * WITNESS_KNOWN_MS, untilMs: Number.POSITIVE_INFINITY };
    for (const member of daemon.group.members.values())
      member.knownSinceMs = performance.now() - WITNESS_KNOWN_MS - ROUNDS_MS;
    daemon.statuses.delete('successor');
    assert.equal(await daemon.provenLeader(), 'leader');
    const alone = new SealedDaemon();
    alone.replacedTerms.terms = new Map();
    alone.duty = daemon.duty;
    for (const member of alone.group.members.values()) member.knownSinceMs = performance.now();
    assert.equal(await alone.provenLeader(), null);
  });

  test('confirms the leader by the store alone once it holds the duty', async () => {
    const daemon = new SealedDaemon();
    daemon.replacedTerms.terms = new Map([['g', TERM - 1]]);
    daemon.duty = { takenAtMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
    daemon.statuses.clear();
    assert.equal(await daemon.provenLeader(), 'leader');
    assert.ok(daemon.group.evidence.isConfirmed);
    assert.equal(daemon.group.evidence.revokedUpToTerm, null);
  });

  test('needs all replicas though it holds the duty, since the promotion may have ended before', async () => {
    const daemon = new SealedDaemon();
    daemon.duty = { takenAtMs: performance.now() - DUTY_SETTLE_MS - 1, untilMs: Number.POSITIVE_INFINITY };
    daemon.statuses.delete('successor');
    assert.equal(await daemon.provenLeader(), null);
  });

  test('has evidence from the holder of the duty, which ends the revocation', async (context) => {
    const daemon = new SealedDaemon();
    await askOtherDaemons(context, daemon.group, true);
    const { evidence } = daemon.group;
    assert.equal(evidence.current(performance.now())?.memberId, 'leader');
    assert.equal(evidence.revokedUpToTerm, null);
  });

  // A collector that was not sent the seal order handed on the answer of the replica that was out of reach.
  test('has no evidence from that of a collector, which may be older than the promotion', async (context) => {
    const daemon = new SealedDaemon();
    await askOtherDaemons(context, daemon.group, false);
    const { evidence } = daemon.group;
    assert.equal(evidence.current(performance.now()), null);
    assert.equal(evidence.revokedUpToTerm, TERM);
  });

  test('has evidence from that of a collector once the holder has abandoned the promotion', async (context) => {
    const daemon = new SealedDaemon();
    daemon.group.evidence.liftRevocation();
    await askOtherDaemons(context, daemon.group, false);
    assert.equal(daemon.group.evidence.current(performance.now())?.memberId, 'leader');
  });
});

/** Lets a daemon ask the holder of the duty or, if that does not answer, a collector; both say that they have evidence. */
async function askOtherDaemons(context: TestContext, group: MemberGroup, hasHolder: boolean): Promise<void> {
  const shared = [{ groupName: 'g', memberId: 'leader', term: TERM, held: null, ageMs: 0 }];
  let answeredCount = 0;
  const answer = (): Promise<typeof shared> => {
    answeredCount += 1;
    return Promise.resolve(shared);
  };
  const sharing = new EvidenceSharing({
    ownName: 'd1',
    zone: 'a',
    groups: () => [group],
    fleetSize: () => 1,
    collectors: () => [{ name: 'd2', zone: 'a' } as DaemonRecord],
    holdsDuty: () => false,
    askHolder: () => (hasHolder ? answer() : Promise.resolve(null)),
    askDaemon: answer,
    evidenceGained: () => undefined,
    now: () => performance.now(),
    random: () => 0.5,
  });
  context.after(() => sharing.stop());
  const running = sharing.run();
  while (answeredCount === 0) await delay(POLL_INTERVAL_MS);
  sharing.stop();
  await running;
}
