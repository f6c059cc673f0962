/**
 * Incarnations of members under random sequences of entries, listings, restarts, outdated entries and
 * unreadable ones, compared with a model that knows only the latest incarnation reported for each id.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { HEARTBEAT_MS, ListedMembers, entryOf } from '../../test/support/listed-members.js';
import { formatIncarnation } from './incarnation.js';
import type { Member, MemberEntry } from './member-group.js';

/** Number of sequences; can be raised with `LIVES_RUNS`. */
const RUNS = Number(process.env['LIVES_RUNS'] ?? 400);
const SEED = Number(process.env['LIVES_SEED'] ?? 20_261_203);
const MAX_STEPS = 40;
/** For how long an ended incarnation, or an unlisted id, is retained, in milliseconds. */
const FORMER_MS = 30_000;
/** Time after the directory becomes available in which its entries may be outdated, in milliseconds. */
const SETTLE_MS = 4 * HEARTBEAT_MS;
const IDS = ['a', 'b', 'c'];
const GROUPS = ['g', 'other'];

/** Properties in which entries of one incarnation may differ. */
interface EntryVariation {
  readonly isDraining: boolean;
  readonly saysPrimary: boolean;
  readonly saysStart: boolean;
  readonly slots: number;
}

type Step =
  | {
      readonly kind: 'start';
      readonly id: string;
      readonly group: string;
      readonly port: number;
      readonly variation: EntryVariation;
    }
  | { readonly kind: 'rewrite'; readonly id: string; readonly variation: EntryVariation }
  | { readonly kind: 'late'; readonly id: string; readonly age: number; readonly variation: EntryVariation }
  | { readonly kind: 'unlist' | 'unreadable' | 'lead' | 'use'; readonly id: string }
  | { readonly kind: 'listing'; readonly shown: readonly boolean[] }
  | { readonly kind: 'store'; readonly isAvailable: boolean }
  | { readonly kind: 'pass'; readonly ms: number };

const variation: fc.Arbitrary<EntryVariation> = fc.record({
  isDraining: fc.boolean(),
  saysPrimary: fc.boolean(),
  saysStart: fc.boolean(),
  slots: fc.integer({ min: 1, max: 3 }),
});
const id = fc.constantFrom(...IDS);

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('start' as const),
    id,
    group: fc.constantFrom(...GROUPS),
    port: fc.integer({ min: 1, max: 2 }),
    variation,
  }),
  fc.record({ kind: fc.constant('rewrite' as const), id, variation }),
  fc.record({ kind: fc.constant('late' as const), id, age: fc.integer({ min: 1, max: 5 }), variation }),
  fc.record({ kind: fc.constantFrom('unlist', 'unreadable', 'lead', 'use'), id }),
  fc.record({
    kind: fc.constant('listing' as const),
    shown: fc.array(fc.boolean(), { minLength: IDS.length, maxLength: IDS.length }),
  }),
  fc.record({ kind: fc.constant('store' as const), isAvailable: fc.boolean() }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.constantFrom(50, 700, 3200, FORMER_MS) }),
);

/** Properties that are fixed for an incarnation. */
interface ModelIncarnation {
  readonly memberId: string;
  readonly bornMs: number;
  readonly groupName: string;
  readonly port: number;
}

/** The last entry reported to the directory under an id. */
interface LastReport {
  readonly incarnation: ModelIncarnation;
  readonly entry: MemberEntry;
  goneSinceMs: number | null;
  isReadable: boolean;
}

/** Models the platform, and what was reported of it to the directory. */
class ModelRun {
  readonly scene = new ListedMembers(GROUPS);
  /** All incarnations that were ever started, by id, in order of start. */
  readonly #incarnations = new Map<string, ModelIncarnation[]>();
  /** Latest incarnation reported under an id, and since when the id has had no entry. */
  readonly #lastReports = new Map<string, LastReport>();
  readonly #endedAtMs = new Map<Member, number>();
  readonly #nameOf = new Map<Member, string>();
  /** Ids whose latest incarnation was retired although its entry still exists. */
  readonly #retired = new Set<string>();
  /**
   * Ids that had left, or were leaving, and are listed again before the directory has settled; their entries
   * are applied only then.
   */
  readonly #deferredIds = new Set<string>();
  #settledFromMs = 0;
  #isAvailable = true;
  #clock = 1000;

  async run(steps: readonly Step[]): Promise<void> {
    for (const next of steps) {
      await this.#take(next);
      this.#check();
    }
  }

  async #take(next: Step): Promise<void> {
    const { scene } = this;
    switch (next.kind) {
      case 'start':
        this.#clock += 10;
        this.#start({ memberId: next.id, bornMs: this.#clock, groupName: next.group, port: next.port });
        this.#list(this.#incarnations.get(next.id)?.at(-1), next.variation);
        return;
      case 'rewrite':
        this.#list(this.#lastReports.get(next.id)?.incarnation, next.variation);
        return;
      case 'late':
        this.#listOutdated(next.id, next.age, next.variation);
        return;
      case 'unlist':
        this.#unlist(next.id);
        return;
      case 'unreadable':
        this.#makeUnreadable(next.id);
        return;
      case 'lead':
        for (const group of scene.groups.values())
          if (group.members.has(next.id))
            group.evidence.observeLeader({ memberId: next.id, term: scene.now });
        return;
      case 'use':
        for (const group of scene.groups.values()) {
          const member = group.members.get(next.id);
          if (member !== undefined && !member.pool.ownPool.isExhausted) await scene.acquireConnection(member);
        }
        return;
      case 'listing':
        next.shown.forEach((isShown, index) => this.#listAgain(IDS[index] ?? '', isShown));
        return;
      case 'store':
        scene.directory.availability(next.isAvailable);
        this.#noteAvailability(next.isAvailable);
        return;
      case 'pass':
        this.#pass(next.ms);
    }
  }

  #pass(ms: number): void {
    const used = IDS.filter((memberId) => this.#isUsed(memberId));
    this.scene.advance(ms);
    this.#checkDeferred();
    for (const memberId of used) {
      const isListed = this.#lastReports.get(memberId)?.goneSinceMs === null;
      if (isListed && !this.#isUsed(memberId)) this.#retired.add(memberId);
    }
  }

  #noteAvailability(isAvailable: boolean): void {
    if (isAvailable === this.#isAvailable) return;
    this.#isAvailable = isAvailable;
    this.#settledFromMs = isAvailable ? this.scene.now + SETTLE_MS : Number.POSITIVE_INFINITY;
  }

  get #isSettled(): boolean {
    return this.scene.now >= this.#settledFromMs;
  }

  /** Once the directory has settled, listed members have to be in use again. */
  #checkDeferred(): void {
    if (!this.#isSettled) return;
    for (const memberId of this.#deferredIds) {
      const report = this.#lastReports.get(memberId);
      if (report === undefined || report.goneSinceMs !== null || !report.isReadable) continue;
      // The leave time of a member that is still draining is not extended, so it is not used again.
      if (report.entry.isDraining && !this.#isUsed(memberId)) this.#retired.add(memberId);
      const isToBeUsed = !this.#retired.has(memberId);
      assert.equal(this.#isUsed(memberId), isToBeUsed, 'a member that is still listed is used');
    }
    this.#deferredIds.clear();
  }

  /** True if the id has a former member that was leaving and has not ended. */
  #hasLeft(memberId: string): boolean {
    const members = [...this.scene.groups.values()].flatMap(({ former }) => [...former.values()]);
    return members.some(
      ({ entry, hasEnded, isLeaving }) => entry.memberId === memberId && !hasEnded && isLeaving,
    );
  }

  #isUsed(memberId: string): boolean {
    return [...this.scene.groups.values()].some(({ members }) => members.has(memberId));
  }

  #start(incarnation: ModelIncarnation): void {
    const incarnations = this.#incarnations.get(incarnation.memberId) ?? [];
    this.#incarnations.set(incarnation.memberId, [...incarnations, incarnation]);
  }

  /** Lists an incarnation that is not earlier than the one the directory knows. */
  #list(incarnation: ModelIncarnation | undefined, { saysStart, ...rest }: EntryVariation): void {
    if (incarnation === undefined) return;
    const { memberId } = incarnation;
    const before = this.#lastReports.get(memberId);
    const isKnown = before !== undefined && before.incarnation === incarnation && this.#retains(memberId);
    const entry = entryOf({ ...incarnation, ...rest });
    const led = this.#ledBy(memberId);
    const isDeferred = !this.#isSettled && this.#hasLeft(memberId);
    this.scene.directory.listed(isKnown && !saysStart ? { ...entry, bornMs: null } : entry);
    this.#lastReports.set(memberId, { incarnation, entry, goneSinceMs: null, isReadable: true });
    if (before !== undefined && before.incarnation === incarnation) {
      if (isDeferred) this.#deferredIds.add(memberId);
      const isToBeUsed = !this.#retired.has(memberId) && !isDeferred;
      assert.equal(this.#isUsed(memberId), isToBeUsed, 'a listed member is used');
      return;
    }
    this.#retired.delete(memberId);
    assert.ok(this.#isUsed(memberId), 'a new incarnation is used');
    if (this.#retains(memberId))
      for (const group of led)
        assert.notEqual(group.evidence.leader?.memberId, memberId, 'an ended incarnation does not lead');
  }

  /** Lists an incarnation that is not the latest. */
  #listOutdated(memberId: string, age: number, { isDraining, saysPrimary, slots }: EntryVariation): void {
    const incarnations = this.#incarnations.get(memberId) ?? [];
    const report = this.#lastReports.get(memberId);
    const older = incarnations
      .filter(({ bornMs }) => report !== undefined && bornMs < report.incarnation.bornMs)
      .at(-age);
    if (older === undefined || !this.#retains(memberId)) return;
    const before = this.#state();
    this.scene.directory.listed(entryOf({ ...older, isDraining, saysPrimary, slots }));
    assert.deepEqual(this.#state(), before, 'an outdated entry changes nothing');
  }

  #unlist(memberId: string): void {
    const report = this.#lastReports.get(memberId);
    this.scene.directory.unlisted(memberId);
    if (report === undefined) return;
    report.goneSinceMs ??= this.scene.now;
    this.#retired.delete(memberId);
  }

  #makeUnreadable(memberId: string): void {
    const report = this.#lastReports.get(memberId);
    this.scene.directory.unreadable(memberId);
    if (report === undefined || !this.#retains(memberId)) return;
    report.goneSinceMs = null;
    report.isReadable = false;
    assert.ok(!this.#isUsed(memberId), 'a member with an unreadable entry is not used');
  }

  /** Replays the listing: ids that are not shown become unlisted, the others are listed unchanged. */
  #listAgain(memberId: string, isShown: boolean): void {
    const report = this.#lastReports.get(memberId);
    if (report === undefined) return;
    if (!isShown) this.#unlist(memberId);
    else if (report.goneSinceMs === null) this.#listUnchanged(memberId, report);
  }

  #listUnchanged(memberId: string, report: LastReport): void {
    if (!this.#isSettled && this.#hasLeft(memberId)) this.#deferredIds.add(memberId);
    report.isReadable = true;
    this.scene.directory.listed(report.entry);
  }

  #retains(memberId: string): boolean {
    const since = this.#lastReports.get(memberId)?.goneSinceMs ?? null;
    return since === null || this.scene.now - since < FORMER_MS;
  }

  #ledBy(memberId: string): readonly ReturnType<ListedMembers['group']>[] {
    return [...this.scene.groups.values()].filter(({ evidence }) => evidence.leader?.memberId === memberId);
  }

  #check(): void {
    for (const group of this.scene.groups.values())
      for (const [memberId, member] of group.members) this.#checkUsed(group.name, memberId, member);
    for (const member of this.scene.created) this.#checkIncarnation(member);
    for (const memberId of IDS) this.#checkId(memberId);
  }

  /** A member in use is the latest incarnation of its id, at its current address. */
  #checkUsed(groupName: string, memberId: string, member: Member): void {
    const incarnation = this.#lastReports.get(memberId)?.incarnation;
    const { bornMs, port } = member.entry;
    assert.deepEqual({ memberId, bornMs, groupName, port }, incarnation);
    assert.equal(member.hasEnded, false);
  }

  /**
   * A member is one incarnation only; an ended one has no connections and is retained for the retention time.
   */
  #checkIncarnation(member: Member): void {
    const name = formatIncarnation(member.entry);
    const previousName = this.#nameOf.get(member);
    assert.equal(name, previousName ?? name);
    this.#nameOf.set(member, name);
    if (!member.hasEnded) return;
    const { now } = this.scene;
    const endedAtMs = this.#endedAtMs.get(member) ?? now;
    this.#endedAtMs.set(member, endedAtMs);
    assert.equal(member.pool.ownPool.size, 0, 'no connection of an ended incarnation');
    const isKept = this.scene.group(member.entry.groupName).former.get(name) === member;
    assert.equal(isKept, now - endedAtMs < FORMER_MS, `${name} ${now - endedAtMs} ms after its end`);
  }

  /** At most one incarnation of an id is alive; all other retained ones have ended. */
  #checkId(memberId: string): void {
    const members = [...this.scene.groups.values()].flatMap(({ members: used, former }) => [
      ...used.values(),
      ...former.values(),
    ]);
    const living = members.filter(({ entry, hasEnded }) => entry.memberId === memberId && !hasEnded);
    assert.ok(living.length <= 1, `${living.length} live incarnations of ${memberId}`);
    const report = this.#lastReports.get(memberId);
    for (const { entry } of living) assert.equal(entry.bornMs, report?.incarnation.bornMs);
  }

  #state(): unknown {
    const { scene } = this;
    return {
      groups: [...scene.groups.values()].map(({ members, former, evidence }) => ({
        members: [...members].map(([key, member]) => [key, stateOf(member)]),
        former: [...former].map(([key, member]) => [key, stateOf(member)]),
        leader: evidence.leader,
      })),
      counts: [
        scene.created.length,
        scene.events.length,
        scene.closedControlConnections.length,
        scene.doubtedGroups.length,
      ],
    };
  }
}

function stateOf({ entry, hasEnded, missingSinceMs, leavingSinceMs }: Member): unknown {
  return { ...entry, hasEnded, missingSinceMs, leavingSinceMs };
}

test('an id is one living member at most, that of its youngest life, and nothing of an earlier one goes on', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: MAX_STEPS, size: 'max' }), (steps) =>
      new ModelRun().run(steps),
    ),
    { numRuns: RUNS, seed: SEED },
  );
});
