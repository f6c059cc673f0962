/**
 * Revisions for tests in which the store is never restored from a backup.
 *
 * @packageDocumentation
 */
import type { Revision } from '../../src/coordination/revision.js';

/** A revision of the first era. */
export function firstEraRevision(number: number): Revision {
  return { era: 0, number };
}
