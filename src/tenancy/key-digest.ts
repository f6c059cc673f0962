/**
 * Digests of API keys. Pure.
 *
 * Only the digest of a key is kept, so that no key can be found in a log, on a status page or in the memory
 * of a process. The key itself is present only while a client's first message or a configuration is parsed.
 *
 * @packageDocumentation
 */
import { sha256 } from '@noble/hashes/sha2.js';

declare const digestBrand: unique symbol;

/** SHA-256 of a key, in base64. Keys are random and long, so no salt is needed. */
export type KeyDigest = string & { readonly [digestBrand]: true };

/**
 * Longest accepted key, in characters. Issued keys are shorter, so longer ones are rejected without hashing.
 */
const MAX_KEY_LENGTH = 1024;

/** The digest of a key; `null` for an empty or oversized string, which cannot be a key. */
export function digestKey(key: string): KeyDigest | null {
  if (key === '' || key.length > MAX_KEY_LENGTH) return null;
  // `node:crypto` is avoided: loading it takes a seventh of the start-up time of a daemon.
  return Buffer.from(sha256(Buffer.from(key))).toString('base64') as KeyDigest;
}
