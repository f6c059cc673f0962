/**
 * Ranks the daemons that may own a database, by rendezvous hashing (Thaler and Ravishankar, 1998). Pure.
 *
 * @packageDocumentation
 */
import { rendezvousWeight } from '../common/rendezvous.js';

/** The first daemons in order of preference for a key; the same everywhere for the same set. */
export function rankCandidates(key: string, daemonIds: Iterable<string>, count: number): readonly string[] {
  const best: { readonly daemonId: string; readonly weight: number }[] = [];
  for (const daemonId of daemonIds) {
    const candidate = { daemonId, weight: rendezvousWeight(key, daemonId) };
    const last = best.at(-1);
    if (best.length === count && last !== undefined && !outranks(candidate, last)) continue;
    const position = best.findIndex((other) => outranks(candidate, other));
    best.splice(position < 0 ? best.length : position, 0, candidate);
    if (best.length > count) best.pop();
  }
  return best.map(({ daemonId }) => daemonId);
}

interface Weighted {
  readonly daemonId: string;
  readonly weight: number;
}

function outranks(left: Weighted, right: Weighted): boolean {
  return left.weight !== right.weight ? left.weight > right.weight : left.daemonId < right.daemonId;
}
