/**
 * Answers to commits that find no evidence of the leader.
 *
 * Users saw confirmed commits undone by a promotion: daemons that had let go of the leader, or whose evidence had lapsed, went on confirming
 * what it answered, on the word of replicas that the promotion did not count.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { QUIET_OBSERVER } from '../../test/support/quiet-observer.js';
import { ALWAYS_PROVEN, NO_QUOTAS } from '../../test/support/no-tenancy.js';
import { EVIDENCE_MS } from '../leadership/leadership-evidence.js';
import { Catalog } from '../topology/catalog.js';
import { MemberGroup } from '../topology/member-group.js';
import { proveCommit } from './commit-proof.js';
import type { RelayContext } from './relay-context.js';

const TERM = 3;
const POSITION = { term: TERM, index: 7 };
/** Time of a request, in milliseconds. */
const TIMEOUT_MS = 150;

interface Scene {
  readonly group: MemberGroup;
  readonly proven: Promise<boolean>;
  /** Decisions that were told. */
  readonly told: string[];
}

/** A group whose evidence was gathered so long ago, and the answer to a commit. */
function answered(evidenceAgeMs = EVIDENCE_MS): Scene {
  const group = new MemberGroup('g');
  const now = performance.now();
  const told: string[] = [];
  group.evidence.believe({ memberId: 'm', term: TERM });
  group.evidence.witness(TERM, 0, now - evidenceAgeMs);
  const context: RelayContext = {
    catalog: new Catalog(),
    configurationLease: ALWAYS_PROVEN,
    quotas: NO_QUOTAS,
    zone: 'a',
    observer: { ...QUIET_OBSERVER, notable: ({ decision }) => void told.push(decision) },
    group: () => group,
    now: () => performance.now(),
    plannedStop: () => null,
    readStatus: () => null,
    suspect: () => undefined,
  };
  const commit = { requestId: 'x', group, position: POSITION, deadlineMs: now + TIMEOUT_MS };
  return { group, proven: proveCommit(context, commit), told };
}

test('a commit that is answered with evidence is acknowledged at once, and nothing is told of it', async () => {
  const { group, proven, told } = answered(0);
  assert.ok(await proven);
  assert.deepEqual(group.acknowledged.latest, POSITION);
  assert.deepEqual(told, []);
});

describe('a commit that is answered without evidence of the leader', () => {
  test('is acknowledged once there is evidence again', async () => {
    const { group, proven, told } = answered();
    assert.deepEqual(group.acknowledged.latest.index, 0);
    group.evidence.witness(TERM, 0, performance.now());
    group.changed.notify();
    assert.ok(await proven);
    assert.deepEqual(group.acknowledged.latest, POSITION);
    assert.deepEqual(told, ['commit_held']);
  });

  test('is in doubt as soon as a later term leads', async () => {
    const { group, proven } = answered();
    const startedMs = performance.now();
    group.evidence.believe({ memberId: 'n', term: TERM + 1 });
    group.changed.notify();
    assert.ok(!(await proven));
    assert.ok(performance.now() - startedMs < TIMEOUT_MS);
    assert.equal(group.acknowledged.latest.index, 0);
  });

  test('is in doubt when the time of the request is over', async () => {
    const { group, proven } = answered();
    assert.ok(!(await proven));
    assert.equal(group.acknowledged.latest.index, 0);
  });
});
