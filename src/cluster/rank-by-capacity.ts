/**
 * Orders daemons for a key, by weighted rendezvous hashing. Pure; the same everywhere for the same daemons.
 *
 * @packageDocumentation
 */
import { weightedRendezvousScore } from '../common/rendezvous.js';
import type { DaemonRecord } from './daemon-record.js';

/** Capacity below which daemons count as equal, in cores of the ordinary speed. */
const LEAST_CAPACITY = 0.01;

interface RankedDaemon {
  readonly daemon: DaemonRecord;
  readonly score: number;
}

/** The daemons that a key prefers, the first first. Takes time in proportion to the number of daemons. */
export function preferredDaemons(
  key: string,
  daemons: readonly DaemonRecord[],
  count: number,
): readonly DaemonRecord[] {
  const preferred: RankedDaemon[] = [];
  if (count <= 0) return [];
  for (const daemon of daemons) {
    const ranked = { daemon, score: scoreOf(key, daemon) };
    const last = preferred.at(-1);
    if (preferred.length === count && last !== undefined && !goesBefore(ranked, last)) continue;
    if (preferred.length === count) preferred.pop();
    const index = preferred.findIndex((other) => goesBefore(ranked, other));
    preferred.splice(index < 0 ? preferred.length : index, 0, ranked);
  }
  return preferred.map(({ daemon }) => daemon);
}

/** How many daemons a key prefers to one of them; -1 when it is not among them. */
export function rankOf(key: string, daemons: readonly DaemonRecord[], name: string): number {
  const daemon = daemons.find((other) => other.name === name);
  if (daemon === undefined) return -1;
  const own = { daemon, score: scoreOf(key, daemon) };
  let rank = 0;
  for (const other of daemons) if (goesBefore({ daemon: other, score: scoreOf(key, other) }, own)) rank += 1;
  return rank;
}

function scoreOf(key: string, { name, capacity }: DaemonRecord): number {
  return weightedRendezvousScore(key, name, Math.max(LEAST_CAPACITY, capacity));
}

function goesBefore(one: RankedDaemon, other: RankedDaemon): boolean {
  if (one.score !== other.score) return one.score > other.score;
  return one.daemon.name < other.daemon.name;
}
