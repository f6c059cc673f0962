/**
 * The record in the store of which terms may have been replaced.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { MemoryStore } from '../../test/support/memory-store.js';
import {
  StoreError,
  type StoreTransaction,
  type TransactionResult,
} from '../coordination/coordination-store.js';
import { discardedFaults } from '../coordination/entry-faults.js';
import { isSameRevision, NO_REVISION } from '../coordination/revision.js';
import { ReplacedTerms } from './replaced-terms.js';

const GROUP = 'g';
const KEY = `sorrelladder/replaced/${GROUP}`;
const DUTY_KEY = 'sorrelladder/duty';

/** A store whose answers to writes can be lost, or delayed until the test lets them through. */
class LossyStore extends MemoryStore {
  lostAnswers = 0;
  /** Writes that were sent while `holdsWrites` was set. */
  readonly heldWrites: (() => Promise<TransactionResult>)[] = [];
  holdsWrites = false;

  override async transact(transaction: StoreTransaction): Promise<TransactionResult> {
    if (this.holdsWrites) {
      this.heldWrites.push(() => super.transact(transaction));
      return new Promise(() => undefined);
    }
    const answer = await super.transact(transaction);
    if (this.lostAnswers === 0) return answer;
    this.lostAnswers -= 1;
    throw new StoreError('no answer', true);
  }
}

class Scene {
  readonly store = new LossyStore();
  /** Revision of the duty record by which this daemon holds the duty. */
  dutyRevision = NO_REVISION;
  readonly terms = new ReplacedTerms({
    store: this.store,
    // The local copy is always out of date here.
    localItem: () => undefined,
    dutyCondition: () => ({ key: DUTY_KEY, revision: this.dutyRevision }),
    life: 'life',
    faults: discardedFaults(),
    log: () => undefined,
    now: () => performance.now(),
  });

  async recorded(): Promise<number | undefined> {
    return (await this.terms.read())?.terms.get(GROUP);
  }
}

describe('the record of replaced terms', () => {
  test('holds the term that was written last, though the local copy is out of date', async () => {
    const scene = new Scene();
    assert.equal(await scene.recorded(), undefined);
    assert.ok(await scene.terms.set(GROUP, 4));
    assert.ok(await scene.terms.set(GROUP, 3));
    assert.equal(await scene.recorded(), 3);
  });

  test('of a promotion is later than one found for the same term, whose leader may have been replaced unseen', async () => {
    const scene = new Scene();
    assert.deepEqual(await scene.terms.raise(GROUP, 3), { term: 3, found: null });
    assert.deepEqual(await scene.terms.raise(GROUP, 3), { term: 4, found: 3 });
    assert.deepEqual(await scene.terms.raise(GROUP, 7), { term: 7, found: 4 });
  });

  test('cannot be written once another daemon has taken the duty', async () => {
    const scene = new Scene();
    assert.ok(await scene.terms.set(GROUP, 3));
    await scene.store.transact({
      conditions: [],
      puts: [{ key: DUTY_KEY, value: Buffer.from('{}'), leaseId: 0 }],
      removes: [],
    });
    assert.equal(await scene.terms.set(GROUP, 4), false);
    assert.equal(await scene.recorded(), 3);
  });

  test('counts as written if its answer is lost and a read shows it', async () => {
    const scene = new Scene();
    scene.store.lostAnswers = 1;
    assert.ok(await scene.terms.set(GROUP, 3));
    assert.equal(await scene.recorded(), 3);
  });

  test('does not count as written while the store does not answer', async () => {
    const scene = new Scene();
    scene.store.isDown = true;
    scene.store.holdsWrites = true;
    assert.equal(await scene.terms.set(GROUP, 3), false);
  });

  // A call without an answer may be executed seconds later.
  test('is not lowered by a write that the store executes late', async () => {
    const scene = new Scene();
    assert.ok(await scene.terms.set(GROUP, 4));
    scene.store.holdsWrites = true;
    assert.equal(await scene.terms.set(GROUP, 3), false);
    scene.store.holdsWrites = false;
    assert.ok(await scene.terms.set(GROUP, 4));
    for (const execute of scene.store.heldWrites) assert.equal((await execute()).kind, 'conflict');
    assert.equal(await scene.recorded(), 4);
  });

  test('is not lowered by a write that is due after the term is replaced', async () => {
    const scene = new Scene();
    let isCurrent = true;
    const raising = scene.terms.set(GROUP, 4).then(() => (isCurrent = false));
    assert.equal(await scene.terms.set(GROUP, 3, () => isCurrent), false);
    await raising;
    assert.equal(await scene.recorded(), 4);
  });

  test('shows nothing if it was written in an earlier era of the store, or cannot be read', async () => {
    const scene = new Scene();
    assert.ok(await scene.terms.set(GROUP, 3));
    scene.store.era.observe(1);
    assert.equal(await scene.recorded(), undefined);
    assert.ok(await scene.terms.set(GROUP, 3));
    assert.equal(await scene.recorded(), 3);
    const item = scene.store.items.get(KEY);
    assert.ok(item !== undefined && !isSameRevision(item.revision, NO_REVISION));
    scene.store.items.set(KEY, { ...item, value: Buffer.from('{"term":-1}') });
    assert.equal(await scene.recorded(), undefined);
  });

  test('is read once for all groups that ask at the same time, and not again at once without an answer', async () => {
    const scene = new Scene();
    const readings = await Promise.all([scene.terms.read(), scene.terms.read()]);
    assert.ok(readings.every((reading) => reading !== null));
    assert.equal(scene.store.lists, 1);
    scene.store.list = () => Promise.reject(new StoreError('down', false));
    assert.equal(await scene.terms.read(), null);
    scene.store.list = () => assert.fail('asked again at once');
    assert.equal(await scene.terms.read(), null);
  });
});
