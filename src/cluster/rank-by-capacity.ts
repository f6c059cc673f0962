/**
 * Orders daemons for a key, by weighted rendezvous hashing. Pure; the same everywhere for the same daemons.
 *
 * @packageDocumentation
 */
import { weightedRendezvousScore } from '../common/rendezvous.js';
import type { DaemonRecord } from './daemon-record.js';

/** Capacity below which daemons count as equal, in cores of the ordinary speed. */
const LEAST_CAPACITY = 0.01;

/** Daemons in order of preference for a key. */
export function rankByCapacity(key: string, daemons: readonly DaemonRecord[]): readonly DaemonRecord[] {
  const scores = new Map(
    daemons.map((daemon) => [
      daemon,
      weightedRendezvousScore(key, daemon.name, Math.max(LEAST_CAPACITY, daemon.capacity)),
    ]),
  );
  return [...daemons].sort(
    (left, right) =>
      (scores.get(right) ?? 0) - (scores.get(left) ?? 0) || left.name.localeCompare(right.name, 'en'),
  );
}
