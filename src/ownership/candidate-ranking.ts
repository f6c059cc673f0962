/**
 * Ranks the candidate daemons for the ownership of a database by rendezvous hashing (Thaler and Ravishankar,
 * 1998). Pure.
 *
 * @packageDocumentation
 */
import { rendezvousWeight } from '../common/rendezvous.js';

/**
 * Returns the first `count` daemons in order of preference for a key. The result depends only on the key and
 * the set of daemons, so all daemons that know the same set agree on it.
 */
export function rankCandidates(key: string, daemonIds: Iterable<string>, count: number): readonly string[] {
  const ranked: { readonly daemonId: string; readonly weight: number }[] = [];
  for (const daemonId of daemonIds) {
    const candidate = { daemonId, weight: rendezvousWeight(key, daemonId) };
    const last = ranked.at(-1);
    if (ranked.length === count && last !== undefined && !outranks(candidate, last)) continue;
    const position = ranked.findIndex((other) => outranks(candidate, other));
    ranked.splice(position < 0 ? ranked.length : position, 0, candidate);
    if (ranked.length > count) ranked.pop();
  }
  return ranked.map(({ daemonId }) => daemonId);
}

interface Weighted {
  readonly daemonId: string;
  readonly weight: number;
}

function outranks(left: Weighted, right: Weighted): boolean {
  return left.weight !== right.weight ? left.weight > right.weight : left.daemonId < right.daemonId;
}
