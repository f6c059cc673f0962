/**
 * Weights for rendezvous hashing (Thaler and Ravishankar, 1998). Pure.
 *
 * @packageDocumentation
 */
import { sha1 } from '@noble/hashes/legacy.js';

const MAX_CACHED_HASHES = 100_000;
const hashes = new Map<string, number>();
const RANGE = 2 ** 32;

/** Weight of a candidate for a key, from 0 to 2^32 - 1: the same everywhere. */
export function rendezvousWeight(key: string, candidate: string): number {
  return mix(hashOf(key) ^ hashOf(candidate));
}

/**
 * Score of a candidate that is to be chosen in proportion to its capacity (Schindelhauer and Schomaker, 2005).
 *
 * @param capacity - above 0
 */
export function weightedRendezvousScore(key: string, candidate: string, capacity: number): number {
  const uniform = (rendezvousWeight(key, candidate) + 0.5) / RANGE;
  return capacity / -Math.log(uniform);
}

/** First 32 bits of a hash of the text; cached, since names are few and asked for often. */
function hashOf(text: string): number {
  const known = hashes.get(text);
  if (known !== undefined) return known;
  if (hashes.size >= MAX_CACHED_HASHES) hashes.clear();
  // Not from `node:crypto`: loading that takes a seventh of a daemon's start.
  const hash = Buffer.from(sha1(Buffer.from(text))).readInt32BE(0);
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
