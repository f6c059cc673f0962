/**
 * Weights for rendezvous hashing (Thaler and Ravishankar, 1998). Pure.
 *
 * @packageDocumentation
 */
import { sha1 } from '@noble/hashes/legacy.js';

const MAX_CACHED_HASHES = 100_000;
const hashCache = new Map<string, number>();
const WEIGHT_RANGE = 2 ** 32;

/** Weight of a candidate for a key, from 0 to 2^32 - 1: the same in every process. */
export function rendezvousWeight(key: string, candidate: string): number {
  return mix(hashOf(key) ^ hashOf(candidate));
}

/**
 * Score of a candidate for a key. The candidate with the highest score is chosen; over many keys each
 * candidate is chosen in proportion to its capacity (Schindelhauer and Schomaker, 2005).
 *
 * @param capacity - above 0
 */
export function weightedRendezvousScore(key: string, candidate: string, capacity: number): number {
  const uniform = (rendezvousWeight(key, candidate) + 0.5) / WEIGHT_RANGE;
  return capacity / -Math.log(uniform);
}

/** First 32 bits of the SHA-1 of the text; cached, since there are few names and each is hashed often. */
function hashOf(text: string): number {
  const cached = hashCache.get(text);
  if (cached !== undefined) return cached;
  if (hashCache.size >= MAX_CACHED_HASHES) hashCache.clear();
  // `node:crypto` is avoided: loading it takes a seventh of the start-up time of a daemon.
  const hash = Buffer.from(sha1(Buffer.from(text))).readInt32BE(0);
  hashCache.set(text, hash);
  return hash;
}

/** Finaliser of MurmurHash3 (Appleby): every input bit affects all output bits. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
