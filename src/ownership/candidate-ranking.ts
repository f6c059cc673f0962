/**
 * Ranks the daemons that may own a database, by rendezvous hashing (Thaler and Ravishankar, 1998). Pure.
 *
 * @packageDocumentation
 */
import { createHash } from 'node:crypto';

const MAX_CACHED_HASHES = 100_000;
const hashes = new Map<string, number>();

/** The first daemons in order of preference for a key; the same everywhere for the same set. */
export function rankCandidates(key: string, daemonIds: Iterable<string>, count: number): readonly string[] {
  const keyHash = hashOf(key);
  const best: { readonly daemonId: string; readonly weight: number }[] = [];
  for (const daemonId of daemonIds) {
    const candidate = { daemonId, weight: mix(keyHash ^ hashOf(daemonId)) };
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

/** First 32 bits of a hash of the text; cached, since ids are few and asked for often. */
function hashOf(text: string): number {
  const known = hashes.get(text);
  if (known !== undefined) return known;
  if (hashes.size >= MAX_CACHED_HASHES) hashes.clear();
  const hash = createHash('sha1').update(text).digest().readInt32BE(0);
  hashes.set(text, hash);
  return hash;
}

/** Finaliser of MurmurHash3 (Appleby), which spreads every input bit over the output. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
