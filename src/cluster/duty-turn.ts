/**
 * When each daemon asks for a promotion duty that nobody holds. Pure; the same everywhere for the same daemons.
 *
 * If all asked at once, each would make two calls of the store for one to have it. So a few ask at once, and the others
 * one after the other, should those be gone or cut off.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from './daemon-record.js';
import { rankOf } from './rank-by-capacity.js';

/** Daemons that ask at once: one that is gone, and one that is cut off, cost no time. */
const FIRST_CANDIDATES = 3;
/** Time between two of the others, in milliseconds: some calls of the store. */
const TURN_MS = 60;
/** Longest time for which the duty is left to others, in milliseconds. */
const LONGEST_TURN_MS = 1500;

/** How long a daemon leaves a free duty to others, in milliseconds. */
export function dutyTurnMs(name: string, daemons: readonly DaemonRecord[]): number {
  const rank = rankOf('duty', daemons, name);
  if (rank < 0) return 0;
  return Math.min(LONGEST_TURN_MS, Math.max(0, rank + 1 - FIRST_CANDIDATES) * TURN_MS);
}
