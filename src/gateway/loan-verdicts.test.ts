/**
 * For any order of faults, a write through a gateway that is said not to have run has not run, and no write
 * runs twice, whether the daemons at the two ends use grants or not.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { LendingScene, type TestLender } from '../../test/support/lending-scene.js';
import { NotSentError } from '../relay/member-link.js';
import type { SessionLink } from '../relay/session-link.js';

/** An address specific to this process, so that concurrent test runs do not conflict. */
const HOST = `127.84.${(process.pid >> 8) & 255}.${1 + (process.pid % 250)}`;
const PORT = 24_031;
/** Longer than a granted connection is kept, in milliseconds. */
const EXPIRY_MS = 130;
/** Longer than a gateway may be silent, in milliseconds. */
const SILENCE_MS = 520;
const RUNS = { seed: 11, numRuns: 120 };
/** Runs at the same time: they mostly wait. */
const CONCURRENT_RUNS = 20;

const FAULTS = [
  'write',
  'write_without_grant',
  'give_up',
  'answer',
  'pause',
  'cut_requests',
  'cut_replies',
  'heal',
  'expire',
  'silence',
  'leave',
  'wind_up',
  'finish',
  'disconnect',
] as const;
type Fault = (typeof FAULTS)[number];

/** What the borrower says of a write. */
type Verdict = 'answered' | 'not_run' | 'may_have_run';

class Run {
  readonly #links: SessionLink[] = [];
  readonly #writes: { readonly id: string; readonly verdict: Promise<Verdict> }[] = [];

  constructor(
    private readonly scene: LendingScene,
    private readonly lender: TestLender,
  ) {}

  async apply(fault: Fault): Promise<void> {
    const { scene, lender } = this;
    const { server } = lender;
    if (fault === 'write' || fault === 'write_without_grant') this.#write(fault === 'write');
    else if (fault === 'give_up') this.#links.shift()?.close();
    else if (fault === 'answer') lender.answer();
    else if (fault === 'pause') await delay(5);
    else if (fault === 'cut_requests') scene.proxy.cutOneWay('borrower', 'g1');
    else if (fault === 'cut_replies') scene.proxy.cutOneWay('g1', 'borrower');
    else if (fault === 'heal') scene.proxy.heal();
    else if (fault === 'expire') await delay(EXPIRY_MS);
    else if (fault === 'silence') await delay(SILENCE_MS);
    else if (fault === 'leave') server.leave();
    else if (fault === 'wind_up') server.windUp();
    else if (fault === 'finish') void server.finish();
    else scene.client.close();
  }

  /** Delivers everything that is in transit, and compares what is said with what the member has received. */
  async check(): Promise<void> {
    const { scene, lender } = this;
    scene.proxy.heal();
    for (let count = 0; count < 10; count += 1) {
      await delay(4);
      lender.answer();
    }
    for (const link of this.#links) link.close();
    await delay(EXPIRY_MS);
    const received = lender.statementIds;
    for (const { id, verdict } of this.#writes) {
      const runs = received.filter((other) => other === id).length;
      assert.ok(runs <= 1, `${id} ran ${runs} times`);
      const said = await verdict;
      if (said === 'not_run') assert.equal(runs, 0, id);
      if (said === 'answered') assert.equal(runs, 1, id);
    }
  }

  #write(isGrantWanted: boolean): void {
    const id = `w${this.#writes.length}`;
    this.#writes.push({ id, verdict: this.#verdictOf(id, isGrantWanted) });
  }

  async #verdictOf(requestId: string, isGrantWanted: boolean): Promise<Verdict> {
    const { client } = this.scene;
    const terms = {
      groupName: 'g',
      memberId: 'm',
      bornMs: null,
      tenantName: null,
      priority: 1,
      waitMs: 60_000,
    };
    const link = client.borrow(this.lender.record, terms);
    this.#links.push(link);
    if (isGrantWanted && !(await link.requestGrant(new Map()).then(isDone, isFailed))) return 'not_run';
    try {
      const request = { kind: 'statement', requestId, payload: 'WRITE t d', after: null } as const;
      return (await link.send(request)).result.isComplete ? 'answered' : 'not_run';
    } catch (error) {
      return error instanceof NotSentError ? 'not_run' : 'may_have_run';
    }
  }
}

const isDone = (): boolean => true;
const isFailed = (): boolean => false;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test('what is said of a write holds for any order of faults', async () => {
  const faults = fc.array(fc.constantFrom(...FAULTS), { minLength: 3, maxLength: 14 });
  const cases = fc.sample(fc.tuple(fc.boolean(), faults), RUNS);
  for (let start = 0; start < cases.length; start += CONCURRENT_RUNS)
    await Promise.all(cases.slice(start, start + CONCURRENT_RUNS).map(runCase));
});

/** Runs one order of faults at a gateway of its own. */
async function runCase([isKnown, order]: [boolean, Fault[]], index: number): Promise<void> {
  const scene = new LendingScene(HOST);
  try {
    const lender = await scene.addLender('g1', PORT + index);
    if (isKnown) await scene.client.requestEvidence(lender.record, 1000);
    const run = new Run(scene, lender);
    await run.apply('write');
    for (const fault of order) await run.apply(fault);
    await run.check();
  } catch (error) {
    throw new Error(`${isKnown ? 'known' : 'new'} gateway, ${order.join(' ')}`, { cause: error });
  } finally {
    scene.close();
  }
}
