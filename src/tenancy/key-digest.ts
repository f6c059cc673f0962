/**
 * API keys as they are held: by their digest. Pure.
 *
 * A key is a secret: whoever reads a log, a status page or the memory of a process must not find one. The key itself is known
 * only while a client's first message or a configuration is read.
 *
 * @packageDocumentation
 */
import { sha256 } from '@noble/hashes/sha2.js';

declare const digestBrand: unique symbol;

/** SHA-256 of a key, in base64. Keys are random and long, so no salt is needed. */
export type KeyDigest = string & { readonly [digestBrand]: true };

/** Longest key, in characters: more is no key that anybody issued, and is not worth hashing. */
const MAX_KEY_LENGTH = 1024;

/** The digest of a key; `null` for what cannot be a key. */
export function digestKey(key: string): KeyDigest | null {
  if (key === '' || key.length > MAX_KEY_LENGTH) return null;
  // Not from `node:crypto`: loading that takes a seventh of a daemon's start.
  return Buffer.from(sha256(Buffer.from(key))).toString('base64') as KeyDigest;
}
