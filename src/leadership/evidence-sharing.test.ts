/**
 * Sources of evidence while the holder of the duty does not answer.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { DaemonRecord } from '../cluster/daemon-record.js';
import { MemberGroup } from '../topology/member-group.js';
import type { SharedEvidence } from './evidence-exchange.js';
import { EvidenceSharing } from './evidence-sharing.js';
import { EVIDENCE_VALIDITY_MS, HOLDER_RENEWAL_MS } from './leadership-evidence.js';

const HOLDER_TIMEOUT_MS = 200;
const GROUP = 'g';

/** A daemon that obtains its evidence from others, on a simulated clock. */
class SharingFixture {
  now = 0;
  readonly group = new MemberGroup(GROUP);
  readonly sharing: EvidenceSharing;
  /** Groups that the daemon knows; none until it has the configuration. */
  groups: readonly MemberGroup[] = [this.group];
  /** Whether the holder of the duty answers with evidence; otherwise requests to it time out. */
  hasHolder = true;

  /** @param collectors - daemons that query the members on behalf of all; `null` when every daemon does */
  constructor(
    private readonly context: TestContext,
    collectors: readonly string[] | null,
  ) {
    context.mock.timers.enable({ apis: ['setTimeout'] });
    this.sharing = new EvidenceSharing({
      ownName: 'd1',
      zone: 'a',
      groups: () => this.groups,
      fleetSize: () => 195,
      collectors: () => collectors?.map((name) => ({ name, zone: 'a' }) as DaemonRecord) ?? null,
      holdsDuty: () => false,
      askHolder: () => (this.hasHolder ? Promise.resolve([this.#evidence(0)]) : this.#timeout()),
      // A collector that others depend on renews its evidence at this age, so its evidence is never older.
      askDaemon: () => Promise.resolve([this.#evidence(HOLDER_RENEWAL_MS)]),
      evidenceGained: () => undefined,
      now: () => this.now,
      random: () => 0.5,
    });
  }

  /**
   * Advances the clock.
   *
   * @returns the time without evidence, in milliseconds
   */
  async advance(ms: number): Promise<number> {
    let missingMs = 0;
    for (let step = 0; step < ms; step += 1) {
      this.now += 1;
      this.context.mock.timers.tick(1);
      await new Promise((resolve) => setImmediate(resolve));
      if (this.group.evidence.current(this.now) === null) missingMs += 1;
    }
    return missingMs;
  }

  #evidence(ageMs: number): SharedEvidence {
    return { groupName: GROUP, memberId: 'm', term: 1, held: null, ageMs };
  }

  #timeout(): Promise<null> {
    return new Promise((resolve) => setTimeout(() => resolve(null), HOLDER_TIMEOUT_MS));
  }
}

test('evidence does not expire when the holder of the duty stops answering', async (context) => {
  const fixture = new SharingFixture(context, ['d2', 'd3']);
  void fixture.sharing.run();
  await fixture.advance(2000);
  fixture.hasHolder = false;
  assert.equal(await fixture.advance(4 * EVIDENCE_VALIDITY_MS), 0);
  fixture.sharing.stop();
});

test('a collector keeps its evidence fresh for other daemons while the holder does not answer', async (context) => {
  const fixture = new SharingFixture(context, ['d1', 'd2']);
  void fixture.sharing.run();
  await fixture.advance(2000);
  assert.equal(fixture.sharing.suppliesEvidence, false);
  fixture.hasHolder = false;
  await fixture.advance(1000);
  assert.equal(fixture.sharing.suppliesEvidence, true);
  fixture.hasHolder = true;
  await fixture.advance(1000);
  assert.equal(fixture.sharing.suppliesEvidence, false);
  fixture.sharing.stop();
});

test('no daemon supplies others where every daemon queries the members itself', async (context) => {
  const fixture = new SharingFixture(context, null);
  fixture.hasHolder = false;
  void fixture.sharing.run();
  await fixture.advance(1000);
  assert.equal(fixture.sharing.suppliesEvidence, false);
  fixture.sharing.stop();
});

test('a daemon that has just started does not wait for the renewal interval to ask about its first group', async (context) => {
  const fixture = new SharingFixture(context, ['d2', 'd3']);
  fixture.groups = [];
  void fixture.sharing.run();
  await fixture.advance(100);
  fixture.groups = [fixture.group];
  fixture.sharing.requestNow();

  assert.ok((await fixture.advance(200)) <= 5, 'no evidence soon after the group is known');
  fixture.sharing.stop();
});
