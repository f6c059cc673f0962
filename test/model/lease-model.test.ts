/**
 * Bounded model check of the hand-over of a database: every order of renewals, delays, pauses and expiries, with
 * the product's own lease, for two daemons and three members.
 *
 * @packageDocumentation
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { QuorumLease } from '../../src/ownership/quorum-lease.js';

const LEASE_TICKS = 3;
const MARGIN_TICKS = 1;
const MEMBERS = [0, 1, 2] as const;
const DAEMONS = [0, 1] as const;
const MAX_STATES = 150_000;
/** Time at which every state is looked at; ages are counted back from it. */
const NOW = 100;

/** A member's lock: who holds it and how long ago the member last heard from the holder, in ticks. */
interface Lock {
  readonly holder: number;
  readonly silentTicks: number;
}

/** A world: locks by member, and for each daemon the age of the last answered question by member. */
interface World {
  readonly locks: readonly (Lock | null)[];
  /** Age of the sending of the last answered question, in ticks; `null` without a lock. */
  readonly renewals: readonly (readonly (number | null)[])[];
}

const START: World = {
  locks: [null, null, null],
  renewals: [
    [null, null, null],
    [null, null, null],
  ],
};

function replaceAt<Item>(items: readonly Item[], index: number, item: Item): Item[] {
  return items.map((old, i) => (i === index ? item : old));
}

/** Time passes; members end the locks of silent holders, daemons are told nothing. */
function tick(world: World): World {
  const locks = world.locks.map((lock) => {
    if (lock === null || lock.silentTicks + 1 >= LEASE_TICKS) return null;
    return { ...lock, silentTicks: lock.silentTicks + 1 };
  });
  const age = (ticks: number | null): number | null =>
    ticks === null ? null : Math.min(ticks + 1, LEASE_TICKS);
  return { locks, renewals: world.renewals.map((ages) => ages.map(age)) };
}

/** A daemon's question that was sent `delay` ticks ago arrives, takes or renews the lock, and is answered. */
function ask(world: World, daemon: number, member: number, delay: number): World | null {
  const lock = world.locks[member] ?? null;
  if (lock !== null && lock.holder !== daemon) return null;
  const locks = replaceAt(world.locks, member, { holder: daemon, silentTicks: 0 });
  const ages = replaceAt(world.renewals[daemon] ?? [], member, delay);
  return { locks, renewals: replaceAt(world.renewals, daemon, ages) };
}

/** A daemon notices that its connection to a member is gone. A paused or cut-off daemon never does. */
function notice(world: World, daemon: number, member: number): World | null {
  const lock = world.locks[member] ?? null;
  if (lock?.holder === daemon) return null;
  return {
    ...world,
    renewals: replaceAt(world.renewals, daemon, replaceAt(world.renewals[daemon] ?? [], member, null)),
  };
}

function successors(world: World): World[] {
  const next: (World | null)[] = [tick(world)];
  for (const daemon of DAEMONS) {
    for (const member of MEMBERS) {
      next.push(ask(world, daemon, member, 0), ask(world, daemon, member, 1), notice(world, daemon, member));
    }
  }
  return next.filter((successor) => successor !== null);
}

function holdsLease(world: World, daemon: number, marginTicks: number): boolean {
  const lease = new QuorumLease(MEMBERS.length, { leaseMs: LEASE_TICKS, marginMs: marginTicks });
  (world.renewals[daemon] ?? []).forEach((age, member) => {
    if (age !== null) lease.renew(String(member), NOW - age);
  });
  return lease.isHeld(NOW);
}

/** Explores all reachable worlds; returns the first in which both daemons hold the lease. */
function findDoubleHolder(marginTicks: number): { readonly world: World | null; readonly explored: number } {
  const seen = new Set<string>([JSON.stringify(START)]);
  const queue: World[] = [START];
  for (let world = queue.shift(); world !== undefined && seen.size < MAX_STATES; world = queue.shift()) {
    if (DAEMONS.every((daemon) => holdsLease(world as World, daemon, marginTicks)))
      return { world, explored: seen.size };
    for (const successor of successors(world)) {
      const key = JSON.stringify(successor);
      if (seen.has(key)) continue;
      seen.add(key);
      queue.push(successor);
    }
  }
  return { world: null, explored: seen.size };
}

test('two daemons never hold the lease of one database at once', () => {
  const { world, explored } = findDoubleHolder(MARGIN_TICKS);
  assert.equal(world, null);
  assert.ok(explored > 1000 && explored < MAX_STATES, `${explored} worlds explored`);
});

test('the model finds a lease that is used for longer than members keep it', () => {
  const { world } = findDoubleHolder(-1);
  assert.notEqual(world, null);
});
