/**
 * Answers to commits that arrive without valid evidence for the leader.
 *
 * Guards against acknowledged commits that a promotion undoes. Daemons that had revoked their evidence, or
 * whose evidence had expired, went on acknowledging commits that the leader answered, though the only
 * replicas that held them were not counted by the promotion.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { NOOP_OBSERVER } from '../../test/support/noop-observer.js';
import { NOT_ISOLATED } from '../../test/support/not-isolated.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { EVIDENCE_VALIDITY_MS } from '../leadership/leadership-evidence.js';
import { Catalog } from '../topology/catalog.js';
import { MemberGroup } from '../topology/member-group.js';
import { proveCommit } from './commit-proof.js';
import type { RelayContext } from './relay-context.js';

const TERM = 3;
const POSITION = { term: TERM, index: 7 };
/** Time-out of a request, in milliseconds. */
const TIMEOUT_MS = 150;

interface Scene {
  readonly group: MemberGroup;
  /** Result of {@link proveCommit}. */
  readonly proof: Promise<boolean>;
  /** Decisions that were reported to the observer. */
  readonly decisions: string[];
}

/** Answers a commit in a group whose evidence has the given age. */
function answerCommit(evidenceAgeMs = EVIDENCE_VALIDITY_MS): Scene {
  const group = new MemberGroup('g');
  const now = performance.now();
  const decisions: string[] = [];
  group.evidence.observeLeader({ memberId: 'm', term: TERM });
  group.evidence.recordWitness(TERM, 0, now - evidenceAgeMs);
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: { ...NOOP_OBSERVER, notable: ({ decision }) => void decisions.push(decision) },
    group: () => group,
    now: () => performance.now(),
    shutdownSchedule: () => null,
    isolation: NOT_ISOLATED,
    readStatus: () => null,
    suspect: () => undefined,
  };
  const commit = { requestId: 'x', group, position: POSITION, deadlineMs: now + TIMEOUT_MS };
  return { group, proof: proveCommit(context, commit), decisions };
}

test('a commit that is answered with evidence is acknowledged at once, and no decision is reported', async () => {
  const { group, proof, decisions } = answerCommit(0);
  assert.ok(await proof);
  assert.deepEqual(group.acknowledged.latest, POSITION);
  assert.deepEqual(decisions, []);
});

describe('a commit that is answered without evidence of the leader', () => {
  test('is acknowledged once there is evidence again', async () => {
    const { group, proof, decisions } = answerCommit();
    assert.deepEqual(group.acknowledged.latest.index, 0);
    group.evidence.recordWitness(TERM, 0, performance.now());
    group.changed.notify();
    assert.ok(await proof);
    assert.deepEqual(group.acknowledged.latest, POSITION);
    assert.deepEqual(decisions, ['commit_held']);
  });

  test('is in doubt as soon as a later term leads', async () => {
    const { group, proof } = answerCommit();
    const startedMs = performance.now();
    group.evidence.observeLeader({ memberId: 'n', term: TERM + 1 });
    group.changed.notify();
    assert.ok(!(await proof));
    assert.ok(performance.now() - startedMs < TIMEOUT_MS);
    assert.equal(group.acknowledged.latest.index, 0);
  });

  test('is in doubt when the time of the request is over', async () => {
    const { group, proof } = answerCommit();
    assert.ok(!(await proof));
    assert.equal(group.acknowledged.latest.index, 0);
  });
});
