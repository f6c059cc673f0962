/**
 * Delay after which each daemon tries to claim a vacant promotion duty. Pure; every daemon computes the same
 * result from the same list of daemons.
 *
 * If all daemons tried at the same time, each would make two calls to the store although only one can
 * succeed. So a few claim immediately, and the others follow one by one in case those have failed or are
 * partitioned from the store.
 *
 * @packageDocumentation
 */
import type { DaemonRecord } from './daemon-record.js';
import { rankOf } from './rank-by-capacity.js';

/** Daemons that claim immediately: one that has failed and one that is partitioned cause no delay. */
const IMMEDIATE_CLAIMANTS = 3;
/** Time between the claims of two other daemons, in milliseconds: enough for a few calls to the store. */
const CLAIM_INTERVAL_MS = 60;
const MAX_CLAIM_DELAY_MS = 1500;

/** How long a daemon waits before it claims a vacant duty, in milliseconds. */
export function dutyClaimDelayMs(name: string, daemons: readonly DaemonRecord[]): number {
  const rank = rankOf('duty', daemons, name);
  if (rank < 0) return 0;
  return Math.min(MAX_CLAIM_DELAY_MS, Math.max(0, rank + 1 - IMMEDIATE_CLAIMANTS) * CLAIM_INTERVAL_MS);
}
