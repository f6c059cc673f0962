/**
 * Ranks the daemons that may own a database, by rendezvous hashing (Thaler and Ravishankar, 1998). Pure.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';

/** Daemons in order of preference for a database; the same everywhere for the same set. */
export function rankCandidates(database: string, daemonIds: Iterable<string>): readonly string[] {
  const weighted = [...daemonIds].map((daemonId) => ({ daemonId, weight: weigh(database, daemonId) }));
  weighted.sort((left, right) => (left.weight < right.weight ? 1 : -1));
  return weighted.map(({ daemonId }) => daemonId);
}

function weigh(database: string, daemonId: string): string {
  return createHash('sha1').update(`${database}\0${daemonId}`).digest('hex');
}
