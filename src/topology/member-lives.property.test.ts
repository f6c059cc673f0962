/**
 * Lives of members under random sequences of entries, listings, new starts, late views and unreadable entries, against a
 * model that knows only which life is the youngest that was told.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { HEARTBEAT_MS, ListedMembers, entryOf } from '../../test/support/listed-members.js';
import { formatIncarnation } from './incarnation.js';
import type { Member, MemberEntry } from './member-group.js';

/** Sequences in an ordinary run; more with `LIVES_RUNS`. */
const RUNS = Number(process.env['LIVES_RUNS'] ?? 400);
const SEED = Number(process.env['LIVES_SEED'] ?? 20_261_203);
const LONGEST = 40;
/** For how long a life that has ended, or an id that was unlisted, is kept in mind, in milliseconds. */
const FORMER_MS = 30_000;
/** Time after the directory is back for which an older entry may stand in it, in milliseconds. */
const SETTLE_MS = 4 * HEARTBEAT_MS;
const IDS = ['a', 'b', 'c'];
const GROUPS = ['g', 'other'];

/** How an entry differs from others of its life. */
interface Looks {
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
      readonly looks: Looks;
    }
  | { readonly kind: 'rewrite'; readonly id: string; readonly looks: Looks }
  | { readonly kind: 'late'; readonly id: string; readonly age: number; readonly looks: Looks }
  | { readonly kind: 'unlist' | 'unreadable' | 'lead' | 'use'; readonly id: string }
  | { readonly kind: 'listing'; readonly shown: readonly boolean[] }
  | { readonly kind: 'store'; readonly isAvailable: boolean }
  | { readonly kind: 'pass'; readonly ms: number };

const looks: fc.Arbitrary<Looks> = fc.record({
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
    looks,
  }),
  fc.record({ kind: fc.constant('rewrite' as const), id, looks }),
  fc.record({ kind: fc.constant('late' as const), id, age: fc.integer({ min: 1, max: 5 }), looks }),
  fc.record({ kind: fc.constantFrom('unlist', 'unreadable', 'lead', 'use'), id }),
  fc.record({
    kind: fc.constant('listing' as const),
    shown: fc.array(fc.boolean(), { minLength: IDS.length, maxLength: IDS.length }),
  }),
  fc.record({ kind: fc.constant('store' as const), isAvailable: fc.boolean() }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.constantFrom(50, 700, 3200, FORMER_MS) }),
);

/** What a life has for good. */
interface Life {
  readonly memberId: string;
  readonly bornMs: number;
  readonly groupName: string;
  readonly port: number;
}

/** What the directory was told last of an id. */
interface Told {
  readonly life: Life;
  readonly entry: MemberEntry;
  goneSinceMs: number | null;
  isReadable: boolean;
}

/** The platform, and what the directory was told of it. */
class Play {
  readonly scene = new ListedMembers(GROUPS);
  /** All lives that were ever started, by id, oldest first. */
  readonly #lives = new Map<string, Life[]>();
  /** The youngest life that was told of an id, and since when no entry has stood under it. */
  readonly #told = new Map<string, Told>();
  readonly #endedAtMs = new Map<Member, number>();
  readonly #lifeOf = new Map<Member, string>();
  /** Ids whose youngest life was given no more work though its entry stands. */
  readonly #retired = new Set<string>();
  /** Ids that left, or were leaving, and are listed again before the directory has settled: their word is awaited until then. */
  readonly #awaited = new Set<string>();
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
        this.#tell(this.#lives.get(next.id)?.at(-1), next.looks);
        return;
      case 'rewrite':
        this.#tell(this.#told.get(next.id)?.life, next.looks);
        return;
      case 'late':
        this.#tellLate(next.id, next.age, next.looks);
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
          if (member !== undefined && !member.pool.own.isExhausted) await scene.use(member);
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
    this.scene.pass(ms);
    this.#checkAwaited();
    for (const memberId of used) {
      const isListed = this.#told.get(memberId)?.goneSinceMs === null;
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

  /** Once the directory has settled, what is listed is used as at other times. */
  #checkAwaited(): void {
    if (!this.#isSettled) return;
    for (const memberId of this.#awaited) {
      const told = this.#told.get(memberId);
      if (told === undefined || told.goneSinceMs !== null || !told.isReadable) continue;
      // One that still drains has no more time than before, and is not used again.
      if (told.entry.isDraining && !this.#isUsed(memberId)) this.#retired.add(memberId);
      const isToBeUsed = !this.#retired.has(memberId);
      assert.equal(this.#isUsed(memberId), isToBeUsed, 'one that is still listed is used');
    }
    this.#awaited.clear();
  }

  /** True while a member that is not used has left, as far as is known. */
  #hasLeft(memberId: string): boolean {
    const members = [...this.scene.groups.values()].flatMap(({ former }) => [...former.values()]);
    return members.some(
      ({ entry, hasEnded, isLeaving }) => entry.memberId === memberId && !hasEnded && isLeaving,
    );
  }

  #isUsed(memberId: string): boolean {
    return [...this.scene.groups.values()].some(({ members }) => members.has(memberId));
  }

  #start(life: Life): void {
    const lives = this.#lives.get(life.memberId) ?? [];
    this.#lives.set(life.memberId, [...lives, life]);
  }

  /** The directory is told of a life that is not older than what it remembers. */
  #tell(life: Life | undefined, { saysStart, ...rest }: Looks): void {
    if (life === undefined) return;
    const { memberId } = life;
    const before = this.#told.get(memberId);
    const isKnown = before !== undefined && before.life === life && this.#remembers(memberId);
    const entry = entryOf({ ...life, ...rest });
    const led = this.#ledBy(memberId);
    const isAwaited = !this.#isSettled && this.#hasLeft(memberId);
    this.scene.directory.listed(isKnown && !saysStart ? { ...entry, bornMs: null } : entry);
    this.#told.set(memberId, { life, entry, goneSinceMs: null, isReadable: true });
    if (before !== undefined && before.life === life) {
      if (isAwaited) this.#awaited.add(memberId);
      const isToBeUsed = !this.#retired.has(memberId) && !isAwaited;
      assert.equal(this.#isUsed(memberId), isToBeUsed, 'one that is listed is used');
      return;
    }
    this.#retired.delete(memberId);
    assert.ok(this.#isUsed(memberId), 'a new life is used');
    if (this.#remembers(memberId))
      for (const group of led) assert.notEqual(group.evidence.leader?.memberId, memberId, 'its lead ended');
  }

  /** An entry of a life that is not the youngest. */
  #tellLate(memberId: string, age: number, { isDraining, saysPrimary, slots }: Looks): void {
    const lives = this.#lives.get(memberId) ?? [];
    const told = this.#told.get(memberId);
    const older = lives.filter(({ bornMs }) => told !== undefined && bornMs < told.life.bornMs).at(-age);
    if (older === undefined || !this.#remembers(memberId)) return;
    const before = this.#shown();
    this.scene.directory.listed(entryOf({ ...older, isDraining, saysPrimary, slots }));
    assert.deepEqual(this.#shown(), before, 'a late view changes nothing');
  }

  #unlist(memberId: string): void {
    const told = this.#told.get(memberId);
    this.scene.directory.unlisted(memberId);
    if (told === undefined) return;
    told.goneSinceMs ??= this.scene.now;
    this.#retired.delete(memberId);
  }

  #makeUnreadable(memberId: string): void {
    const told = this.#told.get(memberId);
    this.scene.directory.unreadable(memberId);
    if (told === undefined || !this.#remembers(memberId)) return;
    told.goneSinceMs = null;
    told.isReadable = false;
    assert.ok(!this.#isUsed(memberId), 'what cannot be read names no member to use');
  }

  /** The listing is read anew: what it does not show is gone, the rest is told as it is. */
  #listAgain(memberId: string, isShown: boolean): void {
    const told = this.#told.get(memberId);
    if (told === undefined) return;
    if (!isShown) this.#unlist(memberId);
    else if (told.goneSinceMs === null) this.#listUnchanged(memberId, told);
  }

  #listUnchanged(memberId: string, told: Told): void {
    if (!this.#isSettled && this.#hasLeft(memberId)) this.#awaited.add(memberId);
    told.isReadable = true;
    this.scene.directory.listed(told.entry);
  }

  #remembers(memberId: string): boolean {
    const since = this.#told.get(memberId)?.goneSinceMs ?? null;
    return since === null || this.scene.now - since < FORMER_MS;
  }

  #ledBy(memberId: string): readonly ReturnType<ListedMembers['group']>[] {
    return [...this.scene.groups.values()].filter(({ evidence }) => evidence.leader?.memberId === memberId);
  }

  #check(): void {
    for (const group of this.scene.groups.values())
      for (const [memberId, member] of group.members) this.#checkUsed(group.name, memberId, member);
    for (const member of this.scene.created) this.#checkLife(member);
    for (const memberId of IDS) this.#checkId(memberId);
  }

  /** A member that is used lives the youngest life, where that is reached. */
  #checkUsed(groupName: string, memberId: string, member: Member): void {
    const life = this.#told.get(memberId)?.life;
    const { bornMs, port } = member.entry;
    assert.deepEqual({ memberId, bornMs, groupName, port }, life);
    assert.equal(member.hasEnded, false);
  }

  /** A member lives one life only; of one that has ended nothing goes on, and it is kept in mind for its time. */
  #checkLife(member: Member): void {
    const name = formatIncarnation(member.entry);
    const lived = this.#lifeOf.get(member);
    assert.equal(name, lived ?? name);
    this.#lifeOf.set(member, name);
    if (!member.hasEnded) return;
    const { now } = this.scene;
    const endedAtMs = this.#endedAtMs.get(member) ?? now;
    this.#endedAtMs.set(member, endedAtMs);
    assert.equal(member.pool.own.size, 0, 'no connection of an ended life');
    const isKept = this.scene.group(member.entry.groupName).former.get(name) === member;
    assert.equal(isKept, now - endedAtMs < FORMER_MS, `${name} ${now - endedAtMs} ms after its end`);
  }

  /** One life of an id at a time; all others that are in anyone's mind have ended. */
  #checkId(memberId: string): void {
    const members = [...this.scene.groups.values()].flatMap(({ members: used, former }) => [
      ...used.values(),
      ...former.values(),
    ]);
    const living = members.filter(({ entry, hasEnded }) => entry.memberId === memberId && !hasEnded);
    assert.ok(living.length <= 1, `${living.length} lives of ${memberId}`);
    const told = this.#told.get(memberId);
    for (const { entry } of living) assert.equal(entry.bornMs, told?.life.bornMs);
  }

  #shown(): unknown {
    const { scene } = this;
    return {
      groups: [...scene.groups.values()].map(({ members, former, evidence }) => ({
        members: [...members].map(([key, member]) => [key, stateOf(member)]),
        former: [...former].map(([key, member]) => [key, stateOf(member)]),
        leader: evidence.leader,
      })),
      told: [scene.created.length, scene.events.length, scene.forgotten.length, scene.doubted.length],
    };
  }
}

function stateOf({ entry, hasEnded, missingSinceMs, leavingSinceMs }: Member): unknown {
  return { ...entry, hasEnded, missingSinceMs, leavingSinceMs };
}

test('an id is one living member at most, that of its youngest life, and nothing of an earlier one goes on', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: LONGEST, size: 'max' }), (steps) => new Play().run(steps)),
    { numRuns: RUNS, seed: SEED },
  );
});
