/**
 * Ranks daemons for a key by weighted rendezvous hashing. Pure; every daemon computes the same ranking from
 * the same list.
 *
 * @packageDocumentation
 */
import { weightedRendezvousScore } from '../common/rendezvous.js';
import type { DaemonRecord } from './daemon-record.js';

/** Lower bound for the capacity used as weight, in cores of standard speed. */
const MIN_CAPACITY = 0.01;

interface RankedDaemon {
  readonly daemon: DaemonRecord;
  readonly score: number;
}

/**
 * The `count` highest-ranked daemons for a key, best first. Takes time proportional to the number of daemons.
 */
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
    if (preferred.length === count && last !== undefined && !ranksBefore(ranked, last)) continue;
    if (preferred.length === count) preferred.pop();
    const index = preferred.findIndex((other) => ranksBefore(ranked, other));
    preferred.splice(index < 0 ? preferred.length : index, 0, ranked);
  }
  return preferred.map(({ daemon }) => daemon);
}

/** Zero-based rank of a daemon for a key, or -1 when it is not in the list. */
export function rankOf(key: string, daemons: readonly DaemonRecord[], name: string): number {
  const daemon = daemons.find((other) => other.name === name);
  if (daemon === undefined) return -1;
  const own = { daemon, score: scoreOf(key, daemon) };
  let rank = 0;
  for (const other of daemons) if (ranksBefore({ daemon: other, score: scoreOf(key, other) }, own)) rank += 1;
  return rank;
}

function scoreOf(key: string, { name, capacity }: DaemonRecord): number {
  return weightedRendezvousScore(key, name, Math.max(MIN_CAPACITY, capacity));
}

function ranksBefore(one: RankedDaemon, other: RankedDaemon): boolean {
  if (one.score !== other.score) return one.score > other.score;
  return one.daemon.name < other.daemon.name;
}
