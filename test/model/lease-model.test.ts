/**
 * Bounded model check of the hand-over of a database between two daemons with three members. It explores
 * every order of renewals, delays, pauses and expiries, and uses the lease implementation of the product.
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
/** Time at which every state is evaluated; ages are relative to it. */
const NOW = 100;

/** A member's lock: its holder, and the time since the member last heard from the holder, in ticks. */
interface Lock {
  readonly holder: number;
  readonly ticksSinceHeard: number;
}

/** A state: locks by member, and for each daemon the age of its last answered renewal by member. */
interface State {
  readonly locks: readonly (Lock | null)[];
  /** Time since the last answered renewal was sent, in ticks; `null` without a lock. */
  readonly renewals: readonly (readonly (number | null)[])[];
}

const START: State = {
  locks: [null, null, null],
  renewals: [
    [null, null, null],
    [null, null, null],
  ],
};

function replaceAt<Item>(items: readonly Item[], index: number, item: Item): Item[] {
  return items.map((old, i) => (i === index ? item : old));
}

/** Time passes. Members drop the locks of holders that they have not heard from; daemons are not notified. */
function tick(state: State): State {
  const locks = state.locks.map((lock) => {
    if (lock === null || lock.ticksSinceHeard + 1 >= LEASE_TICKS) return null;
    return { ...lock, ticksSinceHeard: lock.ticksSinceHeard + 1 };
  });
  const age = (ticks: number | null): number | null =>
    ticks === null ? null : Math.min(ticks + 1, LEASE_TICKS);
  return { locks, renewals: state.renewals.map((ages) => ages.map(age)) };
}

/** A request that a daemon sent `delay` ticks ago arrives, takes or renews the lock, and is answered. */
function renewLock(state: State, daemon: number, member: number, delay: number): State | null {
  const lock = state.locks[member] ?? null;
  if (lock !== null && lock.holder !== daemon) return null;
  const locks = replaceAt(state.locks, member, { holder: daemon, ticksSinceHeard: 0 });
  const ages = replaceAt(state.renewals[daemon] ?? [], member, delay);
  return { locks, renewals: replaceAt(state.renewals, daemon, ages) };
}

/** A daemon detects that its connection to a member is lost. A paused or partitioned daemon never does. */
function noticeLostConnection(state: State, daemon: number, member: number): State | null {
  const lock = state.locks[member] ?? null;
  if (lock?.holder === daemon) return null;
  return {
    ...state,
    renewals: replaceAt(state.renewals, daemon, replaceAt(state.renewals[daemon] ?? [], member, null)),
  };
}

function successors(state: State): State[] {
  const next: (State | null)[] = [tick(state)];
  for (const daemon of DAEMONS) {
    for (const member of MEMBERS) {
      next.push(
        renewLock(state, daemon, member, 0),
        renewLock(state, daemon, member, 1),
        noticeLostConnection(state, daemon, member),
      );
    }
  }
  return next.filter((successor) => successor !== null);
}

function holdsLease(state: State, daemon: number, marginTicks: number): boolean {
  const lease = new QuorumLease(MEMBERS.length, { leaseMs: LEASE_TICKS, marginMs: marginTicks });
  (state.renewals[daemon] ?? []).forEach((age, member) => {
    if (age !== null) lease.renew(String(member), NOW - age);
  });
  return lease.isHeld(NOW);
}

/** Explores all reachable states; returns the first in which both daemons hold the lease. */
function findDoubleHolder(marginTicks: number): { readonly state: State | null; readonly explored: number } {
  const seen = new Set<string>([JSON.stringify(START)]);
  const queue: State[] = [START];
  for (let state = queue.shift(); state !== undefined && seen.size < MAX_STATES; state = queue.shift()) {
    if (DAEMONS.every((daemon) => holdsLease(state as State, daemon, marginTicks)))
      return { state, explored: seen.size };
    for (const successor of successors(state)) {
      const key = JSON.stringify(successor);
      if (seen.has(key)) continue;
      seen.add(key);
      queue.push(successor);
    }
  }
  return { state: null, explored: seen.size };
}

test('two daemons never hold the lease of one database at once', () => {
  const { state, explored } = findDoubleHolder(MARGIN_TICKS);
  assert.equal(state, null);
  assert.ok(explored > 1000 && explored < MAX_STATES, `${explored} states explored`);
});

test('the model detects a lease that is used for longer than members keep it', () => {
  const { state } = findDoubleHolder(-1);
  assert.notEqual(state, null);
});
